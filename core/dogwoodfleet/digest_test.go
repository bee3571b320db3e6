package dogwoodfleet

import (
	"fmt"
	"testing"
)

// Guards against equal digests of requests that differ only in where a part ends, and against different ones of copies.
func TestDigest(t *testing.T) {
	digestOf := func(customer Customer, body string, parts ...string) Digest {
		digester := NewDigester(customer, parts...)
		_, _ = digester.Write([]byte(body)) // a hash returns no error
		return digester.Digest()
	}
	tests := []struct {
		name        string
		first, next Digest
		equal       bool
	}{
		{"copies", digestOf("c", "body", "POST", "/x"), digestOf("c", "body", "POST", "/x"), true},
		{"another customer", digestOf("c", "body", "POST", "/x"), digestOf("d", "body", "POST", "/x"), false},
		{"another body", digestOf("c", "body", "POST", "/x"), digestOf("c", "bodies", "POST", "/x"), false},
		{"a part that ends elsewhere", digestOf("c", "body", "POST", "/x"), digestOf("c", "body", "POS", "T/x"), false},
		{"a part that belongs to the body", digestOf("c", "body", "POST", "/x"), digestOf("c", "/xbody", "POST"), false},
	}
	for _, test := range tests {
		if got := test.first == test.next; got != test.equal {
			t.Errorf("%s: got equal %t, want %t", test.name, got, test.equal)
		}
	}
}

// BenchmarkDigest measures what the digest adds to a request, by the size of its body.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{1 << 10, 32 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				digester := NewDigester("customer", "POST", "host", "/target")
				_, _ = digester.Write(body) // a hash returns no error
				_ = digester.Digest()
			}
		})
	}
}
