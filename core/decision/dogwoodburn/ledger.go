package dogwoodburn

import (
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

const (
	// maxMinuteBuckets covers the windows of up to an hour and the current minute.
	maxMinuteBuckets = 61
	// maxHourBuckets covers the longest window, three days, and the current hour.
	maxHourBuckets = 73
	// maxRowsPerBucket bounds the memory of a bucket. With 500 daemons and 2,700 customers,
	// a daemon receives requests from only some of the customers in an hour.
	// BenchmarkLedgerMemory measures the memory of a full ledger.
	maxRowsPerBucket = 1024
)

// Row holds the counts of one key.
type Row struct {
	Key    Key
	Counts Counts
}

// Bucket holds the counts of one minute or one hour.
type Bucket struct {
	Start time.Time
	Rows  []Row
}

// Snapshot holds the counts that one instance of a daemon has recorded since it started, or
// the most recent part of them.
type Snapshot struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	// Started is the time at which the daemon began to count. TakenAt is the time up to which
	// the snapshot is complete.
	Started time.Time
	TakenAt time.Time
	Minutes []Bucket
	Hours   []Bucket
}

// Ledger counts the outcomes of one daemon's requests. It is not safe for concurrent use.
type Ledger struct {
	vm       dogwoodfleet.VM
	instance dogwoodfleet.InstanceID
	started  time.Time
	minutes  []*mutableBucket
	hours    []*mutableBucket
}

type mutableBucket struct {
	start time.Time
	rows  map[Key]*Counts
}

// NewLedger returns an empty ledger.
func NewLedger(vm dogwoodfleet.VM, instance dogwoodfleet.InstanceID, now time.Time) *Ledger {
	return &Ledger{vm: vm, instance: instance, started: now}
}

// Record counts an outcome at the given time and evaluates it against the objectives of its
// service.
func (ledger *Ledger) Record(now time.Time, outcome Outcome, objectives dogwoodsettings.Objectives) {
	ledger.minutes = appendBucket(ledger.minutes, now.Truncate(time.Minute), maxMinuteBuckets)
	ledger.hours = appendBucket(ledger.hours, now.Truncate(time.Hour), maxHourBuckets)
	key := Key{Service: outcome.Service, Customer: outcome.Customer, DataCentre: outcome.DataCentre}
	ledger.minutes[len(ledger.minutes)-1].counts(key).add(outcome, objectives)
	ledger.hours[len(ledger.hours)-1].counts(key).add(outcome, objectives)
}

// appendBucket appends a bucket for start unless the last one starts then or later, and
// drops the oldest buckets beyond maxBuckets.
func appendBucket(buckets []*mutableBucket, start time.Time, maxBuckets int) []*mutableBucket {
	if len(buckets) > 0 && !buckets[len(buckets)-1].start.Before(start) {
		return buckets
	}
	buckets = append(buckets, &mutableBucket{start: start, rows: map[Key]*Counts{}})
	if len(buckets) > maxBuckets {
		buckets = slices.Delete(buckets, 0, len(buckets)-maxBuckets)
	}
	return buckets
}

// counts returns the counts of a key. For a new key in a full bucket it returns those of the
// customer Others.
func (bucket *mutableBucket) counts(key Key) *Counts {
	if counts, ok := bucket.rows[key]; ok {
		return counts
	}
	if len(bucket.rows) >= maxRowsPerBucket {
		key.Customer = Others
		if counts, ok := bucket.rows[key]; ok {
			return counts
		}
	}
	counts := &Counts{}
	bucket.rows[key] = counts
	return counts
}

// maxMinutesOnly is the longest period for which a part of a snapshot omits the hours. The
// receiver then sums them from its minutes. It is shorter than the period for which minutes
// are kept.
const maxMinutesOnly = 30 * time.Minute

// Snapshot returns the buckets that may have changed since the given time: those of the minute
// and hour of that time and all later ones. The zero time returns all buckets. A part that
// covers at most maxMinutesOnly holds only minutes, which halves its size.
func (ledger *Ledger) Snapshot(now, since time.Time) Snapshot {
	snapshot := Snapshot{
		VM:       ledger.vm,
		Instance: ledger.instance,
		Started:  ledger.started,
		TakenAt:  now,
		Minutes:  copySince(ledger.minutes, since.Truncate(time.Minute)),
	}
	if now.Sub(since) > maxMinutesOnly {
		snapshot.Hours = copySince(ledger.hours, since.Truncate(time.Hour))
	}
	return snapshot
}

// copySince returns copies of the buckets that start at or after the given time.
func copySince(buckets []*mutableBucket, from time.Time) []Bucket {
	var result []Bucket
	for _, bucket := range buckets {
		if bucket.start.Before(from) {
			continue
		}
		result = append(result, bucket.export())
	}
	return result
}

func (bucket *mutableBucket) export() Bucket {
	rows := make([]Row, 0, len(bucket.rows))
	for key, counts := range bucket.rows {
		rows = append(rows, Row{Key: key, Counts: counts.clone()})
	}
	return Bucket{Start: bucket.start, Rows: rows}
}

// Update merges a newer part of the same daemon's snapshot into this one. It replaces buckets
// that have the same start, so applying a part twice counts it once. An older part is ignored.
func (snapshot *Snapshot) Update(newer Snapshot) {
	if newer.TakenAt.Before(snapshot.TakenAt) {
		return
	}
	snapshot.VM, snapshot.Instance = newer.VM, newer.Instance
	snapshot.Started, snapshot.TakenAt = newer.Started, newer.TakenAt
	snapshot.Minutes = replaceBuckets(snapshot.Minutes, newer.Minutes, maxMinuteBuckets)
	if newer.Hours == nil {
		newer.Hours = sumHours(snapshot.Minutes, newer.Minutes)
	}
	snapshot.Hours = replaceBuckets(snapshot.Hours, newer.Hours, maxHourBuckets)
}

// sumHours returns the hours that contain the changed minutes, each summed from all its minutes.
func sumHours(minutes, changed []Bucket) []Bucket {
	var hours []Bucket
	for _, bucket := range changed {
		start := bucket.Start.Truncate(time.Hour)
		if len(hours) == 0 || !hours[len(hours)-1].Start.Equal(start) {
			hours = append(hours, sumHour(minutes, start))
		}
	}
	return hours
}

func sumHour(minutes []Bucket, start time.Time) Bucket {
	sum := mutableBucket{start: start, rows: map[Key]*Counts{}}
	for _, minute := range minutes {
		if !minute.Start.Truncate(time.Hour).Equal(start) {
			continue
		}
		for i := range minute.Rows {
			sum.counts(minute.Rows[i].Key).merge(&minute.Rows[i].Counts)
		}
	}
	return sum.export()
}

func replaceBuckets(buckets, newer []Bucket, maxBuckets int) []Bucket {
	for _, bucket := range newer {
		index, found := slices.BinarySearchFunc(buckets, bucket.Start, func(existing Bucket, start time.Time) int {
			return existing.Start.Compare(start)
		})
		if found {
			buckets[index] = bucket
		} else {
			buckets = slices.Insert(buckets, index, bucket)
		}
	}
	if len(buckets) > maxBuckets {
		buckets = slices.Delete(buckets, 0, len(buckets)-maxBuckets)
	}
	return buckets
}

// Expired reports whether the whole snapshot is older than the longest window.
func (snapshot *Snapshot) Expired(now time.Time) bool {
	return now.Sub(snapshot.TakenAt) > LongestWindow
}
