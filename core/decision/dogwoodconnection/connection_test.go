package dogwoodconnection

import "testing"

// Guards against listeners that together take the descriptors of the connections that a daemon opens itself, and against a listener of
// callers that has fewer connections than the daemon's memory bears requests.
func TestBounds(t *testing.T) {
	const requestBytes, memoryPerRequests = 128 << 10, 2 // as in dogwoodbuffer
	tests := []struct {
		name    string
		sockets int
		memory  int64
		want    Bounds
	}{
		{"the smallest daemon of S", 2_670, 136_000_000, Bounds{Callers: 778, Forwards: 259, Directory: 129, Readiness: 64, Metrics: 64, Handshakes: 129}},
		{"284 MB", 3_900, 284_000_000, Bounds{Callers: 1_462, Forwards: 487, Directory: 243, Readiness: 121, Metrics: 121, Handshakes: 243}},
		{"536 MB", 7_992, 536_000_000, Bounds{Callers: 2_997, Forwards: 999, Directory: 499, Readiness: 249, Metrics: 249, Handshakes: 499}},
		{"unknown", 0, 0, Bounds{Callers: 1_536, Forwards: 512, Directory: 256, Readiness: 128, Metrics: 128, Handshakes: 256}},
		{"few descriptors", 100, 136_000_000, Bounds{Callers: 37, Forwards: 12, Directory: 6, Readiness: 3, Metrics: 3, Handshakes: 6}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := NewBounds(test.sockets, test.memory)
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if requests := int(test.memory / memoryPerRequests / requestBytes); got.Callers < requests && test.sockets > 1000 {
				t.Errorf("got %d connections of callers, want at least %d, one for each request in progress", got.Callers, requests)
			}
			all := got.Callers + got.Forwards + got.Directory + got.Readiness + got.Metrics + got.Handshakes
			if test.sockets > 0 && all > test.sockets*3/4 {
				t.Errorf("got %d connections in all, want at most three quarters of %d", all, test.sockets)
			}
		})
	}
}
