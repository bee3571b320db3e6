package dogwoodburn

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

var start = time.Date(2026, 3, 1, 10, 0, 30, 0, time.UTC)

var text = &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{
	Name: "model-pool",
	Objectives: dogwoodsettings.Objectives{
		InTime: 0.99,
		FirstToken: []dogwoodsettings.FirstTokenObjective{
			{UpToTokens: 1_000_000, Within: dogwoodsettings.Duration(10 * time.Second), Share: 0.95},
			{UpToTokens: 4000, Within: dogwoodsettings.Duration(time.Second), Share: 0.95},
		},
	},
}}}

func record(ledger *Ledger, now time.Time, count int, outcome Outcome) {
	outcome.Service = "model-pool"
	if outcome.Customer == "" {
		outcome.Customer = "kurume"
	}
	outcome.DataCentre = "oita-c"
	for range count {
		ledger.Record(now, outcome, text.Services[0].Objectives)
	}
}

func findLine(t *testing.T, report Report, customer dogwoodfleet.Customer, upToTokens int) Line {
	t.Helper()
	for _, line := range report.Lines {
		if line.Customer == customer && line.DataCentre == "" && line.Objective.UpToTokens == upToTokens {
			return line
		}
	}
	t.Fatalf("line of %q up to %d tokens: got none", customer, upToTokens)
	return Line{}
}

func TestBurnOverWindows(t *testing.T) {
	tests := []struct {
		name                string
		goodBefore, badNow  int
		badAge              time.Duration
		want5m, want1h      float64
		want3d, wantBudget  float64
		wantAlert           Alert
		wantCause           Cause
		reason              dogwoodfleet.Reason
		class               Class
		inTime, wantExclude bool
	}{
		{name: "an ongoing fault pages", goodBefore: 80, badNow: 20, want5m: 20, want1h: 20, want3d: 20, wantBudget: -19, wantAlert: Page, wantCause: "Deadline", reason: dogwoodfleet.ReasonDeadline, class: Refused},
		{name: "a past burst raises only a ticket", goodBefore: 80, badNow: 20, badAge: 35 * time.Minute, want5m: 0, want1h: 20, want3d: 20, wantBudget: -19, wantAlert: Ticket, wantCause: "EndpointDied", reason: dogwoodfleet.ReasonEndpointDied, class: Failed},
		{name: "late answers are a cause", goodBefore: 98, badNow: 2, want5m: 2, want1h: 2, want3d: 2, wantBudget: -1, wantAlert: Ticket, wantCause: Late, class: Answered},
		{name: "a cancelled request is excluded", goodBefore: 99, badNow: 1, reason: dogwoodfleet.ReasonCancelled, class: Failed, wantBudget: 1, wantExclude: true},
	}
	for _, test := range tests {
		ledger := NewLedger("entry-1", "i1", start)
		now := start.Add(40 * time.Minute)
		record(ledger, now.Add(-test.badAge), test.goodBefore, Outcome{Class: Answered, InTime: true})
		record(ledger, now.Add(-test.badAge), test.badNow, Outcome{Class: test.class, Reason: test.reason})
		line := findLine(t, NewReport(now, text, []Snapshot{ledger.Snapshot(now, time.Time{})}), "", 0)
		checkBurn(t, test.name+", 5m", line.Windows[0].Burn, test.want5m)
		checkBurn(t, test.name+", 1h", line.Windows[2].Burn, test.want1h)
		checkBurn(t, test.name+", 3d", line.Windows[4].Burn, test.want3d)
		checkBurn(t, test.name+", budget left", line.BudgetLeft, test.wantBudget)
		if test.wantExclude {
			if line.Excluded != 1 || len(line.Causes) != 0 {
				t.Errorf("%s: excluded got %d, causes got %v, want 1 and none", test.name, line.Excluded, line.Causes)
			}
			continue
		}
		if line.Alert != test.wantAlert {
			t.Errorf("%s: alert got %q, want %q", test.name, line.Alert, test.wantAlert)
		}
		if got := line.Causes[0].Cause; got != test.wantCause {
			t.Errorf("%s: cause got %s, want %s", test.name, got, test.wantCause)
		}
	}
}

func checkBurn(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

// If a short prompt counted under the objective for long prompts, its late first token would count
// as in time.
func TestFirstTokenCountsInShortestClass(t *testing.T) {
	ledger := NewLedger("entry-1", "i1", start)
	record(ledger, start, 3, Outcome{Class: Answered, InTime: true, PromptTokens: 4000, FirstToken: 2 * time.Second})
	record(ledger, start, 1, Outcome{Class: Answered, InTime: true, PromptTokens: 4001, FirstToken: 2 * time.Second})
	report := NewReport(start, text, []Snapshot{ledger.Snapshot(start, time.Time{})})
	if got := findLine(t, report, "", 4000).Windows[0]; got.Bad != 3 || got.Total != 3 {
		t.Errorf("up to 4000: got %d of %d, want 3 of 3", got.Bad, got.Total)
	}
	if got := findLine(t, report, "", 1_000_000).Windows[0]; got.Bad != 0 || got.Total != 1 {
		t.Errorf("up to 1000000: got %d of %d, want 0 of 1", got.Bad, got.Total)
	}
}

// Guards against an alert that continues after its failures are older than every window.
func TestCountsExpireFromWindows(t *testing.T) {
	ledger := NewLedger("entry-1", "i1", start)
	record(ledger, start, 5, Outcome{Class: Refused, Reason: dogwoodfleet.ReasonShare})
	later := start.Add(80 * time.Hour)
	record(ledger, later, 1, Outcome{Class: Answered, InTime: true})
	for _, window := range findLine(t, NewReport(later, text, []Snapshot{ledger.Snapshot(later, time.Time{})}), "", 0).Windows {
		if window.Bad != 0 || window.Total != 1 {
			t.Errorf("%v: got %d of %d, want 0 of 1", time.Duration(window.Window), window.Bad, window.Total)
		}
	}
}

// Guards against running out of memory when a caller makes up customer names or thousands of
// customers arrive at once. Customers beyond the bound share one row, and the service's total
// still counts every request.
func TestCustomersBeyondTheBoundShareARow(t *testing.T) {
	ledger := NewLedger("entry-1", "i1", start)
	const customers = maxRowsPerBucket + 500
	for i := range customers {
		record(ledger, start, 1, Outcome{Customer: dogwoodfleet.Customer(fmt.Sprint("customer-", i)), Class: Answered, InTime: true})
	}
	snapshot := ledger.Snapshot(start, time.Time{})
	if got := len(snapshot.Minutes[0].Rows); got != maxRowsPerBucket+1 {
		t.Errorf("rows: got %d, want %d", got, maxRowsPerBucket+1)
	}
	report := NewReport(start, text, []Snapshot{snapshot})
	if got := findLine(t, report, "", 0).Windows[0].Total; got != customers {
		t.Errorf("all: got %d, want %d", got, customers)
	}
	if got := findLine(t, report, Others, 0).Windows[0].Total; got != 500 {
		t.Errorf("others: got %d, want 500", got)
	}
}

// Guards against counting requests twice. A daemon sends the changed part of its snapshot, the
// answer is lost and it sends the part again; a delayed older part arrives last.
func TestRepeatedPartsCountOnce(t *testing.T) {
	ledger := NewLedger("entry-1", "i1", start)
	record(ledger, start, 2, Outcome{Class: Answered, InTime: true})
	first := ledger.Snapshot(start, time.Time{})
	later := start.Add(3 * time.Minute)
	record(ledger, later, 3, Outcome{Class: Answered, InTime: true})
	second := ledger.Snapshot(later, start)
	if first.Hours == nil || second.Hours != nil {
		t.Fatalf("hours: got %v and %v, want the first part to hold them", first.Hours, second.Hours)
	}
	var merged Snapshot
	for _, part := range []Snapshot{first, second, second, first} {
		merged.Update(part)
	}
	report := NewReport(later, text, []Snapshot{merged, merged, first})
	for _, window := range findLine(t, report, "", 0).Windows {
		if window.Total != 5 {
			t.Errorf("%v: got %d, want 5", time.Duration(window.Window), window.Total)
		}
	}
}

// BenchmarkRecord measures the cost of counting one request.
func BenchmarkRecord(b *testing.B) {
	ledger := NewLedger("entry-1", "i1", start)
	outcome := Outcome{Service: "model-pool", Customer: "kurume", DataCentre: "oita-c", Class: Answered, InTime: true, PromptTokens: 900, FirstToken: time.Second}
	for b.Loop() {
		ledger.Record(start, outcome, text.Services[0].Objectives)
	}
}

// BenchmarkLedgerMemory measures the memory of a ledger filled to its bounds.
func BenchmarkLedgerMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledger := NewLedger("entry-1", "i1", start)
	for hour := range maxHourBuckets {
		fillHour(ledger, start.Add(time.Duration(hour)*time.Hour))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	rows := (maxHourBuckets + maxMinuteBuckets) * maxRowsPerBucket
	for b.Loop() {
		ledger.Snapshot(start, start)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(rows), "bytes/row")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-full")
}

func fillHour(ledger *Ledger, from time.Time) {
	for minute := range 60 {
		for customer := range maxRowsPerBucket {
			record(ledger, from.Add(time.Duration(minute)*time.Minute), 1, Outcome{
				Customer: dogwoodfleet.Customer(fmt.Sprint("customer-", customer)),
				Class:    Answered, InTime: true, PromptTokens: 900, FirstToken: time.Second,
			})
		}
	}
}

// BenchmarkSnapshotBytes measures the encoded size of the snapshot of a minute, in total and for
// each active customer.
func BenchmarkSnapshotBytes(b *testing.B) {
	for _, customers := range []int{10, 300} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			ledger := NewLedger("entry-1", "i1", start)
			for i := range customers {
				record(ledger, start, 1, Outcome{Customer: dogwoodfleet.Customer(fmt.Sprint("customer-", i)), Class: Answered, InTime: true, PromptTokens: 900, FirstToken: time.Second})
			}
			size := 0
			for b.Loop() {
				var buffer bytes.Buffer
				if err := gob.NewEncoder(&buffer).Encode(ledger.Snapshot(start, start)); err != nil {
					b.Fatal(err)
				}
				size = buffer.Len()
			}
			b.ReportMetric(float64(size), "bytes/exchange")
			b.ReportMetric(float64(size)/float64(customers), "bytes/customer")
		})
	}
}
