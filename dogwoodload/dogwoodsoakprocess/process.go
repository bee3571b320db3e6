// Package dogwoodsoakprocess starts the soak's processes and ends them, by their ids alone.
package dogwoodsoakprocess

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of this package's errors.
var Error = errs.Class("process")

// Spec is what is started.
type Spec struct {
	Name      string
	Path      string
	Arguments []string
	// Environment is added to the path variable; nothing else is passed on.
	Environment []string
	// Log is the file to which the process's output is appended.
	Log string
}

// Process is a process that was started.
type Process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}

	mutex sync.Mutex
	err   error
}

// Group is the processes of a soak. It is safe for concurrent use.
type Group struct {
	waiting errgroup.Group

	mutex   sync.Mutex
	started []*Process
}

// Start starts a process.
func (group *Group) Start(ctx context.Context, spec Spec) (*Process, error) {
	log, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = log.Close() }() // the process has its own
	// The end of the context ends the soak's work first; End then ends the processes.
	command := exec.CommandContext(context.WithoutCancel(ctx), spec.Path, spec.Arguments...) //nolint:gosec // G204: the soak's own programs
	command.Env = append([]string{"PATH=" + os.Getenv("PATH")}, spec.Environment...)
	command.Stdout, command.Stderr = log, log
	// A soak that crashes takes its processes with it, and the terminal's interrupt reaches only
	// the soak, which ends them in its own order.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, Error.New("%s: %w", spec.Name, err)
	}
	process := &Process{name: spec.Name, command: command, ended: make(chan struct{})}
	group.waiting.Go(func() error {
		err := command.Wait()
		process.mutex.Lock()
		process.err = err
		process.mutex.Unlock()
		close(process.ended)
		return nil
	})
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.started = append(group.started, process)
	return process, nil
}

// End kills all processes that still run and waits for them.
func (group *Group) End() {
	group.mutex.Lock()
	started := group.started
	group.mutex.Unlock()
	for _, process := range started {
		if process.Running() {
			_ = process.Signal(syscall.SIGKILL) // it may end by itself at this moment
		}
	}
	_ = group.waiting.Wait() // the waits return no error
}

// Signal sends a signal.
func (process *Process) Signal(signal syscall.Signal) error {
	if err := process.command.Process.Signal(signal); err != nil {
		return Error.New("%s: %w", process.name, err)
	}
	return nil
}

// Running is false once the process has ended.
func (process *Process) Running() bool {
	select {
	case <-process.ended:
		return false
	default:
		return true
	}
}

// Wait returns when the process has ended, with false if the context ends first.
func (process *Process) Wait(ctx context.Context) bool {
	select {
	case <-process.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// Err is how the process ended: nil for a success, and while it runs.
func (process *Process) Err() error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.err
}
