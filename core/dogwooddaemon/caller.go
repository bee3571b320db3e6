package dogwooddaemon

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodmux.example/core/decision/dogwoodentry"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodburncounts"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/edge/dogwoodcaller"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginCaller, []string{pluginDispatch, pluginBurn}, startCaller))
}

// entryTTL is how long callers may use the addresses that they were given. A daemon that
// shuts down keeps serving for this long after it left the list, so a graceful shutdown
// takes at least this time. A caller may also use the address of a dead daemon for this long.
const entryTTL = 5 * time.Second

func startCaller(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodcaller.Edge], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	dispatcher := dogwoodkernel.Need[*dogwooddispatch.Dispatcher](&needs, pluginDispatch)
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	burn := dogwoodkernel.Need[*dogwoodburncounts.Keeper](&needs, pluginBurn)
	if needs.Err != nil {
		return nil, needs.Err
	}
	edge := dogwoodcaller.New(dogwoodcaller.Options{
		Place: environment.place, Text: changes.Text, Dispatcher: dispatcher,
		Entries: entries{members: members, place: environment.place}, Record: burn.Record, Logger: kernel.Named(pluginCaller),
	})
	return &dogwoodkernel.ValuePart[*dogwoodcaller.Edge]{Value: edge}, nil
}

// entries chooses the addresses that callers are given.
type entries struct {
	members members
	place   dogwoodfleet.Place
}

// Entry draws addresses at random from the live daemons.
func (entries entries) Entry(dogwoodfleet.Customer) dogwoodcaller.Entry {
	listed := entries.members.Entries()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return dogwoodcaller.Entry{
		Addresses:   dogwoodentry.Choose(listed, entries.place, dogwoodentry.Addresses, random),
		KeepSeconds: int(entryTTL / time.Second),
	}
}
