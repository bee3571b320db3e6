package dogwoodcommand

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodadminapi"
)

// DefaultWait is how long a subcommand waits by default until its change is in force on
// every daemon. A change is in force within 3 s; the rest allows for the status calls.
const DefaultWait = 5 * time.Second

// pollInterval is the time between two status calls while waiting.
const pollInterval = 200 * time.Millisecond

// StatusReader reads the status of the deployment.
type StatusReader interface {
	Status(ctx context.Context) (dogwoodadminapi.Status, error)
}

// ReportAccepted prints the result of an accepted change and waits until it is in force on
// every daemon. It does not wait if the change is not stored yet or wait is 0.
func ReportAccepted(ctx context.Context, client StatusReader, accepted dogwoodadminapi.Accepted, wait time.Duration, out io.Writer) error {
	if !accepted.Kept {
		_, err := fmt.Fprintln(out, "in force, not yet kept: the platform's store does not answer. It is written when the store is back; see \"dogwoodctl status\".")
		return err
	}
	if _, err := fmt.Fprintf(out, "accepted as version %d\n", accepted.Version); err != nil {
		return err
	}
	if wait <= 0 {
		return nil
	}
	behind, err := waitForAll(ctx, client, accepted.Version, wait)
	if err != nil {
		return err
	}
	if len(behind) > 0 {
		return &CodedError{Code: ExitNotEverywhere, Err: Error.New("version %d is accepted but not yet in force on: %s", accepted.Version, strings.Join(behind, ", "))}
	}
	_, err = fmt.Fprintln(out, "in force on every daemon")
	return err
}

// waitForAll waits until the version is in force on every daemon and returns the daemons on
// which it is not in force when the wait ends.
func waitForAll(ctx context.Context, client StatusReader, version uint64, wait time.Duration) ([]string, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return nil, err
		}
		behind := daemonsBehind(status, version)
		if len(behind) == 0 {
			return nil, nil
		}
		select {
		case <-waitCtx.Done():
			return behind, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func daemonsBehind(status dogwoodadminapi.Status, version uint64) []string {
	var behind []string
	for _, daemon := range status.Daemons {
		if daemon.Version < version || !daemon.Answers {
			behind = append(behind, string(daemon.VM))
		}
	}
	return behind
}
