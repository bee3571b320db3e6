package dogwoodpacking

import "time"

const (
	// coldShare is the part of what a cold endpoint bears that all daemons together send
	// it. The rest is for sends that other daemons have not announced yet.
	coldShare = 0.8
	// warmShare bounds the sends to an endpoint that is taken for warm: one that turned cold
	// without a sign must outlive the second until it is seen.
	warmShare = 1.2
	coldSpan  = time.Second
	// ownShare is how much more than its even part of what a cold endpoint bears one daemon
	// sends it: callers come unevenly.
	ownShare = 1.5
)

// moments are when requests were sent, the first ones first.
type moments []time.Time

// recent drops those that are older than coldSpan and counts the others.
func (moments *moments) recent(now time.Time) int {
	start, old := now.Add(-coldSpan), 0
	for old < len(*moments) && !(*moments)[old].After(start) {
		old++
	}
	*moments = append((*moments)[:0], (*moments)[old:]...)
	return len(*moments)
}

// SetSenders says how many daemons take callers, and whether this one stands by. What a cold
// endpoint bears is divided among those that take callers, besides the limit over all that are
// known of: when many daemons place at once, or announcements are late, each takes an endpoint
// that has just come for empty, and together they send it several times what it bears. A
// daemon that stands by knows the others' requests too late to send a cold endpoint any.
func (board *Board) SetSenders(senders int, standsBy bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.senders, board.standsBy = max(senders, 1), standsBy
}

// sent counts a request, and whether this daemon sent it. The caller holds the board's mutex.
func (place *place) sent(now time.Time, own bool) {
	place.sends = append(place.sends, now)
	place.sends.recent(now)
	if own {
		place.ownSends = append(place.ownSends, now)
	}
}

// Sent returns how many requests all daemons sent within the last second.
func (board *Board) Sent(now time.Time) int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	sent := 0
	for _, place := range board.places {
		sent += place.sends.recent(now)
	}
	return sent
}

// bears reports whether this daemon may send one more request now.
func (board *Board) bears(place *place, now time.Time) bool {
	if place.ColdPerSecond <= 0 {
		return true
	}
	recent := float64(place.sends.recent(now) + 1)
	if !now.Before(place.ColdUntil) {
		return recent <= place.ColdPerSecond*warmShare
	}
	limit := place.ColdPerSecond * coldShare
	own := max(ownShare*limit/float64(board.senders), 1)
	return recent <= limit && !board.standsBy && float64(place.ownSends.recent(now)+1) <= own
}
