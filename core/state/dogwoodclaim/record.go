package dogwoodclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// The states of a claim's row.
const (
	stateRunning  = "Running"
	stateAnswered = "Answered"
)

// record is the value of a claim's row.
type record struct {
	Customer dogwoodfleet.Customer
	Service  dogwoodfleet.Service
	Key      string
	Digest   string
	Try      string // the id of the attempt that holds the claim
	Holder   dogwoodfleet.InstanceID
	State    string
	At       time.Time
	// Answer is set if State is Answered. Its body is empty if it is stored in the object
	// store; Object is then its name there.
	Answer *Answer `json:",omitempty"`
	Object string  `json:",omitempty"`
}

// newRecord returns the record of a claim in state Running.
func newRecord(key Key, digest dogwoodfleet.Digest, attemptID string, holder dogwoodfleet.InstanceID) record {
	return record{
		Customer: key.Customer,
		Service:  key.Service,
		Key:      key.Key,
		Digest:   hex.EncodeToString(digest[:]),
		Try:      attemptID,
		Holder:   holder,
		State:    stateRunning,
		At:       time.Now().UTC(),
	}
}

func (record record) encode() []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(Error.Wrap(err)) // every field of a record can be encoded as JSON
	}
	return encoded
}

func decodeRecord(value []byte) (record, error) {
	var decoded record
	err := json.Unmarshal(value, &decoded)
	return decoded, Error.Wrap(err)
}

// row returns the key of the claim's row, a digest since callers may choose long keys. The
// lengths distinguish ("a", "bc") from ("ab", "c").
func (key Key) row() string {
	text := fmt.Sprintf("%d:%s %d:%s %s", len(key.Customer), key.Customer, len(key.Service), key.Service, key.Key)
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:])
}
