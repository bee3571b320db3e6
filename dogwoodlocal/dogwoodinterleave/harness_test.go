package dogwoodinterleave

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/dogwoodlocal/dogwoodplatformstandin"
)

// seedShards is the number of seeds that run in parallel.
const seedShards = 6

// forSeeds runs the scenario once for each seed, each in a separate synctest bubble, and logs
// the seeds that fail.
func forSeeds(t *testing.T, count int, scenario func(t *testing.T, random *rand.Rand)) {
	t.Helper()
	first := 1
	if seed, err := strconv.Atoi(os.Getenv("DOGWOOD_SEED")); err == nil {
		first, count = seed, 1
	} else if seeds, err := strconv.Atoi(os.Getenv("DOGWOOD_SEEDS")); err == nil {
		count = seeds
	}
	for shard := range seedShards {
		t.Run("shard"+strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for seed := first + shard; seed < first+count; seed += seedShards {
				runSeed(t, seed, scenario)
			}
		})
	}
}

func runSeed(t *testing.T, seed int, scenario func(t *testing.T, random *rand.Rand)) {
	synctest.Test(t, func(t *testing.T) {
		defer func() {
			if t.Failed() {
				t.Logf("run again with DOGWOOD_SEED=%d", seed)
			}
		}()
		scenario(t, rand.New(rand.NewPCG(uint64(seed), 1)))
	})
}

// lockedRandom is a random source that the goroutines of one scenario share.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (lockedRandom *lockedRandom) chance(probability float64) bool {
	lockedRandom.mutex.Lock()
	defer lockedRandom.mutex.Unlock()
	return lockedRandom.random.Float64() < probability
}

func (lockedRandom *lockedRandom) duration(limit time.Duration) time.Duration {
	lockedRandom.mutex.Lock()
	defer lockedRandom.mutex.Unlock()
	return time.Duration(lockedRandom.random.Int64N(int64(limit)))
}

func (lockedRandom *lockedRandom) intN(limit int) int {
	lockedRandom.mutex.Lock()
	defer lockedRandom.mutex.Unlock()
	return lockedRandom.random.IntN(limit)
}

// randomFaults returns the faults of one scenario. Each probability is 0 in a third of the
// cases, so that some scenarios have few faults or none.
func randomFaults(random *rand.Rand) dogwoodplatformstandin.Faults {
	probability := func() float64 {
		if random.IntN(3) == 0 {
			return 0
		}
		return random.Float64() * 0.3
	}
	return dogwoodplatformstandin.Faults{
		LoseRequests: probability(),
		LoseAnswers:  probability(),
		LateWrites:   probability(),
		MaxLateness:  time.Duration(1 + random.Int64N(int64(5*time.Second))),
		StaleReads:   probability(),
		Delay:        time.Duration(1 + random.Int64N(int64(300*time.Millisecond))),
	}
}

// toggleStore takes the store down and up again until the context ends, and leaves it up.
func toggleStore(ctx context.Context, store *dogwoodplatformstandin.Store, random *lockedRandom) {
	defer store.SetDown(false)
	for {
		if wait(ctx, random.duration(20*time.Second)) != nil {
			return
		}
		store.SetDown(true)
		if wait(ctx, random.duration(8*time.Second)) != nil {
			return
		}
		store.SetDown(false)
	}
}

func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
