package dogwooddaemon

import (
	"context"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

// maxConcurrentNotices bounds the concurrent calls that send notices to other owners.
const maxConcurrentNotices = 64

// suspectPeers exchanges permit requests and notices of suspects with the other owners.
type suspectPeers struct {
	ownership *ownership
	members   members
	peer      *peerRPC
	self      dogwoodfleet.InstanceID
}

// RequestPermit sends a permit request to the digest's home, the daemon that grants the permits to
// run the suspect, and returns the answer. The home may be this daemon.
func (peers *suspectPeers) RequestPermit(ctx context.Context, request dogwoodsuspect.PermitRequest) (dogwoodsuspect.PermitResponse, error) {
	alive := peers.members.Alive()
	instances := make([]dogwoodfleet.InstanceID, len(alive))
	for i, member := range alive {
		instances[i] = member.Instance
	}
	home := dogwoodsuspect.Home(request.Digest, instances)
	if home < 0 || alive[home].Instance == peers.self {
		return peers.ownership.local.Judge(request), nil
	}
	var answer dogwoodsuspect.PermitResponse
	err := peers.peer.Call(ctx, alive[home].Peer, "Owner.Judge", request, &answer)
	return answer, Error.Wrap(err)
}

// Notify sends notices to all other owners.
func (peers *suspectPeers) Notify(ctx context.Context, notices []dogwoodsuspect.Notice) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotices)
	for _, member := range peers.members.Alive() {
		if member.Instance == peers.self {
			continue
		}
		group.Go(func() error {
			var reply bool
			// A failed call isn't retried: the next strike sends the notices again, and a
			// starting daemon gets them by fetchNotices.
			_ = peers.peer.Call(ctx, member.Peer, "Owner.Learn", notices, &reply)
			return nil
		})
	}
	_ = group.Wait() // the functions of the group return no errors
}

// fetchNotices loads the notices of suspects from the first other daemon that answers, when
// this daemon starts.
func (peers *suspectPeers) fetchNotices(ctx context.Context) {
	for _, member := range peers.members.Alive() {
		if member.Instance == peers.self {
			continue
		}
		var notices []dogwoodsuspect.Notice
		if peers.peer.Call(ctx, member.Peer, "Owner.Notices", true, &notices) == nil {
			peers.ownership.local.Learn(notices)
			return
		}
	}
}
