package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/platform/dogwoodstandin"
)

const (
	// awayFor is how long the store turns machines away, as the largest dose of the site says.
	awayFor = 9 * time.Second
	// fleet is the number of machines, of which the store turns four away: a share of 0.33.
	fleet = 12
)

// turnedAway shows what machines do that the store turns away while it serves the others: a route moves to another service meanwhile.
func turnedAway(site *site) (bool, error) {
	var mutex sync.Mutex
	ranBy := map[string]string{}
	arrived := func(arrival dogwoodstandin.Arrival) {
		mutex.Lock()
		ranBy[arrival.RequestID] = arrival.Service
		mutex.Unlock()
	}
	for i, zone := range dataCentres {
		for _, service := range []string{"desk-old", "desk-new"} {
			if err := site.addServer(service+"-"+string(rune('1'+i)), service, zone, 16, 5*time.Millisecond, arrived); err != nil {
				return false, err
			}
		}
	}
	if err := site.publish("manifest-1.json"); err != nil {
		return false, err
	}
	for number := range fleet {
		if err := site.addDaemon(number); err != nil {
			return false, err
		}
	}
	if err := site.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Second) // the machines find each other, and all are in touch
	victims := site.chooseTurnedAway()
	if site.trouble {
		for _, daemon := range victims {
			daemon.turnAway(true)
			site.note("the store turns %s away with 503", daemon.name())
		}
	}
	begun := time.Now()
	time.Sleep(300 * time.Millisecond)
	if err := site.publish("manifest-2.json"); err != nil {
		return false, err
	}
	confirmed := time.Now()
	type sent struct {
		id     string
		daemon *daemon
		after  time.Duration
		answer answer
	}
	var all []*sent
	var group sync.WaitGroup
	for time.Since(begun) < awayFor-200*time.Millisecond {
		for _, daemon := range site.daemons {
			request := &sent{id: newID(), daemon: daemon, after: time.Since(confirmed)}
			all = append(all, request)
			group.Go(func() {
				request.answer = site.send(context.Background(), daemon, request.id, "/moved/item", "")
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	for _, daemon := range victims {
		daemon.turnAway(false)
	}
	mutex.Lock()
	defer mutex.Unlock()
	late, outer, others := 0, 0, 0
	for _, request := range all {
		service := ranBy[request.id]
		site.note("request %s sent to %s %.3f s after the confirmation: status %d, run by %q", request.id, request.daemon.name(), request.after.Seconds(), request.answer.status, service)
		if service != "desk-old" || request.after <= changeWithin {
			continue
		}
		late++
		if request.after > changeWithin+outerBound {
			outer++
		}
		if !slices.Contains(victims, request.daemon) {
			others++
		}
	}
	site.say("of %d requests, %d were run by the old service although they were sent over %s after the confirmation, %d of them over %s after it; %d of them at machines that the store served",
		len(all), late, changeWithin, outer, changeWithin+outerBound, others)
	return outer == 0 && others == 0, nil
}

// chooseTurnedAway returns the machines that the store turns away: those that come first in the order in which machines ask each other.
func (site *site) chooseTurnedAway() []*daemon {
	left := make([]dogwoodhubs.Daemon, 0, len(site.daemons))
	for _, daemon := range site.daemons {
		left = append(left, dogwoodhubs.Daemon{
			VM: dogwoodfleet.VM(daemon.name()), Instance: dogwoodfleet.InstanceID(daemon.name()), Serve: daemon.settings.CallersAddress(),
			Place: dogwoodfleet.Place{DataCentre: dogwoodfleet.DataCentre(daemon.settings.DataCentre)}, Cores: 0.4,
		})
	}
	// A machine's fallbacks are the first of the others. With the first machine left out, they are the second to the fourth.
	first := dogwoodhubs.StoreFallbacks(left, dogwoodhubs.Daemon{})[0]
	chosen := append(dogwoodhubs.StoreFallbacks(left, first), first)
	var victims []*daemon
	for _, daemon := range site.daemons {
		if slices.ContainsFunc(chosen, func(hub dogwoodhubs.Daemon) bool { return string(hub.VM) == daemon.name() }) {
			victims = append(victims, daemon)
		}
	}
	return victims
}
