// Package dogwoodreach detects that this daemon has lost its way to the endpoints, while callers, the store and
// other daemons still reach it.
//
// A connection that can't be opened, or over which no answer comes, says little: its endpoint may have crashed, and so may
// all endpoints of a rack. So the daemon then tries some endpoints chosen at random, of all data centres, all at once. If none
// can be reached, it is cut off, and other daemons serve its callers. While it is cut off it tries again at intervals,
// until it reaches at least half of the endpoints of a round. Endpoints are tried only after a failure.
//
// All endpoints may also pause at once, for a second or a little longer. No daemon can tell that from a cut before it ends.
package dogwoodreach

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// roundSize is the number of endpoints that are tried at once.
	roundSize = 4
	// roundInterval is the shortest time from one round to the next.
	roundInterval = 250 * time.Millisecond
	// recheckInterval is the time between rounds while the daemon is cut off.
	recheckInterval = 500 * time.Millisecond
	// maxRoundTime is the longest time of a round that says anything. It exceeds the time limit for a connection; a
	// daemon whose round takes longer stood still.
	maxRoundTime = 600 * time.Millisecond
	// maxPause is the time from the beginning of a cut for which it may be a pause of all endpoints.
	maxPause = 3 * time.Second
	// recentlyReached is the age of the last answer up to which a failure starts no round.
	recentlyReached = 100 * time.Millisecond
)

// Options configure a Duty.
type Options struct {
	// Probe returns an error if an endpoint gives no answer soon.
	Probe  func(ctx context.Context, endpoint netip.AddrPort) error
	Logger hclog.Logger
}

// Duty knows whether this daemon is cut off from the endpoints. It is safe for concurrent use.
type Duty struct {
	options Options
	cutOff  atomic.Bool
	// suspected receives a value when an endpoint gave no answer.
	suspected chan struct{}
	// reachedAt is when an endpoint last answered, in nanoseconds since started.
	reachedAt atomic.Int64
	// cutOffAt is when the present cut was found, in nanoseconds since started.
	cutOffAt atomic.Int64
	started  time.Time

	mutex sync.Mutex
	// endpoints holds the addresses of the endpoints in force, by data centre.
	endpoints map[dogwoodfleet.DataCentre][]netip.AddrPort

	round     sync.Mutex // held during a round
	lastRound time.Time  // when the last round ended
	// mostFailed is true if more than half of the endpoints of the last round were not reached.
	mostFailed bool
}

// New returns a duty that is not cut off.
func New(options Options) *Duty {
	return &Duty{options: options, suspected: make(chan struct{}, 1), started: time.Now()}
}

// SetEndpoints replaces the endpoints that may be tried. Those that are not in force may be gone.
func (duty *Duty) SetEndpoints(endpoints []dogwoodpacking.Endpoint) {
	addresses := map[dogwoodfleet.DataCentre][]netip.AddrPort{}
	for i := range endpoints {
		if endpoints[i].InForce {
			dataCentre := endpoints[i].Place.DataCentre
			addresses[dataCentre] = append(addresses[dataCentre], endpoints[i].Address)
		}
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.endpoints = addresses
}

// IsCutOff reports whether this daemon reaches no endpoint.
func (duty *Duty) IsCutOff() bool { return duty.cutOff.Load() }

// MayBePause reports whether this daemon was found to be cut off so recently that the endpoints may only pause. A request that
// no other daemon serves is then best sent to an endpoint all the same.
func (duty *Duty) MayBePause() bool {
	return duty.IsCutOff() && time.Since(duty.started)-time.Duration(duty.cutOffAt.Load()) < maxPause
}

// RecordReached records that an endpoint has answered.
func (duty *Duty) RecordReached() {
	duty.reachedAt.Store(int64(time.Since(duty.started)))
}

// RecordUnreachable records that an endpoint could not be reached or gave no answer.
func (duty *Duty) RecordUnreachable() {
	select {
	case duty.suspected <- struct{}{}:
	default:
	}
}

// Run tries endpoints when one gave no answer, and while this daemon is cut off, until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-duty.suspected:
			if time.Since(duty.started)-time.Duration(duty.reachedAt.Load()) < recentlyReached {
				continue
			}
		case <-ticker.C:
			if !duty.IsCutOff() {
				continue
			}
		}
		duty.Check(ctx)
	}
}

// Check tries some endpoints, unless a round ended a moment ago, and reports whether more than half of them can't be
// reached. If so, a connection that fails says nothing of its endpoint.
func (duty *Duty) Check(ctx context.Context) bool {
	duty.round.Lock()
	defer duty.round.Unlock()
	if time.Since(duty.lastRound) < roundInterval {
		return duty.mostFailed
	}
	begun, tried := time.Now(), duty.choose()
	reached := duty.tryAll(ctx, tried)
	duty.lastRound = time.Now()
	if ctx.Err() != nil || duty.lastRound.Sub(begun) > maxRoundTime {
		return duty.mostFailed
	}
	duty.mostFailed = 2*reached < len(tried)
	switch {
	case len(tried) == 0:
	case reached == 0 && !duty.IsCutOff():
		duty.cutOffAt.Store(int64(time.Since(duty.started)))
		duty.cutOff.Store(true)
		counters.Add("CutOff", 1)
		duty.options.Logger.Warn("Cut off from the endpoints.", "tried", len(tried))
	case !duty.mostFailed && duty.cutOff.Swap(false):
		duty.options.Logger.Info("The endpoints are reached again.", "tried", len(tried), "reached", reached)
	}
	return duty.mostFailed
}

// choose returns the endpoints of a round, in equal numbers from all data centres. When a data centre is lost while another one is
// emptied, half of the endpoints in force are gone, and a round of four without regard to data centres finds only such ones
// one time in sixteen.
func (duty *Duty) choose() []netip.AddrPort {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	left := make([][]netip.AddrPort, 0, len(duty.endpoints))
	for _, addresses := range duty.endpoints {
		left = append(left, slices.Clone(addresses))
	}
	rand.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	chosen := make([]netip.AddrPort, 0, roundSize)
	for len(chosen) < roundSize && len(left) > 0 {
		addresses := left[0]
		i := rand.IntN(len(addresses))
		chosen = append(chosen, addresses[i])
		left = left[1:]
		if addresses = slices.Delete(addresses, i, i+1); len(addresses) > 0 {
			left = append(left, addresses)
		}
	}
	return chosen
}

// tryAll returns how many of the endpoints are reached.
func (duty *Duty) tryAll(ctx context.Context, endpoints []netip.AddrPort) int {
	var reached atomic.Int64
	var group errgroup.Group
	for _, endpoint := range endpoints {
		group.Go(func() error {
			var err error
			panicked := dogwoodkernel.LogPanic(duty.options.Logger, "reach", func() { err = duty.options.Probe(ctx, endpoint) })
			if err == nil && !panicked {
				reached.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait() // failures are counted
	return int(reached.Load())
}
