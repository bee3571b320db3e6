package dogwoodrelay

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// ends is an answer whose end is that of its connection, as an event stream or not.
func ends(contentType, body string) step {
	return func(ctx context.Context) (*Response, error) {
		response, err := responds(http.StatusOK, body)(ctx)
		if contentType != "" {
			response.Header.Set("Content-Type", contentType)
		}
		return response, err
	}
}

// Guards against half an event that is passed on as the end of a whole stream: an endpoint that ends closes its connections, and
// an answer without a length ends with its connection.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const whole, half = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "id: 1\ndata: x\n\nid: 2\ndata: "
	large := strings.Repeat("data: z\n\n", maxHeldBytes/8)
	stream := func(prompt int) func() *Request {
		return func() *Request {
			request := streamRequest()
			request.Prompt = prompt
			return request
		}
	}
	plain := func(repeat dogwoodroute.Repeat) func() *Request {
		return func() *Request { return plainRequest(repeat) }
	}
	tests := []struct {
		name        string
		request     func() *Request
		contentType string
		first       string
		// want is the answer that the caller gets from the endpoint and, after its end, from another one; empty if it is told of
		// a failure.
		want string
	}{
		{"a whole stream", stream(100), eventStream, whole, whole},
		{"a stream with token counts", stream(100), eventStream, half, whole},
		{"a stream without token counts", stream(0), eventStream, half, whole},
		{"a stream without token counts, cut before its first event ends", stream(0), eventStream, "id: 1\nda", whole},
		{"a stream without a content type", stream(0), "", half, whole},
		{"a stream on a route for plain answers", plain(dogwoodroute.Idempotent), eventStream + "; charset=utf-8", half, whole},
		{"a stream on such a route that may run once", plain(dogwoodroute.Once), eventStream, half, ""},
		{"a whole stream on a route for plain answers", plain(dogwoodroute.Once), eventStream, whole, whole},
		{"a whole stream with other line ends", plain(dogwoodroute.Once), eventStream, "data: x\r\n\r\n", "data: x\r\n\r\n"},
		{"a large stream", plain(dogwoodroute.Once), eventStream, large + whole, large + whole},
		{"a large stream that breaks off", plain(dogwoodroute.Once), eventStream, large + half, ""},
		{"a plain answer", plain(dogwoodroute.Once), "", half, half},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			second := ends(test.contentType, whole)
			runRelayTest(t, nil, []step{ends(test.contentType, test.first), second}, func(t *testing.T, fixture *fixture) {
				err := fixture.relay.Serve(t.Context(), test.request(), fixture.answer)
				if test.want == "" {
					var failure *Failure
					isFailure := errors.As(err, &failure) && failure.Run != dogwoodfleet.NotRun
					if !isFailure && (err == nil || fixture.answer.status == 0) {
						t.Errorf("got %v, want a failure that may have run or an answer that is cut", err)
					}
					return
				}
				if got := fixture.answer.body.String(); err != nil || got != test.want {
					t.Errorf("got %q and %v, want %q", got, err, test.want)
				}
			})
		})
	}
}
