// Package dogwoodview holds a daemon's view of the operators' text, of the data centres that
// are taken out and of the endpoints. It is for stores in which endpoints register
// themselves and the whole text is in one row.
//
// A text older than the one in force is never applied, so a stale read can't bring back an
// old text. Entries of endpoints expire when the endpoints can't renew them, also because
// the store itself is unavailable. After an outage of the store, the view therefore keeps
// missing entries for a moment, in which living endpoints register again. Otherwise the
// daemon would have no endpoints for a moment after every outage.
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
	// expiryGrace is how long an entry that is missing after an outage is kept. Living
	// endpoints register again within about two seconds, and an endpoint that has really
	// left must not get work for longer than that.
	expiryGrace = 1700 * time.Millisecond
	// minOutage is the shortest outage of the store in which entries can expire, measured from
	// the last answer before the first failed query.
	minOutage = time.Second
	// outageWindow is how long after an outage missing entries are attributed to it, and also
	// the latest time until which they are kept: by then living endpoints have registered again.
	// Without the second limit, an entry that was removed near the end of the window and whose
	// removal was received late was kept for longer than a leaving endpoint continues to serve.
	outageWindow = 2500 * time.Millisecond
	// maxEntryLogLines is the largest number of entries in one call that are logged one by one.
	maxEntryLogLines = 25
)

// Server is the entry that an endpoint registers for itself.
type Server struct {
	ID       dogwoodfleet.EndpointID
	Instance dogwoodfleet.InstanceID
	Service  dogwoodfleet.Service
	Endpoint dogwoodfleet.Endpoint
	Slots    int
	Draining bool
	// Cold is the remaining time for which the endpoint is cold.
	Cold time.Duration
}

// entry is a server with the times derived from its changes.
type entry struct {
	Server
	coldUntil time.Time
	// removeAt is when a missing entry is removed; zero while the entry exists.
	removeAt time.Time
}

// Options configures a View.
type Options struct {
	// Changed is called with all endpoints after each change.
	Changed func(endpoints []dogwoodpacking.Endpoint)
	Logger  hclog.Logger
}

// View holds the operators' text, the data centres that are taken out and the endpoints. It
// is safe for concurrent use.
type View struct {
	options Options
	table   atomic.Pointer[dogwoodroute.Table]
	// loaded is closed once the view is loaded.
	loaded chan struct{}

	mutex       sync.Mutex
	serversRead bool // all entries were read at least once
	servers     map[dogwoodfleet.EndpointID]*entry
	takenOut    map[dogwoodfleet.DataCentre]bool
	lastAnswer  time.Time
	queryFailed bool // the last query for endpoints failed
	outageEnd   time.Time
	// entryLogLevel is the level of the log lines about single entries.
	entryLogLevel hclog.Level
}

// New returns a View without text and endpoints.
func New(options Options) *View {
	return &View{
		options: options, loaded: make(chan struct{}), entryLogLevel: hclog.Info,
		servers: map[dogwoodfleet.EndpointID]*entry{}, takenOut: map[dogwoodfleet.DataCentre]bool{},
	}
}

// Table returns the table of the operators' text in force, nil before the first text.
func (view *View) Table() *dogwoodroute.Table {
	return view.table.Load()
}

// Loaded returns a channel that is closed once a text is in force and all entries of endpoints were read, though
// there may be none. Before, a service seems to have no endpoint.
func (view *View) Loaded() <-chan struct{} {
	return view.loaded
}

// IsLoaded reports whether the channel that Loaded returns is closed.
func (view *View) IsLoaded() bool {
	select {
	case <-view.loaded:
		return true
	default:
		return false
	}
}

// updateLoaded closes loaded if the view has become loaded. It is called after the endpoints were published, for
// whoever waits uses them at once. The caller holds the mutex.
func (view *View) updateLoaded() {
	if view.serversRead && view.table.Load() != nil && !view.IsLoaded() {
		close(view.loaded)
	}
}

// SetTable puts the table of an operators' text in force unless the one in force has the same
// or a newer version.
func (view *View) SetTable(table *dogwoodroute.Table) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if known := view.table.Load(); known != nil && table.Version <= known.Version {
		return
	}
	view.table.Store(table)
	view.options.Logger.Info("Text in force.", "version", table.Version)
	view.publishEndpoints()
	view.updateLoaded()
}

// SetOut records whether a data centre is taken out.
func (view *View) SetOut(dataCentre dogwoodfleet.DataCentre, out bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.takenOut[dataCentre] == out {
		return
	}
	if out {
		view.takenOut[dataCentre] = true
	} else {
		delete(view.takenOut, dataCentre)
	}
	view.options.Logger.Info("Data centre taken out or back.", "datacentre", dataCentre, "out", out)
	view.publishEndpoints()
}

// ReplaceOut records that exactly these data centres are taken out.
func (view *View) ReplaceOut(dataCentres []dogwoodfleet.DataCentre) {
	view.mutex.Lock()
	var restored []dogwoodfleet.DataCentre
	for known := range view.takenOut {
		if !slices.Contains(dataCentres, known) {
			restored = append(restored, known)
		}
	}
	view.mutex.Unlock()
	for _, dataCentre := range restored {
		view.SetOut(dataCentre, false)
	}
	for _, dataCentre := range dataCentres {
		view.SetOut(dataCentre, true)
	}
}

// Lost records that a query for the endpoints failed.
func (view *View) Lost() {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.queryFailed = true
}

// Answered records that a query for the endpoints was answered, and whether this ends an
// outage of the store. Answers that are seconds apart are no sign of an outage: the store
// holds a query until something changes.
func (view *View) Answered(now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if view.queryFailed && now.Sub(view.lastAnswer) > minOutage {
		view.outageEnd = now
	}
	view.lastAnswer, view.queryFailed = now, false
}

// limitEntryLogs logs many entries of one call in one line and reduces the log level of single
// entries until the returned function is called. Otherwise a daemon that starts would write a
// line for each of thousands of endpoints. The caller holds the mutex.
func (view *View) limitEntryLogs(entries int) func() {
	if entries <= maxEntryLogLines {
		return func() {}
	}
	view.options.Logger.Info("Endpoints' entries read.", "entries", entries, "known", len(view.servers))
	view.entryLogLevel = hclog.Debug
	return func() { view.entryLogLevel = hclog.Info }
}

// Change is one change of an endpoint's entry.
type Change struct {
	Server Server
	// Gone is true if the entry with the ID of Server was removed from the store.
	Gone bool
}

// Apply applies changes of entries in order and publishes the endpoints once for all of them.
// If thousands of endpoints register within seconds, each daemon would otherwise rebuild its
// list of thousands of endpoints for each of them.
func (view *View) Apply(now time.Time, changes []Change) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	defer view.limitEntryLogs(len(changes))()
	for _, change := range changes {
		if change.Gone {
			view.removeServer(now, change.Server.ID)
		} else {
			view.setServer(now, change.Server)
		}
	}
	if len(changes) > 0 {
		view.publishEndpoints()
	}
}

// setServer adds or replaces an entry. The caller holds the mutex.
func (view *View) setServer(now time.Time, server Server) {
	known := view.servers[server.ID]
	if known == nil || known.Instance != server.Instance || known.Draining != server.Draining {
		view.options.Logger.Log(view.entryLogLevel, "Endpoint seen.", "endpoint", server.ID, "service", server.Service,
			"draining", server.Draining, "cold", server.Cold)
	}
	updated := &entry{Server: server, coldUntil: now.Add(server.Cold)}
	view.servers[server.ID] = updated
}

// removeServer removes a missing entry, or marks it for later removal if it probably expired in
// an outage of the store. The caller holds the mutex.
func (view *View) removeServer(now time.Time, id dogwoodfleet.EndpointID) {
	known := view.servers[id]
	if known == nil || !known.removeAt.IsZero() {
		return
	}
	afterOutage := !view.outageEnd.IsZero() && now.Sub(view.outageEnd) < outageWindow
	if afterOutage && !known.Draining {
		known.removeAt = earlier(now.Add(expiryGrace), view.outageEnd.Add(outageWindow))
		view.options.Logger.Log(view.entryLogLevel, "Endpoint's entry lapsed in an outage.", "endpoint", id)
		return
	}
	delete(view.servers, id)
	view.options.Logger.Log(view.entryLogLevel, "Endpoint gone.", "endpoint", id)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// SetServers replaces all entries. An entry that is not in servers is handled like a Change with
// Gone set.
func (view *View) SetServers(now time.Time, servers []Server) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	defer view.limitEntryLogs(len(servers))()
	present := map[dogwoodfleet.EndpointID]bool{}
	for _, server := range servers {
		present[server.ID] = true
		view.setServer(now, server)
	}
	for id := range view.servers {
		if !present[id] {
			view.removeServer(now, id)
		}
	}
	view.serversRead = true
	view.publishEndpoints()
	view.updateLoaded()
}

// Tick removes missing entries that were not registered again in time.
func (view *View) Tick(now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	removed := false
	for id, entry := range view.servers {
		if !entry.removeAt.IsZero() && now.After(entry.removeAt) {
			delete(view.servers, id)
			removed = true
			view.options.Logger.Info("Endpoint gone.", "endpoint", id, "after", "an outage of the store")
		}
	}
	if removed {
		view.publishEndpoints()
	}
}

// publishEndpoints builds the list of endpoints and passes it to Options.Changed. The caller
// holds the mutex, so that the lists are passed in the order of the changes.
func (view *View) publishEndpoints() {
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
		endpoint.InForce = !entry.Draining && !view.takenOut[endpoint.Place.DataCentre]
		endpoints = append(endpoints, dogwoodpacking.Endpoint{
			Endpoint: endpoint, Slots: entry.Slots, Engine: service.Engine,
			ColdPerSecond: service.ColdPerSecond, ColdUntil: entry.coldUntil,
		})
	}
	slices.SortFunc(endpoints, func(a, b dogwoodpacking.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	view.options.Changed(endpoints)
}
