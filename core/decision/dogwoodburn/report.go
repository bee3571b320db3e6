package dogwoodburn

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Report holds the burn rates of all objectives, summed over all daemons whose counts were
// received.
type Report struct {
	At      time.Time
	Daemons []Daemon
	// Missing lists the daemons whose counts are incomplete. It is empty if all are complete.
	Missing []Missing
	Lines   []Line
	// Series holds the burn rate of each service for every minute of the last hour.
	Series []Series
}

// Daemon identifies an instance of a daemon whose counts are in the report.
type Daemon struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	// Until is the time up to which its counts are complete. KeptBy is the VM of the daemon
	// that supplied them if it was another one.
	Until  time.Time
	KeptBy dogwoodfleet.VM `json:",omitempty"`
}

// Missing identifies a daemon whose counts are incomplete.
type Missing struct {
	VM dogwoodfleet.VM
	// Since is the time from which its counts are unknown; zero if all of them are unknown.
	Since time.Time `json:",omitzero"`
	Why   string
}

// Objective is one objective of the operators' text. For first tokens UpToTokens is the length
// class; for the share of requests answered in time it is 0.
type Objective struct {
	UpToTokens int                      `json:",omitempty"`
	Within     dogwoodsettings.Duration `json:",omitempty"`
	Share      float64
}

// Line holds the burn rates of one objective in one scope. Customer or DataCentre is empty if
// the line covers all customers or all data centres.
type Line struct {
	Service    dogwoodfleet.Service
	Customer   dogwoodfleet.Customer   `json:",omitempty"`
	DataCentre dogwoodfleet.DataCentre `json:",omitempty"`
	Objective  Objective
	Windows    []WindowBurn
	// BudgetLeft is the unspent share of the longest window's error budget; negative if the
	// budget is overspent.
	BudgetLeft float64
	Alert      Alert `json:",omitempty"`
	// Causes holds the causes in the longest window, the most frequent first.
	Causes []CauseCount `json:",omitempty"`
	// Excluded is the number of requests in the longest window that no objective counts.
	Excluded uint64 `json:",omitempty"`
}

// WindowBurn holds the burn rate over one window. A burn rate of 1 spends exactly the budget.
type WindowBurn struct {
	Window dogwoodsettings.Duration
	Total  uint64
	Bad    uint64
	Burn   float64
}

// Series holds the burn rate of one service's requests over time.
type Series struct {
	Service dogwoodfleet.Service
	Points  []Point
}

// Point is one minute of a series.
type Point struct {
	At    time.Time
	Total uint64
	Bad   uint64
	Burn  float64
}

// NewReport computes the report from the snapshots of several daemons. Of two snapshots of one
// instance it uses the newer.
func NewReport(now time.Time, text *dogwoodsettings.Text, snapshots []Snapshot) Report {
	report := Report{At: now}
	latest := latestByInstance(snapshots)
	counts := aggregate(now, latest)
	for _, scope := range counts.scopes() {
		service, ok := text.Service(scope.Service)
		if !ok {
			continue
		}
		report.Lines = append(report.Lines, counts.lines(scope, service.Objectives)...)
	}
	for i := range text.Services {
		if series := makeSeries(now, &text.Services[i], latest); len(series.Points) > 0 {
			report.Series = append(report.Series, series)
		}
	}
	return report
}

// latestByInstance returns the snapshot with the latest TakenAt of each instance.
func latestByInstance(snapshots []Snapshot) []Snapshot {
	byInstance := map[dogwoodfleet.InstanceID]Snapshot{}
	for _, snapshot := range snapshots {
		previous, ok := byInstance[snapshot.Instance]
		if !ok || snapshot.TakenAt.After(previous.TakenAt) {
			byInstance[snapshot.Instance] = snapshot
		}
	}
	result := make([]Snapshot, 0, len(byInstance))
	for _, snapshot := range byInstance {
		result = append(result, snapshot)
	}
	slices.SortFunc(result, func(a, b Snapshot) int { return cmp.Compare(a.Instance, b.Instance) })
	return result
}

// scopeCounts holds the counts of each scope for each window, in the order of Windows.
type scopeCounts map[Key][]Counts

func aggregate(now time.Time, snapshots []Snapshot) scopeCounts {
	counts := scopeCounts{}
	for i, window := range Windows() {
		for _, snapshot := range snapshots {
			buckets, length := snapshot.Minutes, time.Minute
			if window > time.Hour {
				buckets, length = snapshot.Hours, time.Hour
			}
			for _, bucket := range buckets {
				if bucket.Start.Add(length).After(now.Add(-window)) && !bucket.Start.After(now) {
					counts.add(i, bucket.Rows)
				}
			}
		}
	}
	return counts
}

// add counts each row for its service, for its customer and for its data centre.
func (scopeCounts scopeCounts) add(window int, rows []Row) {
	for i := range rows {
		key := rows[i].Key
		scopes := []Key{{Service: key.Service}}
		if key.Customer != "" {
			scopes = append(scopes, Key{Service: key.Service, Customer: key.Customer})
		}
		if key.DataCentre != "" {
			scopes = append(scopes, Key{Service: key.Service, DataCentre: key.DataCentre})
		}
		for _, scope := range scopes {
			if scopeCounts[scope] == nil {
				scopeCounts[scope] = make([]Counts, len(Windows()))
			}
			scopeCounts[scope][window].merge(&rows[i].Counts)
		}
	}
}

// scopes returns the scopes of services, then of customers, then of data centres, each group
// sorted by name.
func (scopeCounts scopeCounts) scopes() []Key {
	scopes := make([]Key, 0, len(scopeCounts))
	for scope := range scopeCounts {
		scopes = append(scopes, scope)
	}
	slices.SortFunc(scopes, func(a, b Key) int {
		return cmp.Or(
			cmp.Compare(scopeRank(a), scopeRank(b)),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.DataCentre, b.DataCentre),
		)
	})
	return scopes
}

func scopeRank(scope Key) int {
	switch {
	case scope.Customer != "":
		return 1
	case scope.DataCentre != "":
		return 2
	default:
		return 0
	}
}

func (scopeCounts scopeCounts) lines(scope Key, objectives dogwoodsettings.Objectives) []Line {
	counts := scopeCounts[scope]
	var lines []Line
	if objectives.InTime > 0 {
		line := makeLine(scope, Objective{Share: objectives.InTime}, counts, func(counts *Counts) (total, good uint64) {
			return counts.Total, counts.InTime
		})
		longest := counts[len(counts)-1].clone()
		slices.SortFunc(longest.Causes, func(a, b CauseCount) int {
			return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
		})
		line.Causes, line.Excluded = longest.Causes, longest.Excluded
		lines = append(lines, line)
	}
	for _, class := range objectives.FirstToken {
		objective := Objective{UpToTokens: class.UpToTokens, Within: class.Within, Share: class.Share}
		line := makeLine(scope, objective, counts, func(counts *Counts) (total, good uint64) {
			return counts.firstToken(class.UpToTokens)
		})
		if line.Windows[len(line.Windows)-1].Total > 0 {
			lines = append(lines, line)
		}
	}
	return lines
}

func (counts *Counts) firstToken(upToTokens int) (total, good uint64) {
	for _, first := range counts.FirstToken {
		if first.UpToTokens == upToTokens {
			return first.Total, first.InTime
		}
	}
	return 0, 0
}

func makeLine(scope Key, objective Objective, counts []Counts, totals func(*Counts) (total, good uint64)) Line {
	line := Line{
		Service:    scope.Service,
		Customer:   scope.Customer,
		DataCentre: scope.DataCentre,
		Objective:  objective,
	}
	for i, window := range Windows() {
		total, good := totals(&counts[i])
		line.Windows = append(line.Windows, WindowBurn{
			Window: dogwoodsettings.Duration(window),
			Total:  total,
			Bad:    total - good,
			Burn:   burnRate(total, total-good, objective.Share),
		})
	}
	line.BudgetLeft = 1 - line.Windows[len(line.Windows)-1].Burn
	line.Alert = alertFor(line.Windows)
	return line
}

// minErrorBudget replaces the error budget of an objective of 1, which is 0, to avoid a division
// by zero.
const minErrorBudget = 1e-6

// burnRate returns the share of bad requests divided by the share that the objective allows.
func burnRate(total, bad uint64, share float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / max(1-share, minErrorBudget)
}

func makeSeries(now time.Time, service *dogwoodsettings.Service, snapshots []Snapshot) Series {
	series := Series{Service: service.Name}
	byMinute := map[time.Time]*Counts{}
	for _, snapshot := range snapshots {
		for _, bucket := range snapshot.Minutes {
			if now.Sub(bucket.Start) > time.Hour {
				continue
			}
			start := bucket.Start.UTC()
			if byMinute[start] == nil {
				byMinute[start] = &Counts{}
			}
			mergeService(byMinute[start], service.Name, bucket.Rows)
		}
	}
	for start, counts := range byMinute {
		bad := counts.Total - counts.InTime
		rate := burnRate(counts.Total, bad, service.Objectives.InTime)
		series.Points = append(series.Points, Point{At: start, Total: counts.Total, Bad: bad, Burn: rate})
	}
	slices.SortFunc(series.Points, func(a, b Point) int { return a.At.Compare(b.At) })
	return series
}

func mergeService(sum *Counts, service dogwoodfleet.Service, rows []Row) {
	for i := range rows {
		if rows[i].Key.Service == service {
			sum.merge(&rows[i].Counts)
		}
	}
}
