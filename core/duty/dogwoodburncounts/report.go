package dogwoodburncounts

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// maxConcurrentQueries bounds the number of daemons queried at the same time for a report.
const maxConcurrentQueries = 16

// answer is the counters that one daemon returned, or the error of the call.
type answer struct {
	member   Member
	holdings Holdings
	err      error
}

// Report queries all daemons for their counters and computes the burn. It names the daemons that
// did not answer, with the time of the latest copy that a peer holds.
func (keeper *Keeper) Report(ctx context.Context) dogwoodburn.Report {
	now := time.Now()
	own := answer{member: keeper.options.Self, holdings: keeper.holdings(now)}
	answers := append(keeper.queryMembers(ctx), own)
	sources := gather(now, answers)
	text := keeper.options.Text()
	if text == nil {
		text = &dogwoodsettings.Text{}
	}
	snapshots := make([]dogwoodburn.Snapshot, 0, len(sources))
	for _, source := range sources {
		snapshots = append(snapshots, source.snapshot)
	}
	report := dogwoodburn.NewReport(now, text, snapshots)
	for _, source := range sources {
		report.Daemons = append(report.Daemons, source.daemon())
	}
	report.Missing = missing(answers, sources)
	return report
}

func (keeper *Keeper) queryMembers(ctx context.Context) []answer {
	members := keeper.options.Members()
	answers := make([]answer, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, member := range members {
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			answers[i].member = member
			answers[i].err = keeper.options.Caller.Call(callCtx, member.Peer, "Burn.Holdings", HoldingsArgs{}, &answers[i].holdings)
			return nil
		})
	}
	_ = group.Wait() // no function of the group returns an error
	return answers
}

// source is the latest snapshot of one instance and the daemon that returned it.
type source struct {
	snapshot dogwoodburn.Snapshot
	holder   dogwoodfleet.VM
}

func (source *source) own() bool { return source.holder == source.snapshot.VM }

func (source *source) daemon() dogwoodburn.Daemon {
	daemon := dogwoodburn.Daemon{
		VM:       source.snapshot.VM,
		Instance: source.snapshot.Instance,
		Until:    source.snapshot.TakenAt,
	}
	if !source.own() {
		daemon.KeptBy = source.holder
	}
	return daemon
}

// gather returns the latest snapshot of each instance, without those that are older than every
// window of the report.
func gather(now time.Time, answers []answer) []source {
	latest := map[dogwoodfleet.InstanceID]source{}
	addIfLater := func(snapshot dogwoodburn.Snapshot, holder dogwoodfleet.VM) {
		current, known := latest[snapshot.Instance]
		if !snapshot.Expired(now) && (!known || snapshot.TakenAt.After(current.snapshot.TakenAt)) {
			latest[snapshot.Instance] = source{snapshot: snapshot, holder: holder}
		}
	}
	for i := range answers {
		if answers[i].err != nil {
			continue
		}
		addIfLater(answers[i].holdings.Own, answers[i].member.VM)
		for _, kept := range answers[i].holdings.Kept {
			addIfLater(kept, answers[i].member.VM)
		}
	}
	sources := make([]source, 0, len(latest))
	for _, found := range latest {
		sources = append(sources, found)
	}
	slices.SortFunc(sources, func(a, b source) int {
		return cmp.Or(cmp.Compare(a.snapshot.VM, b.snapshot.VM), a.snapshot.Started.Compare(b.snapshot.Started))
	})
	return sources
}

// missing lists the daemons that should be alive and did not answer, and the daemons that ended
// and left only a copy, whose counts after that copy are lost.
func missing(answers []answer, sources []source) []dogwoodburn.Missing {
	var result []dogwoodburn.Missing
	silent := map[dogwoodfleet.InstanceID]bool{}
	for i := range answers {
		if answers[i].err == nil {
			continue
		}
		member := answers[i].member
		silent[member.Instance] = true
		result = append(result, dogwoodburn.Missing{
			VM:    member.VM,
			Since: lastSnapshotTime(sources, member.Instance),
			Why:   "does not answer: " + answers[i].err.Error(),
		})
	}
	for i := range sources {
		if !sources[i].own() && !silent[sources[i].snapshot.Instance] {
			result = append(result, dogwoodburn.Missing{
				VM:    sources[i].snapshot.VM,
				Since: sources[i].snapshot.TakenAt,
				Why:   "ended or was replaced; what it counted after its last copy is unknown",
			})
		}
	}
	return result
}

func lastSnapshotTime(sources []source, instance dogwoodfleet.InstanceID) time.Time {
	for i := range sources {
		if sources[i].snapshot.Instance == instance {
			return sources[i].snapshot.TakenAt
		}
	}
	return time.Time{}
}
