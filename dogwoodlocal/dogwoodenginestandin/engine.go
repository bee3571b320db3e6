// Package dogwoodenginestandin is a small stand-in for a model engine. It follows
// docs/ENGINE.md, derives the time that a request takes from its number of tokens instead of
// computing anything, and has faults that can be switched on. It does not simulate an
// accelerator: prefill is one rate shared by the prompts in the batch, highest priority first;
// decode is a rate for each stream.
package dogwoodenginestandin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
	"dogwoodmux.example/dogwoodlocal/dogwoodnetwork"
)

// Error is the class of this package's errors.
var Error = errs.Class("engine stand-in")

// With these defaults a test of 40 s covers all behavior: a prompt of 1000 tokens takes 2.5 ms to
// prefill, one of a million 2.5 s, and an answer of 64 tokens a third of a second.
const (
	defaultMemoryTokens = 400_000
	defaultPrefill      = 400_000
	defaultDecode       = 200
	defaultMaxBatch     = 16
	defaultColdLimit    = 2
	defaultColdDuration = 3 * time.Second
	defaultLoadDuration = 500 * time.Millisecond
	defaultRestartAfter = time.Second
)

const (
	// tick is the time between steps of the batch, the duration of a decode step of an engine.
	tick = 5 * time.Millisecond
	// progressInterval is how often a stream without new chunks sends a progress event.
	progressInterval = 500 * time.Millisecond
	// minLoadAge is the minimum age of a load report.
	minLoadAge = time.Second
	// endedTTL is how long a stream can be resumed after it ended.
	endedTTL = 20 * time.Second
	// coldSlowdown is how much slower a cold engine works.
	coldSlowdown = 4
	// coldCrashFactor is the multiple of its cold limit above which a cold engine crashes.
	coldCrashFactor = 3
)

// Options are the settings of an engine. Zero values of numbers and durations mean the defaults
// above.
type Options struct {
	ID                     dogwoodfleet.EndpointID
	Model                  dogwoodfleet.Model
	Version                string
	Adapters               []dogwoodfleet.Adapter
	MemoryTokens           int
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	MaxBatch               int
	// ColdLimit is how many concurrent requests the engine can take for ColdDuration after a start.
	ColdLimit    int
	ColdDuration time.Duration
	// LoadDuration is how long the engine takes to load a model that it was ordered to load.
	LoadDuration time.Duration
	// RestartAfter is how long the engine is down after a crash that a request or overload caused.
	RestartAfter time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Listener is the listener to serve on; nil means a free port of the loopback address.
	Listener net.Listener
	// Dial connects to other engines; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Engine is a started stand-in. Its methods are safe for concurrent use.
type Engine struct {
	options    Options
	host       *dogwoodnetwork.Host
	client     *dogwoodengine.Client
	background sync.WaitGroup
	wake       chan struct{}
	ended      chan struct{}

	mutex   sync.Mutex
	process processState
	faults  faults
	counts  counts
}

// processState is the state of an engine process, which a crash loses.
type processState struct {
	instance  dogwoodfleet.InstanceID
	alive     bool
	leaving   bool
	coldUntil time.Time
	// coldReported is true if callers could learn that the engine is cold, from an answer or
	// because it restarted.
	coldReported bool
	sequences    map[dogwoodfleet.RequestID]*sequence
	cancelled    map[dogwoodfleet.RequestID]time.Time
	reservations map[dogwoodfleet.RequestID]*reservation
	cache        *cache
	holding      dogwoodengine.Holding
	loading      *dogwoodengine.Holding
	loadedAt     time.Time
	fence        uint64
	delayedLoad  delayedLoad
	lastStep     time.Time
	idle         bool
}

// Start starts an engine that runs until the context ends.
func Start(ctx context.Context, options Options) (*Engine, error) {
	options.fillIn()
	if options.Listener == nil {
		listener, err := dogwoodnetwork.Listen(ctx)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		options.Listener = listener
	}
	engine := &Engine{
		options: options,
		client:  dogwoodengine.New(dogwoodengine.Options{Dial: options.Dial}),
		wake:    make(chan struct{}, 1),
		ended:   make(chan struct{}),
		counts:  newCounts(),
		faults:  faults{slowdown: 1},
	}
	engine.startProcess()
	host, err := dogwoodnetwork.Serve(options.Listener, engine.routes())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	engine.host = host
	engine.background.Go(func() { engine.runBatch(ctx) })
	context.AfterFunc(ctx, func() {
		engine.mutex.Lock()
		engine.endProcess()
		engine.mutex.Unlock()
		engine.host.Close()
		engine.background.Wait()
		close(engine.ended)
	})
	return engine, nil
}

func (options *Options) fillIn() {
	setDefault(&options.MemoryTokens, defaultMemoryTokens)
	setDefault(&options.PrefillTokensPerSecond, defaultPrefill)
	setDefault(&options.DecodeTokensPerSecond, defaultDecode)
	setDefault(&options.MaxBatch, defaultMaxBatch)
	setDefault(&options.ColdLimit, defaultColdLimit)
	setDefault(&options.ColdDuration, defaultColdDuration)
	setDefault(&options.LoadDuration, defaultLoadDuration)
	setDefault(&options.RestartAfter, defaultRestartAfter)
}

func setDefault[T int | float64 | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Address returns the address at which the engine serves.
func (engine *Engine) Address() netip.AddrPort {
	return engine.host.Address()
}

// ID returns the engine's endpoint ID.
func (engine *Engine) ID() dogwoodfleet.EndpointID {
	return engine.options.ID
}

// Wait waits until the engine has ended, which it does once its context ends.
func (engine *Engine) Wait() {
	<-engine.ended
}

// startProcess replaces the process state as a start does. The mutex must be held, unless the
// engine is not shared yet.
func (engine *Engine) startProcess() {
	now := time.Now()
	engine.process = processState{
		instance:     dogwoodfleet.InstanceID(uuid.NewString()),
		alive:        true,
		coldUntil:    now.Add(engine.options.ColdDuration),
		coldReported: true,
		sequences:    map[dogwoodfleet.RequestID]*sequence{},
		cancelled:    map[dogwoodfleet.RequestID]time.Time{},
		reservations: map[dogwoodfleet.RequestID]*reservation{},
		cache:        newCache(),
		holding: dogwoodengine.Holding{
			Model:    engine.options.Model,
			Version:  engine.options.Version,
			Adapters: engine.options.Adapters,
			Role:     dogwoodengine.RoleBoth,
		},
		lastStep: now,
	}
}

// endProcess marks the process as dead, drops its requests and reservations, and notifies the
// readers of their streams. The mutex must be held.
func (engine *Engine) endProcess() {
	engine.process.alive = false
	for _, sequence := range engine.process.sequences {
		sequence.notifyReaders()
	}
	engine.process.sequences = map[dogwoodfleet.RequestID]*sequence{}
	engine.process.reservations = map[dogwoodfleet.RequestID]*reservation{}
}

func (engine *Engine) signalWork() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// routes returns the handler of the engine protocol.
func (engine *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+dogwoodengine.PathChat, engine.run)
	mux.HandleFunc("POST "+dogwoodengine.PathCompletions, engine.run)
	mux.HandleFunc("GET "+dogwoodengine.PathStreams, engine.list)
	mux.HandleFunc("GET "+dogwoodengine.PathStreams+"/{ID}", engine.resume)
	mux.HandleFunc("DELETE "+dogwoodengine.PathStreams+"/{ID}", engine.cancel)
	mux.HandleFunc("GET "+dogwoodengine.PathLoad, engine.load)
	mux.HandleFunc("GET "+dogwoodengine.PathEvents, engine.events)
	mux.HandleFunc("POST "+dogwoodengine.PathReservations, engine.reserve)
	mux.HandleFunc("PUT "+dogwoodengine.PathReservations+"/{ID}", engine.renew)
	mux.HandleFunc("DELETE "+dogwoodengine.PathReservations+"/{ID}", engine.release)
	mux.HandleFunc("POST "+dogwoodengine.PathKV+"/{ID}", engine.importKV)
	mux.HandleFunc("POST "+dogwoodengine.PathOrders, engine.order)
	return mux
}
