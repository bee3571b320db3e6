package dogwoodsoak

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodview"
	"dogwoodmux.example/platform/dogwoodboot"
	"dogwoodmux.example/platform/dogwoodstore"
	"dogwoodmux.example/platform/dogwoodwire"
)

// fault is the promise that a careless daemon breaks. It has the name of the check that must find it, with a hyphen
// and a suffix where several faults break the same promise.
type fault string

func (fault fault) check() string {
	check, _, _ := strings.Cut(string(fault), "-")
	return check
}

// The promises that a careless daemon can break.
const (
	twiceRun         fault = "TwiceRun"
	falseNotRun      fault = "FalseNotRun"
	wrongAnswer      fault = "WrongAnswer"
	keyPassedOn      fault = "KeyPassedOn"
	withdrawnKeyRan  fault = "WithdrawnKeyRan"
	sentAfterLeaving fault = "SentAfterLeaving"
	sentAfterTakeOut fault = "SentAfterTakeOut"
	retryBudget      fault = "RetryBudget"
	namedLimit       fault = "NamedLimit"
	sentInBackoff    fault = "SentInBackoff"
	sentAfterAnswer  fault = "SentAfterAnswer"
	crashRetries     fault = "CrashRetries"
	crashingParts    fault = "CrashRetries-part"
	memoryHeld       fault = "MemoryHeld"
	answeredLate     fault = "AnsweredLate"
	processDied      fault = "ProcessDied"
	cutByChange      fault = "CutByChange"
	cutByReload      fault = "CutByChange-reload"
	oldText          fault = "OldText"
	oldRoute         fault = "OldText-route"
	denied           fault = "Denied"
	cutByStop        fault = "CutByStop"
	cutWaiting       fault = "CutByStop-waiting"
	stopTooLong      fault = "StopTooLong"
	cutWithoutCause  fault = "CutWithoutCause"
	daemonMemory     fault = "DaemonMemory"
	endpointMemory   fault = "EndpointMemory"
	slowAnswer       fault = "SlowAnswer"
	slowAnswerCut    fault = "SlowAnswer-cut"
	starved          fault = "Starved"
)

// cutDuration is how long after a change a careless daemon cuts requests.
const cutDuration = 2 * time.Second

// pollInterval is the time between two reads of the store by a careless daemon.
const pollInterval = 100 * time.Millisecond

// careless is a minimal daemon that breaks one promise. It sends each request to a random endpoint of its service,
// without queues, budgets or limits.
type careless struct {
	fault   fault
	regions map[dogwoodfleet.DataCentre]dogwoodfleet.Region
	client  *http.Transport

	mutex     sync.Mutex
	table     *dogwoodroute.Table
	servers   map[string]dogwoodview.Server
	first     *dogwoodroute.Table // of the first text that it knew
	takenOut  map[string]bool
	keys      map[string]dogwoodfleet.Customer // all keys that were ever valid
	received  int                              // number of the latest request
	version   int64                            // of the operators' text
	changedAt time.Time                        // time of the latest change that makes it cut requests
	held      []byte                           // what it holds needlessly
	stopping  atomic.Bool                      // it has been told to stop
}

// runCareless runs a careless daemon with the settings that the subcommand "serve" of the platform would read.
func runCareless(ctx context.Context, fault fault) error {
	source, err := os.ReadFile(os.Getenv(dogwoodboot.SettingsVariable))
	if err != nil {
		return err
	}
	settings, err := dogwoodboot.Parse(source)
	if err != nil {
		return err
	}
	careless := &careless{
		fault: fault, regions: settings.DataCentres, client: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		servers: map[string]dogwoodview.Server{}, keys: map[string]dogwoodfleet.Customer{},
	}
	directory := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(writer, `{"addresses":[%q],"ttl_s":1}`, settings.Callers)
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return careless.poll(ctx, dogwoodstore.New(settings.Store)) })
	stops := make(chan os.Signal, 1)
	if fault == cutWaiting || fault == stopTooLong {
		signal.Notify(stops, syscall.SIGTERM)
	}
	group.Go(func() error { return careless.stop(ctx, stops) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	group.Go(func() error { return careless.reload(ctx, signals) })
	for address, handler := range map[netip.AddrPort]http.Handler{settings.Callers: careless, settings.Directory: directory} {
		server := &http.Server{Addr: address.String(), Handler: handler}
		group.Go(server.ListenAndServe)
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return group.Wait()
}

func (careless *careless) poll(ctx context.Context, store *dogwoodstore.Client) error {
	for {
		operators, err := store.All(ctx, dogwoodwire.OperatorTable)
		if err == nil {
			careless.applyOperatorRows(operators.Rows)
		}
		servers, err := store.All(ctx, dogwoodwire.ServersTable)
		if err == nil {
			careless.applyServerRows(servers.Rows)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (careless *careless) reload(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return ctx.Err()
		}
		careless.mutex.Lock()
		careless.recordChange(cutByReload)
		careless.mutex.Unlock()
	}
}

// stop answers all but the requests that wait, late in the grace period, or goes on for longer, if one of that is the fault. Otherwise
// SIGTERM ends the process at once.
func (careless *careless) stop(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-ctx.Done():
		return ctx.Err()
	}
	careless.stopping.Store(true)
	time.Sleep(daemonBounds.Grace * 9 / 10)
	if careless.fault == cutWaiting {
		syscall.Exit(0) // os.Exit takes a second more under the race detector
	}
	return nil
}

// recordChange starts a period in which requests are cut, if the given fault is that of the daemon. The first request
// of the period is the first one cut: on a busy machine there may be fewer than ten. The caller holds the mutex.
func (careless *careless) recordChange(fault fault) {
	if careless.fault == fault {
		careless.changedAt = time.Now()
		careless.received = -1
	}
}

func (careless *careless) applyOperatorRows(rows []dogwoodwire.Row) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	careless.takenOut = map[string]bool{}
	for _, row := range rows {
		if dataCentre, ok := strings.CutPrefix(row.Key, dogwoodwire.TakenOutPrefix); ok {
			careless.takenOut[dataCentre] = true
			continue
		}
		if table, err := dogwoodwire.Text(row.Value); err == nil {
			careless.table, careless.first = table, cmp.Or(careless.first, table)
			if row.Version != careless.version {
				careless.version = row.Version
				careless.recordChange(cutByChange)
			}
		}
	}
}

func (careless *careless) applyServerRows(rows []dogwoodwire.Row) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	if careless.fault != sentAfterLeaving {
		careless.servers = map[string]dogwoodview.Server{}
	}
	for _, row := range rows {
		server, err := dogwoodwire.Server(row.Key, row.Value, careless.regions)
		if err == nil && (!server.Draining || careless.fault == sentAfterLeaving) {
			careless.servers[row.Key] = server
		}
	}
}

// pickServer returns a random endpoint of a service.
func (careless *careless) pickServer(service dogwoodfleet.Service) (dogwoodview.Server, error) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	var candidates []dogwoodview.Server
	for _, server := range careless.servers {
		takenOut := careless.takenOut[string(server.Endpoint.Place.DataCentre)] && careless.fault != sentAfterTakeOut
		if server.Service == service && !takenOut {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return dogwoodview.Server{}, errors.New("no endpoint")
	}
	return candidates[rand.IntN(len(candidates))], nil
}

func (careless *careless) customer(key string) (dogwoodfleet.Customer, bool) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	customer, known := careless.table.Customer(key)
	if known {
		careless.keys[key] = customer
	}
	if !known && careless.fault == withdrawnKeyRan {
		customer, known = careless.keys[key]
	}
	return customer, known
}

// route returns the route of a request by the text, or by the first one that it knew, if that is the fault. Without a route it
// returns the status of the answer.
func (careless *careless) route(received *http.Request, number int) (*dogwoodroute.Route, int) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	if careless.table == nil {
		return nil, http.StatusServiceUnavailable
	}
	route, ok := careless.table.Route(received.Host, received.URL.Path)
	if old, found := careless.first.Route(received.Host, received.URL.Path); careless.triggers(oldText, number) && !found || careless.fault == oldRoute && found {
		route, ok = old, found
	}
	if !ok || careless.triggers(denied, number) {
		return nil, http.StatusNotFound
	}
	return route, http.StatusOK
}

// nextNumber returns the number of a request that arrives.
func (careless *careless) nextNumber() int {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	careless.received++
	return careless.received
}

// triggers reports whether the fault occurs for the request with a number, which it does for every tenth one:
// intermittent faults have to be found, too.
func (careless *careless) triggers(fault fault, number int) bool {
	return careless.fault == fault && number%10 == 0
}

// recentlyChanged reports whether a change that cuts requests was made less than cutDuration ago.
func (careless *careless) recentlyChanged() bool {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	return time.Since(careless.changedAt) < cutDuration
}

// ServeHTTP forwards a request and copies the response.
func (careless *careless) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	body, err := io.ReadAll(received.Body)
	if err != nil {
		return
	}
	number := careless.nextNumber()
	route, status := careless.route(received, number)
	if status != http.StatusOK {
		writer.WriteHeader(status)
		return
	}
	customer, known := careless.customer(dogwoodwire.Key(received.Header))
	if !known {
		writer.WriteHeader(http.StatusUnauthorized)
		return
	}
	once := route.Repeat == dogwoodroute.Once
	switch {
	case careless.triggers(answeredLate, number):
		time.Sleep(time.Minute)
	case careless.fault == cutWaiting && careless.stopping.Load() && number%10 == 0:
		time.Sleep(time.Minute)
	case careless.triggers(processDied, number):
		os.Exit(1)
	case careless.triggers(cutWithoutCause, number), careless.recentlyChanged() && careless.triggers(careless.fault, number):
		panic(http.ErrAbortHandler)
	case careless.triggers(daemonMemory, number):
		careless.hold()
	case careless.refusesPrompt(received, customer):
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case careless.triggers(memoryHeld, number):
		careless.reserve(received.Context())
	}
	header := dogwoodwire.Request(received.Header)
	header.Set(dogwoodwire.Customer, string(customer))
	if careless.triggers(keyPassedOn, number) {
		header.Set(dogwoodwire.Authorization, received.Header.Get(dogwoodwire.Authorization))
	}
	repeats := 1
	if once && careless.triggers(twiceRun, number) || !once && careless.fault == retryBudget {
		repeats = 2
	}
	var response *http.Response
	for range repeats {
		if response, err = careless.send(received, route.Pick(rand.New(rand.NewPCG(1, 2))), header, string(body)); err != nil {
			writer.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
	}
	if once && careless.triggers(falseNotRun, number) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	careless.copy(writer, response, number)
}

func (careless *careless) send(received *http.Request, service dogwoodfleet.Service, header http.Header, body string) (*http.Response, error) {
	server, err := careless.pickServer(service)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(received.Context(), received.Method,
		"http://"+server.Endpoint.Address.String()+received.RequestURI, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header, request.GetBody = header, nil
	return careless.client.RoundTrip(request)
}

func (careless *careless) copy(writer http.ResponseWriter, response *http.Response, number int) {
	for name, values := range response.Header {
		writer.Header()[name] = values
	}
	large := response.Request.URL.Query().Has("bytes")
	if large && careless.fault == slowAnswer {
		time.Sleep(unreadTimeout + time.Second)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || large && careless.fault == slowAnswerCut {
		panic(http.ErrAbortHandler)
	}
	if careless.triggers(wrongAnswer, number) && len(body) > 0 {
		body[len(body)/2] ^= 1
	}
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(body)
}

// hold takes more memory than the settings allow. Each page is written, so that it is resident.
func (careless *careless) hold() {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	if careless.held == nil { // once: under the race detector, a second one makes the process take some gigabytes until garbage is collected
		careless.held = bytes.Repeat([]byte{1}, 2*daemonMemoryMB*megabyte)
	}
}

// refusesPrompt reports whether a prompt is refused: one customer's if that is the fault, and long ones, which end engines if
// several meet there, unless that is the fault.
func (careless *careless) refusesPrompt(received *http.Request, customer dogwoodfleet.Customer) bool {
	const longTokens = 100_000
	prompt, _ := dogwoodwire.Tokens(received.Header)
	return careless.fault == starved && prompt > 0 && customer == "customer-of-key-1" || careless.fault != endpointMemory && prompt > longTokens
}

// reserve reserves memory at a random engine and never releases it.
func (careless *careless) reserve(ctx context.Context) {
	server, err := careless.pickServer(engineName)
	if err != nil {
		return
	}
	order := fmt.Sprintf(`{"operation":%q,"identifier":"forgotten","tokens":5,"hold_ms":600000}`, dogwoodwire.Reserve)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Endpoint.Address.String()+dogwoodwire.OrderPath, strings.NewReader(order))
	if err != nil {
		return
	}
	if response, err := careless.client.RoundTrip(request); err == nil {
		_ = response.Body.Close()
	}
}
