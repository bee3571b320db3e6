package dogwooddaemon

import (
	"context"
	"encoding/hex"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodchanges"
	"dogwoodmux.example/core/edge/dogwoodplatform"
	"dogwoodmux.example/core/state/dogwoodchange"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginChanges, []string{pluginPeer, pluginPlatform, pluginMembers}, startChanges))
}

// changes is the log of the operators' changes and the duty that propagates them.
type changes struct {
	*dogwoodchange.Log
	duty *dogwoodchanges.Duty
}

func startChanges(_ context.Context, kernel *dogwoodkernel.Kernel, _ *environment) (*dogwoodkernel.ValuePart[*changes], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	platform := dogwoodkernel.Need[*dogwoodplatform.Client](&needs, pluginPlatform)
	peer := dogwoodkernel.Need[*peerRPC](&needs, pluginPeer)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	if needs.Err != nil {
		return nil, needs.Err
	}
	logger := kernel.Named(pluginChanges)
	log := dogwoodchange.New(dogwoodchange.Options{Store: platform, Objects: platform, VMs: members.Listed, Logger: logger})
	duty := dogwoodchanges.New(dogwoodchanges.Options{Log: log, Members: members.Members, Caller: peer, Logger: logger})
	if err := peer.server.Register(dogwoodchanges.Name, duty.Receiver()); err != nil {
		return nil, Error.Wrap(err)
	}
	kernel.Go("changes", duty.Run)
	return &dogwoodkernel.ValuePart[*changes]{Value: &changes{Log: log, duty: duty}}, nil
}

// Submit submits a change and returns once another daemon has it too.
func (changes *changes) Submit(ctx context.Context, change dogwoodchange.Change) (dogwoodchange.Accepted, error) {
	return changes.duty.Submit(ctx, change)
}

// emptyText is in force until operators apply a text; it has no services and no customers.
var emptyText = &dogwoodsettings.Text{}

// Text returns the operators' text in force.
func (changes *changes) Text() *dogwoodsettings.Text {
	if text := changes.Current().Text; text != nil {
		return text
	}
	return emptyText
}

// ready reports whether this daemon has caught up with the latest version at the store and its
// peers since its start.
func (changes *changes) ready() bool {
	select {
	case <-changes.duty.Ready():
		return true
	default:
		return false
	}
}

// applyLifts calls lift once for each conviction that operators lifted, until the context ends.
func (changes *changes) applyLifts(ctx context.Context, lift func(ctx context.Context, digest dogwoodfleet.Digest)) error {
	var version uint64
	for {
		changed := changes.Watch()
		current := changes.Current()
		for _, lifted := range current.Lifted {
			var digest dogwoodfleet.Digest
			decoded, err := hex.DecodeString(lifted.Digest)
			if lifted.Version > version && err == nil && copy(digest[:], decoded) == len(digest) {
				lift(ctx, digest)
			}
		}
		version = current.Version
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
