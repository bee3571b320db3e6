package dogwoodscenario

import (
	"context"
	"time"

	"dogwoodmux.example/dogwoodload/dogwoodjudge"
)

// stepFunc carries out a step of a scenario.
type stepFunc = func(ctx context.Context, stage *Execution) error

func slowEngines(factor float64, engines ...int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		for _, engine := range engines {
			stage.site.Engines[engine].Slow(factor)
		}
		return nil
	}
}

func turnEnginesCold(engines ...int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		for _, engine := range engines {
			stage.site.Engines[engine].TurnCold()
		}
		return nil
	}
}

func turnServerCold(server int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		stage.site.Plain[server].TurnCold()
		return nil
	}
}

func killEngines(engines ...int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		for _, engine := range engines {
			stage.site.Engines[engine].Die()
		}
		return nil
	}
}

func reviveEngines(engines ...int) stepFunc {
	return func(ctx context.Context, stage *Execution) error {
		for _, engine := range engines {
			if err := stage.site.Engines[engine].Revive(ctx); err != nil {
				return Error.Wrap(err)
			}
		}
		return nil
	}
}

func killServer(server int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		stage.site.Plain[server].Die()
		return nil
	}
}

func reviveServer(server int) stepFunc {
	return func(ctx context.Context, stage *Execution) error {
		return Error.Wrap(stage.site.Plain[server].Revive(ctx))
	}
}

func silenceEngines(engines ...int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		for _, engine := range engines {
			stage.site.Engines[engine].Silence(true)
		}
		return nil
	}
}

func silenceServer(server int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		stage.site.Plain[server].Silence(true)
		return nil
	}
}

func killDaemon(daemon int) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		killed := stage.site.Daemons()[daemon]
		stage.mutex.Lock()
		stage.kills = append(stage.kills, dogwoodjudge.Kill{Entry: killed.Serve.String(), At: time.Now()})
		stage.mutex.Unlock()
		killed.Kill() //nolint:contextcheck,nolintlint // a simulated crash does not wait; reported only when all modules are linted together
		return nil
	}
}

func restartDaemon(daemon int) stepFunc {
	return func(ctx context.Context, stage *Execution) error {
		return Error.Wrap(stage.site.Daemons()[daemon].Restart(ctx))
	}
}

// setStoreDown starts or ends an outage of the store and ends the delay that slowStore set.
func setStoreDown(down bool) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		stage.site.Platform.Slow(0)
		stage.site.Platform.Down(down)
		return nil
	}
}

func slowStore(delay time.Duration) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		stage.site.Platform.Slow(delay)
		return nil
	}
}

// loseStoreAnswers ends an outage of the store and makes it lose the given share of its answers.
func loseStoreAnswers(share float64) stepFunc {
	return func(_ context.Context, stage *Execution) error {
		stage.site.Platform.Down(false)
		stage.site.Platform.LoseAnswers(share)
		return nil
	}
}
