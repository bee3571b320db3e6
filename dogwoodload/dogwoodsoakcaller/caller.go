// Package dogwoodsoakcaller is the callers of a soak: they ask which daemons to use, send requests of
// all kinds, go on using open connections, and keep what they received.
package dogwoodsoakcaller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// Error is the class of this package's errors.
var Error = errs.Class("caller")

// Daemon is a daemon as callers reach it.
type Daemon struct {
	Name string
	// Address is what the directory names; callers connect to By instead.
	Address, By netip.AddrPort
	// Directory is asked without a proxy.
	Directory netip.AddrPort
}

// Kind is what a caller may ask for.
type Kind struct {
	Kind    dogwoodsoakcheck.CallKind
	Service string
	// Prefix is where its route begins.
	Prefix string
	// Wait is how long callers wait for it, Weight how often they ask for it.
	Wait   time.Duration
	Weight int
	// Events is the length of a stream, 0 for plain answers.
	Events int
	// PromptTokens are the sizes of prompts, drawn from evenly.
	PromptTokens []int
}

// Options are what callers are made from.
type Options struct {
	Host        string
	DataCentres []string
	Daemons     []Daemon
	Kinds       []Kind
	Keys        []string
	// Every is the mean time between two requests of one caller.
	Every time.Duration
}

const (
	// askEvery is how long a directory's answer is used.
	askEvery = 2 * time.Second
	// askWithin bounds a question to a directory.
	askWithin = time.Second
	// directoriesTried is how many daemons are asked for addresses before a caller waits.
	directoriesTried = 3
	// givesUpAfter is how long after its time limit a caller ends a request that has not ended.
	givesUpAfter = 4 * time.Second
	// closeShare is the part of the requests that end their connection.
	closeShare = 0.3
)

// Callers send and keep what they received. They are safe for concurrent use.
type Callers struct {
	options Options

	mutex sync.Mutex
	calls []dogwoodsoakcheck.Call
}

// New returns callers.
func New(options Options) *Callers {
	return &Callers{options: options}
}

// Calls returns all requests that have ended.
func (callers *Callers) Calls() []dogwoodsoakcheck.Call {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return append([]dogwoodsoakcheck.Call{}, callers.calls...)
}

// caller is one caller with its connections.
type caller struct {
	*Callers
	number     int
	sent       int
	dataCentre string
	random     *rand.Rand
	client     *http.Client

	known   []netip.AddrPort
	askedAt time.Time
}

// Run is one caller's work until the context ends; the request that is under way then is ended in its own
// time.
func (callers *Callers) Run(ctx context.Context, number int, seed uint64) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	caller := &caller{
		Callers: callers, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))),
		dataCentre: callers.options.DataCentres[number%len(callers.options.DataCentres)],
		client:     &http.Client{Transport: transport},
	}
	for {
		wait := time.Duration(caller.random.ExpFloat64() * float64(callers.options.Every))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		caller.ask(ctx)
		if len(caller.known) > 0 {
			caller.call(context.WithoutCancel(ctx))
		}
	}
}

// ask asks a few daemons for addresses when the last answer is old. Without an answer the old one is
// used on.
func (caller *caller) ask(ctx context.Context) {
	if time.Since(caller.askedAt) < askEvery {
		return
	}
	for range directoriesTried {
		daemon := caller.options.Daemons[caller.random.IntN(len(caller.options.Daemons))]
		addresses, err := caller.directory(ctx, daemon.Directory)
		if err == nil && len(addresses) > 0 {
			caller.known, caller.askedAt = addresses, time.Now()
			return
		}
	}
}

func (caller *caller) directory(ctx context.Context, at netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	target := "http://" + at.String() + dogwoodstandin.DirectoryTarget(caller.options.Host, caller.dataCentre)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }() // it was read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return dogwoodstandin.Addresses(body)
}

// daemon finds who has an address that the directory told.
func (caller *caller) daemon() (Daemon, bool) {
	address := caller.known[caller.random.IntN(len(caller.known))]
	for _, daemon := range caller.options.Daemons {
		if daemon.Address == address {
			return daemon, true
		}
	}
	return Daemon{}, false
}

func (caller *caller) kind() *Kind {
	sum := 0
	for i := range caller.options.Kinds {
		sum += caller.options.Kinds[i].Weight
	}
	drawn := caller.random.IntN(sum)
	for i := range caller.options.Kinds {
		if drawn -= caller.options.Kinds[i].Weight; drawn < 0 {
			return &caller.options.Kinds[i]
		}
	}
	return &caller.options.Kinds[0]
}

// call sends one request and keeps what came of it.
func (caller *caller) call(ctx context.Context) {
	daemon, ok := caller.daemon()
	if !ok {
		return // the directory named an address of nobody; it is asked again soon
	}
	kind := caller.kind()
	caller.sent++
	call := dogwoodsoakcheck.Call{
		ID: fmt.Sprintf("c%d-%d", caller.number, caller.sent), Kind: kind.Kind, Service: kind.Service, Daemon: daemon.Name,
		Key: caller.options.Keys[caller.random.IntN(len(caller.options.Keys))], Wait: kind.Wait,
	}
	target := fmt.Sprintf("%s%d?q=%d", kind.Prefix, caller.number, caller.sent)
	body := strings.Repeat("x", 1+caller.random.IntN(200))
	call.Sent = time.Now()
	caller.exchange(ctx, &call, kind, daemon.By, target, body)
	call.Ended = time.Now()
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.calls = append(caller.calls, call)
}

// once is a body that net/http can't send a second time by itself: each request is one attempt.
type once struct{ io.Reader }

// Close does nothing: the body lies in memory.
func (once) Close() error { return nil }

func (caller *caller) exchange(ctx context.Context, call *dogwoodsoakcheck.Call, kind *Kind, by netip.AddrPort, target, body string) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+givesUpAfter)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+by.String()+target, once{strings.NewReader(body)})
	if err != nil {
		call.Error = err.Error()
		return
	}
	made := dogwoodstandin.Call{ID: call.ID, Key: call.Key, Wait: call.Wait}
	if len(kind.PromptTokens) > 0 {
		made.PromptTokens = kind.PromptTokens[caller.random.IntN(len(kind.PromptTokens))]
		made.AnswerTokens = kind.Events
	}
	request.Header = made.Header()
	request.Host = caller.options.Host
	request.ContentLength = int64(len(body))
	request.Close = caller.random.Float64() < closeShare
	response, err := caller.client.Do(request)
	if err != nil {
		call.Error = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }() // it was read, or has failed
	call.Status, call.Sealed = response.StatusCode, dogwoodstandin.HasSeal(response.Header)
	call.NotRun = dogwoodstandin.PromisesNotRun(response.StatusCode)
	received, err := io.ReadAll(response.Body)
	if err != nil {
		call.Error = err.Error()
		return
	}
	call.Whole = true
	if response.StatusCode == http.StatusOK {
		call.Wrong = wrong(call.ID, kind, target, body, string(received))
	}
}

// wrong says what is wrong with an answer that looks whole.
func wrong(id string, kind *Kind, target, body, received string) string {
	want := dogwoodstandin.PlainAnswer(id, target, body)
	if kind.Events > 0 {
		want = dogwoodstandin.StreamAnswer(id, kind.Events)
	}
	switch {
	case received == want:
		return ""
	case strings.HasPrefix(want, received):
		return fmt.Sprintf("%d of %d bytes, and it looks whole", len(received), len(want))
	default:
		return differs(received, want)
	}
}

// differs names the first place at which an answer is not the request's own.
func differs(received, want string) string {
	for i := range min(len(received), len(want)) {
		if received[i] != want[i] {
			return fmt.Sprintf("byte %d of %d is not the answer's own: %.60q in place of %.60q", i, len(received), received[i:], want[i:])
		}
	}
	return fmt.Sprintf("%d bytes after the whole answer", len(received)-len(want))
}
