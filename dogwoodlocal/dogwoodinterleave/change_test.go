package dogwoodinterleave

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodchange"
	"dogwoodmux.example/dogwoodlocal/dogwoodplatformstandin"
)

// text returns a small valid operators' text that contains the given customer.
func text(name string) []byte {
	return fmt.Appendf(nil, `{
		// edited by %s
		"Services": [{"Name": "lot-desk", "Kind": "PlainService", "Deadline": "1s", "MaxDeadline": "2s", "ColdLimit": 1, "WarmLimit": 4}],
		"Customers": [{"Name": %q, "KeySHA256": ["%064x"], "Weight": 1}]
	}`, name, name, 1)
}

// daemonLog is one daemon's change log, with the highest version observed in force there.
type daemonLog struct {
	log     *dogwoodchange.Log
	highest uint64
}

// submission is a change and the result that its operator got.
type submission struct {
	change   dogwoodchange.Change
	accepted dogwoodchange.Accepted
	err      error
}

type changeScenario struct {
	store      *dogwoodplatformstandin.Store
	random     *lockedRandom
	mutex      sync.Mutex
	logs       []*daemonLog
	history    []submission
	oldUpdates []dogwoodchange.News
}

func (scenario *changeScenario) start() *daemonLog {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	started := &daemonLog{log: dogwoodchange.New(dogwoodchange.Options{
		Store: scenario.store, Objects: scenario.store,
	})}
	scenario.logs = append(scenario.logs, started)
	return started
}

// observe returns a daemon's view, and fails the test if its version decreased.
func (scenario *changeScenario) observe(t *testing.T, daemonLog *daemonLog) dogwoodchange.View {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	view := daemonLog.log.Current()
	if view.Version < daemonLog.highest {
		t.Errorf("got version %d in force after %d", view.Version, daemonLog.highest)
	}
	daemonLog.highest = view.Version
	return view
}

func (scenario *changeScenario) pick() *daemonLog {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	return scenario.logs[scenario.random.intN(len(scenario.logs))]
}

// runOperator simulates an operator, who reads a daemon's state and submits a change after a
// delay.
func (scenario *changeScenario) runOperator(t *testing.T, name string) {
	daemonLog := scenario.pick()
	view := scenario.observe(t, daemonLog)
	time.Sleep(scenario.random.duration(3 * time.Second))
	change := dogwoodchange.Change{ID: name, Author: name}
	switch scenario.random.intN(4) {
	case 0, 1:
		change.Kind, change.BasedOn, change.Text = dogwoodchange.ApplyText, view.TextVersion, text(name)
	case 2:
		change.Kind, change.DataCentre = dogwoodchange.TakeOut, "fukuoka-a"
	default:
		change.Kind, change.DataCentre = dogwoodchange.BringBack, "fukuoka-a"
	}
	accepted, err := daemonLog.log.Submit(t.Context(), change)
	var unknown *dogwoodchange.Unknown
	if errors.As(err, &unknown) && scenario.random.chance(0.5) {
		// The operator sends the change again through any daemon, as the error asks for. If
		// that daemon is unavailable, the outcome of the first submission stays unknown.
		resent, resendErr := scenario.pick().log.Submit(t.Context(), change)
		var unavailable *dogwoodchange.Unavailable
		if !errors.As(resendErr, &unavailable) {
			accepted, err = resent, resendErr
		}
	}
	scenario.mutex.Lock()
	scenario.history = append(scenario.history, submission{change: change, accepted: accepted, err: err})
	scenario.mutex.Unlock()
	scenario.observe(t, daemonLog)
}

// exchange sends one daemon's changes to another, sometimes an old update, and sometimes an
// incomplete one in reverse order.
func (scenario *changeScenario) exchange(t *testing.T) {
	from, to := scenario.pick(), scenario.pick()
	update := from.log.Since(scenario.observe(t, to).Version / 2)
	scenario.mutex.Lock()
	scenario.oldUpdates = append(scenario.oldUpdates, update)
	if scenario.random.chance(0.3) {
		update = scenario.oldUpdates[scenario.random.intN(len(scenario.oldUpdates))]
	}
	scenario.mutex.Unlock()
	if scenario.random.chance(0.3) && len(update.Changes) > 1 {
		update.Changes = slices.Clone(update.Changes)
		slices.Reverse(update.Changes)
		update.Changes = update.Changes[:len(update.Changes)-1]
	}
	to.log.Merge(update)
	scenario.observe(t, to)
}

// replace starts a new daemon, which reads the log from the store or else from a peer.
func (scenario *changeScenario) replace(t *testing.T) {
	started := scenario.start()
	if started.log.CatchUp(t.Context()) != nil {
		started.log.Merge(scenario.pick().log.Since(0))
	}
	scenario.observe(t, started)
}

// Operators edit the text at the same time through different daemons, and take a data centre out
// of service during an outage of the store. No edit may be lost silently, and no daemon may
// return to an older text after a restart or a stale read.
func TestChangesStayOrderedAndVersionsNeverDecrease(t *testing.T) {
	t.Parallel()
	forSeeds(t, 600, func(t *testing.T, random *rand.Rand) {
		scenario := &changeScenario{
			store:  dogwoodplatformstandin.NewStore(random.Uint64()),
			random: &lockedRandom{random: random},
		}
		scenario.store.SetFaults(randomFaults(random))
		for range 3 {
			scenario.start()
		}
		ctx, cancel := context.WithCancel(t.Context())
		var outage, actors sync.WaitGroup
		outage.Go(func() { toggleStore(ctx, scenario.store, scenario.random) })
		for i := range 10 {
			actors.Go(func() {
				time.Sleep(scenario.random.duration(30 * time.Second))
				scenario.runOperator(t, fmt.Sprintf("op-%d", i))
			})
		}
		for i := range 20 {
			actors.Go(func() {
				time.Sleep(scenario.random.duration(45 * time.Second))
				if i%7 == 0 {
					scenario.replace(t)
				} else {
					scenario.exchange(t)
				}
			})
		}
		actors.Wait()
		cancel()
		outage.Wait()
		time.Sleep(10 * time.Second) // late writes arrive
		scenario.converge(t)
		scenario.checkLog(t)
	})
}

// converge ends the faults and lets every daemon read all changes.
func (scenario *changeScenario) converge(t *testing.T) {
	scenario.store.SetFaults(dogwoodplatformstandin.Faults{})
	for range 2 {
		for _, daemonLog := range scenario.logs {
			if left := daemonLog.log.StoreProvisional(t.Context()); left > 0 {
				t.Errorf("got %d provisional take-outs left, want 0", left)
			}
		}
		for _, daemonLog := range scenario.logs {
			if err := daemonLog.log.CatchUp(t.Context()); err != nil {
				t.Error(err)
			}
		}
	}
}

// checkLog checks the final log against the results that the operators got.
func (scenario *changeScenario) checkLog(t *testing.T) {
	first := scenario.logs[0].log
	final := first.Current()
	log := first.Since(0).Changes
	for _, daemonLog := range scenario.logs {
		view := scenario.observe(t, daemonLog)
		same := view.Version == final.Version && view.TextVersion == final.TextVersion &&
			string(view.Source) == string(final.Source) && slices.Equal(view.OutDataCentres, final.OutDataCentres)
		if !same {
			t.Errorf("got views of versions %d and %d that differ at the end", view.Version, final.Version)
		}
	}
	positions := map[string][]uint64{}
	var textVersion uint64
	for i, change := range log {
		if change.Version != uint64(i+1) {
			t.Errorf("got version %d at position %d", change.Version, i+1)
		}
		positions[change.ID] = append(positions[change.ID], change.Version)
		if change.Kind == dogwoodchange.ApplyText {
			if change.BasedOn != textVersion {
				t.Errorf("got text %d that overwrites %d without being based on it, but on %d", change.Version, textVersion, change.BasedOn)
			}
			textVersion = change.Version
		}
	}
	for _, submission := range scenario.history {
		scenario.checkSubmission(t, submission, positions[submission.change.ID])
	}
}

func (scenario *changeScenario) checkSubmission(t *testing.T, submission submission, positions []uint64) {
	var unknown *dogwoodchange.Unknown
	switch {
	case submission.err == nil && len(positions) != 1:
		t.Errorf("accepted %s: got positions %v, want one", submission.change.ID, positions)
	case submission.err == nil && submission.accepted.Kept && positions[0] != submission.accepted.Version:
		t.Errorf("accepted %s: got position %d, want %d", submission.change.ID, positions[0], submission.accepted.Version)
	case submission.err != nil && errors.As(submission.err, &unknown):
		if len(positions) > 1 {
			t.Errorf("unknown %s: got positions %v, want one at the most", submission.change.ID, positions)
		}
	case submission.err != nil && len(positions) > 0:
		t.Errorf("refused %s (%v): got positions %v, want none", submission.change.ID, submission.err, positions)
	}
}

// A store that was restored from an old backup has lost rows of accepted changes. Unless they
// are rewritten, their versions are assigned to other changes, and a new daemon starts from the
// old text.
func TestRowsLostByStoreAreRewritten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		before := dogwoodplatformstandin.NewStore(1)
		log := dogwoodchange.New(dogwoodchange.Options{Store: before, Objects: before})
		for i := range 5 {
			change := dogwoodchange.Change{
				Kind: dogwoodchange.ApplyText, BasedOn: uint64(i), Text: text(fmt.Sprint("op", i)),
			}
			if _, err := log.Submit(t.Context(), change); err != nil {
				t.Fatal(err)
			}
		}
		restored := dogwoodplatformstandin.NewStore(2)
		rewriting := dogwoodchange.New(dogwoodchange.Options{Store: restored, Objects: restored})
		rewriting.Merge(log.Since(0))
		if err := rewriting.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		fresh := dogwoodchange.New(dogwoodchange.Options{Store: restored, Objects: restored})
		if err := fresh.CatchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got, want := fresh.Current().Version, log.Current().Version; got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	})
}

// The second of two data centres is taken out of service while the first is out. Without a check
// this one command would end the service.
func TestTakeOutOfLastDataCentreIsRefused(t *testing.T) {
	t.Parallel()
	vms := []dogwoodfleet.ListedVM{
		{Name: "d1", Service: "lot-desk", Place: dogwoodfleet.Place{DataCentre: "fukuoka-a"}, State: dogwoodfleet.Live},
		{Name: "d2", Service: "lot-desk", Place: dogwoodfleet.Place{DataCentre: "oita-c"}, State: dogwoodfleet.Live},
		{Name: "d3", Service: "lot-desk", Place: dogwoodfleet.Place{DataCentre: "kumamoto-b"}, State: dogwoodfleet.Leaving},
	}
	synctest.Test(t, func(t *testing.T) {
		store := dogwoodplatformstandin.NewStore(1)
		log := dogwoodchange.New(dogwoodchange.Options{
			Store: store, Objects: store, VMs: func() []dogwoodfleet.ListedVM { return vms },
		})
		steps := []struct {
			name    string
			change  dogwoodchange.Change
			refused bool
		}{
			{name: "first", change: dogwoodchange.Change{Kind: dogwoodchange.TakeOut, DataCentre: "fukuoka-a"}},
			{name: "first again", change: dogwoodchange.Change{Kind: dogwoodchange.TakeOut, DataCentre: "fukuoka-a"}},
			{name: "last", change: dogwoodchange.Change{Kind: dogwoodchange.TakeOut, DataCentre: "oita-c"}, refused: true},
			{name: "last VM", change: dogwoodchange.Change{Kind: dogwoodchange.TakeOut, VM: "d2"}, refused: true},
			{name: "last, forced", change: dogwoodchange.Change{Kind: dogwoodchange.TakeOut, DataCentre: "oita-c", Force: true}},
			{name: "back", change: dogwoodchange.Change{Kind: dogwoodchange.BringBack, DataCentre: "oita-c"}},
			{name: "neither", change: dogwoodchange.Change{Kind: dogwoodchange.TakeOut}, refused: true},
		}
		for _, step := range steps {
			_, err := log.Submit(t.Context(), step.change)
			var refused *dogwoodchange.Refused
			if got := errors.As(err, &refused); got != step.refused || (err != nil && !got) {
				t.Errorf("%s: got %v, want refused %v", step.name, err, step.refused)
			}
		}
	})
}

// A new daemon joins after thousands of changes. If it read them one row at a time, it could not
// serve for a long time and would load the store.
func TestNewDaemonStartsFromASnapshot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := dogwoodplatformstandin.NewStore(1)
		log := dogwoodchange.New(dogwoodchange.Options{Store: store, Objects: store})
		const changes = 1000
		for i := range changes {
			kind := []dogwoodchange.Kind{dogwoodchange.TakeOut, dogwoodchange.BringBack}[i%2]
			if _, err := log.Submit(t.Context(), dogwoodchange.Change{Kind: kind, VM: "v1"}); err != nil {
				t.Fatal(err)
			}
		}
		before := store.Reads()
		fresh := dogwoodchange.New(dogwoodchange.Options{Store: store, Objects: store})
		if err := fresh.CatchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := fresh.Current().Version; got != changes {
			t.Errorf("got version %d, want %d", got, changes)
		}
		if got := store.Reads() - before; got > 4 {
			t.Errorf("got %d reads, want at most 4", got)
		}
		for _, old := range []uint64{0, 1, changes - 1} {
			log.Merge(dogwoodchange.News{Version: old, Snapshot: &dogwoodchange.Snapshot{Version: old}})
			if got := log.Current().Version; got != changes {
				t.Errorf("after a snapshot of version %d: got version %d, want %d", old, got, changes)
			}
		}
		peer := dogwoodchange.New(dogwoodchange.Options{Store: store, Objects: store})
		peer.Merge(log.Since(0))
		if got := peer.Current().Version; got != changes {
			t.Errorf("from a peer: got version %d, want %d", got, changes)
		}
	})
}

// The store accepts every call and answers none, and the submission of a text is waiting for it.
// The take-out of a data centre that is about to lose power must wait for neither, and must be in
// the log exactly once after the store answers again.
func TestTakeOutDoesNotWaitForHangingStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := dogwoodplatformstandin.NewStore(1)
		log := dogwoodchange.New(dogwoodchange.Options{Store: store, Objects: store})
		store.SetFaults(dogwoodplatformstandin.Faults{LoseAnswers: 1, Delay: 2 * time.Second})
		var group sync.WaitGroup
		group.Go(func() {
			_, err := log.Submit(t.Context(), dogwoodchange.Change{Kind: dogwoodchange.ApplyText, Text: text("slow")})
			var unknown *dogwoodchange.Unknown
			if !errors.As(err, &unknown) {
				t.Errorf("text: got %v, want *Unknown", err)
			}
		})
		time.Sleep(time.Second)
		for _, dataCentre := range []dogwoodfleet.DataCentre{"fukuoka-a", "oita-c"} {
			begun := time.Now()
			accepted, err := log.Submit(t.Context(), dogwoodchange.Change{Kind: dogwoodchange.TakeOut, DataCentre: dataCentre})
			view := log.Current()
			if err != nil || accepted.Kept || !view.Out(dataCentre, "") {
				t.Errorf("%s: got %+v, %v, want it in force and provisional", dataCentre, accepted, err)
			}
			if took := time.Since(begun); took > inForceWithin {
				t.Errorf("%s: got %s until in force, want %s", dataCentre, took, inForceWithin)
			}
		}
		group.Wait()
		store.SetFaults(dogwoodplatformstandin.Faults{})
		if left := log.StoreProvisional(t.Context()); left != 0 {
			t.Errorf("got %d provisional, want 0", left)
		}
		if got := len(log.Since(0).Changes); got != 3 {
			t.Errorf("got %d changes in the log, want 3", got)
		}
	})
}
