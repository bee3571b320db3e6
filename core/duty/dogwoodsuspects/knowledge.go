package dogwoodsuspects

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodfreshness"
)

const (
	// maxKnowledgeAge is the age from which requests wait for a confirmation. Hubs compare their ledgers, and leaves poll
	// their hubs, more often than that, so only a daemon that starts, was frozen or is cut off exceeds it.
	maxKnowledgeAge = 2 * compareInterval
	// maxKnowledgeWait bounds that wait: one comparison that fails and another one.
	maxKnowledgeWait = compareTimeout + 2*retryInterval
)

// knowledge tracks when another daemon last confirmed that this one knows what the others refuse.
type knowledge struct {
	tracker *dogwoodfreshness.Tracker
	logger  hclog.Logger

	mutex sync.Mutex
	// waitEnds is when requests stop waiting for a confirmation; zero if none has waited since the last one.
	waitEnds time.Time
	// confirmed is closed at the next confirmation.
	confirmed chan struct{}
}

func newKnowledge(clock dogwoodfreshness.Clock, logger hclog.Logger) *knowledge {
	return &knowledge{tracker: dogwoodfreshness.New(clock), logger: logger, confirmed: make(chan struct{})}
}

func (knowledge *knowledge) isRecent() bool {
	return knowledge.tracker.Within(maxKnowledgeAge)
}

// confirm records that another daemon has answered a question that was sent at asked.
func (knowledge *knowledge) confirm(asked time.Duration) {
	knowledge.tracker.Confirm(asked)
	if !knowledge.isRecent() {
		return // the daemon was frozen between the question and the answer
	}
	knowledge.mutex.Lock()
	defer knowledge.mutex.Unlock()
	if !knowledge.waitEnds.IsZero() {
		knowledge.logger.Info("The other daemons' ledgers of suspects are known.")
		knowledge.waitEnds = time.Time{}
	}
	close(knowledge.confirmed)
	knowledge.confirmed = make(chan struct{})
}

// await waits until the knowledge is recent. A daemon that no other one answers serves without, after maxKnowledgeWait.
func (knowledge *knowledge) await(ctx context.Context) error {
	for !knowledge.isRecent() {
		confirmed, remaining := knowledge.nextConfirmation()
		if remaining <= 0 {
			return nil
		}
		counters.Add("AwaitedKnowledge", 1)
		timer := time.NewTimer(remaining)
		select {
		case <-confirmed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
	return nil
}

// nextConfirmation returns a channel that is closed at the next confirmation, and how long requests still wait for it.
func (knowledge *knowledge) nextConfirmation() (<-chan struct{}, time.Duration) {
	knowledge.mutex.Lock()
	defer knowledge.mutex.Unlock()
	if knowledge.waitEnds.IsZero() {
		age, known := knowledge.tracker.Age()
		knowledge.logger.Info("Requests wait for the other daemons' ledgers of suspects.", "known", known, "age", age, "limit", maxKnowledgeWait)
		knowledge.waitEnds = time.Now().Add(maxKnowledgeWait)
	}
	return knowledge.confirmed, time.Until(knowledge.waitEnds)
}
