package dogwoodsoak

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"

	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
)

// Report is the result of a soak.
type Report struct {
	Seed                      uint64
	For                       time.Duration
	Daemons, Endpoints, Steps int
	Summary                   dogwoodsoakcheck.Summary
	Findings                  []dogwoodsoakcheck.Finding
	// Logs is the directory of logs and records; it is empty if they were removed.
	Logs string
}

// maxFindingsShown bounds the findings below the table; JSON lists all.
const maxFindingsShown = 30

func (report *Report) write(writer io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		return dogwoodverb.Error.Wrap(encoder.Encode(report))
	}
	summary := report.Summary
	table := tablewriter.NewWriter(writer)
	table.Header("Seed", "Daemons", "Endpoints", "Faults", "Sent", "Served", "Refused, not run", "Failed", "Broken off", "Runs", "Findings")
	cells := []string{strconv.FormatUint(report.Seed, 10)}
	for _, count := range []int{
		report.Daemons, report.Endpoints, report.Steps, summary.Sent, summary.Served, summary.RefusedNotRun,
		summary.Failed, summary.Broken, summary.Runs, len(report.Findings),
	} {
		cells = append(cells, strconv.Itoa(count))
	}
	if err := table.Append(cells); err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	if err := table.Render(); err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	for i, finding := range report.Findings {
		if i == maxFindingsShown {
			break
		}
		if _, err := fmt.Fprintf(writer, "%s  %s  %s  %s\n", finding.Check, finding.At.Format("15:04:05.000"), finding.RequestID, finding.Detail); err != nil {
			return dogwoodverb.Error.Wrap(err)
		}
	}
	if report.Logs == "" {
		return nil
	}
	_, err := fmt.Fprintf(writer, "logs and records: %s\n", report.Logs)
	return dogwoodverb.Error.Wrap(err)
}
