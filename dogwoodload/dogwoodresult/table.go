package dogwoodresult

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"
)

// measure is one row of the tables.
type measure struct {
	name  string
	value float64
	text  string
	// lessIsBetter is true if a smaller value is better.
	lessIsBetter bool
}

// measures returns the measures in the order of the tables.
func (result *Result) measures() []measure {
	count := func(name string, value int, lessIsBetter bool) measure {
		return measure{name: name, value: float64(value), text: strconv.Itoa(value), lessIsBetter: lessIsBetter}
	}
	duration := func(name string, value Duration) measure {
		return measure{name: name, value: time.Duration(value).Seconds(), text: FormatDuration(value), lessIsBetter: true}
	}
	measures := []measure{
		count("Sent", result.Sent, false),
		count("Answered", result.Answered, false),
		count("InTime", result.InTime, false),
		count("RefusedNotRun", result.RefusedNotRun, true),
		count("Failed", result.Failed, true),
		count("Unknown", result.Unknown, true),
		count("Late", result.Late, true),
		count("Lost", result.Lost, true),
		count("Doubled", result.Doubled, true),
		count("Crossed", result.Crossed, true),
		count("FalseNotRun", result.FalseNotRun, true),
		count("LeakedMemory", result.LeakedMemory, true),
		count("ColdOverruns", result.ColdOverruns, true),
		duration("NewWorkAfterTakeOut", result.NewWorkAfterTakeOut),
		duration("ConfigSpread", result.ConfigSpread),
		count("Resent", result.Resent, false),
		count("CutByShutdown", result.CutByShutdown, true),
		{name: "ShortSlowdownP50", value: result.ShortSlowdownP50, text: fmt.Sprintf("%.2f", result.ShortSlowdownP50), lessIsBetter: true},
		{name: "ShortSlowdownP99", value: result.ShortSlowdownP99, text: fmt.Sprintf("%.2f", result.ShortSlowdownP99), lessIsBetter: true},
	}
	for _, class := range result.FirstToken {
		name := fmt.Sprintf("FirstToken to %d, ", class.UpTo)
		measures = append(measures, duration(name+"P50", class.P50), duration(name+"P95", class.P95), duration(name+"P99", class.P99))
	}
	return measures
}

// FormatDuration formats a duration, rounded to a tenth of a millisecond.
func FormatDuration(duration Duration) string {
	return time.Duration(duration).Round(100 * time.Microsecond).String()
}

// Table writes the result as a table, followed by notes.
func Table(writer io.Writer, result *Result) error {
	if _, err := fmt.Fprintf(writer, "%s, seed %d, policy %s, %d daemons, %d endpoints\n",
		result.Scenario, result.Seed, result.Policy, result.Daemons, result.Endpoints); err != nil {
		return Error.Wrap(err)
	}
	table := tablewriter.NewWriter(writer)
	table.Header("Measure", "Value")
	for _, measure := range result.measures() {
		if err := table.Append(measure.name, measure.text); err != nil {
			return Error.Wrap(err)
		}
	}
	if err := table.Render(); err != nil {
		return Error.Wrap(err)
	}
	return writeNotes(writer, result)
}

func writeNotes(writer io.Writer, result *Result) error {
	for _, share := range result.InTimeByRank {
		if _, err := fmt.Fprintf(writer, "in time of rank %d: %d of %d\n", share.Rank, share.InTime, share.Sent); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, share := range result.InTimeByCustomer {
		if _, err := fmt.Fprintf(writer, "in time of %s: %d of %d\n", share.Customer, share.InTime, share.Sent); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, reason := range result.Reasons {
		if _, err := fmt.Fprintf(writer, "told %s: %d\n", reason.Reason, reason.Count); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, event := range result.Events {
		if _, err := fmt.Fprintf(writer, "at %s: %s\n", FormatDuration(event.At), event.What); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, breach := range result.Breaches() {
		if _, err := fmt.Fprintf(writer, "MUST NOT BE: %s\n", breach); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, example := range result.Examples {
		if _, err := fmt.Fprintf(writer, "for example: %s\n", example); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Compare writes two results side by side, with the ratio of the second to the first.
func Compare(writer io.Writer, first, second *Result) error {
	table := tablewriter.NewWriter(writer)
	table.Header("Measure", title(first), title(second), "Ratio", "")
	secondMeasures := map[string]measure{}
	for _, measure := range second.measures() {
		secondMeasures[measure.name] = measure
	}
	for _, measure := range first.measures() {
		secondMeasure, found := secondMeasures[measure.name]
		if !found {
			continue
		}
		if err := table.Append(measure.name, measure.text, secondMeasure.text, ratio(measure, secondMeasure), betterOrWorse(measure, secondMeasure)); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(table.Render())
}

func title(result *Result) string {
	return fmt.Sprintf("%s %s seed %d", result.Scenario, result.Policy, result.Seed)
}

func ratio(first, second measure) string {
	if first.value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", second.value/first.value)
}

func betterOrWorse(first, second measure) string {
	switch {
	case first.name == "Sent" || first.value == second.value:
		return ""
	case (second.value < first.value) == first.lessIsBetter:
		return "better"
	default:
		return "worse"
	}
}
