// Package dogwoodview is what a daemon believes of the operators' text, of the places that
// are taken out and of the endpoints, where endpoints announce themselves in a store and
// the text lies whole in one row.
//
// It only moves forward: a text older than the one in force is never applied, whatever an
// old read says. Entries of endpoints lapse when these can't renew them, also while the
// store itself is away; so after the daemon lost the store, an entry that is missing is
// kept for a moment, in which a living endpoint is back. Without that every outage of the
// store would end with a moment without any endpoint.
package dogwoodview

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// lapseGrace is how long an entry that is missing after an outage is kept: living
	// endpoints are back within some two seconds, and one that has really left must get
	// nothing for longer than that.
	lapseGrace = 1700 * time.Millisecond
	// outage is how long the store must have been away for entries to have lapsed. It counts
	// from the last answer before the first question that failed.
	outage = time.Second
	// outageEcho is how long after an outage missing entries are put down to it, and kept at
	// most: by then a living endpoint is back. An entry that goes missing near its end, and is
	// heard of late, was kept for longer than an endpoint that leaves serves on.
	outageEcho = 2500 * time.Millisecond
	// linesAtOnce is how many entries that come at once have a log line each.
	linesAtOnce = 25
)

// Server is an endpoint's own entry.
type Server struct {
	ID       dogwoodfleet.EndpointID
	Instance dogwoodfleet.InstanceID
	Service  dogwoodfleet.Service
	Endpoint dogwoodfleet.Endpoint
	Slots    int
	Draining bool
	// Cold is how much longer it stays cold.
	Cold time.Duration
}

// entry is a server with what was noted of it.
type entry struct {
	Server
	coldUntil time.Time
	// goneAt is when a missing entry counts as gone; zero while it is there.
	goneAt time.Time
}

// Options are what a view is made from.
type Options struct {
	// Changed is called with the endpoints after each change.
	Changed func(endpoints []dogwoodpacking.Endpoint)
	Logger  hclog.Logger
}

// View is safe for concurrent use.
type View struct {
	options Options
	table   atomic.Pointer[dogwoodroute.Table]

	mutex    sync.Mutex
	servers  map[dogwoodfleet.EndpointID]*entry
	out      map[dogwoodfleet.DataCentre]bool
	answered time.Time
	lost     bool // the last question about endpoints failed
	returned time.Time
	// level is that of the log lines of single entries.
	level hclog.Level
}

// New returns a view that knows nothing.
func New(options Options) *View {
	return &View{options: options, level: hclog.Info, servers: map[dogwoodfleet.EndpointID]*entry{}, out: map[dogwoodfleet.DataCentre]bool{}}
}

// Table returns the text in force, nil before the first.
func (view *View) Table() *dogwoodroute.Table {
	return view.table.Load()
}

// SetTable takes in a text unless a newer one is in force.
func (view *View) SetTable(table *dogwoodroute.Table) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if known := view.table.Load(); known != nil && table.Version <= known.Version {
		return
	}
	view.table.Store(table)
	view.options.Logger.Info("Text in force.", "version", table.Version)
	view.rebuild()
}

// SetOut notes whether a data centre is taken out.
func (view *View) SetOut(dataCentre dogwoodfleet.DataCentre, out bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.out[dataCentre] == out {
		return
	}
	if out {
		view.out[dataCentre] = true
	} else {
		delete(view.out, dataCentre)
	}
	view.options.Logger.Info("Data centre taken out or back.", "datacentre", dataCentre, "out", out)
	view.rebuild()
}

// OnlyOut notes that no other data centres than these are taken out.
func (view *View) OnlyOut(dataCentres []dogwoodfleet.DataCentre) {
	view.mutex.Lock()
	var back []dogwoodfleet.DataCentre
	for known := range view.out {
		if !slices.Contains(dataCentres, known) {
			back = append(back, known)
		}
	}
	view.mutex.Unlock()
	for _, dataCentre := range back {
		view.SetOut(dataCentre, false)
	}
	for _, dataCentre := range dataCentres {
		view.SetOut(dataCentre, true)
	}
}

// Lost notes that a question about the endpoints failed.
func (view *View) Lost() {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.lost = true
}

// Answered notes that a question about the endpoints was answered, and so whether the
// store was away before. Answers that are seconds apart show no outage by themselves: the
// store holds a question back until something changes.
func (view *View) Answered(now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.lost && now.Sub(view.answered) > outage {
		view.returned = now
	}
	view.answered, view.lost = now, false
}

// logMany has many entries that come at once logged in one line, until the returned function
// is called: a daemon that starts would else write a line for each of thousands of endpoints.
func (view *View) logMany(entries int) func() {
	if entries <= linesAtOnce {
		return func() {}
	}
	view.options.Logger.Info("Endpoints' entries read.", "entries", entries, "known", len(view.servers))
	view.level = hclog.Debug
	return func() { view.level = hclog.Info }
}

// Change is one change of an endpoint's entry.
type Change struct {
	Server Server
	// Gone means that the entry of that ID is gone.
	Gone bool
}

// Apply takes in changes of entries in their order. The endpoints are handed on once: a fleet of
// thousands that registers within seconds would otherwise have each daemon rebuild its list of
// thousands for each of them.
func (view *View) Apply(now time.Time, changes []Change) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	defer view.logMany(len(changes))()
	for _, change := range changes {
		if change.Gone {
			view.remove(now, change.Server.ID)
		} else {
			view.set(now, change.Server)
		}
	}
	if len(changes) > 0 {
		view.rebuild()
	}
}

func (view *View) set(now time.Time, server Server) {
	known := view.servers[server.ID]
	if known == nil || known.Instance != server.Instance || known.Draining != server.Draining {
		view.options.Logger.Log(view.level, "Endpoint seen.", "endpoint", server.ID, "service", server.Service,
			"draining", server.Draining, "cold", server.Cold)
	}
	made := &entry{Server: server, coldUntil: now.Add(server.Cold)}
	view.servers[server.ID] = made
}

func (view *View) remove(now time.Time, id dogwoodfleet.EndpointID) {
	known := view.servers[id]
	if known == nil || !known.goneAt.IsZero() {
		return
	}
	afterOutage := !view.returned.IsZero() && now.Sub(view.returned) < outageEcho
	if afterOutage && !known.Draining {
		known.goneAt = earlier(now.Add(lapseGrace), view.returned.Add(outageEcho))
		view.options.Logger.Log(view.level, "Endpoint's entry lapsed in an outage.", "endpoint", id)
		return
	}
	delete(view.servers, id)
	view.options.Logger.Log(view.level, "Endpoint gone.", "endpoint", id)
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// SetServers takes in all entries at once.
func (view *View) SetServers(now time.Time, servers []Server) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	defer view.logMany(len(servers))()
	there := map[dogwoodfleet.EndpointID]bool{}
	for _, server := range servers {
		there[server.ID] = true
		view.set(now, server)
	}
	for id := range view.servers {
		if !there[id] {
			view.remove(now, id)
		}
	}
	view.rebuild()
}

// Tick drops entries that did not come back.
func (view *View) Tick(now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	dropped := false
	for id, entry := range view.servers {
		if !entry.goneAt.IsZero() && now.After(entry.goneAt) {
			delete(view.servers, id)
			dropped = true
			view.options.Logger.Info("Endpoint gone.", "endpoint", id, "after", "an outage of the store")
		}
	}
	if dropped {
		view.rebuild()
	}
}

// rebuild hands on the endpoints. The caller holds the mutex, so that they are handed on
// in the order of their changes.
func (view *View) rebuild() {
	table := view.table.Load()
	if table == nil {
		return
	}
	endpoints := make([]dogwoodpacking.Endpoint, 0, len(view.servers))
	for _, entry := range view.servers {
		service, known := table.Service(entry.Service)
		if !known {
			continue
		}
		endpoint := entry.Endpoint
		endpoint.InForce = !entry.Draining && !view.out[endpoint.Place.DataCentre]
		endpoints = append(endpoints, dogwoodpacking.Endpoint{
			Endpoint: endpoint, Slots: entry.Slots, Engine: service.Engine,
			ColdPerSecond: service.ColdPerSecond, ColdUntil: entry.coldUntil,
		})
	}
	slices.SortFunc(endpoints, func(one, other dogwoodpacking.Endpoint) int { return cmp.Compare(one.ID, other.ID) })
	view.options.Changed(endpoints)
}
