package dogwoodserve

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwooddaemon"
	"dogwoodmux.example/dogwoodmuxd/dogwoodfactory"
)

const goodSettings = `{
	// a daemon of a test
	"VM": "entry-01", "Region": "kyushu", "DataCentre": "fukuoka-a",
	"Serve": "10.0.0.1:8080", "Peer": "10.0.0.1:8081", "Admin": "10.0.0.1:8082",
	"Platform": {"Tables": "10.0.1.1:80", "Objects": "10.0.1.2:80", "VMs": "10.0.1.3:80", "Weights": "10.0.1.4:80"},
	"AdminKey": {"Value": "admin"}, "PeerKey": {"Value": "peer"},
}`

// fakeDaemon needs one minute for a graceful shutdown unless it is killed.
type fakeDaemon struct {
	failed chan struct{}
	killed chan struct{}
	once   sync.Once
}

func (daemon *fakeDaemon) Wait(ctx context.Context) {
	select {
	case <-daemon.failed:
	case <-ctx.Done():
	}
}

func (daemon *fakeDaemon) Stop(ctx context.Context) error {
	select {
	case <-time.After(time.Minute):
		return nil
	case <-daemon.killed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (daemon *fakeDaemon) Kill() {
	daemon.once.Do(func() { close(daemon.killed) })
}

func TestServeUntilSignals(t *testing.T) {
	tests := []struct {
		name     string
		signals  int
		fails    bool
		grace    time.Duration
		wantTook time.Duration
		wantErr  error
	}{
		{name: "the first signal shuts down gracefully", signals: 1, grace: time.Hour, wantTook: time.Minute},
		{name: "the second signal ends at once", signals: 2, grace: time.Hour, wantTook: time.Second, wantErr: errForcedStop},
		{name: "a daemon that fails is shut down", fails: true, grace: time.Hour, wantTook: time.Minute},
		{name: "the grace bounds the shutdown", signals: 1, grace: 5 * time.Second, wantTook: 5 * time.Second, wantErr: context.DeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				signals := make(chan os.Signal, 2)
				daemon := &fakeDaemon{failed: make(chan struct{}), killed: make(chan struct{})}
				factory := &dogwoodfactory.Factory{
					Err: &bytes.Buffer{}, Signals: signals,
					Start: func(context.Context, dogwooddaemon.Options) (dogwoodfactory.Daemon, error) { return daemon, nil },
					ReadFile: func(string) ([]byte, error) {
						return []byte(goodSettings), nil
					},
				}
				var group sync.WaitGroup
				group.Go(func() {
					for n := range test.signals {
						time.Sleep(time.Duration(n) * time.Second)
						signals <- syscall.SIGTERM
					}
					if test.fails {
						close(daemon.failed)
					}
				})
				started := time.Now()
				err := Run(t.Context(), &Options{Factory: factory, Settings: "daemon.json", Grace: test.grace})
				if !errors.Is(err, test.wantErr) {
					t.Errorf("got %v, want %v", err, test.wantErr)
				}
				if got := time.Since(started); got != test.wantTook {
					t.Errorf("ended after %v, want %v", got, test.wantTook)
				}
				group.Wait()
			})
		})
	}
}

func TestServeRejectsInvalidSettings(t *testing.T) {
	factory := &dogwoodfactory.Factory{ReadFile: func(string) ([]byte, error) {
		return []byte(strings.Replace(goodSettings, `"VM"`, `"WM"`, 1)), nil
	}}
	err := Run(t.Context(), &Options{Factory: factory, Settings: "daemon.json"})
	if err == nil || !strings.Contains(err.Error(), "3:2: WM") {
		t.Errorf("got %v, want the line and column of WM", err)
	}
}
