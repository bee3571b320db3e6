package dogwooddispatch

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// unreachablePeers is a Caller whose calls all fail.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, netip.AddrPort, string, any, any) error {
	return errors.New("peer is unreachable")
}

// The network between daemons is partitioned, while endpoints can still be reached. An entry
// daemon that reaches no owner continues with its share of the endpoints that recently gave it
// good answers, and never uses one that reported itself as cold, that died, or whose last
// answer is too old. Requests beyond the share wait and are refused as not run at their
// deadline.
func TestFallbackWhenNoOwnerIsReachable(t *testing.T) {
	tests := []struct {
		name   string
		before dogwoodowner.Release // result of the endpoint's last request
		pause  time.Duration
		want   int // number of requests that get a slot, of four
	}{
		{name: "warm", before: dogwoodowner.Release{Result: dogwoodfleet.ResultDone}, want: 2},
		{name: "cold", before: dogwoodowner.Release{Result: dogwoodfleet.ResultDone, Cold: true}, want: 0},
		{name: "died", before: dogwoodowner.Release{Result: dogwoodfleet.ResultDied}, want: 0},
		{name: "last answer too old", before: dogwoodowner.Release{Result: dogwoodfleet.ResultDone}, pause: warmTTL + time.Second, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := newBenchMembers(21, 1)
				self := members.alive[20] // in the endpoint's data centre, like its owner
				self.Leaving = true       // so that it owns no endpoint
				members.alive = []Member{members.alive[0], self}
				text := &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: "pool", ColdLimit: 1, WarmLimit: 4}}}
				owners := NewOwners(OwnersOptions{
					Self: self.Instance, Place: self.Place, Members: members, Caller: unreachablePeers{},
					Local: dogwoodowner.New(dogwoodowner.Options{Self: self.Instance, Text: text}),
					Text:  func() *dogwoodsettings.Text { return text }, Logger: hclog.NewNullLogger(),
				})
				owners.recordResult(&dogwoodowner.Grant{Endpoint: members.endpoints[0]}, &test.before)
				time.Sleep(test.pause)
				granted := 0
				for range 4 {
					deadline := time.Now().Add(2 * time.Second)
					ctx, cancel := context.WithDeadline(t.Context(), deadline)
					acquireRequest := &dogwoodowner.AcquireRequest{Request: dogwoodfleet.Request{Service: "pool", Deadline: deadline}, Budget: 2 * time.Second}
					grant, err := owners.Acquire(ctx, acquireRequest)
					cancel()
					var refusal *dogwoodowner.Refusal
					switch {
					case err == nil && strings.HasSuffix(string(grant.ID.Owner), fallbackSuffix):
						granted++
					case !errors.As(err, &refusal) || refusal.Reason != dogwoodfleet.ReasonDeadline || !refusal.NotRun:
						t.Errorf("got %v %v, want a fallback slot or a refusal at the deadline, not run", grant, err)
					}
				}
				if granted != test.want {
					t.Errorf("got %d slots, want %d", granted, test.want)
				}
				owners.Wait()
			})
		})
	}
}
