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
)

// sent counts a request. The caller holds the board's mutex.
func (place *place) sent(now time.Time) {
	place.recent(now)
	place.sends = append(place.sends, now)
}

// recent returns how many requests were sent within the last second.
func (place *place) recent(now time.Time) int {
	start, old := now.Add(-coldSpan), 0
	for old < len(place.sends) && !place.sends[old].After(start) {
		old++
	}
	place.sends = append(place.sends[:0], place.sends[old:]...)
	return len(place.sends)
}

// Sent returns how many requests all daemons sent within the last second.
func (board *Board) Sent(now time.Time) int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	sent := 0
	for _, place := range board.places {
		sent += place.recent(now)
	}
	return sent
}

// bears reports whether one more request may be sent now.
func (place *place) bears(now time.Time) bool {
	if place.ColdPerSecond <= 0 {
		return true
	}
	limit := place.ColdPerSecond * warmShare
	if now.Before(place.ColdUntil) {
		limit = place.ColdPerSecond * coldShare
	}
	return float64(place.recent(now)+1) <= limit
}
