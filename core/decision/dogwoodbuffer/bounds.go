// Package dogwoodbuffer decides how many bytes a daemon may hold for callers and endpoints that read slowly: the parts of
// answers that callers have not read yet and the bodies of requests that endpoints have not read yet.
package dogwoodbuffer

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("buffer")

const (
	// memoryPerBound is the process's memory as a multiple of the daemon's bound. A daemon of 136 MB takes 20 to 30 MB
	// without what it holds, and its heap grows by half before garbage is collected. With an eighth, 17 MB, it stays
	// under 75 MB. The rest is for the copies that the kernel's socket buffers and net/http hold, which are not counted.
	memoryPerBound = 8
	// answersPerBound is the daemon's bound as a multiple of the bound of an answer. Answers are cut for the daemon's
	// bound only if at least this many callers have stopped reading.
	answersPerBound = 16
	// minAnswerBytes is the least bound of an answer. It covers some hundred events, so that a caller on a link
	// that loses a packet is not cut.
	minAnswerBytes = 64 << 10
	// defaultDaemonBytes is the daemon's bound if the process's memory is not known.
	defaultDaemonBytes = 8 << 20
	// reservedShare is the part of the daemon's bound that each kind, answers and bodies, has for itself. The other
	// half is for either kind.
	reservedShare = 4
	// requestBytes is what a request in progress takes besides what is counted: the stacks of five goroutines, the buffers of two
	// connections and the event that is being read. A thousand of them took some 110 kB each with events of 8 KiB. Larger events take
	// more, for which the other half of the memory has room.
	requestBytes = 128 << 10
	// memoryPerRequests is the process's memory as a multiple of what all requests in progress may take.
	memoryPerRequests = 2
	// maxBehind is how long the caller of a stream may be behind before the stream is cut when there are too many requests.
	maxBehind = time.Second
)

// Bound names a bound for which answers are cut, as in the metrics and in the log.
type Bound string

// The bounds for which answers are cut.
const (
	// BoundAnswer is the bound of the bytes of one answer.
	BoundAnswer Bound = "Answer"
	// BoundDaemon is the bound of the bytes that the daemon holds.
	BoundDaemon Bound = "Daemon"
	// BoundRequests is the bound of the requests in progress.
	BoundRequests Bound = "Requests"
)

// Bounds are the bounds of a Budget in bytes.
type Bounds struct {
	// Daemon bounds all that is held, Answer what is held for one answer.
	Daemon, Answer int64
	// Heads bounds what the heads of requests take, from their first byte until the requests have ended.
	Heads int64
	// Requests bounds the number of requests in progress; 0 means no bound.
	Requests int
}

// NewBounds returns the bounds of a daemon whose process may use memory bytes; 0 if that is not known.
func NewBounds(memory int64) Bounds {
	daemon := int64(defaultDaemonBytes)
	if memory > 0 {
		daemon = memory / memoryPerBound
	}
	bounds := Bounds{Daemon: daemon, Answer: max(daemon/answersPerBound, minAnswerBytes), Heads: daemon}
	if memory > 0 {
		bounds.Requests = int(max(memory/memoryPerRequests/requestBytes, 1))
	}
	return bounds
}

// kind returns the bound of all answers and of all bodies: what the other kind does not have for itself.
func (bounds Bounds) kind() int64 {
	return bounds.Daemon - bounds.Daemon/reservedShare
}
