package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
)

// paragraphs is a text of which no line is an event, and halfParagraphs how it begins.
const (
	halfParagraphs = "One.\n\nTwo.\n\n"
	paragraphs     = halfParagraphs + "Three.\n\nFour.\n\n"
)

// promptOn returns a function that makes a request with token counts on a route of a kind.
func promptOn(repeat dogwoodroute.Repeat) func() *Request {
	return func() *Request {
		request := streamRequest()
		request.Route.Repeat = repeat
		return request
	}
}

// typed sets the content type of a step's answer.
func typed(contentType string, then step) step {
	return func(ctx context.Context) (*Response, error) {
		response, err := then(ctx)
		if err == nil {
			response.Header = http.Header{}
			if contentType != "" {
				response.Header.Set("Content-Type", contentType)
			}
		}
		return response, err
	}
}

// Guards against an answer to a prompt that is forwarded in parts because the request has token counts, and then joined to the
// answer of another run, on a route whose answers are not streamed.
func TestAnswersThatAreNotStreamedAreNotJoined(t *testing.T) {
	const text = "text/plain; charset=utf-8"
	withLength := func(then step) step {
		return func(ctx context.Context) (*Response, error) {
			response, err := then(ctx)
			response.Header.Set("Content-Length", "26")
			return response, err
		}
	}
	events := strings.Repeat("data: x\n\n", 3)
	tests := []struct {
		name   string
		repeat dogwoodroute.Repeat
		first  step
		second step
		// want is the answer; empty for a failure.
		want string
	}{
		{"breaks off", dogwoodroute.Idempotent, typed(text, breaksOff(halfParagraphs)), typed(text, responds(200, paragraphs)), paragraphs},
		{"breaks off, with a length", dogwoodroute.Idempotent, withLength(typed(text, breaksOff(halfParagraphs))), typed(text, responds(200, paragraphs)), paragraphs},
		{"falls silent", dogwoodroute.Idempotent, typed(text, fallsSilent(halfParagraphs)), typed(text, responds(200, paragraphs)), paragraphs},
		{"events without IDs break off", dogwoodroute.Idempotent, typed(eventStream, breaksOff("data: x\n\n")), typed(eventStream, responds(200, events)), events},
		{"may run once", dogwoodroute.Once, typed(text, breaksOff(halfParagraphs)), typed(text, responds(200, paragraphs)), ""},
		{"a failure breaks off", dogwoodroute.Idempotent, typed(text, failsInPart("half")), typed(text, responds(200, paragraphs)), paragraphs},
		{"no empty line at its end", dogwoodroute.Idempotent, typed(text, responds(200, halfParagraphs+"Three.")), nil, halfParagraphs + "Three."},
		{"lines", dogwoodroute.Idempotent, typed("application/jsonl", responds(200, "{}\n{}\n")), nil, "{}\n{}\n"},
		{"no empty line at its end, may run once", dogwoodroute.Once, typed(text, responds(200, "One.")), nil, "One."},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script := []step{test.first}
			if test.second != nil {
				script = append(script, test.second)
			}
			runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
				err := fixture.relay.Serve(t.Context(), promptOn(test.repeat)(), fixture.answer)
				if got := fixture.answer.body.String(); got != test.want || (err == nil) != (test.want != "") {
					t.Errorf("got %q and %v, want %q", got, err, test.want)
				}
				if got, want := len(fixture.endpoints.sends), len(script); test.want != "" && got != want {
					t.Errorf("got %d sends, want %d", got, want)
				}
			})
		})
	}
}

// failsInPart answers 500 with a body that breaks off.
func failsInPart(body string) step {
	return func(context.Context) (*Response, error) {
		return &Response{
			Status: http.StatusInternalServerError, Header: http.Header{}, Genuine: true,
			Body: brokenBody{Reader: strings.NewReader(body), err: io.ErrUnexpectedEOF},
		}, nil
	}
}

// Guards against a second run of a prompt whose answer arrives slowly and is held until it is whole.
func TestHeldAnswerThatArrivesIsNotSilent(t *testing.T) {
	slow := func(ctx context.Context) (*Response, error) {
		response, err := typed("text/plain", responds(200, ""))(ctx)
		response.Body = &slowBody{parts: 30}
		return response, err
	}
	runRelayTest(t, testEngine, []step{slow, responds(200, paragraphs)}, func(t *testing.T, fixture *fixture) {
		err := fixture.relay.Serve(t.Context(), promptOn(dogwoodroute.Idempotent)(), fixture.answer)
		if got, want := fixture.answer.body.Len(), 30; err != nil || got != want {
			t.Errorf("got %d bytes and %v, want %d", got, err, want)
		}
		if got := len(fixture.endpoints.sends); got != 1 {
			t.Errorf("got %d sends, want 1", got)
		}
	})
}

var errReadAfterClose = errors.New("read after close")

// slowBody is a body that has a byte every 200 ms.
type slowBody struct {
	parts  int
	closed bool
}

func (body *slowBody) Read(target []byte) (int, error) {
	switch {
	case body.closed:
		return 0, errReadAfterClose
	case body.parts == 0:
		return 0, io.EOF
	}
	time.Sleep(200 * time.Millisecond)
	body.parts--
	target[0] = 'x'
	return 1, nil
}

func (body *slowBody) Close() error {
	body.closed = true
	return nil
}

// Guards against a stream without IDs, or with only some, that is continued by another run, which may repeat what was sent.
func TestStreamsAreContinuedByIDsOnly(t *testing.T) {
	const (
		text     = "text/plain; charset=utf-8"
		numbered = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		last     = "id: 3\ndata: c\n\n"
		without  = "data: a\n\ndata: b\n\n"
		comment  = ": keep-alive\n\n"
	)
	tests := []struct {
		name          string
		first, second step
		// want is what the caller gets. The answer is cut unless it is whole.
		want  string
		whole bool
		sends int
	}{
		{"IDs", typed(eventStream, breaksOff(numbered)), typed(eventStream, responds(200, last)), numbered + last, true, 2},
		{"IDs, the answer before again", typed(eventStream, breaksOff(numbered)), typed(eventStream, responds(200, numbered+last)), numbered + last, true, 2},
		{"no IDs", typed(eventStream, breaksOff(without)), typed(eventStream, responds(200, without+without)), without, false, 1},
		{"no IDs, silent", typed(eventStream, fallsSilent(without)), typed(eventStream, responds(200, without+without)), without, false, 1},
		{"the last event has no ID", typed(eventStream, breaksOff(numbered+"data: c\n\n")), typed(eventStream, responds(200, last)), numbered + "data: c\n\n", false, 1},
		{"the last event has no ID, silent", typed(eventStream, fallsSilent(numbered+"data: c\n\n")), typed(eventStream, responds(200, last)), numbered + "data: c\n\n", false, 1},
		{"a comment after an ID", typed(eventStream, breaksOff(numbered+comment)), typed(eventStream, responds(200, comment+last)), numbered + comment + last, true, 2},
		{"a comment before a break", typed(eventStream, breaksOff(comment)), typed(eventStream, responds(200, without)), comment + without, true, 2},
		{"the second run has no IDs", typed(eventStream, breaksOff(numbered)), typed(eventStream, responds(200, without+"data: c\n\n")), numbered, false, 2},
		{"the second run has no IDs, silent", typed(eventStream, fallsSilent(numbered)), typed(eventStream, responds(200, without+"data: c\n\n")), numbered, false, 2},
		{"the second run's first event has no ID", typed(eventStream, breaksOff(numbered)), typed(eventStream, responds(200, "data: b\n\n"+last)), numbered, false, 2},
		{"the second run is a text", typed(eventStream, breaksOff(numbered)), typed(text, responds(200, last)), numbered, false, 2},
		{"the second run is an empty text", typed(eventStream, breaksOff(numbered)), typed(text, responds(200, "")), numbered, false, 2},
		{"the second run is a text, silent", typed(eventStream, fallsSilent(numbered)), typed(text, responds(200, last)), numbered, false, 2},
		{"the second run fails in part", typed(eventStream, breaksOff(numbered)), failsInPart(last), numbered, false, 2},
		{"text", typed(text, breaksOff(halfParagraphs)), typed(text, responds(200, paragraphs)), halfParagraphs, false, 1},
		{"text, silent", typed(text, fallsSilent(halfParagraphs)), typed(text, responds(200, paragraphs)), halfParagraphs, false, 1},
		{"text, the second run has events", typed(text, breaksOff(halfParagraphs)), typed(eventStream, responds(200, numbered)), halfParagraphs, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{test.first, test.second}, func(t *testing.T, fixture *fixture) {
				err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer)
				if got := fixture.answer.body.String(); got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
				if test.whole && err != nil || !test.whole && !errors.Is(err, ErrCut) {
					t.Errorf("got %v, want a whole answer %t", err, test.whole)
				}
				if got := len(fixture.endpoints.sends); got != test.sends {
					t.Errorf("got %d sends, want %d", got, test.sends)
				}
			})
		})
	}
}
