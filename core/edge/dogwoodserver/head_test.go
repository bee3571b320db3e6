package dogwoodserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
)

// shortLines returns the lines of headers with names of their own and no value.
func shortLines(count int) string {
	var lines strings.Builder
	for number := range count {
		lines.WriteString("0" + strconv.FormatInt(int64(number), 36) + ":\r\n")
	}
	return lines.String()
}

// Guards against a head of which a part is not counted, since it arrives in pieces or came with the request before.
func TestHeadCounter(t *testing.T) {
	tests := []struct {
		name, head string
		want       dogwoodbuffer.HeadSize
		ended      bool
	}{
		{"CRLF", "GET / HTTP/1.1\r\na:b\r\n\r\nbody\r\n", dogwoodbuffer.HeadSize{Lines: 3, Bytes: 23}, true},
		{"LF", "GET / HTTP/1.1\na:b\n\nbody\n", dogwoodbuffer.HeadSize{Lines: 3, Bytes: 20}, true},
		{"mixed", "GET / HTTP/1.1\na:b\r\n\n", dogwoodbuffer.HeadSize{Lines: 3, Bytes: 21}, true},
		{"no end", "GET / HTTP/1.1\r\na:b\r\n", dogwoodbuffer.HeadSize{Lines: 2, Bytes: 21}, false},
		{"a line of CRs", "GET / HTTP/1.1\r\n\r\r\na:\r\n\r\n", dogwoodbuffer.HeadSize{Lines: 4, Bytes: 25}, true},
		{"empty line first", "\r\nGET", dogwoodbuffer.HeadSize{Lines: 1, Bytes: 2}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for size := 1; size <= len(test.head); size++ {
				var counter headCounter
				for rest := test.head; rest != ""; rest = rest[min(size, len(rest)):] {
					counter.add([]byte(rest[:min(size, len(rest))]))
				}
				if counter.size != test.want || counter.ended != test.ended {
					t.Errorf("in pieces of %d: got %+v, ended %t, want %+v, %t", size, counter.size, counter.ended, test.want, test.ended)
				}
			}
		})
	}
}

// Guards against a head whose end is missed since its beginning came with the request before.
func TestHeadCounterResumes(t *testing.T) {
	const head = "GET / HTTP/1.1\r\na:b\r\n\r\n"
	for split := 1; split < len(head)-1; split++ {
		var counter headCounter
		counter.resume(split, []byte(head[max(0, split-2):split]))
		counter.add([]byte(head[split:]))
		if !counter.ended || counter.size.Bytes != len(head) {
			t.Errorf("split at %d: got %d bytes, ended %t, want %d, true", split, counter.size.Bytes, counter.ended, len(head))
		}
	}
}

// Guards against heads that take more memory than is counted for them.
func TestHeadsTakeWhatIsCounted(t *testing.T) {
	const count = 100
	tests := []struct {
		name string
		line func(number int) string
	}{
		{"names of their own", func(number int) string { return "0" + strconv.FormatInt(int64(number), 36) + ":\r\n" }},
		{"the shortest lines", func(number int) string { return strconv.FormatInt(int64(number), 36) + ":\n" }},
		{"one name", func(int) string { return "a:\r\n" }},
		{"longer lines", func(number int) string { return fmt.Sprintf("x-header-%d: %d\r\n", number, number) }},
		{"one line", func(number int) string { return strings.Repeat("a", 16000-16000*min(number, 1)) + "b: c\r\n" }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			head := []byte("GET / HTTP/1.1\r\nHost: a\r\n")
			for number := 0; len(head) < 16<<10; number++ {
				head = append(head, test.line(number)...)
			}
			head = append(head, "\r\n"...)
			var counter headCounter
			counter.add(head)
			requests := make([]*http.Request, count)
			before := heapBytes()
			for i := range requests {
				var err error
				if requests[i], err = http.ReadRequest(bufio.NewReader(bytes.NewReader(head))); err != nil {
					t.Fatal(err)
				}
			}
			got := (heapBytes() - before) / count
			if want := counter.size.Memory(0); got > want {
				t.Errorf("got %d bytes for a head that arrives, want at most %d", got, want)
			}
			if size := requestHead(requests[0]); size.Memory(0) < got {
				t.Errorf("got %d bytes for a head that was parsed, want at least %d", size.Memory(0), got)
			}
			copies := make([]http.Header, count)
			before = heapBytes()
			for i, request := range requests {
				copies[i] = request.Header.Clone()
			}
			if got, want := (heapBytes()-before)/count, counter.size.Memory(1)-counter.size.Memory(0); got > want {
				t.Errorf("got %d bytes for a copy, want at most %d", got, want)
			}
			runtime.KeepAlive(requests)
			runtime.KeepAlive(copies)
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// newLimitedFixture returns a server with limits.
func newLimitedFixture(t *testing.T, handler http.HandlerFunc, limit func(options *Options)) *fixture {
	t.Helper()
	accepting, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fixture := &fixture{address: accepting.Addr().String()}
	options := Options{Shutdown: errLeaving, RetryAfter: "0.05", Logger: hclog.New(&hclog.LoggerOptions{Output: &fixture.log, JSONFormat: true})}
	limit(&options)
	fixture.Server = New(t.Context(), &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 1 << 20}, options)
	var group sync.WaitGroup
	group.Go(func() { _ = fixture.Serve(accepting) }) // it ends with the server
	t.Cleanup(func() {
		_ = fixture.Close(context.Background())
		group.Wait()
	})
	return fixture
}

// Guards against heads that stop arriving and hold the memory that the heads of others need, and against refusals that are no answer.
func TestHeadsThatStopAreCutForOthers(t *testing.T) {
	memory := dogwoodbuffer.New(dogwoodbuffer.Bounds{Heads: 400 << 10})
	fixture := newLimitedFixture(t, answers, func(options *Options) { options.Memory = memory })
	start := "GET / HTTP/1.1\r\nHost: a\r\n"
	var stopped []*caller
	for number := range 20 {
		stopped = append(stopped, fixture.dial(t))
		stopped[number].write(t, start+shortLines(500))
	}
	ordinary := fixture.dial(t)
	for range 3 {
		ordinary.write(t, request)
		if status, err := ordinary.read(); status != http.StatusOK || err != nil {
			t.Fatalf("got %d, %v, want 200 for an ordinary request", status, err)
		}
	}
	statuses := map[int]int{}
	for _, stopped := range stopped {
		stopped.write(t, "\r\n")
		status, err := stopped.read()
		if err != nil {
			t.Errorf("got %v, want an answer", err)
		}
		statuses[status]++
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("got %v, want some that are answered and some that are refused", statuses)
	}
	if !strings.Contains(fixture.log.String(), errHeadMemory.Error()) {
		t.Errorf("got the log %s, want a line about the refusals", fixture.log.String())
	}
	_ = ordinary.Close()
	for deadline := time.Now().Add(5 * time.Second); memory.HeadBytes() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes held after all requests, want none", memory.HeadBytes())
		}
	}
}

// Guards against a bound of heads that is that of the server's start and not the one in force.
func TestHeadBoundIsReadAnew(t *testing.T) {
	bound := make(chan int, 1)
	bound <- 1 << 10
	fixture := newLimitedFixture(t, answers, func(options *Options) {
		options.MaxHeadBytes = func() int {
			current := <-bound
			bound <- current
			return current
		}
	})
	tests := []struct {
		bound, bytes, want int
	}{
		{1 << 10, 1 << 10, http.StatusOK},
		{1 << 10, 8 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{16 << 10, 16 << 10, http.StatusOK},
		{128 << 10, 128 << 10, http.StatusOK},
		{1 << 10, 128 << 10, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, test := range tests {
		<-bound
		bound <- test.bound
		caller := fixture.dial(t)
		start := "GET / HTTP/1.1\r\nHost: a\r\na: "
		caller.write(t, start+strings.Repeat("b", test.bytes-len(start)-4)+"\r\n\r\n")
		if status, err := caller.read(); status != test.want || err != nil {
			t.Errorf("%d bytes of %d: got %d, %v, want %d", test.bytes, test.bound, status, err, test.want)
		}
	}
}

// Guards against connections without a request that take the place of all others, and against a request that is ended for a new connection.
func TestConnectionsAreBounded(t *testing.T) {
	const most = 5
	handling, finish := make(chan struct{}, most), make(chan struct{})
	fixture := newLimitedFixture(t, func(writer http.ResponseWriter, received *http.Request) {
		if received.URL.Path == "/wait" {
			handling <- struct{}{}
			<-finish
		}
		answers(writer, received)
	}, func(options *Options) { options.MaxConnections = func() int { return most } })
	ask := func(caller *caller) (int, error) {
		caller.write(t, request)
		return caller.read()
	}
	answered := 0
	var working []*caller
	for range most - 1 {
		working = append(working, fixture.dial(t))
		working[len(working)-1].write(t, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		<-handling
	}
	for number := range 10 * most {
		switch caller := fixture.dial(t); number % 3 {
		case 0: // nothing comes
		case 1:
			caller.write(t, "GET / HTTP/1.1\r\nHost: a\r\n")
		case 2:
			if status, err := ask(caller); status != http.StatusOK && status != http.StatusServiceUnavailable || err != nil {
				t.Errorf("got %d, %v, want an answer or a refusal on a new connection", status, err)
			} else if status == http.StatusOK {
				answered++
			}
		}
		if got := fixture.countConnections(); got > most {
			t.Fatalf("got %d connections, want at most %d", got, most)
		}
	}
	if answered == 0 {
		t.Error("got no answer on a new connection, want some")
	}
	// An answer reaches its caller before the server takes its connection for one without a request.
	var last *caller
	for isHandled := false; !isHandled; {
		last = fixture.dial(t)
		_, _ = io.WriteString(last, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n") // it is repeated if the connection was refused
		select {
		case <-handling:
			isHandled = true
		case <-time.After(2 * maxRoomWait):
		case <-t.Context().Done():
			t.Fatal("no connection was accepted")
		}
	}
	if status, err := fixture.dial(t).read(); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("got %d, %v, want 503 while all connections work", status, err)
	}
	close(finish)
	for _, working := range append(working, last) {
		if status, err := working.read(); status != http.StatusOK || err != nil {
			t.Errorf("got %d, %v, want 200 for a request that was handled", status, err)
		}
	}
}

// Guards against limits that change a request: its bytes arrive in any pieces, with others before and behind them on the connection, and
// each request reaches the handler byte for byte.
func FuzzRequestsArriveUnchanged(f *testing.F) {
	f.Add(uint16(1), uint16(3), uint16(100), uint8(2))
	f.Add(uint16(4096), uint16(20), uint16(4000), uint8(3))
	f.Add(uint16(4095), uint16(300), uint16(0), uint8(4))
	f.Add(uint16(17), uint16(700), uint16(5000), uint8(3))
	f.Add(uint16(5000), uint16(40), uint16(4090), uint8(5))
	memory := dogwoodbuffer.New(dogwoodbuffer.Bounds{Heads: 8 << 20})
	f.Fuzz(func(t *testing.T, piece, lines, body uint16, requests uint8) {
		lines, body, requests, piece = lines%900, body%9000, requests%6, max(piece, 1)
		type arrival struct {
			header http.Header
			body   string
		}
		arrivals := make(chan arrival, 256)
		fixture := newLimitedFixture(t, func(writer http.ResponseWriter, received *http.Request) {
			content, err := io.ReadAll(received.Body)
			if err != nil && !errors.Is(err, context.Canceled) {
				t.Errorf("got %v, want the body", err)
			}
			arrivals <- arrival{received.Header.Clone(), string(content)}
			answers(writer, received)
		}, func(options *Options) {
			options.Memory, options.MaxHeadBytes = memory, func() int { return 16 << 10 }
			options.MaxConnections = func() int { return 2 }
		})
		var sent strings.Builder
		for number := range requests {
			content := strings.Repeat("b\r\n\r\n", int(body)/5)
			_, _ = fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: a\r\nNumber: %d\r\n%s", number, shortLines(int(lines)))
			switch {
			case number%2 == 0:
				_, _ = fmt.Fprintf(&sent, "Content-Length: %d\r\n\r\n%s", len(content), content)
			case content == "":
				sent.WriteString("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
			default:
				_, _ = fmt.Fprintf(&sent, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(content), content)
			}
		}
		caller := fixture.dial(t)
		var group sync.WaitGroup
		group.Go(func() {
			for rest := sent.String(); rest != ""; rest = rest[min(int(piece), len(rest)):] {
				if _, err := io.WriteString(caller, rest[:min(int(piece), len(rest))]); err != nil {
					return
				}
			}
		})
		defer group.Wait()
		for number := range requests {
			if status, err := caller.read(); status != http.StatusOK || err != nil {
				t.Fatalf("request %d: got %d, %v, want 200", number, status, err)
			}
			got := <-arrivals
			if want := strings.Repeat("b\r\n\r\n", int(body)/5); got.body != want || got.header.Get("Number") != strconv.Itoa(int(number)) {
				t.Fatalf("request %d: got %d bytes and number %q, want %d bytes", number, len(got.body), got.header.Get("Number"), len(want))
			}
			for line := range strings.SplitSeq(strings.TrimSuffix(shortLines(int(lines)), "\r\n"), "\r\n") {
				if name := strings.TrimSuffix(line, ":"); name != "" && len(got.header.Values(name)) != 1 {
					t.Fatalf("request %d: got no header %q, want it", number, name)
				}
			}
		}
	})
}
