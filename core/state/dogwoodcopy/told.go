package dogwoodcopy

import (
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("copy")

const (
	// minCompressedBytes is the size from which a value is sent compressed. Smaller ones fit into a few packets.
	minCompressedBytes = 16 << 10
	// maxValueBytes bounds a value that is received compressed.
	maxValueBytes = 64 << 20
)

// Told is an answer in the form in which it is sent to another daemon. The time in Answer has
// no meaning there, since clocks differ.
type Told struct {
	Answer Answer
	// ProvenAfter is the time from the arrival of the query to the time as of which the answer
	// is confirmed; it is usually negative.
	ProvenAfter time.Duration
}

// Tell returns the answer to send to a daemon whose query arrived at the given time on this
// daemon's clock. compressed allows large values to be compressed.
func Tell(answer Answer, arrived time.Duration, compressed bool) Told {
	told := Told{Answer: answer, ProvenAfter: answer.Proven - arrived}
	if !compressed {
		return told
	}
	told.Answer.Rows = make([]Row, len(answer.Rows))
	for i, row := range answer.Rows {
		told.Answer.Rows[i] = row.compress()
	}
	return told
}

// compress returns the row with its value compressed if that is large. The copies of a row share the result, as
// a daemon sends the same row to many others.
func (row Row) compress() Row {
	if len(row.Value) < minCompressedBytes || row.compressed == nil {
		return row
	}
	row.Compressed, row.Value = row.compressed(), nil
	return row
}

// Decompress returns what was told with all values decompressed.
func (told Told) Decompress() (Told, error) {
	for i := range told.Answer.Rows {
		row := &told.Answer.Rows[i]
		if row.Compressed == nil {
			continue
		}
		if size, err := s2.DecodedLen(row.Compressed); err != nil || size > maxValueBytes {
			return told, Error.New("row %q: its value of %d bytes can't be decompressed: %v", row.Key, size, err)
		}
		value, err := s2.Decode(nil, row.Compressed)
		if err != nil {
			return told, Error.New("row %q: its value can't be decompressed: %v", row.Key, err)
		}
		row.Value, row.Compressed = value, nil
	}
	return told, nil
}

// ToLocalClock converts the answer to the clock of the daemon that sent the query. sent is when the query
// was sent, on that clock, and after is the version of the table that the daemon had then. The
// network latency makes the confirmation look older than it is, never younger.
func (told Told) ToLocalClock(sent time.Duration, after int64) Answer {
	answer := told.Answer
	answer.Proven, answer.Base = sent+told.ProvenAfter, after
	if answer.Version < after {
		// This daemon has a newer version, from the store or from another peer.
		answer.Whole, answer.Rows, answer.Version = false, nil, after
	}
	return answer
}
