package dogwoodhub

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// listMinBackoff and listMaxBackoff bound the mean pause between failed reads of the list of
	// hubs: after a loss of power all daemons read it at once.
	listMinBackoff = 200 * time.Millisecond
	listMaxBackoff = time.Second
	// offerRetryPause is the mean pause before a daemon retries to get itself listed.
	offerRetryPause = 50 * time.Millisecond
)

// List is the shared list of hubs. It outlives all daemons. Its contents are a hint: a listed
// hub may be gone, and a daemon that finds itself listed was a hub before it restarted.
type List interface {
	// Hubs returns the listed hubs.
	Hubs(ctx context.Context) ([]dogwoodhubs.Daemon, error)
	// Register adds this daemon to the list and removes the hubs on the silent VMs, which did not answer.
	Register(ctx context.Context, silent []dogwoodfleet.VM) error
	// Withdraw removes this daemon from the list.
	Withdraw(ctx context.Context) error
}

// Options configure a Duty.
type Options struct {
	Self dogwoodhubs.Daemon
	// FirstStart is true if the whole fleet starts for the first time: no hub is listed yet.
	FirstStart bool
	List       List
	Leaf       *Leaf
	// RunHub runs this daemon as a hub until the context ends or the hub is no longer needed. It returns
	// ErrNotNeeded in the latter case.
	RunHub func(ctx context.Context) error
	Logger hclog.Logger
}

// Duty runs this daemon as a leaf or as a hub and switches between the two roles.
//
// The role at the start follows from the list. A daemon that is listed was a hub and becomes
// one again, so that after a loss of power everywhere the same daemons are hubs as before,
// without coordination. Any other daemon follows a listed hub that answers. If none answers, it
// waits (a larger daemon waits for a shorter time), reads the list once more, and offers itself
// if no new hub is listed. In a fleet that starts for the first time the largest daemons
// therefore become hubs, and the others find them.
type Duty struct {
	options Options

	mutex   sync.Mutex
	isHub   bool
	changed chan struct{} // closed at the next change of the role
}

// New returns a duty that is a leaf until Run makes it a hub.
func New(options Options) *Duty {
	return &Duty{options: options, changed: make(chan struct{})}
}

// IsHub reports whether this daemon is a hub now.
func (duty *Duty) IsHub() bool {
	isHub, _ := duty.Watch()
	return isHub
}

// Watch reports whether this daemon is a hub now, and returns a channel that is closed when
// that changes.
func (duty *Duty) Watch() (isHub bool, changed <-chan struct{}) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.isHub, duty.changed
}

func (duty *Duty) setHub(isHub bool) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.isHub = isHub
	close(duty.changed)
	duty.changed = make(chan struct{})
}

// Run runs this daemon as a leaf or as a hub until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	if duty.options.FirstStart {
		// Larger daemons go first. Without this delay all would read an empty list.
		dogwoodkernel.Sleep(ctx, duty.joinDelay())
	}
	hubs, err := duty.readList(ctx)
	if err == nil && (duty.isListed(hubs) || duty.options.FirstStart && len(hubs) == 0) {
		if _, err := duty.serveAsHub(ctx, hubs, nil); err != nil {
			return err
		}
		hubs, err = duty.readList(ctx)
	}
	for err == nil && ctx.Err() == nil {
		switch reason := duty.options.Leaf.Run(ctx, hubs); {
		case errors.Is(reason, ErrPromoted):
			known := duty.options.Leaf.Fleet().Hubs
			became, err := duty.serveAsHub(ctx, hubs, nil)
			if err != nil {
				return err
			}
			if !became {
				hubs = known // this daemon can't reach the store, so it can't read the list
				continue
			}
		case errors.Is(reason, ErrNoHub):
			found, err := duty.becomeHubIfNone(ctx, hubs)
			if err != nil {
				return err
			}
			if len(found) > 0 {
				hubs = found
				continue
			}
		}
		hubs, err = duty.readList(ctx)
	}
	return nil // reading the list fails only when the context ends
}

// becomeHubIfNone waits for the join delay and then makes this daemon a hub, unless another one
// has become a hub meanwhile: then it returns the hubs that are listed now.
func (duty *Duty) becomeHubIfNone(ctx context.Context, hubs []dogwoodhubs.Daemon) ([]dogwoodhubs.Daemon, error) {
	tried := vms(append(hubs, duty.options.Leaf.Fleet().Hubs...))
	delay := duty.joinDelay()
	duty.options.Logger.Info("No hub answers.", "tried", len(tried), "pause", delay)
	if !dogwoodkernel.Sleep(ctx, delay) {
		return nil, nil
	}
	listed, err := duty.readList(ctx)
	if err != nil || duty.hasUntried(listed, tried) {
		return listed, nil //nolint:nilerr // the context has ended
	}
	_, err = duty.serveAsHub(ctx, listed, tried)
	return nil, err
}

// readList returns the listed hubs. It retries until the list is read or the context ends.
func (duty *Duty) readList(ctx context.Context) ([]dogwoodhubs.Daemon, error) {
	backoff := dogwoodkernel.Backoff{First: listMinBackoff, Longest: listMaxBackoff}
	for {
		hubs, err := duty.options.List.Hubs(ctx)
		if err == nil {
			return hubs, nil
		}
		duty.options.Logger.Warn("The list of hubs can't be read.", "error", err)
		if err := backoff.Sleep(ctx); err != nil {
			return nil, err
		}
	}
}

// joinDelay returns how long this daemon waits for a larger one to become a hub.
func (duty *Duty) joinDelay() time.Duration {
	return dogwoodkernel.Jittered(dogwoodhubs.JoinDelay(duty.options.Self.Cores))
}

func (duty *Duty) isListed(hubs []dogwoodhubs.Daemon) bool {
	self := duty.options.Self
	return slices.ContainsFunc(hubs, func(hub dogwoodhubs.Daemon) bool {
		return hub.VM == self.VM && hub.Peer == self.Peer && hub.Serve == self.Serve
	})
}

// hasUntried reports whether hubs contains one that was not tried.
func (duty *Duty) hasUntried(hubs []dogwoodhubs.Daemon, tried []dogwoodfleet.VM) bool {
	return slices.ContainsFunc(hubs, func(hub dogwoodhubs.Daemon) bool { return !slices.Contains(tried, hub.VM) })
}

func vms(hubs []dogwoodhubs.Daemon) []dogwoodfleet.VM {
	names := make([]dogwoodfleet.VM, 0, len(hubs))
	for _, hub := range hubs {
		names = append(names, hub.VM)
	}
	return names
}

// serveAsHub lists this daemon and runs it as a hub until it is spare or the context ends. It
// reports whether this daemon became a hub. A daemon that can't be listed doesn't become one: it
// follows a hub, to which it reports itself as ineligible for a while.
func (duty *Duty) serveAsHub(ctx context.Context, hubs []dogwoodhubs.Daemon, silent []dogwoodfleet.VM) (became bool, err error) {
	if !duty.isListed(hubs) || len(silent) > 0 {
		if err := duty.offer(ctx, silent); err != nil {
			duty.options.Logger.Warn("Not listed as a hub.", "error", err)
			duty.options.Leaf.markIneligible(time.Now())
			return false, nil
		}
	}
	duty.options.Logger.Info("Now a hub.", "silent", len(silent))
	duty.setHub(true)
	err = duty.options.RunHub(ctx)
	duty.setHub(false)
	if !errors.Is(err, ErrNotNeeded) {
		return true, Error.Wrap(err)
	}
	duty.options.Logger.Info("Now a leaf: the other hubs suffice.")
	if err := duty.options.List.Withdraw(ctx); err != nil {
		duty.options.Logger.Warn("Still listed as a hub.", "error", err)
	}
	return true, nil
}

// offer adds this daemon to the list and retries once: the first hubs of a fleet conflict when
// they create the key of their connections.
func (duty *Duty) offer(ctx context.Context, silent []dogwoodfleet.VM) error {
	err := duty.options.List.Register(ctx, silent)
	if err == nil || !dogwoodkernel.Sleep(ctx, dogwoodkernel.Jittered(offerRetryPause)) {
		return err
	}
	return duty.options.List.Register(ctx, silent)
}
