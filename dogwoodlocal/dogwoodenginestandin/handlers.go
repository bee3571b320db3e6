package dogwoodenginestandin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

// header writes who answers; the mutex is held.
func (engine *Engine) header(writer http.ResponseWriter) {
	writer.Header().Set(dogwoodengine.HeaderInstance, string(engine.life.instance))
	if time.Now().Before(engine.life.coldUntil) {
		writer.Header().Set(dogwoodengine.HeaderCold, "true")
		engine.life.coldTold = true
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the reader may have left
}

func refuseNotRun(writer http.ResponseWriter, status int, detail string) {
	writer.Header().Set(dogwoodengine.HeaderNotRun, "true")
	answer(writer, status, dogwoodengine.Refused{Detail: detail})
}

func readBody[T any](writer http.ResponseWriter, request *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		answer(writer, http.StatusBadRequest, dogwoodengine.Refused{Detail: err.Error()})
		return body, false
	}
	return body, true
}

// list answers with what holds the memory now.
func (engine *Engine) list(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.clean(now)
	state := dogwoodengine.State{
		Instance: engine.life.instance, Leaving: engine.life.leaving, MemoryTokens: engine.options.MemoryTokens,
	}
	for _, sequence := range engine.sorted(func(*sequence) bool { return true }) {
		state.Running = append(state.Running, dogwoodengine.Running{
			ID:              sequence.id,
			Phase:           sequence.phase,
			HeldTokens:      sequence.held,
			PrefilledTokens: int(sequence.prefilled),
			PromptTokens:    sequence.prompt,
			Events:          len(sequence.chunks),
			Age:             dogwoodengine.Duration(now.Sub(sequence.arrived)),
		})
	}
	for id, reservation := range engine.life.reservations {
		state.Reservations = append(state.Reservations, dogwoodengine.Reservation{
			ID:             id,
			Tokens:         reservation.tokens,
			Lease:          dogwoodengine.Duration(reservation.expires.Sub(now)),
			ImportedTokens: reservation.imported,
		})
	}
	engine.header(writer)
	answer(writer, http.StatusOK, state)
}

// cancel ends a request, and refuses it if it arrives later.
func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	id := dogwoodfleet.RequestID(request.PathValue("ID"))
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.life.cancelled[id] = now
	delete(engine.life.reservations, id)
	cancelled := dogwoodengine.Cancelled{Instance: engine.life.instance}
	if sequence := engine.find(id); sequence != nil {
		cancelled.Begun = sequence.phase != dogwoodengine.PhaseWaiting
		if !sequence.over() {
			sequence.end(dogwoodengine.PhaseFailed, "cancelled", now)
		}
	}
	engine.stir()
	engine.header(writer)
	answer(writer, http.StatusOK, cancelled)
}

// laggedLoad keeps a report until it is old enough to be given out.
type laggedLoad struct {
	given, next dogwoodengine.Load
	taken       time.Time
}

// load answers with a report that is a lag old.
func (engine *Engine) load(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	lagging := &engine.life.lagging
	if lagging.taken.IsZero() {
		lagging.given, lagging.next, lagging.taken = engine.report(now), engine.report(now), now
	}
	if now.Sub(lagging.taken) >= loadLag {
		lagging.given, lagging.next, lagging.taken = lagging.next, engine.report(now), now
	}
	engine.header(writer)
	answer(writer, http.StatusOK, lagging.given)
}

// report describes the engine now; the mutex is held.
func (engine *Engine) report(now time.Time) dogwoodengine.Load {
	engine.finishLoading(now)
	load := dogwoodengine.Load{
		Instance:     engine.life.instance,
		Cold:         now.Before(engine.life.coldUntil),
		MemoryTokens: engine.options.MemoryTokens,
		HeldTokens:   engine.held(),
		CachedTokens: engine.life.cache.used.Len() * blockTokens,
		Holds:        engine.life.holds,
		Loading:      engine.life.loading,
	}
	for _, sequence := range engine.life.sequences {
		switch {
		case sequence.computing():
			load.Running++
		case !sequence.over():
			load.Waiting++
		}
		if !sequence.over() {
			load.QueuedPrefillTokens += sequence.prompt - int(sequence.prefilled)
		}
	}
	return load
}

// events answers with the published cache events after a number.
func (engine *Engine) events(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(request.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		answer(writer, http.StatusBadRequest, dogwoodengine.Refused{Detail: err.Error()})
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	events := engine.life.cache.after(after, time.Now())
	events.Instance = engine.life.instance
	engine.header(writer)
	answer(writer, http.StatusOK, events)
}

// reserve sets memory aside, or renews.
func (engine *Engine) reserve(writer http.ResponseWriter, request *http.Request) {
	wanted, ok := readBody[dogwoodengine.Reservation](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.clean(now)
	engine.header(writer)
	if _, cancelled := engine.life.cancelled[wanted.ID]; cancelled {
		refuseNotRun(writer, http.StatusConflict, "cancelled")
		return
	}
	held, found := engine.life.reservations[wanted.ID]
	if !found {
		if !engine.take(wanted.Tokens) {
			free := engine.options.MemoryTokens - engine.held()
			answer(writer, http.StatusInsufficientStorage, dogwoodengine.Refused{Detail: "no room", FreeTokens: free})
			return
		}
		held = &reservation{tokens: wanted.Tokens}
		engine.life.reservations[wanted.ID] = held
	}
	held.expires = now.Add(time.Duration(wanted.Lease))
	answer(writer, http.StatusOK, wanted)
}

// reserved returns the reservation that a path names, or answers that there is none.
func (engine *Engine) reserved(writer http.ResponseWriter, request *http.Request) *reservation {
	held := engine.life.reservations[dogwoodfleet.RequestID(request.PathValue("ID"))]
	if held == nil {
		answer(writer, http.StatusNotFound, dogwoodengine.Refused{Detail: "no reservation"})
	}
	return held
}

// renew lengthens a lease.
func (engine *Engine) renew(writer http.ResponseWriter, request *http.Request) {
	wanted, ok := readBody[dogwoodengine.Reservation](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.clean(now)
	engine.header(writer)
	held := engine.reserved(writer, request)
	if held == nil {
		return
	}
	held.expires = now.Add(time.Duration(wanted.Lease))
	answer(writer, http.StatusOK, struct{}{})
}

func (engine *Engine) release(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	delete(engine.life.reservations, dogwoodfleet.RequestID(request.PathValue("ID")))
	engine.stir()
	engine.header(writer)
	answer(writer, http.StatusOK, struct{}{})
}

// importKV takes KV memory into a reservation.
func (engine *Engine) importKV(writer http.ResponseWriter, request *http.Request) {
	memory, ok := readBody[dogwoodengine.Import](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.clean(time.Now())
	engine.header(writer)
	held := engine.reserved(writer, request)
	if held == nil {
		return
	}
	held.imported += memory.ToTokens - memory.FromTokens
	answer(writer, http.StatusOK, struct{}{})
}

// order takes up a wanted state.
func (engine *Engine) order(writer http.ResponseWriter, request *http.Request) {
	order, ok := readBody[dogwoodengine.Order](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.finishLoading(now)
	engine.header(writer)
	if engine.options.ChecksFencing && order.Fence < engine.life.fence {
		answer(writer, http.StatusConflict, dogwoodengine.Refused{Detail: "old fencing number", Fence: engine.life.fence})
		return
	}
	engine.life.fence = max(engine.life.fence, order.Fence)
	engine.counts.orders++
	engine.life.loading = &order.Wanted
	engine.life.loadedAt = now.Add(engine.options.LoadFor)
	answer(writer, http.StatusOK, struct{}{})
}

// finishLoading brings an order about once its load time is over; the mutex is held.
func (engine *Engine) finishLoading(now time.Time) {
	if engine.life.loading == nil || now.Before(engine.life.loadedAt) {
		return
	}
	newModel := engine.life.loading.Model != engine.life.holds.Model || engine.life.loading.Version != engine.life.holds.Version
	engine.life.holds = *engine.life.loading
	engine.life.loading = nil
	if newModel {
		engine.life.cache.clear()
	}
}
