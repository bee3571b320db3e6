package dogwoodview

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

type fixture struct {
	view      *View
	endpoints []dogwoodpacking.Endpoint
}

func newFixture() *fixture {
	fixture := &fixture{}
	fixture.view = New(Options{
		Changed: func(endpoints []dogwoodpacking.Endpoint) { fixture.endpoints = endpoints }, Logger: hclog.NewNullLogger(),
	})
	fixture.view.SetTable(table(5))
	return fixture
}

func table(version int64) *dogwoodroute.Table {
	return dogwoodroute.NewTable(version, dogwoodroute.Limits{}, nil, []dogwoodroute.Service{{Name: "s"}}, dogwoodroute.Access{})
}

func server(id string) Server {
	return Server{
		ID: dogwoodfleet.EndpointID(id), Service: "s", Slots: 4,
		Endpoint: dogwoodfleet.Endpoint{ID: dogwoodfleet.EndpointID(id), Service: "s", Place: dogwoodfleet.Place{DataCentre: "a"}},
	}
}

func (fixture *fixture) set(now time.Time, server Server) {
	fixture.view.Apply(now, []Change{{Server: server}})
}

func (fixture *fixture) remove(now time.Time, id dogwoodfleet.EndpointID) {
	fixture.view.Apply(now, []Change{{Server: Server{ID: id}, Gone: true}})
}

// inForce returns the joined IDs of the endpoints that may get work.
func (fixture *fixture) inForce() string {
	ids := ""
	for _, endpoint := range fixture.endpoints {
		if endpoint.InForce {
			ids += string(endpoint.ID)
		}
	}
	return ids
}

// A stale read of the store returns a text from before a key was withdrawn. If this text were
// applied, the key would be accepted again.
func TestOlderTextIsNeverApplied(t *testing.T) {
	fixture := newFixture()
	fixture.view.SetTable(table(9))
	fixture.view.SetTable(table(7))
	if got, want := fixture.view.Table().Version, int64(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// The store is unavailable for seconds, and entries expire. When the store is available again,
// the endpoints still serve, but their entries are missing for a moment. Without a grace period
// the service would have no endpoints; with an unlimited one a dead endpoint would get work for
// ever.
func TestEntriesExpireInOutage(t *testing.T) {
	fixture := newFixture()
	start := time.Now()
	fixture.view.Answered(start)
	fixture.view.SetServers(start, []Server{server("x"), server("y")})
	fixture.view.Lost()
	outageEnd := start.Add(8 * time.Second)
	fixture.view.Answered(outageEnd)
	fixture.view.SetServers(outageEnd, nil)
	if got, want := fixture.inForce(), "xy"; got != want {
		t.Errorf("just after the outage: got %q, want %q", got, want)
	}
	fixture.set(outageEnd.Add(time.Second), server("x"))
	fixture.view.Tick(outageEnd.Add(expiryGrace + time.Millisecond))
	if got, want := fixture.inForce(), "x"; got != want {
		t.Errorf("after the grace period: got %q, want %q", got, want)
	}
}

// An endpoint leaves while the store is available. It must get no new work from then on.
func TestEntriesThatLeave(t *testing.T) {
	fixture := newFixture()
	now := time.Now()
	fixture.view.Answered(now)
	fixture.view.SetServers(now, []Server{server("x"), server("y"), server("z")})
	fixture.view.Answered(now.Add(500 * time.Millisecond))
	fixture.remove(now, "x")
	draining := server("y")
	draining.Draining = true
	fixture.set(now, draining)
	if got, want := fixture.inForce(), "z"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// The store rejected the queries of one daemon for a while. Two seconds after this outage an
// endpoint leaves. The daemon learns of it 0.4 s late, since changes are batched. If the missing
// entry were kept for the whole grace period, the endpoint would get requests for more than the
// two seconds for which it continues to serve.
func TestEntryIsNotAttributedToOutageForLong(t *testing.T) {
	fixture := newFixture()
	start := time.Now()
	fixture.view.Answered(start)
	fixture.view.SetServers(start, []Server{server("x"), server("y")})
	fixture.view.Lost()
	outageEnd := start.Add(7 * time.Second)
	fixture.view.Answered(outageEnd)
	const late, drainTime = 400 * time.Millisecond, 2 * time.Second
	left := outageEnd.Add(2050 * time.Millisecond)
	fixture.remove(left.Add(late), "x")
	fixture.view.Tick(left.Add(drainTime))
	if got, want := fixture.inForce(), "y"; got != want {
		t.Errorf("got %q two seconds after an endpoint left, want %q", got, want)
	}
}

// Nothing changes for seconds, so the store's answers are seconds apart, and then an endpoint
// dies. If the time without changes were treated as an outage, callers would be sent to the
// dead endpoint for almost two seconds more.
func TestStoreWithoutChangesIsNoOutage(t *testing.T) {
	fixture := newFixture()
	now := time.Now()
	fixture.view.Answered(now)
	fixture.view.SetServers(now, []Server{server("x"), server("y")})
	for range 3 {
		now = now.Add(2 * time.Second)
		fixture.view.Answered(now)
	}
	fixture.remove(now, "x")
	if got, want := fixture.inForce(), "y"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A data centre is taken out and brought back. Its endpoints must get no new work in between.
func TestTakenOutDataCentres(t *testing.T) {
	fixture := newFixture()
	fixture.set(time.Now(), server("x"))
	fixture.view.SetOut("a", true)
	if got, want := fixture.inForce(), ""; got != want {
		t.Errorf("taken out: got %q, want %q", got, want)
	}
	fixture.view.ReplaceOut(nil)
	if got, want := fixture.inForce(), "x"; got != want {
		t.Errorf("taken back: got %q, want %q", got, want)
	}
}

// An endpoint registers for a service that the operators' text does not list. It must not be
// published, since no request can be sent to it.
func TestEndpointsOfUnknownServicesAreLeftOut(t *testing.T) {
	fixture := newFixture()
	other := server("x")
	other.Service = "other"
	fixture.set(time.Now(), other)
	if got := len(fixture.endpoints); got != 0 {
		t.Errorf("got %d endpoints, want none", got)
	}
}

// A fleet of thousands of endpoints registers within seconds. Each daemon used to rebuild its list
// of all endpoints for each of them, which took longer on small VMs than the start of the fleet.
// An answer of the store must cause only one rebuild, however many entries it contains.
func TestAnswerPublishesEndpointsOnce(t *testing.T) {
	lists, endpoints := 0, 0
	view := New(Options{Logger: hclog.NewNullLogger(), Changed: func(changed []dogwoodpacking.Endpoint) {
		lists++
		endpoints = len(changed)
	}})
	view.SetTable(table(1))
	lists = 0
	var changes []Change
	for i := range 3000 {
		changes = append(changes, Change{Server: server(fmt.Sprint("e", i))})
	}
	changes = append(changes, Change{Server: Server{ID: "e7"}, Gone: true})
	view.Apply(time.Now(), changes)
	if lists != 1 || endpoints != 2999 {
		t.Errorf("got %d lists, the last of %d endpoints, want one of 2999", lists, endpoints)
	}
}
