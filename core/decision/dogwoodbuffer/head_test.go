package dogwoodbuffer

import (
	"errors"
	"slices"
	"testing"
)

// headOperation is a reservation of a head, or its completion, with the heads that are cut for it.
type headOperation struct {
	kind  string
	head  int
	bytes int64
	want  error
	cut   []int
}

// Guards against heads that stop arriving, or that are large, and take the memory of those of ordinary callers. The bound is 400 KiB, of
// which large heads have 300.
func TestHeads(t *testing.T) {
	const kib = 1 << 10
	tests := []struct {
		name       string
		operations []headOperation
		want       int64
	}{
		{"a head alone above the bound", []headOperation{{"reserve", 0, 500 * kib, nil, nil}, {"complete", 0, 600 * kib, nil, nil}}, 600 * kib},
		{"the largest that arrives is cut", []headOperation{
			{"reserve", 0, 200 * kib, nil, nil}, {"reserve", 1, 90 * kib, nil, nil}, {"reserve", 2, 60 * kib, nil, []int{0}},
		}, 150 * kib},
		{"of equal ones the oldest", []headOperation{
			{"reserve", 0, 150 * kib, nil, nil}, {"reserve", 1, 150 * kib, nil, nil}, {"reserve", 2, 150 * kib, nil, []int{0}},
		}, 300 * kib},
		{"the one that grows is the largest", []headOperation{
			{"reserve", 0, 150 * kib, nil, nil}, {"reserve", 1, 160 * kib, ErrDaemonBound, []int{}},
		}, 150 * kib},
		{"a head that was cut", []headOperation{
			{"reserve", 0, 200 * kib, nil, nil}, {"reserve", 1, 150 * kib, nil, []int{0}}, {"reserve", 0, 1, ErrDaemonBound, nil}, {"complete", 0, 1, ErrDaemonBound, nil},
		}, 150 * kib},
		{"one that has arrived is not cut", []headOperation{
			{"reserve", 0, 100 * kib, nil, nil}, {"complete", 0, 290 * kib, nil, nil}, {"reserve", 1, 100 * kib, ErrDaemonBound, nil},
		}, 290 * kib},
		{"a small head beside large ones", []headOperation{
			{"complete", 0, 300 * kib, nil, nil}, {"reserve", 1, 40 * kib, ErrDaemonBound, nil}, {"reserve", 2, 32 * kib, nil, nil},
		}, 332 * kib},
		{"small heads fill the bound", []headOperation{
			{"complete", 0, 300 * kib, nil, nil},
			{"complete", 1, 32 * kib, nil, nil},
			{"complete", 2, 32 * kib, nil, nil},
			{"complete", 3, 32 * kib, nil, nil},
			{"complete", 4, 32 * kib, ErrDaemonBound, nil},
		}, 396 * kib},
		{"memory of a head that has ended", []headOperation{
			{"complete", 0, 300 * kib, nil, nil}, {"close", 0, 0, nil, nil}, {"complete", 1, 300 * kib, nil, nil},
		}, 300 * kib},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := New(Bounds{Heads: 400 * kib})
			var cut []int
			heads := make([]*Head, 5)
			for i := range heads {
				heads[i] = budget.NewHead(func() { cut = append(cut, i) })
			}
			for _, operation := range test.operations {
				cut = nil
				var err error
				switch head := heads[operation.head]; operation.kind {
				case "reserve":
					err = head.Reserve(operation.bytes)
				case "complete":
					err = head.Complete(operation.bytes)
				case "close":
					head.Close()
				}
				if !errors.Is(err, operation.want) || !slices.Equal(cut, operation.cut) {
					t.Errorf("%+v: got %v and cuts of %v", operation, err, cut)
				}
			}
			if got := budget.HeadBytes(); got != test.want {
				t.Errorf("got %d bytes, want %d", got, test.want)
			}
		})
	}
}
