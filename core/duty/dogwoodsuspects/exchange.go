package dogwoodsuspects

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("suspects")

const (
	// notifyTimeout bounds how long a failure is withheld from its caller while the other daemons are notified: about a
	// hundred round trips within a region.
	notifyTimeout = 300 * time.Millisecond
	// maxConcurrentNotices bounds the concurrent calls that send notices.
	maxConcurrentNotices = 64
)

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Peer is a daemon that has a ledger.
type Peer struct {
	Instance dogwoodfleet.InstanceID
	Address  netip.AddrPort
}

// Exchange sends notices and requests for permits to the daemons that have ledgers.
type Exchange struct {
	// Receiver is the name of the RPC receiver with the methods Learn and Judge.
	Receiver string
	Self     dogwoodfleet.InstanceID
	Caller   Caller
	// Peers lists these daemons, this one included if it is one of them.
	Peers func() []Peer
	// Judge answers a request for a permit for which this daemon is the home.
	Judge func(request dogwoodsuspect.PermitRequest) dogwoodsuspect.PermitResponse
	// Lost is called for each notice that did not arrive.
	Lost func(peer dogwoodfleet.InstanceID, err error)
}

// RequestPermit requests or returns a permit at the digest's home, which it returns too: the peer that all daemons choose,
// or would choose without the given ones. That may be this daemon, which also judges if there is no peer left.
func (exchange *Exchange) RequestPermit(ctx context.Context, request dogwoodsuspect.PermitRequest, without ...dogwoodfleet.InstanceID) (dogwoodfleet.InstanceID, dogwoodsuspect.PermitResponse, error) {
	peers := slices.DeleteFunc(slices.Clone(exchange.Peers()), func(peer Peer) bool { return slices.Contains(without, peer.Instance) })
	instances := make([]dogwoodfleet.InstanceID, len(peers))
	for i, peer := range peers {
		instances[i] = peer.Instance
	}
	home := dogwoodsuspect.Home(request.Digest, instances)
	if home < 0 || instances[home] == exchange.Self {
		return exchange.Self, exchange.Judge(request), nil
	}
	var response dogwoodsuspect.PermitResponse
	err := exchange.Caller.Call(ctx, peers[home].Address, exchange.Receiver+".Judge", request, &response)
	return instances[home], response, Error.Wrap(err)
}

// Notify sends notices to all other daemons and waits until they have them, for notifyTimeout at most. A call that fails
// isn't repeated.
func (exchange *Exchange) Notify(ctx context.Context, notices []dogwoodsuspect.Notice) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotices)
	for _, peer := range exchange.Peers() {
		if peer.Instance == exchange.Self {
			continue
		}
		group.Go(func() error {
			var reply bool
			if err := exchange.Caller.Call(ctx, peer.Address, exchange.Receiver+".Learn", notices, &reply); err != nil {
				exchange.Lost(peer.Instance, err)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
}
