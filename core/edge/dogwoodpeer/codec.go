package dogwoodpeer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"

	"dogwoodmux.example/core/dogwoodkernel"
)

// maxMessageBytes bounds a message. The largest hold a copy of the operators' text or of the endpoints' table.
const maxMessageBytes = 32 << 20

// codec is a connection in the encoding of net/rpc's clients.
type codec struct {
	conn     net.Conn
	messages *messageInput
	decoder  *gob.Decoder

	mutex   sync.Mutex
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

// newCodec returns a codec that reads from reader, which may count what comes over the connection.
func newCodec(conn net.Conn, reader byteReader) *codec {
	buffer, messages := bufio.NewWriter(conn), &messageInput{reader: reader}
	return &codec{conn: conn, messages: messages, decoder: gob.NewDecoder(messages), buffer: buffer, encoder: gob.NewEncoder(buffer)}
}

// decode decodes a message. It fails if the message exceeds its bound.
func (codec *codec) decode(message any) error {
	codec.messages.left = maxMessageBytes
	return codec.decoder.Decode(message) //nolint:wrapcheck // net/rpc compares it with io.EOF
}

// byteReader is a reader that gob does not wrap in a buffer.
type byteReader interface {
	io.Reader
	io.ByteReader
}

// messageInput reads messages up to their bound.
type messageInput struct {
	reader byteReader
	// left is how many bytes the message may still have.
	left int
}

var errMessageTooLarge = errors.New("the message is too large")

// Read reads a part of a message.
func (input *messageInput) Read(target []byte) (int, error) {
	if input.left == 0 {
		return 0, errMessageTooLarge
	}
	count, err := input.reader.Read(target[:min(len(target), input.left)])
	input.left -= count
	return count, err //nolint:wrapcheck // io.EOF must stay itself
}

// ReadByte reads a byte of a message.
func (input *messageInput) ReadByte() (byte, error) {
	if input.left == 0 {
		return 0, errMessageTooLarge
	}
	read, err := input.reader.ReadByte()
	if err == nil {
		input.left--
	}
	return read, err //nolint:wrapcheck // as above
}

// write sends a response. If it fails or panics, the connection is closed, since the client could not decode
// what follows.
func (codec *codec) write(response *rpc.Response, body any) error {
	codec.mutex.Lock()
	defer codec.mutex.Unlock()
	written := false
	defer func() {
		if !written {
			_ = codec.conn.Close()
		}
	}()
	if err := codec.encoder.Encode(response); err != nil {
		return Error.Wrap(err)
	}
	if err := codec.encoder.Encode(body); err != nil {
		return Error.Wrap(err)
	}
	if err := codec.buffer.Flush(); err != nil {
		return Error.Wrap(err)
	}
	written = true
	return nil
}

// incomingCall is the rpc.ServerCodec of a single call whose header was read.
type incomingCall struct {
	codec  *codec
	header rpc.Request
	// finishReading lets the next call be read.
	finishReading func()
}

// ReadRequestHeader returns the header.
func (call *incomingCall) ReadRequestHeader(header *rpc.Request) error {
	header.ServiceMethod, header.Seq = call.header.ServiceMethod, call.header.Seq
	return nil
}

// ReadRequestBody reads the arguments.
func (call *incomingCall) ReadRequestBody(arguments any) error {
	defer call.finishReading()
	return call.codec.decode(arguments)
}

// WriteResponse sends the response.
func (call *incomingCall) WriteResponse(response *rpc.Response, body any) error {
	return call.codec.write(response, body)
}

// Close does nothing, since the connection has other calls.
func (call *incomingCall) Close() error { return nil }

// serveCalls answers the calls of a connection until it ends, each in a goroutine of its own, and waits for
// those that are still running. Unlike rpc.Server.ServeConn it survives methods that panic.
func (server *Server) serveCalls(conn net.Conn) {
	codec := newCodec(conn, bufio.NewReader(conn))
	var group sync.WaitGroup
	defer group.Wait()
	for {
		argumentsRead := make(chan struct{})
		call := &incomingCall{codec: codec, finishReading: sync.OnceFunc(func() { close(argumentsRead) })}
		if err := codec.decode(&call.header); err != nil {
			server.logger.Debug("A peer's connection has ended.", "from", conn.RemoteAddr(), "error", err)
			return
		}
		group.Go(func() { server.serveCall(call) })
		<-argumentsRead
	}
}

// serveCall runs a method and answers its call, also if it panics.
func (server *Server) serveCall(call *incomingCall) {
	defer call.finishReading()
	method := call.header.ServiceMethod
	panicked := dogwoodkernel.LogPanic(server.logger, "call", func() {
		_ = server.rpc.ServeRequest(call) // the client has the error in its response
	}, "method", method)
	if panicked {
		response := &rpc.Response{ServiceMethod: method, Seq: call.header.Seq, Error: "the method panicked"}
		_ = call.WriteResponse(response, struct{}{}) // a failure closes the connection
	}
}
