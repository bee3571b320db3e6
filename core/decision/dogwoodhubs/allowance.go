package dogwoodhubs

import "math"

// hubShare is the share of a fleet-wide allowance that all hubs get together. The rest is for
// callers that still use the address of a leaf.
const hubShare = 0.8

// AllowanceDivisor returns the number by which a fleet-wide allowance is divided to get one daemon's share.
// Hubs get a larger share than leaves: if an allowance of a hundred retries were divided evenly
// among sixty daemons, each would get one or two, and the few that serve nearly all requests would
// reject retries while the shares of the others stay unused.
func AllowanceDivisor(daemons, hubs int, isHub bool) int {
	leaves := daemons - hubs
	switch {
	case leaves <= 0 || hubs <= 0:
		return max(daemons, 1)
	case isHub:
		return int(math.Ceil(float64(hubs) / hubShare))
	default:
		return int(math.Ceil(float64(leaves) / (1 - hubShare)))
	}
}
