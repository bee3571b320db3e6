package dogwoodpacking

import (
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

// unread is a prompt, or a part of one, that an engine has to read.
type unread struct {
	begun   time.Time
	reading time.Duration
	tokens  int
}

// load estimates an engine's work from what was sent there and has not answered. Prompts
// are read one after another from the last moment at which one is known to have been
// read; those that must be read by now count no more, although a joint prompt shows its
// first token only when its last part is read.
func (place *place) load(now time.Time) dogwoodenginetime.Load {
	var load dogwoodenginetime.Load
	place.unread = place.unread[:0]
	var waiting time.Duration
	for _, work := range place.work {
		if work.Writing {
			load.Writers++
			load.ContextTokens += work.Tokens / (1 + len(work.Helpers))
			continue
		}
		waiting += work.Reading
		place.queue(work)
	}
	load.Queued, load.QueuedTokens = place.backlog(now)
	load.Queued = max(load.Queued, time.Duration(waitingShare*float64(waiting)))
	return load
}

// partsLoad estimates what an engine reads before a part that it gets as a helper: only the
// parts of others that came before, since an engine reads these ahead of its own prompts.
// Taken for part of one queue, a helper with a prompt of its own looked busy for seconds,
// and joint prompts were read by few engines that had none.
func (place *place) partsLoad(now time.Time, load dogwoodenginetime.Load) dogwoodenginetime.Load {
	place.unread = place.unread[:0]
	load.Queued, load.QueuedTokens = place.backlog(now)
	return load
}

// backlog is the time until the engine has read the prompts gathered so far and the parts
// that it helps with, and the tokens of those that it still has to read.
func (place *place) backlog(now time.Time) (queued time.Duration, tokens int) {
	for _, work := range place.parts {
		if !work.Writing {
			place.queue(work)
		}
	}
	slices.SortFunc(place.unread, func(one, other unread) int { return one.begun.Compare(other.begun) })
	free := place.readAt
	for _, each := range place.unread {
		if each.begun.After(free) {
			free = each.begun
		}
		free = free.Add(time.Duration(float64(each.reading) * place.health.slowness()))
		if free.After(now) {
			tokens += each.tokens
		}
	}
	return max(free.Sub(now), 0), tokens
}

// waitingShare is the part of what has not answered that counts at least: the engine may
// be slower than it was.
const waitingShare = 0.1

func (place *place) queue(work *Work) {
	place.unread = append(place.unread, unread{
		begun: work.Begun, reading: work.Reading, tokens: work.Prompt / (1 + len(work.Helpers)),
	})
}

// used is the memory taken, in tokens.
func (place *place) used() int {
	used := 0
	for _, work := range place.work {
		used += work.Tokens
		for _, part := range work.Helpers {
			used -= part.Tokens
		}
	}
	for _, work := range place.parts {
		for _, part := range work.Helpers {
			if part.Endpoint == place.ID {
				used += part.Tokens
			}
		}
	}
	return used
}
