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
	// submitTimeout bounds one Submit, for which an operator waits. Lost answers and concurrent
	// changes cost a few rounds of some ten milliseconds each.
	submitTimeout = 10 * time.Second
	// takeOutTimeout bounds the time spent on writing a take-out to the log before it is put
	// into force as provisional. Until then, the data centre or VM still gets new work if the
	// store hangs.
	takeOutTimeout = 2 * time.Second
	// maxTextBytes bounds the operators' text, so that its row fits into the table service.
	maxTextBytes = 1 << 20
	// maxRowBytes is the largest row that the table service accepts.
	maxRowBytes = 256 << 10
	minBackoff  = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Submit writes the change to the log. Its error is *Conflict, *Refused, *Unavailable or
// *Unknown. A TakeOut that the store can't take now is accepted as provisional. Submitting a
// change again with the same ID never applies it twice.
func (log *Log) Submit(ctx context.Context, change Change) (Accepted, error) {
	timeout := submitTimeout
	if change.Kind == TakeOut {
		timeout = takeOutTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	change.Version, change.Provisional = 0, false
	change.At = time.Now().UTC()
	if err := validate(change); err != nil {
		return Accepted{}, err
	}
	select {
	case log.submitting <- struct{}{}:
		defer func() { <-log.submitting }()
	case <-ctx.Done():
		return log.signalIfAccepted(log.resolveUnstored(change, 0, ctx.Err()))
	}
	if change.Kind == BringBack {
		// Earlier provisional take-outs are written first. Otherwise, a take-out that the
		// operator of the bring-back already knew of would follow it in the log and undo it.
		log.storeProvisional(ctx)
	}
	return log.signalIfAccepted(log.appendChange(ctx, change, log.check))
}

// signalIfAccepted signals an accepted change, so that it is sent to the other daemons.
func (log *Log) signalIfAccepted(accepted Accepted, err error) (Accepted, error) {
	if err == nil {
		log.signalAccepted()
	}
	return accepted, err
}

// StoreProvisional writes the provisional take-outs to the log. It returns how many are still
// provisional.
func (log *Log) StoreProvisional(ctx context.Context) int {
	select {
	case log.submitting <- struct{}{}:
		defer func() { <-log.submitting }()
	case <-ctx.Done():
		return len(log.Current().Provisional)
	}
	return log.storeProvisional(ctx)
}

// storeProvisional is StoreProvisional for a caller that holds the submitting semaphore.
func (log *Log) storeProvisional(ctx context.Context) int {
	for _, change := range log.Current().Provisional {
		change.Provisional = false
		accepted, err := log.appendChange(ctx, change, log.skipCheck)
		if err != nil || !accepted.Kept {
			break
		}
		log.options.Logger.Info("Provisional take-out written to the log.", "change", change.ID, "version", accepted.Version)
		log.signalAccepted()
	}
	return len(log.Current().Provisional)
}

// skipCheck accepts a change that is already in force.
func (log *Log) skipCheck(View, Change) error { return nil }

// appendChange writes the change at the next free version. Each round checks it against the
// view at the preceding version, so that a change is accepted only for the state that it
// applies to.
func (log *Log) appendChange(
	ctx context.Context, change Change, check func(View, Change) error,
) (Accepted, error) {
	wait := dogwoodkernel.Backoff{First: minBackoff, Longest: maxBackoff}
	// uncertainAt is the version at which a write of this change may have taken effect or may
	// still take effect; 0 if there is none.
	var uncertainAt uint64
	for {
		if version, ok := log.versionOf(change.ID); ok {
			return Accepted{ID: change.ID, Version: version, Kept: true}, nil
		}
		view := log.Current()
		if change.Kind == ApplyText && change.BasedOn > view.TextVersion {
			// The operator has seen a text that this daemon has not received. Reporting a
			// conflict would be wrong and would hide that the change may already be in the log.
			err := log.CatchUp(ctx)
			if log.Current().TextVersion < change.BasedOn && (dogwoodtable.IsUnavailable(err) || wait.Sleep(ctx) != nil) {
				return log.resolveUnstored(change, uncertainAt, notSeenError(change.BasedOn, err))
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
			log.snapshotIfDue(ctx, change.Version)
			return Accepted{ID: change.ID, Version: change.Version, Kept: true}, nil
		case dogwoodtable.IsUnknown(err):
			uncertainAt = change.Version
		case dogwoodtable.AsConflict(err) == nil:
			return log.resolveUnstored(change, uncertainAt, err)
		}
		// The row exists, or may exist, possibly with this change: read it.
		_ = log.CatchUp(ctx)
		if wait.Sleep(ctx) != nil {
			return log.resolveUnstored(change, uncertainAt, err)
		}
	}
}

// resolveUnstored returns the result for a change that the store did not accept in time. A
// take-out is put into force as provisional.
func (log *Log) resolveUnstored(change Change, uncertainAt uint64, cause error) (Accepted, error) {
	if version, ok := log.versionOf(change.ID); ok {
		return Accepted{ID: change.ID, Version: version, Kept: true}, nil
	}
	view := log.Current()
	if change.Kind == TakeOut {
		// A take-out only removes endpoints, so it is put into force without the store. Its ID
		// prevents a second row if its write took effect.
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

// validate refuses a change that is invalid in every state.
func validate(change Change) error {
	switch change.Kind {
	case ApplyText:
		if len(change.Text) > maxTextBytes {
			return &Refused{Reason: "the text is larger than a mebibyte"}
		}
		if _, err := dogwoodsettings.ParseText(change.Text); err != nil {
			return &Refused{Reason: "the text can't be read", Cause: err}
		}
		if len(encode(change)) > maxRowBytes {
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

// check refuses a change that does not fit the state in the view.
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

// notSeenError returns the error of a change that is based on a text which this daemon has not received. cause is
// why the log could not be read, nil if it was read and does not have the text.
func notSeenError(version uint64, cause error) error {
	if cause == nil {
		return Error.New("text version %d not seen yet", version)
	}
	return Error.New("text version %d not seen yet: %w", version, cause)
}
