package dogwoodmemory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	modelMemory = 1000
	modelLease  = 3 * time.Second
	modelStep   = 100 * time.Millisecond
)

// modelRequest is the actual state of a request, which the ledger does not see.
type modelRequest struct {
	id     dogwoodfleet.RequestID
	tokens int
	// arrivesAt is when the engine starts the request, finishesAt when it completes it.
	arrivesAt, finishesAt time.Time
	// drainsAt is when the holder ends the request early, holderDiesAt when the holder fails
	// without ending it.
	drainsAt, holderDiesAt time.Time
	pausedUntil            time.Time
	running                bool
	ended                  bool // at the engine
	released               bool
	cancelLost             bool
}

type modelReport struct {
	Report
	deliveredAt time.Time
}

// model simulates an engine and entry daemons around the ledger under test.
type model struct {
	random      *rand.Rand
	now         time.Time
	ledger      *Ledger
	requests    []*modelRequest
	reports     []modelReport
	instance    int
	lastRequest int
}

func (model *model) chance(percent int) bool { return model.random.IntN(100) < percent }

func (model *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(model.random.Int64N(int64(high-low)))
}

// grant reserves memory for a new request and sends it to the engine.
func (model *model) grant() {
	model.lastRequest++
	request := &modelRequest{
		id:        dogwoodfleet.RequestID(fmt.Sprintf("r%d", model.lastRequest)),
		tokens:    1 + model.random.IntN(modelMemory/2),
		arrivesAt: model.now.Add(model.between(0, time.Second)),
	}
	wanted := Hold{Request: request.id, Holder: "entry", Tokens: request.tokens, Expires: model.now.Add(modelLease)}
	if model.ledger.Reserve(wanted, model.now) != nil {
		return
	}
	request.finishesAt = request.arrivesAt.Add(model.between(100*time.Millisecond, 20*time.Second))
	never := model.now.Add(time.Hour)
	request.drainsAt, request.holderDiesAt = never, never
	switch model.random.IntN(4) {
	case 0:
		request.drainsAt = model.now.Add(model.between(0, 10*time.Second))
		request.cancelLost = model.chance(50)
	case 1:
		request.holderDiesAt = model.now.Add(model.between(0, 10*time.Second))
	}
	model.requests = append(model.requests, request)
}

// stepHolders renews or ends holds, and starts pauses, on behalf of the holders.
func (model *model) stepHolders(t *testing.T) {
	for _, request := range model.requests {
		switch {
		case request.released || model.now.After(request.holderDiesAt):
		case request.ended:
			request.released = true
			model.ledger.Finish(request.id, model.now)
		case model.now.After(request.drainsAt):
			request.released = true
			model.ledger.Drain(request.id, model.now)
			if !request.cancelLost {
				request.running, request.ended = false, true
			}
		case model.now.Before(request.pausedUntil):
		case !model.ledger.Renew(request.id, model.now.Add(modelLease)):
			t.Errorf("%s: the renewal of a request in use failed", request.id)
		case model.chance(1):
			// A pause or a lost connection that lasts less than the grace.
			request.pausedUntil = model.now.Add(model.between(0, ExpiryGrace))
		}
	}
}

// stepEngine starts and finishes requests, restarts the engine at times, and creates reports.
func (model *model) stepEngine() {
	for _, request := range model.requests {
		if request.ended {
			continue
		}
		if !request.running && model.now.After(request.arrivesAt) {
			request.running = true
		}
		if request.running && model.now.After(request.finishesAt) {
			request.running, request.ended = false, true
		}
	}
	if model.chance(1) && model.chance(20) {
		model.instance++
		for _, request := range model.requests {
			if request.running {
				request.running, request.ended = false, true
			}
		}
	}
	if model.chance(10) {
		report := Report{Asked: model.now, Instance: dogwoodfleet.InstanceID(fmt.Sprint(model.instance)), MemoryTokens: modelMemory}
		for _, request := range model.requests {
			if request.running {
				report.Listed = append(report.Listed, Listed{Request: request.id, Tokens: request.tokens})
			}
		}
		model.reports = append(model.reports, modelReport{Report: report, deliveredAt: model.now.Add(model.between(0, 2*time.Second))})
	}
}

// deliverReports passes due reports to the ledger, some of them out of order.
func (model *model) deliverReports(t *testing.T) {
	pending := model.reports[:0]
	for _, report := range model.reports {
		if model.now.Before(report.deliveredAt) {
			pending = append(pending, report)
			continue
		}
		for _, orphan := range model.ledger.Reconcile(report.Report, model.now) {
			model.cancel(t, orphan)
		}
	}
	model.reports = pending
}

func (model *model) cancel(t *testing.T, orphan Orphan) {
	for _, request := range model.requests {
		if request.id != orphan.Request {
			continue
		}
		if !request.released && !model.now.After(request.holderDiesAt) && !request.ended {
			t.Errorf("%s: cancelled as %s while its caller still reads it", request.id, orphan.Why)
		}
		if model.chance(70) { // the remaining cancels are lost
			request.running, request.ended = false, true
		}
	}
}

func (model *model) runningTokens() int {
	tokens := 0
	for _, request := range model.requests {
		if request.running {
			tokens += request.tokens
		}
	}
	return tokens
}

// Guards against freeing memory too early, which overcommits an engine or cancels a stream that a
// caller reads, and against leaking memory. Callers leave, entry daemons fail and pause, cancels are
// lost, and the engine's reports arrive out of order.
func TestLedgerNeitherLeaksNorFreesMemoryInUse(t *testing.T) {
	for seed := range uint64(300) {
		model := &model{
			random: rand.New(rand.NewPCG(seed, 1)),
			now:    time.Unix(1_000_000, 0),
			ledger: New(),
		}
		model.ledger.SetMemory(modelMemory)
		for step := range 2000 {
			model.now = model.now.Add(modelStep)
			if step < 1000 && model.chance(20) {
				model.grant()
			}
			model.stepHolders(t)
			model.stepEngine()
			model.deliverReports(t)
			if got := model.runningTokens(); got > modelMemory {
				t.Errorf("got %d tokens held at the engine, want at most %d", got, modelMemory)
			}
			if t.Failed() {
				t.Fatalf("seed %d, step %d", seed, step)
			}
		}
		if got := model.runningTokens(); got != 0 {
			t.Errorf("seed %d: got %d tokens held at the engine at the end, want 0", seed, got)
		}
		if got := model.ledger.Used(); got != 0 {
			t.Errorf("seed %d: got %d tokens used at the end, want 0", seed, got)
		}
	}
}

// BenchmarkReconcile reconciles the ledger of an engine with 16 requests.
func BenchmarkReconcile(b *testing.B) {
	ledger := New()
	ledger.SetMemory(400_000)
	now := time.Unix(1_000_000, 0)
	var listed []Listed
	for number := range 16 {
		request := dogwoodfleet.RequestID(fmt.Sprintf("request-%d", number))
		ledger.Claim(Hold{Request: request, Tokens: 4000, Expires: now.Add(time.Hour)}, now)
		listed = append(listed, Listed{Request: request, Tokens: 4000})
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		ledger.Reconcile(Report{Asked: now, Instance: "i1", Listed: listed}, now)
	}
}
