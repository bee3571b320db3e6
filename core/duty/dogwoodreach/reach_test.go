package dogwoodreach

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

// links are a daemon's connections to its endpoints.
type links struct {
	mutex sync.Mutex
	// dead are the endpoints that can't be reached.
	dead map[netip.AddrPort]bool
	// failAfter is how long a connection to a dead endpoint takes to fail.
	failAfter time.Duration
	dials     atomic.Int64
}

func (links *links) dial(ctx context.Context, endpoint netip.AddrPort) error {
	links.dials.Add(1)
	links.mutex.Lock()
	dead, failAfter := links.dead[endpoint], links.failAfter
	links.mutex.Unlock()
	if !dead {
		return nil
	}
	select {
	case <-time.After(failAfter):
		return errors.New("unreachable")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// kill makes the first endpoints unreachable and all others reachable.
func (links *links) kill(count int, failAfter time.Duration) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	links.failAfter, links.dead = failAfter, map[netip.AddrPort]bool{}
	for i := range count {
		links.dead[addressOf(i)] = true
	}
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(index)}), 80)
}

// run runs a duty with a number of endpoints in a bubble.
func run(t *testing.T, endpoints int, body func(t *testing.T, duty *Duty, links *links)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		links := &links{}
		duty := New(Options{Probe: links.dial, Logger: hclog.NewNullLogger()})
		var listed []dogwoodpacking.Endpoint
		for i := range endpoints {
			listed = append(listed, dogwoodpacking.Endpoint{Endpoint: dogwoodfleet.Endpoint{Address: addressOf(i), InForce: true}})
		}
		duty.SetEndpoints(listed)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = duty.Run(ctx) })
		time.Sleep(time.Second)
		body(t, duty, links)
		cancel()
		group.Wait()
	})
}

// Guards against a daemon that goes on dialling endpoint after endpoint although it reaches none, and against one that
// stays out of service once it reaches them again.
func TestCutIsFoundAndHeals(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
		failAfter time.Duration
	}{
		{name: "silent", endpoints: 19, failAfter: 350 * time.Millisecond},
		{name: "refused", endpoints: 19},
		{name: "fewer endpoints than a round", endpoints: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, test.endpoints, func(t *testing.T, duty *Duty, links *links) {
				for range 3 {
					links.kill(test.endpoints, test.failAfter)
					duty.RecordUnreachable()
					time.Sleep(700 * time.Millisecond)
					if !duty.IsCutOff() {
						t.Error("got not cut off 0.7 s after the first failure, want cut off")
					}
					time.Sleep(5 * time.Second)
					links.kill(0, 0)
					time.Sleep(time.Second)
					if duty.IsCutOff() {
						t.Error("got cut off 1 s after the endpoints are reached again")
					}
				}
			})
		})
	}
}

// Guards against requests that are refused because all endpoints pause for a second, and against those that wait for endpoints
// which are cut off for long.
func TestOnlyAYoungCutMayBeAPause(t *testing.T) {
	run(t, 19, func(t *testing.T, duty *Duty, links *links) {
		for range 2 {
			if duty.MayBePause() {
				t.Error("got a pause while the endpoints are reached, want none")
			}
			links.kill(19, 350*time.Millisecond)
			duty.RecordUnreachable()
			time.Sleep(2 * time.Second)
			if !duty.IsCutOff() || !duty.MayBePause() {
				t.Error("got no possible pause 2 s after the first failure, want one")
			}
			time.Sleep(2 * time.Second)
			if !duty.IsCutOff() || duty.MayBePause() {
				t.Error("got a possible pause 4 s after the first failure, want a cut")
			}
			links.kill(0, 0)
			time.Sleep(time.Second)
		}
	})
}

// Guards against a daemon that takes the crash of some endpoints for a cut of its own, and refuses what it could serve.
func TestCrashedEndpointsAreNoCut(t *testing.T) {
	tests := []struct {
		name            string
		endpoints, dead int
	}{
		{name: "one of 19", endpoints: 19, dead: 1},
		{name: "three of 19", endpoints: 19, dead: 3},
		{name: "one of two", endpoints: 2, dead: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, test.endpoints, func(t *testing.T, duty *Duty, links *links) {
				links.kill(test.dead, 0)
				for range 40 {
					duty.RecordUnreachable()
					time.Sleep(100 * time.Millisecond)
					if duty.IsCutOff() {
						t.Fatal("got cut off, want not: most endpoints are reached")
					}
				}
			})
		})
	}
}

// Guards against probes that cost connections although nothing failed, or more the more requests fail.
func TestEndpointsAreTriedOnlyAfterFailures(t *testing.T) {
	run(t, 19, func(t *testing.T, duty *Duty, links *links) {
		if got := links.dials.Load(); got != 0 {
			t.Errorf("got %d connections without a failure, want none", got)
		}
		for range 100 {
			duty.RecordUnreachable()
			time.Sleep(10 * time.Millisecond)
		}
		if got, most := links.dials.Load(), int64(roundSize*5); got > most {
			t.Errorf("got %d connections in a second of failures, want at most %d", got, most)
		}
		tried := links.dials.Load()
		for range 100 {
			duty.RecordReached()
			duty.RecordUnreachable()
			time.Sleep(10 * time.Millisecond)
		}
		if got := links.dials.Load(); got != tried {
			t.Errorf("got %d connections while others are opened, want none", got-tried)
		}
	})
}

// Guards against a daemon that takes its own pause for a cut: its connections were not opened in time because it stood still.
func TestPauseIsNoCut(t *testing.T) {
	run(t, 19, func(t *testing.T, duty *Duty, links *links) {
		links.kill(19, 2*time.Second)
		if duty.Check(t.Context()) || duty.IsCutOff() {
			t.Error("got cut off after a round of 2 s, want a round that says nothing")
		}
	})
}

// Guards against a daemon that takes itself for cut off when one data centre's endpoints end while another's are taken out, so that half
// of those in force are dead.
func TestRoundCoversAllDataCentres(t *testing.T) {
	duty := New(Options{})
	var endpoints []dogwoodpacking.Endpoint
	for i := range 40 {
		endpoint := dogwoodpacking.Endpoint{Endpoint: dogwoodfleet.Endpoint{InForce: true, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}}
		endpoint.Place.DataCentre = "a"
		if i >= 20 {
			endpoint.Place.DataCentre = "b"
		}
		endpoints = append(endpoints, endpoint)
	}
	duty.SetEndpoints(endpoints)
	for range 100 {
		inB := 0
		for _, address := range duty.choose() {
			if address.Addr().As4()[3] >= 20 {
				inB++
			}
		}
		if inB != roundSize/2 {
			t.Fatalf("got %d of %d endpoints of a round in one of two data centres, want half", inB, roundSize)
		}
	}
}
