package dogwoodchange

import (
	"maps"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

const (
	// maxIDs bounds the ids kept of changes in the log: more than a day at 26,000 changes a
	// day, so that a change that is submitted again, or a provisional one written after a
	// long outage, is recognised.
	maxIDs = 32_768
	// maxLifted bounds the lifted convictions in a view. A conviction lasts for minutes, so
	// older lifts have no effect.
	maxLifted = 128
	// maxLatest and maxLatestBytes bound the changes that a daemon can send to a peer one by
	// one; a peer that is further behind gets a snapshot.
	maxLatest      = 512
	maxLatestBytes = 8 << 20
)

// Lifted is a conviction that operators have lifted.
type Lifted struct {
	Version uint64
	Digest  string
	At      time.Time
}

// View is the state after the changes up to Version. It is immutable.
type View struct {
	Version     uint64
	TextVersion uint64
	// Text is the parsed operators' text, nil before the first ApplyText. Source is the text
	// as the operators wrote it.
	Text   *dogwoodsettings.Text
	Source []byte
	// TextAuthor and TextAt are the author and time of the current text.
	TextAuthor string
	TextAt     time.Time
	// OutDataCentres and OutVMs are out of service by changes in the log and by provisional
	// ones. They are sorted.
	OutDataCentres []dogwoodfleet.DataCentre
	OutVMs         []dogwoodfleet.VM
	Lifted         []Lifted
	// Provisional are the take-outs that are in force but not in the log yet.
	Provisional []Change
	// InForceSince is when this daemon put this view into force.
	InForceSince time.Time
}

// Out reports whether operators have taken out the data centre or the VM.
func (view *View) Out(dataCentre dogwoodfleet.DataCentre, vm dogwoodfleet.VM) bool {
	return slices.Contains(view.OutDataCentres, dataCentre) || slices.Contains(view.OutVMs, vm)
}

// Snapshot is the stored and transmitted form of a fold. It holds all that a daemon needs to
// continue from its version.
type Snapshot struct {
	Version        uint64
	TextVersion    uint64
	Source         []byte
	TextAuthor     string
	TextAt         time.Time
	OutDataCentres []dogwoodfleet.DataCentre
	OutVMs         []dogwoodfleet.VM
	Lifted         []Lifted
	// IDs are the ids of the latest changes, oldest first; the last one is the change at
	// Version.
	IDs []string
}

// fold is the mutable state from which views are made. The log's mutex guards it.
type fold struct {
	snapshot    Snapshot
	text        *dogwoodsettings.Text
	outDC       map[dogwoodfleet.DataCentre]bool
	outVM       map[dogwoodfleet.VM]bool
	versions    map[string]uint64 // by change id
	latest      []Change          // the latest changes, contiguous up to the version
	latestBytes int               // total size of the texts in latest
}

func newFold() *fold {
	return &fold{
		outDC:    map[dogwoodfleet.DataCentre]bool{},
		outVM:    map[dogwoodfleet.VM]bool{},
		versions: map[string]uint64{},
	}
}

// newFoldFrom returns a fold with the state of a snapshot.
func newFoldFrom(snapshot Snapshot) *fold {
	fold := newFold()
	fold.snapshot = snapshot
	fold.snapshot.IDs = slices.Clone(snapshot.IDs)
	fold.text, _ = dogwoodsettings.ParseText(snapshot.Source)
	for _, dataCentre := range snapshot.OutDataCentres {
		fold.outDC[dataCentre] = true
	}
	for _, vm := range snapshot.OutVMs {
		fold.outVM[vm] = true
	}
	first := snapshot.Version - uint64(len(snapshot.IDs)) + 1
	for i, id := range snapshot.IDs {
		fold.versions[id] = first + uint64(i)
	}
	return fold
}

// apply applies the change that follows the fold's version.
func (fold *fold) apply(change Change) {
	state := &fold.snapshot
	state.Version = change.Version
	switch change.Kind {
	case ApplyText:
		state.TextVersion = change.Version
		state.Source = change.Text
		state.TextAuthor, state.TextAt = change.Author, change.At
		// The daemon that accepted the text has parsed it. An older program that can't parse
		// it keeps the previous text in force; its version shows that it has received this one.
		if text, err := dogwoodsettings.ParseText(change.Text); err == nil {
			fold.text = text
		}
	case TakeOut, BringBack:
		fold.updateOutOfService(change)
	case LiftConviction:
		state.Lifted = append(slices.Clone(state.Lifted), Lifted{
			Version: change.Version, Digest: change.Digest, At: change.At,
		})
		state.Lifted = state.Lifted[max(0, len(state.Lifted)-maxLifted):]
	}
	fold.addLatest(change)
}

// updateOutOfService applies a TakeOut or a BringBack to what is out of service.
func (fold *fold) updateOutOfService(change Change) {
	out := change.Kind == TakeOut
	if change.DataCentre != "" {
		setMember(fold.outDC, change.DataCentre, out)
	}
	if change.VM != "" {
		setMember(fold.outVM, change.VM, out)
	}
	fold.snapshot.OutDataCentres = slices.Sorted(maps.Keys(fold.outDC))
	fold.snapshot.OutVMs = slices.Sorted(maps.Keys(fold.outVM))
}

// addLatest records the change and its id, and evicts the oldest ones above the bounds.
func (fold *fold) addLatest(change Change) {
	fold.versions[change.ID] = change.Version
	fold.snapshot.IDs = append(fold.snapshot.IDs, change.ID)
	if len(fold.snapshot.IDs) > maxIDs {
		delete(fold.versions, fold.snapshot.IDs[0])
		fold.snapshot.IDs = fold.snapshot.IDs[1:]
	}
	fold.latest = append(fold.latest, change)
	fold.latestBytes += len(change.Text)
	for len(fold.latest) > maxLatest || (fold.latestBytes > maxLatestBytes && len(fold.latest) > 1) {
		fold.latestBytes -= len(fold.latest[0].Text)
		fold.latest = fold.latest[1:]
	}
}

// view returns an immutable view of the fold that includes the provisional take-outs.
func (fold *fold) view(provisional []Change, now time.Time) *View {
	state := &fold.snapshot
	view := &View{
		Version:        state.Version,
		TextVersion:    state.TextVersion,
		Text:           fold.text,
		Source:         state.Source,
		TextAuthor:     state.TextAuthor,
		TextAt:         state.TextAt,
		OutDataCentres: state.OutDataCentres,
		OutVMs:         state.OutVMs,
		Lifted:         state.Lifted,
		Provisional:    slices.Clone(provisional),
		InForceSince:   now,
	}
	for _, change := range provisional {
		if change.DataCentre != "" {
			view.OutDataCentres = insertSorted(view.OutDataCentres, change.DataCentre)
		}
		if change.VM != "" {
			view.OutVMs = insertSorted(view.OutVMs, change.VM)
		}
	}
	return view
}

func setMember[K comparable](set map[K]bool, key K, member bool) {
	if member {
		set[key] = true
		return
	}
	delete(set, key)
}

func insertSorted[T ~string](list []T, value T) []T {
	index, found := slices.BinarySearch(list, value)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), index, value)
}
