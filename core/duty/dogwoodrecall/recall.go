// Package dogwoodrecall queries the other daemons for what they hold in memory about a call that
// may run only once, while the platform's store is unavailable.
//
// Load pattern: an outage of the store during which callers resend the calls that were not
// answered. Without this package the refusal would say "not run" for calls that another daemon
// ran, and their callers would make them a second time under a new key.
package dogwoodrecall

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"dogwoodmux.example/core/state/dogwoodclaim"
	"dogwoodmux.example/core/state/dogwoodmember"
)

const (
	// Name is the name under which the receiver is registered with the peers' server.
	Name = "Claim"
	// maxPeers bounds the number of daemons that are queried about one call. With 500 daemons, an
	// outage with a thousand such calls a second would cause half a million calls a second
	// between daemons. Above the bound the call's outcome is reported as unknown.
	maxPeers = 32
)

// Members reports on the other daemons.
type Members interface {
	// Peers returns all other daemons that are listed or known from heartbeats, including dead
	// ones.
	Peers() []dogwoodmember.Target
	// Lost returns when an instance of another daemon was last replaced or dropped, zero for
	// never.
	Lost() time.Time
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Options configures Peers.
type Options struct {
	Members Members
	Caller  Caller
	// KeepFor is how long claims are kept: a daemon that was lost less than this ago may have
	// sent the call.
	KeepFor time.Duration
}

// Peers queries the other daemons about calls. It is safe for concurrent use.
type Peers struct {
	options Options
}

var _ dogwoodclaim.Peers = (*Peers)(nil)

// New returns Peers with these options.
func New(options Options) *Peers {
	return &Peers{options: options}
}

// Recall queries all other daemons for what they hold about a call. A daemon that can't be reached
// counts as one that may have dropped its record. Recall returns false if there are more than
// maxPeers daemons, or if a daemon that was lost recently may have sent the call.
func (peers *Peers) Recall(ctx context.Context, query dogwoodclaim.RecallQuery) ([]dogwoodclaim.RecallReply, bool) {
	targets := peers.options.Members.Peers()
	if len(targets) > maxPeers {
		return nil, false
	}
	replies := make([]dogwoodclaim.RecallReply, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		group.Go(func() {
			err := peers.options.Caller.Call(ctx, target.Peer, Name+".Recall", query, &replies[i])
			if err != nil {
				replies[i] = dogwoodclaim.RecallReply{Forgot: true}
			}
		})
	}
	group.Wait()
	lost := peers.options.Members.Lost()
	return replies, lost.IsZero() || time.Since(lost) > peers.options.KeepFor
}

// RecallAnswerer answers queries about calls from this daemon's own claims.
type RecallAnswerer interface {
	AnswerRecall(query dogwoodclaim.RecallQuery) dogwoodclaim.RecallReply
}

// Receiver answers other daemons over net/rpc.
type Receiver struct {
	claims  RecallAnswerer
	members Members
}

// NewReceiver returns the receiver to register as Name.
func NewReceiver(claims RecallAnswerer, members Members) *Receiver {
	return &Receiver{claims: claims, members: members}
}

// Recall reports what this daemon holds about a call. It sets Forgot also if this daemon has lost
// another one recently, because the querying daemon may have started after that loss.
func (receiver *Receiver) Recall(query dogwoodclaim.RecallQuery, reply *dogwoodclaim.RecallReply) error {
	*reply = receiver.claims.AnswerRecall(query)
	lost := receiver.members.Lost()
	if !lost.IsZero() && time.Since(lost) < dogwoodclaim.DefaultKeepFor {
		reply.Forgot = true
	}
	return nil
}
