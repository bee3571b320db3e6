package dogwoodjudge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodsender"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
)

// promptClassBounds are the upper bounds, in tokens, of the classes of prompts. Times to the first token
// are reported for each class.
var promptClassBounds = []int{1000, 4000, 16_000, 64_000, 256_000, 1_000_000}

const (
	// maxRecordedTime is the largest time that a histogram records; longer times count as this one.
	maxRecordedTime = 10 * time.Minute
	// slowdownScale converts slowdowns to integers with three decimal places, for a histogram.
	slowdownScale = 1000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

func record(histogram *hdrhistogram.Histogram, value int64) {
	// Values outside the histogram's bounds are recorded as the nearest bound.
	_ = histogram.RecordValue(min(max(value, histogram.LowestTrackableValue()), histogram.HighestTrackableValue()))
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) dogwoodresult.Duration {
	return dogwoodresult.Duration(time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond)
}

// firstTokens returns the times to the first token of streamed answers by class of prompts.
func firstTokens(samples []dogwoodsender.Sample) []dogwoodresult.FirstToken {
	histograms := make([]*hdrhistogram.Histogram, len(promptClassBounds))
	for i := range samples {
		sample := &samples[i]
		if sample.FirstToken == 0 {
			continue
		}
		class, _ := slices.BinarySearch(promptClassBounds, sample.Arrival.PromptTokens)
		class = min(class, len(promptClassBounds)-1)
		if histograms[class] == nil {
			histograms[class] = newHistogram()
		}
		record(histograms[class], sample.FirstToken.Microseconds())
	}
	var result []dogwoodresult.FirstToken
	for class, histogram := range histograms {
		if histogram == nil {
			continue
		}
		result = append(result, dogwoodresult.FirstToken{
			UpTo:  promptClassBounds[class],
			Count: int(histogram.TotalCount()),
			P50:   quantile(histogram, 50),
			P95:   quantile(histogram, 95),
			P99:   quantile(histogram, 99),
		})
	}
	return result
}

// shortSlowdown returns percentiles of the time of answered short prompts divided by their time on
// an idle engine, which is computed from the speed configured for the stand-ins.
func shortSlowdown(samples []dogwoodsender.Sample, speed Speed) (p50, p99 float64) {
	histogram := newHistogram()
	for i := range samples {
		sample := &samples[i]
		if !isShort(sample.Arrival) || OutcomeOf(sample) != Answered {
			continue
		}
		idle := float64(sample.Arrival.PromptTokens)/speed.Prefill + float64(sample.Arrival.MaxTokens)/speed.Decode
		record(histogram, int64(slowdownScale*sample.Took.Seconds()/idle))
	}
	slowdown := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / slowdownScale
	}
	return slowdown(50), slowdown(99)
}

func countByCustomer(samples []dogwoodsender.Sample) []dogwoodresult.CustomerShare {
	counts := map[dogwoodfleet.Customer]*dogwoodresult.CustomerShare{}
	for i := range samples {
		customer := samples[i].Arrival.Customer
		if counts[customer] == nil {
			counts[customer] = &dogwoodresult.CustomerShare{Customer: customer}
		}
		counts[customer].Sent++
		if inTime(&samples[i]) {
			counts[customer].InTime++
		}
	}
	result := make([]dogwoodresult.CustomerShare, 0, len(counts))
	for _, count := range counts {
		result = append(result, *count)
	}
	slices.SortFunc(result, func(a, b dogwoodresult.CustomerShare) int { return cmp.Compare(a.Customer, b.Customer) })
	return result
}

// countByRank returns the counts of prompts by rank, and nothing if all have the same one.
func countByRank(samples []dogwoodsender.Sample) []dogwoodresult.RankShare {
	counts := map[int]dogwoodresult.RankShare{}
	for i := range samples {
		arrival := samples[i].Arrival
		if arrival.Kind != dogwoodtrace.Chat {
			continue
		}
		count := counts[arrival.Rank]
		count.Rank = arrival.Rank
		count.Sent++
		if inTime(&samples[i]) {
			count.InTime++
		}
		counts[arrival.Rank] = count
	}
	if len(counts) < 2 {
		return nil
	}
	return slices.SortedFunc(maps.Values(counts), func(a, b dogwoodresult.RankShare) int { return cmp.Compare(a.Rank, b.Rank) })
}

// reasons counts requests that were not answered by outcome and reason.
func reasons(samples []dogwoodsender.Sample) []dogwoodresult.ReasonCount {
	counts := map[string]int{}
	for i := range samples {
		if outcome := OutcomeOf(&samples[i]); outcome != Answered {
			counts[fmt.Sprintf("%s %s", outcome, reasonOf(&samples[i]))]++
		}
	}
	result := make([]dogwoodresult.ReasonCount, 0, len(counts))
	for reason, count := range counts {
		result = append(result, dogwoodresult.ReasonCount{Reason: reason, Count: count})
	}
	slices.SortFunc(result, func(a, b dogwoodresult.ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return result
}

func reasonOf(sample *dogwoodsender.Sample) string {
	if sample.Problem != nil {
		return string(sample.Problem.Reason)
	}
	if sample.Broken != nil {
		return "(no answer)"
	}
	return fmt.Sprint(sample.Status)
}

// timeline returns the outcomes by the second in which the requests were sent.
func timeline(samples []dogwoodsender.Sample) []dogwoodresult.Second {
	var seconds []dogwoodresult.Second
	var firstTokenTimes []*hdrhistogram.Histogram
	for i := range samples {
		sample := &samples[i]
		at := int(time.Duration(sample.Arrival.At) / time.Second)
		for len(seconds) <= at {
			second := dogwoodresult.Second{At: dogwoodresult.Duration(time.Duration(len(seconds)) * time.Second)}
			seconds = append(seconds, second)
			firstTokenTimes = append(firstTokenTimes, newHistogram())
		}
		second := &seconds[at]
		second.Sent++
		switch {
		case inTime(sample):
			second.InTime++
		case OutcomeOf(sample) == RefusedNotRun && !Late(sample):
			second.RefusedNotRun++
		default:
			second.Bad++
		}
		if sample.FirstToken > 0 {
			record(firstTokenTimes[at], sample.FirstToken.Microseconds())
		}
	}
	for at := range seconds {
		seconds[at].FirstTokenP95 = quantile(firstTokenTimes[at], 95)
	}
	return seconds
}

// maxExamples bounds the number of requests that a result shows as examples.
const maxExamples = 12

// examples describes the first requests that were lost, late, crossed, doubled or falsely reported
// as not run.
func examples(samples []dogwoodsender.Sample, ran *Ran) []string {
	var examples []string
	for i := range samples {
		sample := &samples[i]
		violation := violationOf(sample, ran)
		if violation == "" || len(examples) == maxExamples {
			continue
		}
		detail := ""
		if sample.Problem != nil {
			detail = fmt.Sprintf(", told %s: %s", sample.Problem.Reason, sample.Problem.Detail)
		}
		if sample.Broken != nil {
			detail = ", " + sample.Broken.Error()
		}
		examples = append(examples, fmt.Sprintf("%s: %s of %s, %d tokens, sent at %s to %s, request %s, ended after %s (deadline %s)%s",
			violation, sample.Arrival.LoadID, sample.Arrival.Customer, sample.Arrival.PromptTokens,
			time.Duration(sample.Arrival.At).Round(time.Millisecond), sample.Entry, sample.RequestID,
			sample.Took.Round(time.Millisecond), time.Duration(sample.Arrival.Deadline), detail))
	}
	return examples
}

func violationOf(sample *dogwoodsender.Sample, ran *Ran) string {
	outcome := OutcomeOf(sample)
	switch {
	case outcome == Lost:
		return "Lost"
	case Late(sample):
		return "Late " + string(outcome)
	case sample.Wrong != nil:
		return "Crossed (" + sample.Wrong.Error() + ")"
	case outcome == RefusedNotRun && ran.wasRun(sample):
		return "FalseNotRun"
	case sample.Arrival.Key != "" && ran.RunsOfKey[sample.Arrival.Key] > 1:
		return "Doubled"
	default:
		return ""
	}
}
