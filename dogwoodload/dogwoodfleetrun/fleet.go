// Package dogwoodfleetrun implements the subcommand "fleet": it starts fleets of several sizes in
// this process and prints the resources used per daemon, idle and under load. docs/slopes.txt holds
// the printed values.
package dogwoodfleetrun

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"github.com/olekukonko/tablewriter"

	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodscenario"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// Options are the flags and dependencies of the subcommand.
type Options struct {
	Factory *dogwoodfactory.Factory

	Daemons  string
	Duration time.Duration
	Seed     uint64
}

// settleTime is how long a fleet runs before its idle state is measured.
const settleTime = 5 * time.Second

// New returns the subcommand. Tests pass a replacement for run; nil means Run.
func New(factory *dogwoodfactory.Factory, run func(ctx context.Context, options *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      "fleet",
		Synopsis:  "measure what a daemon costs in fleets of several sizes",
		Arguments: "[-daemons 8,25,50] [-duration 10s]",
		Help: "Starts each fleet in this process and measures it idle, then under the mixed trace. Processor time\n" +
			"and memory are the whole process's, stand-ins and callers included, over the daemons.",
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Daemons, "daemons", "8,25,50", "`sizes`, separated by commas")
			flags.DurationVar(&options.Duration, "duration", 10*time.Second, "how long each is measured idle")
			flags.Uint64Var(&options.Seed, "seed", 1, "`number` that the trace is drawn from")
		},
		Run: func(ctx context.Context, _ []string) error { return run(ctx, options) },
		Err: factory.Streams.Err,
	})
}

// row holds the resources used per daemon in one state of a fleet.
type row struct {
	daemons       int // the size of the fleet
	state         string
	cpu           float64 // milliseconds per second
	heap          float64 // MiB
	goroutines    int
	peerBytes     float64 // per second, sent and received
	platformBytes float64 // per second, sent and received
	endpointBytes float64 // per second, sent and received
	tableReads    float64 // per second
	tableWrites   float64 // per second
	requestRate   float64 // per second
	// calls holds the calls per second by method.
	calls map[string]float64
}

// Run measures fleets of all sizes and prints a table.
func Run(ctx context.Context, options *Options) error {
	table := tablewriter.NewWriter(options.Factory.Streams.Out)
	table.Header("Daemons", "State", "Requests/s", "CPU ms/s", "Heap MiB", "Goroutines", "Peer B/s", "Platform B/s", "Endpoint B/s", "Table reads/s", "Table writes/s")
	for size := range strings.SplitSeq(options.Daemons, ",") {
		daemons, err := strconv.Atoi(strings.TrimSpace(size))
		if err != nil {
			return dogwoodverb.Error.Wrap(err)
		}
		rows, err := measure(ctx, options, daemons)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := table.Append(row.cells()); err != nil {
				return dogwoodverb.Error.Wrap(err)
			}
			if err := row.writeCalls(options.Factory.Streams.Out); err != nil {
				return err
			}
		}
	}
	return dogwoodverb.Error.Wrap(table.Render())
}

// peerCalls returns the number of calls between daemons in this process by method.
func peerCalls() map[string]int64 {
	counts := map[string]int64{}
	if calls, published := expvar.Get("PeerCalls").(*expvar.Map); published {
		calls.Do(func(value expvar.KeyValue) {
			if count, isInt := value.Value.(*expvar.Int); isInt {
				counts[value.Key] = count.Value()
			}
		})
	}
	return counts
}

// writeCalls prints the calls per second per daemon by method.
func (row *row) writeCalls(writer io.Writer) error {
	for _, method := range slices.Sorted(maps.Keys(row.calls)) {
		if _, err := fmt.Fprintf(writer, "%d daemons, %s: %s %.2f calls/s a daemon\n", row.daemons, row.state, method, row.calls[method]); err != nil {
			return dogwoodverb.Error.Wrap(err)
		}
	}
	return nil
}

func (row *row) cells() []string {
	number := func(value float64) string { return fmt.Sprintf("%.2f", value) }
	return []string{
		strconv.Itoa(row.daemons), row.state, number(row.requestRate * float64(row.daemons)), number(row.cpu), number(row.heap),
		strconv.Itoa(row.goroutines), number(row.peerBytes), number(row.platformBytes), number(row.endpointBytes),
		number(row.tableReads), number(row.tableWrites),
	}
}

func measure(ctx context.Context, options *Options, daemons int) ([]*row, error) {
	scenario, err := dogwoodscenario.Find("mixed")
	if err != nil {
		return nil, dogwoodverb.Error.Wrap(err)
	}
	meter := newMeter()
	fleet, err := dogwoodscenario.StartFleet(ctx, dogwoodscenario.Options{
		Scenario: scenario, Seed: options.Seed, Policy: dogwoodscenario.PolicyProduct, Daemons: daemons,
		Base: meter, Begin: func(int) {}, Done: func() {},
	})
	if err != nil {
		return nil, dogwoodverb.Error.Wrap(err)
	}
	site := fleet.Site()
	time.Sleep(settleTime)
	before := takeSnapshot(meter, site)
	time.Sleep(options.Duration)
	after := takeSnapshot(meter, site)
	idle := newRow(daemons, "idle", before, after, 0)
	before = takeSnapshot(meter, site)
	sent := fleet.Send(ctx)
	after = takeSnapshot(meter, site)
	loaded := newRow(daemons, "loaded", before, after, sent)
	return []*row{idle, loaded}, dogwoodverb.Error.Wrap(fleet.Close(ctx))
}

func takeSnapshot(meter *meter, site *dogwoodsite.Site) snapshot {
	var usage syscall.Rusage
	// Getrusage can't fail for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return snapshot{
		at:          time.Now(),
		cpu:         time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		traffic:     meter.read(site),
		tableReads:  site.Platform.Reads(),
		tableWrites: site.Platform.Writes(),
		calls:       peerCalls(),
	}
}

func newRow(daemons int, state string, before, after snapshot, requests int) *row {
	seconds := after.at.Sub(before.at).Seconds()
	perDaemonSecond := func(value int64) float64 { return float64(value) / seconds / float64(daemons) }
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	calls := map[string]float64{}
	for method, count := range after.calls {
		if count > before.calls[method] {
			calls[method] = perDaemonSecond(count - before.calls[method])
		}
	}
	return &row{
		calls:      calls,
		daemons:    daemons,
		state:      state,
		cpu:        perDaemonSecond((after.cpu - before.cpu).Microseconds()) / 1000,
		heap:       float64(memory.HeapAlloc) / (1 << 20) / float64(daemons),
		goroutines: runtime.NumGoroutine() / daemons,
		// Each byte between daemons counts twice: one daemon sends it and another receives it.
		peerBytes:     2 * perDaemonSecond(after.traffic.peers-before.traffic.peers),
		platformBytes: perDaemonSecond(after.traffic.platform - before.traffic.platform),
		endpointBytes: perDaemonSecond(after.traffic.endpoints - before.traffic.endpoints),
		tableReads:    perDaemonSecond(int64(after.tableReads - before.tableReads)),
		tableWrites:   perDaemonSecond(int64(after.tableWrites - before.tableWrites)),
		requestRate:   perDaemonSecond(int64(requests)),
	}
}
