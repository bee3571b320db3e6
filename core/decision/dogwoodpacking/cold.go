package dogwoodpacking

import "time"

const (
	// coldShare is the share of a cold endpoint's rate limit that all daemons together may use.
	// The rest is for requests that other daemons have not announced yet.
	coldShare = 0.8
	// warmShare limits the requests to an endpoint that is considered warm, as a multiple of its
	// cold rate limit: one that turned cold without notice must survive until this is detected.
	warmShare  = 1.2
	rateWindow = time.Second
	// unevenness is the factor by which one daemon may exceed its even share of an endpoint's
	// limit, as callers are distributed unevenly.
	unevenness = 1.5
	// warmWindow is the window in which a daemon sends a warm endpoint no more than its share.
	// By its end the other daemons' announcements have arrived, even on a busy small VM.
	warmWindow = 100 * time.Millisecond
)

// timestamps holds the times at which requests were sent, oldest first.
type timestamps []time.Time

// countRecent drops the times older than rateWindow and returns the number of the others.
func (timestamps *timestamps) countRecent(now time.Time) int {
	cutoff, old := now.Add(-rateWindow), 0
	for old < len(*timestamps) && !(*timestamps)[old].After(cutoff) {
		old++
	}
	if old == 0 {
		return len(*timestamps)
	}
	*timestamps = append((*timestamps)[:0], (*timestamps)[old:]...)
	return len(*timestamps)
}

// countWithin returns the number of times within the window before now.
func (timestamps *timestamps) countWithin(now time.Time, window time.Duration) int {
	count := 0
	for _, sentAt := range *timestamps {
		if sentAt.After(now.Add(-window)) {
			count++
		}
	}
	return count
}

// Senders describes the daemons that accept callers.
type Senders struct {
	// Count is the number of these daemons, Index the position of this one among them. All
	// daemons use the same order.
	Count, Index int
	// Expected is the number of daemons that may be sending, whether this one sees them now or not; 0 means Count.
	Expected int
	// Standby is true if this daemon does not accept callers.
	Standby bool
}

// SetSenders sets which daemons accept callers. An endpoint's limit is divided among them, in
// addition to the limit on all known requests. An endpoint that is new, or that all daemons
// avoided until the same moment, looks empty to each of them. Without the division, they sent all
// waiting requests there within 50 ms: an endpoint that could handle 30 while cold got 34.
//
// A daemon sends a cold endpoint no more than its share in any second, since announcements may
// be late for longer than warmWindow. Daemons that it does not see count too: they may be cut off
// from it and not from the endpoint. A daemon on standby learns of the others' requests too
// late: it sends no requests to a cold endpoint, and at most one a second to a warm one.
func (board *Board) SetSenders(senders Senders) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	senders.Count = max(senders.Count, 1)
	board.senders = senders
}

// recordSend records a request, and whether this daemon sent it. The caller holds the board's
// mutex.
func (state *endpointState) recordSend(now time.Time, own bool) {
	state.limit.take(now)
	state.sends = append(state.sends, now)
	state.sends.countRecent(now)
	if own {
		state.ownSends = append(state.ownSends, now)
		state.ownSends.countRecent(now)
	}
}

// RecentOwnSends returns the number of requests that this daemon sent within the last second.
func (board *Board) RecentOwnSends(now time.Time) int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.ownSends.countRecent(now)
}

// admits reports whether this daemon may send the endpoint one more request now.
func (board *Board) admits(state *endpointState, now time.Time) bool {
	if !board.backoffAdmits(state, now) {
		return false
	}
	if state.limit.Named && !state.limit.admits(now, state.hash, board.senders) {
		return false
	}
	if state.ColdPerSecond <= 0 {
		return true
	}
	limit, ownWindow, standbyLimit := state.ColdPerSecond*warmShare, warmWindow, 1
	if now.Before(state.ColdUntil) {
		limit, ownWindow, standbyLimit = state.ColdPerSecond*coldShare, rateWindow, 0
	}
	if float64(state.sends.countRecent(now)+1) > limit {
		return false
	}
	if board.senders.Standby {
		return state.ownSends.countRecent(now) < standbyLimit
	}
	return float64(state.ownSends.countWithin(now, ownWindow)+1) <= max(unevenness*limit/float64(max(board.senders.Count, board.senders.Expected)), 1)
}
