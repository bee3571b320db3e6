package dogwoodburncounts

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

var text = &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{
	Name:       "redacteur",
	Objectives: dogwoodsettings.Objectives{InTime: 0.99},
}}}

// network connects keepers in memory. A daemon that is down does not answer.
type network struct {
	keepers map[netip.AddrPort]*Keeper
	down    map[netip.AddrPort]bool
}

var errDown = errors.New("no answer")

func (network *network) Call(_ context.Context, peer netip.AddrPort, method string, args, reply any) error {
	keeper, known := network.keepers[peer]
	if !known || network.down[peer] {
		return errDown
	}
	if method == "Burn.Keep" {
		return keeper.Service().Keep(args.(dogwoodburn.Snapshot), reply.(*Kept))
	}
	return keeper.Service().Holdings(args.(HoldingsArgs), reply.(*Holdings))
}

func member(vm dogwoodfleet.VM, instance dogwoodfleet.InstanceID, port uint16) Member {
	return Member{VM: vm, Instance: instance, Peer: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)}
}

// start adds a daemon to the network. All daemons share members, so each of them sees a
// replaced member.
func (network *network) start(self Member, members *[]Member) *Keeper {
	keeper := New(Options{
		Self:   self,
		Caller: network,
		Members: func() []Member {
			return slices.DeleteFunc(slices.Clone(*members), func(member Member) bool { return member == self })
		},
		Text:   func() *dogwoodsettings.Text { return text },
		Logger: hclog.NewNullLogger(),
	})
	network.keepers[self.Peer] = keeper
	return keeper
}

func recordAnswered(keeper *Keeper, count int) {
	for range count {
		keeper.Record(dogwoodburn.Outcome{Service: "redacteur", Customer: "laval", Class: dogwoodburn.Answered, InTime: true})
	}
}

func totalRequests(report dogwoodburn.Report) uint64 {
	if len(report.Lines) == 0 {
		return 0
	}
	return report.Lines[0].Windows[0].Total
}

// A daemon dies half a minute after it sent its last copy, and a new instance replaces it. The
// burn report must include the counts of the first instance up to the copy, and must name the
// daemon and the time since which its counts are unknown.
func TestReportIncludesCopiesOfReplacedDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &network{keepers: map[netip.AddrPort]*Keeper{}, down: map[netip.AddrPort]bool{}}
		first, second, third := member("entry-1", "a", 1), member("entry-2", "b", 2), member("entry-3", "c", 3)
		members := []Member{first, second, third}
		dying := network.start(first, &members)
		reporter := network.start(second, &members)
		network.start(third, &members)
		recordAnswered(dying, 4)
		recordAnswered(reporter, 1)
		dying.Exchange(t.Context())
		copied := time.Now()
		time.Sleep(30 * time.Second)
		recordAnswered(dying, 7)
		replacement := member("entry-1", "a2", 1)
		members[0] = replacement
		recordAnswered(network.start(replacement, &members), 2)

		report := reporter.Report(t.Context())
		if got := totalRequests(report); got != 4+1+2 {
			t.Errorf("requests counted: got %d, want 7", got)
		}
		if len(report.Missing) != 1 || report.Missing[0].VM != "entry-1" || !report.Missing[0].Since.Equal(copied) {
			t.Errorf("missing: got %+v, want entry-1 since %v", report.Missing, copied)
		}
		if got := len(report.Daemons); got != 4 {
			t.Errorf("daemons: got %d, want 4", got)
		}
	})
}

// Two daemons do not answer the one that makes the report, which must name both. One of them
// has sent a copy, from which its counts are taken. There is no copy of the other one, so all of
// its counts are missing.
func TestReportNamesSilentDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &network{keepers: map[netip.AddrPort]*Keeper{}, down: map[netip.AddrPort]bool{}}
		first, second, third := member("entry-1", "a", 1), member("entry-2", "b", 2), member("entry-3", "c", 3)
		members := []Member{first, second, third}
		reporter := network.start(first, &members)
		copied := network.start(second, &members)
		network.start(third, &members)
		recordAnswered(copied, 3)
		copied.Exchange(t.Context())
		network.down[second.Peer], network.down[third.Peer] = true, true

		report := reporter.Report(t.Context())
		if got := totalRequests(report); got != 3 {
			t.Errorf("requests counted: got %d, want 3", got)
		}
		if len(report.Missing) != 2 {
			t.Fatalf("missing: got %+v, want entry-2 and entry-3", report.Missing)
		}
		if got := report.Missing[0]; got.VM != "entry-2" || got.Since.IsZero() {
			t.Errorf("missing: got %+v, want entry-2 since its copy", got)
		}
		if got := report.Missing[1]; got.VM != "entry-3" || !got.Since.IsZero() {
			t.Errorf("missing: got %+v, want all of entry-3", got)
		}
	})
}

// Copies go to the next two daemons in the order of VM names, which wraps around at the end. If all
// daemons chose the same peers, these would hold the copies of the whole fleet.
func TestCopiesAreSpreadOverDaemons(t *testing.T) {
	members := []Member{member("entry-3", "c", 3), member("entry-1", "a", 1), member("entry-4", "d", 4), member("entry-2", "b", 2)}
	tests := []struct {
		self dogwoodfleet.VM
		want []dogwoodfleet.VM
	}{
		{"entry-1", []dogwoodfleet.VM{"entry-2", "entry-3"}},
		{"entry-3", []dogwoodfleet.VM{"entry-4", "entry-1"}},
		{"entry-4", []dogwoodfleet.VM{"entry-1", "entry-2"}},
	}
	for _, test := range tests {
		var got []dogwoodfleet.VM
		for _, keeper := range CopyHolders(Member{VM: test.self}, members) {
			got = append(got, keeper.VM)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.self, got, test.want)
		}
	}
}

// A daemon must send a copy each minute without waiting for its shutdown, or a crash would lose all
// of its counts. Run must end without an error when its context ends.
func TestRunSendsCopiesEveryMinuteUntilCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &network{keepers: map[netip.AddrPort]*Keeper{}, down: map[netip.AddrPort]bool{}}
		members := []Member{member("entry-1", "a", 1), member("entry-2", "b", 2)}
		sender := network.start(members[0], &members)
		receiver := network.start(members[1], &members)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return sender.Run(ctx) })
		recordAnswered(sender, 2)
		time.Sleep(exchangeInterval + time.Second)
		if got := len(receiver.holdings(time.Now()).Kept); got != 1 {
			t.Errorf("copies kept: got %d, want 1", got)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	})
}
