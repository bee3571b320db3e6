package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// Figures of the case.
const (
	// failing is one in how many runs that a server ends with a 500 of its own.
	failing = 7
	// window is the budget's window.
	window = 10 * time.Second
	// newRatio and newSlack are the budget's figures in the changed settings.
	newRatio, newSlack = 0.02, 10
)

// failSome makes a server answer some requests with a failure of its own, after its work.
func failSome(server string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(server + received.Header.Get(dogwoodwire.RequestID))) // it never fails
		if received.Header.Get(dogwoodwire.RequestID) != "" && hash.Sum32()%failing == 0 {
			writer = &failingWriter{ResponseWriter: writer}
		}
		handler.ServeHTTP(writer, received)
	})
}

// failingWriter turns a success into a 500.
type failingWriter struct {
	http.ResponseWriter
	begun bool
}

// Write writes a part of the answer.
func (writer *failingWriter) Write(data []byte) (int, error) {
	if !writer.begun {
		writer.begun = true
		writer.ResponseWriter.WriteHeader(http.StatusInternalServerError)
	}
	return writer.ResponseWriter.Write(data)
}

// WriteHeader sends the status.
func (writer *failingWriter) WriteHeader(status int) {
	writer.begun = true
	writer.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer itself, for its controller.
func (writer *failingWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// sent are the times at which requests were sent.
type sent struct {
	mutex sync.Mutex
	times []time.Time
}

func (sent *sent) add() {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	sent.times = append(sent.times, time.Now())
}

// changedBudget lowers the retry budget in the settings files and sends SIGHUP.
func changedBudget(record *record, program string, trouble bool) (bool, error) {
	const machines, servers, callers, before, after = 3, 3, 5, 8 * time.Second, 25 * time.Second
	deployment, err := start(record, program, options{
		machines: machines, ratio: 0.2, slack: 104,
		services: []service{{name: "lot-desk", servers: servers, wrap: failSome, options: dogwoodstandin.EndpointOptions{Slots: 6, Work: 30 * time.Millisecond}}},
	}, &dogwoodstandin.Text{
		Version: 1,
		Routes: []dogwoodstandin.Route{{
			Name: "stock-lookup", Host: host, Prefix: "/lohu930/", Service: "lot-desk", Repeat: dogwoodstandin.Idempotent,
			Timeout: 2 * time.Second, Aim: 300 * time.Millisecond, Attempts: 2, Rank: 2,
		}},
		Services:  []dogwoodstandin.Service{{Name: "lot-desk", Slots: 6}},
		Customers: []dogwoodstandin.Customer{{Name: "tazo412", Keys: []string{otherTenantKey}}},
	})
	if deployment != nil {
		defer deployment.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), before+after)
	defer cancel()
	requests := &sent{}
	var group sync.WaitGroup
	for i, machine := range deployment.machines {
		for caller := range callers {
			group.Go(func() {
				for number := 0; ctx.Err() == nil; number++ {
					request := &plainRequest{
						id: fmt.Sprintf("lookup-%d-%d-%d", i, caller, number), method: http.MethodGet, target: "/lohu930/2f",
						address: netip.AddrPortFrom(machine.ip, frontPort), wait: 4 * time.Second,
					}
					requests.add()
					request.send()
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(before)
	ratio, slack := deployment.options.ratio, deployment.options.slack
	if trouble {
		ratio, slack = newRatio, newSlack
		deployment.options.ratio, deployment.options.slack = ratio, slack
		for _, machine := range deployment.machines {
			if err := deployment.writeSettings(machine, false); err != nil {
				return false, err
			}
			if err := machine.process.Process.Signal(syscall.SIGHUP); err != nil {
				return false, fmt.Errorf("%w: %w", errCannotRun, err)
			}
		}
		record.log("platform: the settings of all machines have a ratio of %v and a slack of %v, SIGHUP is sent", ratio, slack)
	}
	changed := time.Now()
	group.Wait()
	return deployment.judgeBudget(record, requests.times, changed, ratio, slack), nil
}

// judgeBudget checks the retry budget in windows that begin after the change of the settings, two seconds later at the earliest.
func (deployment *deployment) judgeBudget(record *record, requests []time.Time, changed time.Time, ratio, slack float64) bool {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	known, repeats := map[string]bool{}, []time.Time{}
	slices.SortFunc(deployment.arrivals, func(a, b dogwoodstandin.Arrival) int { return a.At.Compare(b.At) })
	for i := range deployment.arrivals {
		if arrival := &deployment.arrivals[i]; known[arrival.RequestID] {
			repeats = append(repeats, arrival.At)
		} else {
			known[arrival.RequestID] = true
		}
	}
	count := func(times []time.Time, from time.Time) int {
		within := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				within++
			}
		}
		return within
	}
	kept := true
	for from := changed.Add(2 * time.Second); from.Add(window).Before(changed.Add(24 * time.Second)); from = from.Add(time.Second) {
		most := max(count(requests, from), count(requests, from.Add(-window)), count(requests, from.Add(-window/2)))
		got, allowed := count(repeats, from), ratio*float64(most)+slack
		record.log("check: %d repeats in the 10 s from %.1f s after the change, for %d requests; allowed are %.0f", got, from.Sub(changed).Seconds(), most, allowed)
		if float64(got) > allowed {
			kept = false
		}
	}
	return kept
}
