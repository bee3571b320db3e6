package dogwoodpacking

import "time"

// Load pattern: long prompts wait for more urgent requests, and each is tried again every 20 ms and whenever a request arrives. No placement
// is found then, for any primary engine. Looking for helpers with each of 256 primary engines took 110 ms for each prompt that
// waited, during which urgent requests waited for the queue. Whether enough engines can help depends little on the primary
// engine, so it is counted once.

// helperCount is the number of engines that can help to prefill a prompt with one number of parts.
type helperCount struct {
	prefill time.Duration
	count   int
}

// keepsLimits reports whether a helper can prefill a part while all limits are kept.
func (search *search) keepsLimits(helper *engine, prefill time.Duration) bool {
	return helper.keepsPauses(prefill, 0)
}

// mayBreakLimits reports whether a helper can prefill a part when no placement keeps all limits.
func (search *search) mayBreakLimits(helper *engine, prefill time.Duration) bool {
	return helper.keepsPauses(prefill, 0) || helper.mayHelpLate() && !helper.hasUrgent
}

// hasHelpers reports whether enough engines can help for parts of the given prefill time, the primary engine and memory aside. counts
// holds the counts for suits.
func (search *search) hasHelpers(counts *[1 + maxHelpers + 1]helperCount, parts int, prefill time.Duration, suits func(helper *engine, prefill time.Duration) bool) bool {
	if parts <= 1 {
		return true
	}
	known := &counts[parts]
	if known.prefill != prefill {
		*known = helperCount{prefill: prefill}
		taken := 0
		for _, helper := range search.helpers {
			switch {
			case helper.taken && taken >= search.allowance, !suits(helper, prefill):
			case helper.taken:
				taken++
				known.count++
			default:
				known.count++
			}
			if known.count >= parts {
				break
			}
		}
	}
	return known.count >= parts-1
}
