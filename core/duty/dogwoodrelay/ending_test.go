package dogwoodrelay

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"dogwoodmux.example/core/decision/dogwoodroute"
)

// marked marks the end of a step's answer.
func marked(then step) step {
	return func(ctx context.Context) (*Response, error) {
		response, err := then(ctx)
		if err == nil {
			response.EndMarked = true
		}
		return response, err
	}
}

// Guards against an answer that its endpoint has given whole and that is refused or cut because its last bytes don't end an event.
func TestWholeAnswersAreDeliveredWhateverTheirEnd(t *testing.T) {
	const (
		text  = "text/plain; charset=utf-8"
		lines = "application/jsonl"
		open  = "id: 1\ndata: x\n\nid: 2\ndata: y\n"
	)
	tests := []struct {
		name        string
		contentType string
		body        string
		marked      bool
	}{
		{"text", text, "One.\n\nTwo.", true},
		{"text that ends with its connection", text, "One.\n\nTwo.", false},
		{"lines", lines, "{}\n{}\n", true},
		{"lines that end with their connection", lines, "{}\n{}\n", false},
		{"one line without an end", lines, "{}", true},
		{"an empty text", text, "", true},
		{"events without the last empty line", eventStream, open, true},
		{"events with other line ends", eventStream, "data: x\r\rdata: y\r\r", true},
		{"no content type", "", open, true},
	}
	for _, repeat := range []dogwoodroute.Repeat{dogwoodroute.Stream, dogwoodroute.Idempotent, dogwoodroute.Once} {
		for _, test := range tests {
			t.Run(string(repeat)+"/"+test.name, func(t *testing.T) {
				answer := typed(test.contentType, responds(http.StatusOK, test.body))
				if test.marked {
					answer = marked(answer)
				}
				runRelayTest(t, testEngine, []step{answer}, func(t *testing.T, fixture *fixture) {
					err := fixture.relay.Serve(t.Context(), promptOn(repeat)(), fixture.answer)
					if got := fixture.answer.body.String(); err != nil || got != test.body || fixture.answer.status != http.StatusOK {
						t.Errorf("got %d, %q and %v, want %q", fixture.answer.status, got, err, test.body)
					}
					if got := len(fixture.endpoints.sends); got != 1 {
						t.Errorf("got %d sends, want 1", got)
					}
				})
			})
		}
	}
}

// Guards against a text on a route for streams that breaks off before its first byte and is not asked for again.
func TestStreamedTextIsAskedForAgainUntilItBegins(t *testing.T) {
	script := []step{typed("text/plain", breaksOff("")), typed("text/plain", responds(http.StatusOK, paragraphs))}
	runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
		err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer)
		if got := fixture.answer.body.String(); err != nil || got != paragraphs {
			t.Errorf("got %q and %v, want %q", got, err, paragraphs)
		}
	})
}

// Guards against half an event that is passed on as the end of a stream whose connection was closed, on routes of each kind.
func TestUnmarkedEndInsideAnEventIsBrokenOff(t *testing.T) {
	const open = "id: 1\ndata: x\n\nid: 2\ndata: y\n"
	for _, repeat := range []dogwoodroute.Repeat{dogwoodroute.Stream, dogwoodroute.Idempotent, dogwoodroute.Once} {
		t.Run(string(repeat), func(t *testing.T) {
			runRelayTest(t, testEngine, []step{typed(eventStream, responds(http.StatusOK, open))}, func(t *testing.T, fixture *fixture) {
				err := fixture.relay.Serve(t.Context(), promptOn(repeat)(), fixture.answer)
				var failure *Failure
				if !errors.Is(err, ErrCut) && !errors.As(err, &failure) {
					t.Errorf("got %q and %v, want an answer that is cut or a failure", fixture.answer.body.String(), err)
				}
			})
		})
	}
}
