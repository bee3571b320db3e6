package dogwooddaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

const (
	// noticesInterval is the mean interval between two fetches of notices, and noticesRetryInterval the one after a failure.
	noticesInterval      = 5 * time.Second
	noticesRetryInterval = 200 * time.Millisecond
	// noticesTimeout bounds one fetch.
	noticesTimeout = 500 * time.Millisecond
)

// suspectPeers exchanges permit requests and notices of suspects with the other owners.
type suspectPeers struct {
	exchange dogwoodsuspects.Exchange
	// learn records the notices of another daemon.
	learn  func(notices []dogwoodsuspect.Notice)
	logger hclog.Logger
}

func newSuspectPeers(ownership *ownership, members members, peer *peerRPC, self dogwoodfleet.InstanceID, logger hclog.Logger) *suspectPeers {
	learn := func(notices []dogwoodsuspect.Notice) { ownership.local.Learn(notices) }
	return &suspectPeers{learn: learn, logger: logger, exchange: dogwoodsuspects.Exchange{
		Receiver: "Owner", Self: self, Caller: peer,
		Peers: func() []dogwoodsuspects.Peer {
			alive := members.Alive()
			peers := make([]dogwoodsuspects.Peer, len(alive))
			for i, member := range alive {
				peers[i] = dogwoodsuspects.Peer{Instance: member.Instance, Address: member.Peer}
			}
			return peers
		},
		Judge: func(request dogwoodsuspect.PermitRequest) dogwoodsuspect.PermitResponse {
			return ownership.local.Judge(request)
		},
		// runFetches fetches what did not arrive.
		Lost: func(dogwoodfleet.InstanceID, error) {},
	}}
}

// RequestPermit sends a permit request to the digest's home, the daemon that grants the permits to
// run the suspect, and returns the answer. The home may be this daemon.
func (peers *suspectPeers) RequestPermit(ctx context.Context, request dogwoodsuspect.PermitRequest) (dogwoodsuspect.PermitResponse, error) {
	_, response, err := peers.exchange.RequestPermit(ctx, request)
	return response, Error.Wrap(err)
}

// Notify sends notices to all other owners.
func (peers *suspectPeers) Notify(ctx context.Context, notices []dogwoodsuspect.Notice) {
	peers.exchange.Notify(ctx, notices)
}

// runFetches fetches other daemons' notices of suspects until the context ends: a daemon that starts knows none, and one that
// was frozen or cut off has missed some.
func (peers *suspectPeers) runFetches(ctx context.Context) {
	for {
		pause := noticesRetryInterval
		if peers.fetchNotices(ctx) {
			pause = dogwoodkernel.Jittered(noticesInterval)
		}
		if !dogwoodkernel.Sleep(ctx, pause) {
			return
		}
	}
}

// fetchNotices fetches the notices of a random other daemon. It reports whether one answered.
func (peers *suspectPeers) fetchNotices(ctx context.Context) bool {
	others := slices.DeleteFunc(slices.Clone(peers.exchange.Peers()), func(peer dogwoodsuspects.Peer) bool {
		return peer.Instance == peers.exchange.Self
	})
	if len(others) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, noticesTimeout)
	defer cancel()
	other := others[rand.IntN(len(others))]
	var notices []dogwoodsuspect.Notice
	if err := peers.exchange.Caller.Call(ctx, other.Address, "Owner.Notices", true, &notices); err != nil {
		peers.logger.Debug("The notices of suspects could not be fetched.", "peer", other.Instance, "error", err)
		return false
	}
	peers.learn(notices)
	return true
}
