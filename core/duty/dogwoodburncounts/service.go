package dogwoodburncounts

import (
	"time"

	"dogwoodmux.example/core/decision/dogwoodburn"
)

// Service is the net/rpc service "Burn", through which other daemons call the keeper.
type Service struct {
	keeper *Keeper
}

// Service returns the service to register with the peer server.
func (keeper *Keeper) Service() *Service {
	return &Service{keeper: keeper}
}

// Kept is the empty reply of Keep.
type Kept struct{}

// HoldingsArgs is the empty argument of Service.Holdings.
type HoldingsArgs struct{}

// Holdings are a daemon's own counters and its copies of other daemons' counters.
type Holdings struct {
	Own  dogwoodburn.Snapshot
	Kept []dogwoodburn.Snapshot
}

// Keep stores a copy of the calling daemon's counters.
func (service *Service) Keep(snapshot dogwoodburn.Snapshot, _ *Kept) error {
	service.keeper.keep(snapshot)
	return nil
}

// Holdings returns the daemon's own counters and the copies that it holds.
func (service *Service) Holdings(_ HoldingsArgs, holdings *Holdings) error {
	*holdings = service.keeper.holdings(time.Now())
	return nil
}
