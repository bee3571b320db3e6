package dogwoodplatform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodtable"
)

// cutDialer opens connections on which each call is answered with the same bytes, after which they are closed.
type cutDialer struct {
	answer string
	group  sync.WaitGroup
}

func (dialer *cutDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	dialer.group.Go(func() {
		defer func() { _ = far.Close() }() // the answer is cut
		request, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			_, _ = io.WriteString(far, dialer.answer) // the client may have closed it
		}
	})
	return near, nil
}

// frame is how the end of an answer is marked.
type frame struct {
	name, header string
	encode       func(body string) string
}

func frames() []frame {
	plain := func(body string) string { return body }
	return []frame{
		{"length", "Content-Length: %d\r\n", plain},
		{"chunks", "Transfer-Encoding: chunked\r\n", func(body string) string {
			return fmt.Sprintf("%x\r\n%s\r\n3\r\n%s\r\n0\r\n\r\n", len(body)-3, body[:len(body)-3], body[len(body)-3:])
		}},
		{"connection", "", plain},
	}
}

// Guards against a row, an object or a list that breaks off on its way and is taken for a shorter one.
func TestAnswerThatBreaksOffIsNotRead(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	reads := []struct {
		name, body string
		read       func(ctx context.Context, client *Client) (got int, err error)
		want       int
	}{
		{"row", "the value of a row", func(ctx context.Context, client *Client) (int, error) {
			row, _, err := client.Read(ctx, "table", "key")
			return len(row.Value), err
		}, len("the value of a row")},
		{"rows", `{"Rows":[{"Key":"a","Version":1},{"Key":"b","Version":2}]}`, func(ctx context.Context, client *Client) (int, error) {
			rows, err := client.List(ctx, dogwoodtable.Range{Table: "table", Limit: 10})
			return len(rows), err
		}, 2},
		{"object", "the bytes of an object", func(ctx context.Context, client *Client) (int, error) {
			object, _, err := client.GetObject(ctx, "name")
			return len(object), err
		}, len("the bytes of an object")},
		{"VMs", `{"VMs":[{},{},{}]}`, func(ctx context.Context, client *Client) (int, error) {
			vms, err := client.VMs(ctx)
			return len(vms), err
		}, 3},
		{"weights", `{"Bytes":1234}`, func(ctx context.Context, client *Client) (int, error) {
			weights, err := client.Weights(ctx, dogwoodfleet.Model("m"), "1")
			return int(weights.Bytes), err
		}, 1234},
		{"transaction", `{"Versions":[1234,5678]}`, func(ctx context.Context, client *Client) (int, error) {
			versions, err := client.Commit(ctx, dogwoodtable.Write{Key: "a"}, dogwoodtable.Write{Key: "b"})
			return len(versions), err
		}, 2},
	}
	for _, read := range reads {
		for _, frame := range frames() {
			t.Run(read.name+"/"+frame.name, func(t *testing.T) {
				header := frame.header
				if frame.name == "length" {
					header = fmt.Sprintf(frame.header, len(read.body))
				}
				answer := "HTTP/1.1 200 OK\r\nETag: \"1234\"\r\n" + header + "\r\n" + frame.encode(read.body)
				for bytes := range len(answer) + 1 {
					synctest.Test(t, func(t *testing.T) {
						dialer := &cutDialer{answer: answer[:bytes]}
						client := New(Options{Tables: address, Objects: address, VMs: address, Weights: address, Dialer: dialer})
						got, err := read.read(t.Context(), client)
						client.Close()
						dialer.group.Wait()
						if err == nil && got != read.want || bytes == len(answer) && header != "" && err != nil {
							t.Errorf("after %q: got %d and %v, want %d", answer[:bytes], got, err, read.want)
						}
					})
				}
			})
		}
	}
}

// Guards against a row, or a write, whose answer is one that HTTP does not allow and that counts as given.
func TestMalformedAnswerIsNotRead(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	tests := []struct{ name, status, line string }{
		{"a blank in a name", "200 OK", "X Broken: 1\r\n"},
		{"a blank after the length", "200 OK", "Content-Length : 2\r\n"},
		{"a blank before a name", "200 OK", " X-Broken: 1\r\n"},
		{"status 000", "000 Odd", ""},
		{"status 099", "099 Odd", ""},
		{"status 101", "101 Switching Protocols", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dialer := &cutDialer{answer: "HTTP/1.1 " + test.status + "\r\nETag: \"1234\"\r\n" + test.line + "Content-Length: 4\r\n\r\nbody"}
			client := New(Options{Tables: address, Objects: address, VMs: address, Weights: address, Dialer: dialer})
			defer dialer.group.Wait()
			defer client.Close()
			if row, _, err := client.Read(t.Context(), "table", "key"); err == nil {
				t.Errorf("got the row %+v, want an error", row)
			}
		})
	}
}
