package dogwooddispatch

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/decision/dogwoodownership"
	"dogwoodmux.example/core/dogwoodfleet"
)

// ownership maps endpoints to the members that own them. It is computed once for each change
// of members or endpoints. Computing it for each request would take a hash for each pair of
// an endpoint and a member: three million at 5,900 endpoints and 500 daemons.
type ownership struct {
	alive           []Member
	endpoints       []dogwoodfleet.Endpoint
	members         []dogwoodownership.Member
	ownerIndexes    map[dogwoodfleet.EndpointID]int
	groupsByService map[dogwoodfleet.Service][]ownerGroup
}

// ownerGroup is an owner with its endpoints in force of one service.
type ownerGroup struct {
	member    Member
	hash      uint64
	distance  int
	endpoints []dogwoodfleet.Endpoint
}

// ownership returns the ownership for the current members and endpoints.
func (owners *Owners) ownership() *ownership {
	alive, endpoints := owners.options.Members.Alive(), owners.options.Members.Endpoints()
	current := owners.cachedOwnership.Load()
	if current != nil && sameSlice(current.alive, alive) && sameSlice(current.endpoints, endpoints) {
		return current
	}
	ownership := newOwnership(owners.options.Place, alive, endpoints)
	owners.cachedOwnership.Store(ownership)
	return ownership
}

// sameSlice reports whether a and b are the same slice, not only equal ones.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func newOwnership(place dogwoodfleet.Place, alive []Member, endpoints []dogwoodfleet.Endpoint) *ownership {
	ownership := &ownership{
		alive:           alive,
		endpoints:       endpoints,
		members:         make([]dogwoodownership.Member, len(alive)),
		ownerIndexes:    make(map[dogwoodfleet.EndpointID]int, len(endpoints)),
		groupsByService: map[dogwoodfleet.Service][]ownerGroup{},
	}
	for i, member := range alive {
		ownership.members[i] = dogwoodownership.Member{Instance: member.Instance, Place: member.Place, Leaving: member.Leaving}
	}
	for i := range endpoints {
		ownership.addEndpoint(place, &endpoints[i])
	}
	return ownership
}

func (ownership *ownership) addEndpoint(place dogwoodfleet.Place, endpoint *dogwoodfleet.Endpoint) {
	index := dogwoodownership.Owner(endpoint, ownership.members)
	if index < 0 {
		return
	}
	ownership.ownerIndexes[endpoint.ID] = index
	if !endpoint.InForce {
		return
	}
	member := ownership.alive[index]
	groups := ownership.groupsByService[endpoint.Service]
	for i := range groups {
		if groups[i].member.Instance == member.Instance {
			groups[i].endpoints = append(groups[i].endpoints, *endpoint)
			return
		}
	}
	ownership.groupsByService[endpoint.Service] = append(groups, ownerGroup{
		member:    member,
		hash:      xxhash.Sum64String(string(member.Instance)),
		distance:  dogwoodownership.Distance(place, member.Place),
		endpoints: []dogwoodfleet.Endpoint{*endpoint},
	})
}

// ownerOf returns the endpoint's owner among the members alive. An endpoint that is no longer
// listed has an owner too, because it may still run requests.
func (ownership *ownership) ownerOf(endpoint *dogwoodfleet.Endpoint) (Member, bool) {
	index, listed := ownership.ownerIndexes[endpoint.ID]
	if !listed {
		index = dogwoodownership.Owner(endpoint, ownership.members)
	}
	if index < 0 {
		return Member{}, false
	}
	return ownership.alive[index], true
}

// groupsServing lists the owners that have an endpoint in force for the service and model.
func (ownership *ownership) groupsServing(service dogwoodfleet.Service, model dogwoodfleet.Model) []*ownerGroup {
	groups := ownership.groupsByService[service]
	serving := make([]*ownerGroup, 0, len(groups))
	for i := range groups {
		for j := range groups[i].endpoints {
			if mayHoldModel(&groups[i].endpoints[j], model) {
				serving = append(serving, &groups[i])
				break
			}
		}
	}
	return serving
}
