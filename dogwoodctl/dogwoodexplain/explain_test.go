package dogwoodexplain

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

const firstLog = `   0.0329 entry-1 {"@level":"info","@message":"Placed.","@module":"relay","@timestamp":"2026-01-31T16:19:43.03Z","endpoint":"i-1","request":"r1","try":1}
not JSON at all r1
{"@level":"info","@message":"Trying again.","@module":"relay","@timestamp":"2026-01-31T16:19:44.04Z","after":"broke off: the endpoint fell silent","request":"r1","try":2}
{"@level":"info","@message":"Placed.","@module":"relay","@timestamp":"2026-01-31T16:19:44.05Z","endpoint":"i-2","request":"r1","try":2}
{"@level":"warn","@message":"Not answered.","@module":"front","@timestamp":"2026-01-31T16:19:45.00Z","closed":true,"error":"the answer was cut: EndpointDied (Unknown): broke off: reset","request":"r1"}
{"@level":"warn","@message":"Not answered.","@module":"front","@timestamp":"2026-01-31T16:19:45.00Z","closed":true,"error":"the answer was cut: Deadline (Run): the time limit passed","request":"late"}
{"@level":"warn","@message":"Not answered.","@module":"front","@timestamp":"2026-01-31T16:19:45.00Z","closed":false,"error":"Limit (NotRun): all endpoints are full","request":"full"}
{"@level":"warn","@message":"Not answered.","@module":"front","@timestamp":"2026-01-31T16:19:46.00Z","closed":false,"error":"Limit (NotRun): the customer has used 2s of engine time within 5s, and an equal share is 575ms","request":"share"}
{"@level":"info","@message":"Refused.","@module":"front","@timestamp":"2026-01-31T16:19:42.00Z","why":"no known key","request":"r2","status":401}
`

const secondLog = `{"@level":"info","@message":"Answered.","@module":"front","@timestamp":"2026-01-31T16:19:47.00Z","request":"r2","status":200}
{"@level":"info","@message":"Answered.","@module":"front","@timestamp":"2026-01-31T16:19:47.00Z","request":"failed","status":500,"taken":101866631}
{"@level":"info","@message":"Placed.","@module":"relay","@timestamp":"2026-01-31T16:19:50.00Z","endpoint":"i-3","predicted":630000000,"request":"slow","try":1}
{"@level":"info","@message":"First event.","@module":"relay","@timestamp":"2026-01-31T16:19:59.00Z","endpoint":"i-3","predicted":630000000,"seen":8974000000,"request":"slow"}
{"@level":"info","@message":"Answered.","@module":"front","@timestamp":"2026-01-31T16:20:03.00Z","request":"slow","status":200,"taken":12580000000}
{"@level":"info","@message":"A stream was late.","@module":"relay","@timestamp":"2026-01-31T16:19:50.10Z","aim":250000000,"firstevent":410000000,"longestpause":380000000,"pause":250000000,"pausedat":"i-5","prompt":4960,"rank":0,"request":"tardy","routerank":0,"tries":1}
{"@level":"info","@message":"Answered.","@module":"front","@timestamp":"2026-01-31T16:19:50.11Z","request":"tardy","status":200,"taken":1180000000}
{"@level":"info","@message":"A stream was late.","@module":"relay","@timestamp":"2026-01-31T16:19:50.10Z","aim":250000000,"firstevent":110000000,"longestpause":380000000,"pause":250000000,"pausedat":"i-6","prompt":4960,"rank":0,"request":"paused","routerank":0,"tries":1}
{"@level":"info","@message":"Waits for more urgent requests.","@module":"relay","@timestamp":"2026-01-31T16:19:51.00Z","prompt":220000,"rank":2,"request":"yielded","routerank":1}
{"@level":"warn","@message":"Not answered.","@module":"front","@timestamp":"2026-01-31T16:19:54.00Z","error":"Limit (NotRun): the engines are needed for more urgent requests","request":"yielded"}
{"@level":"warn","@message":"Not answered.","@module":"front","@timestamp":"2026-01-31T16:19:54.00Z","error":"Limit (NotRun): it can't be answered in time after more urgent requests","request":"toolate"}
`

func explain(t *testing.T, id string) (string, error) {
	t.Helper()
	logs := map[string]string{"one.log": firstLog, "two.log": secondLog}
	var out bytes.Buffer
	err := Run(t.Context(), &Options{
		Factory: &dogwoodfactory.Factory{Streams: dogwoodfactory.Streams{Out: &out}}, ID: id, Files: []string{"two.log", "one.log"},
		Open: func(name string) (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(logs[name])), nil },
	})
	return out.String(), err
}

func TestExplain(t *testing.T) {
	tests := []struct {
		id   string
		want []string
	}{
		{"r1", []string{"Its stream broke off", "placed at i-1, then i-2", "fell silent", "closed its connection"}},
		{"late", []string{"cut at its time limit", "closed its connection"}},
		{"full", []string{"It was refused, not run", "endpoints of its service were full"}},
		{"share", []string{"It was refused, not run", "its share of engine time"}},
		{"r2", []string{"It was answered", "no known key"}},
		{"failed", []string{"It failed: the endpoint itself answered 500", "taken=101.87ms"}},
		{"slow", []string{"It was answered", "8.97s after it was sent to i-3, predicted were 630ms", "took 3.61s together"}},
		{"tardy", []string{"It was answered", "410ms after it arrived; its route's aim is 250ms", "paused for 380ms before an event of i-5", "longestpause=380ms"}},
		{"paused", []string{"paused for 380ms before an event of i-6"}},
		{"yielded", []string{"It was refused, not run", "more urgent requests needed the engines for as long", "its rank is 2 and its route's 1"}},
		{"toolate", []string{"It was refused, not run", "could not have answered it within its time limit"}},
	}
	for _, test := range tests {
		got, err := explain(t, test.id)
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range test.want {
			if !strings.Contains(got, want) {
				t.Errorf("%s: got %s, want it to contain %q", test.id, got, want)
			}
		}
	}
	if got, _ := explain(t, "paused"); strings.Contains(got, "Its first event") {
		t.Errorf("got %s, want nothing said of a first event in time", got)
	}
	if got, _ := explain(t, "r2"); strings.Index(got, "Refused.") > strings.Index(got, "Answered.") {
		t.Errorf("got %s, want the lines of all files in the order of their times", got)
	}
	if _, err := explain(t, "r3"); err == nil {
		t.Error("got no error for a request that no line names, want one")
	}
}
