package dogwoodentry

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// choiceFor is how long a choice of the active daemons is kept: one that has died is found
	// by its silence after two seconds, so that this adds little.
	choiceFor = 200 * time.Millisecond
	// rateFade is what remains of the highest rate of requests at each choice, half after some
	// seven seconds: callers keep their addresses for some seconds, so a pause in a burst must
	// not move them.
	rateFade = 0.98
)

// Choice remembers which daemons are active. It is safe for concurrent use.
type Choice struct {
	mutex  sync.Mutex
	active map[netip.AddrPort]bool
	at     time.Time
	rate   float64
}

// Active returns the active daemons. The members and the requests of the last second are only
// asked for when the choice is old.
func (choice *Choice) Active(now time.Time, members func() []Member, sent func(now time.Time) int) map[netip.AddrPort]bool {
	choice.mutex.Lock()
	defer choice.mutex.Unlock()
	if choice.active != nil && now.Sub(choice.at) < choiceFor {
		return choice.active
	}
	choice.rate = max(float64(sent(now)), rateFade*choice.rate)
	choice.active, choice.at = Active(members(), choice.rate), now
	return choice.active
}
