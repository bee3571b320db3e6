// Package dogwoodsoakprocess starts the processes of a soak and ends them. It signals only processes that it started,
// by process id.
package dogwoodsoakprocess

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of this package's errors.
var Error = errs.Class("process")

// Spec describes a process to start.
type Spec struct {
	Name      string
	Path      string
	Arguments []string
	// Environment is the environment of the process, besides PATH. No other variables are inherited.
	Environment []string
	// Log is the file to which the process's output is appended.
	Log string
}

// Process is a started process.
type Process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}

	mutex sync.Mutex
	err   error
}

// Group holds the processes of a soak. It is safe for concurrent use.
type Group struct {
	waiters errgroup.Group

	mutex   sync.Mutex
	started []*Process
}

// Start starts a process. It keeps running when the context ends; KillAll kills it.
func (group *Group) Start(ctx context.Context, spec Spec) (*Process, error) {
	log, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = log.Close() }() // the process has a duplicate of it
	// The context's end must not kill the process: the soak's work ends first, then KillAll ends the processes.
	command := exec.CommandContext(context.WithoutCancel(ctx), spec.Path, spec.Arguments...) //nolint:gosec // G204: the soak's own programs
	command.Env = append([]string{"PATH=" + os.Getenv("PATH")}, spec.Environment...)
	command.Stdout, command.Stderr = log, log
	// The processes die if the soak crashes. An interrupt from the terminal reaches only the soak, which then ends
	// them in order.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, Error.New("%s: %w", spec.Name, err)
	}
	process := &Process{name: spec.Name, command: command, ended: make(chan struct{})}
	group.waiters.Go(func() error {
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

// KillAll kills all running processes and waits for them.
func (group *Group) KillAll() {
	group.mutex.Lock()
	started := group.started
	group.mutex.Unlock()
	for _, process := range started {
		if process.Running() {
			_ = process.Signal(syscall.SIGKILL) // the process may have just ended
		}
	}
	_ = group.waiters.Wait() // the waits return no error
}

// Signal sends a signal to the process.
func (process *Process) Signal(signal syscall.Signal) error {
	if err := process.command.Process.Signal(signal); err != nil {
		return Error.New("%s: %w", process.name, err)
	}
	return nil
}

// ResidentBytes returns the size of the process's resident set.
func (process *Process) ResidentBytes() (int, error) {
	source, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.command.Process.Pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var size, resident int // in pages
	if _, err := fmt.Sscan(string(source), &size, &resident); err != nil {
		return 0, Error.Wrap(err)
	}
	return resident * os.Getpagesize(), nil
}

// PeakResidentBytes returns the largest size that the process's resident set has had, which samples of it would miss.
func (process *Process) PeakResidentBytes() (int, error) {
	source, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	_, after, _ := strings.Cut(string(source), "\nVmHWM:")
	kilobytes := 0
	if _, err := fmt.Sscan(after, &kilobytes); err != nil {
		return 0, Error.New("%s: no peak of its resident set: %w", process.name, err)
	}
	return kilobytes << 10, nil
}

// Descriptors returns the number of descriptors that the process has open.
func (process *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid))
	return len(entries), Error.Wrap(err)
}

// Running reports whether the process has not ended yet.
func (process *Process) Running() bool {
	select {
	case <-process.ended:
		return false
	default:
		return true
	}
}

// Wait waits for the process to end. It returns false if the context ends first.
func (process *Process) Wait(ctx context.Context) bool {
	select {
	case <-process.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// Err returns the error with which the process ended. It is nil after a success and while the process runs.
func (process *Process) Err() error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.err
}
