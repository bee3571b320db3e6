package dogwoodfleet

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// Digest identifies a request's customer and content. Equal requests have equal digests.
type Digest [sha256.Size]byte

// shortDigestBytes is the length of a digest in log lines.
const shortDigestBytes = 6

// String returns the start of the digest in hexadecimal, for log lines.
func (digest Digest) String() string { return hex.EncodeToString(digest[:shortDigestBytes]) }

// Digester computes a Digest while a body is read. It is an io.Writer for the last part.
type Digester struct {
	hash.Hash
}

// NewDigester returns a digester of a customer's request. The parts go before the bytes written to it.
func NewDigester(customer Customer, parts ...string) Digester {
	digester := Digester{sha256.New()}
	for _, part := range append([]string{string(customer)}, parts...) {
		_, _ = digester.Write(append([]byte(part), 0)) // a hash returns no error
	}
	return digester
}

// Digest returns the digest of what was written so far.
func (digester Digester) Digest() Digest { return Digest(digester.Sum(nil)) }
