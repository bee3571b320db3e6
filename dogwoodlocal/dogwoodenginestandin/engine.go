// Package dogwoodenginestandin is a small stand-in for a model engine: it follows
// docs/ENGINE.md, spends time by a token's worth of arithmetic in place of computing, and
// fails on command. It is no simulator of an accelerator: prefill is one rate shared by the
// prompts in the batch, the highest priority first; decode is a rate for each stream.
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

// The defaults let a run of 40 s show everything: a prompt of 1000 tokens takes 2.5 ms to
// prefill, one of a million 2.5 s, and an answer of 64 tokens a third of a second.
const (
	defaultMemoryTokens = 400_000
	defaultPrefill      = 400_000
	defaultDecode       = 200
	defaultMaxBatch     = 16
	defaultColdLimit    = 2
	defaultColdFor      = 3 * time.Second
	defaultLoadFor      = 500 * time.Millisecond
	defaultRestartAfter = time.Second
)

const (
	// tick is the time between steps of the batch, as long as a decode step of an engine.
	tick = 5 * time.Millisecond
	// keepAlive is how often a stream without news sends a progress event.
	keepAlive = 500 * time.Millisecond
	// loadLag is how old a load report is at least.
	loadLag = time.Second
	// retain is how long a finished stream can still be resumed.
	retain = 20 * time.Second
	// coldSlowdown is how much slower a cold engine works.
	coldSlowdown = 4
	// collapse is how many times its cold limit a cold engine may run before it falls over.
	collapse = 3
)

// Options describe an engine. Zero values are the defaults above.
type Options struct {
	ID                     dogwoodfleet.EndpointID
	Model                  dogwoodfleet.Model
	Version                string
	Adapters               []dogwoodfleet.Adapter
	MemoryTokens           int
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	MaxBatch               int
	// ColdLimit is how many requests at once the engine bears for ColdFor after a start.
	ColdLimit int
	ColdFor   time.Duration
	// LoadFor is how long an ordered model takes to load.
	LoadFor time.Duration
	// RestartAfter is how long a crash by a request or by overload keeps the engine down.
	RestartAfter time.Duration
	// ChecksFencing is true if orders with an old fencing number are refused.
	ChecksFencing bool
	// Listener is where it serves; nil means a free port of the loopback address.
	Listener net.Listener
	// Dial is how it reaches other engines; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Engine is a running stand-in. Its methods are safe for concurrent use.
type Engine struct {
	options Options
	host    *dogwoodnetwork.Host
	client  *dogwoodengine.Client
	duties  sync.WaitGroup
	wake    chan struct{}
	ended   chan struct{}

	mutex  sync.Mutex
	life   life
	faults faults
	counts counts
}

// life is what an engine process knows and loses when it dies.
type life struct {
	instance  dogwoodfleet.InstanceID
	alive     bool
	leaving   bool
	coldUntil time.Time
	// coldTold is whether the cold engine gave a sign of it: an answer, or the death before.
	coldTold     bool
	sequences    map[dogwoodfleet.RequestID]*sequence
	cancelled    map[dogwoodfleet.RequestID]time.Time
	reservations map[dogwoodfleet.RequestID]*reservation
	cache        *cache
	holds        dogwoodengine.Holding
	loading      *dogwoodengine.Holding
	loadedAt     time.Time
	fence        uint64
	lagging      laggedLoad
	stepped      time.Time
	idle         bool
}

// Start starts an engine that ends with the context.
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
		faults:  faults{slow: 1},
	}
	engine.born()
	host, err := dogwoodnetwork.Serve(options.Listener, engine.routes())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	engine.host = host
	engine.duties.Go(func() { engine.work(ctx) })
	context.AfterFunc(ctx, func() {
		engine.mutex.Lock()
		engine.perish()
		engine.mutex.Unlock()
		engine.host.Close()
		engine.duties.Wait()
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
	setDefault(&options.ColdFor, defaultColdFor)
	setDefault(&options.LoadFor, defaultLoadFor)
	setDefault(&options.RestartAfter, defaultRestartAfter)
}

func setDefault[T int | float64 | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

// Address returns where the engine serves.
func (engine *Engine) Address() netip.AddrPort {
	return engine.host.Address()
}

// ID returns the engine's name.
func (engine *Engine) ID() dogwoodfleet.EndpointID {
	return engine.options.ID
}

// Wait returns when the engine has ended after its context.
func (engine *Engine) Wait() {
	<-engine.ended
}

// born gives the engine a new life; the mutex is held or the engine not yet shared.
func (engine *Engine) born() {
	now := time.Now()
	engine.life = life{
		instance:     dogwoodfleet.InstanceID(uuid.NewString()),
		alive:        true,
		coldUntil:    now.Add(engine.options.ColdFor),
		coldTold:     true,
		sequences:    map[dogwoodfleet.RequestID]*sequence{},
		cancelled:    map[dogwoodfleet.RequestID]time.Time{},
		reservations: map[dogwoodfleet.RequestID]*reservation{},
		cache:        newCache(),
		holds: dogwoodengine.Holding{
			Model:    engine.options.Model,
			Version:  engine.options.Version,
			Adapters: engine.options.Adapters,
			Role:     dogwoodengine.RoleBoth,
		},
		stepped: now,
	}
}

// perish drops all that a dead process loses; the mutex is held.
func (engine *Engine) perish() {
	engine.life.alive = false
	for _, sequence := range engine.life.sequences {
		sequence.publish()
	}
	engine.life.sequences = map[dogwoodfleet.RequestID]*sequence{}
	engine.life.reservations = map[dogwoodfleet.RequestID]*reservation{}
}

func (engine *Engine) stir() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// routes is the engine protocol.
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
