package dogwoodplainstandin

import (
	"context"
	"time"
)

// Die stops the server as a crash does, until Revive is called.
func (server *Server) Die() {
	server.mutex.Lock()
	server.dead = true
	server.down = true
	server.mutex.Unlock()
	server.host.Down()
}

// Revive restarts a server stopped by Die at the same address. The server is cold.
func (server *Server) Revive(ctx context.Context) error {
	server.mutex.Lock()
	server.dead = false
	server.mutex.Unlock()
	return server.restart(ctx)
}

func (server *Server) restart(ctx context.Context) error {
	server.mutex.Lock()
	dead := server.dead
	if !dead && server.down {
		server.down = false
		server.coldUntil = time.Now().Add(server.options.ColdDuration)
	}
	server.mutex.Unlock()
	if dead {
		return nil
	}
	return Error.Wrap(server.host.Up(ctx))
}

// crash stops the server for RestartAfter. The caller holds the mutex.
func (server *Server) crash() {
	server.crashes++
	server.down = true
	select {
	case server.crashed <- struct{}{}:
	default:
	}
}

// restartAfterCrashes takes a crashed server off the network and restarts it after
// RestartAfter. It returns when the context ends.
func (server *Server) restartAfterCrashes(ctx context.Context) {
	for {
		select {
		case <-server.crashed:
		case <-ctx.Done():
			return
		}
		server.host.Down()
		restart := time.NewTimer(server.options.RestartAfter)
		select {
		case <-restart.C:
			// Restarting fails only if the context ends before the port is free.
			_ = server.restart(ctx)
		case <-ctx.Done():
			restart.Stop()
			return
		}
	}
}

// TurnCold makes a warm server cold without a restart.
func (server *Server) TurnCold() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.coldUntil = time.Now().Add(server.options.ColdDuration)
}

// Silence makes all open connections fall silent permanently while new ones work, if on is
// true; else it closes the silent ones.
func (server *Server) Silence(on bool) {
	server.host.Silence(on)
}

// Slow multiplies the server's latency by the factor; 1 is its normal speed.
func (server *Server) Slow(factor float64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.slowFactor = factor
}

// KillOn makes every call whose body or path contains the marker crash the server.
func (server *Server) KillOn(marker string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.killMarkers = append(server.killMarkers, marker)
}

// Runs returns how often the server ran a call with the idempotency key.
func (server *Server) Runs(key string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.runsByKey[key]
}

// RunsByLoadID returns how often the server ran a call with the load ID.
func (server *Server) RunsByLoadID(loadID string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.runsByLoadID[loadID]
}

// Ran returns the calls that the server ran, in order of arrival.
func (server *Server) Ran() []RunRecord {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]RunRecord(nil), server.records...)
}

// ColdOverruns returns how often the running calls rose above the cold limit while the
// server was cold.
func (server *Server) ColdOverruns() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.coldOverruns
}

// Crashes returns how often a call or an overload crashed the server.
func (server *Server) Crashes() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.crashes
}

// LastNewWork returns when the latest call arrived, or zero if none arrived.
func (server *Server) LastNewWork() time.Time {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.lastNewWork
}
