package dogwoodengine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// reconnectPause is the pause before the second and later tries to reach an engine.
	reconnectPause = 100 * time.Millisecond
	// reconnectSilences is for how many times the silence limit an engine may be out of
	// reach before it counts as dead. Two lost tries are not yet a dead engine.
	reconnectSilences = 3
	// cancelPause is the first pause between tries of a cancel; it doubles up to cancelMostPause.
	cancelPause     = 100 * time.Millisecond
	cancelMostPause = 2 * time.Second
	// cancelFor is how long a cancel is tried. An engine out of reach for longer drops the
	// request itself when its budget ends, and the owner's reconcile sweeps it.
	cancelFor = 30 * time.Second
)

// Event is one event of an engine's stream.
type Event struct {
	// Index counts the stream's events from 0.
	Index int
	// Data is one JSON chunk.
	Data []byte
}

// errSilent tells that a connection brought nothing for the silence limit.
var errSilent = Error.New("the connection fell silent")

// Stream is a request's answer as it comes. It is for one goroutine.
type Stream struct {
	client     *Client
	endpoint   dogwoodfleet.Endpoint
	order      Run
	gang       *heldGang
	connection *connection
	// instance is the engine process that took the request.
	instance dogwoodfleet.InstanceID
	// cold is what the engine said of itself when it took the request.
	cold bool
	// next is the index of the event to come.
	next int
	// ended is set once the engine needs no cancel any more.
	ended  bool
	closed bool
	// afterwards runs what outlives the caller's context.
	afterwards func(func(ctx context.Context))
}

// Instance returns the engine process that took the request; empty if it has not told.
func (stream *Stream) Instance() dogwoodfleet.InstanceID {
	return stream.instance
}

// Cold reports whether the engine said that it is cold when it took the request.
func (stream *Stream) Cold() bool {
	return stream.cold
}

// Next returns the stream's next event, or io.EOF after the last. It hides connections
// that break or fall silent as long as the engine lives: each event comes once, in order.
// The error is *Broken when the engine died, *Answered when it says that the request failed,
// or the context's.
func (stream *Stream) Next(ctx context.Context) (Event, error) {
	for {
		if stream.ended || stream.closed {
			return Event{}, io.EOF
		}
		read, err := stream.receive(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return Event{}, Error.Wrap(ctx.Err())
			}
			if err := stream.reconnect(ctx, err); err != nil {
				return Event{}, stream.broken(err)
			}
			continue
		}
		event, taken, err := stream.take(read)
		if err != nil {
			return Event{}, err
		}
		if taken {
			return event, nil
		}
	}
}

// receive waits for a frame from the connection of now.
func (stream *Stream) receive(ctx context.Context) (frame, error) {
	silence := time.NewTimer(stream.client.silence)
	defer silence.Stop()
	for {
		select {
		case read, open := <-stream.connection.frames.Values():
			if !open {
				return frame{}, stream.connection.failure
			}
			return read, nil
		case <-stream.connection.pulse:
			silence.Reset(stream.client.silence)
		case <-silence.C:
			return frame{}, errSilent
		case <-ctx.Done():
			return frame{}, Error.Wrap(ctx.Err())
		}
	}
}

// take judges a frame. What belongs to another request, or leaves a hole, never reaches
// the caller; what repeats is dropped.
func (stream *Stream) take(read frame) (event Event, taken bool, err error) {
	switch {
	case read.kind == EventProgress:
		return Event{}, false, nil
	case read.kind == EventError:
		stream.ended = true
		return Event{}, false, failedRun(stream, read.data)
	case read.id != string(stream.order.ID):
		// Failure guarded against: two streams crossed inside an engine or a middle box. It
		// would show as one caller's text in another's answer.
		return Event{}, false, stream.broken(Error.New("an event of request %q came", read.id))
	case read.index < stream.next:
		return Event{}, false, nil
	case read.index > stream.next:
		return Event{}, false, stream.broken(Error.New("event %d came in place of %d", read.index, stream.next))
	case read.data == doneData:
		stream.ended = true
		return Event{}, false, nil
	}
	stream.next++
	return Event{Index: read.index, Data: []byte(read.data)}, true, nil
}

// CodeGangLost is the code of an error event that tells of the loss of a gang's member.
const CodeGangLost = "gang_member_lost"

// failedRun makes the error of an engine's error event.
func failedRun(stream *Stream, data string) error {
	if code := errorCode(data); code == CodeGangLost {
		return &Broken{Endpoint: stream.endpoint.ID, Events: stream.next, Cause: Error.New("a gang's member was lost")}
	}
	return &Answered{Status: http.StatusInternalServerError, Body: []byte(data)}
}

func (stream *Stream) broken(cause error) error {
	return &Broken{Endpoint: stream.endpoint.ID, Events: stream.next, Cause: cause}
}

// reconnect asks the engine on a new connection to go on with the stream from the index
// of the event to come. An engine that answers is not silent, however long its prefill takes.
func (stream *Stream) reconnect(ctx context.Context, cause error) error {
	stream.disconnect()
	giveUp := time.Now().Add(reconnectSilences * stream.client.silence)
	path := PathStreams + "/" + string(stream.order.ID)
	for {
		connection, err := stream.client.open(ctx, stream, http.MethodGet, path, nil)
		if err == nil {
			stream.connection = connection
			return nil
		}
		var unknown *Unknown
		if errors.As(err, &unknown) {
			stream.ended = stream.instanceChanged(unknown.Instance)
			return unknown
		}
		// A refused connection means that no process listens: the one that had the request is
		// dead, and its successor would not know it.
		if errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || !time.Now().Before(giveUp) {
			return Error.New("%v, then %w", cause, err)
		}
		if err := pause(ctx, reconnectPause); err != nil {
			return err
		}
	}
}

func (stream *Stream) instanceChanged(now dogwoodfleet.InstanceID) bool {
	return stream.instance != "" && now != "" && now != stream.instance
}

func (stream *Stream) disconnect() {
	if stream.connection != nil {
		stream.connection.close()
		stream.connection = nil
	}
}

// Close ends the stream. If the engine has not finished the request, it is cancelled there,
// in the background and again until the engine confirms it.
func (stream *Stream) Close() {
	if stream.closed {
		return
	}
	stream.closed = true
	stream.disconnect()
	if !stream.ended {
		stream.afterwards(func(ctx context.Context) {
			stream.client.cancelUntilConfirmed(ctx, stream.endpoint, stream.order.ID)
		})
	}
	stream.gang.release(stream.afterwards)
}

// cancelUntilConfirmed tries a cancel again until the engine answers. A cancel that is lost
// would leave the request holding KV memory until its budget ends.
func (client *Client) cancelUntilConfirmed(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) {
	wait := cancelPause
	for {
		cancelled, err := client.cancelOnce(ctx, endpoint, id)
		if err == nil {
			client.logger.Debug("cancelled", "endpoint", endpoint.ID, "request", id, "instance", cancelled.Instance)
			return
		}
		if pause(ctx, wait) != nil && client.lifetime.Err() != nil {
			// The daemon ends. Its streams are found by their owners in the engine's list.
			client.logger.Debug("cancel given up at the end", "endpoint", endpoint.ID, "request", id, "error", err)
			return
		}
		if ctx.Err() != nil {
			client.logger.Warn("cancel not confirmed", "endpoint", endpoint.ID, "request", id, "error", err)
			return
		}
		wait = min(2*wait, cancelMostPause)
	}
}

// afterwards returns a function that runs work in the background, for at most cancelFor, with
// what the context carries but not its end.
func (client *Client) afterwards(ctx context.Context) func(func(ctx context.Context)) {
	ctx = context.WithoutCancel(ctx)
	return func(work func(ctx context.Context)) {
		client.inBackground(func() {
			ctx, cancel := context.WithTimeout(ctx, cancelFor)
			defer cancel()
			stop := context.AfterFunc(client.lifetime, cancel) //nolint:contextcheck,nolintlint // both contexts end the work
			defer stop()
			work(ctx)
		})
	}
}

// pause waits, but not beyond the context.
func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
