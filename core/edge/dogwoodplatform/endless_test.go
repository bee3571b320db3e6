package dogwoodplatform

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

	"dogwoodmux.example/core/state/dogwoodtable"
)

// dialFunc opens connections.
type dialFunc func() (net.Conn, error)

func (dial dialFunc) DialContext(context.Context, string, string) (net.Conn, error) { return dial() }

// Guards against an answer of the platform without end that is read into memory until the call's time limit.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const most = 2 * maxAnswerBytes
	part := strings.Repeat(" ", 1<<20)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	calls := []struct {
		name string
		call func(ctx context.Context, client *Client) error
	}{
		{"row", func(ctx context.Context, client *Client) error {
			_, _, err := client.Read(ctx, "table", "key")
			return err
		}},
		{"object", func(ctx context.Context, client *Client) error {
			_, _, err := client.GetObject(ctx, "name")
			return err
		}},
		{"VMs", func(ctx context.Context, client *Client) error {
			_, err := client.VMs(ctx)
			return err
		}},
		{"write", func(ctx context.Context, client *Client) error {
			_, err := client.Commit(ctx, dogwoodtable.Write{Key: "a"})
			return err
		}},
	}
	for _, call := range calls {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Odd: "} {
			t.Run(call.name+"/"+strings.Fields(head)[1], func(t *testing.T) {
				var sent atomic.Int64
				var group sync.WaitGroup
				defer group.Wait()
				dialer := dialFunc(func() (net.Conn, error) {
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
				})
				client := New(Options{Tables: address, Objects: address, VMs: address, Weights: address, Dialer: dialer})
				defer client.Close()
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
