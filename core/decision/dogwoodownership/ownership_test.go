package dogwoodownership

import (
	"fmt"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

func newMembers(count int, centre dogwoodfleet.DataCentre) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{
			Instance: dogwoodfleet.InstanceID(fmt.Sprintf("%s-%d", centre, i)),
			Place:    dogwoodfleet.Place{Region: "r", DataCentre: centre},
		}
	}
	return members
}

func newEndpoint(number int) *dogwoodfleet.Endpoint {
	return &dogwoodfleet.Endpoint{
		ID: dogwoodfleet.EndpointID(fmt.Sprintf("endpoint-%d", number)), Place: dogwoodfleet.Place{Region: "r", DataCentre: "a"},
	}
}

// Guards against a restart that moves every queue: when a daemon leaves, only the endpoints that it
// owned may get another owner.
func TestOwnersAreBalancedAndStable(t *testing.T) {
	const endpoints, daemons = 5900, 25
	members := newMembers(daemons, "a")
	owned := make([]int, daemons)
	moved := 0
	for i := range endpoints {
		before := Owner(newEndpoint(i), members)
		owned[before]++
		if after := Owner(newEndpoint(i), members[1:]); before != 0 && after+1 != before {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("endpoints that moved although their owner stayed: got %d, want 0", moved)
	}
	for i, got := range owned {
		if mean := endpoints / daemons; got < mean/2 || got > mean*3/2 {
			t.Errorf("daemon %d: got %d endpoints, want about %d", i, got, mean)
		}
	}
}

func TestOwnerIsNearAndNotLeaving(t *testing.T) {
	near, far := newMembers(2, "a"), newMembers(2, "b")
	leaving := newMembers(1, "a")
	leaving[0].Leaving = true
	tests := []struct {
		name  string
		alive []Member
		want  dogwoodfleet.DataCentre
	}{
		{name: "same data centre first", alive: append(far, near...), want: "a"},
		{name: "otherwise the same region", alive: far, want: "b"},
		{name: "no leaving member", alive: append(leaving, far...), want: "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			index := Owner(newEndpoint(1), test.alive)
			if got := test.alive[index].Place.DataCentre; got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
	if got, want := Owner(newEndpoint(1), leaving), -1; got != want {
		t.Errorf("all members leaving: got %d, want %d", got, want)
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, daemons := range []int{8, 25, 500} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			members, endpoint := newMembers(daemons, "a"), newEndpoint(1)
			b.ReportAllocs()
			for b.Loop() {
				Owner(endpoint, members)
			}
		})
	}
}
