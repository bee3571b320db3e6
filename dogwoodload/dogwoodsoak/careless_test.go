package dogwoodsoak

import (
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

// fault is a promise that a careless daemon breaks. It is named as the check that has to find it, and after
// a hyphen by what tells it from others of that check.
type fault string

func (fault fault) check() string {
	check, _, _ := strings.Cut(string(fault), "-")
	return check
}

// The faults.
const (
	twiceRun         fault = "TwiceRun"
	falseNotRun      fault = "FalseNotRun"
	wrongAnswer      fault = "WrongAnswer"
	keyPassedOn      fault = "KeyPassedOn"
	withdrawnKeyRan  fault = "WithdrawnKeyRan"
	sentAfterLeaving fault = "SentAfterLeaving"
	sentAfterTakeOut fault = "SentAfterTakeOut"
	retryBudget      fault = "RetryBudget"
	memoryHeld       fault = "MemoryHeld"
	answeredLate     fault = "AnsweredLate"
	processDied      fault = "ProcessDied"
	cutByChange      fault = "CutByChange"
	cutByReload      fault = "CutByChange-reload"
	cutWithoutCause  fault = "CutWithoutCause"
)

// changeFelt is for how long after a change a careless daemon cuts requests.
const changeFelt = 2 * time.Second

// pollEvery is how often the careless daemon reads the store.
const pollEvery = 100 * time.Millisecond

// careless is a daemon of the simplest kind: it sends each request to some endpoint of its service. It
// keeps no order, no budget and no limits, and breaks one promise in earnest.
type careless struct {
	fault   fault
	regions map[dogwoodfleet.DataCentre]dogwoodfleet.Region
	client  *http.Transport

	mutex   sync.Mutex
	table   *dogwoodroute.Table
	servers map[string]dogwoodview.Server
	out     map[string]bool
	keys    map[string]dogwoodfleet.Customer // all that were ever seen
	sent    int
	version int64     // of the operators' text
	changed time.Time // when that changed beside which it cuts
}

// runCareless runs a careless daemon as the program "serve" would.
func runCareless(ctx context.Context, fault fault) error {
	source, err := os.ReadFile(os.Getenv(dogwoodboot.Variable))
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
			careless.operators(operators.Rows)
		}
		servers, err := store.All(ctx, dogwoodwire.ServersTable)
		if err == nil {
			careless.endpoints(servers.Rows)
		}
		select {
		case <-time.After(pollEvery):
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
		careless.change(cutByReload)
		careless.mutex.Unlock()
	}
}

// change has requests be cut if the fault is the daemon's. The mutex is held.
func (careless *careless) change(fault fault) {
	if careless.fault == fault {
		careless.changed = time.Now()
	}
}

func (careless *careless) operators(rows []dogwoodwire.Row) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	careless.out = map[string]bool{}
	for _, row := range rows {
		if dataCentre, ok := strings.CutPrefix(row.Key, dogwoodwire.OutPrefix); ok {
			careless.out[dataCentre] = true
			continue
		}
		if table, err := dogwoodwire.Text(row.Value); err == nil {
			careless.table = table
			if row.Version != careless.version {
				careless.version = row.Version
				careless.change(cutByChange)
			}
		}
	}
}

func (careless *careless) endpoints(rows []dogwoodwire.Row) {
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

// pick finds some endpoint of a service.
func (careless *careless) pick(service dogwoodfleet.Service) (dogwoodview.Server, error) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	var fit []dogwoodview.Server
	for _, server := range careless.servers {
		out := careless.out[string(server.Endpoint.Place.DataCentre)] && careless.fault != sentAfterTakeOut
		if server.Service == service && !out {
			fit = append(fit, server)
		}
	}
	if len(fit) == 0 {
		return dogwoodview.Server{}, errors.New("no endpoint")
	}
	return fit[rand.IntN(len(fit))], nil
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

func (careless *careless) route(received *http.Request) (*dogwoodroute.Route, bool) {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	careless.sent++
	if careless.table == nil {
		return nil, false
	}
	return careless.table.Route(received.Host, received.URL.Path)
}

// now is true for every tenth request: a fault that shows now and then has to be found, too.
func (careless *careless) now(fault fault) bool {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	return careless.fault == fault && careless.sent%10 == 0
}

// justChanged is true for a short while after a change.
func (careless *careless) justChanged() bool {
	careless.mutex.Lock()
	defer careless.mutex.Unlock()
	return time.Since(careless.changed) < changeFelt
}

// ServeHTTP sends a request on and copies what comes back.
func (careless *careless) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	body, err := io.ReadAll(received.Body)
	if err != nil {
		return
	}
	route, ok := careless.route(received)
	if !ok {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	customer, known := careless.customer(dogwoodwire.Key(received.Header))
	if !known {
		writer.WriteHeader(http.StatusUnauthorized)
		return
	}
	once := route.Repeat == dogwoodroute.Once
	switch {
	case careless.now(answeredLate):
		time.Sleep(time.Minute)
	case careless.now(processDied):
		os.Exit(1)
	case careless.now(cutWithoutCause), careless.justChanged() && careless.now(careless.fault):
		panic(http.ErrAbortHandler)
	case careless.now(memoryHeld):
		careless.reserve(received.Context())
	}
	header := dogwoodwire.Request(received.Header)
	header.Set(dogwoodwire.Customer, string(customer))
	if careless.now(keyPassedOn) {
		header.Set(dogwoodwire.Authorization, received.Header.Get(dogwoodwire.Authorization))
	}
	repeats := 1
	if once && careless.now(twiceRun) || !once && careless.fault == retryBudget {
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
	if once && careless.now(falseNotRun) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	careless.copy(writer, response)
}

func (careless *careless) send(received *http.Request, service dogwoodfleet.Service, header http.Header, body string) (*http.Response, error) {
	server, err := careless.pick(service)
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

func (careless *careless) copy(writer http.ResponseWriter, response *http.Response) {
	for name, values := range response.Header {
		writer.Header()[name] = values
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if careless.now(wrongAnswer) && len(body) > 0 {
		body[len(body)/2] ^= 1
	}
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(body)
}

// reserve sets memory aside at some engine, and forgets it.
func (careless *careless) reserve(ctx context.Context) {
	server, err := careless.pick(engineName)
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
