package dogwoodbuffer

import (
	"errors"
	"io"
)

// minRead is the least room for which a reader is asked.
const minRead = 512

// ReadAll reads a reader to its end as io.ReadAll does, and calls reserve before it takes memory for what it reads. The
// memory that it keeps is the capacity of the returned data, also if it returns an error. expected is the number of bytes
// that are expected, 0 if it is not known; memory is taken as they arrive.
func ReadAll(reader io.Reader, expected int64, reserve func(bytes int64) error) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			grown := int64(max(2*cap(data), minRead))
			if expected > int64(len(data)) {
				grown = min(grown, expected+1) // one more, in which the end shows
			}
			if err := reserve(grown - int64(cap(data))); err != nil {
				return data, err
			}
			larger := make([]byte, len(data), grown)
			copy(larger, data)
			data = larger
		}
		count, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
