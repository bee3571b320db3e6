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
	// reconnectInterval is the wait before the second and each later connection to an engine.
	reconnectInterval = 100 * time.Millisecond
	// reconnectTimeoutFactor is the number of silence limits for which an engine may be
	// unreachable before it is considered dead. Two lost connections do not make it dead.
	reconnectTimeoutFactor = 3
	// cancelMinBackoff is the wait before the first retry of a cancel; it doubles up to
	// cancelMaxBackoff.
	cancelMinBackoff = 100 * time.Millisecond
	cancelMaxBackoff = 2 * time.Second
	// cancelTimeout bounds the retries of a cancel. An engine that is unreachable for longer drops
	// the request when its budget ends, and the owner's reconciliation cancels what is left.
	cancelTimeout = 30 * time.Second
)

// Event is one event of an engine's stream.
type Event struct {
	// Index counts the stream's events from 0.
	Index int
	// Data is one JSON chunk.
	Data []byte
}

// errSilent means that a connection delivered no bytes for the silence limit.
var errSilent = Error.New("the connection fell silent")

// Stream is the event stream of one request. It must be used by one goroutine only.
type Stream struct {
	client     *Client
	endpoint   dogwoodfleet.Endpoint
	run        Run
	gang       *gangReservation
	connection *connection
	// instance is the engine process that accepted the request.
	instance dogwoodfleet.InstanceID
	// cold is whether the engine reported itself cold when it accepted the request.
	cold bool
	// nextIndex is the index of the next event to return.
	nextIndex int
	// ended is true once the request needs no cancel at the engine.
	ended  bool
	closed bool
	// runInBackground runs work that outlives the caller's context.
	runInBackground func(func(ctx context.Context))
}

// Instance returns the engine process that accepted the request, or "" if it is not known.
func (stream *Stream) Instance() dogwoodfleet.InstanceID {
	return stream.instance
}

// Cold reports whether the engine was cold when it accepted the request.
func (stream *Stream) Cold() bool {
	return stream.cold
}

// Next returns the stream's next event, or io.EOF after the last. If the connection breaks or
// falls silent, it reconnects and resumes the stream: each event is returned once, in order. The
// error is *Broken if the engine died, *Answered if it reported that the request failed, or the
// context's error.
func (stream *Stream) Next(ctx context.Context) (Event, error) {
	for {
		if stream.ended || stream.closed {
			return Event{}, io.EOF
		}
		received, err := stream.receive(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return Event{}, Error.Wrap(ctx.Err())
			}
			if err := stream.reconnect(ctx, err); err != nil {
				return Event{}, stream.brokenError(err)
			}
			continue
		}
		event, accepted, err := stream.accept(received)
		if err != nil {
			return Event{}, err
		}
		if accepted {
			return event, nil
		}
	}
}

// receive waits for a frame from the current connection.
func (stream *Stream) receive(ctx context.Context) (frame, error) {
	silence := time.NewTimer(stream.client.silenceTimeout)
	defer silence.Stop()
	for {
		select {
		case received, open := <-stream.connection.frames.Values():
			if !open {
				return frame{}, stream.connection.failure
			}
			return received, nil
		case <-stream.connection.activity:
			silence.Reset(stream.client.silenceTimeout)
		case <-silence.C:
			return frame{}, errSilent
		case <-ctx.Done():
			return frame{}, Error.Wrap(ctx.Err())
		}
	}
}

// accept returns the event of a frame if it is the next one. It drops progress and repeated
// events, and fails on an event of another request or after a gap, which must not reach the
// caller.
func (stream *Stream) accept(received frame) (event Event, accepted bool, err error) {
	switch {
	case received.kind == EventTypeProgress:
		return Event{}, false, nil
	case received.kind == EventTypeError:
		stream.ended = true
		return Event{}, false, errorFromEvent(stream, received.data)
	case received.id != string(stream.run.ID):
		// An engine or a proxy mixed up two streams. Returning the event would put one caller's
		// text into another caller's answer.
		return Event{}, false, stream.brokenError(Error.New("an event of request %q came", received.id))
	case received.index < stream.nextIndex:
		return Event{}, false, nil
	case received.index > stream.nextIndex:
		return Event{}, false, stream.brokenError(Error.New("event %d came in place of %d", received.index, stream.nextIndex))
	case received.data == doneData:
		stream.ended = true
		return Event{}, false, nil
	}
	stream.nextIndex++
	return Event{Index: received.index, Data: []byte(received.data)}, true, nil
}

// CodeGangMemberLost is the code of the error event that reports that a gang lost a member.
const CodeGangMemberLost = "gang_member_lost"

// errorFromEvent returns the error for the data of an engine's error event.
func errorFromEvent(stream *Stream, data string) error {
	if code := errorCode(data); code == CodeGangMemberLost {
		return &Broken{Endpoint: stream.endpoint.ID, Events: stream.nextIndex, Cause: Error.New("a gang's member was lost")}
	}
	return &Answered{Status: http.StatusInternalServerError, Body: []byte(data)}
}

func (stream *Stream) brokenError(cause error) error {
	return &Broken{Endpoint: stream.endpoint.ID, Events: stream.nextIndex, Cause: cause}
}

// reconnect opens a new connection and resumes the stream at the next event. An engine that
// responds is not considered silent, however long its prefill takes. The error is *Unknown if the
// engine has no record of the request.
func (stream *Stream) reconnect(ctx context.Context, cause error) error {
	stream.disconnect()
	deadline := time.Now().Add(reconnectTimeoutFactor * stream.client.silenceTimeout)
	path := PathStreams + "/" + string(stream.run.ID)
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
		// A refused connection means that no process listens there: the one that ran the request
		// is dead, and a new one would have no record of the request.
		if errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return Error.New("%v, then %w", cause, err)
		}
		if err := sleep(ctx, reconnectInterval); err != nil {
			return err
		}
	}
}

// instanceChanged reports whether current is another engine process than the one that accepted
// the request.
func (stream *Stream) instanceChanged(current dogwoodfleet.InstanceID) bool {
	return stream.instance != "" && current != "" && current != stream.instance
}

func (stream *Stream) disconnect() {
	if stream.connection != nil {
		stream.connection.close()
		stream.connection = nil
	}
}

// Close closes the stream. If the engine has not finished the request, Close cancels it in the
// background and retries until the engine confirms the cancel.
func (stream *Stream) Close() {
	if stream.closed {
		return
	}
	stream.closed = true
	stream.disconnect()
	if !stream.ended {
		stream.runInBackground(func(ctx context.Context) {
			stream.client.cancelUntilConfirmed(ctx, stream.endpoint, stream.run.ID)
		})
	}
	stream.gang.release(stream.runInBackground)
}

// cancelUntilConfirmed retries a cancel until the engine confirms it. If a cancel were lost, the
// request would hold KV memory until its budget ends.
func (client *Client) cancelUntilConfirmed(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) {
	backoff := cancelMinBackoff
	for {
		cancelled, err := client.cancelOnce(ctx, endpoint, id)
		if err == nil {
			client.logger.Debug("cancelled", "endpoint", endpoint.ID, "request", id, "instance", cancelled.Instance)
			return
		}
		if sleep(ctx, backoff) != nil && client.lifetime.Err() != nil {
			// The daemon stops. The owner finds the stream in the engine's list.
			client.logger.Debug("client closed before the cancel was confirmed", "endpoint", endpoint.ID, "request", id, "error", err)
			return
		}
		if ctx.Err() != nil {
			client.logger.Warn("cancel not confirmed", "endpoint", endpoint.ID, "request", id, "error", err)
			return
		}
		backoff = min(2*backoff, cancelMaxBackoff)
	}
}

// backgroundRunner returns a function that runs work in the background for at most
// cancelTimeout. The work's context has the values of ctx but does not end with it.
func (client *Client) backgroundRunner(ctx context.Context) func(func(ctx context.Context)) {
	ctx = context.WithoutCancel(ctx)
	return func(work func(ctx context.Context)) {
		client.startBackground(func() {
			ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			defer cancel()
			stop := context.AfterFunc(client.lifetime, cancel) //nolint:contextcheck,nolintlint // the end of either context ends the work
			defer stop()
			work(ctx)
		})
	}
}

// sleep waits for a duration. It returns an error if the context ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
