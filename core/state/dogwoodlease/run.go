package dogwoodlease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/state/dogwoodtable"
)

// Run renews the session, takes the wanted shards and releases the others, until the
// context ends. Call Release afterwards so that successors need not wait for the term to end.
func (holder *Holder) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		// A daemon that neither wants nor holds a shard writes no session row.
		return runPeriodically(ctx, holder.options.Term/renewalsPerTerm, checkInterval, holder.renewIfWanted)
	})
	group.Go(func() error { return runPeriodically(ctx, checkInterval, checkInterval, holder.checkShards) })
	return group.Wait()
}

// Release releases all shards and ends the session at once. Call it after Run has returned
// and no order is in progress, so that successors need not wait for the end of the term or
// of orders.
func (holder *Holder) Release(ctx context.Context) error {
	holder.mutex.Lock()
	own, shards := holder.own, holder.held
	holder.held = map[string]*heldShard{}
	holder.own = ownSession{key: newSessionKey(holder.options.Self)}
	holder.mutex.Unlock()
	for name, held := range shards {
		if err := holder.releaseRow(ctx, name, held.number); err != nil {
			return err
		}
	}
	if own.version == 0 {
		return nil
	}
	return holder.endSession(ctx, own.key, own.version)
}

// renewIfWanted renews the session if the daemon wants or holds a shard. It returns false if
// it should be called again soon.
func (holder *Holder) renewIfWanted(ctx context.Context) (ok bool) {
	holder.mutex.Lock()
	idle := len(holder.wanted) == 0 && len(holder.held) == 0
	holder.mutex.Unlock()
	if idle {
		return false // check again soon, since a shard may be wanted by then
	}
	return holder.renew(ctx)
}

// renew writes the session's row. The term starts before the write is sent. It returns
// false if it should be called again soon.
func (holder *Holder) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder.mutex.Lock()
	own := holder.own
	holder.mutex.Unlock()
	renewal := uuid.NewString()
	sent := time.Now()
	versions, err := holder.options.Store.Commit(ctx, dogwoodtable.Write{
		Table:   SessionTable,
		Key:     own.key,
		Version: own.version,
		Value:   encode(session{Holder: holder.options.Self, Renewal: renewal}),
		KeepFor: sessionRowTTL,
	})
	if err == nil {
		holder.recordRenewal(own.key, versions[0], sent)
		return true
	}
	if dogwoodtable.IsUnavailable(err) {
		return false
	}
	// The response to this renewal or to an earlier one was lost: read what is stored.
	row, found, err := holder.options.Store.Read(ctx, SessionTable, own.key)
	if err != nil || !found || row.Version < own.version {
		return false // a stale read
	}
	stored, err := decode[session](row.Value)
	switch {
	case err != nil:
		return false
	case stored.Ended:
		holder.replaceSession(own.key)
		return false
	case stored.Renewal == renewal:
		holder.recordRenewal(own.key, row.Version, sent)
		return true
	}
	// An earlier renewal that seemed to have failed was stored. Continue from its version, but
	// keep the start of the term: the send time of that renewal is not known any more.
	holder.recordRenewal(own.key, row.Version, own.sent)
	return false
}

// recordRenewal records a stored renewal unless a later one is recorded already.
func (holder *Holder) recordRenewal(key string, version uint64, sent time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.own.key == key && version > holder.own.version {
		holder.own.version, holder.own.sent = version, sent
	}
}

// replaceSession drops all leases after another daemon has ended this session. The new
// session has a new key, since the row that ended the old one must stay.
func (holder *Holder) replaceSession(key string) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.own.key != key {
		return
	}
	holder.options.Logger.Warn("Session was ended by another daemon.", "shards", len(holder.held))
	holder.held = map[string]*heldShard{}
	holder.own = ownSession{key: newSessionKey(holder.options.Self)}
}

// checkShards takes wanted shards that are free and releases unwanted ones.
func (holder *Holder) checkShards(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	take, release := holder.dueShards(time.Now())
	for name, number := range release {
		if holder.releaseRow(ctx, name, number) == nil {
			holder.mutex.Lock()
			delete(holder.held, name)
			holder.mutex.Unlock()
		}
	}
	for _, name := range take {
		holder.takeShard(ctx, name)
	}
	return true
}

// dueShards returns the shards to take, and the unwanted ones to release with their fencing
// numbers. An unwanted shard is due once the last order for it must have ended.
func (holder *Holder) dueShards(now time.Time) (take []string, release map[string]uint64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	release = map[string]uint64{}
	for name, held := range holder.held {
		if !held.unwantedSince.IsZero() && now.Sub(held.unwantedSince) >= holder.options.OrderTimeout {
			release[name] = held.number
		}
	}
	if holder.termIsOver(now) {
		return nil, release
	}
	for name := range holder.wanted {
		if _, held := holder.held[name]; !held && len(take) < maxTakesPerCheck {
			take = append(take, name)
		}
	}
	return take, release
}

// takeShard tries to take one shard.
func (holder *Holder) takeShard(ctx context.Context, name string) {
	row, found, err := holder.options.Store.Read(ctx, ShardTable, name)
	if err != nil {
		return
	}
	holder.mutex.Lock()
	sessionKey := holder.own.key
	holder.mutex.Unlock()
	unchecked := time.Now()
	var version uint64
	if found {
		stored, err := decode[shardRow](row.Value)
		if err != nil {
			holder.options.Logger.Error("Row of a shard can't be read.", "shard", name, "error", err)
			return
		}
		if stored.Session != "" && stored.Session != sessionKey && !holder.ensureEnded(ctx, stored.Session) {
			return
		}
		// A row that names this session comes from a write whose response was lost, or from a
		// stale read of a shard that was released since. Only another conditional write shows
		// which.
		if !stored.Settled {
			// The previous holder may have sent an order just before its term ended.
			unchecked = time.Now().Add(holder.options.OrderTimeout)
		}
		version = row.Version
	}
	versions, err := holder.options.Store.Commit(ctx, dogwoodtable.Write{
		Table:   ShardTable,
		Key:     name,
		Version: version,
		Value:   encode(shardRow{Session: sessionKey, Holder: holder.options.Self}),
	})
	if err == nil {
		holder.recordShard(sessionKey, name, versions[0], unchecked)
	}
}

// recordShard records a shard that was taken under the session with this key.
func (holder *Holder) recordShard(sessionKey, name string, number uint64, unchecked time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.own.key != sessionKey {
		return // the session was ended in the meantime
	}
	shard := &heldShard{number: number, unchecked: unchecked}
	if !holder.wanted[name] {
		shard.unwantedSince = time.Now()
	}
	holder.held[name] = shard
	holder.options.Logger.Info("Shard taken.", "shard", name, "fence", number)
}

// ensureEnded reports whether a session has certainly ended, and ends it if its term has
// passed. Only the conditional write decides; it fails after a stale read.
func (holder *Holder) ensureEnded(ctx context.Context, key string) bool {
	row, found, err := holder.options.Store.Read(ctx, SessionTable, key)
	if err != nil {
		return false
	}
	if !found {
		// Either the read is stale, or the row expired a day after its last write.
		return holder.endSession(ctx, key, 0) == nil
	}
	stored, err := decode[session](row.Value)
	if err != nil {
		return false
	}
	if stored.Ended {
		holder.mutex.Lock()
		delete(holder.observed, key)
		holder.mutex.Unlock()
		return true
	}
	if !holder.termPassed(key, row.Version) {
		return false
	}
	if holder.endSession(ctx, key, row.Version) != nil {
		return false
	}
	holder.mutex.Lock()
	delete(holder.observed, key)
	holder.mutex.Unlock()
	return true
}

// termPassed reports whether a session has stayed at one version for a whole term on this
// daemon's clock plus the margin. The first call for a version starts the measurement.
func (holder *Holder) termPassed(key string, version uint64) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	now := time.Now()
	observed, ok := holder.observed[key]
	if !ok || version > observed.version {
		holder.observed[key] = observedSession{version: version, since: now}
		return false
	}
	if version < observed.version {
		return false // a stale read
	}
	return now.Sub(observed.since) >= holder.options.Term+holder.options.Term/marginDivisor
}

// endSession marks a session as ended if its row still has the given version.
func (holder *Holder) endSession(ctx context.Context, key string, version uint64) error {
	_, err := holder.options.Store.Commit(ctx, dogwoodtable.Write{
		Table:   SessionTable,
		Key:     key,
		Version: version,
		Value:   encode(session{Ended: true}),
		KeepFor: sessionRowTTL,
	})
	return Error.Wrap(err)
}

// releaseRow writes that a shard has no holder and no order in progress. A conflict counts
// as success, since another daemon then holds the shard.
func (holder *Holder) releaseRow(ctx context.Context, name string, number uint64) error {
	_, err := holder.options.Store.Commit(ctx, dogwoodtable.Write{
		Table: ShardTable, Key: name, Version: number, Value: encode(shardRow{Settled: true}),
	})
	if dogwoodtable.AsConflict(err) != nil {
		return nil
	}
	return Error.Wrap(err)
}

// runPeriodically calls step until the context ends: again after the period, or after
// retryDelay, if that is shorter, when step returned false.
func runPeriodically(ctx context.Context, period, retryDelay time.Duration, step func(ctx context.Context) bool) error {
	for {
		wait := period
		if !step(ctx) {
			wait = min(retryDelay, period)
		}
		const jitterDivisor = 10
		timer := time.NewTimer(wait - rand.N(wait/jitterDivisor))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}
