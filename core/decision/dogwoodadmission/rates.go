package dogwoodadmission

import "time"

// estimateGain is the weight of a new observation, the same as in TCP's round-trip estimate.
const estimateGain = 1.0 / 8

// minScaledPrompt is the prompt length, in tokens, below which the time to the first token
// is assumed to be constant, because overhead dominates.
const minScaledPrompt = 500

// estimate is a moving mean with its mean deviation.
type estimate struct {
	mean, deviation float64
	seen            bool
}

func (estimate *estimate) observe(value float64) {
	if !estimate.seen {
		estimate.mean, estimate.deviation, estimate.seen = value, value/4, true
		return
	}
	difference := value - estimate.mean
	estimate.mean += estimateGain * difference
	estimate.deviation += estimateGain * (max(difference, -difference) - estimate.deviation)
}

// Rates estimates, for each size class, how long a granted request takes.
type Rates struct {
	classes [Classes]classRates
}

type classRates struct {
	// first is the time to the first token for each prompt token, in nanoseconds.
	first estimate
	// decode is the time for each output token, in nanoseconds.
	decode estimate
	// output is the fraction of MaxTokens that answers used.
	output estimate
}

// Sample holds the token counts and times of a finished request.
type Sample struct {
	PromptTokens, OutputTokens, MaxTokens int
	FirstToken, Took                      time.Duration
}

// Observe updates the estimates from a finished request.
func (rates *Rates) Observe(sample Sample) {
	class := &rates.classes[ClassOf(sample.PromptTokens)]
	first := sample.FirstToken
	if first <= 0 {
		first = sample.Took
	}
	class.first.observe(float64(first) / float64(max(sample.PromptTokens, minScaledPrompt)))
	if sample.OutputTokens > 0 && sample.Took > first {
		class.decode.observe(float64(sample.Took-first) / float64(sample.OutputTokens))
	}
	if sample.MaxTokens > 0 {
		class.output.observe(float64(sample.OutputTokens) / float64(sample.MaxTokens))
	}
}

// Output returns the predicted number of tokens of the answer, the mean plus one deviation.
func (rates *Rates) Output(promptTokens, maxTokens int) int {
	output := rates.nearest(ClassOf(promptTokens), func(class *classRates) *estimate { return &class.output })
	if !output.seen {
		return maxTokens
	}
	return min(maxTokens, int((output.mean+output.deviation)*float64(maxTokens)))
}

// serviceDeviations is how many deviations above the mean the predicted service time is. With
// one, 29 of 3,770 requests granted at twice the capacity ended at their deadline.
const serviceDeviations = 2

// Predict returns the expected service time of a granted request and a cautious estimate:
// the mean, and the mean plus serviceDeviations deviations. Both are 0 before the first
// observation, so that the first requests are admitted and can be measured.
func (rates *Rates) Predict(promptTokens, maxTokens int) (expected, service time.Duration) {
	class := ClassOf(promptTokens)
	first := rates.nearest(class, func(class *classRates) *estimate { return &class.first })
	decode := rates.nearest(class, func(class *classRates) *estimate { return &class.decode })
	prompt, output := float64(max(promptTokens, minScaledPrompt)), float64(rates.Output(promptTokens, maxTokens))
	mean := first.mean*prompt + decode.mean*output
	return time.Duration(mean), time.Duration(mean + serviceDeviations*(first.deviation*prompt+decode.deviation*output))
}

// Service returns the cautious service time of Predict.
func (rates *Rates) Service(promptTokens, maxTokens int) time.Duration {
	_, service := rates.Predict(promptTokens, maxTokens)
	return service
}

// nearest returns the estimate of the class or, if it has no observations, that of the
// nearest class with some, the longer one at equal distance. The fallback overestimates the
// time per token only for short prompts.
func (rates *Rates) nearest(class Class, estimateOf func(*classRates) *estimate) *estimate {
	for distance := range Class(Classes) {
		if longer := class + distance; longer < Classes {
			if found := estimateOf(&rates.classes[longer]); found.seen {
				return found
			}
		}
		if shorter := class - distance; shorter >= 0 {
			if found := estimateOf(&rates.classes[shorter]); found.seen {
				return found
			}
		}
	}
	return estimateOf(&rates.classes[class])
}
