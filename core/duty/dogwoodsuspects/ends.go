package dogwoodsuspects

import (
	"context"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

// SetEndpoints replaces the listed endpoints. The end of one that is no longer listed is certain.
func (duty *Duty) SetEndpoints(endpoints []dogwoodpacking.Endpoint) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.inForce = make(map[dogwoodfleet.EndpointID]bool, len(endpoints))
	for i := range endpoints {
		duty.inForce[lifetimeID(&endpoints[i].Endpoint)] = endpoints[i].InForce
	}
	duty.confirm()
	duty.resolve(time.Now())
}

// resolve moves the runs whose endpoints are no longer listed to resolved, and drops those whose endpoints are leaving
// or stay listed. The caller holds the mutex.
func (duty *Duty) resolve(now time.Time) {
	duty.unresolved = slices.DeleteFunc(duty.unresolved, func(run unresolvedRun) bool {
		inForce, listed := duty.inForce[run.lifetime()]
		if listed {
			return !inForce || now.Sub(run.at) > dogwoodsuspect.ProvisionalTTL
		}
		select {
		case duty.resolved <- run:
		default:
			counters.Add("RunsDropped", 1)
		}
		return true
	})
}

// lifetimeID returns the ID of one lifetime of an endpoint, which may start again under its ID.
func lifetimeID(endpoint *dogwoodfleet.Endpoint) dogwoodfleet.EndpointID {
	if endpoint.Instance == "" {
		return endpoint.ID
	}
	return dogwoodfleet.EndpointID(endpoint.Instance)
}

// confirm confirms the ends of endpoints that are no longer listed. The caller holds the mutex.
func (duty *Duty) confirm() {
	if duty.inForce == nil {
		return
	}
	isListed := func(endpoint dogwoodfleet.EndpointID) bool {
		_, listed := duty.inForce[endpoint]
		return listed
	}
	for _, endpoint := range duty.ledger.Ended() {
		if !isListed(endpoint) {
			duty.ledger.Confirm(endpoint)
		}
	}
	duty.parts.Confirm(time.Now(), isListed)
}

// Condition is what is known of an endpoint after a run broke off.
type Condition int

// The conditions.
const (
	// Unknown means that the endpoint does not answer, or resets connections.
	Unknown Condition = iota
	// Running means that the endpoint answers: only the run's connection broke.
	Running
	// Ended means that its address refuses connections.
	Ended
	// Replaced means that another instance answers at its address.
	Replaced
	// Unreachable means that this daemon reaches few endpoints, which says nothing of this one.
	Unreachable
)

// Run is a run of a request at an endpoint.
type Run struct {
	dogwoodsuspect.Subject
	Endpoint dogwoodfleet.Endpoint
	// Trial is true if the run has a permit, PartTrial if that is one for a part of its prompt.
	Trial, PartTrial bool
	// Begun is true if the answer had begun and the endpoint lived on after that.
	Begun bool
}

func (run *Run) lifetime() dogwoodfleet.EndpointID {
	return lifetimeID(&run.Endpoint)
}

// unresolvedRun is a run that broke off at an endpoint of unknown condition.
type unresolvedRun struct {
	Run
	at time.Time
}

// Broke records that a run broke off, with what is known of its endpoint, and notifies the hubs if the endpoint ended. The
// channel is closed once they are notified, or can't be; the caller of the request must not learn of the failure before.
// An endpoint that was leaving ended as it should. If nothing is known, a trial counts as one that ended its endpoint, which
// refuses its digest for a moment, and any other run counts once the endpoint's entry is gone or names another instance.
func (duty *Duty) Broke(ctx context.Context, run Run, condition Condition) <-chan struct{} {
	notified := make(chan struct{})
	duty.mutex.Lock()
	inForce := duty.inForce[run.lifetime()]
	if inForce && (condition == Unknown && !run.Trial || condition == Unreachable) {
		duty.unresolved = append(duty.unresolved, unresolvedRun{run, time.Now()})
		duty.unresolved = duty.unresolved[max(0, len(duty.unresolved)-maxUnresolved):]
	}
	duty.mutex.Unlock()
	if inForce && (condition == Ended || condition == Replaced || condition == Unknown && run.Trial) {
		notices := duty.recordEnd(run, time.Now(), condition == Replaced)
		duty.background.Go(func() error {
			defer close(notified)
			duty.exchange.Notify(ctx, notices)
			select {
			case duty.refused.ended <- struct{}{}:
			default: // a fetch is due already
			}
			return nil
		})
		return notified
	}
	close(notified)
	return notified
}

// recordEnd records that an endpoint ended during a run that broke off at a time, and returns the notices for the hubs.
func (duty *Duty) recordEnd(run Run, at time.Time, certain bool) []dogwoodsuspect.Notice {
	now := time.Now()
	duty.mutex.Lock()
	notices := duty.ledger.Died(now, run.lifetime(), []dogwoodsuspect.Run{{
		Digest: run.Digest, Request: run.Request, Shared: true, Trial: run.Trial, Confirmed: certain,
	}})
	if !run.Begun && len(run.Parts) > 0 {
		partNotices := append(duty.parts.RecentBegins(now, &run.Subject), run.PartStrikeNotice(run.lifetime(), now.Sub(at), certain, run.PartTrial))
		duty.parts.Learn(now, partNotices)
		notices = append(notices, partNotices...)
	}
	duty.updateStandings(notices)
	duty.mutex.Unlock()
	counters.Add("Strikes", 1)
	duty.options.Logger.Info("An endpoint ended under a request.", "digest", run.Digest.String(), "request", run.Request,
		"endpoint", run.lifetime(), "trial", run.Trial, "certain", certain, "begun", run.Begun, "parts", run.Parts)
	return notices
}

// Finished records that a request has an answer, and notifies the hubs if its digest was a suspect. It does not wait for them,
// since the caller waits for the end of its answer.
func (duty *Duty) Finished(ctx context.Context, subject *dogwoodsuspect.Subject) {
	duty.mutex.Lock()
	notices := duty.ledger.Finished(time.Now(), dogwoodsuspect.Run{Digest: subject.Digest, Request: subject.Request, Shared: true})
	duty.updateStandings(notices)
	duty.mutex.Unlock()
	if len(notices) == 0 {
		return
	}
	counters.Add("Cleared", 1)
	duty.options.Logger.Info("A suspect finished.", "digest", subject.Digest.String(), "request", subject.Request)
	duty.notifyInBackground(ctx, notices)
}

// Began records that the answer to a request began at a time and its endpoint lived on, and notifies the hubs if its prompt has
// a part under which endpoints ended.
func (duty *Duty) Began(ctx context.Context, subject *dogwoodsuspect.Subject, begun time.Time) {
	if len(subject.Parts) == 0 {
		return
	}
	duty.mutex.Lock()
	notices := duty.parts.Began(time.Now(), begun, subject, duty.isPartRefused)
	duty.updateStandings(notices)
	duty.mutex.Unlock()
	if len(notices) > 0 {
		duty.notifyInBackground(ctx, notices)
	}
}

func (duty *Duty) notifyInBackground(ctx context.Context, notices []dogwoodsuspect.Notice) {
	duty.background.Go(func() error {
		duty.exchange.Notify(ctx, notices)
		return nil
	})
}
