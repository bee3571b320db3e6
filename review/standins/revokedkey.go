package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// Figures of the case. revokeBound is the deployment's.
const (
	revokeBound = 5 * time.Second
	// awayFor is how long the store turns machines away.
	awayFor = 7 * time.Second
	// uploadTime is how long a requester takes to send a prompt's text.
	uploadTime   = 3500 * time.Millisecond
	uploadPieces = 50
	promptBytes  = 180_000
	promptTokens = 45_000
	timeLimit    = 10 * time.Second
	// callersPerMachine is the number of requesters that each of the machines that are turned away has.
	callersPerMachine = 4
)

const (
	revokedTenantKey = "n2ctnfzs989anu6wsjnb"
	otherTenantKey   = "k7w4hq2p5x8c1v9b3m6z"
)

// request is a request of a requester.
type request struct {
	id, key string
	// path is /lohu930/2f if it is empty.
	path    string
	address netip.AddrPort
	// sent is when its first byte was sent.
	sent   time.Time
	status int
	err    error
}

// send sends the request's headers at once and its body over a time, and reads the answer.
func (request *request) send(record *record, upload time.Duration) {
	record.log("requester: sends %s with key %.4s.. to %s, its body in %s", request.id, request.key, request.address, upload)
	request.status, request.err = request.exchange(upload)
	record.log("requester: %s with key %.4s.. was answered %d by %s (%v)", request.id, request.key, request.status, request.address, request.err)
}

func (request *request) exchange(upload time.Duration) (status int, err error) {
	connection, err := net.DialTimeout("tcp", request.address.String(), time.Second) //nolint:noctx // it has a time limit
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }() // the answer was read
	if err := connection.SetDeadline(time.Now().Add(timeLimit)); err != nil {
		return 0, err
	}
	call := dogwoodstandin.Call{ID: request.id, Key: request.key, Wait: timeLimit, PromptTokens: promptTokens, AnswerTokens: 80, Parts: []string{"5c1e07a2"}}
	header := call.Header()
	header.Set(dogwoodwire.Model, "m")
	request.sent = time.Now()
	head := &strings.Builder{}
	fmt.Fprintf(head, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", cmp.Or(request.path, "/lohu930/2f"), host, promptBytes)
	if err := header.Write(head); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(connection, head.String()+"\r\n"); err != nil {
		return 0, err
	}
	answered := make(chan struct{})
	var response *http.Response
	var readErr error
	go func() {
		defer close(answered)
		if response, readErr = http.ReadResponse(bufio.NewReader(connection), nil); readErr == nil {
			_, readErr = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close() // it was read
		}
	}()
	piece := []byte(strings.Repeat("a", promptBytes/uploadPieces))
	for range uploadPieces {
		select {
		case <-answered: // a refusal before the body is in
		default:
			if _, err := connection.Write(piece); err != nil {
				break // the answer tells why
			}
			time.Sleep(upload / uploadPieces)
		}
	}
	<-answered
	if readErr != nil {
		return 0, readErr
	}
	return response.StatusCode, nil
}

// manifest returns a version of the manifest. Without its key, the first tenant has none.
func manifest(version int64, withKey bool) *dogwoodstandin.Text {
	first := dogwoodstandin.Customer{Name: "hule930", Keys: []string{}}
	if withKey {
		first.Keys = []string{revokedTenantKey}
	}
	return &dogwoodstandin.Text{
		Version: version,
		Routes: []dogwoodstandin.Route{{
			Name: "history-summary", Host: host, Prefix: "/lohu930/", Service: "model-pool", Repeat: dogwoodstandin.Stream, Resumable: true,
			Timeout: timeLimit, Aim: 1500 * time.Millisecond, Pause: 600 * time.Millisecond, Attempts: 2, Rank: 1,
		}},
		Services:  []dogwoodstandin.Service{{Name: "model-pool", Engine: true, Slots: 16}},
		Customers: []dogwoodstandin.Customer{first, {Name: "tazo412", Keys: []string{otherTenantKey}}},
	}
}

// chooseAway returns the machines that the store turns away: a third of them, those that the others ask first for what they
// have read in the store.
func chooseAway(machines []*machine) []*machine {
	hubs := make([]dogwoodhubs.Daemon, 0, len(machines))
	for _, machine := range machines {
		hubs = append(hubs, dogwoodhubs.Daemon{
			VM: dogwoodfleet.VM(machine.name), Instance: dogwoodfleet.InstanceID(machine.name),
			Place: dogwoodfleet.Place{Region: region, DataCentre: dogwoodfleet.DataCentre(machine.zone)},
			Serve: netip.AddrPortFrom(machine.ip, frontPort), Cores: 0.4,
		})
	}
	// The first three, and the one that the first asks last.
	first := dogwoodhubs.StoreFallbacks(hubs, dogwoodhubs.Daemon{})
	chosen := append(first, dogwoodhubs.StoreFallbacks(hubs, first[0])[len(first)-1])
	var away []*machine
	for _, hub := range chosen {
		for _, machine := range machines {
			if machine.name == string(hub.VM) {
				away = append(away, machine)
			}
		}
	}
	return away
}

// revokedKey takes a tenant's key away while the store turns a third of the machines away, and sends requests with that key to these
// machines later than revokeBound after the confirmation.
func revokedKey(record *record, program string, trouble bool) (bool, error) {
	const machines, servers = 12, 6
	deployment, err := start(record, program, options{
		machines: machines, ratio: 0.2, slack: 104,
		services: []service{{name: "model-pool", servers: servers, options: dogwoodstandin.EndpointOptions{Slots: 16, Events: 10, EventInterval: 20 * time.Millisecond}}},
	}, manifest(1, true))
	if deployment != nil {
		defer deployment.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // the traffic of the day starts some time after the machines
	away := chooseAway(deployment.machines)
	for i, machine := range away {
		first := &request{id: fmt.Sprintf("warm-%d", i), key: revokedTenantKey, address: netip.AddrPortFrom(machine.ip, frontPort)}
		if first.send(record, 0); first.status != http.StatusOK {
			return false, fmt.Errorf("%w: a request with a key in force was answered %d", errCannotRun, first.status)
		}
	}
	troubleBegan := time.Now()
	if trouble {
		names := []string{}
		for _, machine := range away {
			names = append(names, machine.name)
		}
		record.log("platform: the store turns away %s", strings.Join(names, ", "))
		deployment.store.turnAway(names)
	}
	time.Sleep(50 * time.Millisecond)
	if err := deployment.publish(manifest(2, false)); err != nil {
		return false, err
	}
	confirmed := time.Now()
	record.log("operator: version 2 without the key %.4s.. is confirmed", revokedTenantKey)
	time.Sleep(200 * time.Millisecond)
	// Each requester asks the directory and keeps its answer as long as the pages allow.
	known, asked := []netip.AddrPort{}, time.Now()
	for _, machine := range away {
		for range callersPerMachine {
			addresses, err := machine.resolve()
			if err != nil {
				return false, err
			}
			record.log("directory: %s names %v", machine.name, addresses)
			known = append(known, addresses...)
		}
	}
	time.Sleep(time.Until(confirmed.Add(revokeBound + 150*time.Millisecond)))
	requests := sendAll(record, away, known, asked)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Until(troubleBegan.Add(awayFor)))
		if trouble {
			deployment.store.turnAway(nil)
			record.log("platform: the store serves all machines")
		}
	})
	group.Go(requests.wait)
	group.Wait()
	return judge(record, deployment, requests.sent, confirmed)
}

// sending are the requests that are being sent.
type sending struct {
	group sync.WaitGroup
	sent  []*request
}

func (sending *sending) wait() { sending.group.Wait() }

// sendAll sends requests of both tenants to the machines, as far as the directory named them.
func sendAll(record *record, machines []*machine, known []netip.AddrPort, asked time.Time) *sending {
	const (
		interval = 150 * time.Millisecond
		maxKept  = 3 * 2 * time.Second // three times what the directory's answer says
	)
	sending := &sending{}
	for number := range callersPerMachine {
		for i, machine := range machines {
			address := netip.AddrPortFrom(machine.ip, frontPort)
			if !slices.Contains(known, address) || time.Since(asked) > maxKept {
				continue
			}
			key, name := revokedTenantKey, "revoked"
			if number == callersPerMachine-1 {
				key, name = otherTenantKey, "other"
			}
			request := &request{id: fmt.Sprintf("%s-%d-%d", name, i, number), key: key, address: address}
			sending.sent = append(sending.sent, request)
			sending.group.Go(func() { request.send(record, uploadTime) })
		}
		time.Sleep(interval)
	}
	return sending
}

// judge checks that no request ran whose key was taken away longer ago than the bound when it was sent.
func judge(record *record, deployment *deployment, requests []*request, confirmed time.Time) (bool, error) {
	if len(requests) == 0 {
		return false, fmt.Errorf("%w: the directory names none of the machines", errCannotRun)
	}
	kept, served := true, 0
	for _, request := range requests {
		ran, after := deployment.ran(request.id), request.sent.Sub(confirmed)
		record.log("check: %s, sent %.3f s after the confirmation, answered %d, ran %d times", request.id, after.Seconds(), request.status, ran)
		switch {
		case request.key == otherTenantKey && request.status == http.StatusOK:
			served++
		case request.key == revokedTenantKey && after > revokeBound && ran > 0:
			kept = false
		}
	}
	record.log("check: %d requests with a key in force were served", served)
	return kept, nil
}
