package dogwoodjudge

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodsender"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
)

func arrival(id, key string) *dogwoodtrace.Arrival {
	kind := dogwoodtrace.Chat
	if key != "" {
		kind = dogwoodtrace.Hold
	}
	return &dogwoodtrace.Arrival{
		LoadID: id, Key: key, Kind: kind, Customer: "a", PromptTokens: 1000, MaxTokens: 100,
		Deadline: dogwoodsettings.Duration(10 * time.Second),
	}
}

func problem(notRun string) *dogwoodproblem.Problem {
	return &dogwoodproblem.Problem{NotRun: notRun, Reason: "Deadline"}
}

// Guards against a report in which a rank or a customer that gets nothing is hidden by the others.
func TestInTimeByRankAndCustomer(t *testing.T) {
	ranked := func(rank int, customer dogwoodfleet.Customer, took time.Duration) dogwoodsender.Sample {
		arrival := arrival("x", "")
		arrival.Rank, arrival.Customer = rank, customer
		return dogwoodsender.Sample{Arrival: arrival, Whole: true, Status: 200, Took: took}
	}
	var result dogwoodresult.Result
	samples := []dogwoodsender.Sample{ranked(0, "a", time.Second), ranked(0, "b", time.Second), ranked(2, "b", time.Minute), {Arrival: arrival("hold", "key"), Whole: true, Status: 201}}
	Judge(&result, samples, &Ran{}, Speed{Prefill: 1000, Decode: 100})
	if got, want := result.InTimeByRank, []dogwoodresult.RankShare{{Rank: 0, Sent: 2, InTime: 2}, {Rank: 2, Sent: 1}}; !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := result.InTimeByCustomer, []dogwoodresult.CustomerShare{{Customer: "a", Sent: 2, InTime: 2}, {Customer: "b", Sent: 2, InTime: 1}}; !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	Judge(&result, samples[:2], &Ran{}, Speed{Prefill: 1000, Decode: 100})
	if result.InTimeByRank != nil {
		t.Errorf("got %+v for prompts of one rank, want nothing", result.InTimeByRank)
	}
	samples[2].Arrival.ReadPause = dogwoodsettings.Duration(50 * time.Second)
	if Late(&samples[2]) {
		t.Error("got a late answer, want one whose caller did not read for most of the time")
	}
}

func TestEachRequestHasExactlyOneOutcome(t *testing.T) {
	samples := []dogwoodsender.Sample{
		{Arrival: arrival("answered", ""), Whole: true, Status: 200, Took: time.Second, FirstToken: time.Second},
		{Arrival: arrival("answered late", ""), Whole: true, Status: 200, Took: 11 * time.Second, FirstToken: time.Second},
		{Arrival: arrival("refused", ""), Problem: problem("true"), Took: time.Second},
		{Arrival: arrival("refused but run", ""), Problem: problem("true"), Took: time.Second},
		{Arrival: arrival("failed", ""), Problem: problem("false"), Took: time.Second},
		{Arrival: arrival("failed late", ""), Problem: problem("false"), Took: 12 * time.Second},
		{Arrival: arrival("unknown", ""), Problem: problem("unknown")},
		{Arrival: arrival("lost", ""), Broken: errors.New("reset")},
		{Arrival: arrival("crossed", ""), Whole: true, Status: 200, Wrong: errors.New("another's")},
		{Arrival: arrival("hold", "key"), Whole: true, Status: 201},
		{Arrival: arrival("hold again", "key"), Whole: true, Status: 201},
		{Arrival: arrival("endpoint's error", ""), Whole: true, Status: 500},
	}
	ran := &Ran{
		Runs:         map[string]int{"refused but run": 1, "answered": 1},
		RunsOfKey:    map[string]int{"key": 2},
		LeakedMemory: 7, ColdOverruns: 3, UntoldColdOverruns: 2,
	}
	var result dogwoodresult.Result
	Judge(&result, samples, ran, Speed{Prefill: 1000, Decode: 100})
	tests := []struct {
		name      string
		got, want int
	}{
		{"Sent", result.Sent, 12},
		{"Answered", result.Answered, 5},
		{"RefusedNotRun", result.RefusedNotRun, 2},
		{"Failed", result.Failed, 3},
		{"Unknown", result.Unknown, 1},
		{"Lost", result.Lost, 1},
		{"sum", result.Answered + result.RefusedNotRun + result.Failed + result.Unknown + result.Lost, result.Sent},
		{"Late", result.Late, 2},
		{"InTime", result.InTime, 3},
		{"Crossed", result.Crossed, 1},
		{"FalseNotRun", result.FalseNotRun, 1},
		{"Doubled", result.Doubled, 1},
		{"LeakedMemory", result.LeakedMemory, 7},
		{"ColdOverruns", result.ColdOverruns, 3},
		{"UntoldColdOverruns", result.UntoldColdOverruns, 2},
		{"Timeline bad", result.Timeline[0].Bad, 7},
	}
	for _, test := range tests {
		if test.got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, test.got, test.want)
		}
	}
	if got := result.ShortSlowdownP50; got < 0.49 || got > 5.51 {
		t.Errorf("slowdown: got %v, want one of 0.5 and 5.5", got)
	}
}

// resent returns a sample whose connection to the first entry broke after a second and that the
// second entry answered.
func resent(first, second netip.AddrPort, start time.Time) dogwoodsender.Sample {
	return dogwoodsender.Sample{
		Arrival: arrival("x", ""), Sent: start, BrokenEntry: first, Resent: start.Add(time.Second),
		Entry: second, Took: 2 * time.Second, Whole: true, Status: 200,
	}
}

// A caller's connection breaks and its second attempt is refused as not run, although the first may
// have run. For a prompt the refusal is true, because it refers to the second attempt alone. For a
// hold it is false, because both attempts have the same idempotency key.
func TestRefusalOfSecondAttempt(t *testing.T) {
	start := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		key  string
		ran  time.Time
		want int
	}{
		{"prompt run by the first attempt", "", start, 0},
		{"prompt run by the second attempt", "", start.Add(2 * time.Second), 1},
		{"hold run by the first attempt", "key", start, 1},
	}
	for _, test := range tests {
		sample := dogwoodsender.Sample{Arrival: arrival("x", test.key), Sent: start, Resent: start.Add(time.Second), Problem: problem("true")}
		ran := &Ran{Runs: map[string]int{"x": 1}, LastRun: map[string]time.Time{"x": test.ran}}
		var result dogwoodresult.Result
		Judge(&result, []dogwoodsender.Sample{sample}, ran, Speed{Prefill: 1000, Decode: 100})
		if got := result.FalseNotRun; got != test.want {
			t.Errorf("%s: got %d false, want %d", test.name, got, test.want)
		}
	}
}

func TestCutByShutdownCountsOnlyRequestsInProgress(t *testing.T) {
	start := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	stopped, other := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1")
	sample := func(entry netip.AddrPort, sent, took time.Duration, problem *dogwoodproblem.Problem) dogwoodsender.Sample {
		return dogwoodsender.Sample{Arrival: arrival("x", ""), Entry: entry, Sent: start.Add(sent), Took: took, Problem: problem}
	}
	stops := []Stop{{Entry: stopped.String(), From: start, To: start.Add(5 * time.Second)}}
	tests := []struct {
		name   string
		sample dogwoodsender.Sample
		want   int
	}{
		{"lost while it stopped", sample(stopped, -time.Second, 2*time.Second, nil), 1},
		{"failed while it stopped", sample(stopped, time.Second, time.Second, problem("false")), 1},
		{"refused while it stopped", sample(stopped, time.Second, time.Second, problem("true")), 0},
		{"lost before", sample(stopped, -3*time.Second, time.Second, nil), 0},
		{"cut by the stopped daemon and answered elsewhere", resent(stopped, other, start), 1},
		{"cut elsewhere and answered by the stopped daemon", resent(other, stopped, start), 0},
		{"lost elsewhere", sample(other, time.Second, time.Second, nil), 0},
	}
	for _, test := range tests {
		if got := CountCutByStops(stops, []dogwoodsender.Sample{test.sample}); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}

func TestLostWithAKilledDaemon(t *testing.T) {
	start := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	killed, other := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1")
	lost := func(entry netip.AddrPort, sent time.Duration) dogwoodsender.Sample {
		return dogwoodsender.Sample{Arrival: arrival("x", ""), Entry: entry, Sent: start.Add(sent), Took: 2 * time.Second}
	}
	answered := lost(killed, -time.Second)
	answered.Whole, answered.Status = true, 200
	kills := []Kill{{Entry: killed.String(), At: start}}
	tests := []struct {
		name   string
		sample dogwoodsender.Sample
		want   int
	}{
		{"at the daemon", lost(killed, -time.Second), 1},
		{"answered despite the kill", answered, 0},
		{"elsewhere", lost(other, -time.Second), 0},
		{"long before", lost(killed, -5*time.Second), 0},
		{"sent later", lost(killed, time.Second), 0},
	}
	for _, test := range tests {
		if got := CountLostToKills(kills, []dogwoodsender.Sample{test.sample}); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}
