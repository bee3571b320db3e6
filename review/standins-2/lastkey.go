package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
)

// lastKey shows what becomes of keys once the operator has taken away the last one, with its tenant.
func lastKey(site *site) (bool, error) {
	var mutex sync.Mutex
	ran := map[string]bool{}
	arrived := func(arrival dogwoodstandin.Arrival) {
		mutex.Lock()
		defer mutex.Unlock()
		ran[arrival.RequestID] = ran[arrival.RequestID] || arrival.Ran
	}
	for i, zone := range dataCentres {
		if err := site.addServer("desk-"+string(rune('1'+i)), "desk", zone, 6, 20*time.Millisecond, arrived); err != nil {
			return false, err
		}
	}
	if err := site.publish("manifest-1.json"); err != nil {
		return false, err
	}
	for number := range 3 {
		if err := site.addDaemon(number); err != nil {
			return false, err
		}
	}
	if err := site.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if site.trouble {
		if err := site.publish("manifest-2.json"); err != nil {
			return false, err
		}
	}
	confirmed := time.Now()
	withdrawn, unknown := 0, 0
	for time.Since(confirmed) < revokeWithin+5*time.Second {
		for _, daemon := range site.daemons {
			for _, key := range []string{"key-a", "key-never-held"} {
				id, after := newID(), time.Since(confirmed)
				answer := site.request(context.Background(), daemon, http.MethodPost, id, "/hold/car", key, "a hold")
				mutex.Lock()
				hasRun := ran[id]
				mutex.Unlock()
				site.note("request %s with %s sent to %s %.3f s after the confirmation: status %d, run: %t", id, key, daemon.name(), after.Seconds(), answer.status, hasRun)
				switch {
				case !hasRun:
				case key == "key-never-held":
					unknown++
				case site.trouble && after > revokeWithin:
					withdrawn++
				}
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	site.say("%d requests ran that were sent with a key over %s after it was taken away, and %d with a key that no manifest ever held", withdrawn, revokeWithin, unknown)
	return withdrawn == 0 && unknown == 0, nil
}
