package dogwoodchange

import (
	"context"
	"time"

	"github.com/google/uuid"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/state/dogwoodtable"
)

const (
	// submitWithin bounds one Submit. An operator waits for it; lost answers and crossing
	// changes cost a few rounds of some ten milliseconds each.
	submitWithin = 10 * time.Second
	// takeOutWithin bounds the tries to keep a take-out before it is put into force as
	// provisional: with a store that hangs, the place would get new work all that time.
	takeOutWithin = 2 * time.Second
	// maxText bounds the operators' text, so that its row fits the table service.
	maxText = 1 << 20
	// maxRow is the largest row that the table service takes.
	maxRow         = 256 << 10
	firstBackoff   = 10 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
)

// Submit has the change accepted, or tells why not: *Conflict, *Refused, *Unavailable or
// *Unknown. A TakeOut that the store can't keep now is accepted as provisional. Submitting
// a change again with the same ID never makes two.
func (log *Log) Submit(ctx context.Context, change Change) (Accepted, error) {
	within := submitWithin
	if change.Kind == TakeOut {
		within = takeOutWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	change.Version, change.Provisional = 0, false
	change.At = time.Now().UTC()
	if err := checkForm(change); err != nil {
		return Accepted{}, err
	}
	select {
	case log.submitting <- struct{}{}:
		defer func() { <-log.submitting }()
	case <-ctx.Done():
		return log.announced(log.giveUp(change, 0, ctx.Err()))
	}
	if change.Kind == BringBack {
		// What was taken out before comes first, or the bring-back would be undone by a
		// take-out that its operator knows of already.
		log.keepProvisional(ctx)
	}
	return log.announced(log.enter(ctx, change, log.check))
}

// announced has an accepted change told to the other daemons.
func (log *Log) announced(accepted Accepted, err error) (Accepted, error) {
	if err == nil {
		log.announce()
	}
	return accepted, err
}

// KeepProvisional writes the provisional take-outs into the log. It returns how many still
// wait.
func (log *Log) KeepProvisional(ctx context.Context) int {
	select {
	case log.submitting <- struct{}{}:
		defer func() { <-log.submitting }()
	case <-ctx.Done():
		return len(log.Current().Provisional)
	}
	return log.keepProvisional(ctx)
}

func (log *Log) keepProvisional(ctx context.Context) int {
	for _, change := range log.Current().Provisional {
		change.Provisional = false
		accepted, err := log.enter(ctx, change, log.checkUnconditional)
		if err != nil || !accepted.Kept {
			break
		}
		log.options.Logger.Info("Provisional take-out kept.", "change", change.ID, "version", accepted.Version)
		log.announce()
	}
	return len(log.Current().Provisional)
}

// checkUnconditional accepts what is in force already.
func (log *Log) checkUnconditional(View, Change) error { return nil }

// enter writes the change at the next free version. Each round is judged against the view
// that the version follows, so that a change is accepted only for the state it joins.
func (log *Log) enter(
	ctx context.Context, change Change, check func(View, Change) error,
) (Accepted, error) {
	wait := dogwoodkernel.Backoff{First: firstBackoff, Longest: longestBackoff}
	// uncertainAt is the version at which a write of this change may be, or may yet come.
	var uncertainAt uint64
	for {
		if version, ok := log.versionOf(change.ID); ok {
			return Accepted{ID: change.ID, Version: version, Kept: true}, nil
		}
		view := log.Current()
		if change.Kind == ApplyText && change.BasedOn > view.TextVersion {
			// The operator has seen a text that this daemon has not: to call that a conflict
			// would be wrong, and would hide that the change may be in the log already.
			err := log.CatchUp(ctx)
			if log.Current().TextVersion < change.BasedOn && (dogwoodtable.IsUnavailable(err) || wait.Sleep(ctx) != nil) {
				return log.giveUp(change, uncertainAt, Error.New("text version %d not seen yet: %w", change.BasedOn, err))
			}
			continue
		}
		uncertain := uncertainAt > view.Version
		if err := check(view, change); err != nil && !uncertain {
			return Accepted{}, err
		}
		if !uncertain {
			change.Version = view.Version + 1
		}
		err := log.write(ctx, change)
		switch {
		case err == nil:
			log.Merge(News{Changes: []Change{change}})
			log.snapshotAfter(ctx, change.Version)
			return Accepted{ID: change.ID, Version: change.Version, Kept: true}, nil
		case dogwoodtable.IsUnknown(err):
			uncertainAt = change.Version
		case dogwoodtable.AsConflict(err) == nil:
			return log.giveUp(change, uncertainAt, err)
		}
		// The row is taken, perhaps by this change: see what stands there.
		_ = log.CatchUp(ctx)
		if wait.Sleep(ctx) != nil {
			return log.giveUp(change, uncertainAt, err)
		}
	}
}

// giveUp ends a change that the store did not take in time.
func (log *Log) giveUp(change Change, uncertainAt uint64, cause error) (Accepted, error) {
	if version, ok := log.versionOf(change.ID); ok {
		return Accepted{ID: change.ID, Version: version, Kept: true}, nil
	}
	view := log.Current()
	if change.Kind == TakeOut {
		// A take-out only ever removes; it is in force without the store. Its ID keeps it
		// from being kept twice if its write went through.
		if err := log.check(view, change); err != nil {
			return Accepted{}, err
		}
		log.Merge(News{Provisional: []Change{change}})
		return Accepted{ID: change.ID}, nil
	}
	if uncertainAt > view.Version {
		return Accepted{}, &Unknown{ID: change.ID, Cause: Error.Wrap(cause)}
	}
	return Accepted{}, &Unavailable{Cause: Error.Wrap(cause)}
}

// checkForm refuses what is wrong whatever the state.
func checkForm(change Change) error {
	switch change.Kind {
	case ApplyText:
		if len(change.Text) > maxText {
			return &Refused{Reason: "the text is larger than a mebibyte"}
		}
		if _, err := dogwoodsettings.ParseText(change.Text); err != nil {
			return &Refused{Reason: "the text can't be read", Cause: err}
		}
		if len(encode(change)) > maxRow {
			return &Refused{Reason: "the text is too large for the change log, also compressed"}
		}
	case TakeOut, BringBack:
		if (change.DataCentre == "") == (change.VM == "") {
			return &Refused{Reason: "name one data centre or one VM"}
		}
	case LiftConviction:
		if change.Digest == "" {
			return &Refused{Reason: "name the request's digest"}
		}
	default:
		return &Refused{Reason: "unknown kind of change " + string(change.Kind)}
	}
	return nil
}

// check refuses what does not fit the state.
func (log *Log) check(view View, change Change) error {
	switch change.Kind {
	case ApplyText:
		if change.BasedOn != view.TextVersion {
			return &Conflict{
				BasedOn: change.BasedOn, Current: view.TextVersion, Author: view.TextAuthor, At: view.TextAt,
			}
		}
	case TakeOut:
		if change.Force || log.options.VMs == nil {
			return nil
		}
		if stranded := Stranded(view, log.options.VMs(), change); len(stranded) > 0 {
			return &Refused{Reason: "no endpoint would be left in service", Stranded: stranded}
		}
	case BringBack, LiftConviction:
	}
	return nil
}
