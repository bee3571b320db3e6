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

// Execution is a running site with a record of the steps carried out on it.
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

func newExecution(site *dogwoodsite.Site) *Execution {
	return &Execution{site: site, transport: &http.Transport{}, takenOut: map[dogwoodfleet.DataCentre]time.Time{}}
}

// runSteps runs each step at its time, concurrently with the others, and waits until all have ended.
func (execution *Execution) runSteps(ctx context.Context, steps []Step) {
	var group sync.WaitGroup
	for _, step := range steps {
		group.Go(func() {
			timer := time.NewTimer(time.Until(execution.start.Add(step.At)))
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
				execution.recordFailure("%s: not done: %v", step.What, ctx.Err())
				return
			}
			execution.recordEvent(step.What)
			if err := step.Do(ctx, execution); err != nil {
				execution.recordFailure("%s: %v", step.What, err)
			}
		})
	}
	group.Wait()
	execution.transport.CloseIdleConnections()
}

func (execution *Execution) recordEvent(what string) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.events = append(execution.events, dogwoodresult.Event{At: dogwoodresult.Duration(time.Since(execution.start)), What: what})
}

func (execution *Execution) recordFailure(format string, arguments ...any) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.failures = append(execution.failures, fmt.Sprintf(format, arguments...))
}

// adminClient returns a client of one daemon's administration API.
func (execution *Execution) adminClient(daemon *dogwoodsite.Daemon) *dogwoodadminapi.Client {
	return dogwoodadminapi.NewClient(execution.transport, []netip.AddrPort{daemon.Admin}, execution.site.AdminKey)
}

// runningDaemon returns the n-th running daemon, modulo their number.
func (execution *Execution) runningDaemon(n int) (*dogwoodsite.Daemon, error) {
	var alive []*dogwoodsite.Daemon
	for _, daemon := range execution.site.Daemons() {
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
func (execution *Execution) awaitPropagation(ctx context.Context, accepted time.Time, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for _, daemon := range execution.site.Daemons() {
		if err := execution.awaitVersion(ctx, daemon, version); err != nil {
			return err
		}
	}
	spread := time.Since(accepted)
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.configSpread = max(execution.configSpread, spread)
	execution.acceptedVersion = max(execution.acceptedVersion, version)
	return nil
}

// awaitVersion waits until the daemon has the version in force or has ended.
func (execution *Execution) awaitVersion(ctx context.Context, daemon *dogwoodsite.Daemon, version uint64) error {
	client := execution.adminClient(daemon)
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
	return func(ctx context.Context, execution *Execution) error {
		return execution.takeOut(ctx, 0, dataCentre)
	}
}

func (execution *Execution) takeOut(ctx context.Context, daemonIndex int, dataCentre dogwoodfleet.DataCentre) error {
	daemon, err := execution.runningDaemon(daemonIndex)
	if err != nil {
		return err
	}
	move := dogwoodadminapi.Move{ID: uuid.NewString(), Author: "measure", DataCentre: dataCentre}
	accepted, err := execution.adminClient(daemon).TakeOut(ctx, move)
	if err != nil {
		return Error.Wrap(err)
	}
	at := time.Now()
	execution.mutex.Lock()
	execution.takenOut[dataCentre] = at
	execution.mutex.Unlock()
	if !accepted.Kept {
		execution.recordEvent("(not yet kept)")
		return nil
	}
	return execution.awaitPropagation(ctx, at, accepted.Version)
}

func bringBack(dataCentre dogwoodfleet.DataCentre) stepFunc {
	return func(ctx context.Context, execution *Execution) error {
		daemon, err := execution.runningDaemon(1)
		if err != nil {
			return err
		}
		execution.finishTakeOut(dataCentre)
		move := dogwoodadminapi.Move{ID: uuid.NewString(), Author: "measure", DataCentre: dataCentre}
		accepted, err := execution.adminClient(daemon).BringBack(ctx, move)
		if err != nil {
			return Error.Wrap(err)
		}
		return execution.awaitPropagation(ctx, time.Now(), accepted.Version)
	}
}

// finishTakeOut records how long after its take-out the data centre still received new work. It is
// called before the data centre is brought back into service.
func (execution *Execution) finishTakeOut(dataCentre dogwoodfleet.DataCentre) {
	execution.mutex.Lock()
	at, isOut := execution.takenOut[dataCentre]
	delete(execution.takenOut, dataCentre)
	execution.mutex.Unlock()
	if !isOut {
		return
	}
	delay := max(0, execution.lastNewWork(dataCentre).Sub(at))
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.newWorkAfterTakeOut = max(execution.newWorkAfterTakeOut, delay)
}

// finishTakeOuts calls finishTakeOut for all data centres that are still out of service.
func (execution *Execution) finishTakeOuts() {
	execution.mutex.Lock()
	var dataCentres []dogwoodfleet.DataCentre
	for dataCentre := range execution.takenOut {
		dataCentres = append(dataCentres, dataCentre)
	}
	execution.mutex.Unlock()
	for _, dataCentre := range dataCentres {
		execution.finishTakeOut(dataCentre)
	}
}

// lastNewWork returns the time of the latest arrival of new work at the endpoints of a data centre.
func (execution *Execution) lastNewWork(dataCentre dogwoodfleet.DataCentre) time.Time {
	dataCentreOf := map[dogwoodfleet.EndpointID]dogwoodfleet.DataCentre{}
	for _, vm := range execution.site.VMs() {
		dataCentreOf[dogwoodfleet.EndpointID(vm.Name)] = vm.Place.DataCentre
	}
	var last time.Time
	observe := func(id dogwoodfleet.EndpointID, at time.Time) {
		if dataCentreOf[id] == dataCentre && at.After(last) {
			last = at
		}
	}
	for _, engine := range execution.site.Engines {
		observe(engine.ID(), engine.LastNewWork())
	}
	for _, server := range execution.site.Plain {
		observe(server.ID(), server.LastNewWork())
	}
	return last
}

// replaceDaemon shuts a daemon down gracefully and starts it again.
func replaceDaemon(daemon int) stepFunc {
	return func(ctx context.Context, execution *Execution) error {
		replaced := execution.site.Daemons()[daemon]
		stop := dogwoodjudge.Stop{Entry: replaced.Serve.String(), From: time.Now()}
		stopCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		err := replaced.Stop(stopCtx)
		stop.To = time.Now()
		execution.mutex.Lock()
		execution.stops = append(execution.stops, stop)
		execution.mutex.Unlock()
		execution.recordEvent(fmt.Sprintf("daemon %d down after %s", daemon+1, stop.To.Sub(stop.From).Round(time.Millisecond)))
		if err != nil {
			return Error.Wrap(err)
		}
		return Error.Wrap(replaced.Restart(ctx))
	}
}

// shutdownTimeout is longer than any deadline of the traces.
const shutdownTimeout = 20 * time.Second
