package dogwoodsoakcaller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
)

// latestShare is the share of the requests for the route of the latest version; the others ask for that of the one before.
const latestShare = 0.7

// VersionPrefix returns the path prefix of the route that only one version of the operators' text has.
func VersionPrefix(kind *Kind, version int64) string {
	return fmt.Sprintf("%s%d/", kind.Prefix, version)
}

// RunVersions runs one further caller until the context ends, as Run does. It asks all daemons, whatever the directory answers, for
// the routes that were added and dropped last.
func (callers *Callers) RunVersions(ctx context.Context, number int, seed uint64) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	caller := callers.newCaller(number, rand.New(rand.NewPCG(seed+2, uint64(number))), transport)
	kind := &callers.options.Version
	for dogwoodkernel.Sleep(ctx, time.Duration(caller.random.ExpFloat64()*float64(callers.options.MeanInterval))) {
		daemon := &callers.options.Daemons[caller.random.IntN(len(callers.options.Daemons))]
		version := callers.options.LatestVersion()
		if caller.random.Float64() >= latestShare {
			version--
		}
		caller.sent++
		call := dogwoodsoakcheck.Call{
			ID: fmt.Sprintf("v%d-%d", number, caller.sent), Kind: kind.Kind, Service: kind.Service, Daemon: daemon.Name, Wait: kind.Wait,
			Key: callers.options.Keys[caller.random.IntN(len(callers.options.Keys))], RouteOf: max(1, version),
		}
		target := fmt.Sprintf("%s%d?q=%d", VersionPrefix(kind, call.RouteOf), number, caller.sent)
		caller.send(context.WithoutCancel(ctx), &call, kind, daemon.Address, target, "x")
	}
}
