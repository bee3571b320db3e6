package dogwoodreconcile

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// fakes simulates two engines, one of which never answers, and an owner that records the reports
// it receives.
type fakes struct {
	mutex    sync.Mutex
	instance dogwoodfleet.InstanceID
	delay    time.Duration
	// queriedAfter holds the event numbers after which cache events were queried.
	queriedAfter []uint64
	reports      []dogwoodowner.LoadReport
	queriedAt    []time.Time
	applied      [][]dogwoodprefix.Event
	orphans      []dogwoodowner.Orphan
	// failingCancels is the number of cancels that are still to fail.
	failingCancels int
	cancelled      []dogwoodowner.GrantID
}

func (fakes *fakes) owned() []dogwoodfleet.Endpoint {
	return []dogwoodfleet.Endpoint{
		{ID: "lives", Kind: dogwoodfleet.EnginePool},
		{ID: "dead", Kind: dogwoodfleet.EnginePool},
		{ID: "plain", Kind: dogwoodfleet.PlainService},
	}
}

func (fakes *fakes) State(ctx context.Context, endpoint dogwoodfleet.Endpoint) (State, error) {
	if endpoint.ID != "lives" {
		<-ctx.Done()
		return State{}, errors.New("no answer")
	}
	time.Sleep(fakes.delay)
	fakes.mutex.Lock()
	defer fakes.mutex.Unlock()
	return State{Instance: fakes.instance, MemoryTokens: 100, Listed: []dogwoodmemory.Listed{{Request: "r1", Tokens: 10}}}, nil
}

func (fakes *fakes) Cache(_ context.Context, _ dogwoodfleet.Endpoint, after uint64) (CacheReport, error) {
	fakes.mutex.Lock()
	defer fakes.mutex.Unlock()
	fakes.queriedAfter = append(fakes.queriedAfter, after)
	sequence := after + 1
	return CacheReport{Instance: fakes.instance, Last: sequence, Events: []dogwoodprefix.Event{{Sequence: sequence}}}, nil
}

func (fakes *fakes) Report(id dogwoodfleet.EndpointID, report dogwoodowner.LoadReport) {
	if id == "lives" {
		fakes.reports = append(fakes.reports, report)
	}
}

func (fakes *fakes) Reconcile(id dogwoodfleet.EndpointID, report dogwoodmemory.Report) []dogwoodowner.Orphan {
	if id != "lives" {
		return nil
	}
	fakes.queriedAt = append(fakes.queriedAt, report.Asked)
	return fakes.orphans
}

func (fakes *fakes) Cancelled(id dogwoodowner.GrantID) {
	fakes.cancelled = append(fakes.cancelled, id)
	fakes.orphans = nil
}

func (fakes *fakes) Cancel(context.Context, dogwoodfleet.Endpoint, dogwoodfleet.RequestID) error {
	if fakes.failingCancels > 0 {
		fakes.failingCancels--
		return errors.New("lost")
	}
	return nil
}

func (fakes *fakes) CacheEvents(_ dogwoodfleet.EndpointID, _ dogwoodfleet.InstanceID, events []dogwoodprefix.Event, _ bool) {
	fakes.applied = append(fakes.applied, events)
}

func (fakes *fakes) run(t *testing.T, length time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	if err := New(Options{Owned: fakes.owned, Engines: fakes, Owner: fakes}).Run(ctx); err != nil {
		t.Fatal(err)
	}
}

// One engine accepts every query and answers none. The other engines must still be queried on
// time, and the age of a report must count from the start of the query.
func TestDeadEngineDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := &fakes{instance: "i1", delay: 100 * time.Millisecond}
		fakes.run(t, 5500*time.Millisecond)
		if got := len(fakes.reports); got != 6 {
			t.Errorf("got %d reports in 5.5s, want 6", got)
		}
		if got := fakes.reports[0].Age; got != fakes.delay {
			t.Errorf("got age %v, want %v", got, fakes.delay)
		}
		if got, want := fakes.queriedAfter, []uint64{0, 1, 2, 3, 4, 5}; !slices.Equal(got, want) {
			t.Errorf("got queries for events after %v, want %v", got, want)
		}
	})
}

// An engine restarts and numbers its cache events from one again. A query for events after the
// old number would return nothing for hours, and the hints about its cache would be those of the
// dead process.
func TestNewInstanceIsQueriedFromFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := &fakes{instance: "i1"}
		fakes.run(t, 3500*time.Millisecond)
		time.AfterFunc(1500*time.Millisecond, func() {
			fakes.mutex.Lock()
			defer fakes.mutex.Unlock()
			fakes.instance = "i2"
		})
		fakes.queriedAfter = nil
		fakes.run(t, 3500*time.Millisecond)
		if got, want := fakes.queriedAfter, []uint64{0, 1, 0, 1}; !slices.Equal(got, want) {
			t.Errorf("got queries for events after %v, want %v", got, want)
		}
	})
}

// An entry daemon dies, and the cancel of its stream is lost twice. Unless the cancel is sent
// again, the stream holds its memory until its deadline.
func TestOrphanCancelIsRetriedUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grant := dogwoodowner.GrantID{Owner: "owner", Number: 1}
		fakes := &fakes{instance: "i1", failingCancels: 2, orphans: []dogwoodowner.Orphan{{Grant: grant, Request: "r1"}}}
		fakes.run(t, 5500*time.Millisecond)
		if got, want := fakes.cancelled, []dogwoodowner.GrantID{grant}; !slices.Equal(got, want) {
			t.Errorf("got %v cancelled, want %v", got, want)
		}
	})
}
