package dogwoodscenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
)

// applyConflictingTexts applies two edits of the same version of the operators' text through two
// daemons at the same time. One edit must be accepted and the other rejected with a conflict.
func applyConflictingTexts(ctx context.Context, execution *Execution) error {
	base, err := execution.currentText(ctx)
	if err != nil {
		return err
	}
	const editors = 2
	var group sync.WaitGroup
	var mutex sync.Mutex
	var accepted, conflicts int
	var unexpected error
	for editor := range editors {
		group.Go(func() {
			err := execution.apply(ctx, editor*2, base)
			mutex.Lock()
			defer mutex.Unlock()
			var conflict *dogwoodadminapi.Conflict
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &conflict):
				conflicts++
			default:
				unexpected = err
			}
		})
	}
	group.Wait()
	if unexpected != nil {
		return unexpected
	}
	if accepted != 1 || conflicts != editors-1 {
		return Error.New("of two concurrent edits of the text %d were accepted and %d rejected with a conflict, want one each", accepted, conflicts)
	}
	return nil
}

func (execution *Execution) currentText(ctx context.Context) (dogwoodadminapi.Text, error) {
	daemon, err := execution.runningDaemon(0)
	if err != nil {
		return dogwoodadminapi.Text{}, err
	}
	text, err := execution.adminClient(daemon).Text(ctx)
	if err != nil {
		return text, Error.Wrap(err)
	}
	if text.Source == "" {
		source, err := execution.site.Text()
		return dogwoodadminapi.Text{Version: text.Version, Source: string(source)}, Error.Wrap(err)
	}
	return text, nil
}

// apply sends an edit of base to the running daemon of the given index and waits until the edit is in
// force on every daemon.
func (execution *Execution) apply(ctx context.Context, daemonIndex int, base dogwoodadminapi.Text) error {
	daemon, err := execution.runningDaemon(daemonIndex)
	if err != nil {
		return err
	}
	source := fmt.Sprintf("// edited through %s after version %d\n%s", daemon.VM, base.Version, base.Source)
	accepted, err := execution.adminClient(daemon).Apply(ctx, dogwoodadminapi.Apply{
		ID: uuid.NewString(), BasedOn: base.Version, Author: "measure", Source: source,
	})
	if err != nil {
		return err //nolint:wrapcheck // the caller checks its type
	}
	at := time.Now()
	execution.mutex.Lock()
	execution.acceptedSource = source
	execution.mutex.Unlock()
	return execution.awaitPropagation(ctx, at, accepted.Version)
}

// takeOutWithConflictingTexts takes a data centre out of service while conflicting edits of the
// operators' text are applied.
func takeOutWithConflictingTexts(dataCentre dogwoodfleet.DataCentre) stepFunc {
	return func(ctx context.Context, execution *Execution) error {
		var group sync.WaitGroup
		var textsErr error
		group.Go(func() { textsErr = applyConflictingTexts(ctx, execution) })
		err := execution.takeOut(ctx, 1, dataCentre)
		group.Wait()
		return errors.Join(err, textsErr)
	}
}

// checkNothingReverted returns an error unless every running daemon has the last accepted text and
// every accepted change.
func checkNothingReverted(ctx context.Context, execution *Execution) error {
	execution.mutex.Lock()
	source, accepted := execution.acceptedSource, execution.acceptedVersion
	execution.mutex.Unlock()
	for _, daemon := range execution.site.Daemons() {
		if !daemon.Alive() {
			continue
		}
		text, err := execution.adminClient(daemon).Text(ctx)
		if err != nil {
			return Error.Wrap(err)
		}
		if text.Source != source {
			return Error.New("%s has text version %d, which is not the last accepted one", daemon.VM, text.Version)
		}
		if err := execution.awaitVersion(ctx, daemon, accepted); err != nil {
			return err
		}
	}
	return nil
}
