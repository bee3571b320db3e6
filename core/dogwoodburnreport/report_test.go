package dogwoodburnreport

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

var reportTime = time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)

// sampleReport returns a report on an hour of traffic in which the endpoints of one data
// centre failed for ten minutes.
func sampleReport() *dogwoodburn.Report {
	objectives := dogwoodsettings.Objectives{
		InTime:     0.999,
		FirstToken: []dogwoodsettings.FirstTokenObjective{{UpToTokens: 4000, Within: dogwoodsettings.Duration(time.Second), Share: 0.95}},
	}
	text := &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: "model-pool", Objectives: objectives}, {Name: "lot-desk", Objectives: objectives}}}
	ledger := dogwoodburn.NewLedger("entry-1", "0191c2f4", reportTime.Add(-time.Hour))
	for minute := range 60 {
		for request := range 50 {
			outcome := dogwoodburn.Outcome{
				Service:    []dogwoodfleet.Service{"model-pool", "lot-desk"}[request%2],
				Customer:   []dogwoodfleet.Customer{"kurume", "<script>alert(1)</script>"}[request%3%2],
				DataCentre: []dogwoodfleet.DataCentre{"fukuoka-a", "oita-c"}[request%5%2],
				Class:      dogwoodburn.Answered, InTime: true,
				PromptTokens: 1200, FirstToken: 300 * time.Millisecond,
			}
			if minute/10 == 3 && outcome.DataCentre == "oita-c" {
				outcome.Class, outcome.Reason, outcome.FirstToken = dogwoodburn.Failed, dogwoodfleet.ReasonEndpointDied, 0
			}
			ledger.Record(reportTime.Add(time.Duration(minute-60)*time.Minute), outcome, objectives)
		}
	}
	report := dogwoodburn.NewReport(reportTime, text, []dogwoodburn.Snapshot{ledger.Snapshot(reportTime, time.Time{})})
	report.Daemons = []dogwoodburn.Daemon{{VM: "entry-1", Instance: "0191c2f4", Until: reportTime}}
	report.Missing = []dogwoodburn.Missing{{VM: "entry-2", Why: "does not answer"}}
	return &report
}

func TestTableListsMissingDaemons(t *testing.T) {
	var buffer bytes.Buffer
	if err := Table(&buffer, sampleReport()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"model-pool", "data centre oita-c", "EndpointDied", "entry-2 (all of it): does not answer", "Page"} {
		if got := buffer.String(); !strings.Contains(got, want) {
			t.Errorf("table lacks %q: got\n%s", want, got)
		}
	}
}

func TestJSONRoundTrip(t *testing.T) {
	var buffer bytes.Buffer
	if err := JSON(&buffer, sampleReport()); err != nil {
		t.Fatal(err)
	}
	var got dogwoodburn.Report
	if err := json.Unmarshal(buffer.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if want := len(sampleReport().Lines); len(got.Lines) != want {
		t.Errorf("lines: got %d, want %d", len(got.Lines), want)
	}
}

// Customers' names come from the operators' text and are shown in a page that people open in
// a browser. They must be escaped, so that none runs as a script, and the page must not load
// anything from elsewhere.
func TestPageIsSelfContainedAndEscapesNames(t *testing.T) {
	var buffer bytes.Buffer
	if err := HTML(&buffer, sampleReport()); err != nil {
		t.Fatal(err)
	}
	got := buffer.String()
	if strings.Contains(got, "<script>") {
		t.Error("page contains a customer's name as an element, want it escaped")
	}
	for _, reference := range []string{"src=", "<link", "@import"} {
		if strings.Contains(got, reference) {
			t.Errorf("page contains %q, want no external resources", reference)
		}
	}
	if !strings.Contains(got, "<svg") {
		t.Error("page has no plot")
	}
}

// A report made before any request has no lines and no series. Every format must still be written
// without an error.
func TestEmptyReportIsWritten(t *testing.T) {
	report := &dogwoodburn.Report{At: reportTime}
	for _, test := range []struct {
		name  string
		write func(*bytes.Buffer) error
	}{
		{"table", func(buffer *bytes.Buffer) error { return Table(buffer, report) }},
		{"JSON", func(buffer *bytes.Buffer) error { return JSON(buffer, report) }},
		{"page", func(buffer *bytes.Buffer) error { return HTML(buffer, report) }},
	} {
		var buffer bytes.Buffer
		if err := test.write(&buffer); err != nil || buffer.Len() == 0 {
			t.Errorf("%s: got %d bytes and %v, want some and nil", test.name, buffer.Len(), err)
		}
	}
}
