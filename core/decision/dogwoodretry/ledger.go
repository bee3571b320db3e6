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
	// peak is the most that was spent from any moment of the slot until its end, less what first tries earned from then on. It is
	// what counts for a window that begins in the slot.
	peak float64
}

// net returns what first tries earned for the windows that hold them, less what was spent.
func (slot *slot) net(ratio float64) float64 {
	return (1-laterPart)*ratio*float64(slot.first) - float64(slot.sent)
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

func newLedger(now time.Time, window time.Duration) ledger {
	return ledger{length: max((window+slotsPerWindow-1)/slotsPerWindow, minSlot), epoch: now}
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
			credit := ledger.at(oldest).net(limits.ratio) + limits.later(ledger.at(oldest-halfSlots-1).first) + limits.perSlot
			ledger.carried = max(min(ledger.carried, limits.burst)+credit, 0)
		}
		ledger.newest++
		*ledger.at(ledger.newest) = slot{}
	}
	ledger.carried = min(ledger.carried, limits.burst)
}

// later returns what first tries earn for the windows that begin half a window later.
func (limits *limits) later(first int) float64 {
	return laterPart * limits.ratio * float64(first)
}

// left returns how much may be sent now, with retries that are pending not counted. It may be negative after the
// share has shrunk.
func (ledger *ledger) left(limits *limits) float64 {
	// windowFirst is the number of first tries of the slots that lie within the window that begins half a window
	// earlier than one that begins in slot begin. The slot that holds the present is left out until it ends, so
	// that what may be sent at once is no more than the burst and what was earned before.
	windowFirst := 0
	for number := ledger.newest - halfSlots + 1; number < ledger.newest; number++ {
		windowFirst += ledger.at(number).first
	}
	// since is the balance of the slots after begin.
	since, least := 0.0, 0.0
	for begin := ledger.newest; begin >= ledger.newest-slotsPerWindow; begin-- {
		slot := ledger.at(begin)
		left := limits.burst - slot.peak + since + limits.later(windowFirst)
		if begin == ledger.newest || left < least {
			least = left
		}
		since += slot.net(limits.ratio)
		if begin >= 0 && begin < ledger.newest {
			since += limits.perSlot
		}
		windowFirst += ledger.at(begin - halfSlots).first
		if last := begin + halfSlots - 1; last < ledger.newest {
			windowFirst -= ledger.at(last).first
		}
	}
	// Windows that began earlier. What their first tries earn for later windows counts half a window after them.
	earlier := 0
	for number := ledger.newest - slotsPerWindow - halfSlots - 1; number < ledger.newest-halfSlots; number++ {
		earlier += ledger.at(number).first
	}
	return min(least, ledger.carried+since+limits.later(earlier))
}

// available returns how much can be taken now.
func (ledger *ledger) available(limits *limits) float64 {
	return max(ledger.left(limits)-float64(ledger.pending), 0)
}

// earn counts a first try.
func (ledger *ledger) earn(limits *limits) {
	slot := ledger.at(ledger.newest)
	slot.first++
	slot.peak = max(slot.peak-(1-laterPart)*limits.ratio, 0)
}

// send counts a pending retry as sent and returns the slot in which it is.
func (ledger *ledger) send() int {
	slot := ledger.at(ledger.newest)
	slot.sent++
	slot.peak++
	ledger.pending--
	return ledger.newest
}

// unsend makes a retry pending again that was sent in a slot.
func (ledger *ledger) unsend(number int) {
	ledger.pending++
	if number < ledger.newest-slotsPerWindow {
		return // it stays counted for the windows that hold the slot, none of which holds the present
	}
	slot := ledger.at(number)
	slot.sent--
	// The order of the slot's events is not known any more. Its peak is no more than before and than all that was sent.
	slot.peak = min(slot.peak, float64(slot.sent))
}
