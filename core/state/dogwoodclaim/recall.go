package dogwoodclaim

import (
	"context"
	"crypto/sha256"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// While the store is down, a daemon can't determine whether a key was used before. "Not run"
// would then be correct for the present attempt but possibly wrong for the call: a buyer
// whose hold ran, but whose connection broke, resends it through another entry daemon, gets
// "not run" and places a second hold under a new key. So all daemons are queried for the
// calls that they have claimed, and "not run" is returned only if none of them has claimed
// the call and none may have dropped the record of it.

const (
	// maxHistoryRows bounds the claimed rows that this daemon keeps in memory: an hour at 36
	// claims a second, some 15 MB.
	maxHistoryRows = 1 << 17
	// queryTimeout bounds the queries to the other daemons. Daemons answer in milliseconds; one
	// that does not is treated like one that has dropped its record of the call.
	queryTimeout = 500 * time.Millisecond
)

// RecallQuery is a query for what a daemon holds in memory about a call.
type RecallQuery struct {
	// Row is the key of the claim's row, and Digest is the digest of the call.
	Row    string
	Digest string
}

// RecallReply is a daemon's answer to such a query.
type RecallReply struct {
	// Known is true if the daemon claimed the call; Taken is then its outcome.
	Known bool
	Taken Taken
	// Forgot is true if the daemon may have claimed the call and dropped the record of it.
	Forgot bool
}

// Peers queries the other daemons.
type Peers interface {
	// Recall queries all other daemons. complete is false if one of them can't answer, or if
	// a daemon was lost within the time for which claims are kept.
	Recall(ctx context.Context, query RecallQuery) (replies []RecallReply, complete bool)
}

// rowHistory records which rows this daemon has claimed.
type rowHistory struct {
	rows *lru.Cache[[sha256.Size / 2]byte, struct{}]
	// lastEvicted is when a row was last evicted because the history was full.
	lastEvicted time.Time
}

func newRowHistory() *rowHistory {
	rows, err := lru.New[[sha256.Size / 2]byte, struct{}](maxHistoryRows)
	if err != nil {
		panic(Error.Wrap(err)) // only for a size below one
	}
	return &rowHistory{rows: rows}
}

func historyKey(row string) [sha256.Size / 2]byte {
	digest := sha256.Sum256([]byte(row))
	return [sha256.Size / 2]byte(digest[:sha256.Size/2])
}

func (history *rowHistory) add(row string) {
	if history.rows.Add(historyKey(row), struct{}{}) {
		history.lastEvicted = time.Now()
	}
}

func (history *rowHistory) remove(row string) {
	history.rows.Remove(historyKey(row))
}

// AnswerRecall answers a query from another daemon.
func (claims *Claims) AnswerRecall(query RecallQuery) RecallReply {
	if taken, known := claims.lookupRecent(query.Row, query.Digest); known {
		return RecallReply{Known: true, Taken: taken}
	}
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if claims.history.rows.Contains(historyKey(query.Row)) {
		return RecallReply{Known: true, Taken: Taken{Outcome: OutcomeUnknown, Holder: claims.options.Self}}
	}
	lastEvicted := claims.history.lastEvicted
	return RecallReply{Forgot: !lastEvicted.IsZero() && time.Since(lastEvicted) < claims.options.KeepFor}
}

// queryPeers returns the outcome of a call for which the store could not be reached. If it
// is empty, certain reports that no daemon has sent a call under this key.
func (claims *Claims) queryPeers(ctx context.Context, query RecallQuery) (taken Taken, certain bool) {
	own := claims.AnswerRecall(query)
	if own.Known {
		return own.Taken, true
	}
	if claims.options.Peers == nil {
		return Taken{}, !own.Forgot
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
	defer cancel()
	replies, complete := claims.options.Peers.Recall(ctx, query)
	for _, reply := range replies {
		if reply.Known {
			return reply.Taken, true
		}
		complete = complete && !reply.Forgot
	}
	return Taken{}, complete && !own.Forgot
}
