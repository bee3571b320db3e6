package dogwoodpacking

import (
	"slices"

	"dogwoodmux.example/core/dogwoodfleet"
)

// workList holds the requests at one endpoint, each once. Its length is about the number of the
// endpoint's slots. Each decision iterates over it several times, which takes more than twice as
// long with a map.
type workList []*Work

// put adds work, replacing any entry with the same ID.
func (workList *workList) put(work *Work) {
	if i := workList.index(work.ID); i >= 0 {
		(*workList)[i] = work
		return
	}
	*workList = append(*workList, work)
}

func (workList *workList) remove(id WorkID) {
	if i := workList.index(id); i >= 0 {
		*workList = slices.Delete(*workList, i, i+1)
	}
}

func (workList *workList) index(id WorkID) int {
	return slices.IndexFunc(*workList, func(work *Work) bool { return work.ID == id })
}

// engines returns the engines that prefill the work.
func (work *Work) engines() []dogwoodfleet.EndpointID {
	engines := []dogwoodfleet.EndpointID{work.Endpoint}
	for _, part := range work.Helpers {
		engines = append(engines, part.Endpoint)
	}
	return engines
}
