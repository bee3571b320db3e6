package dogwooddaemon

import (
	"context"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

// suspectPeers exchanges permit requests and notices of suspects with the other owners.
type suspectPeers struct {
	exchange  dogwoodsuspects.Exchange
	ownership *ownership
}

func newSuspectPeers(ownership *ownership, members members, peer *peerRPC, self dogwoodfleet.InstanceID) *suspectPeers {
	return &suspectPeers{ownership: ownership, exchange: dogwoodsuspects.Exchange{
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
		// The next strike sends the notices again, and a daemon that starts gets them by fetchNotices.
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

// fetchNotices loads the notices of suspects from the first other daemon that answers, when
// this daemon starts.
func (peers *suspectPeers) fetchNotices(ctx context.Context) {
	for _, peer := range peers.exchange.Peers() {
		if peer.Instance == peers.exchange.Self {
			continue
		}
		var notices []dogwoodsuspect.Notice
		if peers.exchange.Caller.Call(ctx, peer.Address, "Owner.Notices", true, &notices) == nil {
			peers.ownership.local.Learn(notices)
			return
		}
	}
}
