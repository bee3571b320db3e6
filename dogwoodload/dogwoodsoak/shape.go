package dogwoodsoak

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"dogwoodmux.example/dogwoodload/dogwoodsoakcaller"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// The site that is soaked: three data centres, engines and plain endpoints, four customers.
const (
	host         = "soak.example"
	engineName   = "engines"
	deskName     = "desk"
	callersCount = 16
	// callEvery is the mean time between two requests of a caller.
	callEvery = 120 * time.Millisecond
)

// Figures of the endpoints.
const (
	engineSlots = 12
	deskSlots   = 8
	// eventEvery is the pause between two events, deskWork what a plain answer takes.
	eventEvery   = 40 * time.Millisecond
	deskWork     = 40 * time.Millisecond
	streamEvents = 12
	// coldFor is how long an endpoint is cold after it started under load.
	coldFor       = 3 * time.Second
	coldPerSecond = 5
	// servesOn is how long an endpoint that leaves serves on beyond the time that it owes.
	servesOn = time.Second
	// noticedGone is when the platform removes the entry of an endpoint that fell silent.
	noticedGone = 1500 * time.Millisecond
)

// recovery is the time after the last fault by which requests are served again.
const recovery = 12 * time.Second

var dataCentres = []string{"a", "b", "c"}

// daemonBounds are what the daemons are told to keep, checkBounds the same as the checks need it. They
// are the figures of the users' smaller deployments.
var (
	daemonBounds = dogwoodstandin.Bounds{
		Revoke: 5 * time.Second, Grace: 8 * time.Second, RetryWindow: 10 * time.Second,
		RetryRatio: 0.2, RetryAllowance: 20, KeepDirectory: 5 * time.Second,
	}
	checkBounds = dogwoodsoakcheck.Bounds{
		Stability: 3 * time.Second, Revoke: daemonBounds.Revoke, Drain: 2 * time.Second, TakeOut: 5 * time.Second,
		RetryRatio: daemonBounds.RetryRatio, RetryAllowance: daemonBounds.RetryAllowance, RetryWindow: daemonBounds.RetryWindow,
		ColdPerSecond: coldPerSecond, ColdOvershoot: 1.5, ColdSlack: 5, AnswerSlack: time.Second,
		Configuration: 2 * time.Second, TextSlack: time.Second,
		StopSlack: 200 * time.Millisecond, TakesFor: 2 * time.Second,
		Recovery: recovery, ServedShare: 0.25,
	}
)

var callKinds = []dogwoodsoakcaller.Kind{
	{Kind: dogwoodsoakcheck.Once, Service: deskName, Prefix: "/hold/", Wait: 4 * time.Second, Weight: 3},
	{Kind: dogwoodsoakcheck.Lookup, Service: deskName, Prefix: "/stock/", Wait: 4 * time.Second, Weight: 3},
	{
		Kind: dogwoodsoakcheck.Prompt, Service: engineName, Prefix: "/draft/", Wait: 10 * time.Second, Weight: 5,
		Events: streamEvents, PromptTokens: []int{1_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 45_000, 45_000, 260_000},
	},
}

var routes = []dogwoodstandin.Route{
	{Name: "hold", Host: host, Prefix: "/hold/", Service: deskName, Repeat: dogwoodstandin.Once, Timeout: 4 * time.Second, Aim: 300 * time.Millisecond, Attempts: 3},
	{Name: "stock", Host: host, Prefix: "/stock/", Service: deskName, Repeat: dogwoodstandin.Idempotent, Timeout: 4 * time.Second, Aim: 300 * time.Millisecond, Attempts: 3},
	{Name: "draft", Host: host, Prefix: "/draft/", Service: engineName, Repeat: dogwoodstandin.Stream, Timeout: 10 * time.Second, Aim: time.Second, Pause: 300 * time.Millisecond, Attempts: 3, Resumable: true},
}

var services = []dogwoodstandin.Service{
	{Name: engineName, ColdPerSecond: coldPerSecond, Engine: true, Slots: engineSlots},
	{Name: deskName, ColdPerSecond: coldPerSecond},
}

var keys = []string{"key-0", "key-1", "key-2", "key-3"}

// customers are one for each key; those whose key is withdrawn have none.
func customers(withdrawn map[string]bool) []dogwoodstandin.Customer {
	made := make([]dogwoodstandin.Customer, 0, len(keys))
	for _, key := range keys {
		customer := dogwoodstandin.Customer{Name: "customer-of-" + key, Keys: []string{}}
		if !withdrawn[key] {
			customer.Keys = append(customer.Keys, key)
		}
		made = append(made, customer)
	}
	return made
}

// addressesGiven counts the addresses of this process's soaks.
var addressesGiven atomic.Uint32

// ownAddress is a loopback address that no other process of a soak has, so that its ports are free. The
// second byte comes from this process, so that soaks beside each other differ; one that is taken all
// the same is passed over.
func ownAddress(ctx context.Context) (netip.Addr, error) {
	const (
		firstSecond, seconds = 2, 250 // 127.0 and 127.1 are left to others
		most                 = 1 << 16
	)
	second := byte(firstSecond + os.Getpid()%seconds)
	for given := addressesGiven.Add(1); given < most; given = addressesGiven.Add(1) {
		address := netip.AddrFrom4([4]byte{127, second, byte(given >> 8), byte(given)})
		if free(ctx, netip.AddrPortFrom(address, standinPort)) && free(ctx, netip.AddrPortFrom(address, dogwoodstandin.CallersPort)) {
			return address, nil
		}
	}
	return netip.Addr{}, dogwoodverb.Error.New("no loopback address is left")
}

// free is true if nobody listens at an address.
func free(ctx context.Context, address netip.AddrPort) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
