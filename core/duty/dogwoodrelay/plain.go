package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"slices"
)

// maxHeldBytes is the size of the largest answer that is held until it is complete, so that the
// request can be retried if the answer is interrupted. Larger answers are forwarded as they arrive.
const maxHeldBytes = 1 << 20

// forwardAnswer forwards the answer that data holds. If that is only the beginning, since the
// answer is larger than maxHeldBytes, it also forwards the rest of the body as it arrives.
func (attempt *attempt) forwardAnswer(ctx context.Context, run *run, data []byte) tryResult {
	if len(data) > maxHeldBytes {
		return attempt.forwardLarge(ctx, run, data)
	}
	if err := attempt.sendAnswer(run, data); err != nil {
		return tryResult{err: err}
	}
	return tryResult{done: true}
}

// sendAnswer sends the status, the headers and the data of an answer to the caller.
func (attempt *attempt) sendAnswer(run *run, data []byte) error {
	if err := attempt.buffer.begin(run.response.Status, run.response.Header); err != nil {
		return err
	}
	attempt.setStage(StageAnswering)
	run.releaseAll() // the buffer counts the data from now on
	return attempt.buffer.writeWhole(data)
}

// forwardLarge forwards the start of an answer that is too large to be held, then the rest of the
// body as it arrives.
func (attempt *attempt) forwardLarge(ctx context.Context, run *run, start []byte) tryResult {
	if err := attempt.sendAnswer(run, start); err != nil {
		return tryResult{err: err}
	}
	attempt.stream.begun = true
	end := lastBytes(start)
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := run.response.Body.Read(buffer)
		if count > 0 {
			if err := attempt.buffer.write(ctx, buffer[:count]); err != nil {
				return tryResult{err: err}
			}
			end = lastBytes(append(end, buffer[:count]...))
		}
		switch {
		case errors.Is(err, io.EOF) && run.response.endsInsideEvent(end):
			err = io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return tryResult{done: true}
		}
		if err != nil {
			if ctx.Err() == nil {
				attempt.reportBroken(ctx, run)
			}
			return tryResult{err: Error.Wrap(err)}
		}
	}
}

// lastBytes returns a copy of the last bytes of some data, which show whether an event ends there.
func lastBytes(data []byte) []byte {
	return slices.Clone(data[max(0, len(data)-eventEndBytes):])
}

// eventEndBytes is the length of the longest end of an event.
const eventEndBytes = len("\r\n\r\n")

// copyBufferSize is the size of the buffer for large answers.
const copyBufferSize = 32 << 10

// closeBody closes a response body. The rest of the body and any error are ignored.
func closeBody(response *Response) {
	_ = response.Body.Close()
}
