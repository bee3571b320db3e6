package dogwoodpacking

import "time"

// spare is the time by which what waits to be read here may be put off, given the time of
// reading that is queued: none once a prompt is late. Helpers read parts ahead of the prompts
// that wait, so that one that was late already was put off by each later part, for up to eight
// seconds.
func (place *place) spare(now time.Time, queued time.Duration) time.Duration {
	spare := noWait
	consider := func(work *Work) {
		left := time.Duration(spareShare*float64(work.Aim)) - now.Sub(work.Begun)
		if !work.Writing {
			spare = min(spare, max(left-queued, 0))
		}
	}
	for _, work := range place.work {
		consider(work)
	}
	for _, work := range place.parts {
		consider(work)
	}
	return spare
}

// waits reports whether a prompt waits that will be written here.
func (place *place) waits() bool {
	for _, work := range place.work {
		if !work.Writing {
			return true
		}
	}
	return false
}

// tightest is the shortest of the good pauses of the answers here.
func (place *place) tightest() time.Duration {
	var tightest time.Duration
	for _, work := range place.work {
		if work.Pause > 0 && (tightest == 0 || work.Pause < tightest) {
			tightest = work.Pause
		}
	}
	return tightest
}
