// Package dogwoodcrowd sends what clients that do not keep to the limits of a server send: heads of very many lines, heads that
// stop or never end, and connections on which nothing comes.
package dogwoodcrowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of this package's errors.
var Error = errs.Class("crowd")

const (
	// dialTimeout bounds the opening of a connection, and exchangeTimeout the sending of a part and the reading of an answer.
	dialTimeout     = 2 * time.Second
	exchangeTimeout = 5 * time.Second
	// endlessBytes is how much each connection sends at most of a part that is repeated.
	endlessBytes = 4 << 20
)

// Script is what a client sends on each of its connections.
type Script struct {
	Name string
	// First is sent at once, and Rest once all clients have sent First.
	First, Rest []byte
	// Endless is repeated after Rest until the connection is closed.
	Endless []byte
	// Holds is true for clients that keep their connections open without completing a request.
	Holds bool
	// Repeats is how often First and Rest are sent on a connection; 0 for once.
	Repeats int
}

// Options describe a crowd.
type Options struct {
	Address netip.AddrPort
	Script  Script
	// Clients is the number of clients, each with one connection at a time, and Rounds how many each opens in turn.
	Clients, Rounds int
	// Hold is how long clients that hold their connections do so, once all have connected.
	Hold time.Duration
}

// Report is what a crowd received.
type Report struct {
	mutex sync.Mutex
	// Connected is the number of connections opened, Closed that of the connections that the server closed without an answer.
	Connected, Closed int
	Statuses          map[int]int
}

// Run sends what the options describe and waits until all clients are done. It returns an error only if ctx has ended.
func Run(ctx context.Context, options *Options) (*Report, error) {
	report := &Report{Statuses: map[int]int{}}
	for range max(options.Rounds, 1) {
		var arrived sync.WaitGroup
		arrived.Add(options.Clients)
		group, ctx := errgroup.WithContext(ctx)
		for range options.Clients {
			group.Go(func() error {
				report.send(ctx, options, &arrived)
				return ctx.Err()
			})
		}
		if err := group.Wait(); err != nil {
			return report, Error.Wrap(err)
		}
	}
	return report, nil
}

// send plays the script on one connection. arrived is done once First has been sent, or could not be.
func (report *Report) send(ctx context.Context, options *Options, arrived *sync.WaitGroup) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", options.Address.String())
	if err != nil {
		arrived.Done()
		return
	}
	defer func() { _ = conn.Close() }() // the server may have closed it
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	report.count(func() { report.Connected++ })
	script := &options.Script
	write(conn, script.First)
	arrived.Done()
	arrived.Wait()
	if script.Holds {
		hold(ctx, conn, options.Hold)
		return
	}
	write(conn, script.Rest)
	reader := bufio.NewReader(conn)
	for sent := 0; len(script.Endless) > 0 && sent < endlessBytes; sent += len(script.Endless) {
		if !write(conn, script.Endless) {
			break
		}
	}
	for repeat := range max(script.Repeats, 1) {
		if repeat > 0 && !write(conn, script.First, script.Rest) {
			return
		}
		if !report.read(conn, reader) {
			return
		}
	}
}

// hold keeps a connection open until the server closes it.
func hold(ctx context.Context, conn net.Conn, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })()
	_, _ = io.Copy(io.Discard, conn) // it ends with the connection or the duration
}

// read reads an answer. It reports whether the connection can be used further.
func (report *Report) read(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(exchangeTimeout)) // reads fail if this does
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		report.count(func() { report.Closed++ })
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	report.count(func() { report.Statuses[response.StatusCode]++ })
	return err == nil && !response.Close
}

func (report *Report) count(change func()) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	change()
}

// write sends parts and reports whether that succeeded.
func write(conn net.Conn, parts ...[]byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(exchangeTimeout)) // writes fail if this does
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return false
		}
	}
	return true
}

// Lines appends lines to a head until it has size bytes less those of its last, empty line. line returns the line with a number.
func Lines(start string, size int, line func(number int) string) []byte {
	head := []byte(start)
	for number := 0; ; number++ {
		next := line(number)
		if len(head)+len(next)+len("\r\n") > size {
			return head
		}
		head = append(head, next...)
	}
}

// ShortLine returns a line of a header with a short name of its own and no value.
func ShortLine(number int) string { return shortName(number) + ":\r\n" }

func shortName(number int) string { return "0" + strconv.FormatInt(int64(number), 36) }

// Scripts returns the scripts of clients that send requests with the given start, a request line and headers with their line ends.
// Heads have size bytes, as many as the server allows.
func Scripts(start string, size int) []Script {
	whole := func(name string, line func(number int) string) Script {
		return Script{Name: name, First: Lines(start, size, line), Rest: []byte("\r\n")}
	}
	return []Script{
		whole("short lines", ShortLine),
		whole("short lines ended by LF", func(number int) string { return shortName(number) + ":\n" }),
		whole("one name in all lines", func(int) string { return "a:\r\n" }),
		whole("blank values", func(number int) string { return shortName(number) + ": \t \r\n" }),
		whole("names in Connection", func(number int) string { return "Connection: " + shortName(number) + "\r\n" }),
		whole("cookies", func(int) string { return "Cookie:=;\r\n" }),
		{Name: "short lines on kept connections", First: Lines(start, size, ShortLine), Rest: []byte("\r\n"), Repeats: 5},
		{Name: "short lines in pipelined requests", First: Lines(start, size, ShortLine), Rest: bytes.Repeat(append([]byte("\r\n"), Lines(start, size, ShortLine)...), 3)},
		{Name: "short lines that stop", First: Lines(start, size, ShortLine), Holds: true},
		{Name: "more short lines than allowed that stop", First: Lines(start, 60<<10, ShortLine), Holds: true},
		{Name: "short lines without end", First: []byte(start), Endless: Lines("", 8<<10, ShortLine)},
		{Name: "a line without end", First: []byte(start + "a: "), Endless: bytes.Repeat([]byte("b"), 8<<10)},
		{Name: "a name without end", First: []byte(start), Endless: bytes.Repeat([]byte("b"), 8<<10)},
		{Name: "folded lines without end", First: []byte(start + "a: b\r\n"), Endless: bytes.Repeat([]byte(" c\r\n"), 2<<10)},
		{Name: "a request line without end", Endless: bytes.Repeat([]byte("G"), 8<<10)},
		{Name: "empty lines without end", Endless: bytes.Repeat([]byte("\r\n"), 4<<10)},
		{Name: "empty lines of LF without end", Endless: bytes.Repeat([]byte("\n"), 8<<10)},
		{Name: "chunk lines without end", First: []byte(start + "Transfer-Encoding: chunked\r\n\r\n"), Endless: bytes.Repeat([]byte("0"), 8<<10)},
		{Name: "trailers without end", First: []byte(start + "Transfer-Encoding: chunked\r\n\r\n0\r\n"), Endless: Lines("", 8<<10, ShortLine)},
		{Name: "nothing", Holds: true},
	}
}

// String formats a report for logs.
func (report *Report) String() string {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	return fmt.Sprintf("%d connections, %d closed without an answer, statuses %v", report.Connected, report.Closed, report.Statuses)
}
