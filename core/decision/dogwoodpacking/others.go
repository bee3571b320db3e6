package dogwoodpacking

import "time"

// spare is the time by which what waits to be read here may be put off, given the time of
// reading that is queued. Prompts that are late already hold nothing back.
func (place *place) spare(now time.Time, queued time.Duration) time.Duration {
	spare := noWait
	consider := func(work *Work) {
		left := time.Duration(spareShare*float64(work.Aim)) - now.Sub(work.Begun)
		if !work.Writing && left > 0 {
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
