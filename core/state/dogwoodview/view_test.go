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
	view *View
	last []dogwoodpacking.Endpoint
}

func newFixture() *fixture {
	fixture := &fixture{}
	fixture.view = New(Options{
		Changed: func(endpoints []dogwoodpacking.Endpoint) { fixture.last = endpoints }, Logger: hclog.NewNullLogger(),
	})
	fixture.view.SetTable(table(5))
	return fixture
}

func table(version int64) *dogwoodroute.Table {
	return dogwoodroute.NewTable(version, dogwoodroute.Limits{}, nil, []dogwoodroute.Service{{Name: "s"}}, nil)
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

// inForce lists the endpoints that may get work.
func (fixture *fixture) inForce() string {
	listed := ""
	for _, endpoint := range fixture.last {
		if endpoint.InForce {
			listed += string(endpoint.ID)
		}
	}
	return listed
}

// An old read of the store shows a text from before a key was withdrawn. If it were
// applied, the key would be accepted again.
func TestAnOlderTextIsNeverApplied(t *testing.T) {
	fixture := newFixture()
	fixture.view.SetTable(table(9))
	fixture.view.SetTable(table(7))
	if got, want := fixture.view.Table().Version, int64(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// The store is away for seconds and entries lapse meanwhile. When it is back the endpoints
// still serve, but their entries are missing for a moment. Without a grace the service
// would have no endpoint; with an endless one a dead endpoint would get work for ever.
func TestEntriesLapseInAnOutage(t *testing.T) {
	fixture := newFixture()
	start := time.Now()
	fixture.view.Answered(start)
	fixture.view.SetServers(start, []Server{server("x"), server("y")})
	fixture.view.Lost()
	back := start.Add(8 * time.Second)
	fixture.view.Answered(back)
	fixture.view.SetServers(back, nil)
	if got, want := fixture.inForce(), "xy"; got != want {
		t.Errorf("just after the outage: got %q, want %q", got, want)
	}
	fixture.set(back.Add(time.Second), server("x"))
	fixture.view.Tick(back.Add(lapseGrace + time.Millisecond))
	if got, want := fixture.inForce(), "x"; got != want {
		t.Errorf("after the grace: got %q, want %q", got, want)
	}
}

// An endpoint leaves while the store is well: it must get no new work from then on.
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

// One daemon was turned away by the store. Two and a half seconds after its return an endpoint
// leaves, which the daemon hears 0.4 s late, since it gathers changes. Put down to the outage
// for the usual time, it got requests for more than the two seconds for which it serves on.
func TestAnEntryIsNotPutDownToAnOutageForLong(t *testing.T) {
	fixture := newFixture()
	start := time.Now()
	fixture.view.Answered(start)
	fixture.view.SetServers(start, []Server{server("x"), server("y")})
	fixture.view.Lost()
	returned := start.Add(7 * time.Second)
	fixture.view.Answered(returned)
	const late, servesOn = 400 * time.Millisecond, 2 * time.Second
	left := returned.Add(2050 * time.Millisecond)
	fixture.remove(left.Add(late), "x")
	fixture.view.Tick(left.Add(servesOn))
	if got, want := fixture.inForce(), "y"; got != want {
		t.Errorf("got %q two seconds after an endpoint left, want %q", got, want)
	}
}

// Nothing changes for seconds, so that the store's answers are seconds apart, and then
// endpoints die. Callers would be sent to dead endpoints for almost two seconds more if the
// quiet were taken for an outage.
func TestAQuietStoreIsNoOutage(t *testing.T) {
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

func TestTakenOutDataCentres(t *testing.T) {
	fixture := newFixture()
	fixture.set(time.Now(), server("x"))
	fixture.view.SetOut("a", true)
	if got, want := fixture.inForce(), ""; got != want {
		t.Errorf("taken out: got %q, want %q", got, want)
	}
	fixture.view.OnlyOut(nil)
	if got, want := fixture.inForce(), "x"; got != want {
		t.Errorf("taken back: got %q, want %q", got, want)
	}
}

func TestEndpointsOfUnknownServicesAreLeftOut(t *testing.T) {
	fixture := newFixture()
	other := server("x")
	other.Service = "other"
	fixture.set(time.Now(), other)
	if got := len(fixture.last); got != 0 {
		t.Errorf("got %d endpoints, want none", got)
	}
}

// A fleet of thousands of endpoints registers within seconds. Each daemon built its list of all
// for each of them, which took small VMs longer than the start of the fleet; an answer of the
// store must cost one list, however many entries it brings.
func TestAnAnswerIsTakenInAtOnce(t *testing.T) {
	rebuilt, endpoints := 0, 0
	view := New(Options{Logger: hclog.NewNullLogger(), Changed: func(changed []dogwoodpacking.Endpoint) {
		rebuilt++
		endpoints = len(changed)
	}})
	view.SetTable(table(1))
	rebuilt = 0
	var changes []Change
	for i := range 3000 {
		changes = append(changes, Change{Server: server(fmt.Sprint("e", i))})
	}
	changes = append(changes, Change{Server: Server{ID: "e7"}, Gone: true})
	view.Apply(time.Now(), changes)
	if rebuilt != 1 || endpoints != 2999 {
		t.Errorf("got %d lists, the last of %d endpoints, want one of 2999", rebuilt, endpoints)
	}
}
