package dogwooddispatch

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// slowOwner is a Caller that reaches the owner of another daemon, which grants slots late or
// never.
type slowOwner struct {
	grantsAfter time.Duration // 0: never

	mutex sync.Mutex
	log   []string
}

func (slow *slowOwner) Call(ctx context.Context, _ netip.AddrPort, method string, args, reply any) error {
	slow.mutex.Lock()
	slow.log = append(slow.log, method)
	slow.mutex.Unlock()
	if method != "Owner.Acquire" {
		return nil
	}
	if slow.grantsAfter == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(slow.grantsAfter)
	reply.(*AcquireReply).Grant = dogwoodowner.Grant{ID: dogwoodowner.GrantID{Owner: args.(dogwoodowner.AcquireRequest).Holder, Number: 9}}
	return nil
}

// A short request is sent to an owner whose engines are full of long requests. It must not
// wait there for seconds while another owner's engine is idle. A grant that the first owner
// issues too late must be released, or its slot stays occupied.
func TestShortRequestIsHedgedAtSecondOwner(t *testing.T) {
	tests := []struct {
		name        string
		grantsAfter time.Duration
		tokens      int
		wantID      dogwoodfleet.RequestID
		wantLog     []string
	}{
		{name: "the second owner grants", tokens: 500, wantID: "r-h", wantLog: []string{"Owner.Acquire", "Owner.Withdraw"}},
		{name: "the late grant of the first owner is released", grantsAfter: 2 * time.Second, tokens: 500, wantID: "r-h", wantLog: []string{"Owner.Acquire", "Owner.Release"}},
		{name: "a fast first owner is the only one asked", grantsAfter: 100 * time.Millisecond, tokens: 500, wantID: "r", wantLog: []string{"Owner.Acquire"}},
		{name: "a long request is not hedged", grantsAfter: 2 * time.Second, tokens: 100_000, wantID: "r", wantLog: []string{"Owner.Acquire"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := newBenchMembers(2, 0)
				members.alive[1].Place = members.alive[0].Place
				self, slowMember := members.alive[0], members.alive[1]
				engine := dogwoodfleet.Endpoint{Service: "pool", Kind: dogwoodfleet.EnginePool, Place: self.Place, InForce: true}
				for _, id := range []dogwoodfleet.EndpointID{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5"} {
					engine.ID = id
					members.endpoints = append(members.endpoints, engine)
				}
				text := &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: "pool", ColdLimit: 1, WarmLimit: 4}}}
				local := dogwoodowner.New(dogwoodowner.Options{Self: self.Instance, Text: text})
				slow := &slowOwner{grantsAfter: test.grantsAfter}
				owners := NewOwners(OwnersOptions{
					Self: self.Instance, Place: self.Place, Members: members, Local: local, Caller: slow,
					Text: func() *dogwoodsettings.Text { return text }, Logger: hclog.NewNullLogger(),
				})
				owners.updateOwned()
				time.Sleep(dogwoodowner.SettleTimeout)
				acquireRequest := &dogwoodowner.AcquireRequest{Request: dogwoodfleet.Request{
					ID: "r", Service: "pool", PromptTokens: test.tokens, MaxTokens: 10, Deadline: time.Now().Add(30 * time.Second),
				}, Holder: self.Instance, Budget: 30 * time.Second}
				if _, err := owners.acquireHedged(t.Context(), slowMember, acquireRequest); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				if got := acquireRequest.Request.ID; got != test.wantID {
					t.Errorf("got the grant of %s, want %s", got, test.wantID)
				}
				slow.mutex.Lock()
				defer slow.mutex.Unlock()
				if !slices.Equal(slow.log, test.wantLog) {
					t.Errorf("got the calls %q, want %q", slow.log, test.wantLog)
				}
				owners.Wait()
			})
		})
	}
}
