package dogwoodenginestandin

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

// run queues a request and streams its answer.
func (engine *Engine) run(writer http.ResponseWriter, request *http.Request) {
	added, err := engine.parseRequest(request)
	if err != nil {
		writeNotRun(writer, http.StatusBadRequest, err.Error())
		return
	}
	if status, detail := engine.enqueue(added); status != 0 {
		writeNotRun(writer, status, detail)
		return
	}
	engine.signalWork()
	engine.stream(writer, request, added, 0)
}

// parseRequest converts an HTTP request to a sequence.
func (engine *Engine) parseRequest(request *http.Request) (*sequence, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	prompt, err := dogwoodengine.ParsePrompt(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	helpers, err := parseHelpers(request.Header.Get(dogwoodengine.HeaderGang))
	if err != nil {
		return nil, err
	}
	priority, err := strconv.Atoi(cmp.Or(request.Header.Get(dogwoodengine.HeaderPriority), "0"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	budget, err := time.ParseDuration(cmp.Or(request.Header.Get(dogwoodengine.HeaderBudget), "0s"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	id := dogwoodfleet.RequestID(request.Header.Get(dogwoodengine.HeaderRequestID))
	if id == "" {
		return nil, Error.New("the request has no %s header", dogwoodengine.HeaderRequestID)
	}
	now := time.Now()
	parsed := &sequence{
		id:           id,
		tag:          cmp.Or(request.Header.Get(dogwoodengine.HeaderLoadID), tagOf(prompt.Text), string(id)),
		chat:         request.URL.Path == dogwoodengine.PathChat,
		model:        prompt.Model,
		priority:     priority,
		arrived:      now,
		promptTokens: max(prompt.Tokens(), 1),
		maxTokens:    prompt.MaxTokens,
		blocks:       dogwoodprefix.Blocks(prompt.Text, math.MaxInt),
		helpers:      helpers,
		phase:        dogwoodengine.PhaseWaiting,
		changed:      make(chan struct{}),
	}
	members := len(helpers) + 1
	parsed.tokensPerMember = (parsed.promptTokens + parsed.maxTokens + members - 1) / members
	if budget > 0 {
		parsed.deadline = now.Add(budget)
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	parsed.crashesEngine = engine.crashesOn(prompt.Text)
	return parsed, nil
}

// enqueue queues a request, or returns the status with which it is refused.
func (engine *Engine) enqueue(added *sequence) (status int, detail string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.finishLoading(now)
	engine.counts.lastNewWork = now
	_, cancelled := engine.process.cancelled[added.id]
	model := engine.process.holding.Model
	switch {
	case !engine.process.alive:
		return http.StatusServiceUnavailable, "the engine is starting"
	case cancelled || engine.find(added.id) != nil:
		return http.StatusConflict, "the request id is cancelled or in use"
	case model != "" && added.model != "" && model != added.model:
		return http.StatusNotFound, "the engine does not hold the model"
	case added.tokensPerMember > engine.options.MemoryTokens:
		return http.StatusRequestEntityTooLarge, "the prompt is larger than the engine's memory"
	}
	engine.process.sequences[added.id] = added
	engine.countOverrun(now)
	return 0, ""
}

// resume streams a known request from the event after the one in the Last-Event-Id header.
func (engine *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("ID")
	engine.mutex.Lock()
	known := engine.find(dogwoodfleet.RequestID(id))
	if known == nil {
		engine.writeHeaders(writer)
		writeJSON(writer, http.StatusNotFound, dogwoodengine.Refused{Detail: "unknown request"})
		engine.mutex.Unlock()
		return
	}
	engine.mutex.Unlock()
	last, found := strings.CutPrefix(request.Header.Get(dogwoodengine.HeaderLastEventID), id+"/")
	from, err := strconv.Atoi(cmp.Or(last, "-1"))
	if err != nil || (last != "" && !found) {
		writeJSON(writer, http.StatusBadRequest, dogwoodengine.Refused{Detail: "last event id of another request"})
		return
	}
	engine.stream(writer, request, known, from+1)
}

// stream writes events from an index on until the request ends or the reader disconnects. The
// request keeps running without a reader, so that its stream can be resumed.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, known *sequence, from int) {
	flusher := http.NewResponseController(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	engine.mutex.Lock()
	engine.writeHeaders(writer)
	engine.mutex.Unlock()
	progressTicker := time.NewTicker(progressInterval)
	defer progressTicker.Stop()
	for progress := true; ; {
		update := engine.updateSince(known, from)
		if update.lost {
			// The engine crashed: with this panic net/http aborts the connection.
			panic(http.ErrAbortHandler)
		}
		from += len(update.chunks)
		writeUpdate(writer, known, update, from, progress)
		if flusher.Flush() != nil || update.ended {
			return
		}
		progress = false
		select {
		case <-update.changed:
		case <-progressTicker.C:
			progress = true
		case <-request.Context().Done():
			return
		}
	}
}

// streamUpdate is the part of a stream that a reader has not received yet.
type streamUpdate struct {
	lost      bool
	ended     bool
	chunks    []string
	failure   string
	prefilled int
	changed   <-chan struct{}
}

func (engine *Engine) updateSince(known *sequence, from int) streamUpdate {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return streamUpdate{
		lost:      engine.find(known.id) != known,
		ended:     known.ended(),
		chunks:    known.chunks[min(from, len(known.chunks)):],
		failure:   known.failure,
		prefilled: int(known.prefilled),
		changed:   known.changed,
	}
}

// writeUpdate writes the events before the index end. The caller's flush reports failed writes.
func writeUpdate(writer io.Writer, known *sequence, update streamUpdate, end int, progress bool) {
	if progress {
		_, _ = fmt.Fprintf(writer, "event: %s\ndata: {\"PrefilledTokens\":%d,\"PromptTokens\":%d}\n\n", dogwoodengine.EventTypeProgress, update.prefilled, known.promptTokens)
	}
	first := end - len(update.chunks)
	for offset, chunk := range update.chunks {
		_, _ = fmt.Fprintf(writer, "id: %s/%d\ndata: %s\n\n", known.id, first+offset, chunk)
	}
	if update.failure != "" {
		_, _ = fmt.Fprintf(writer, "event: %s\ndata: {\"error\":{\"code\":%q,\"message\":%q}}\n\n", dogwoodengine.EventTypeError, update.failure, update.failure)
	}
}
