// Package dogwoodadmin is the server of the administration API. It serves the paths under
// /admin/v1 and expvar to clients with the administration key, and health checks to the
// platform. The operations are implemented behind small interfaces; the types of the API are
// in dogwoodadminapi.
package dogwoodadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/state/dogwoodchange"
)

// Error is the class of this package's errors.
var Error = errs.Class("administration")

const (
	// maxBodyBytes bounds the body of a request. The largest body is an operators' text:
	// about 600 kB for 2,700 customers of about 200 bytes each.
	maxBodyBytes = 4 << 20
	// changeTimeout bounds a change. The client's timeout is longer, so that the client
	// receives the outcome.
	changeTimeout = 5 * time.Second
	// statusTimeout bounds the calls to the other daemons for a status or a burn report.
	statusTimeout = 2 * time.Second
)

// Changes submits changes to the change log and returns its state.
type Changes interface {
	Submit(ctx context.Context, change dogwoodchange.Change) (dogwoodchange.Accepted, error)
	Current() dogwoodchange.View
	Since(version uint64) dogwoodchange.News
}

// Overview collects the status of all daemons.
type Overview interface {
	Status(ctx context.Context) dogwoodadminapi.Status
}

// Entries returns the entry addresses for callers near a data centre. An empty data centre
// means the daemon's own.
type Entries interface {
	Entry(dataCentre dogwoodfleet.DataCentre) dogwoodadminapi.Entry
}

// Burn merges the counters of all daemons into a report.
type Burn interface {
	Report(ctx context.Context) dogwoodburn.Report
}

// Convictions lists the requests that are rejected because they crashed endpoints.
type Convictions interface {
	Convictions() []dogwoodadminapi.Conviction
}

// Options are the dependencies of a Server.
type Options struct {
	Key         string
	Changes     Changes
	Overview    Overview
	Entries     Entries
	Burn        Burn
	Convictions Convictions
	// Ready returns nil if the daemon can serve, else the reason why it can't.
	Ready  func() error
	Logger hclog.Logger
}

// Server is the http.Handler of the administration API.
type Server struct {
	options Options
	key     [sha256.Size]byte
	mux     *http.ServeMux
	// rejecting is set once further requests are rejected, and running the number of requests that have arrived and are served.
	rejecting atomic.Bool
	running   atomic.Int64
}

// New returns a Server with a handler for each path of the API.
func New(options Options) *Server {
	server := &Server{options: options, key: sha256.Sum256([]byte(options.Key)), mux: http.NewServeMux()}
	server.registerRoutes()
	return server
}

// registerRoutes registers the handlers. ServeMux answers a known path with another method
// with status 405.
func (server *Server) registerRoutes() {
	withKey := map[string]http.HandlerFunc{
		"GET " + dogwoodadminapi.PathText:        server.getText,
		"POST " + dogwoodadminapi.PathText:       server.applyText,
		"POST " + dogwoodadminapi.PathTakeOuts:   server.moveHandler(dogwoodchange.TakeOut),
		"POST " + dogwoodadminapi.PathBringBacks: server.moveHandler(dogwoodchange.BringBack),
		"GET " + dogwoodadminapi.PathChanges:     server.listChanges,
		"GET " + dogwoodadminapi.PathStatus:      server.getStatus,
		"GET " + dogwoodadminapi.PathBurn:        server.getBurn,
		"GET " + dogwoodadminapi.PathEntry:       server.getEntry,
		"GET " + dogwoodadminapi.PathConvictions: server.listConvictions,
		"POST " + dogwoodadminapi.PathLifts:      server.liftConviction,
		"GET /debug/vars":                        expvar.Handler().ServeHTTP,
	}
	for pattern, handler := range withKey {
		server.mux.HandleFunc(pattern, server.requireKey(server.unlessLeaving(handler)))
	}
	server.mux.HandleFunc("GET /healthz", serveLiveness)
	server.mux.HandleFunc("GET /readyz", server.serveReadiness)
	server.mux.HandleFunc("/", func(writer http.ResponseWriter, _ *http.Request) {
		writeProblem(writer, http.StatusNotFound, dogwoodadminapi.KindNotFound, "there is nothing at this path")
	})
}

// ServeHTTP serves one request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// requireKey wraps a handler so that it serves only requests with the administration key. It
// compares digests of equal length in constant time, so that response times reveal nothing
// about the key.
func (server *Server) requireKey(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		key, isBearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(key))
		if !isBearer || subtle.ConstantTimeCompare(digest[:], server.key[:]) != 1 {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(writer, http.StatusUnauthorized, dogwoodadminapi.KindUnauthorized, "the administration key is missing or wrong")
			return
		}
		handler(writer, request)
	}
}

// serveLiveness reports that the process is running and answers requests.
func serveLiveness(writer http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(writer, "live\n") // the client may have disconnected
}

func (server *Server) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if server.rejecting.Load() {
		writeLeaving(writer)
		return
	}
	if server.options.Ready != nil {
		if err := server.options.Ready(); err != nil {
			writeProblem(writer, http.StatusServiceUnavailable, dogwoodadminapi.KindNotReady, err.Error())
			return
		}
	}
	_, _ = io.WriteString(writer, "ready\n") // the client may have disconnected
}

func writeProblem(writer http.ResponseWriter, status int, kind, detail string) {
	dogwoodproblem.Write(writer, dogwoodproblem.New(status, kind, detail), nil)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(writer).Encode(value) // the operator may have disconnected; an accepted change stays in force
}

// decode reads a body that is one JSON value of the type of value. It rejects unknown fields,
// so that a misspelt field is not silently left at its default.
func decode(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil && decoder.More() {
		err = errors.New("there is more than one value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		writeProblem(writer, http.StatusRequestEntityTooLarge, dogwoodadminapi.KindTooLarge, "the body is larger than 4 MiB")
	default:
		writeProblem(writer, http.StatusBadRequest, dogwoodadminapi.KindInvalid, "the body can't be read: "+err.Error())
	}
	return false
}
