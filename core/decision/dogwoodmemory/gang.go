package dogwoodmemory

import (
	"cmp"
	"fmt"
	"slices"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// GangHeadroomDivisor is the divisor for the share of each engine's memory that a gang leaves to
	// other requests. One eighth of 400,000 tokens fits a dozen requests of 4,000, so that
	// short requests still run beside the longest ones.
	GangHeadroomDivisor = 8
	// MaxGangMembers is the maximum number of engines in a gang. A request of a million tokens
	// takes three or four current engines, and each additional member raises the chance that
	// one fails during the minutes that the request runs.
	MaxGangMembers = 8
)

// EngineMemory describes an engine that may become a member of a gang. Memory and Free are in tokens.
type EngineMemory struct {
	Endpoint dogwoodfleet.EndpointID
	Memory   int
	Free     int
}

// Gang is a set of engines that together hold a request's memory. Members is in the fixed
// order in which every gang reserves memory; the first member runs the request.
type Gang struct {
	Members []dogwoodfleet.EndpointID
	// Tokens is the share of each member.
	Tokens int
}

// TooLarge reports that a request does not fit even if all engines are empty.
type TooLarge struct {
	Tokens int
	// LimitTokens is the maximum number of tokens per request, prompt and answer together.
	LimitTokens int
}

func (large *TooLarge) Error() string {
	return fmt.Sprintf("memory: the request needs %d tokens; at most %d fit", large.Tokens, large.LimitTokens)
}

// PlanGang chooses the fewest engines that can hold the request together, preferring those
// with the most free memory. Most requests fit on one engine. PlanGang returns *TooLarge if
// the request would not fit even with all engines empty, so that waiting would not help.
func PlanGang(tokens int, engines []EngineMemory) (Gang, error) {
	if maxTokens := MaxRequestTokens(engines); tokens > maxTokens {
		return Gang{}, &TooLarge{Tokens: tokens, LimitTokens: maxTokens}
	}
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(left, right EngineMemory) int {
		return cmp.Or(cmp.Compare(right.Free, left.Free), cmp.Compare(left.Endpoint, right.Endpoint))
	})
	for members := 1; members <= min(len(ordered), MaxGangMembers); members++ {
		share := (tokens + members - 1) / members
		eligible := slices.DeleteFunc(slices.Clone(ordered), func(engine EngineMemory) bool {
			return share > usable(engine.Memory, members)
		})
		if len(eligible) < members {
			continue
		}
		gang := Gang{Tokens: share}
		for _, engine := range eligible[:members] {
			gang.Members = append(gang.Members, engine.Endpoint)
		}
		slices.Sort(gang.Members)
		return gang, nil
	}
	return Gang{}, &TooLarge{Tokens: tokens, LimitTokens: MaxRequestTokens(engines)}
}

// MaxRequestTokens returns the maximum number of tokens per request on a single engine or a gang.
func MaxRequestTokens(engines []EngineMemory) int {
	maxTokens := 0
	memories := make([]int, 0, len(engines))
	for _, engine := range engines {
		memories = append(memories, engine.Memory)
	}
	slices.Sort(memories)
	slices.Reverse(memories)
	for members := 1; members <= min(len(memories), MaxGangMembers); members++ {
		// All members have the same share, so the smallest member's memory limits it.
		maxTokens = max(maxTokens, members*usable(memories[members-1], members))
	}
	return maxTokens
}

// usable returns how much of an engine's memory one request may use in a gang of that size.
func usable(memory, members int) int {
	if members == 1 {
		return memory
	}
	return memory - memory/GangHeadroomDivisor
}
