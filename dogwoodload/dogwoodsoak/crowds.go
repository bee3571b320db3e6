package dogwoodsoak

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodcrowd"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
	"dogwoodmux.example/platform/dogwoodstandin"
)

const (
	// crowdClients is the number of a crowd's clients at each listener. Their heads alone exceed the memory of a daemon that does not bound them.
	crowdClients = 80
	// silentClients is that of a crowd that sends nothing. All of them exceed a daemon's descriptors.
	silentClients = 700
	// crowdHeadBytes is the largest head that the text allows.
	crowdHeadBytes = 16 << 10
	// crowdPause is the time between two rounds of a crowd.
	crowdPause = 500 * time.Millisecond
)

// sendCrowd lets clients that keep to no limits connect to all listeners of a daemon for the time of a step. The time of its beginning tells
// what they send.
func sendCrowd(ctx context.Context, daemon *daemon, step dogwoodsoakplan.Step) error {
	settings := &daemon.settings
	scripts := dogwoodcrowd.Scripts("GET "+dogwoodstandin.ReadinessPath+" HTTP/1.1\r\nHost: "+host+"\r\n", crowdHeadBytes)
	script := scripts[int(step.At/time.Millisecond)%len(scripts)]
	clients := crowdClients
	if len(script.First) == 0 && script.Holds {
		clients = silentClients
	}
	crowdCtx, cancel := context.WithTimeout(ctx, step.For)
	defer cancel()
	var group errgroup.Group
	for _, address := range []netip.AddrPort{settings.CallersAddress(), settings.Forwards(), settings.Directory(), settings.Readiness(), settings.Peer()} {
		group.Go(func() error {
			for crowdCtx.Err() == nil {
				options := &dogwoodcrowd.Options{Address: address, Script: script, Clients: clients, Hold: step.For}
				if _, err := dogwoodcrowd.Run(crowdCtx, options); err != nil && crowdCtx.Err() == nil {
					return dogwoodverb.Error.Wrap(err)
				}
				dogwoodkernel.Sleep(crowdCtx, crowdPause)
			}
			return nil
		})
	}
	return group.Wait()
}
