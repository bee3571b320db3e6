package dogwoodcaller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"dogwoodmux.example/core/dogwoodsettings"
)

// keyring finds the customer of an API key. The operators' text contains only digests of
// the keys, so that a reader of the text can't send requests as a customer.
type keyring struct {
	decoded atomic.Pointer[decodedKeys]
}

// decodedKeys caches the decoded digests of one version of the operators' text.
type decodedKeys struct {
	text *dogwoodsettings.Text
	keys []customerKey
}

type customerKey struct {
	digest        []byte
	customerIndex int
}

const bearerPrefix = "Bearer "

// customer returns the customer of the key in an Authorization header, or nil if there is
// none. It compares every digest, each in constant time, so that its duration reveals
// nothing about the keys.
func (ring *keyring) customer(text *dogwoodsettings.Text, authorization string) *dogwoodsettings.Customer {
	if len(authorization) <= len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return nil
	}
	digest := sha256.Sum256([]byte(authorization[len(bearerPrefix):]))
	found := -1
	for _, key := range ring.customerKeys(text) {
		if subtle.ConstantTimeCompare(digest[:], key.digest) == 1 {
			found = key.customerIndex
		}
	}
	if found < 0 {
		return nil
	}
	return &text.Customers[found]
}

func (ring *keyring) customerKeys(text *dogwoodsettings.Text) []customerKey {
	if decoded := ring.decoded.Load(); decoded != nil && decoded.text == text {
		return decoded.keys
	}
	decoded := &decodedKeys{text: text}
	for i := range text.Customers {
		for _, encoded := range text.Customers[i].KeySHA256 {
			digest, err := hex.DecodeString(encoded)
			if err != nil || len(digest) != sha256.Size {
				continue // the check of the operators' text rejects such a digest
			}
			decoded.keys = append(decoded.keys, customerKey{digest: digest, customerIndex: i})
		}
	}
	ring.decoded.Store(decoded)
	return decoded.keys
}
