package dogwooddispatch

import (
	"fmt"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// benchMembers is a fleet of daemons and endpoints in 20 data centres of 8 regions.
type benchMembers struct {
	alive     []Member
	endpoints []dogwoodfleet.Endpoint
}

func (members *benchMembers) Alive() []Member                    { return members.alive }
func (members *benchMembers) Endpoints() []dogwoodfleet.Endpoint { return members.endpoints }
func (members *benchMembers) Watch() <-chan struct{}             { return nil }

func newBenchMembers(daemons, endpoints int) *benchMembers {
	place := func(n int) dogwoodfleet.Place {
		dataCentre := n % 20
		return dogwoodfleet.Place{Region: dogwoodfleet.Region(fmt.Sprint(dataCentre % 8)), DataCentre: dogwoodfleet.DataCentre(fmt.Sprint(dataCentre))}
	}
	members := &benchMembers{}
	for n := range daemons {
		members.alive = append(members.alive, Member{Instance: dogwoodfleet.InstanceID(fmt.Sprint("daemon-", n)), Place: place(n)})
	}
	for n := range endpoints {
		members.endpoints = append(members.endpoints, dogwoodfleet.Endpoint{
			ID: dogwoodfleet.EndpointID(fmt.Sprint("engine-", n)), Service: "pool", Kind: dogwoodfleet.EnginePool, Place: place(n), InForce: true,
		})
	}
	return members
}

var benchSizes = []struct{ daemons, endpoints int }{{8, 16}, {25, 295}, {500, 5900}}

func newBenchOwners(members *benchMembers) *Owners {
	return NewOwners(OwnersOptions{
		Self: members.alive[0].Instance, Place: members.alive[0].Place, Members: members,
		Local: dogwoodowner.New(dogwoodowner.Options{Self: members.alive[0].Instance}),
	})
}

// BenchmarkCandidates measures the choice of the owners that one request is sent to.
func BenchmarkCandidates(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d daemons, %d endpoints", size.daemons, size.endpoints), func(b *testing.B) {
			owners := newBenchOwners(newBenchMembers(size.daemons, size.endpoints))
			acquireRequest := dogwoodowner.AcquireRequest{Request: dogwoodfleet.Request{Service: "pool", Blocks: []uint64{7}}}
			b.ReportAllocs()
			for b.Loop() {
				chooser := owners.chooser(&acquireRequest)
				for range maxOwnersAsked {
					if _, ok := chooser.nextOwner(); !ok {
						b.Fatal("got fewer owners than maxOwnersAsked")
					}
				}
			}
		})
	}
}

// BenchmarkOwnership measures the assignment of all endpoints to owners after a change.
func BenchmarkOwnership(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d daemons, %d endpoints", size.daemons, size.endpoints), func(b *testing.B) {
			members := newBenchMembers(size.daemons, size.endpoints)
			for b.Loop() {
				newOwnership(members.alive[0].Place, members.alive, members.endpoints)
			}
		})
	}
}
