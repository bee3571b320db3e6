package dogwoodchart

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/dogwoodload/dogwoodresult"
)

func TestTicksCoverEachDecade(t *testing.T) {
	var got []string
	for _, tick := range (decadeTicks{}).Ticks(0.9, 12) {
		got = append(got, tick.Label)
	}
	if want := []string{"1", "2", "5", "10"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestChartsAreDrawn(t *testing.T) {
	result := &dogwoodresult.Result{
		Scenario: "datacentre", Policy: "product",
		FirstToken: []dogwoodresult.FirstToken{{UpTo: 1000, Count: 3, P50: dogwoodresult.Duration(time.Second), P95: dogwoodresult.Duration(2 * time.Second)}, {UpTo: 4000, Count: 1}},
		Timeline:   []dogwoodresult.Second{{Sent: 5, InTime: 4, Bad: 1}, {At: dogwoodresult.Duration(time.Second), Sent: 6, InTime: 6}},
		Events:     []dogwoodresult.Event{{At: dogwoodresult.Duration(time.Second), What: "out"}},
	}
	tests := []struct {
		name   string
		format string
		start  string
		draw   func(*bytes.Buffer, string) error
	}{
		{"first token", "svg", "<?xml", func(buffer *bytes.Buffer, format string) error { return FirstToken(buffer, format, result, result) }},
		{"service", "png", "\x89PNG", func(buffer *bytes.Buffer, format string) error { return Service(buffer, format, result) }},
		{"service of an empty run", "svg", "<?xml", func(buffer *bytes.Buffer, format string) error {
			return Service(buffer, format, &dogwoodresult.Result{Timeline: make([]dogwoodresult.Second, 1)})
		}},
	}
	for _, test := range tests {
		var buffer bytes.Buffer
		if err := test.draw(&buffer, test.format); err != nil || !bytes.HasPrefix(buffer.Bytes(), []byte(test.start)) {
			t.Errorf("%s: got %.8q and %v, want %q and nil", test.name, buffer.Bytes(), err, test.start)
		}
	}
}
