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

// writeHeaders sets the headers with the engine's instance and whether it is cold; the mutex
// must be held.
func (engine *Engine) writeHeaders(writer http.ResponseWriter) {
	writer.Header().Set(dogwoodengine.HeaderInstance, string(engine.process.instance))
	if time.Now().Before(engine.process.coldUntil) {
		writer.Header().Set(dogwoodengine.HeaderCold, "true")
		engine.process.coldReported = true
	}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the caller may have disconnected
}

func writeNotRun(writer http.ResponseWriter, status int, detail string) {
	writer.Header().Set(dogwoodengine.HeaderNotRun, "true")
	writeJSON(writer, status, dogwoodengine.Refused{Detail: detail})
}

func decodeBody[T any](writer http.ResponseWriter, request *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writeJSON(writer, http.StatusBadRequest, dogwoodengine.Refused{Detail: err.Error()})
		return body, false
	}
	return body, true
}

// list answers with the requests and reservations in the engine.
func (engine *Engine) list(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.removeExpired(now)
	state := dogwoodengine.State{
		Instance: engine.process.instance, Leaving: engine.process.leaving, MemoryTokens: engine.options.MemoryTokens,
	}
	for _, sequence := range engine.sequencesByPriority(func(*sequence) bool { return true }) {
		state.Running = append(state.Running, dogwoodengine.Running{
			ID:              sequence.id,
			Phase:           sequence.phase,
			HeldTokens:      sequence.heldTokens,
			PrefilledTokens: int(sequence.prefilled),
			PromptTokens:    sequence.promptTokens,
			Events:          len(sequence.chunks),
			Age:             dogwoodengine.Duration(now.Sub(sequence.arrived)),
		})
	}
	for id, reservation := range engine.process.reservations {
		state.Reservations = append(state.Reservations, dogwoodengine.Reservation{
			ID:             id,
			Tokens:         reservation.tokens,
			Lease:          dogwoodengine.Duration(reservation.expires.Sub(now)),
			ImportedTokens: reservation.importedTokens,
		})
	}
	engine.writeHeaders(writer)
	writeJSON(writer, http.StatusOK, state)
}

// cancel ends a request, and makes the engine refuse it if it arrives later.
func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	id := dogwoodfleet.RequestID(request.PathValue("ID"))
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.process.cancelled[id] = now
	delete(engine.process.reservations, id)
	cancelled := dogwoodengine.Cancelled{Instance: engine.process.instance}
	if sequence := engine.find(id); sequence != nil {
		cancelled.Begun = sequence.phase != dogwoodengine.PhaseWaiting
		if !sequence.ended() {
			sequence.end(dogwoodengine.PhaseFailed, "cancelled", now)
		}
	}
	engine.signalWork()
	engine.writeHeaders(writer)
	writeJSON(writer, http.StatusOK, cancelled)
}

// delayedLoad holds a load report back until it is old enough to be returned.
type delayedLoad struct {
	reported, pending dogwoodengine.Load
	pendingSince      time.Time
}

// load answers with a load report that is at least minLoadAge old, except during the first
// minLoadAge after the first query.
func (engine *Engine) load(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	delayedLoad := &engine.process.delayedLoad
	if delayedLoad.pendingSince.IsZero() {
		delayedLoad.reported, delayedLoad.pending, delayedLoad.pendingSince = engine.report(now), engine.report(now), now
	}
	if now.Sub(delayedLoad.pendingSince) >= minLoadAge {
		delayedLoad.reported, delayedLoad.pending, delayedLoad.pendingSince = delayedLoad.pending, engine.report(now), now
	}
	engine.writeHeaders(writer)
	writeJSON(writer, http.StatusOK, delayedLoad.reported)
}

// report returns the present load; the mutex must be held.
func (engine *Engine) report(now time.Time) dogwoodengine.Load {
	engine.finishLoading(now)
	load := dogwoodengine.Load{
		Instance:     engine.process.instance,
		Cold:         now.Before(engine.process.coldUntil),
		MemoryTokens: engine.options.MemoryTokens,
		HeldTokens:   engine.heldTokens(),
		CachedTokens: engine.process.cache.recency.Len() * blockTokens,
		Holds:        engine.process.holding,
		Loading:      engine.process.loading,
	}
	for _, sequence := range engine.process.sequences {
		switch {
		case sequence.computing():
			load.Running++
		case !sequence.ended():
			load.Waiting++
		}
		if !sequence.ended() {
			load.QueuedPrefillTokens += sequence.promptTokens - int(sequence.prefilled)
		}
	}
	return load
}

// events answers with the published cache events after a sequence number.
func (engine *Engine) events(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(request.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, dogwoodengine.Refused{Detail: err.Error()})
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	events := engine.process.cache.eventsAfter(after, time.Now())
	events.Instance = engine.process.instance
	engine.writeHeaders(writer)
	writeJSON(writer, http.StatusOK, events)
}

// reserve reserves memory, or renews the reservation if there is one.
func (engine *Engine) reserve(writer http.ResponseWriter, request *http.Request) {
	wanted, ok := decodeBody[dogwoodengine.Reservation](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.removeExpired(now)
	engine.writeHeaders(writer)
	if _, cancelled := engine.process.cancelled[wanted.ID]; cancelled {
		writeNotRun(writer, http.StatusConflict, "cancelled")
		return
	}
	held, found := engine.process.reservations[wanted.ID]
	if !found {
		if !engine.makeRoom(wanted.Tokens) {
			free := engine.options.MemoryTokens - engine.heldTokens()
			writeJSON(writer, http.StatusInsufficientStorage, dogwoodengine.Refused{Detail: "no room", FreeTokens: free})
			return
		}
		held = &reservation{tokens: wanted.Tokens}
		engine.process.reservations[wanted.ID] = held
	}
	held.expires = now.Add(time.Duration(wanted.Lease))
	writeJSON(writer, http.StatusOK, wanted)
}

// findReservation returns the reservation that the path names, or answers that there is none.
func (engine *Engine) findReservation(writer http.ResponseWriter, request *http.Request) *reservation {
	held := engine.process.reservations[dogwoodfleet.RequestID(request.PathValue("ID"))]
	if held == nil {
		writeJSON(writer, http.StatusNotFound, dogwoodengine.Refused{Detail: "no reservation"})
	}
	return held
}

// renew extends the lease of a reservation.
func (engine *Engine) renew(writer http.ResponseWriter, request *http.Request) {
	wanted, ok := decodeBody[dogwoodengine.Reservation](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.removeExpired(now)
	engine.writeHeaders(writer)
	held := engine.findReservation(writer, request)
	if held == nil {
		return
	}
	held.expires = now.Add(time.Duration(wanted.Lease))
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (engine *Engine) release(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	delete(engine.process.reservations, dogwoodfleet.RequestID(request.PathValue("ID")))
	engine.signalWork()
	engine.writeHeaders(writer)
	writeJSON(writer, http.StatusOK, struct{}{})
}

// importKV adds KV memory to a reservation.
func (engine *Engine) importKV(writer http.ResponseWriter, request *http.Request) {
	memory, ok := decodeBody[dogwoodengine.Import](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.removeExpired(time.Now())
	engine.writeHeaders(writer)
	held := engine.findReservation(writer, request)
	if held == nil {
		return
	}
	held.importedTokens += memory.ToTokens - memory.FromTokens
	writeJSON(writer, http.StatusOK, struct{}{})
}

// order starts to load the wanted model.
func (engine *Engine) order(writer http.ResponseWriter, request *http.Request) {
	order, ok := decodeBody[dogwoodengine.Order](writer, request)
	if !ok {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.finishLoading(now)
	engine.writeHeaders(writer)
	if engine.options.ChecksFencing && order.Fence < engine.process.fence {
		writeJSON(writer, http.StatusConflict, dogwoodengine.Refused{Detail: "old fencing number", Fence: engine.process.fence})
		return
	}
	engine.process.fence = max(engine.process.fence, order.Fence)
	engine.counts.orders++
	engine.process.loading = &order.Wanted
	engine.process.loadedAt = now.Add(engine.options.LoadDuration)
	writeJSON(writer, http.StatusOK, struct{}{})
}

// finishLoading completes an order once its load time has passed; the mutex must be held.
func (engine *Engine) finishLoading(now time.Time) {
	if engine.process.loading == nil || now.Before(engine.process.loadedAt) {
		return
	}
	newModel := engine.process.loading.Model != engine.process.holding.Model || engine.process.loading.Version != engine.process.holding.Version
	engine.process.holding = *engine.process.loading
	engine.process.loading = nil
	if newModel {
		engine.process.cache.clear()
	}
}
