package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// seen is a request as a server received it.
type seen struct{ method, target, host string }

// seenRequests are the requests that servers received, by their IDs.
type seenRequests struct {
	mutex sync.Mutex
	byID  map[string]seen
}

// wrap records what a server receives.
func (requests *seenRequests) wrap(_ string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		if id := received.Header.Get(dogwoodwire.RequestID); id != "" {
			requests.mutex.Lock()
			requests.byID[id] = seen{received.Method, received.RequestURI, received.Host}
			requests.mutex.Unlock()
		}
		handler.ServeHTTP(writer, received)
	})
}

// changedPath sends requests whose paths begin with two slashes, on a route for all paths of the host. Without trouble they begin with
// one.
func changedPath(record *record, program string, trouble bool) (bool, error) {
	const machines, servers, perMachine = 3, 3, 5
	requests := &seenRequests{byID: map[string]seen{}}
	deployment, err := start(record, program, options{
		machines: machines, ratio: 0.2, slack: 104,
		services: []service{{name: "lot-desk", servers: servers, wrap: requests.wrap, options: dogwoodstandin.EndpointOptions{Slots: 6, Work: 60 * time.Millisecond}}},
	}, &dogwoodstandin.Text{
		Version: 1,
		Routes: []dogwoodstandin.Route{{
			Name: "reservation-hold", Host: host, Prefix: "/", Service: "lot-desk", Repeat: dogwoodstandin.Once,
			Timeout: 2 * time.Second, Aim: 300 * time.Millisecond, Attempts: 1, Rank: 2,
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
	slashes := "/"
	if trouble {
		slashes = "//"
	}
	kept := true
	for i, machine := range deployment.machines {
		for number := range perMachine {
			request := &plainRequest{
				id: fmt.Sprintf("hold-%d-%d", i, number), method: http.MethodPost, target: slashes + "lohu930/2f?car=" + fmt.Sprint(number), body: "hold",
				address: netip.AddrPortFrom(machine.ip, frontPort), wait: 4 * time.Second,
			}
			answer := request.send()
			requests.mutex.Lock()
			got, reached := requests.byID[request.id]
			requests.mutex.Unlock()
			want := seen{request.method, request.target, host}
			record.log("requester: %s %s of %s to %s was answered %d, a server's: %t (%v); the server got %s %s of %s, ran %d times", want.method, want.target, want.host,
				machine.name, answer.status, answer.isServers(), answer.err, got.method, got.target, got.host, deployment.ran(request.id))
			if !reached && !trouble {
				return false, fmt.Errorf("%w: no server was reached", errCannotRun)
			}
			if deployment.ran(request.id) > 0 && got != want {
				kept = false
			}
		}
	}
	return kept, nil
}
