package dogwoodbuffer

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
)

func TestBounds(t *testing.T) {
	tests := []struct {
		name   string
		memory int64
		want   Bounds
	}{
		{"unknown memory", 0, Bounds{Daemon: 8 << 20, Answer: 512 << 10, Heads: 8 << 20}},
		{"the smallest daemon of S", 136_000_000, Bounds{Daemon: 17_000_000, Answer: 1_062_500, Heads: 17_000_000, Requests: 518}},
		{"the largest daemon", 536_000_000, Bounds{Daemon: 67_000_000, Answer: 4_187_500, Heads: 67_000_000, Requests: 2044}},
		{"little memory", 8 << 20, Bounds{Daemon: 1 << 20, Answer: 64 << 10, Heads: 1 << 20, Requests: 32}},
		{"very little memory", 4 << 20, Bounds{Daemon: 512 << 10, Answer: 64 << 10, Heads: 512 << 10, Requests: 16}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := NewBounds(test.memory); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// operation is one call of a budget with the error that it returns and the answers that it cuts.
type operation struct {
	// answer is the index of an answer; bodies have none.
	kind   string
	answer int
	bytes  int64
	want   error
	cut    []int
}

// The bounds are 1600 bytes for the daemon, 1200 for each kind and 100 for an answer.
func TestBudget(t *testing.T) {
	fill := func(answers int, bytes int64) (operations []operation) {
		for i := range answers {
			operations = append(operations, operation{"reserve", i, bytes, nil, nil})
		}
		return operations
	}
	tests := []struct {
		name       string
		operations []operation
		// answers and bodies are the bytes that are held at the end.
		answers, bodies int64
	}{
		{"an answer up to its bound", []operation{{"reserve", 0, 60, nil, nil}, {"reserve", 0, 40, nil, nil}, {"reserve", 0, 1, ErrAnswerBound, nil}}, 100, 0},
		{"an answer that the caller reads", []operation{{"reserve", 0, 100, nil, nil}, {"release", 0, 40, nil, nil}, {"reserve", 0, 40, nil, nil}}, 100, 0},
		{"an event above the bound, alone", []operation{{"reserve", 0, 500, nil, nil}, {"reserve", 0, 1, ErrAnswerBound, nil}}, 500, 0},
		{"an answer that is held whole", []operation{{"reserve", 0, 100, nil, nil}, {"whole", 0, 300, nil, nil}}, 400, 0},
		{"a release after a cut", []operation{{"whole", 0, 1201, ErrDaemonBound, []int{0}}, {"release", 0, 1201, nil, nil}, {"reserve", 0, 1, ErrDaemonBound, nil}}, 0, 0},
		{"a release after the end", []operation{{"reserve", 0, 50, nil, nil}, {"close", 0, 0, nil, nil}, {"release", 0, 50, nil, nil}}, 0, 0},
		{"the largest answer is cut", slices.Concat(fill(12, 98), []operation{{"reserve", 7, 2, nil, nil}, {"reserve", 12, 50, nil, []int{7}}}), 11*98 + 50, 0},
		{"of equal ones the oldest is cut", slices.Concat(fill(12, 100), []operation{{"reserve", 12, 1, nil, []int{0}}}), 1101, 0},
		{"the answer that asks is the largest", []operation{{"whole", 0, 700, nil, nil}, {"whole", 1, 400, nil, nil}, {"whole", 0, 200, ErrDaemonBound, []int{0}}}, 400, 0},
		{"several are cut for a large one", slices.Concat(fill(12, 100), []operation{{"whole", 12, 99, nil, []int{0}}, {"whole", 13, 150, ErrDaemonBound, []int{13}}}), 1199, 0},
		{"bodies up to their bound", []operation{{"body", 0, 1200, nil, nil}, {"body", 0, 1, ErrDaemonBound, nil}, {"unbody", 0, 10, nil, nil}, {"body", 0, 10, nil, nil}}, 0, 1200},
		{"full answers leave bodies their share", slices.Concat(fill(12, 100), []operation{{"body", 0, 400, nil, nil}, {"body", 0, 1, ErrDaemonBound, nil}}), 1200, 400},
		{"full bodies leave answers their share", slices.Concat([]operation{{"body", 0, 1200, nil, nil}}, fill(4, 100), []operation{{"reserve", 4, 50, nil, []int{0}}}), 350, 1200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := New(Bounds{Daemon: 1600, Answer: 100})
			var cut []int
			var answers []*Answer
			for i := range 20 {
				answers = append(answers, budget.NewAnswer("", func(Cut) { cut = append(cut, i) }))
			}
			for i, operation := range test.operations {
				cut = nil
				var err error
				switch answer := answers[operation.answer]; operation.kind {
				case "reserve":
					err = answer.Reserve(operation.bytes)
				case "whole":
					err = answer.ReserveWhole(operation.bytes)
				case "release":
					answer.Release(operation.bytes)
				case "close":
					answer.Close()
				case "body":
					err = budget.ReserveBody(operation.bytes)
				case "unbody":
					budget.ReleaseBody(operation.bytes)
				}
				if !errors.Is(err, operation.want) || !slices.Equal(cut, operation.cut) {
					t.Errorf("operation %d: got %v and cut %v, want %v and %v", i, err, cut, operation.want, operation.cut)
				}
			}
			if gotAnswers, gotBodies := budget.Held(); gotAnswers != test.answers || gotBodies != test.bodies {
				t.Errorf("got %d and %d bytes, want %d and %d", gotAnswers, gotBodies, test.answers, test.bodies)
			}
		})
	}
}

// Guards against bytes above the daemon's bound, and against bytes that stay counted, for any order of calls.
func TestRandomCallsStayWithinTheBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		budget := New(Bounds{Daemon: 1000, Answer: 200})
		cuts, bodies := map[int]int{}, int64(0)
		var answers []*Answer
		for i := range 10 {
			answers = append(answers, budget.NewAnswer("", func(Cut) { cuts[i]++ }))
		}
		for range 500 {
			answer, bytes := answers[random.IntN(len(answers))], random.Int64N(150)
			switch random.IntN(5) {
			case 0, 1:
				_ = answer.Reserve(bytes) // what is held counts here
			case 2:
				answer.Release(min(bytes, answer.Held()))
			case 3:
				if budget.ReserveBody(bytes) == nil {
					bodies += bytes
				}
			case 4:
				budget.ReleaseBody(min(bytes, bodies))
				bodies -= min(bytes, bodies)
			}
			if heldAnswers, heldBodies := budget.Held(); heldAnswers+heldBodies > 1000 || heldAnswers > 750 || heldBodies > 750 || heldBodies != bodies {
				t.Fatalf("seed %d: got %d and %d bytes, want at most 1000 and %d of bodies", seed, heldAnswers, heldBodies, bodies)
			}
		}
		for i, answer := range answers {
			answer.Close()
			if cuts[i] > 1 {
				t.Errorf("seed %d: got answer %d cut %d times", seed, i, cuts[i])
			}
		}
		if held, _ := budget.Held(); held != 0 {
			t.Errorf("seed %d: got %d bytes left", seed, held)
		}
	}
}

// A smaller bound that is set while answers hold more must be kept from the next reservation on.
func TestSmallerBoundsCutAtTheNextReservation(t *testing.T) {
	budget := New(Bounds{Daemon: 1600, Answer: 100})
	cut := 0
	for range 10 {
		if err := budget.NewAnswer("", func(Cut) { cut++ }).Reserve(100); err != nil {
			t.Fatal(err)
		}
	}
	budget.SetBounds(Bounds{Daemon: 400, Answer: 50})
	if cut != 0 {
		t.Errorf("got %d answers cut by the change itself, want none", cut)
	}
	err := budget.NewAnswer("", func(Cut) { cut++ }).Reserve(50)
	if held, _ := budget.Held(); err != nil || cut != 8 || held != 250 {
		t.Errorf("got %v, %d answers cut and %d bytes, want no error, 8 and 250", err, cut, held)
	}
}

// Guards against a body that takes memory which is not counted, or that takes the memory of its announced size before it
// arrives.
func TestReadAllReservesWhatItKeeps(t *testing.T) {
	content := strings.Repeat("x", 100_000)
	tests := []struct {
		name     string
		reader   io.Reader
		expected int64
		limit    int64
		want     error
	}{
		{"unknown size", strings.NewReader(content), 0, 300_000, nil},
		{"known size", strings.NewReader(content), 100_000, 100_001, nil},
		{"one byte at a time", iotest.OneByteReader(strings.NewReader(content)), 100_000, 100_001, nil},
		{"more than expected", strings.NewReader(content), 1000, 300_000, nil},
		{"less than expected", strings.NewReader("short"), 1 << 30, minRead, nil},
		{"beyond the bound", strings.NewReader(content), 100_000, 50_000, ErrDaemonBound},
		{"a reader that fails", iotest.TimeoutReader(strings.NewReader(content)), 0, 300_000, iotest.ErrTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reserved := int64(0)
			got, err := ReadAll(test.reader, test.expected, func(bytes int64) error {
				if reserved+bytes > test.limit {
					return ErrDaemonBound
				}
				reserved += bytes
				return nil
			})
			if !errors.Is(err, test.want) || reserved != int64(cap(got)) || reserved > test.limit {
				t.Errorf("got %v, %d bytes reserved and %d kept, want %v and as many", err, reserved, cap(got), test.want)
			}
			if err == nil && string(got) != content && string(got) != "short" {
				t.Errorf("got %d bytes, want the whole content", len(got))
			}
		})
	}
}

// Guards against a daemon that takes as many requests as callers send, and against one that cuts callers that read for new ones.
func TestRequestsInProgressAreBounded(t *testing.T) {
	// stream is an answer in progress whose caller was offered its bytes before the request comes.
	type stream struct {
		held   int64
		before time.Duration
		whole  bool
		// taken is true if the caller has taken all bytes, and the answer holds what it keeps for the next ones.
		taken bool
	}
	tests := []struct {
		name    string
		streams []stream
		want    error
		cut     []int
	}{
		{"room", []stream{{held: 100, before: time.Minute}, {}}, nil, nil},
		{"the caller that is behind for longest is cut", []stream{{held: 900, before: 2 * time.Second}, {held: 100, before: 3 * time.Second}, {}}, nil, []int{1}},
		{"a caller that is behind, beside one that has taken all", []stream{{held: 900, before: maxBehind}, {held: 2 << 10, before: time.Minute, taken: true}, {}}, nil, []int{0}},
		{"all callers read", []stream{{held: 60_000, before: maxBehind - 1}, {held: 100}, {}}, ErrDaemonBound, nil},
		{"all callers have taken all", []stream{{held: 2 << 10, before: time.Minute, taken: true}, {held: 60_000, before: time.Minute, taken: true}, {}}, ErrDaemonBound, nil},
		{"an answer that is read whole", []stream{{held: 60_000, before: time.Minute, whole: true}, {}, {}}, ErrDaemonBound, nil},
		{"answers have not begun", []stream{{}, {}, {}}, ErrDaemonBound, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget, now := New(Bounds{Daemon: 1 << 20, Answer: 128 << 10, Requests: 3}), time.Now()
				var cut []int
				for i, stream := range test.streams {
					if err := budget.BeginRequest("a request"); err != nil {
						t.Fatal(err)
					}
					answer := budget.NewAnswer("a request", func(got Cut) {
						cut = append(cut, i)
						if want := (Cut{Bound: BoundRequests, Held: stream.held, Behind: stream.before, For: "a new one"}); got != want {
							t.Errorf("got %+v, want %+v", got, want)
						}
					})
					reserve, offer := answer.Reserve, answer.Offer
					if stream.whole {
						reserve, offer = answer.ReserveWhole, answer.OfferWhole
					}
					time.AfterFunc(time.Minute-stream.before, func() {
						if err := reserve(stream.held); err != nil && stream.held > 0 {
							t.Error(err)
						}
						offer(time.Now())
						if stream.taken || stream.held == 0 {
							answer.Taken()
						}
					})
				}
				time.Sleep(time.Until(now.Add(time.Minute)))
				synctest.Wait()
				if err := budget.BeginRequest("a new one"); !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if !slices.Equal(cut, test.cut) {
					t.Errorf("got answers %v cut, want %v", cut, test.cut)
				}
				budget.EndRequest()
				budget.EndRequest()
				if err := budget.BeginRequest("a later one"); err != nil {
					t.Errorf("got %v after two requests have ended, want room", err)
				}
			})
		})
	}
}

// Guards against callers that read and are cut since a changed setting allows fewer requests than are in progress.
func TestFewerRequestsThanInProgressCutNoCallerThatReads(t *testing.T) {
	budget := New(Bounds{Daemon: 1 << 20, Answer: 128 << 10, Requests: 4})
	for range 4 {
		if err := budget.BeginRequest(""); err != nil {
			t.Fatal(err)
		}
		answer := budget.NewAnswer("", func(cut Cut) { t.Errorf("got an answer cut: %+v", cut) })
		if err := answer.Reserve(2 << 10); err != nil {
			t.Fatal(err)
		}
		answer.Offer(time.Now().Add(-time.Minute))
		answer.Taken()
	}
	budget.SetBounds(Bounds{Daemon: 1 << 20, Answer: 128 << 10, Requests: 2})
	for _, inProgress := range []int{4, 3, 2} {
		if err := budget.BeginRequest(""); !errors.Is(err, ErrDaemonBound) || budget.Requests() != inProgress {
			t.Errorf("got %v and %d requests in progress, want ErrDaemonBound and %d", err, budget.Requests(), inProgress)
		}
		budget.EndRequest()
	}
	if err := budget.BeginRequest(""); err != nil {
		t.Errorf("got %v with one request in progress of 2 allowed, want room", err)
	}
}
