// Package dogwoodmembership is the duty that keeps a daemon's view of the other members up to
// date: it sends heartbeats, answers those of others, reads the platform's list of VMs and checks
// how old the last heartbeats are.
package dogwoodmembership

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodmember"
)

// Error is the class of this package's errors.
var Error = errs.Class("membership")

const (
	// heartbeatTimeout bounds the call that sends one heartbeat. Until the call ends, the peer is
	// sent no other heartbeat.
	heartbeatTimeout = time.Second
	// listInterval is how often the platform's list is read: an endpoint that it shows as
	// leaving gets no new work after this interval plus the list's own lag. 500 daemons make
	// 250 reads of the list a second, most of which are answered with "not changed".
	listInterval = 2 * time.Second
	// Name is the name under which the receiver is registered with the peers' server.
	Name = "Member"
)

var heartbeatsSent = expvar.NewInt("MemberBeatsSent")

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// List reads the platform's list of VMs.
type List interface {
	VMs(ctx context.Context) ([]dogwoodfleet.ListedVM, error)
}

// Options configure the duty.
type Options struct {
	Members *dogwoodmember.Members
	Caller  Caller
	List    List
	// Logger may be nil to disable logging.
	Logger hclog.Logger
}

// Duty keeps Members up to date while Run runs.
type Duty struct {
	options Options
	// sendNow requests a heartbeat before the interval ends.
	sendNow chan struct{}

	mutex    sync.Mutex
	inFlight map[netip.AddrPort]bool
}

// New returns a duty that does nothing until Run is called.
func New(options Options) *Duty {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Duty{options: options, sendNow: make(chan struct{}, 1), inFlight: map[netip.AddrPort]bool{}}
}

// Run sends heartbeats, ticks the members and reads the list until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return duty.sendHeartbeats(ctx) })
	group.Go(func() error { return duty.runTicks(ctx) })
	group.Go(func() error { return duty.readLists(ctx) })
	return group.Wait()
}

// Leave marks this daemon as leaving and notifies its neighbours at once.
func (duty *Duty) Leave() {
	duty.options.Members.Leave()
	duty.requestHeartbeat()
}

// requestHeartbeat makes the next heartbeat due now.
func (duty *Duty) requestHeartbeat() {
	select {
	case duty.sendNow <- struct{}{}:
	default:
	}
}

// Receiver returns the RPC receiver that other daemons call, to be registered as Name.
func (duty *Duty) Receiver() *Receiver {
	return &Receiver{members: duty.options.Members}
}

// Receiver answers other daemons.
type Receiver struct {
	members *dogwoodmember.Members
}

// Beat handles a heartbeat.
func (receiver *Receiver) Beat(beat dogwoodmember.Beat, reply *dogwoodmember.BeatReply) error {
	*reply = receiver.members.ApplyHeartbeat(beat, time.Now())
	return nil
}

// Introduce adds records that this daemon requested in its answer to a heartbeat, and answers
// with those that the caller lacks.
func (receiver *Receiver) Introduce(introduction dogwoodmember.Introduction, reply *dogwoodmember.Introduction) error {
	*reply = receiver.members.Introduce(introduction)
	return nil
}

func (duty *Duty) sendHeartbeats(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		beat, targets := duty.options.Members.NextHeartbeat(time.Now())
		for _, target := range targets {
			if duty.markInFlight(target.Peer) {
				group.Go(func() {
					defer duty.clearInFlight(target.Peer)
					duty.sendHeartbeat(ctx, beat, target)
				})
			}
		}
		// The jitter spreads out the heartbeats of daemons that started together.
		timer := time.NewTimer(jittered(dogwoodmember.HeartbeatInterval))
		select {
		case <-timer.C:
		case <-duty.sendNow:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// markInFlight reports whether no heartbeat to the peer is in flight, and marks one if so: calls
// to a silent peer must not pile up.
func (duty *Duty) markInFlight(peer netip.AddrPort) bool {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.inFlight[peer] {
		return false
	}
	duty.inFlight[peer] = true
	return true
}

func (duty *Duty) clearInFlight(peer netip.AddrPort) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	delete(duty.inFlight, peer)
}

func (duty *Duty) sendHeartbeat(ctx context.Context, beat dogwoodmember.Beat, target dogwoodmember.Target) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	heartbeatsSent.Add(1)
	var reply dogwoodmember.BeatReply
	if err := duty.options.Caller.Call(ctx, target.Peer, Name+".Beat", beat, &reply); err != nil {
		duty.options.Logger.Trace("Heartbeat failed.", "vm", target.VM, "error", err)
		return
	}
	introduction := duty.options.Members.ApplyReply(reply, time.Now())
	if introduction.IsEmpty() {
		return
	}
	var answer dogwoodmember.Introduction
	if err := duty.options.Caller.Call(ctx, target.Peer, Name+".Introduce", introduction, &answer); err != nil {
		duty.options.Logger.Debug("Member records not exchanged.", "vm", target.VM, "error", err)
		return
	}
	duty.options.Members.Introduce(answer)
}

func (duty *Duty) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(dogwoodmember.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			duty.options.Members.Tick(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// readLists reads the list at regular intervals. The first list triggers a heartbeat at once:
// otherwise daemons that start at the same time would find each other only with their second
// heartbeat.
func (duty *Duty) readLists(ctx context.Context) error {
	first := true
	for {
		listed, err := duty.options.List.VMs(ctx)
		if err != nil {
			duty.options.Logger.Debug("List of VMs not read.", "error", err)
		} else {
			duty.options.Members.SetListed(listed)
			if first {
				first = false
				duty.requestHeartbeat()
			}
		}
		timer := time.NewTimer(jittered(listInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// jittered returns the period, randomly varied by up to a tenth in either direction.
func jittered(period time.Duration) time.Duration {
	const jitterDivisor = 10
	return period - period/jitterDivisor + rand.N(2*period/jitterDivisor)
}
