package dogwoodpacking

import (
	"fmt"
	"testing"
	"time"
)

// The cost of a decision on a long prompt without more urgent requests on the board (rank 0), with some (rank 2), and while it yields to
// them, which is repeated for as long as it waits. Three quarters of the engines decode urgent answers.
func BenchmarkPlaceLongPrompt(b *testing.B) {
	tests := []struct {
		name          string
		rank, answers int
		want          Refusal
	}{{"yields to none", 0, 9, Placed}, {"less urgent", 2, 9, Placed}, {"waits", 2, 15, Yields}}
	for _, engines := range []int{78, 1000} {
		for _, test := range tests {
			b.Run(fmt.Sprintf("%d engines, %s", engines, test.name), func(b *testing.B) {
				now := time.Now()
				board := urgentPool(b, now, engines, engines*3/4, test.answers)
				for i := range engines * 3 { // the peak is above the requests
					board.Put(now, Work{ID: WorkID(fmt.Sprint("gone", i)), Service: "models", Rank: 0, Until: now})
				}
				if test.want == Placed {
					board = urgentPool(b, now, engines, engines*3/4, test.answers)
				} else {
					for i := range max(engines/10, 1) { // the rank has its minimum
						board.Put(now, Work{ID: WorkID(fmt.Sprint("own", i)), Service: "models", Endpoint: engineEndpoint(engines - 1 - i).ID, Rank: 2, Prompt: 200_000, Reading: 4 * time.Second, Aim: time.Second, Begun: now, Until: now.Add(time.Minute)})
					}
				}
				for b.Loop() {
					request := lessUrgent(now, 200_000)
					request.Rank = test.rank
					if _, refusal := board.Place(now, request); refusal != test.want {
						b.Fatalf("got refusal %q, want %q", refusal, test.want)
					}
					board.End(request.ID)
				}
			})
		}
	}
}

// The cost of the demand alone, which each decision on a long prompt of a less urgent rank counts.
func BenchmarkRankDemand(b *testing.B) {
	for _, engines := range []int{78, 1000} {
		b.Run(fmt.Sprintf("%d engines", engines), func(b *testing.B) {
			now := time.Now()
			board, request := urgentPool(b, now, engines, engines*3/4, 9), lessUrgent(now, 200_000)
			for b.Loop() {
				board.rankDemand(now, request, nil)
			}
		})
	}
}
