package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// chunkBytes is the least size of a chunk: several events of a few hundred bytes. maxChunkBytes is the size of the
	// chunks of a caller that is far behind, of which there are few then.
	chunkBytes    = 2 << 10
	maxChunkBytes = 32 << 10
	// maxWriteBytes is the size of the parts in which a large chunk is written. A caller that has taken as much reads on.
	maxWriteBytes = 64 << 10
	// maxStall is how long an answer at its bound may wait for its caller to take some of it. It covers the retransmission
	// of a lost packet. Endpoints cut off an answer that stays unread for two seconds.
	maxStall = time.Second
)

// errWriterPanicked means that writing to the caller panicked.
var errWriterPanicked = errors.New("writing the answer panicked")

// Aborter is implemented by an Answer that can end a Write which waits for a caller that does not read.
type Aborter interface {
	// Abort makes the Write that is in progress and all further ones fail. It may be called at any time.
	Abort()
}

// answerBuffer passes an answer from the task that reads it at the endpoint to a task that writes it to the caller, so that
// a caller that reads slowly delays neither the reading nor the end of the run. It holds the answer in chunks of whole
// events. The bytes of all chunks are counted in the account.
type answerBuffer struct {
	relay   *Relay
	request string
	answer  Answer
	account *dogwoodbuffer.Answer
	// cancel ends the reading side.
	cancel context.CancelFunc
	// filled tells the writer of a change, taken the reader that the caller has taken some bytes. Each holds one signal.
	filled, taken chan struct{}
	writer        errgroup.Group

	mutex sync.Mutex
	// begun is true once the writer has started. status and header are what it begins with.
	begun  bool
	status int
	header http.Header
	// queue holds the chunks that the writer has not taken yet. spare is an empty one that is reused; nil for none.
	queue chunkQueue
	spare []byte
	// blocked is true while the reader waits for bytes to be released; no spare chunk is kept then.
	blocked bool
	// ended is true once no further chunk follows, dropped if chunks were discarded before they were written, and finished
	// once the writer has returned after all chunks.
	ended, dropped, finished bool
	// whole is true once the endpoint has ended the answer without an error, and shutdown once the daemon has ended its requests.
	whole, shutdown bool
	// err is why the writer stopped early; nil if it did not.
	err error
	// untaken is the number of bytes that were added and that the caller has not taken.
	untaken atomic.Int64
	// progress is used by the writer alone.
	progress readProgress
}

// readProgress records whether a caller that does not take each byte at once reads on.
type readProgress struct {
	// bytes were taken since at, the time at which the caller had taken another maxWriteBytes.
	bytes int
	at    time.Time
}

// record records that the caller has taken some bytes.
func (progress *readProgress) record(bytes int) {
	progress.bytes += bytes
	if progress.bytes >= maxWriteBytes {
		progress.bytes, progress.at = 0, time.Now()
	}
}

// behindSince returns since when a caller is behind that is offered bytes which were added at a time: since then, or since it last had
// taken another maxWriteBytes.
func (progress *readProgress) behindSince(added time.Time) time.Time {
	if progress.at.After(added) {
		return progress.at
	}
	return added
}

// chunk holds a part of an answer.
type chunk struct {
	data []byte
	// added is when the first of its bytes was added.
	added time.Time
	// whole is true if it was read whole before it was added.
	whole bool
}

// chunkQueue is a queue of chunks. The zero value is empty.
type chunkQueue struct {
	chunks []chunk
	// head is the index of the first chunk. Those before it are empty.
	head int
}

// add adds a chunk at the end.
func (queue *chunkQueue) add(chunk chunk) {
	if queue.head > 0 && len(queue.chunks) == cap(queue.chunks) {
		queue.chunks = append(queue.chunks[:0], queue.chunks[queue.head:]...)
		clear(queue.chunks[len(queue.chunks):cap(queue.chunks)])
		queue.head = 0
	}
	queue.chunks = append(queue.chunks, chunk)
}

// last returns the last chunk, nil for none.
func (queue *chunkQueue) last() *chunk {
	if queue.head == len(queue.chunks) {
		return nil
	}
	return &queue.chunks[len(queue.chunks)-1]
}

// take removes the first chunk and returns it, or false for none.
func (queue *chunkQueue) take() (chunk, bool) {
	if queue.head == len(queue.chunks) {
		return chunk{}, false
	}
	first := queue.chunks[queue.head]
	queue.chunks[queue.head] = chunk{} // so that it is not kept in memory
	queue.head++
	if queue.head == len(queue.chunks) {
		queue.chunks, queue.head = queue.chunks[:0], 0
	}
	return first, true
}

func newAnswerBuffer(relay *Relay, request string, answer Answer, cancel context.CancelFunc) *answerBuffer {
	buffer := &answerBuffer{
		relay: relay, request: request, answer: answer, cancel: cancel,
		filled: make(chan struct{}, 1), taken: make(chan struct{}, 1),
	}
	buffer.account = relay.options.Buffers.NewAnswer(request, buffer.cut)
	return buffer
}

// notify sends a signal unless one is pending.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// begin starts the writer with the status and the headers of the answer.
func (buffer *answerBuffer) begin(status int, header http.Header) error {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.err != nil {
		return buffer.err
	}
	buffer.begun, buffer.status, buffer.header = true, status, header
	buffer.writer.Go(func() error {
		if buffer.relay.runTask("writing of an answer", buffer.request, buffer.writeAll) {
			buffer.stop(fmt.Errorf("%w: %w", ErrCut, errWriterPanicked))
		}
		return nil
	})
	return nil
}

// hasBegun reports whether the writer has started.
func (buffer *answerBuffer) hasBegun() bool {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.begun
}

// write adds a copy of some data, which the writer does not split from its start. It waits if the answer holds as much as it
// may, and cuts the answer if the caller takes none of it in maxStall.
func (buffer *answerBuffer) write(ctx context.Context, data []byte) error {
	size, err := buffer.fill(data)
	if err != nil || size == 0 {
		return err
	}
	if err := buffer.reserve(ctx, int64(size)); err != nil {
		return err
	}
	return buffer.push(chunk{data: append(make([]byte, 0, size), data...), added: time.Now()})
}

// fill copies data to the last chunk or to the spare one. If it fits neither, it returns the size of the chunk that is needed.
func (buffer *answerBuffer) fill(data []byte) (size int, err error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.err != nil {
		return 0, buffer.err
	}
	size = chunkBytes
	if last := buffer.queue.last(); last != nil {
		if cap(last.data)-len(last.data) >= len(data) {
			last.data = append(last.data, data...)
			buffer.untaken.Add(int64(len(data)))
			return 0, nil
		}
		size = min(max(2*cap(last.data), chunkBytes), maxChunkBytes)
	}
	if buffer.spare != nil && cap(buffer.spare) >= len(data) {
		buffer.add(chunk{data: append(buffer.spare, data...), added: time.Now()})
		buffer.spare = nil
		return 0, nil
	}
	return max(size, len(data)), nil
}

// add adds a chunk and wakes the writer. The caller holds the mutex.
func (buffer *answerBuffer) add(chunk chunk) {
	buffer.untaken.Add(int64(len(chunk.data)))
	buffer.queue.add(chunk)
	notify(buffer.filled)
}

// push adds a chunk whose capacity is reserved.
func (buffer *answerBuffer) push(chunk chunk) error {
	buffer.mutex.Lock()
	if buffer.err == nil {
		buffer.add(chunk)
		buffer.mutex.Unlock()
		return nil
	}
	err := buffer.err
	buffer.mutex.Unlock()
	buffer.account.Release(int64(cap(chunk.data)))
	return err
}

// writeWhole adds data without a copy.
func (buffer *answerBuffer) writeWhole(data []byte) error {
	if err := buffer.account.ReserveWhole(int64(cap(data))); err != nil {
		return buffer.failure()
	}
	if len(data) == 0 {
		buffer.account.Release(int64(cap(data)))
		return nil
	}
	return buffer.push(chunk{data: data, added: time.Now(), whole: true})
}

// reserve reserves bytes of the account. It waits for the caller if the answer's bound is reached.
func (buffer *answerBuffer) reserve(ctx context.Context, bytes int64) error {
	err := buffer.account.Reserve(bytes)
	if !errors.Is(err, dogwoodbuffer.ErrAnswerBound) {
		return buffer.reserved(err)
	}
	defer buffer.setBlocked(false)
	buffer.setBlocked(true)
	timer := time.NewTimer(maxStall)
	defer timer.Stop()
	for {
		err := buffer.account.Reserve(bytes)
		if !errors.Is(err, dogwoodbuffer.ErrAnswerBound) {
			return buffer.reserved(err)
		}
		select {
		case <-buffer.taken:
			timer.Reset(maxStall)
		case <-timer.C:
			buffer.cut(dogwoodbuffer.Cut{
				Bound: dogwoodbuffer.BoundAnswer, Held: buffer.account.Held(), Behind: buffer.account.Behind(), For: buffer.request,
			})
			return buffer.failure()
		case <-ctx.Done():
			return ContextError(ctx, dogwoodfleet.WasRun)
		}
	}
}

// reserved returns the error of a reservation.
func (buffer *answerBuffer) reserved(err error) error {
	if err == nil {
		return nil
	}
	return buffer.failure()
}

// setBlocked records whether the reader waits for bytes to be released, and drops the spare chunk if it does.
func (buffer *answerBuffer) setBlocked(blocked bool) {
	buffer.mutex.Lock()
	buffer.blocked = blocked
	spare := buffer.spare
	if blocked {
		buffer.spare = nil
	}
	buffer.mutex.Unlock()
	if blocked {
		buffer.account.Release(int64(cap(spare)))
	}
}

// failure returns why the writer stopped. It is only called after an error of the account, which means that the answer was
// cut.
func (buffer *answerBuffer) failure() error {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.err == nil {
		return ErrCut
	}
	return buffer.err
}

// writeAll writes the answer to the caller until it ends or is stopped.
func (buffer *answerBuffer) writeAll() {
	if err := buffer.answer.Begin(buffer.status, buffer.header); err != nil {
		buffer.stop(buffer.writeError(err))
		return
	}
	for {
		chunk, ok := buffer.next()
		if !ok {
			return
		}
		for rest := chunk.data; len(rest) > 0; {
			part := rest[:min(len(rest), maxWriteBytes)]
			if err := buffer.writePart(&chunk, part); err != nil {
				buffer.stop(buffer.writeError(err))
				return
			}
			rest = rest[len(part):]
		}
		buffer.recycle(chunk.data)
	}
}

// writePart writes a part of a chunk to the caller.
func (buffer *answerBuffer) writePart(chunk *chunk, part []byte) error {
	offer := buffer.account.Offer
	if chunk.whole {
		offer = buffer.account.OfferWhole
	}
	offer(buffer.progress.behindSince(chunk.added))
	defer buffer.account.Taken()
	if err := buffer.answer.Write(part); err != nil {
		return err
	}
	buffer.progress.record(len(part))
	buffer.untaken.Add(-int64(len(part)))
	notify(buffer.taken)
	return nil
}

// writeError returns why the writer stops after a write has failed. A daemon that shuts down closes the connections on which answers are
// still written; otherwise a write fails because the caller is gone.
func (buffer *answerBuffer) writeError(err error) error {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.shutdown && errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%w: %w: %w", ErrCut, ErrShutdown, err)
	}
	return errors.Join(ErrCallerGone, err)
}

// next waits for the next chunk. It returns false at the end.
func (buffer *answerBuffer) next() (chunk, bool) {
	for {
		buffer.mutex.Lock()
		if chunk, ok := buffer.queue.take(); ok {
			buffer.mutex.Unlock()
			return chunk, true
		}
		// A caller that has the whole answer may disconnect before the endpoint's end of the answer has been seen.
		buffer.finished = buffer.ended && buffer.err == nil || errors.Is(buffer.err, ErrCallerGone) && !buffer.dropped
		done := buffer.ended || buffer.err != nil
		buffer.mutex.Unlock()
		if done {
			return chunk{}, false
		}
		<-buffer.filled
	}
}

// recycle keeps a chunk that was written as the spare one, or releases it.
func (buffer *answerBuffer) recycle(chunk []byte) {
	buffer.mutex.Lock()
	if buffer.spare == nil && !buffer.blocked && buffer.err == nil && cap(chunk) == chunkBytes {
		buffer.spare = chunk[:0]
		buffer.mutex.Unlock()
		return
	}
	buffer.mutex.Unlock()
	buffer.account.Release(int64(cap(chunk)))
	notify(buffer.taken)
}

// stop ends the writer and the reading side, and drops what the caller has not received. It reports whether the answer was
// still being written.
func (buffer *answerBuffer) stop(err error) bool {
	buffer.mutex.Lock()
	if buffer.err != nil || buffer.finished {
		buffer.mutex.Unlock()
		return false
	}
	buffer.dropped = buffer.queue.last() != nil
	buffer.err, buffer.queue, buffer.spare = err, chunkQueue{}, nil
	buffer.mutex.Unlock()
	buffer.account.Close()
	buffer.cancel()
	notify(buffer.filled)
	if aborter, ok := buffer.answer.(Aborter); ok {
		aborter.Abort()
	}
	return true
}

// endForCaller ends the answer after the end of its caller's context. If the daemon shuts down, an answer that has not begun still
// goes to the caller, and so does a failure in its place. One that the endpoint has ended is written until its connection is closed.
func (buffer *answerBuffer) endForCaller(ctx context.Context) {
	if !IsShutdown(ctx) {
		buffer.stop(ErrCallerGone)
		return
	}
	buffer.mutex.Lock()
	buffer.shutdown = true
	isPartial := buffer.begun && !buffer.whole
	buffer.mutex.Unlock()
	if isPartial {
		buffer.stop(fmt.Errorf("%w: %w", ErrCut, ErrShutdown))
	}
}

// cut stops the answer since a bound is reached.
func (buffer *answerBuffer) cut(cut dogwoodbuffer.Cut) {
	message, cause := "An answer was cut, since its caller reads too slowly.", "the caller reads too slowly"
	if cut.Bound == dogwoodbuffer.BoundDaemon {
		message, cause = "An answer was cut, since it held most of what the daemon may hold.", "this daemon holds too much of answers"
	}
	untaken := buffer.untaken.Load()
	if !buffer.stop(fmt.Errorf("%w: %s: the bound of the %s is reached", ErrCut, cause, cut.Bound)) {
		return
	}
	bufferCuts.Add(string(cut.Bound), 1)
	buffer.relay.options.Logger.Warn(message, "request", buffer.request, "bytes", cut.Held, "untaken", untaken, "for", cut.Behind,
		"bound", cut.Bound, "by", cut.For)
}

// finish waits until the writer has written the answer, which has ended at the endpoint with an error or nil. It returns the
// outcome for the caller.
func (buffer *answerBuffer) finish(err error) error {
	if errors.Is(err, ErrCallerGone) {
		buffer.stop(err)
	}
	buffer.mutex.Lock()
	buffer.ended, buffer.whole = true, err == nil
	buffer.mutex.Unlock()
	notify(buffer.filled)
	_ = buffer.writer.Wait() // it returns no error
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	switch {
	case err == nil && buffer.finished:
		return nil
	case buffer.err != nil && (buffer.begun || errors.Is(buffer.err, ErrCut)):
		return buffer.err
	case buffer.begun && err != nil && !errors.Is(err, ErrCut):
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return err
}

// close ends the writer, if finish has not waited for it after a panic of the reading side, and releases all bytes.
func (buffer *answerBuffer) close() {
	if buffer.hasBegun() { // else the answer may still be used for an error response
		buffer.stop(ErrCut)
	}
	_ = buffer.writer.Wait() // it returns no error
	buffer.account.Close()
}
