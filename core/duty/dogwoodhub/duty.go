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
	// listAgain and listLongest are mean pauses after failed questions for the list of hubs:
	// after a loss of power all daemons ask at once.
	listAgain   = 200 * time.Millisecond
	listLongest = time.Second
	// offerAgain is the mean pause before a second try to be listed.
	offerAgain = 50 * time.Millisecond
)

// List is where hubs are listed. It outlives all daemons. What it says is a hint: a hub that
// is listed may be gone, and a daemon that finds itself listed was a hub before it started.
type List interface {
	// Hubs returns the hubs that are listed.
	Hubs(ctx context.Context) ([]dogwoodhubs.Daemon, error)
	// Offer lists this daemon, and takes those off that did not answer.
	Offer(ctx context.Context, silent []dogwoodfleet.VM) error
	// Withdraw takes this daemon off.
	Withdraw(ctx context.Context) error
}

// Options are what a duty is made from.
type Options struct {
	Self dogwoodhubs.Daemon
	// FirstStart is true if the whole fleet starts for the first time: nobody is listed yet.
	FirstStart bool
	List       List
	Leaf       *Leaf
	// BeHub does a hub's work until the context ends or the hub is spare.
	BeHub  func(ctx context.Context) error
	Logger hclog.Logger
}

// Duty keeps this daemon a leaf or a hub.
//
// Which one it begins as: a daemon that is listed was a hub and is one again, so that after a
// loss of power everywhere the same daemons are hubs as before, without a word. Any other one
// follows a listed hub that answers. If none does, it waits, the larger the shorter, looks once
// more, and offers itself. So of a fleet that starts for the first time the largest daemons
// become hubs, and the others find them.
type Duty struct {
	options Options

	mutex   sync.Mutex
	isHub   bool
	changed chan struct{} // closed at the next change of the part
}

// New returns a duty.
func New(options Options) *Duty {
	return &Duty{options: options, changed: make(chan struct{})}
}

// IsHub tells whether this daemon is a hub now.
func (duty *Duty) IsHub() bool {
	isHub, _ := duty.Watch()
	return isHub
}

// Watch tells whether this daemon is a hub now, and returns a channel that is closed when that
// changes.
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

// Run does a leaf's or a hub's work until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	if duty.options.FirstStart {
		// The larger daemons go first. Without this pause all would ask for an empty list.
		dogwoodkernel.Sleep(ctx, duty.joinPause())
	}
	hubs, err := duty.list(ctx)
	if err == nil && (duty.isListed(hubs) || duty.options.FirstStart && len(hubs) == 0) {
		if _, err := duty.beHub(ctx, hubs, nil); err != nil {
			return err
		}
		hubs, err = duty.list(ctx)
	}
	for err == nil && ctx.Err() == nil {
		switch why := duty.options.Leaf.Run(ctx, hubs); {
		case errors.Is(why, ErrPromoted):
			known := duty.options.Leaf.Fleet().Hubs
			became, err := duty.beHub(ctx, hubs, nil)
			if err != nil {
				return err
			}
			if !became {
				hubs = known // the store can't be asked who else there is
				continue
			}
		case errors.Is(why, ErrAlone):
			found, err := duty.alone(ctx, hubs)
			if err != nil {
				return err
			}
			if len(found) > 0 {
				hubs = found
				continue
			}
		}
		hubs, err = duty.list(ctx)
	}
	return nil // only the context's end ends the search for a list
}

// alone waits, and makes this daemon a hub if no other one has become one meanwhile; else it
// returns those that are listed now.
func (duty *Duty) alone(ctx context.Context, hubs []dogwoodhubs.Daemon) ([]dogwoodhubs.Daemon, error) {
	tried := vms(append(hubs, duty.options.Leaf.Fleet().Hubs...))
	pause := duty.joinPause()
	duty.options.Logger.Info("No hub answers.", "tried", len(tried), "pause", pause)
	if !dogwoodkernel.Sleep(ctx, pause) {
		return nil, nil
	}
	listed, err := duty.list(ctx)
	if err != nil || duty.hasNew(listed, tried) {
		return listed, nil //nolint:nilerr // the context has ended
	}
	_, err = duty.beHub(ctx, listed, tried)
	return nil, err
}

// list returns the hubs that are listed. It tries until the list is read or the context ends.
func (duty *Duty) list(ctx context.Context) ([]dogwoodhubs.Daemon, error) {
	pause := dogwoodkernel.Backoff{First: listAgain, Longest: listLongest}
	for {
		hubs, err := duty.options.List.Hubs(ctx)
		if err == nil {
			return hubs, nil
		}
		duty.options.Logger.Warn("The list of hubs can't be read.", "error", err)
		if err := pause.Sleep(ctx); err != nil {
			return nil, err
		}
	}
}

// joinPause is how long this daemon waits for a larger one to become a hub.
func (duty *Duty) joinPause() time.Duration {
	return dogwoodkernel.Jittered(dogwoodhubs.JoinPause(duty.options.Self.Cores))
}

func (duty *Duty) isListed(hubs []dogwoodhubs.Daemon) bool {
	self := duty.options.Self
	return slices.ContainsFunc(hubs, func(hub dogwoodhubs.Daemon) bool {
		return hub.VM == self.VM && hub.Peer == self.Peer && hub.Serve == self.Serve
	})
}

// hasNew tells whether a hub is listed that was not tried.
func (duty *Duty) hasNew(hubs []dogwoodhubs.Daemon, tried []dogwoodfleet.VM) bool {
	return slices.ContainsFunc(hubs, func(hub dogwoodhubs.Daemon) bool { return !slices.Contains(tried, hub.VM) })
}

func vms(hubs []dogwoodhubs.Daemon) []dogwoodfleet.VM {
	listed := make([]dogwoodfleet.VM, 0, len(hubs))
	for _, hub := range hubs {
		listed = append(listed, hub.VM)
	}
	return listed
}

// beHub lists this daemon and does a hub's work until it is spare or the context ends. A daemon
// that the store turns away becomes no hub: it follows one meanwhile, and tells it so.
func (duty *Duty) beHub(ctx context.Context, hubs []dogwoodhubs.Daemon, silent []dogwoodfleet.VM) (became bool, err error) {
	if !duty.isListed(hubs) || len(silent) > 0 {
		if err := duty.offer(ctx, silent); err != nil {
			duty.options.Logger.Warn("Not listed as a hub.", "error", err)
			duty.options.Leaf.unfit(time.Now())
			return false, nil
		}
	}
	duty.options.Logger.Info("Now a hub.", "silent", len(silent))
	duty.setHub(true)
	err = duty.options.BeHub(ctx)
	duty.setHub(false)
	if !errors.Is(err, ErrSpare) {
		return true, Error.Wrap(err)
	}
	duty.options.Logger.Info("Now a leaf: the other hubs suffice.")
	if err := duty.options.List.Withdraw(ctx); err != nil {
		duty.options.Logger.Warn("Still listed as a hub.", "error", err)
	}
	return true, nil
}

// offer lists this daemon, with one more try: the first hubs of all meet when they draw the
// key of their connections.
func (duty *Duty) offer(ctx context.Context, silent []dogwoodfleet.VM) error {
	err := duty.options.List.Offer(ctx, silent)
	if err == nil || !dogwoodkernel.Sleep(ctx, dogwoodkernel.Jittered(offerAgain)) {
		return err
	}
	return duty.options.List.Offer(ctx, silent)
}
