package dogwoodchange

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodtable"
)

// Store is the part of the table service that the log uses.
type Store interface {
	Read(ctx context.Context, table, key string) (dogwoodtable.Row, bool, error)
	List(ctx context.Context, selection dogwoodtable.Range) ([]dogwoodtable.Row, error)
	Commit(ctx context.Context, writes ...dogwoodtable.Write) ([]uint64, error)
}

// Objects is the part of the object store that the log uses, for snapshots.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, bool, error)
}

// Options configures a Log.
type Options struct {
	Store   Store
	Objects Objects
	// VMs returns the latest known list of the platform's VMs. It is used to find the services
	// that a take-out would leave without an endpoint, and is nil in a daemon that accepts no
	// changes.
	VMs func() []dogwoodfleet.ListedVM
	// Logger may be nil to disable logging.
	Logger hclog.Logger
}

// Log is one daemon's copy of the change log. It is safe for concurrent use.
type Log struct {
	options Options
	current atomic.Pointer[View]

	// submitting is a semaphore that lets this daemon write one change at a time to the store.
	submitting chan struct{}
	accepted   chan struct{}

	mutex       sync.Mutex
	fold        *fold
	provisional []Change
	ahead       map[uint64]Change // received before the changes that precede them
	changed     chan struct{}
}

// maxAhead bounds the changes held that were received out of order.
const maxAhead = 1024

// New returns a log at version 0. CatchUp or Merge brings it up to date.
func New(options Options) *Log {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	log := &Log{
		options:    options,
		submitting: make(chan struct{}, 1),
		accepted:   make(chan struct{}, 1),
		fold:       newFold(),
		ahead:      map[uint64]Change{},
		changed:    make(chan struct{}),
	}
	log.current.Store(log.fold.view(nil, time.Time{}))
	return log
}

// Current returns the view in force.
func (log *Log) Current() View {
	return *log.current.Load()
}

// Watch returns a channel that is closed at the next change of the view.
func (log *Log) Watch() <-chan struct{} {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.changed
}

// Accepted returns a channel that receives when this daemon has accepted a change that must
// be sent to its peers.
func (log *Log) Accepted() <-chan struct{} {
	return log.accepted
}

// News is an update of the log that one daemon sends to another.
type News struct {
	// Version is the sender's version.
	Version uint64
	// Snapshot is set if Changes alone would leave a gap.
	Snapshot *Snapshot
	Changes  []Change
	// Provisional are the take-outs that are not in the log yet.
	Provisional []Change
}

// Since returns the update for a daemon at that version.
func (log *Log) Since(version uint64) News {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	state := &log.fold.snapshot
	update := News{Version: state.Version, Provisional: slices.Clone(log.provisional)}
	if version >= state.Version {
		return update
	}
	missing := state.Version - version
	if missing > uint64(len(log.fold.latest)) {
		copied := *state
		copied.IDs = slices.Clone(state.IDs)
		update.Snapshot = &copied
		return update
	}
	update.Changes = slices.Clone(log.fold.latest[uint64(len(log.fold.latest))-missing:])
	return update
}

// Merge applies an update from a peer or the store and reports whether the view changed. An
// older update has no effect.
func (log *Log) Merge(update News) bool {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	before := log.fold.snapshot.Version
	if update.Snapshot != nil && update.Snapshot.Version > before {
		log.fold = newFoldFrom(*update.Snapshot)
	}
	for _, change := range update.Changes {
		if change.Version > log.fold.snapshot.Version && len(log.ahead) < maxAhead {
			log.ahead[change.Version] = change
		}
	}
	log.applyAhead()
	provisional := log.mergeProvisional(update.Provisional)
	if log.fold.snapshot.Version == before && !provisional {
		return false
	}
	log.publish()
	return true
}

// applyAhead applies the held changes that now follow the version, and drops older ones.
func (log *Log) applyAhead() {
	for {
		change, ok := log.ahead[log.fold.snapshot.Version+1]
		if !ok {
			break
		}
		log.fold.apply(change)
	}
	for version := range log.ahead {
		if version <= log.fold.snapshot.Version {
			delete(log.ahead, version)
		}
	}
}

// mergeProvisional adds the take-outs that are neither known nor in the log, and drops
// those that the log now holds. It reports whether the provisional take-outs changed.
func (log *Log) mergeProvisional(received []Change) (changed bool) {
	for _, change := range received {
		known := slices.ContainsFunc(log.provisional, func(existing Change) bool { return existing.ID == change.ID })
		if change.Kind == TakeOut && !known {
			change.Version, change.Provisional = 0, true
			log.provisional = append(log.provisional, change)
			changed = true
		}
	}
	remaining := slices.DeleteFunc(slices.Clone(log.provisional), func(change Change) bool {
		_, inLog := log.fold.versions[change.ID]
		return inLog
	})
	if len(remaining) != len(log.provisional) {
		log.provisional = remaining
		return true
	}
	return changed
}

// publish puts the current state into force. The caller must hold the mutex.
func (log *Log) publish() {
	log.current.Store(log.fold.view(log.provisional, time.Now()))
	close(log.changed)
	log.changed = make(chan struct{})
}

// versionOf returns the version of a change, or false if this daemon's copy of the log lacks it.
func (log *Log) versionOf(id string) (uint64, bool) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	version, ok := log.fold.versions[id]
	return version, ok
}

// signalAccepted notifies the receiver of Accepted.
func (log *Log) signalAccepted() {
	select {
	case log.accepted <- struct{}{}:
	default: // a pending signal already covers this change
	}
}
