// Package dogwoodkernel starts and stops the parts of a process. A plug-in registers itself
// by name in its init function, as database drivers do; a program imports the plug-ins that
// it uses. The kernel starts plug-ins in the order of their dependencies, gives each a
// context and a named logger, runs their background tasks in one group and stops the parts
// in reverse order. Background tasks exchange values over the rings of dogwoodring.
package dogwoodkernel

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of this package's errors.
var Error = errs.Class("kernel")

// Part is one started plug-in.
type Part interface {
	// Stop stops the part. The background tasks keep running until all parts are stopped. The
	// context limits how long a graceful stop may take.
	Stop(ctx context.Context) error
}

// Plugin describes how to start a part.
type Plugin struct {
	Name string
	// Needs are the names of the plug-ins that must be started first.
	Needs []string
	// Start creates the part and starts its background tasks with kernel.Go. It must not block.
	Start func(ctx context.Context, kernel *Kernel) (Part, error)
}

var (
	registerMutex sync.Mutex
	registered    = map[string]Plugin{}
)

// Register registers a plug-in. It panics if the name is already registered: this is a
// programming error, which shows at the program's first start.
func Register(plugin Plugin) {
	registerMutex.Lock()
	defer registerMutex.Unlock()
	if _, exists := registered[plugin.Name]; exists {
		panic("dogwoodkernel: plug-in registered twice: " + plugin.Name)
	}
	registered[plugin.Name] = plugin
}

// Kernel holds the parts of a process, or of one daemon if a process runs several.
type Kernel struct {
	// Logger is the root logger; parts log to the loggers that Named returns.
	Logger hclog.Logger
	// Settings holds the settings for the parts. The program chooses its type.
	Settings any

	group      *errgroup.Group
	taskCtx    context.Context //nolint:containedctx // the lifetime of the kernel's own group, not of a call
	cancel     context.CancelFunc
	parts      map[string]Part
	startOrder []string
}

// New returns a kernel. The context of its background tasks ends when ctx does.
func New(ctx context.Context, logger hclog.Logger, settings any) *Kernel {
	runCtx, cancel := context.WithCancel(ctx)
	group, taskCtx := errgroup.WithContext(runCtx)
	return &Kernel{
		Logger:   logger,
		Settings: settings,
		group:    group,
		taskCtx:  taskCtx,
		cancel:   cancel,
		parts:    map[string]Part{},
	}
}

// Named returns the logger of a part.
func (kernel *Kernel) Named(name string) hclog.Logger {
	return kernel.Logger.Named(name)
}

// Go runs a background task in the kernel's group. If it returns an error, the context of all
// background tasks ends.
func (kernel *Kernel) Go(name string, task func(ctx context.Context) error) {
	kernel.group.Go(func() error {
		err := task(kernel.taskCtx)
		if err == nil || kernel.taskCtx.Err() != nil {
			return nil
		}
		return Error.Wrap(fmt.Errorf("duty %s: %w", name, err))
	})
}

// Part returns the part that the named plug-in started, or nil.
func (kernel *Kernel) Part(name string) Part {
	return kernel.parts[name]
}

// PartOf returns the part that the named plug-in started, as a T.
func PartOf[T any](kernel *Kernel, name string) (T, error) {
	part, ok := kernel.parts[name].(T)
	if !ok {
		return part, Error.New("part %q is not started or has another type", name)
	}
	return part, nil
}

// Start starts the named plug-ins and those that they depend on.
func (kernel *Kernel) Start(ctx context.Context, names ...string) error {
	for _, name := range names {
		if err := kernel.start(ctx, name, nil); err != nil {
			return err
		}
	}
	return nil
}

func (kernel *Kernel) start(ctx context.Context, name string, path []string) error {
	if kernel.parts[name] != nil {
		return nil
	}
	if slices.Contains(path, name) {
		return Error.New("plug-in dependency cycle: %v", append(path, name))
	}
	registerMutex.Lock()
	plugin, exists := registered[name]
	registerMutex.Unlock()
	if !exists {
		return Error.New("plug-in %q is not registered", name)
	}
	for _, need := range plugin.Needs {
		if err := kernel.start(ctx, need, append(path, name)); err != nil {
			return err
		}
	}
	part, err := plugin.Start(ctx, kernel)
	if err != nil {
		return Error.Wrap(fmt.Errorf("starting %s: %w", name, err))
	}
	kernel.parts[name] = part
	kernel.startOrder = append(kernel.startOrder, name)
	return nil
}

// Wait blocks until a background task fails, the kernel stops, or the kernel's context or ctx
// ends.
func (kernel *Kernel) Wait(ctx context.Context) {
	select {
	case <-kernel.taskCtx.Done():
	case <-ctx.Done():
	}
}

// Stop stops the parts in reverse order of their start, then ends the context of the
// background tasks and waits for them. It returns the errors of the parts and of the first
// background task that failed.
func (kernel *Kernel) Stop(ctx context.Context) error {
	var stopErrs errs.Group
	for _, name := range slices.Backward(kernel.startOrder) {
		if err := kernel.parts[name].Stop(ctx); err != nil {
			stopErrs.Add(Error.Wrap(fmt.Errorf("stopping %s: %w", name, err)))
		}
	}
	kernel.cancel()
	stopErrs.Add(kernel.group.Wait())
	return stopErrs.Err()
}

// StopFunc is a function that serves as a Part.
type StopFunc func(ctx context.Context) error

// Stop calls the function.
func (stop StopFunc) Stop(ctx context.Context) error {
	return stop(ctx)
}
