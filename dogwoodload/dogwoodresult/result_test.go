package dogwoodresult

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

func testResult() *Result {
	return &Result{
		Scenario: "mixed", Seed: 3, Policy: "product", Sent: 10, Answered: 9, Lost: 1, InTime: 9,
		ConfigSpread: Duration(40 * time.Millisecond),
		FirstToken:   []FirstToken{{UpTo: 1000, Count: 9, P50: Duration(20 * time.Millisecond), P95: Duration(time.Second), P99: Duration(time.Second)}},
	}
}

func TestResultIsReadBack(t *testing.T) {
	var buffer bytes.Buffer
	if err := Write(&buffer, testResult()); err != nil {
		t.Fatal(err)
	}
	if text := buffer.String(); !strings.Contains(text, `"ConfigSpread": "40ms"`) {
		t.Errorf("got %s, want durations as time.Duration prints them", text)
	}
	got, err := Read(&buffer)
	if err != nil {
		t.Fatal(err)
	}
	if want := testResult(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestBreaches(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Result)
		want   string
	}{
		{"unchanged", func(*Result) {}, "Lost 1"},
		{"a request without an outcome", func(result *Result) { result.Sent++ }, "Lost 1, the outcomes add up to 10 of 11 sent"},
		{"a slow change", func(result *Result) { result.ConfigSpread = Duration(4 * time.Second) }, "Lost 1, ConfigSpread 4s"},
	}
	for _, test := range tests {
		result := testResult()
		test.change(result)
		if got := strings.Join(result.Breaches(), ", "); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestCompareMarksBetterMeasures(t *testing.T) {
	worse := testResult()
	worse.Policy = "baseline"
	worse.FirstToken[0].P99 = Duration(3 * time.Second)
	var buffer bytes.Buffer
	if err := Compare(&buffer, worse, testResult()); err != nil {
		t.Fatal(err)
	}
	for _, got := range strings.Split(buffer.String(), "\n") {
		if strings.Contains(got, "P99") && strings.Contains(got, "1000") && (!strings.Contains(got, "0.33") || !strings.Contains(got, "better")) {
			t.Errorf("got %q, want a ratio of 0.33 that is better", got)
		}
	}
}
