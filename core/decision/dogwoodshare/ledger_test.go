package dogwoodshare

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// use is engine time of a customer that began some time ago.
type use struct {
	customer dogwoodfleet.Customer
	rank     int
	took     time.Duration
	ago      time.Duration
}

func ledgerOf(now time.Time, uses ...use) *Ledger {
	ledger := &Ledger{}
	for _, use := range uses {
		at := now.Add(-use.ago)
		ledger.Record(now, Use{Customer: use.customer, Rank: use.rank, Time: use.took, At: at})
	}
	return ledger
}

// Guards against an excess that counts other customers' ranks, work older than the window, requests instead of engine time,
// or requests without a customer.
func TestExcess(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		uses     []use
		customer dogwoodfleet.Customer
		want     float64
	}{
		{"no customers", []use{{"", 0, time.Second, 0}}, "", 0},
		{"nobody was active", nil, "a", 0},
		{"one customer only", []use{{"a", 0, 3 * time.Second, 0}}, "a", 1},
		{"equal customers", []use{{"a", 0, 33 * time.Millisecond, 0}, {"b", 0, 33 * time.Millisecond, 0}, {"c", 0, 33 * time.Millisecond, 0}}, "c", 1},
		{"three times as much as the other", []use{{"a", 0, 3 * time.Second, 0}, {"b", 0, time.Second, 0}}, "a", 1.5},
		{"a third of the other", []use{{"a", 0, 3 * time.Second, 0}, {"b", 0, time.Second, 0}}, "b", 0.5},
		{"a customer that becomes active only now", []use{{"a", 0, 3 * time.Second, 0}}, "b", 0},
		{"a customer that was idle and comes back", []use{{"a", 0, 3 * time.Second, 6 * time.Second}, {"b", 0, time.Second, 0}}, "a", 0},
		{"the other was active before the window", []use{{"a", 0, 3 * time.Second, 0}, {"b", 0, time.Second, 6 * time.Second}}, "a", 1},
		{"learnt late, counted when it began", []use{{"b", 0, time.Second, 0}, {"a", 0, 3 * time.Second, 4 * time.Second}}, "a", 1.5},
		{"the other is in another rank", []use{{"a", 0, 3 * time.Second, 0}, {"b", 1, time.Second, 0}}, "a", 1},
		{"many small requests and one large one", []use{{"a", 0, 5700 * time.Millisecond, 0}, {"b", 0, 30 * time.Millisecond, 0}, {"b", 0, 30 * time.Millisecond, 0}}, "b", 2 * 0.06 / 5.76},
		{"unknown times count alike", []use{{"a", 0, 0, 0}, {"a", 0, 0, 0}, {"a", 0, 0, 0}, {"b", 0, 0, 0}}, "a", 1.5},
	}
	for _, test := range tests {
		if got := ledgerOf(now, test.uses...).Excess(now, test.customer, 0); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: got %g, want %g", test.name, got, test.want)
		}
	}
}

// Guards against use by rank that leaves out requests without a customer, outlasts the window, or takes another daemon's starts for
// this one's; and against ranks without a bound.
func TestRankUses(t *testing.T) {
	now := time.Now()
	ledger := ledgerOf(now, use{"", 2, time.Second, 0}, use{"a", 2, time.Second, 4 * time.Second}, use{"a", 0, 0, 0}, use{"a", 1, time.Second, 6 * time.Second})
	ledger.Record(now, Use{Rank: 2, Time: 3 * time.Second, At: now, Own: true})
	want := []RankUse{{Rank: 0, Used: UnknownTime, Starts: 1}, {Rank: 2, Used: 5 * time.Second, Own: 3 * time.Second, Starts: 3}}
	if got := ledger.RankUses(now); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	want = []RankUse{{Rank: 0, Used: UnknownTime, Starts: 1}, {Rank: 2, Used: 4 * time.Second, Own: 3 * time.Second, Starts: 2}}
	if got := ledger.RankUses(now.Add(2 * time.Second)); !slices.Equal(got, want) {
		t.Errorf("got %v after 2 s, want %v", got, want)
	}
	if got := ledger.RankUses(now.Add(Window)); len(got) > 0 {
		t.Errorf("got %v after the window, want none", got)
	}
	for rank := range 3 * maxRanks {
		ledger.Record(now, Use{Rank: rank, Time: time.Second, At: now})
	}
	if got := len(ledger.totals); got > maxRanks {
		t.Errorf("got %d ranks, want at most %d", got, maxRanks)
	}
}

// Guards against an urgent rank that is not counted since many others came into use before it, against ranks that no longer are in use
// and still take room, and against a count that depends on the order or loses use.
func TestLeastUrgentRanksShareACount(t *testing.T) {
	const ranks = maxRanks + 44
	tests := []struct {
		name string
		rank func(i int) int
	}{
		{"the most urgent first", func(i int) int { return i }},
		{"the least urgent first", func(i int) int { return ranks - 1 - i }},
		{"only the least urgent one first", func(i int) int { return (i + ranks - 1) % ranks }},
		{"at random", func(i int) int { return i * 7 % ranks }},
	}
	now := time.Now()
	use := func(rank int) Use { // odd ranks are used a second earlier
		return Use{Rank: rank, Time: time.Second, At: now.Add(time.Duration(-rank%2) * time.Second), Own: true}
	}
	want := func(step int) []RankUse {
		var uses []RankUse
		for rank := 0; rank < ranks; rank += step {
			if last := len(uses) - 1; rank > maxRanks-1 && uses[last].Shared {
				uses[last].Used, uses[last].Own, uses[last].Starts = uses[last].Used+time.Second, uses[last].Own+time.Second, uses[last].Starts+1
				continue
			}
			uses = append(uses, RankUse{Rank: min(rank, maxRanks-1), Used: time.Second, Own: time.Second, Starts: 1, Shared: rank >= maxRanks-1})
		}
		return uses
	}
	for _, test := range tests {
		ledger := &Ledger{}
		for rank := range maxRanks { // no longer in use at now
			ledger.Record(now.Add(-Window), Use{Rank: -1 - rank, Time: time.Second, At: now.Add(-Window)})
		}
		for i := range ranks {
			ledger.Record(now, use(test.rank(i)))
		}
		if got := ledger.RankUses(now); !slices.Equal(got, want(1)) {
			t.Errorf("%s: got %v, want %v", test.name, got, want(1))
		}
		ledger.Remove(now, use(ranks-1))
		ledger.Record(now, use(ranks-1))
		if got := ledger.RankUses(now); !slices.Equal(got, want(1)) {
			t.Errorf("%s: got %v after use was taken back and recorded again, want %v", test.name, got, want(1))
		}
		if got := ledger.RankUses(now.Add(Window - time.Second/2)); !slices.Equal(got, want(2)) {
			t.Errorf("%s: got %v after the window of odd ranks, want %v", test.name, got, want(2))
		}
	}
}

// Guards against ranks that share a count although there is room for all that are in use.
func TestRanksStopSharingACount(t *testing.T) {
	const first, second = 2*maxRanks - 2, 2*maxRanks - 1
	many := make([]int, maxRanks*3/4)
	for rank := range many {
		many[rank] = rank
	}
	tests := []struct {
		name string
		// inUse are the ranks that stay in use.
		inUse []int
	}{
		{"the others are no longer in use", []int{first, second}},
		{"those that shared it are no longer in use", many},
	}
	for _, test := range tests {
		now := time.Now()
		ledger := &Ledger{}
		for rank := range 2 * maxRanks {
			ledger.Record(now, Use{Rank: rank, Time: time.Second, At: now})
		}
		for range 2 * slotCount {
			now = now.Add(slotLength)
			for _, rank := range test.inUse {
				ledger.Record(now, Use{Rank: rank, Time: time.Second, At: now})
			}
		}
		ledger.Record(now, Use{Rank: first, Time: time.Second, At: now})
		ledger.Record(now, Use{Rank: second, Time: time.Second, At: now})
		uses := ledger.RankUses(now)
		last := uses[len(uses)-2:]
		if last[0].Rank != first || last[1].Rank != second || last[0].Starts != last[1].Starts || last[1].Shared {
			t.Errorf("%s: got %v as the last counts, want one for each rank", test.name, last)
		}
	}
}

// Guards against use of requests that never ran that stays with their rank or their customer, and against removals that take away
// other requests' use.
func TestRemovedUseDoesNotCount(t *testing.T) {
	now := time.Now()
	other := Use{Customer: "b", Rank: 2, Time: time.Second, At: now, Own: true}
	tests := []struct {
		name    string
		removed Use
		// after is the time from the recording to the removal.
		after time.Duration
		want  []RankUse
	}{
		{"own", Use{Customer: "a", Rank: 2, Time: 3 * time.Second, At: now, Own: true}, 0, []RankUse{{Rank: 2, Used: time.Second, Own: time.Second, Starts: 1}}},
		{"another daemon's", Use{Customer: "a", Rank: 2, Time: 3 * time.Second, At: now}, time.Second, []RankUse{{Rank: 2, Used: time.Second, Own: time.Second, Starts: 1}}},
		{"the only one of its rank", Use{Customer: "a", Rank: 1, At: now}, 0, []RankUse{{Rank: 2, Used: time.Second, Own: time.Second, Starts: 1}}},
		{"without a customer", Use{Rank: 2, Time: time.Second, At: now}, 0, []RankUse{{Rank: 2, Used: time.Second, Own: time.Second, Starts: 1}}},
		{"older than the window", Use{Customer: "a", Rank: 2, At: now}, Window, nil},
	}
	for _, test := range tests {
		ledger := &Ledger{}
		ledger.Record(now, other)
		ledger.Record(now, test.removed)
		later := now.Add(test.after)
		ledger.Remove(later, test.removed)
		if got := ledger.RankUses(later); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		if got, want := ledger.Excess(later, "b", 2), float64(len(test.want)); got != want {
			t.Errorf("%s: got an excess of %g for the other customer, want %g", test.name, got, want)
		}
		if got := ledger.Excess(later, "a", test.removed.Rank); got != 0 {
			t.Errorf("%s: got an excess of %g, want 0", test.name, got)
		}
	}
}

// Guards against a customer whose key was withdrawn, and that therefore sends nothing more, but lowers the others' shares
// for ever, and against one that is punished for longer than the window.
func TestUseIsForgotten(t *testing.T) {
	now := time.Now()
	ledger := ledgerOf(now, use{"withdrawn", 0, time.Second, 0})
	for i := range 100 {
		now = now.Add(Window / 100)
		ledger.Record(now, Use{Customer: "a", Time: 20 * time.Millisecond, At: now})
		if i%2 == 0 {
			ledger.Record(now, Use{Customer: "b", Time: 20 * time.Millisecond, At: now})
		}
	}
	if got, want := ledger.Excess(now, "a", 0), 4.0/3; math.Abs(got-want) > 0.02 {
		t.Errorf("got an excess of %g, want %g among the two that remain", got, want)
	}
	if got := ledger.Excess(now, "withdrawn", 0); got != 0 {
		t.Errorf("got an excess of %g for the withdrawn customer, want 0", got)
	}
	if !ledger.IsEmpty(now.Add(Window)) {
		t.Error("got use after the window, want none")
	}
	ledger.Record(now.Add(time.Hour), Use{Customer: "c", At: now.Add(time.Hour)})
	if got, want := ledger.Excess(now.Add(time.Hour), "c", 0), 1.0; got != want {
		t.Errorf("got an excess of %g after an idle hour, want %g", got, want)
	}
}

// Guards against a Retry-After at which the customer would be refused again, or that is longer than the window.
func TestUntilFair(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		uses     []use
		min, max time.Duration
	}{
		{"one customer only", []use{{"a", 0, time.Second, 0}}, 0, 0},
		{"within its share", []use{{"a", 0, time.Second, 0}, {"b", 0, 2 * time.Second, 0}}, 0, 0},
		{"one large request just now", []use{{"a", 0, 5 * time.Second, 0}, {"b", 0, time.Second, 0}}, Window - slotLength, Window},
		{"one large request three seconds ago", []use{{"a", 0, 5 * time.Second, 3 * time.Second}, {"b", 0, time.Second, 0}}, 2*time.Second - slotLength, 2 * time.Second},
		{"two, one of which is enough to forget", []use{{"a", 0, 5 * time.Second, 3 * time.Second}, {"a", 0, time.Second, 0}, {"b", 0, time.Second, 0}}, 2*time.Second - slotLength, 2 * time.Second},
		{"unknown customer", nil, 0, 0},
	}
	for _, test := range tests {
		ledger := ledgerOf(now, test.uses...)
		got := ledger.UntilFair(now, "a", 0)
		if got < test.min || got > test.max {
			t.Errorf("%s: got %s, want %s to %s", test.name, got, test.min, test.max)
			continue
		}
		later := now.Add(got)
		if excess := ledger.Excess(later, "a", 0); excess > 1 && len(ledger.ranks[0].accounts) > 1 {
			t.Errorf("%s: got an excess of %g at the end of the wait, want at most 1", test.name, excess)
		}
	}
}

// Guards against a ledger that grows with the number of customers and then no longer knows the one that uses the most.
func TestAccountsAreBounded(t *testing.T) {
	now := time.Now()
	ledger := ledgerOf(now, use{"hot", 0, time.Second, 0})
	for i := range 2 * maxAccounts {
		ledger.Record(now, Use{Customer: dogwoodfleet.Customer(fmt.Sprint(i)), Rank: i % 3, Time: time.Millisecond, At: now})
	}
	if ledger.accounts > maxAccounts {
		t.Errorf("got %d accounts, want at most %d", ledger.accounts, maxAccounts)
	}
	if got := ledger.Excess(now, "hot", 0); got < 100 {
		t.Errorf("got an excess of %g for the hot customer, want hundreds", got)
	}
}

// Guards against a customer that waits behind the one that has used everything, since that one is within its share as long
// as nobody else was served; and against refusing that one for it.
func TestNewcomerGoesFirst(t *testing.T) {
	now := time.Now()
	ledger := &Ledger{}
	for range 100 {
		ledger.Record(now, Use{Customer: "a", Time: 30 * time.Millisecond, At: now})
	}
	standings := ledger.Standings(now, []Claim{{Customer: "a"}, {Customer: "b"}, {Customer: "b"}, {Customer: ""}})
	if got, want := standings[0].QueueExcess, 2.0; got != want {
		t.Errorf("got a queue excess of %g for the one that used everything, want %g", got, want)
	}
	if got, want := standings[0].Excess, 1.0; got != want {
		t.Errorf("got an excess of %g, want %g: it may use what is left", got, want)
	}
	if standings[1] != (Standing{}) || standings[3] != (Standing{}) {
		t.Errorf("got %+v, want no use for the newcomer and for requests without a customer", standings)
	}
}

// Guards against requests that are refused without need, and against a waiting line of which nothing is left for the next free slot.
func TestRefusals(t *testing.T) {
	now := time.Now()
	waits := func(customer dogwoodfleet.Customer, rank int, excess float64, wait time.Duration) Waiting {
		return Waiting{
			Claim: Claim{Service: "s", Rank: rank, Customer: customer}, Standing: Standing{Excess: excess, QueueExcess: excess}, Since: now.Add(-wait),
		}
	}
	chance := waits("hot", 0, 3, time.Second)
	chance.QueueExcess = 1
	elsewhere := waits("other", 0, 0.5, time.Second)
	elsewhere.Service = "t"
	tests := []struct {
		name    string
		waiting []Waiting
		want    []bool
	}{
		{"another customer waits", []Waiting{waits("hot", 0, 2, 0), waits("other", 0, 0.5, standingWait)}, []bool{true, false}},
		{"its own request has waited", []Waiting{waits("hot", 0, 2, standingWait), waits("other", 0, 0.5, 0)}, []bool{true, false}},
		{"nothing has waited for long", []Waiting{waits("hot", 0, 2, 0), waits("other", 0, 0.5, standingWait/2)}, []bool{false, false}},
		{"nobody else waits", []Waiting{waits("hot", 0, 9, time.Second), waits("hot", 0, 9, time.Second)}, []bool{false, false}},
		{"another rank waits", []Waiting{waits("hot", 0, 9, time.Second), waits("other", 1, 0.5, time.Second)}, []bool{false, false}},
		{"another service waits", []Waiting{waits("hot", 0, 9, time.Second), elsewhere}, []bool{false, false}},
		{"requests without a customer wait", []Waiting{waits("hot", 0, 9, time.Second), waits("", 0, 0, time.Second)}, []bool{false, false}},
		{"an excess below two", []Waiting{waits("hot", 0, 1.9, time.Second), waits("other", 0, 0.1, time.Second)}, []bool{false, false}},
		{"an excess that chance explains", []Waiting{chance, waits("other", 0, 0.1, time.Second)}, []bool{false, false}},
		{"two hot customers", []Waiting{waits("hot", 0, 4, time.Second), waits("other", 0, 3, time.Second)}, []bool{true, false}},
		{"two equally hot customers", []Waiting{waits("hot", 0, 4, time.Second), waits("other", 0, 4, time.Second)}, []bool{false, false}},
		{"two hot customers and a third", []Waiting{waits("hot", 0, 4, time.Second), waits("other", 0, 3, time.Second), waits("third", 0, 0, 0)}, []bool{true, true, false}},
	}
	for _, test := range tests {
		if got := Refusals(now, test.waiting); fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// BenchmarkStandings measures the standings of a hundred waiting requests in a ledger of a thousand customers.
func BenchmarkStandings(b *testing.B) {
	now := time.Now()
	ledger, claims := &Ledger{}, make([]Claim, 100)
	for i := range 1000 {
		customer := dogwoodfleet.Customer(fmt.Sprint("customer-", i))
		ledger.Record(now, Use{Customer: customer, Time: 30 * time.Millisecond, At: now})
		claims[i%100] = Claim{Service: "s", Customer: customer}
	}
	b.ReportAllocs()
	for b.Loop() {
		ledger.Standings(now, claims)
	}
}

// BenchmarkRecord measures one record, with the use of a thousand customers forgotten as time passes at a thousand records a second.
func BenchmarkRecord(b *testing.B) {
	now := time.Now()
	ledger, customers := &Ledger{}, make([]dogwoodfleet.Customer, 1000)
	for i := range customers {
		customers[i] = dogwoodfleet.Customer(fmt.Sprint("customer-", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		ledger.Record(now, Use{Customer: customers[i%1000], Time: 30 * time.Millisecond, At: now})
	}
}
