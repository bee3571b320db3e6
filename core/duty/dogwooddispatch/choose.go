package dogwooddispatch

import (
	"math/rand/v2"
	"slices"

	"dogwoodmux.example/core/decision/dogwoodrouting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// chooser returns the owners of a service's endpoints in force, in the order in which a
// request is sent to them.
type chooser struct {
	owners     *Owners
	groups     []*ownerGroup
	loads      []dogwoodrouting.OwnerLoad // nil for the baseline policy
	firstBlock uint64
}

func (owners *Owners) chooser(acquireRequest *dogwoodowner.AcquireRequest) *chooser {
	chooser := &chooser{owners: owners, groups: owners.ownership().groupsServing(acquireRequest.Request.Service, acquireRequest.Request.Model)}
	if owners.options.Policy == dogwoodowner.PolicyBaseline {
		groups := chooser.groups
		rand.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
		return chooser
	}
	chooser.loads = owners.loads(chooser.groups, acquireRequest.Request.Service)
	if len(acquireRequest.Request.Blocks) > 0 {
		chooser.firstBlock = acquireRequest.Request.Blocks[0]
	}
	return chooser
}

// nextOwner returns the next owner, or false after the last one.
func (chooser *chooser) nextOwner() (Member, bool) {
	if len(chooser.groups) == 0 {
		return Member{}, false
	}
	index := 0
	if chooser.loads != nil {
		index = chooser.owners.pickOwner(chooser.loads, chooser.firstBlock)
		chooser.loads = slices.Delete(chooser.loads, index, index+1)
		chooser.firstBlock = 0
	}
	owner := chooser.groups[index].member
	chooser.groups = slices.Delete(chooser.groups, index, index+1)
	return owner, true
}

func (owners *Owners) pickOwner(loads []dogwoodrouting.OwnerLoad, firstBlock uint64) int {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	return max(0, dogwoodrouting.PickOwner(loads, firstBlock, owners.random))
}

// mayHoldModel returns false only if the endpoint is known not to hold the model.
func mayHoldModel(endpoint *dogwoodfleet.Endpoint, model dogwoodfleet.Model) bool {
	return model == "" || len(endpoint.Models) == 0 || slices.Contains(endpoint.Models, model)
}

// loads returns the last known load of each owner. An owner that hasn't reported yet counts
// as idle, so that it receives a request and sends its summary in the reply.
func (owners *Owners) loads(groups []*ownerGroup, service dogwoodfleet.Service) []dogwoodrouting.OwnerLoad {
	local := owners.options.Local.Summary()
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	loads := make([]dogwoodrouting.OwnerLoad, len(groups))
	for i, group := range groups {
		loads[i].Hash, loads[i].Distance = group.hash, group.distance
		summary := local
		if instance := group.member.Instance; instance != owners.options.Self {
			state := owners.ownerStates[instance]
			if state == nil {
				continue
			}
			summary, loads[i].Asked = state.summary, state.acquires[service]
		}
		for _, reported := range summary.Services {
			if reported.Service == service {
				loads[i].Slots, loads[i].Running, loads[i].Waiting, loads[i].Wait = reported.Slots, reported.Running, reported.Waiting, reported.Wait
			}
		}
	}
	return loads
}

// countAcquire counts an acquire request that the owner's last summary doesn't include.
func (owners *Owners) countAcquire(instance dogwoodfleet.InstanceID, service dogwoodfleet.Service) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	if state := owners.ownerStates[instance]; state != nil {
		state.acquires[service]++
	}
}
