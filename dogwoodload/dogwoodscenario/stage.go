package dogwoodscenario

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/dogwoodload/dogwoodjudge"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// Stage is a running site with a record of the steps carried out on it.
type Execution struct {
	site      *dogwoodsite.Site
	start     time.Time
	transport *http.Transport

	mutex    sync.Mutex
	events   []dogwoodresult.Event
	failures []string
	// takenOut holds, for each data centre out of service, the time when its take-out was accepted.
	takenOut            map[dogwoodfleet.DataCentre]time.Time
	newWorkAfterTakeOut time.Duration
	configSpread        time.Duration
	acceptedVersion     uint64
	acceptedSource      string
	stops               []dogwoodjudge.Stop
	kills               []dogwoodjudge.Kill
}

func newStage(site *dogwoodsite.Site) *Execution {
	return &Execution{site: site, transport: &http.Transport{}, takenOut: map[dogwoodfleet.DataCentre]time.Time{}}
}

// runSteps runs each step at its time, concurrently with the others, and waits until all have ended.
func (stage *Execution) runSteps(ctx context.Context, steps []Step) {
	var group sync.WaitGroup
	for _, step := range steps {
		group.Go(func() {
			timer := time.NewTimer(time.Until(stage.start.Add(step.At)))
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
				stage.recordFailure("%s: not done: %v", step.What, ctx.Err())
				return
			}
			stage.recordEvent(step.What)
			if err := step.Do(ctx, stage); err != nil {
				stage.recordFailure("%s: %v", step.What, err)
			}
		})
	}
	group.Wait()
	stage.transport.CloseIdleConnections()
}

func (stage *Execution) recordEvent(what string) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	stage.events = append(stage.events, dogwoodresult.Event{At: dogwoodresult.Duration(time.Since(stage.start)), What: what})
}

func (stage *Execution) recordFailure(format string, arguments ...any) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	stage.failures = append(stage.failures, fmt.Sprintf(format, arguments...))
}

// adminClient returns a client of one daemon's administration API.
func (stage *Execution) adminClient(daemon *dogwoodsite.Daemon) *dogwoodadminapi.Client {
	return dogwoodadminapi.NewClient(stage.transport, []netip.AddrPort{daemon.Admin}, stage.site.AdminKey)
}

// runningDaemon returns the n-th running daemon, modulo their number.
func (stage *Execution) runningDaemon(n int) (*dogwoodsite.Daemon, error) {
	var alive []*dogwoodsite.Daemon
	for _, daemon := range stage.site.Daemons() {
		if daemon.Alive() {
			alive = append(alive, daemon)
		}
	}
	if len(alive) == 0 {
		return nil, Error.New("no daemon is running")
	}
	return alive[n%len(alive)], nil
}

// propagationPollInterval is the resolution of the measured ConfigSpread.
const propagationPollInterval = 5 * time.Millisecond

// propagationTimeout bounds the wait until every daemon has a change in force.
const propagationTimeout = 15 * time.Second

// awaitPropagation waits until every running daemon has a change in force and records how long that
// took.
func (stage *Execution) awaitPropagation(ctx context.Context, accepted time.Time, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for _, daemon := range stage.site.Daemons() {
		if err := stage.awaitVersion(ctx, daemon, version); err != nil {
			return err
		}
	}
	spread := time.Since(accepted)
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	stage.configSpread = max(stage.configSpread, spread)
	stage.acceptedVersion = max(stage.acceptedVersion, version)
	return nil
}

// awaitVersion waits until the daemon has the version in force or has ended.
func (stage *Execution) awaitVersion(ctx context.Context, daemon *dogwoodsite.Daemon, version uint64) error {
	client := stage.adminClient(daemon)
	for daemon.Alive() {
		changes, err := client.Changes(ctx, version-1)
		if err == nil && len(changes.Changes) > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("%s does not have version %d in force: %v", daemon.VM, version, err)
		case <-time.After(propagationPollInterval):
		}
	}
	return nil
}

func takeOut(dataCentre dogwoodfleet.DataCentre) stepFunc {
	return func(ctx context.Context, stage *Execution) error {
		return stage.takeOut(ctx, 0, dataCentre)
	}
}

func (stage *Execution) takeOut(ctx context.Context, daemonIndex int, dataCentre dogwoodfleet.DataCentre) error {
	daemon, err := stage.runningDaemon(daemonIndex)
	if err != nil {
		return err
	}
	move := dogwoodadminapi.Move{ID: uuid.NewString(), Author: "measure", DataCentre: dataCentre}
	accepted, err := stage.adminClient(daemon).TakeOut(ctx, move)
	if err != nil {
		return Error.Wrap(err)
	}
	at := time.Now()
	stage.mutex.Lock()
	stage.takenOut[dataCentre] = at
	stage.mutex.Unlock()
	if !accepted.Kept {
		stage.recordEvent("(not yet kept)")
		return nil
	}
	return stage.awaitPropagation(ctx, at, accepted.Version)
}

func bringBack(dataCentre dogwoodfleet.DataCentre) stepFunc {
	return func(ctx context.Context, stage *Execution) error {
		daemon, err := stage.runningDaemon(1)
		if err != nil {
			return err
		}
		stage.finishTakeOut(dataCentre)
		move := dogwoodadminapi.Move{ID: uuid.NewString(), Author: "measure", DataCentre: dataCentre}
		accepted, err := stage.adminClient(daemon).BringBack(ctx, move)
		if err != nil {
			return Error.Wrap(err)
		}
		return stage.awaitPropagation(ctx, time.Now(), accepted.Version)
	}
}

// finishTakeOut records how long after its take-out the data centre still received new work. It is
// called before the data centre is brought back into service.
func (stage *Execution) finishTakeOut(dataCentre dogwoodfleet.DataCentre) {
	stage.mutex.Lock()
	at, isOut := stage.takenOut[dataCentre]
	delete(stage.takenOut, dataCentre)
	stage.mutex.Unlock()
	if !isOut {
		return
	}
	delay := max(0, stage.lastNewWork(dataCentre).Sub(at))
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	stage.newWorkAfterTakeOut = max(stage.newWorkAfterTakeOut, delay)
}

// finishTakeOuts calls finishTakeOut for all data centres that are still out of service.
func (stage *Execution) finishTakeOuts() {
	stage.mutex.Lock()
	var dataCentres []dogwoodfleet.DataCentre
	for dataCentre := range stage.takenOut {
		dataCentres = append(dataCentres, dataCentre)
	}
	stage.mutex.Unlock()
	for _, dataCentre := range dataCentres {
		stage.finishTakeOut(dataCentre)
	}
}

// lastNewWork returns the time of the latest arrival of new work at the endpoints of a data centre.
func (stage *Execution) lastNewWork(dataCentre dogwoodfleet.DataCentre) time.Time {
	dataCentreOf := map[dogwoodfleet.EndpointID]dogwoodfleet.DataCentre{}
	for _, vm := range stage.site.VMs() {
		dataCentreOf[dogwoodfleet.EndpointID(vm.Name)] = vm.Place.DataCentre
	}
	var last time.Time
	observe := func(id dogwoodfleet.EndpointID, at time.Time) {
		if dataCentreOf[id] == dataCentre && at.After(last) {
			last = at
		}
	}
	for _, engine := range stage.site.Engines {
		observe(engine.ID(), engine.LastNewWork())
	}
	for _, server := range stage.site.Plain {
		observe(server.ID(), server.LastNewWork())
	}
	return last
}

// replaceDaemon shuts a daemon down gracefully and starts it again.
func replaceDaemon(daemon int) stepFunc {
	return func(ctx context.Context, stage *Execution) error {
		replaced := stage.site.Daemons()[daemon]
		stop := dogwoodjudge.Stop{Entry: replaced.Serve.String(), From: time.Now()}
		stopCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		err := replaced.Stop(stopCtx)
		stop.To = time.Now()
		stage.mutex.Lock()
		stage.stops = append(stage.stops, stop)
		stage.mutex.Unlock()
		stage.recordEvent(fmt.Sprintf("daemon %d down after %s", daemon+1, stop.To.Sub(stop.From).Round(time.Millisecond)))
		if err != nil {
			return Error.Wrap(err)
		}
		return Error.Wrap(replaced.Restart(ctx))
	}
}

// shutdownTimeout is longer than any deadline of the traces.
const shutdownTimeout = 20 * time.Second
