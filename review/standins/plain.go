package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// plainRequest is a request without a prompt, sent at once.
type plainRequest struct {
	id, method, target, body string
	tokens                   int
	address                  netip.AddrPort
	wait                     time.Duration
}

// answer is what a requester got. err is set if the channel ended without a complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends the request on a new channel, byte for byte as given.
func (request *plainRequest) send() answer {
	dialer := net.Dialer{Timeout: time.Second}
	connection, err := dialer.DialContext(context.Background(), "tcp", request.address.String())
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = connection.Close() }() // the answer was read
	if err := connection.SetDeadline(time.Now().Add(request.wait)); err != nil {
		return answer{err: err}
	}
	return request.sendOn(connection, bufio.NewReader(connection))
}

// sendOn sends the request on a channel.
func (request *plainRequest) sendOn(connection io.Writer, reader *bufio.Reader) answer {
	call := dogwoodstandin.Call{ID: request.id, Key: otherTenantKey, Wait: request.wait, PromptTokens: request.tokens, AnswerTokens: 80}
	head := &strings.Builder{}
	fmt.Fprintf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.method, request.target, host)
	if request.body != "" {
		fmt.Fprintf(head, "Content-Length: %d\r\n", len(request.body))
	}
	if err := call.Header().Write(head); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(connection, head.String()+"\r\n"+request.body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }() // read errors are reported
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// isServers reports whether an answer is a server's.
func (answer *answer) isServers() bool { return answer.header.Get(dogwoodwire.Seal) != "" }
