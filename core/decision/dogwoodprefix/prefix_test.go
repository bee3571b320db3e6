package dogwoodprefix

import (
	"bytes"
	"testing"
)

// A block's hash must cover the text before the block, too. Otherwise prompts that differ at the
// beginning and agree later would count as sharing a prefix.
func TestBlocksChain(t *testing.T) {
	text := bytes.Repeat([]byte("a"), 4*BlockBytes+7)
	blocks := Blocks(text, 8)
	if got, want := len(blocks), 4; got != want {
		t.Fatalf("got %d blocks, want %d", got, want)
	}
	if blocks[0] == blocks[1] {
		t.Error("got equal hashes for equal blocks at two positions, want them to depend on the preceding text")
	}
	changed := bytes.Clone(text)
	changed[0] = 'b'
	for i, block := range Blocks(changed, 8) {
		if block == blocks[i] {
			t.Errorf("block %d: got an equal hash after a different beginning", i)
		}
	}
	if got, want := len(Blocks(text, 2)), 2; got != want {
		t.Errorf("got %d blocks, want %d", got, want)
	}
}

// Guards against stale hints: if events are lost, evictions may be among them, and an index that
// kept the other blocks would report prefixes long after the engine evicted them.
func TestIndex(t *testing.T) {
	add := func(sequence uint64, blocks ...uint64) Event { return Event{Sequence: sequence, Blocks: blocks} }
	tests := []struct {
		name  string
		apply func(index *Index)
		want  int
	}{
		{name: "in order", apply: func(index *Index) { index.Apply("e", "i", []Event{add(1, 10), add(2, 11)}, false) }, want: 2},
		{name: "evicted", apply: func(index *Index) {
			index.Apply("e", "i", []Event{add(1, 10, 11), {Sequence: 2, Evicted: true, Blocks: []uint64{11}}}, false)
		}, want: 1},
		{name: "gap in the sequence", apply: func(index *Index) { index.Apply("e", "i", []Event{add(1, 10, 11), add(3, 10)}, false) }, want: 1},
		{name: "reported gap", apply: func(index *Index) {
			index.Apply("e", "i", []Event{add(1, 10, 11)}, false)
			index.Apply("e", "i", []Event{add(9, 10)}, true)
		}, want: 1},
		{name: "already applied", apply: func(index *Index) {
			index.Apply("e", "i", []Event{add(1, 10), add(2, 11)}, false)
			index.Apply("e", "i", []Event{add(1, 10)}, false)
		}, want: 2},
		{name: "new instance", apply: func(index *Index) {
			index.Apply("e", "i", []Event{add(1, 10, 11)}, false)
			index.Apply("e", "j", []Event{add(1, 10)}, false)
		}, want: 1},
		{name: "expected", apply: func(index *Index) { index.AddExpected("e", []uint64{10, 11, 12}) }, want: 3},
		{name: "forgotten", apply: func(index *Index) {
			index.AddExpected("e", []uint64{10, 11, 12})
			index.RemoveEngine("e")
		}, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			index := NewIndex()
			test.apply(index)
			if got := index.Hits("e", []uint64{10, 11, 12}); got != test.want {
				t.Errorf("got %d leading blocks, want %d", got, test.want)
			}
		})
	}
}

func BenchmarkHits(b *testing.B) {
	index := NewIndex()
	blocks := make([]uint64, 64)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	index.AddExpected("e", blocks)
	b.ReportAllocs()
	for b.Loop() {
		index.Hits("e", blocks)
	}
}
