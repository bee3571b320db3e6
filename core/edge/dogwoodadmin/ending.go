package dogwoodadmin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodproblem"
)

const (
	// leavingRetryAfter is the Retry-After of a daemon that leaves. Other daemons serve operators at once.
	leavingRetryAfter = time.Second
	// maxDiscardTime bounds the time for which the body of a refused request is read.
	maxDiscardTime = time.Second
	// endCheck is how often Await checks whether requests are in progress.
	endCheck = 5 * time.Millisecond
)

// RejectRequests rejects further requests, also those whose bodies are still arriving. Their clients are told that nothing was
// changed.
func (server *Server) RejectRequests() { server.rejecting.Store(true) }

// Await waits until no request is in progress. It returns false if the context ends first.
func (server *Server) Await(ctx context.Context) bool {
	for server.running.Load() > 0 {
		if !dogwoodkernel.Sleep(ctx, endCheck) {
			return false
		}
	}
	return true
}

// unlessLeaving wraps a handler so that it serves no request of which a part arrives after RejectRequests. The end of the request's
// context ends the wait for its body.
func (server *Server) unlessLeaving(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		body := request.Body
		if server.rejecting.Load() {
			writeLeaving(writer)
			discardBody(writer, request, body)
			return
		}
		err := readBody(writer, request)
		server.running.Add(1)
		defer server.running.Add(-1)
		if server.rejecting.Load() { // since the request began to arrive
			writeLeaving(writer)
			if err != nil {
				discardBody(writer, request, body)
			}
			return
		}
		handler(writer, request)
	}
}

// readBody reads the body, so that the handler doesn't wait for it. The handler also gets the error of a body that can't be read.
func readBody(writer http.ResponseWriter, request *http.Request) error {
	stop := context.AfterFunc(request.Context(), func() {
		_ = http.NewResponseController(writer).SetReadDeadline(time.Now()) // unsupported by the writers of some tests
	})
	defer stop()
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	var rest io.Reader = http.NoBody
	if err != nil {
		rest = failingReader{err}
	}
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), rest))
	return err
}

// failingReader is a reader that fails.
type failingReader struct{ err error }

// Read returns the error.
func (reader failingReader) Read([]byte) (int, error) { return 0, reader.err }

// discardBody sends the answer to a request whose body was not read, and reads what arrives of the body. Unread bytes would reset
// the connection when it is closed, and its client could lose the answer.
func discardBody(writer http.ResponseWriter, request *http.Request, body io.Reader) {
	controller := http.NewResponseController(writer)
	if request.ContentLength == 0 || controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, body, maxBodyBytes) // the client may be gone
}

// writeLeaving answers that the daemon leaves and that nothing was changed.
func writeLeaving(writer http.ResponseWriter) {
	problem := dogwoodproblem.New(http.StatusServiceUnavailable, dogwoodadminapi.KindLeaving, "nothing was changed: this daemon is ending")
	problem.Reason, problem.NotRun, problem.RetryAfter = dogwoodfleet.ReasonShutdown, dogwoodproblem.True, leavingRetryAfter
	writer.Header().Set("Connection", "close") // else net/http reads the rest of the body first
	dogwoodproblem.Write(writer, problem, nil)
}
