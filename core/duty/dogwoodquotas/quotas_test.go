package dogwoodquotas_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
	"dogwoodmux.example/core/duty/dogwoodquotas"
)

// network carries the calls between daemons' quotas, by address. While it is down, all calls
// fail.
type network struct {
	mutex     sync.Mutex
	receivers map[netip.AddrPort]*dogwoodquotas.Receiver
	down      bool
}

func (network *network) Call(_ context.Context, peer netip.AddrPort, _ string, args, reply any) error {
	network.mutex.Lock()
	receiver, down := network.receivers[peer], network.down
	network.mutex.Unlock()
	if down {
		return errors.New("unreachable")
	}
	return receiver.Report(args.(dogwoodquotas.ReportArgs), reply.(*dogwoodquotas.ReportReply))
}

// countAdmitted sends a customer's requests at a rate through all entry daemons in turn and returns
// how many were admitted.
func countAdmitted(entries []*dogwoodquotas.Quotas, perSecond int, duration time.Duration) int {
	count := 0
	for i := range int(duration.Seconds()) * perSecond {
		request := dogwoodfleet.Request{Customer: "one", PromptTokens: 1000}
		if entries[i%len(entries)].Admit(&request) == nil {
			count++
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return count
}

// A customer sends three times its limit through four daemons, and then the daemons can't reach
// each other. If each daemon applied the whole limit, the customer would get four times its
// limit. Without shares that remain valid in the outage it would get either that or nothing.
func TestLimitHoldsAcrossDaemonsAndThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		text := &dogwoodsettings.Text{Customers: []dogwoodsettings.Customer{{Name: "one", RequestsPerSecond: 40}}}
		network := &network{receivers: map[netip.AddrPort]*dogwoodquotas.Receiver{}}
		var members []dogwoodquotas.Member
		var entries []*dogwoodquotas.Quotas
		var group sync.WaitGroup
		for i := range 4 {
			member := dogwoodquotas.Member{
				Instance: dogwoodfleet.InstanceID(rune('a' + i)), Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
			}
			members = append(members, member)
			quotas := dogwoodquotas.New(dogwoodquotas.Options{
				Self: member.Instance, Text: func() *dogwoodsettings.Text { return text }, Caller: network,
				Alive: func() []dogwoodquotas.Member { return members }, Logger: hclog.NewNullLogger(),
			})
			network.receivers[member.Peer] = dogwoodquotas.NewReceiver(quotas)
			entries = append(entries, quotas)
		}
		for _, entry := range entries {
			group.Go(func() { _ = entry.Keep(ctx) })
		}
		time.Sleep(time.Second)
		countAdmitted(entries, 120, 10*time.Second)
		if got, minimum, maximum := countAdmitted(entries, 120, 20*time.Second), 20*30, 20*42; got < minimum || got > maximum {
			t.Errorf("at three times the limit: got %d in 20 s, want %d to %d", got, minimum, maximum)
		}
		network.mutex.Lock()
		network.down = true
		network.mutex.Unlock()
		if got, maximum := countAdmitted(entries, 120, 20*time.Second), 20*42; got == 0 || got > maximum {
			t.Errorf("in the outage: got %d in 20 s, want some and at most %d", got, maximum)
		}
		cancel()
		group.Wait()
	})
}

// countingSlots counts the requests that acquire a slot.
type countingSlots struct{ acquired int }

func (slots *countingSlots) Acquire(context.Context, *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	slots.acquired++
	return dogwoodowner.Grant{}, nil
}
func (*countingSlots) ToldCold(context.Context, dogwoodfleet.Endpoint, dogwoodfleet.InstanceID) {}

func (*countingSlots) Began(dogwoodowner.Grant, time.Time)                               {}
func (*countingSlots) Release(context.Context, dogwoodowner.Grant, dogwoodowner.Release) {}

// A customer that seldom sends requests may send two at once through an entry daemon without a
// share. The others must be rejected as not run.
func TestRefusalOverTheLimitSaysNotRun(t *testing.T) {
	text := &dogwoodsettings.Text{Customers: []dogwoodsettings.Customer{{Name: "one", RequestsPerSecond: 1}}}
	quotas := dogwoodquotas.New(dogwoodquotas.Options{
		Self: "a", Text: func() *dogwoodsettings.Text { return text }, Logger: hclog.NewNullLogger(),
	})
	slots := &countingSlots{}
	limited := quotas.Limited(slots)
	var refusal *dogwoodowner.Refusal
	for range 5 {
		_, err := limited.Acquire(t.Context(), &dogwoodowner.AcquireRequest{Request: dogwoodfleet.Request{Customer: "one"}, Try: 1})
		errors.As(err, &refusal)
	}
	if refusal == nil || refusal.Reason != dogwoodfleet.ReasonLimit || !refusal.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal over the limit, not run, with a time to retry", refusal)
	}
	if got, want := slots.acquired, 2; got != want {
		t.Errorf("requests that acquired a slot: got %d, want %d", got, want)
	}
}
