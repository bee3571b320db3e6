package dogwoodhubs

import "math"

// hubShare is the part of what all daemons may do together that the hubs may; the rest is for
// callers who still use the address of a leaf.
const hubShare = 0.8

// Sharers is by how many daemons an allowance for all is divided to get one daemon's part.
// Divided evenly, a hundred repeats are one or two for each of sixty daemons, and the few
// that take nearly all requests refuse what the others could still try again.
func Sharers(daemons, hubs int, isHub bool) int {
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
