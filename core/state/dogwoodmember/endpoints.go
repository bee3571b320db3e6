package dogwoodmember

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodchange"
)

// Endpoints returns the endpoints that are listed for a service of the operators' text. InForce
// is false for those that get no new work. Callers must not change the slice.
func (members *Members) Endpoints() []dogwoodfleet.Endpoint {
	return members.fleet.Load().endpoints
}

// Listed returns the platform's list as last read. Callers must not change it.
func (members *Members) Listed() []dogwoodfleet.ListedVM {
	return members.fleet.Load().listed
}

// SetListed applies the platform's list. An empty list is ignored as faulty, since the list
// must contain the VM of this daemon.
func (members *Members) SetListed(listed []dogwoodfleet.ListedVM) {
	if len(listed) == 0 {
		return
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.listed = listed
	for _, peer := range members.peers {
		peer.listed = false
	}
	for _, vm := range listed {
		if vm.Service != "" || !vm.Peer.IsValid() || vm.Name == members.self.VM {
			continue
		}
		found, ok := members.peers[vm.Name]
		if !ok {
			found = &peer{vm: vm.Name}
			members.peers[vm.Name] = found
		}
		found.listed = true
		if !found.hasRecord {
			found.address, found.region = vm.Peer, vm.Place.Region
		}
	}
	members.refreshEndpoints()
}

// SetView applies a view of the operators' changes unless a newer one was applied before.
func (members *Members) SetView(view dogwoodchange.View) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if view.Version < members.view.Version {
		return
	}
	members.view = view
	members.refreshEndpoints()
}

// SetEndpointLeaving records that an endpoint has just reported that it is leaving, or that it
// is not. A report that it is leaving expires after some seconds.
func (members *Members) SetEndpointLeaving(endpoint dogwoodfleet.EndpointID, leaving bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	_, before := members.leaving[endpoint]
	if leaving {
		members.leaving[endpoint] = time.Now()
	} else {
		delete(members.leaving, endpoint)
	}
	if before != leaving {
		members.refreshEndpoints()
	}
}

// expireLeaving drops old reports of endpoints that they are leaving. The caller holds the mutex.
func (members *Members) expireLeaving(now time.Time) {
	before := len(members.leaving)
	maps.DeleteFunc(members.leaving, func(_ dogwoodfleet.EndpointID, at time.Time) bool {
		return now.Sub(at) > leavingTTL
	})
	if len(members.leaving) != before {
		members.refreshEndpoints()
	}
}

// refreshEndpoints publishes the list, and the endpoints if they changed. The caller holds the
// mutex.
func (members *Members) refreshEndpoints() {
	var endpoints []dogwoodfleet.Endpoint
	for _, vm := range members.listed {
		if vm.Service == "" || members.view.Text == nil {
			continue
		}
		service, known := members.view.Text.Service(vm.Service)
		if !known {
			continue
		}
		id := dogwoodfleet.EndpointID(vm.Name)
		_, leaving := members.leaving[id]
		endpoints = append(endpoints, dogwoodfleet.Endpoint{
			ID:      id,
			Service: vm.Service,
			Kind:    service.Kind,
			VM:      vm.Name,
			Place:   vm.Place,
			Address: vm.Serve,
			InForce: vm.State == dogwoodfleet.Live &&
				!members.view.Out(vm.Place.DataCentre, vm.Name) && !leaving,
		})
	}
	slices.SortFunc(endpoints, func(a, b dogwoodfleet.Endpoint) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	before := members.fleet.Load()
	changed := !reflect.DeepEqual(before.endpoints, endpoints)
	if !changed {
		// Keeping the same slice lets readers detect that nothing changed and skip their
		// computations, which take 50 ms at 5,900 endpoints; the list is read every two seconds.
		endpoints = before.endpoints
	}
	members.fleet.Store(&fleet{listed: members.listed, endpoints: endpoints})
	if changed {
		members.notifyWatchers()
	}
}

// InService reports whether callers may be sent to a daemon: it must not be leaving, neither
// by its own record nor by the platform's list, and must not be taken out by operators.
func (members *Members) InService(member Member) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if member.Leaving || members.view.Out(member.Place.DataCentre, member.VM) {
		return false
	}
	return !slices.ContainsFunc(members.listed, func(vm dogwoodfleet.ListedVM) bool {
		return vm.Name == member.VM && vm.State == dogwoodfleet.Leaving
	})
}

// Peers returns the addresses of all other known daemons in every region, the living first.
func (members *Members) Peers() []Target {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var targets []Target
	for vm, peer := range members.peers {
		if peer.address.IsValid() {
			targets = append(targets, Target{VM: vm, Peer: peer.address})
		}
	}
	living := *members.alive.Load()
	slices.SortFunc(targets, func(a, b Target) int {
		first, second := contains(living, a.VM), contains(living, b.VM)
		if first != second {
			if first {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return targets
}

func contains(living []Member, vm dogwoodfleet.VM) bool {
	return slices.ContainsFunc(living, func(member Member) bool { return member.VM == vm })
}
