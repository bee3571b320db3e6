package dogwoodsoakprocess

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// KillAll kills running and frozen processes and copes with those that have already ended. The output of a process is in
// its log.
func TestKillAllKillsAllProcesses(t *testing.T) {
	directory := t.TempDir()
	var group Group
	start := func(name, command string) *Process {
		process, err := group.Start(t.Context(), Spec{
			Name: name, Path: "/bin/sh", Arguments: []string{"-c", command}, Environment: []string{"WORD=" + name},
			Log: filepath.Join(directory, name),
		})
		if err != nil {
			t.Fatal(err)
		}
		return process
	}
	ended := start("ended", "echo $WORD; exit 3")
	running, frozen := start("running", "exec sleep 60"), start("frozen", "exec sleep 60")
	if !ended.Wait(t.Context()) || ended.Running() || ended.Err() == nil {
		t.Errorf("got %v, want the failure of a process that has ended", ended.Err())
	}
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if !running.Running() || running.Err() != nil {
		t.Errorf("got %v, want a process that runs", running.Err())
	}
	group.KillAll()
	for _, process := range []*Process{running, frozen} {
		if process.Running() || process.Signal(syscall.SIGCONT) == nil {
			t.Error("got a process that still runs, want none")
		}
	}
	log, err := os.ReadFile(filepath.Join(directory, "ended"))
	if got, want := strings.TrimSpace(string(log)), "ended"; err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

// The error for a program that can't be started must name the process.
func TestMissingProgram(t *testing.T) {
	var group Group
	_, err := group.Start(t.Context(), Spec{Name: "none", Path: "/no/such/program", Log: filepath.Join(t.TempDir(), "log")})
	if err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("got %v, want an error that names it", err)
	}
	group.KillAll()
}

// Guards against a memory check that reads a wrong field, or a dead process's: this process's own resident set is read, and one
// that has ended has none.
func TestResidentBytes(t *testing.T) {
	// A shell that executes the program would do so between two samples, and a new program has a new peak.
	path, err := exec.LookPath("sleep")
	if err != nil {
		t.Fatal(err)
	}
	var group Group
	process, err := group.Start(t.Context(), Spec{Name: "sleep", Path: path, Arguments: []string{"60"}, Log: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	const least, most = 64 << 10, 64 << 20
	got, err := process.ResidentBytes()
	// A program that has just been executed has a few pages until its loader has run.
	for deadline := time.Now().Add(10 * time.Second); err == nil && got < least && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
		got, err = process.ResidentBytes()
	}
	if err != nil || got < least || got > most {
		t.Errorf("got %d bytes and %v, want some hundred kilobytes", got, err)
	}
	if peak, err := process.PeakResidentBytes(); err != nil || peak < got || peak > most {
		t.Errorf("got a peak of %d bytes and %v, want at least the %d of now", peak, err, got)
	}
	group.KillAll()
	if got, err := process.ResidentBytes(); err == nil {
		t.Errorf("got %d bytes of a process that has ended, want an error", got)
	}
	if got, err := process.PeakResidentBytes(); err == nil {
		t.Errorf("got a peak of %d bytes of a process that has ended, want an error", got)
	}
}

// Guards against a cut that strikes another daemon: a socket belongs to the process that has opened it, and to no other.
func TestHasSocket(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	local, remote := netip.MustParseAddrPort(connection.LocalAddr().String()), netip.MustParseAddrPort(connection.RemoteAddr().String())
	var group Group
	other, err := group.Start(t.Context(), Spec{Name: "sleep", Path: "/bin/sh", Arguments: []string{"-c", "exec sleep 60"}, Log: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	defer group.KillAll()
	process, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	own := &Process{command: &exec.Cmd{Process: process}}
	if got := own.HasSocket(local, remote); !got {
		t.Errorf("got %t for a connection of the process, want true", got)
	}
	if got := other.HasSocket(local, remote); got {
		t.Errorf("got %t for a connection of another process, want false", got)
	}
	if got := own.HasSocket(remote, netip.AddrPortFrom(local.Addr(), 1)); got {
		t.Errorf("got %t for a connection that does not exist, want false", got)
	}
}
