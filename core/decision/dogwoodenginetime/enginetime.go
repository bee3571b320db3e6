// Package dogwoodenginetime predicts how long a model engine takes to prefill a prompt, from
// the engine's performance figures and its current load.
//
// Load pattern: prompts of a thousand to a million tokens share the engines. Prefill time grows
// with the square of the prompt's length, and an engine that is decoding answers prefills only
// between its decode steps. A prediction that is linear in tokens would queue short prompts
// behind long ones and send long prompts to engines that are decoding.
package dogwoodenginetime

import (
	"math"
	"time"
)

// LongPrompt is the length in tokens from which a prompt counts as long. It is six times the
// mean length of short prompts and below the length of nearly all long ones.
const LongPrompt = 30_000

// Engine holds the performance figures of one kind of engine from the operators' text.
type Engine struct {
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// MemoryTokens is the KV cache memory in tokens.
	MemoryTokens int
	// Step is the base time of one decode step. PerRequest is added for each decoding request
	// and PerThousand for each thousand tokens of their contexts.
	Step, PerRequest, PerThousand time.Duration
	// TokensPerSecond is the prefill rate without the quadratic cost of token pairs.
	TokensPerSecond float64
	// PerMillionPairs is the prefill time per million pairs of a token and an earlier token.
	PerMillionPairs time.Duration
	// Chunk is the maximum number of tokens that one step prefills.
	Chunk int
	// Stride is the number of steps that a decoding engine runs as one pass.
	Stride int
	// Hop is added to each step of a request whose prompt is split across several engines.
	Hop time.Duration
}

// Known reports whether the figures suffice for predictions.
func (engine *Engine) Known() bool {
	return engine.TokensPerSecond > 0 && engine.Slots > 0
}

// PrefillTime returns the time to prefill a prompt that is split evenly across the given number of
// idle engines. It returns 0 if the figures do not suffice for predictions.
func (engine *Engine) PrefillTime(tokens, engines int) time.Duration {
	if !engine.Known() || tokens <= 0 {
		return 0
	}
	parts := float64(max(engines, 1))
	linear := float64(tokens) / engine.TokensPerSecond * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6
	return time.Duration((linear + pairs*float64(engine.PerMillionPairs)) / parts)
}

// PassTime returns the time of one pass of an engine that is decoding for the given number of
// requests with the given total context and does not prefill.
func (engine *Engine) PassTime(decodingRequests, contextTokens int) time.Duration {
	step := engine.Step + time.Duration(decodingRequests)*engine.PerRequest + time.Duration(float64(contextTokens)/1000*float64(engine.PerThousand))
	return time.Duration(max(engine.Stride, 1)) * step
}

// Load is the current work of an engine.
type Load struct {
	// Queued is the prefill time of the queued prompts.
	Queued time.Duration
	// QueuedTokens is the number of tokens in these prompts.
	QueuedTokens int
	// DecodingRequests is the number of decoding requests, ContextTokens the total of their contexts.
	DecodingRequests, ContextTokens int
}

// FirstToken predicts the time from the arrival of a prompt part at the engine to the end of its
// prefill. While an engine is decoding, it prefills one chunk in each step of a pass. On average,
// half a pass remains when the part arrives.
func (engine *Engine) FirstToken(load Load, tokens int, prefill time.Duration) time.Duration {
	total := load.Queued + prefill
	if load.DecodingRequests == 0 || engine.Chunk <= 0 {
		return total
	}
	passes := math.Ceil(float64(load.QueuedTokens+tokens) / float64(engine.Chunk*max(engine.Stride, 1)))
	pass := engine.PassTime(load.DecodingRequests, load.ContextTokens)
	return total + pass/2 + time.Duration(passes*float64(pass))
}

// Pause predicts the longest interruption of the decoding requests by the prefill of another
// prompt part. All queued prompts may be prefilled within one pass.
func (engine *Engine) Pause(load Load, prefill time.Duration) time.Duration {
	return engine.PassTime(load.DecodingRequests+1, load.ContextTokens) + load.Queued + prefill
}
