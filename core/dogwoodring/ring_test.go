package dogwoodring

import (
	"context"
	"errors"
	"slices"
	"testing"
)

func TestRingWhenFull(t *testing.T) {
	tests := []struct {
		name     string
		whenFull WhenFull
		wantPut  bool
		want     []int
	}{
		{name: "reject keeps queued values", whenFull: Reject, wantPut: false, want: []int{1, 2}},
		{name: "drop oldest keeps the newest", whenFull: DropOldest, wantPut: true, want: []int{2, 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ring := New[int]("test", 2, test.whenFull)
			ring.Put(1)
			ring.Put(2)
			if got := ring.Put(3); got != test.wantPut {
				t.Errorf("got %v, want %v", got, test.wantPut)
			}
			var got []int
			for range 2 {
				value, err := ring.Take(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, value)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestPutWaitReturnsWhenContextEnds(t *testing.T) {
	ring := New[int]("test", 1, Wait)
	if err := ring.PutWait(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if got := ring.PutWait(cancelled, 2); !errors.Is(got, context.Canceled) {
		t.Errorf("got %v, want %v", got, context.Canceled)
	}
	if got, want := ring.Len(), 1; got != want {
		t.Errorf("got %d values, want %d", got, want)
	}
}
