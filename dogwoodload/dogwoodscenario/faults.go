package dogwoodscenario

import (
	"context"
	"time"

	"dogwoodmux.example/dogwoodload/dogwoodjudge"
)

// stepFunc carries out a step of a scenario.
type stepFunc = func(ctx context.Context, execution *Execution) error

func slowEngines(factor float64, engines ...int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		for _, engine := range engines {
			execution.site.Engines[engine].Slow(factor)
		}
		return nil
	}
}

func turnEnginesCold(engines ...int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		for _, engine := range engines {
			execution.site.Engines[engine].TurnCold()
		}
		return nil
	}
}

func turnServerCold(server int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		execution.site.Plain[server].TurnCold()
		return nil
	}
}

func killEngines(engines ...int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		for _, engine := range engines {
			execution.site.Engines[engine].Die()
		}
		return nil
	}
}

func reviveEngines(engines ...int) stepFunc {
	return func(ctx context.Context, execution *Execution) error {
		for _, engine := range engines {
			if err := execution.site.Engines[engine].Revive(ctx); err != nil {
				return Error.Wrap(err)
			}
		}
		return nil
	}
}

func killServer(server int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		execution.site.Plain[server].Die()
		return nil
	}
}

func reviveServer(server int) stepFunc {
	return func(ctx context.Context, execution *Execution) error {
		return Error.Wrap(execution.site.Plain[server].Revive(ctx))
	}
}

func silenceEngines(engines ...int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		for _, engine := range engines {
			execution.site.Engines[engine].Silence(true)
		}
		return nil
	}
}

func silenceServer(server int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		execution.site.Plain[server].Silence(true)
		return nil
	}
}

func killDaemon(daemon int) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		killed := execution.site.Daemons()[daemon]
		execution.mutex.Lock()
		execution.kills = append(execution.kills, dogwoodjudge.Kill{Entry: killed.Serve.String(), At: time.Now()})
		execution.mutex.Unlock()
		killed.Kill() //nolint:contextcheck,nolintlint // a simulated crash does not wait; reported only when all modules are linted together
		return nil
	}
}

func restartDaemon(daemon int) stepFunc {
	return func(ctx context.Context, execution *Execution) error {
		return Error.Wrap(execution.site.Daemons()[daemon].Restart(ctx))
	}
}

// setStoreDown starts or ends an outage of the store and ends the delay that slowStore set.
func setStoreDown(down bool) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		execution.site.Platform.Slow(0)
		execution.site.Platform.Down(down)
		return nil
	}
}

func slowStore(delay time.Duration) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		execution.site.Platform.Slow(delay)
		return nil
	}
}

// loseStoreAnswers ends an outage of the store and makes it lose the given share of its answers.
func loseStoreAnswers(share float64) stepFunc {
	return func(_ context.Context, execution *Execution) error {
		execution.site.Platform.Down(false)
		execution.site.Platform.LoseAnswers(share)
		return nil
	}
}
