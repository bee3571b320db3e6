package dogwoodcaller

import (
	"context"
	"io"
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwooddispatch"
)

// endingRetryAfter is the wait sent to a caller whose request this daemon has ended. Other daemons serve it at once.
const endingRetryAfter = time.Second

// maxDiscardTime bounds the time for which the body of a refused request is read.
const maxDiscardTime = time.Second

// requests tracks the requests in progress.
type requests struct {
	mutex sync.Mutex
	// rejecting is true once new requests are rejected, and cut once the daemon closes all connections.
	rejecting, cut bool
	// running holds the function that ends each request in progress. It has no requests that are rejected.
	running map[*exchange]func()
	// idle is closed when no request is in progress; nil while nothing waits for that.
	idle chan struct{}
}

// begin adds a request that end ends, unless it is rejected.
func (requests *requests) begin(exchange *exchange, end func()) {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	exchange.rejected = requests.rejecting
	if !exchange.rejected {
		requests.running[exchange] = end
	}
}

func (requests *requests) finish(exchange *exchange) {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	delete(requests.running, exchange)
	if len(requests.running) == 0 && requests.idle != nil {
		close(requests.idle)
		requests.idle = nil
	}
}

func (requests *requests) isCut() bool {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	return requests.cut
}

// RejectRequests rejects further requests. Their callers are told that they did not run.
func (edge *Edge) RejectRequests() {
	edge.requests.mutex.Lock()
	defer edge.requests.mutex.Unlock()
	edge.requests.rejecting = true
}

// Cut records that this daemon closes all connections, so that requests that end with theirs are not taken for those of callers
// that left.
func (edge *Edge) Cut() {
	edge.requests.mutex.Lock()
	defer edge.requests.mutex.Unlock()
	edge.requests.cut = true
}

// EndRequests ends the requests in progress and rejects further ones. Their callers are told whether they ran.
func (edge *Edge) EndRequests() {
	edge.requests.mutex.Lock()
	defer edge.requests.mutex.Unlock()
	edge.requests.rejecting = true
	for _, end := range edge.requests.running {
		end()
	}
}

// Await waits until no request is in progress. It returns false if the context ends first.
func (edge *Edge) Await(ctx context.Context) bool {
	edge.requests.mutex.Lock()
	if len(edge.requests.running) == 0 {
		edge.requests.mutex.Unlock()
		return true
	}
	if edge.requests.idle == nil {
		edge.requests.idle = make(chan struct{})
	}
	idle := edge.requests.idle
	edge.requests.mutex.Unlock()
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin makes EndRequests end the exchange with cancel, until the returned function is called.
func (edge *Edge) begin(exchange *exchange, cancel context.CancelFunc) (finish func()) {
	edge.requests.begin(exchange, func() {
		exchange.ended.Store(true)
		cancel()
		_ = exchange.controller.SetReadDeadline(time.Now()) // unsupported by the writers of some tests
	})
	return func() {
		cancel()
		edge.requests.finish(exchange)
	}
}

// explainEnd returns the failure of a request, with its true reason if this daemon has ended it.
func (edge *Edge) explainEnd(exchange *exchange, failure *dogwooddispatch.Failure) *dogwooddispatch.Failure {
	if failure == nil || failure.Reason != dogwoodfleet.ReasonCancelled || !exchange.ended.Load() && !edge.requests.isCut() {
		return failure
	}
	return endedFailure(failure.Run)
}

// discardBody sends the answer to a request whose body was not read, and reads what arrives of the body. Unread bytes would reset
// the connection when it is closed, and its caller could lose the answer.
func (exchange *exchange) discardBody() {
	if exchange.bodyRead || exchange.request.ContentLength == 0 {
		return
	}
	if exchange.controller.Flush() != nil || exchange.controller.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, exchange.request.Body, maxPromptBytes) // the caller may be gone
}

func endedFailure(run dogwoodfleet.RunState) *dogwooddispatch.Failure {
	failure := &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonShutdown, Run: run, Detail: "this daemon is ending"}
	if run == dogwoodfleet.NotRun {
		failure.RetryAfter = endingRetryAfter
	}
	return failure
}
