// Package dogwoodburnreport writes a burn report as a text table, as JSON, as a plot and as a
// self-contained HTML page.
package dogwoodburnreport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodburn"
)

// Error is the class of this package's errors.
var Error = errs.Class("burn report")

// timeFormat is used in the table and the page. JSON has the full precision.
const timeFormat = "2006-01-02 15:04:05 MST"

// JSON writes the report as indented JSON.
func JSON(writer io.Writer, report *dogwoodburn.Report) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(report))
}

// Table writes the report as a text table for a terminal.
func Table(writer io.Writer, report *dogwoodburn.Report) error {
	if _, err := fmt.Fprintf(writer, "Burn at %s, from %d daemons\n", report.At.UTC().Format(timeFormat), len(report.Daemons)); err != nil {
		return Error.Wrap(err)
	}
	table := tablewriter.NewWriter(writer)
	table.Header(tableHeader())
	for i := range report.Lines {
		if err := table.Append(lineCells(&report.Lines[i])); err != nil {
			return Error.Wrap(err)
		}
	}
	if err := table.Render(); err != nil {
		return Error.Wrap(err)
	}
	_, err := fmt.Fprint(writer, missingText(report))
	return Error.Wrap(err)
}

func tableHeader() []string {
	header := []string{"Service", "Scope", "Objective"}
	for _, window := range dogwoodburn.Windows() {
		header = append(header, WindowName(window))
	}
	return append(header, "Budget left", "Alert", "Causes")
}

func lineCells(line *dogwoodburn.Line) []string {
	cells := []string{string(line.Service), Scope(line), ObjectiveText(line.Objective)}
	for _, window := range line.Windows {
		cells = append(cells, BurnText(window))
	}
	return append(cells, fmt.Sprintf("%.1f %%", 100*line.BudgetLeft), string(line.Alert), CausesText(line))
}

// Scope returns the customer or data centre to which a line applies, or "all".
func Scope(line *dogwoodburn.Line) string {
	switch {
	case line.Customer != "":
		return "customer " + string(line.Customer)
	case line.DataCentre != "":
		return "data centre " + string(line.DataCentre)
	default:
		return "all"
	}
}

// ObjectiveText returns a short description of an objective.
func ObjectiveText(objective dogwoodburn.Objective) string {
	share := fmt.Sprintf("%.4g %%", 100*objective.Share)
	if objective.UpToTokens == 0 {
		return share + " in time"
	}
	return fmt.Sprintf("%s first token within %s, to %d tokens", share, time.Duration(objective.Within), objective.UpToTokens)
}

// WindowName returns the length of a window in its largest unit, such as 5m, 1h or 3d.
func WindowName(window time.Duration) string {
	switch {
	case window >= 24*time.Hour:
		return fmt.Sprintf("%dd", int(window.Hours())/24)
	case window >= time.Hour:
		return fmt.Sprintf("%dh", int(window.Hours()))
	default:
		return fmt.Sprintf("%dm", int(window.Minutes()))
	}
}

// BurnText returns a burn rate with the numbers of bad and of all requests, or a dash if
// there were no requests.
func BurnText(window dogwoodburn.WindowBurn) string {
	if window.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f (%d/%d)", window.Burn, window.Bad, window.Total)
}

// CausesText lists the causes that used up the error budget with their counts, the most
// frequent first.
func CausesText(line *dogwoodburn.Line) string {
	causes := make([]string, 0, len(line.Causes))
	for _, cause := range line.Causes {
		causes = append(causes, fmt.Sprintf("%s %d", cause.Cause, cause.Count))
	}
	return strings.Join(causes, ", ")
}

func missingText(report *dogwoodburn.Report) string {
	if len(report.Missing) == 0 {
		return "Nothing is missing.\n"
	}
	var text strings.Builder
	text.WriteString("Missing from these figures:\n")
	for _, missing := range report.Missing {
		fmt.Fprintf(&text, "  %s %s: %s\n", missing.VM, sinceText(missing.Since), missing.Why)
	}
	return text.String()
}

func sinceText(since time.Time) string {
	if since.IsZero() {
		return "(all of it)"
	}
	return "(after " + since.UTC().Format(timeFormat) + ")"
}
