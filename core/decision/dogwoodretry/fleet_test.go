package dogwoodretry

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fleet is a fleet of daemons that serve callers in paused time. Its endpoints turn all requests away once failing is set.
type fleet struct {
	daemons []*SharedBudget
	group   sync.WaitGroup

	mutex         sync.Mutex
	failing       bool
	sent, repeats []time.Time
}

// serve handles a request: its tries are turned away while the endpoints fail, and each retry waits before it is sent.
func (fleet *fleet) serve(daemon *SharedBudget, wait time.Duration) {
	const maxTries = 5
	fleet.record(&fleet.sent)
	daemon.First(time.Now(), "s")
	for range maxTries - 1 {
		if !fleet.isFailing() {
			return
		}
		retry := daemon.Take(time.Now(), "s")
		if retry == nil {
			return
		}
		time.Sleep(wait)
		if !retry.Send(time.Now()) {
			retry.Return()
			return
		}
		fleet.record(&fleet.repeats)
	}
}

func (fleet *fleet) record(times *[]time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	*times = append(*times, time.Now())
}

func (fleet *fleet) isFailing() bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.failing
}

// load sends requests to all daemons from three callers each, until a time after the start.
func (fleet *fleet) load(length, wait time.Duration) {
	const callers, pause = 3, 120 * time.Millisecond
	begin := time.Now()
	for number, daemon := range fleet.daemons {
		for caller := range callers {
			fleet.group.Go(func() {
				time.Sleep(time.Duration(number*callers+caller) * pause / time.Duration(callers*len(fleet.daemons)))
				for time.Since(begin) < length {
					fleet.group.Go(func() { fleet.serve(daemon, wait) })
					time.Sleep(pause)
				}
			})
		}
	}
}

// worst returns the number of retries and the allowed one in the window that exceeds the budget most. The requests of a window are
// those that callers sent in it, in the one before it or in the one half a window before it, whichever holds most.
func (fleet *fleet) worst(ratio, allowance float64) (repeats int, allowed float64) {
	excess := 0.0
	for number, at := range fleet.repeats {
		for _, from := range []time.Time{at, at.Add(-testWindow + 1)} {
			got, requests := countWithin(fleet.repeats, from), 0
			for _, earlier := range []time.Duration{0, testWindow / 2, testWindow} {
				requests = max(requests, countWithin(fleet.sent, from.Add(-earlier)))
			}
			limit := ratio*float64(requests) + allowance
			if over := float64(got) - limit; number == 0 || over > excess {
				repeats, allowed, excess = got, limit, over
			}
		}
	}
	return repeats, allowed
}

// Guards against a fleet that exceeds the retry budget although none of its daemons fails: in any ten seconds retries are at most a
// fifth of the requests and ten, over all daemons. Retries that wait longer than a window for a slot were sent together when
// nobody had sent requests for a while, and what had been earned for them lay too far back.
func TestBudgetHoldsWithoutFailuresOfDaemons(t *testing.T) {
	const daemons, ratio, allowance = 3, 0.2, 10
	const healthy, length = 11 * time.Second, 22 * time.Second
	tests := []struct {
		name       string
		load, wait time.Duration
		// least is a number of retries that the budget must allow.
		least int
	}{
		{"retries are sent at once", length, 0, 140},
		{"retries wait for a second", length, time.Second, 110},
		{"requests cease", healthy + time.Second, 0, 20},
		{"requests cease, and retries wait for three seconds", healthy + time.Second, 3 * time.Second, 20},
		{"requests cease, and retries wait for less than a window", healthy + time.Second, 8 * time.Second, 1},
		{"requests cease, and retries wait for more than a window", healthy + time.Second, 12 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &fleet{}
				for range daemons {
					fleet.daemons = append(fleet.daemons, NewSharedBudget(time.Now(), constant(ratio, float64(allowance)/daemons, testWindow), wholeShare))
				}
				fleet.load(test.load, test.wait)
				time.Sleep(healthy)
				fleet.mutex.Lock()
				fleet.failing = true
				fleet.mutex.Unlock()
				fleet.group.Wait()
				got, allowed := fleet.worst(ratio, allowance)
				t.Logf("%d retries of %d requests, %d in the worst window, %.1f allowed", len(fleet.repeats), len(fleet.sent), got, allowed)
				if float64(got) > allowed {
					t.Errorf("got %d retries in a window, want at most %.1f", got, allowed)
				}
				if got := len(fleet.repeats); got < test.least {
					t.Errorf("got %d retries in all, want at least %d", got, test.least)
				}
			})
		})
	}
}
