package dogwoodpacking

import "slices"

// works are the requests at one endpoint, each once. They are as many as it has slots, and
// each decision goes over them several times, which takes more than twice as long with a map.
type works []*Work

// put adds work or replaces what has its ID.
func (works *works) put(work *Work) {
	if at := works.index(work.ID); at >= 0 {
		(*works)[at] = work
		return
	}
	*works = append(*works, work)
}

func (works *works) remove(id WorkID) {
	if at := works.index(id); at >= 0 {
		*works = slices.Delete(*works, at, at+1)
	}
}

func (works *works) index(id WorkID) int {
	return slices.IndexFunc(*works, func(work *Work) bool { return work.ID == id })
}
