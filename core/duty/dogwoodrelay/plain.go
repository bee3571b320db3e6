package dogwoodrelay

import (
	"errors"
	"io"
)

// wholeBytes is the largest answer that is held until it is whole, so that one that
// breaks off can be asked for again. Larger ones are passed on as they come.
const wholeBytes = 1 << 20

// passAnswer passes on a whole answer, or the begun one that is too large to be held.
func (attempt *attempt) passAnswer(run *run, data []byte) verdict {
	if len(data) > wholeBytes {
		return attempt.passOn(run.response, data)
	}
	if err := attempt.deliver(run.response, data); err != nil {
		return verdict{err: err}
	}
	return verdict{done: true}
}

// deliver passes on a whole answer.
func (attempt *attempt) deliver(response *Response, data []byte) error {
	if err := attempt.answer.Begin(response.Status, response.Header); err != nil {
		return errors.Join(ErrCallerGone, err)
	}
	if err := attempt.answer.Write(data); err != nil {
		return errors.Join(ErrCallerGone, err)
	}
	return nil
}

// passOn passes on an answer that is too large to be held, as it comes.
func (attempt *attempt) passOn(response *Response, begun []byte) verdict {
	if err := attempt.deliver(response, begun); err != nil {
		return verdict{err: err}
	}
	attempt.stream.begun = true
	buffer := make([]byte, copyBytes)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if err := attempt.answer.Write(buffer[:count]); err != nil {
				return verdict{err: errors.Join(ErrCallerGone, err)}
			}
		}
		if errors.Is(err, io.EOF) {
			return verdict{done: true}
		}
		if err != nil {
			return verdict{err: Error.Wrap(err)}
		}
	}
}

// copyBytes is the size of the pieces of a large answer.
const copyBytes = 32 << 10

// closeBody ends an answer. What is left of it is of no use, and neither is an error.
func closeBody(response *Response) {
	_ = response.Body.Close()
}
