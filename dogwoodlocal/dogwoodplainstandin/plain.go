// Package dogwoodplainstandin provides a stand-in for a plain service with stock lookups,
// which may run more than once, and holds (reservations of a car), which may not. It counts
// the calls that it ran and has faults that can be switched on.
package dogwoodplainstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/dogwoodlocal/dogwoodnetwork"
)

// Error is the class of this package's errors.
var Error = errs.Class("plain stand-in")

// Names of the headers whose values identify calls in the run counts.
const (
	HeaderKey    = "Idempotency-Key"
	HeaderLoadID = "X-Load-Id"
)

const (
	defaultLatency      = 5 * time.Millisecond
	defaultColdLimit    = 2
	defaultColdDuration = 3 * time.Second
	defaultRestartAfter = time.Second
	// crashFactor is the multiple of its cold limit above which a cold server crashes.
	crashFactor = 4
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 1 << 20
)

// Options configure a server. A zero value selects the default above.
type Options struct {
	ID      dogwoodfleet.EndpointID
	Latency time.Duration
	// ColdLimit is the number of concurrent requests that the server can handle for ColdDuration
	// after a start.
	ColdLimit    int
	ColdDuration time.Duration
	RestartAfter time.Duration
	// Listener accepts the connections; nil means a free port on loopback.
	Listener net.Listener
}

// Server is a running stand-in. Its methods are safe for concurrent use.
type Server struct {
	options Options
	host    *dogwoodnetwork.Host
	tasks   sync.WaitGroup
	ended   chan struct{}
	crashed chan struct{}

	mutex          sync.Mutex
	down           bool
	dead           bool
	coldUntil      time.Time
	aboveColdLimit bool
	running        int
	slowFactor     float64
	killMarkers    []string
	records        []RunRecord
	runsByKey      map[string]int
	runsByLoadID   map[string]int
	coldOverruns   int
	crashes        int
	lastNewWork    time.Time
}

// RunRecord is one call that the server ran.
type RunRecord struct {
	Method, Path string
	Key, LoadID  string
	At           time.Time
}

// Stock is the answer to a lookup.
type Stock struct {
	ID     string
	Stock  int
	LoadID string
}

// Start starts a server that stops when the context ends.
func Start(ctx context.Context, options Options) (*Server, error) {
	setDefault(&options.Latency, defaultLatency)
	setDefault(&options.ColdLimit, defaultColdLimit)
	setDefault(&options.ColdDuration, defaultColdDuration)
	setDefault(&options.RestartAfter, defaultRestartAfter)
	if options.Listener == nil {
		listener, err := dogwoodnetwork.Listen(ctx)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		options.Listener = listener
	}
	server := &Server{
		options:      options,
		ended:        make(chan struct{}),
		crashed:      make(chan struct{}, 1),
		coldUntil:    time.Now().Add(options.ColdDuration),
		slowFactor:   1,
		runsByKey:    map[string]int{},
		runsByLoadID: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stock/{ID}", server.handleStock)
	mux.HandleFunc("POST /holds", server.handleHold)
	host, err := dogwoodnetwork.Serve(options.Listener, mux)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	server.host = host
	server.tasks.Go(func() { server.restartAfterCrashes(ctx) })
	context.AfterFunc(ctx, func() {
		host.Close()
		server.tasks.Wait()
		close(server.ended)
	})
	return server, nil
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// Address returns the server's address.
func (server *Server) Address() netip.AddrPort {
	return server.host.Address()
}

// ID returns the server's endpoint ID.
func (server *Server) ID() dogwoodfleet.EndpointID {
	return server.options.ID
}

// Wait blocks until the server has stopped after the end of its context.
func (server *Server) Wait() {
	<-server.ended
}

func (server *Server) handleStock(writer http.ResponseWriter, request *http.Request) {
	if !server.runCall(request, nil) {
		panic(http.ErrAbortHandler)
	}
	defer server.endCall()
	server.writeJSON(writer, http.StatusOK, Stock{
		ID:     request.PathValue("ID"),
		Stock:  1,
		LoadID: request.Header.Get(HeaderLoadID),
	})
}

// handleHold answers with the hold that the caller sent.
func (server *Server) handleHold(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil || !json.Valid(body) {
		server.writeJSON(writer, http.StatusBadRequest, struct{ Detail string }{"want a hold in JSON"})
		return
	}
	if !server.runCall(request, body) {
		panic(http.ErrAbortHandler)
	}
	defer server.endCall()
	server.writeJSON(writer, http.StatusCreated, json.RawMessage(body))
}

func (server *Server) writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the caller may have disconnected
}

// runCall counts a call and waits for its latency. It returns false if the call crashed the
// server.
func (server *Server) runCall(request *http.Request, body []byte) bool {
	wait, survives := server.beginCall(request, body)
	if !survives {
		server.endCall()
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
	return true
}

func (server *Server) beginCall(request *http.Request, body []byte) (wait time.Duration, survives bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	now := time.Now()
	record := RunRecord{
		Method: request.Method,
		Path:   request.URL.Path,
		Key:    request.Header.Get(HeaderKey),
		LoadID: request.Header.Get(HeaderLoadID),
		At:     now,
	}
	server.lastNewWork = now
	server.records = append(server.records, record)
	server.runsByKey[record.Key]++
	server.runsByLoadID[record.LoadID]++
	server.running++
	cold := now.Before(server.coldUntil)
	aboveLimit := cold && server.running > server.options.ColdLimit
	if aboveLimit && !server.aboveColdLimit {
		server.coldOverruns++
	}
	server.aboveColdLimit = aboveLimit
	if aboveLimit && server.running > crashFactor*server.options.ColdLimit || server.matchesKillMarker(request, body) {
		server.crash()
		return 0, false
	}
	return time.Duration(float64(server.options.Latency) * server.slowFactor), true
}

func (server *Server) endCall() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.running--
}

func (server *Server) matchesKillMarker(request *http.Request, body []byte) bool {
	for _, marker := range server.killMarkers {
		if bytes.Contains(body, []byte(marker)) || bytes.Contains([]byte(request.URL.Path), []byte(marker)) {
			return true
		}
	}
	return false
}
