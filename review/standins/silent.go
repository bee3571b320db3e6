package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
)

// silenceable accepts channels that can go silent for good, without a reset. Later channels work.
type silenceable struct {
	net.Listener
	mutex    sync.Mutex
	channels []*channel
}

// channel is a channel that may be silent. What its peer has sent is then lost, and it gets nothing.
type channel struct {
	net.Conn
	silent atomic.Bool
}

// Accept waits for the next channel.
func (listener *silenceable) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	channel := &channel{Conn: accepted}
	listener.mutex.Lock()
	listener.channels = append(listener.channels, channel)
	listener.mutex.Unlock()
	return channel, nil
}

// silence makes all open channels silent and returns their number.
func (listener *silenceable) silence() int {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for _, channel := range listener.channels {
		channel.silent.Store(true)
	}
	return len(listener.channels)
}

// Read reads what the peer has sent, unless the channel is silent.
func (channel *channel) Read(target []byte) (int, error) {
	for {
		count, err := channel.Conn.Read(target)
		if err != nil || !channel.silent.Load() {
			return count, err
		}
	}
}

// Write writes to the peer, unless the channel is silent.
func (channel *channel) Write(data []byte) (int, error) {
	if channel.silent.Load() {
		return len(data), nil
	}
	return channel.Conn.Write(data)
}

// Figures of the case.
const (
	// stability and changeWithin are bounds of the deployment: the channels were reset, in the rules' words, when they went silent.
	stability, changeWithin = 3 * time.Second, 2 * time.Second
	oldService, newService  = "lot-desk", "new-desk"
)

// silentManifest returns a version of the manifest whose route leads to a service.
func silentManifest(version int64, service string) *dogwoodstandin.Text {
	return &dogwoodstandin.Text{
		Version: version,
		Routes: []dogwoodstandin.Route{{
			Name: "stock-lookup", Host: host, Prefix: "/lohu930/", Service: service, Repeat: dogwoodstandin.Idempotent,
			Timeout: 2 * time.Second, Aim: 300 * time.Millisecond, Attempts: 2, Rank: 2,
		}},
		Services:  []dogwoodstandin.Service{{Name: oldService, Slots: 6}, {Name: newService, Slots: 6}},
		Customers: []dogwoodstandin.Customer{{Name: "tazo412", Keys: []string{otherTenantKey}}},
	}
}

// lookup is a request that was answered.
type lookup struct {
	id, machine string
	sent        time.Time
	status      int
}

// silent makes all channels to the store silent and moves a route to another service just after it.
func silent(record *record, program string, trouble bool) (bool, error) {
	const machines, servers, lookers, before, after = 12, 3, 6, time.Second, 8 * time.Second
	endpoint := dogwoodstandin.EndpointOptions{Slots: 6, Work: 10 * time.Millisecond}
	deployment, err := start(record, program, options{
		machines: machines, ratio: 0.2, slack: 104,
		services: []service{{name: oldService, servers: servers, options: endpoint}, {name: newService, servers: servers, options: endpoint}},
	}, silentManifest(1, oldService))
	if deployment != nil {
		defer deployment.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // the traffic of the day starts some time after the machines
	ctx, cancel := context.WithTimeout(context.Background(), before+after)
	defer cancel()
	var mutex sync.Mutex
	var lookups []lookup
	var group sync.WaitGroup
	for i, machine := range deployment.machines {
		for looker := range lookers {
			group.Go(func() {
				for number := 0; ctx.Err() == nil; number++ {
					request := &plainRequest{
						id: fmt.Sprintf("lookup-%d-%d-%d", i, looker, number), method: http.MethodGet, target: "/lohu930/2f",
						address: netip.AddrPortFrom(machine.ip, frontPort), wait: 4 * time.Second,
					}
					sent := time.Now()
					got := request.send()
					mutex.Lock()
					lookups = append(lookups, lookup{id: request.id, machine: machine.name, sent: sent, status: got.status})
					mutex.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(before)
	began := time.Now()
	if trouble {
		for _, machine := range deployment.machines {
			record.log("platform: %d channels from %s to the store go silent", machine.channels.silence(), machine.name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if err := deployment.publish(silentManifest(2, newService)); err != nil {
		return false, err
	}
	confirmed := time.Now()
	record.log("operator: version 2 is confirmed, the route leads from %s to %s", oldService, newService)
	group.Wait()
	return deployment.judgeSilent(record, lookups, began, confirmed), nil
}

// judgeSilent checks that no request was run by the old service that was sent later than changeWithin after the confirmation, to a
// machine that was in touch.
func (deployment *deployment) judgeSilent(record *record, lookups []lookup, began, confirmed time.Time) bool {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	ranBy := map[string]string{}
	for i := range deployment.arrivals {
		ranBy[deployment.arrivals[i].RequestID] = deployment.arrivals[i].Service
	}
	late, statuses, last := 0, map[int]int{}, map[string]time.Time{}
	for _, lookup := range lookups {
		if lookup.sent.Before(began) {
			continue
		}
		statuses[lookup.status]++
		if ranBy[lookup.id] != oldService {
			continue
		}
		if last[lookup.machine].Before(lookup.sent) {
			last[lookup.machine] = lookup.sent
		}
		if lookup.sent.After(began.Add(stability)) && lookup.sent.After(confirmed.Add(changeWithin)) {
			late++
			record.log("check: %s was sent to %s %.3f s after the confirmation and run by %s", lookup.id, lookup.machine, lookup.sent.Sub(confirmed).Seconds(), oldService)
		}
	}
	for machine, at := range last {
		record.log("check: the last that %s gave to the old service was sent %.3f s after the silence began", machine, at.Sub(began).Seconds())
	}
	record.log("check: %d requests were run by the old service too late; statuses %v", late, statuses)
	return late == 0
}
