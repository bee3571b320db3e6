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
	// ownShare is how much more than its even part of what an endpoint bears one daemon sends
	// it: callers come unevenly.
	ownShare = 1.5
	// herdSpan is the time within which a daemon sends a warm endpoint no more than its part:
	// the time until the others' announcements are surely here, on a busy small VM.
	herdSpan = 100 * time.Millisecond
)

// moments are when requests were sent, the first ones first.
type moments []time.Time

// recent drops those that are older than coldSpan and counts the others.
func (moments *moments) recent(now time.Time) int {
	start, old := now.Add(-coldSpan), 0
	for old < len(*moments) && !(*moments)[old].After(start) {
		old++
	}
	if old == 0 {
		return len(*moments)
	}
	*moments = append((*moments)[:0], (*moments)[old:]...)
	return len(*moments)
}

// within counts the moments of a span.
func (moments *moments) within(now time.Time, span time.Duration) int {
	count := 0
	for _, moment := range *moments {
		if moment.After(now.Add(-span)) {
			count++
		}
	}
	return count
}

// Senders are the daemons that take callers.
type Senders struct {
	// Count is how many there are, Index this one's place among them, the same at each.
	Count, Index int
	// StandsBy is true if this daemon is none of them.
	StandsBy bool
}

// SetSenders says which daemons take callers. What an endpoint bears is divided among those,
// besides the limit over all that are known of. An endpoint that has just come, or that all
// avoided until the same moment, looks empty to each daemon, and those who wait at all of them
// went there within 50 ms: one got 34 requests where it would have borne 30 had it been cold. A
// cold endpoint is sent no more than that in any second, since a daemon may hear late for longer.
// A daemon that stands by knows the others' requests too late to send a cold endpoint any, or a
// warm one more than one.
func (board *Board) SetSenders(senders Senders) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	senders.Count = max(senders.Count, 1)
	board.senders = senders
}

// sent counts a request, and whether this daemon sent it. The caller holds the board's mutex.
func (place *place) sent(now time.Time, own bool) {
	place.sends = append(place.sends, now)
	place.sends.recent(now)
	if own {
		place.ownSends = append(place.ownSends, now)
		place.ownSends.recent(now)
	}
}

// OwnSent returns how many requests this daemon sent within the last second.
func (board *Board) OwnSent(now time.Time) int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.own.recent(now)
}

// bears reports whether this daemon may send one more request now.
func (board *Board) bears(place *place, now time.Time) bool {
	if place.ColdPerSecond <= 0 {
		return true
	}
	limit, ownSpan, standsByLimit := place.ColdPerSecond*warmShare, herdSpan, 1
	if now.Before(place.ColdUntil) {
		limit, ownSpan, standsByLimit = place.ColdPerSecond*coldShare, coldSpan, 0
	}
	if float64(place.sends.recent(now)+1) > limit {
		return false
	}
	if board.senders.StandsBy {
		return place.ownSends.recent(now) < standsByLimit
	}
	return float64(place.ownSends.within(now, ownSpan)+1) <= max(ownShare*limit/float64(board.senders.Count), 1)
}
