package dogwoodrouting

import (
	"math/rand/v2"
	"time"
)

// OwnerLoad is an entry daemon's view of an owner that can serve a request: the owner's last load
// summary and the number of requests that the entry daemon has sent to it since.
type OwnerLoad struct {
	// Hash is a fixed hash of the owner's instance.
	Hash uint64
	// Slots, Running and Waiting are copied from the summary.
	Slots, Running, Waiting int
	// Asked is the number of requests that the entry daemon has sent to the owner since the summary.
	Asked int
	// Distance is 0 within the entry daemon's data centre, 1 within its region and 2 elsewhere.
	Distance int
	// Wait is the queueing time predicted by the summary.
	Wait time.Duration
}

func (owner *OwnerLoad) load() float64 {
	return float64(owner.Running+owner.Waiting+owner.Asked+1) / float64(max(owner.Slots, 1))
}

// fullLoad is the load above which an owner counts as full. A nearby owner that queues requests
// isn't preferred to a distant one with free slots.
const fullLoad = 1.0

// PickOwner returns the index of the owner to send a request to, or -1 if there is none. A
// request with a prefix goes to the owner that the prefix hashes to if that owner's load is at
// most boundedLoad times the mean, or at most half of fullLoad. Otherwise it goes to the less
// loaded of two owners drawn at random. Only owners up to the smallest distance with a free slot
// are considered; if no owner has a free slot, all are. firstBlock is 0 for a request without a
// prefix.
func PickOwner(owners []OwnerLoad, firstBlock uint64, random *rand.Rand) int {
	distance := minFreeDistance(owners)
	mean, count, preferred := 0.0, 0, -1
	var highest uint64
	for i := range owners {
		if owners[i].Distance > distance {
			continue
		}
		count++
		mean += owners[i].load()
		if score := mixHash(owners[i].Hash ^ firstBlock); preferred < 0 || score > highest {
			preferred, highest = i, score
		}
	}
	if count == 0 {
		return -1
	}
	mean /= float64(count)
	if firstBlock != 0 && owners[preferred].load() <= max(boundedLoad*mean, fullLoad/2) {
		return preferred
	}
	return twoChoices(owners, distance, count, random)
}

// minFreeDistance returns the smallest distance of an owner that isn't full, or 3 if all are full.
func minFreeDistance(owners []OwnerLoad) int {
	least := 3
	for i := range owners {
		if owners[i].load() <= fullLoad {
			least = min(least, owners[i].Distance)
		}
	}
	return least
}

// twoChoices draws two of the count owners within distance and returns the less loaded one.
func twoChoices(owners []OwnerLoad, distance, count int, random *rand.Rand) int {
	first := nth(owners, distance, random.IntN(count))
	second := nth(owners, distance, random.IntN(count))
	if owners[second].load() < owners[first].load() {
		return second
	}
	return first
}

// nth returns the position in owners of the index-th owner within distance, counted from 0.
func nth(owners []OwnerLoad, distance, index int) int {
	for i := range owners {
		if owners[i].Distance > distance {
			continue
		}
		if index == 0 {
			return i
		}
		index--
	}
	return 0
}

// mixHash mixes the bits of value with the finaliser of xorshift*.
func mixHash(value uint64) uint64 {
	value ^= value >> 12
	value ^= value << 25
	value ^= value >> 27
	return value * 2685821657736338717
}
