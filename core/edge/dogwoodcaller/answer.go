package dogwoodcaller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

// serveStream answers with server-sent events. The last one is "[DONE]", or an "error" event
// with the problem if the stream failed after its start.
func (edge *Edge) serveStream(ctx context.Context, exchange *exchange, call *dogwooddispatch.Call) error {
	answer := &streamAnswer{exchange: exchange}
	err := edge.options.Dispatcher.Prompt(ctx, call, answer)
	if err == nil {
		answer.begin()
		_ = answer.writeEvent("data: ", []byte("[DONE]")) // the caller may have disconnected
		return nil
	}
	if answer.Begun() {
		encoded, marshalErr := json.Marshal(exchange.problem(edge.explainEnd(exchange, asFailure(err))))
		if marshalErr != nil {
			return Error.Wrap(marshalErr)
		}
		_ = answer.writeEvent("event: error\ndata: ", encoded)
	}
	return err
}

// bufferedAnswer collects events until the answer is complete.
type bufferedAnswer struct {
	exchange *exchange
	events   []dogwoodengine.Event
}

// Event appends an event.
func (answer *bufferedAnswer) Event(event dogwooddispatch.Event) error {
	if len(answer.events) == 0 {
		answer.exchange.firstToken = time.Since(answer.exchange.arrived)
	}
	answer.events = append(answer.events, dogwoodengine.Event{Index: event.Index, Data: event.Data})
	return nil
}

// Begun returns false, because nothing is sent before the answer is complete.
func (answer *bufferedAnswer) Begun() bool { return false }

// Restart drops the events of a try that ended before its answer was complete.
func (answer *bufferedAnswer) Restart() { answer.events = nil }

// serveJSON answers with one JSON object.
func (edge *Edge) serveJSON(ctx context.Context, exchange *exchange, call *dogwooddispatch.Call) error {
	answer := &bufferedAnswer{exchange: exchange}
	if err := edge.options.Dispatcher.Prompt(ctx, call, answer); err != nil {
		return err
	}
	assembled, err := dogwoodengine.Assemble(call.Target, answer.events)
	if err != nil {
		return Error.Wrap(err)
	}
	exchange.status = http.StatusOK
	exchange.setWriteDeadline()
	exchange.writer.Header().Set("Content-Type", "application/json")
	_, _ = exchange.writer.Write(assembled) // the caller may have disconnected
	return nil
}
