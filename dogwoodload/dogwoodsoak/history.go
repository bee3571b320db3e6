package dogwoodsoak

import (
	"context"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// memoryReleaseTime is how long after the last request memory may stay reserved.
const memoryReleaseTime = 4 * time.Second

func unknownKind(kind dogwoodsoakplan.Kind) error {
	return dogwoodverb.Error.New("unknown kind of step %s", kind)
}

// history returns what callers and endpoints recorded, and the faults and changes that were made.
func (site *site) history(ctx context.Context, calm time.Time) (*dogwoodsoakcheck.History, error) {
	dogwoodkernel.Sleep(ctx, memoryReleaseTime)
	site.mutex.Lock()
	history := site.recorded
	site.mutex.Unlock()
	history.Calls, history.Calm = site.callers.Calls(), calm
	for _, endpoint := range site.endpoints {
		history.Faults = append(history.Faults, copyFaults(history.Faults, endpoint.ids)...)
		for _, id := range endpoint.ids {
			if err := site.addRecords(&history, id); err != nil {
				return nil, err
			}
		}
		if endpoint.service != engineName {
			continue
		}
		tokens, err := dogwoodstandin.FetchReservedTokens(ctx, endpoint.address)
		if err != nil {
			return nil, err
		}
		history.Held = append(history.Held, dogwoodsoakcheck.Held{Endpoint: endpoint.id, Tokens: tokens})
	}
	for _, daemon := range site.daemons {
		if !daemon.process.Running() {
			history.Deaths = append(history.Deaths, dogwoodsoakcheck.Death{Process: daemon.name, Error: describeExit(daemon.process.Err())})
		}
	}
	return &history, nil
}

// copyFaults returns copies of the faults of the first endpoint at an address for all later endpoints there. It
// doesn't matter which one was running: a fault may begin at one endpoint and end at the next.
func copyFaults(faults []dogwoodsoakcheck.Fault, ids []string) []dogwoodsoakcheck.Fault {
	var copies []dogwoodsoakcheck.Fault
	for _, fault := range faults {
		if fault.Endpoint != ids[0] {
			continue
		}
		for _, id := range ids[1:] {
			fault.Endpoint = id
			copies = append(copies, fault)
		}
	}
	return copies
}

func describeExit(err error) string {
	if err == nil {
		return "without an error"
	}
	return err.Error()
}

func (site *site) addRecords(history *dogwoodsoakcheck.History, id string) error {
	records, err := dogwoodstandin.ReadRecords(site.path(id + ".records"))
	if err != nil {
		return err
	}
	first := len(history.Arrivals)
	for _, record := range records {
		if record.Left != nil {
			history.Leavings = append(history.Leavings, dogwoodsoakcheck.Leaving{Endpoint: id, At: *record.Left})
		}
		if crash := record.Crash; crash != nil {
			history.Crashes = append(history.Crashes, dogwoodsoakcheck.Crash{Endpoint: id, RequestID: crash.RequestID, At: crash.At})
			// A step that acts on the process may end the endpoint's time before its crash is seen.
			history.Faults = append(history.Faults, dogwoodsoakcheck.Fault{Endpoint: id, From: crash.At, To: crash.At.Add(restartDelay)})
		}
		if written := record.Written; written != nil {
			history.Written = append(history.Written, dogwoodsoakcheck.Written{Endpoint: id, RequestID: written.RequestID, At: written.At, Unread: written.Unread})
		}
		if ended := record.OutOfMemory; ended != nil {
			history.OutOfMemory = append(history.OutOfMemory, dogwoodsoakcheck.OutOfMemory{
				Endpoint: id, RequestID: ended.RequestID, Held: ended.Held, Bound: ended.Bound, At: ended.At,
			})
			history.Faults = append(history.Faults, dogwoodsoakcheck.Fault{Endpoint: id, From: ended.At, To: ended.At.Add(restartDelay)})
		}
		if arrival := record.Arrival; arrival != nil {
			history.Arrivals = append(history.Arrivals, dogwoodsoakcheck.Arrival{
				Endpoint: id, DataCentre: arrival.DataCentre, Service: arrival.Service, RequestID: arrival.RequestID,
				At: arrival.At, Ran: arrival.Ran, Cold: arrival.Cold, KeySeen: arrival.KeySeen,
				AskedBackoff: arrival.AskedBackoff, SaidLeaving: arrival.SaidLeaving,
			})
		}
		if done := record.Done; done != nil {
			setUntil(history.Arrivals[first:], done)
		}
	}
	return nil
}

// setUntil sets the end of the work on the request of one of an endpoint's arrivals.
func setUntil(arrivals []dogwoodsoakcheck.Arrival, done *dogwoodstandin.Done) {
	for i := len(arrivals) - 1; i >= 0; i-- { // it is one of the last ones
		if arrivals[i].RequestID == done.RequestID && arrivals[i].At.Equal(done.Arrived) {
			arrivals[i].Until = done.At
			return
		}
	}
}
