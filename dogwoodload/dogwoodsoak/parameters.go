package dogwoodsoak

import (
	"context"
	"fmt"
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

// The site under test: three data centres, engines and plain endpoints, four customers.
const (
	host        = "soak.example"
	engineName  = "engines"
	deskName    = "desk"
	callerCount = 16
	// callInterval is the mean time between two requests of a caller.
	callInterval = 120 * time.Millisecond
)

// Parameters of the endpoints.
const (
	engineSlots = 12
	deskSlots   = 8
	// eventInterval is the time between two events, deskAnswerTime the time that a plain answer takes.
	eventInterval  = 40 * time.Millisecond
	deskAnswerTime = 40 * time.Millisecond
	streamEvents   = 12
	// coldDuration is how long an endpoint is cold after it started under load.
	coldDuration  = 3 * time.Second
	coldPerSecond = 5
	// drainSlack is how long an endpoint that leaves keeps serving beyond the required time.
	drainSlack = time.Second
	// removalDelay is how long after an endpoint falls silent the platform removes its entry.
	removalDelay = 1500 * time.Millisecond
	// crashPath is the path of requests that crash an engine, and crashPart how the IDs of parts begin whose prompts do. No other
	// ID begins so.
	crashPath = "/draft/crash"
	crashPart = "bad"
	// restartDelay is the time from a crash to the start of another endpoint at the address.
	restartDelay = time.Second
	// unreadTimeout is how long an answer may stay unread until its endpoint cuts it off.
	unreadTimeout = 2 * time.Second
	// bodiesPerSlot is how many bodies of the largest size an endpoint has memory for, for each of its slots: that of the request
	// in the slot and that of one which it is about to reject.
	bodiesPerSlot = 2
	// slowBodyRate is how many bytes a second of a body an endpoint reads that reads slowly.
	slowBodyRate = 160 << 10
	// daemonMemoryMB is the memory of the smallest of the users' daemons.
	daemonMemoryMB = 136
	// daemonDescriptors is the number of descriptors of the smallest of the users' daemons.
	daemonDescriptors = 2870
	megabyte          = 1 << 20
)

const (
	// slowCallerCount is the number of callers that read slowly.
	slowCallerCount = 6
	// textCallerCount is the number of callers that send prompts which are answered with a whole text.
	textCallerCount = 3
	// keptCallersPerDaemon is the number of callers that keep a connection to a daemon. Together they take more slots than there are.
	keptCallersPerDaemon = 6
	// versionCallerCount is the number of callers that ask all daemons for the routes of the latest versions of the text.
	versionCallerCount = 4
	// maxHotCallers bounds the callers of the hot customer. There is one for each slot of the engines, so that they take all.
	maxHotCallers = 96
	// routeRank is the rank of the prompts' route while ranks differ. It holds for the customers that have none.
	routeRank = 2
)

// recovery is the time after the last fault by which requests must be served again.
const recovery = 12 * time.Second

var dataCentres = []string{"a", "b", "c"}

// daemonBounds are the bounds in the daemons' settings, checkBounds the matching bounds of the checks. The values
// are those of the users' smaller deployments.
var (
	daemonBounds = dogwoodstandin.Bounds{
		Revoke: 5 * time.Second, Grace: 8 * time.Second, RetryWindow: 10 * time.Second,
		RetryRatio: 0.2, RetryAllowance: 20, DirectoryTTL: 5 * time.Second,
	}
	checkBounds = dogwoodsoakcheck.Bounds{
		Stability: 3 * time.Second, Revoke: daemonBounds.Revoke, Drain: 2 * time.Second, TakeOut: 5 * time.Second,
		RetryRatio: daemonBounds.RetryRatio, RetryAllowance: daemonBounds.RetryAllowance, RetryWindow: daemonBounds.RetryWindow,
		ColdPerSecond: coldPerSecond, ColdOvershoot: 1.5, ColdSlack: 5, LimitWindow: 4 * time.Second, LimitOvershoot: 1.5, LimitSlack: 5,
		Backoff: 2 * time.Second, BackoffDelay: 500 * time.Millisecond, BackoffLimit: 2,
		CrashesToLearn: 3, PartCrashesToLearn: 5, LateRetries: 3, AnswerSlack: time.Second, DeliverySlack: 2 * time.Second,
		ChangeWindow: 2 * time.Second, TextSlack: time.Second,
		Grace: daemonBounds.Grace, AcceptsFor: 3 * time.Second, StopSlack: 200 * time.Millisecond, RefusalSlack: time.Second,
		Recovery: recovery, ServedShare: 0.25,
		DaemonMemory: daemonMemoryMB * megabyte, DaemonDescriptors: daemonDescriptors, AnswerBuffer: daemonMemoryMB * megabyte / 8 / 16,
		StarvationWindow: 5 * time.Second, StarvationCalls: 10, StarvationServed: 4, StarvationShare: 0.1,
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

// textKind is the kind of prompts that are answered with a text, on a route whose answers are not streamed.
var textKind = dogwoodsoakcaller.Kind{
	Kind: dogwoodsoakcheck.Lookup, Service: engineName, Prefix: "/note/", Wait: 10 * time.Second, Events: streamEvents, PromptTokens: []int{5_000},
}

// crashingKind is the kind of requests that crash engines.
var crashingKind = dogwoodsoakcaller.Kind{
	Kind: dogwoodsoakcheck.Prompt, Service: engineName, Prefix: "/draft/", Wait: 10 * time.Second, Events: streamEvents, PromptTokens: []int{5_000},
}

var routes = []dogwoodstandin.Route{
	{Name: "hold", Host: host, Prefix: "/hold/", Service: deskName, Repeat: dogwoodstandin.Once, Timeout: 4 * time.Second, Aim: 300 * time.Millisecond, Attempts: 3},
	{Name: "stock", Host: host, Prefix: "/stock/", Service: deskName, Repeat: dogwoodstandin.Idempotent, Timeout: 4 * time.Second, Aim: 300 * time.Millisecond, Attempts: 3},
	{Name: "note", Host: host, Prefix: "/note/", Service: engineName, Repeat: dogwoodstandin.Idempotent, Timeout: 10 * time.Second, Aim: 2 * time.Second, Attempts: 3},
	{Name: "essay", Host: host, Prefix: "/essay/", Service: engineName, Repeat: dogwoodstandin.Stream, Timeout: 20 * time.Second, Aim: 3 * time.Second, Pause: 300 * time.Millisecond, Attempts: 3, Resumable: true},
	{Name: "draft", Host: host, Prefix: "/draft/", Service: engineName, Repeat: dogwoodstandin.Stream, Timeout: 10 * time.Second, Aim: time.Second, Pause: 300 * time.Millisecond, Attempts: 3, Resumable: true},
}

var services = []dogwoodstandin.Service{
	{Name: engineName, ColdPerSecond: coldPerSecond, Engine: true, Slots: engineSlots},
	{Name: deskName, ColdPerSecond: coldPerSecond},
}

var keys = []string{"key-0", "key-1", "key-2", "key-3"}

// slowBytes are the sizes of the answers that slow callers ask for. The last two are larger than the buffer of an answer, and the
// last one is larger than what the kernel holds beside.
var slowBytes = []int{128 << 10, 512 << 10, 4 * megabyte, 16 * megabyte}

// longKind is the kind of prompts with a long answer. With its time limit and aim a prompt may wait for a slot for more than half of
// the grace period.
var longKind = dogwoodsoakcaller.Kind{
	Kind: dogwoodsoakcheck.Prompt, Service: engineName, Prefix: "/essay/", Wait: 20 * time.Second, PromptTokens: []int{5_000, 45_000, 260_000},
}

// versionKind is the kind of requests on the route that only one version of the text has.
var versionKind = dogwoodsoakcaller.Kind{Kind: dogwoodsoakcheck.Lookup, Service: deskName, Prefix: "/version/", Wait: 4 * time.Second}

// versionRoute returns the route that only one version of the text has.
func versionRoute(version int64) dogwoodstandin.Route {
	return dogwoodstandin.Route{
		Name: fmt.Sprintf("version-%d", version), Host: host, Prefix: dogwoodsoakcaller.VersionPrefix(&versionKind, version), Service: deskName,
		Repeat: dogwoodstandin.Idempotent, Timeout: versionKind.Wait, Aim: 300 * time.Millisecond, Attempts: 3,
	}
}

// longEvents are the lengths of long answers. The longest one takes most of the time limit.
var longEvents = []int{50, 100, 200, 350}

// customers returns one customer for each key. A customer whose key is withdrawn has no key. Customers have the ranks of their keys,
// if these have any.
func customers(withdrawn map[string]bool, ranks map[string]int) []dogwoodstandin.Customer {
	result := make([]dogwoodstandin.Customer, 0, len(keys))
	for _, key := range keys {
		customer := dogwoodstandin.Customer{Name: "customer-of-" + key, Keys: []string{}}
		if rank, ok := ranks[key]; ok && rank != routeRank {
			customer.Rank = &rank
		}
		if !withdrawn[key] {
			customer.Keys = append(customer.Keys, key)
		}
		result = append(result, customer)
	}
	return result
}

// addressesTried counts the addresses that this process's soaks have tried.
var addressesTried atomic.Uint32

// newAddress returns a loopback address that no other process of a soak uses, so that its ports are free. The
// second byte is derived from the process id, so that concurrent soaks use different addresses; an address that is
// in use all the same is skipped.
func newAddress(ctx context.Context) (netip.Addr, error) {
	const (
		firstByte, byteCount = 2, 250 // 127.0 and 127.1 are left to other programs
		maxAddresses         = 1 << 16
	)
	secondByte := byte(firstByte + os.Getpid()%byteCount)
	for number := addressesTried.Add(1); number < maxAddresses; number = addressesTried.Add(1) {
		address := netip.AddrFrom4([4]byte{127, secondByte, byte(number >> 8), byte(number)})
		if isFree(ctx, netip.AddrPortFrom(address, standinPort)) && isFree(ctx, netip.AddrPortFrom(address, dogwoodstandin.CallersPort)) {
			return address, nil
		}
	}
	return netip.Addr{}, dogwoodverb.Error.New("no free loopback address")
}

// isFree reports whether no process listens at an address.
func isFree(ctx context.Context, address netip.AddrPort) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
