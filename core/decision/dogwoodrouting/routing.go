// Package dogwoodrouting chooses the owner to which an entry daemon sends a request and the
// endpoint to which the owner assigns it.
//
// It handles these load patterns:
//
//   - Hot prefix. A request goes to an endpoint that has its prefix cached unless that endpoint
//     is much more loaded than the others. Without the bound, one engine would get all requests
//     with the prefix; without the affinity, each engine would prefill the same prompt again.
//   - Slow endpoint. Its predicted time to first token grows with its slowness, so others are
//     chosen; occasional probes detect when it has recovered. Otherwise, if a tenth of the fleet
//     were slow, a tenth of the requests would be too.
//   - Thundering herd. A grant counts towards an endpoint's load immediately, before the next
//     load report includes it. Otherwise all requests between two reports would go to the
//     endpoint that was least loaded in the first.
package dogwoodrouting

import (
	"math/rand/v2"
	"time"
)

const (
	// boundedLoad is the highest load, relative to the mean, at which prefix affinity still
	// applies: the 1.25 of consistent hashing with bounded loads.
	boundedLoad = 1.25
	// slowThreshold is the slowness above which an endpoint gets only probes while another
	// candidate isn't slow. At a slowness of 1 the latency is already three times the normal one.
	slowThreshold = 1.5
	// probeInterval is the age of a slow endpoint's last measurement at which the endpoint gets
	// one request to check whether it has recovered.
	probeInterval = time.Second
	// fullLoadDelay is the extra time to first token on a full endpoint compared with an idle
	// one: a step of a full batch takes about 5 ms and a new request waits for a few steps.
	fullLoadDelay = 20 * time.Millisecond
	// regionDelay and crossRegionDelay are added for another data centre and another region:
	// round trips take one to three milliseconds and about fifty, respectively.
	regionDelay      = 3 * time.Millisecond
	crossRegionDelay = 50 * time.Millisecond
	// scoreTolerance is the difference up to which two scores count as equal.
	scoreTolerance = time.Millisecond
)

// Candidate is an endpoint that can serve the request and has a free slot.
type Candidate struct {
	// InFlight counts all grants, including those that no load report covers yet.
	InFlight, Limit int
	// PendingPromptTokens is the number of prompt tokens in granted requests without an answer yet.
	PendingPromptTokens int
	// HitTokens estimates how many of the prompt's tokens are in the endpoint's cache.
	HitTokens int
	// PerToken is the time to prefill one prompt token.
	PerToken time.Duration
	// Slowness is the ratio of the recent latency to the allowed one, which is three times the
	// normal latency; 1 or less is healthy.
	Slowness float64
	// MeasuredAt is when the latency was last reported.
	MeasuredAt time.Time
	// Distance is 0 within the entry daemon's data centre, 1 within its region and 2 elsewhere.
	Distance int
}

// Pick returns the index of the candidate with the lowest score, or -1 if there is none.
// Candidates whose scores are about equal are chosen at random.
func Pick(now time.Time, candidates []Candidate, promptTokens int, random *rand.Rand) int {
	mean, anyHealthy := summarize(candidates)
	best, count := -1, 0
	var bestScore time.Duration
	for i := range candidates {
		candidate := &candidates[i]
		if anyHealthy && candidate.slow() && !candidate.probeDue(now) {
			continue
		}
		score := candidate.score(now, promptTokens, mean)
		switch {
		case best < 0 || score < bestScore-scoreTolerance:
			best, bestScore, count = i, score, 1
		case score <= bestScore+scoreTolerance:
			count++
			if random.IntN(count) == 0 {
				best, bestScore = i, min(bestScore, score)
			}
		}
	}
	return best
}

// summarize returns the mean load and whether any candidate isn't slow.
func summarize(candidates []Candidate) (mean float64, anyHealthy bool) {
	for i := range candidates {
		mean += candidates[i].load()
		anyHealthy = anyHealthy || !candidates[i].slow()
	}
	return mean / float64(max(len(candidates), 1)), anyHealthy
}

func (candidate *Candidate) load() float64 {
	return float64(candidate.InFlight+1) / float64(max(candidate.Limit, 1))
}

func (candidate *Candidate) slow() bool {
	return candidate.Slowness > slowThreshold
}

// probeDue reports whether the endpoint is idle and its last measurement is old enough for a probe.
func (candidate *Candidate) probeDue(now time.Time) bool {
	return candidate.InFlight == 0 && now.Sub(candidate.MeasuredAt) >= probeInterval
}

// score predicts the time to first token. Cached tokens don't count above the load bound, and
// slowness doesn't count for a probe.
func (candidate *Candidate) score(now time.Time, promptTokens int, mean float64) time.Duration {
	load := candidate.load()
	cached := candidate.HitTokens
	if load > boundedLoad*mean {
		cached = 0
	}
	tokens := candidate.PendingPromptTokens + max(promptTokens-cached, 0)
	work := float64(time.Duration(tokens)*candidate.PerToken) + load*float64(fullLoadDelay)
	if !candidate.slow() || !candidate.probeDue(now) {
		work *= max(candidate.Slowness, 1)
	}
	switch candidate.Distance {
	case 0:
		return time.Duration(work)
	case 1:
		return time.Duration(work) + regionDelay
	default:
		return time.Duration(work) + crossRegionDelay
	}
}
