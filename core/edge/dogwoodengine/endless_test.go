package dogwoodengine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Guards against an engine's answer without end that is read into memory until the call's time limit.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const most = 2 * maxAnswerBytes
	part := strings.Repeat(" ", 1<<20)
	endpoint := dogwoodfleet.Endpoint{ID: "engine", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	calls := []struct {
		name string
		call func(ctx context.Context, client *Client) error
	}{
		{"load", func(ctx context.Context, client *Client) error {
			_, err := client.Load(ctx, endpoint)
			return err
		}},
		{"list", func(ctx context.Context, client *Client) error {
			_, err := client.State(ctx, endpoint)
			return err
		}},
		{"cache events", func(ctx context.Context, client *Client) error {
			_, _, err := client.CacheEvents(ctx, endpoint, 0)
			return err
		}},
		{"order", func(ctx context.Context, client *Client) error { return client.Order(ctx, endpoint, Order{}) }},
		{"cancel", func(ctx context.Context, client *Client) error { return client.Cancel(ctx, endpoint, "r1") }},
	}
	for _, call := range calls {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Odd: "} {
			t.Run(call.name+"/"+strings.Fields(head)[1], func(t *testing.T) {
				var sent atomic.Int64
				var group sync.WaitGroup
				defer group.Wait()
				client := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					group.Go(func() {
						defer func() { _ = far.Close() }() // the client has closed its end
						request, err := http.ReadRequest(bufio.NewReader(far))
						if err != nil {
							return
						}
						if _, err := io.Copy(io.Discard, request.Body); err != nil {
							return
						}
						for next := head; err == nil && sent.Load() < most; next = part {
							var count int
							count, err = io.WriteString(far, next)
							sent.Add(int64(count))
						}
					})
					return near, nil
				}})
				defer client.Close(t.Context())
				if err := call.call(t.Context(), client); err == nil {
					t.Error("got an answer, want an error")
				}
				if got := sent.Load(); got > maxAnswerBytes+maxHeadBytes+1<<20 {
					t.Errorf("got %d bytes read, want at most %d of the body", got, maxAnswerBytes)
				}
			})
		}
	}
}
