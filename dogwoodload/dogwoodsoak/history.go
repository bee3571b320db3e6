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

// memoryWithin is how long after the last request memory may stay set aside.
const memoryWithin = 4 * time.Second

func unknown(kind dogwoodsoakplan.Kind) error {
	return dogwoodverb.Error.New("nobody knows how to do %s", kind)
}

// history gathers what callers and endpoints saw.
func (site *site) history(ctx context.Context, calm time.Time) (*dogwoodsoakcheck.History, error) {
	dogwoodkernel.Sleep(ctx, memoryWithin)
	site.mutex.Lock()
	history := site.seen
	site.mutex.Unlock()
	history.Calls, history.Calm = site.callers.Calls(), calm
	for _, endpoint := range site.endpoints {
		history.Faults = append(history.Faults, spread(history.Faults, endpoint.names)...)
		for _, id := range endpoint.names {
			if err := site.addRecords(&history, id); err != nil {
				return nil, err
			}
		}
		if endpoint.service != engineName {
			continue
		}
		tokens, err := dogwoodstandin.ReservedAt(ctx, endpoint.address)
		if err != nil {
			return nil, err
		}
		history.Held = append(history.Held, dogwoodsoakcheck.Held{Endpoint: endpoint.id, Tokens: tokens})
	}
	for _, daemon := range site.daemons {
		if !daemon.process.Running() {
			history.Deaths = append(history.Deaths, dogwoodsoakcheck.Death{Process: daemon.name, Error: describe(daemon.process.Err())})
		}
	}
	return &history, nil
}

// spread has faults of the first endpoint at a place count for those that came after it. Which one was
// there is not asked: a fault may begin at one and end at the next.
func spread(faults []dogwoodsoakcheck.Fault, names []string) []dogwoodsoakcheck.Fault {
	var others []dogwoodsoakcheck.Fault
	for _, fault := range faults {
		if fault.Endpoint != names[0] {
			continue
		}
		for _, name := range names[1:] {
			fault.Endpoint = name
			others = append(others, fault)
		}
	}
	return others
}

func describe(err error) string {
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
	for _, record := range records {
		if record.Left != nil {
			history.Leavings = append(history.Leavings, dogwoodsoakcheck.Leaving{Endpoint: id, At: *record.Left})
		}
		if arrival := record.Arrival; arrival != nil {
			history.Arrivals = append(history.Arrivals, dogwoodsoakcheck.Arrival{
				Endpoint: id, DataCentre: arrival.DataCentre, Service: arrival.Service, RequestID: arrival.RequestID,
				At: arrival.At, Ran: arrival.Ran, Cold: arrival.Cold, KeySeen: arrival.KeySeen,
			})
		}
	}
	return nil
}
