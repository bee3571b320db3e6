package dogwoodretry

import "time"

const (
	// slotsPerWindow is the number of slots of a window.
	slotsPerWindow = 40
	halfSlots      = slotsPerWindow / 2
	// ringSlots is the number of slots that a ledger keeps: those of the windows that hold the present, which begin in one of
	// slotsPerWindow+1 slots, and those of half a window before the oldest of them as it leaves.
	ringSlots = 64
	// minSlot is the least length of a slot. Shorter ones are below what timers and networks keep apart.
	minSlot = time.Millisecond
	// MinWindow is the shortest window for which a budget can be kept.
	MinWindow = slotsPerWindow * minSlot
)

// limits are the parts of a share of the allowance and of the first tries that may be spent.
type limits struct {
	// ratio is the number of retries that a first try earns.
	ratio float64
	// burst is what may be spent of the share at once, perSlot what time adds to it in a slot.
	burst, perSlot float64
}

// slot counts what happened in a slot of time.
type slot struct {
	// first is the number of first tries, sent that of the retries sent.
	first, sent int
	// ratio is the number of retries that each of the first tries earns: the least that was in force since the slot began.
	ratio float64
	// peak is the most that was spent from any moment of the slot until its end, less what first tries earned from then on. It is
	// what counts for a window that begins in the slot.
	peak float64
}

// net returns what first tries earned for the windows that hold them, less what was spent.
func (slot *slot) net() float64 {
	return (1-laterPart)*slot.ratio*float64(slot.first) - float64(slot.sent)
}

// later returns what first tries earned for the windows that begin half a window later.
func (slot *slot) later() float64 {
	return laterPart * slot.ratio * float64(slot.first)
}

// lowerRatio cuts what first tries earned to a lower ratio. The order of the slot's events is not known any more: each of its first
// tries may have come after the retries.
func (slot *slot) lowerRatio(ratio float64) {
	if ratio >= slot.ratio {
		return
	}
	lost := (1 - laterPart) * (slot.ratio - ratio) * float64(slot.first)
	slot.peak, slot.ratio = min(slot.peak+lost, float64(slot.sent)), ratio
}

// ledger counts the first tries and the retries of one service by slots of time, and what is taken and not sent yet. Its zero
// value can't be used.
//
// Within any window, what is sent is at most the burst, what time adds, and what first tries earn: one part by those
// of the window itself, and laterPart by those of the window that began half a window earlier. It checks each window that holds the
// present and begins in any slot, with only those first tries that certainly lie within.
type ledger struct {
	// length is that of a slot.
	length time.Duration
	// epoch is when slot 0 began, newest the number of the slot that holds the present.
	epoch  time.Time
	newest int
	// ring holds slot n at n modulo its length.
	ring [ringSlots]slot
	// carried is what a window that began before the slots in which a window can begin now may still spend in them. It begins at
	// zero: a process doesn't know what the one before it had spent.
	carried float64
	// pending is the number of retries that are taken and not sent yet.
	pending int
}

func newLedger(now time.Time, terms Terms) ledger {
	ledger := ledger{length: max((terms.Window+slotsPerWindow-1)/slotsPerWindow, minSlot), epoch: now}
	ledger.at(0).ratio = terms.Ratio
	return ledger
}

// restart begins the ledger anew, with nothing to spend, since its slots have another length from now on. Only the retries that are
// pending stay counted.
func (ledger *ledger) restart(now time.Time, terms Terms) {
	pending := ledger.pending
	*ledger = newLedger(now, terms)
	ledger.pending = pending
}

// lowerRatio cuts what first tries earned to a lower ratio.
func (ledger *ledger) lowerRatio(ratio float64) {
	for number := range ledger.ring {
		ledger.ring[number].lowerRatio(ratio)
	}
}

// at returns a slot. Those before the first one are empty.
func (ledger *ledger) at(number int) *slot {
	return &ledger.ring[uint(number)%ringSlots]
}

// advance begins the slots up to the one that holds the present. The slots in which no window that holds the present can begin
// any more are added to what is carried.
func (ledger *ledger) advance(now time.Time, limits *limits) {
	number := int(now.Sub(ledger.epoch) / ledger.length)
	// After so many slots without events, all that is left to add is what time adds.
	if idle := number - ledger.newest - 2*ringSlots; idle > 0 {
		ledger.skip(ringSlots, limits)
		ledger.newest += idle
		ledger.carried = min(ledger.carried+float64(idle)*limits.perSlot, limits.burst)
	}
	ledger.skip(number-ledger.newest, limits)
}

// skip begins slots.
func (ledger *ledger) skip(slots int, limits *limits) {
	for range slots {
		oldest := ledger.newest - slotsPerWindow
		if oldest >= 0 {
			credit := ledger.at(oldest).net() + ledger.at(oldest-halfSlots-1).later() + limits.perSlot
			ledger.carried = max(min(ledger.carried, limits.burst)+credit, 0)
		}
		ledger.newest++
		*ledger.at(ledger.newest) = slot{ratio: limits.ratio}
	}
	ledger.carried = min(ledger.carried, limits.burst)
}

// left returns how much may be sent now, with retries that are pending not counted. It may be negative after the
// share has shrunk.
func (ledger *ledger) left(limits *limits) float64 {
	// windowLater is what first tries earned for windows that begin in slot begin: those of the slots that lie within the window
	// that begins half a window earlier. The slot that holds the present is left out until it ends, so
	// that what may be sent at once is no more than the burst and what was earned before.
	windowLater := 0.0
	for number := ledger.newest - halfSlots + 1; number < ledger.newest; number++ {
		windowLater += ledger.at(number).later()
	}
	// since is the balance of the slots after begin.
	since, least := 0.0, 0.0
	for begin := ledger.newest; begin >= ledger.newest-slotsPerWindow; begin-- {
		slot := ledger.at(begin)
		left := limits.burst - slot.peak + since + windowLater
		if begin == ledger.newest || left < least {
			least = left
		}
		since += slot.net()
		if begin >= 0 && begin < ledger.newest {
			since += limits.perSlot
		}
		windowLater += ledger.at(begin - halfSlots).later()
		if last := begin + halfSlots - 1; last < ledger.newest {
			windowLater -= ledger.at(last).later()
		}
	}
	// Windows that began earlier. What their first tries earn for later windows counts half a window after them.
	earlier := 0.0
	for number := ledger.newest - slotsPerWindow - halfSlots - 1; number < ledger.newest-halfSlots; number++ {
		earlier += ledger.at(number).later()
	}
	return min(least, ledger.carried+since+earlier)
}

// available returns how much can be taken now.
func (ledger *ledger) available(limits *limits) float64 {
	return max(ledger.left(limits)-float64(ledger.pending), 0)
}

// earn counts a first try.
func (ledger *ledger) earn() {
	slot := ledger.at(ledger.newest)
	slot.first++
	slot.peak = max(slot.peak-(1-laterPart)*slot.ratio, 0)
}

// send counts a pending retry as sent and returns the slot in which it is.
func (ledger *ledger) send() int {
	slot := ledger.at(ledger.newest)
	slot.sent++
	slot.peak++
	ledger.pending--
	return ledger.newest
}

// unsend makes a retry pending again that was sent in a slot of the ledger that began at an epoch.
func (ledger *ledger) unsend(epoch time.Time, number int) {
	ledger.pending++
	if !epoch.Equal(ledger.epoch) {
		return // the ledger has begun anew and counts it no more
	}
	if number < ledger.newest-slotsPerWindow {
		return // it stays counted for the windows that hold the slot, none of which holds the present
	}
	slot := ledger.at(number)
	slot.sent--
	// The order of the slot's events is not known any more. Its peak is no more than before and than all that was sent.
	slot.peak = min(slot.peak, float64(slot.sent))
}
