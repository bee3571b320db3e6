// Package dogwoodlimit limits the number of concurrent requests to one endpoint.
//
// Load patterns it handles, and what would happen otherwise:
//
//   - A cold start. An endpoint that has just started can serve a small load and crashes
//     under a full one. Its limit starts at the cold limit and doubles on good answers only.
//     Without this every restart under load becomes a crash loop.
//   - A warm endpoint that turns cold without warning. A new instance id, a reported flag, a
//     refusal or a jump in the time to first token cuts the limit to the cold limit at once.
//     Without this the endpoint crashes under the load that it served a moment before.
//   - A slow endpoint. The limit falls by a fixed factor while latency, normalised by
//     length, is well above the endpoint's floor, and rises by one for each round of good
//     answers (AIMD). Without this requests pile up where they are served worst.
//
// AIMD is used instead of a gradient limit because latency of batched engines grows with
// load long before throughput stops growing. A gradient limit reacts to that growth and
// wastes capacity; AIMD with a threshold ignores it.
package dogwoodlimit

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// slowFactor and slowSlack define a slow answer: it takes longer than slowFactor times
	// the expected latency for its length and the work ahead of it, plus slowSlack. A full
	// batch alone doubles the latency; the slack is above the noise of a loopback connection
	// or a garbage collection.
	slowFactor = 3
	slowSlack  = 50 * time.Millisecond
	// jumpFactor and jumpSlack define a latency jump that indicates a cold endpoint. Loading
	// a model and filling caches take seconds, not tenths of a second.
	jumpFactor = 5
	jumpSlack  = 400 * time.Millisecond
	// decreaseFactor scales the limit down on slow answers, at most once in decreaseEvery,
	// because all answers of a round reflect the same overload.
	decreaseFactor   = 0.8
	decreaseInterval = 500 * time.Millisecond
	// coldHold is how long the cold limit stays in force for an endpoint that doesn't report
	// whether it is cold or has stopped reporting. The engine stand-in stays cold for 3 s.
	coldHold = 6 * time.Second
	// reportLag is how much older a report's cold flag may be than the report's timestamp.
	// Engines publish their load about every second, without the time of the measurement.
	reportLag = 2 * time.Second
	// floorGrowth raises the floor by 1% with each sample, so that it follows a lasting
	// change. A tenfold change counts as normal after about 230 answers.
	floorGrowth = 1.01
	// recentWeight is the weight of the newest answer in recentRatio.
	recentWeight = 0.25
	// minBlock is how long an endpoint gets no requests after it died or refused one. The time
	// doubles with each failure up to maxBlock: a restart takes seconds, while the cause of a
	// refusal may be gone at once.
	minBlock = 100 * time.Millisecond
	maxBlock = 5 * time.Second
	// minSamples is how many answers are needed before latency is compared with the floors.
	minSamples = 4
	// defaultPerToken is the time for each prompt token before it has been measured. It
	// matches the engine stand-in's 400,000 tokens a second.
	defaultPerToken = 2500 * time.Nanosecond
	// minMeasuredPrompt is the minimum prompt length for measuring the time per token. The
	// estimate is the shortest time seen, so the overhead of short prompts loses its effect
	// once longer ones are measured.
	minMeasuredPrompt = 500
)

// Phase is the warm-up phase of an endpoint.
type Phase int

// The phases.
const (
	Cold    Phase = iota // the cold limit is in force
	Ramping              // doubling on good answers
	Warm                 // AIMD under the warm limit
)

// Answer describes the outcome of one request.
type Answer struct {
	PromptTokens, OutputTokens int
	// Ahead is the number of prompt tokens that the endpoint still had to prefill when the
	// request was sent.
	Ahead            int
	FirstToken, Took time.Duration
	Result           dogwoodfleet.Result
	Instance         dogwoodfleet.InstanceID // empty if unknown
	Cold             bool
	// Sent is when the request was sent. Answers to requests sent before the endpoint turned
	// cold say nothing about its present state.
	Sent time.Time
}

// Report is the state that an endpoint publishes about itself. It lags behind.
type Report struct {
	Taken    time.Time
	Instance dogwoodfleet.InstanceID
	Cold     bool
}

// Limiter holds the limit of one endpoint. It is not safe for concurrent use.
type Limiter struct {
	coldLimit, warmLimit int
	limit                float64
	phase                Phase
	coldSince            time.Time
	instance             dogwoodfleet.InstanceID
	reportedAt           time.Time // Taken of the newest report
	reportsCold          bool
	goodAnswers          int // good answers since the limit last changed
	lastCut              time.Time
	floors               floors
	recentRatio          float64 // moving mean of Limiter.ratio
	measuredAt           time.Time
	failures             int // deaths and refusals since the last answer
	blockedUntil         time.Time
}

// floors holds the shortest times seen. They rise by floorGrowth with each sample.
type floors struct {
	firstToken, perToken, perOutput float64 // nanoseconds
	samples                         int
}

// New returns a limiter in the cold phase, for an endpoint of unknown state.
func New(coldLimit, warmLimit int, now time.Time) *Limiter {
	limiter := &Limiter{recentRatio: 1}
	limiter.SetBounds(coldLimit, warmLimit)
	limiter.TurnCold(now)
	return limiter
}

// SetBounds sets the cold and the warm limit, as given in the operators' text.
func (limiter *Limiter) SetBounds(coldLimit, warmLimit int) {
	limiter.warmLimit = max(warmLimit, 1)
	limiter.coldLimit = min(max(coldLimit, 1), limiter.warmLimit)
	limiter.limit = min(limiter.limit, float64(limiter.warmLimit))
	if limiter.phase == Cold {
		limiter.limit = float64(limiter.coldLimit)
	}
}

// Limit returns how many concurrent requests the endpoint may have. It is at least 1. After
// a failure it is exactly 1, for a probe, until an answer arrives.
func (limiter *Limiter) Limit() int {
	if limiter.failures > 0 {
		return 1
	}
	return max(1, int(limiter.limit))
}

// BlockedUntil returns the time before which a failed endpoint gets no requests.
func (limiter *Limiter) BlockedUntil() time.Time {
	return limiter.blockedUntil
}

// ColdLimit returns the limit for the cold phase.
func (limiter *Limiter) ColdLimit() int {
	return limiter.coldLimit
}

// Phase returns the present warm-up phase.
func (limiter *Limiter) Phase() Phase {
	return limiter.phase
}

// TokenBudget returns how many tokens of its memory the endpoint may use at once: the same
// fraction as the limit is of the warm limit, so that a few large requests don't fill a cold
// engine. An empty endpoint always accepts one request, whatever its size.
func (limiter *Limiter) TokenBudget(memoryTokens int) int {
	return int(float64(memoryTokens) * limiter.limit / float64(limiter.warmLimit))
}

// Slowness returns the recent ratio of latency to the latency allowed for the requests'
// lengths, at least 1. 1 is normal.
func (limiter *Limiter) Slowness() float64 {
	return max(limiter.recentRatio, 1)
}

// MeasuredAt returns when an answer last updated Slowness.
func (limiter *Limiter) MeasuredAt() time.Time {
	return limiter.measuredAt
}

// PerToken returns the endpoint's prefill time for a prompt token.
func (limiter *Limiter) PerToken() time.Duration {
	if limiter.floors.perToken == 0 {
		return defaultPerToken
	}
	return time.Duration(limiter.floors.perToken)
}

// TurnCold cuts the limit to the cold limit at once.
func (limiter *Limiter) TurnCold(now time.Time) {
	limiter.phase = Cold
	limiter.limit = float64(limiter.coldLimit)
	limiter.coldSince = now
	limiter.goodAnswers = 0
}

// Report records an endpoint's report. Reports lag, so one taken before the endpoint was
// seen to turn cold doesn't end the cold phase.
func (limiter *Limiter) Report(now time.Time, report Report) {
	if report.Taken.Before(limiter.reportedAt) {
		return
	}
	if report.Taken.After(limiter.blockedUntil.Add(-maxBlock)) && report.Instance != limiter.instance {
		// A new process answers, so the block of the old one no longer applies.
		limiter.blockedUntil = time.Time{}
	}
	limiter.reportedAt = report.Taken
	limiter.reportsCold = report.Cold
	limiter.observeInstance(now, report.Instance)
	if report.Cold && limiter.phase != Cold {
		limiter.TurnCold(now)
	}
	limiter.tryStartRamp(now)
}

// ToldCold records that the endpoint flagged itself as cold in an answer that just began.
func (limiter *Limiter) ToldCold(now time.Time, instance dogwoodfleet.InstanceID) {
	limiter.observeInstance(now, instance)
	if limiter.phase != Cold {
		limiter.TurnCold(now)
	}
}

// observeInstance records the instance id. A changed id means a new process, which is cold.
func (limiter *Limiter) observeInstance(now time.Time, instance dogwoodfleet.InstanceID) {
	if instance == "" || instance == limiter.instance {
		return
	}
	hadInstance := limiter.instance != ""
	limiter.instance = instance
	if hadInstance {
		limiter.TurnCold(now)
	}
}

// Observe updates the limiter from an answer.
func (limiter *Limiter) Observe(now time.Time, answer Answer) {
	limiter.observeInstance(now, answer.Instance)
	switch answer.Result {
	case dogwoodfleet.ResultDied, dogwoodfleet.ResultRefused:
		limiter.TurnCold(now)
		if !answer.Cold {
			limiter.block(now, answer.Sent)
		}
		return
	case dogwoodfleet.ResultCancelled:
		return
	case dogwoodfleet.ResultTimedOut:
		limiter.decrease(now)
		return
	case dogwoodfleet.ResultDone, dogwoodfleet.ResultFailed:
	}
	limiter.failures = 0
	if answer.Cold {
		if limiter.phase != Cold {
			limiter.TurnCold(now)
		}
		return
	}
	limiter.evaluate(now, answer)
}

// block keeps requests from a failed endpoint for some time. Requests in flight fail together
// when an endpoint dies; their failures count once.
func (limiter *Limiter) block(now, sent time.Time) {
	if limiter.failures > 0 && sent.Before(limiter.blockedUntil) && now.Before(limiter.blockedUntil) {
		return
	}
	limiter.blockedUntil = now.Add(min(minBlock<<min(limiter.failures, 10), maxBlock))
	limiter.failures++
}

func (limiter *Limiter) evaluate(now time.Time, answer Answer) {
	first := answer.FirstToken
	if first <= 0 {
		first = answer.Took
	}
	expected := limiter.expected(answer.PromptTokens + answer.Ahead)
	floorsKnown := limiter.floors.samples >= minSamples
	ratio := limiter.ratio(answer, first, expected)
	limiter.updateFloors(answer, first)
	if !floorsKnown {
		limiter.recordGoodAnswer(now, answer)
		return
	}
	typical := time.Duration(float64(expected) * max(limiter.recentRatio, 1))
	jumped := first > jumpFactor*typical+jumpSlack
	limiter.recentRatio += recentWeight * (ratio - limiter.recentRatio)
	limiter.measuredAt = now
	switch {
	case jumped && limiter.phase != Cold:
		limiter.TurnCold(now)
	case ratio > 1:
		limiter.decrease(now)
	default:
		limiter.recordGoodAnswer(now, answer)
	}
}

// ratio returns the answer's latency divided by the allowed latency: 1 or less for a good
// answer.
func (limiter *Limiter) ratio(answer Answer, first, expected time.Duration) float64 {
	ratio := float64(first) / float64(slowFactor*expected+slowSlack)
	if perOutput := limiter.floors.perOutput; perOutput > 0 && answer.OutputTokens >= minSamples && answer.Took > first {
		took := float64(answer.Took - first)
		allowed := slowFactor*perOutput*float64(answer.OutputTokens) + float64(slowSlack)
		ratio = max(ratio, took/allowed)
	}
	return ratio
}

func (limiter *Limiter) expected(tokens int) time.Duration {
	return time.Duration(limiter.floors.firstToken) + time.Duration(tokens)*limiter.PerToken()
}

func (limiter *Limiter) updateFloors(answer Answer, first time.Duration) {
	floors := &limiter.floors
	floors.samples++
	updateFloor(&floors.firstToken, float64(first))
	if answer.PromptTokens >= minMeasuredPrompt {
		updateFloor(&floors.perToken, float64(first)/float64(answer.PromptTokens))
	}
	if answer.OutputTokens >= minSamples && answer.Took > first {
		updateFloor(&floors.perOutput, float64(answer.Took-first)/float64(answer.OutputTokens))
	}
}

func updateFloor(floor *float64, value float64) {
	if *floor == 0 || value < *floor {
		*floor = value
		return
	}
	*floor = min(value, *floor*floorGrowth)
}

func (limiter *Limiter) decrease(now time.Time) {
	limiter.goodAnswers = 0
	if limiter.phase == Cold || now.Sub(limiter.lastCut) < decreaseInterval {
		return
	}
	limiter.lastCut = now
	limiter.phase = Warm
	limiter.limit = max(float64(limiter.coldLimit), limiter.limit*decreaseFactor)
}

func (limiter *Limiter) recordGoodAnswer(now time.Time, answer Answer) {
	if answer.Sent.Before(limiter.coldSince) {
		return
	}
	limiter.goodAnswers++
	switch limiter.phase {
	case Cold:
		limiter.tryStartRamp(now)
	case Ramping:
		if limiter.goodAnswers < limiter.Limit() {
			return
		}
		limiter.goodAnswers = 0
		limiter.limit = min(2*limiter.limit, float64(limiter.warmLimit))
		if limiter.Limit() >= limiter.warmLimit {
			limiter.phase = Warm
		}
	case Warm:
		limiter.limit = min(limiter.limit+1/limiter.limit, float64(limiter.warmLimit))
	}
}

// tryStartRamp ends the cold phase once as many good answers as the cold limit have arrived
// and either a later report says that the endpoint isn't cold, or coldHold has passed and no
// recent report says that it is. Good answers alone aren't enough, because a cold endpoint
// answers well under a small load.
func (limiter *Limiter) tryStartRamp(now time.Time) {
	if limiter.phase != Cold || limiter.goodAnswers < limiter.coldLimit {
		return
	}
	reportedWarm := limiter.reportedAt.After(limiter.coldSince.Add(reportLag)) && !limiter.reportsCold
	holdElapsed := now.Sub(limiter.coldSince) >= coldHold && (!limiter.reportsCold || now.Sub(limiter.reportedAt) >= coldHold)
	if reportedWarm || holdElapsed {
		limiter.phase = Ramping
		limiter.goodAnswers = 0
	}
}
