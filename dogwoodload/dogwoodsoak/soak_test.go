package dogwoodsoak

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodstandinrun"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// carelessPrefix is the prefix of the test program's name when it runs as a careless daemon. The fault's name
// follows.
const carelessPrefix = "careless-"

// TestMain lets the test program also run as the processes of a soak: stand-ins, and daemons that break a promise.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 {
		os.Exit(m.Run())
	}
	switch os.Args[1] {
	case dogwoodstandinrun.Name:
		flags := flag.NewFlagSet("soak", flag.ContinueOnError)
		commander := subcommands.NewCommander(flags, "soak")
		commander.Register(dogwoodstandinrun.New(dogwoodfactory.New()), "")
		if err := flags.Parse(os.Args[1:]); err != nil {
			os.Exit(dogwoodsubcommand.ExitUsage)
		}
		os.Exit(int(commander.Execute(context.Background())))
	case "serve":
		name, _ := strings.CutPrefix(filepath.Base(os.Args[0]), carelessPrefix)
		if err := runCareless(context.Background(), fault(name)); err != nil {
			os.Exit(1)
		}
	default:
		os.Exit(m.Run())
	}
}

// newOptions returns the options of a soak with few processes.
func newOptions(daemon string, duration time.Duration) *Options {
	return &Options{
		Factory: &dogwoodfactory.Factory{Streams: dogwoodfactory.Streams{Out: io.Discard, Err: io.Discard}},
		Seed:    1, For: duration, Processes: 9, Daemon: daemon,
	}
}

// A check that can't detect a daemon which breaks its promise is worthless for the real daemon. Each of these daemons
// breaks one promise intermittently, and a soak has to find that using what callers and endpoints recorded.
func TestChecksFindBrokenPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts some dozen processes for half a minute")
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	step := func(kind dogwoodsoakplan.Kind, at, duration time.Duration) dogwoodsoakplan.Step {
		return dogwoodsoakplan.Step{Kind: kind, At: warmUp + at, For: duration}
	}
	tests := []struct {
		fault fault
		// extraSteps are steps without which the fault doesn't show.
		extraSteps []dogwoodsoakplan.Step
	}{
		{twiceRun, nil},
		{falseNotRun, nil},
		{wrongAnswer, nil},
		{keyPassedOn, nil},
		{retryBudget, nil},
		{namedLimit, []dogwoodsoakplan.Step{step(dogwoodsoakplan.EndpointLimited, 0, 18*time.Second)}},
		{sentInBackoff, []dogwoodsoakplan.Step{step(dogwoodsoakplan.EndpointBacksOff, 0, 18*time.Second)}},
		{sentAfterAnswer, []dogwoodsoakplan.Step{step(dogwoodsoakplan.EndpointLeaves, 0, 18*time.Second)}},
		{crashRetries, []dogwoodsoakplan.Step{step(dogwoodsoakplan.CrashingCalls, 0, 18*time.Second)}},
		{crashingParts, []dogwoodsoakplan.Step{
			step(dogwoodsoakplan.CrashingCalls, 0, 100*time.Millisecond), step(dogwoodsoakplan.CrashingCalls, 0, 18*time.Second),
		}},
		{memoryHeld, nil},
		{answeredLate, nil},
		{processDied, nil},
		{cutByChange, nil},
		{cutByReload, []dogwoodsoakplan.Step{step(dogwoodsoakplan.DaemonReloaded, 5*time.Second, 0)}},
		{cutWithoutCause, nil},
		{oldText, nil},
		{oldRoute, nil},
		{denied, nil},
		{cutByStop, nil},
		{cutWaiting, nil},
		{stopTooLong, nil},
		{withdrawnKeyRan, []dogwoodsoakplan.Step{step(dogwoodsoakplan.KeyWithdrawn, 0, 8*time.Second)}},
		{sentAfterLeaving, []dogwoodsoakplan.Step{step(dogwoodsoakplan.EndpointReplaced, 0, 0)}},
		{daemonMemory, nil},
		{endpointMemory, nil},
		{slowAnswer, []dogwoodsoakplan.Step{step(dogwoodsoakplan.SlowCallers, time.Second, 14*time.Second)}},
		{slowAnswerCut, []dogwoodsoakplan.Step{step(dogwoodsoakplan.SlowCallers, time.Second, 14*time.Second)}},
		{starved, []dogwoodsoakplan.Step{step(dogwoodsoakplan.RanksDiffer, time.Second, 14*time.Second)}},
		{sentAfterTakeOut, []dogwoodsoakplan.Step{step(dogwoodsoakplan.TakenOut, 0, 8*time.Second)}},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			daemon := filepath.Join(directory, carelessPrefix+string(test.fault))
			if err := os.Symlink(program, daemon); err != nil {
				t.Fatal(err)
			}
			options := newOptions(daemon, warmUp+20*time.Second)
			options.steps = append([]dogwoodsoakplan.Step{step(dogwoodsoakplan.TextChanged, 0, 0)}, test.extraSteps...)
			if slices.Contains([]fault{cutByStop, cutWaiting, stopTooLong}, test.fault) {
				options.For = warmUp + 2*time.Second
				options.planned = []dogwoodsoakplan.Step{{Kind: dogwoodsoakplan.DaemonStopped, At: 3 * time.Second, For: time.Second}}
			}
			report, err := soak(t.Context(), options, directory)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.ContainsFunc(report.Findings, func(finding dogwoodsoakcheck.Finding) bool { return finding.Check == test.fault.check() }) {
				t.Errorf("got %+v in %+v, want %s among them", report.Findings, report.Summary, test.fault.check())
			}
		})
	}
}

// The real daemon keeps its promises under a seed whose steps kill and freeze processes and break connections.
func TestDaemonKeepsPromises(t *testing.T) { soakDaemon(t, true) }

// The real daemon keeps its promises under the same faults while the load changes: callers read slowly, a customer sends too much
// and ranks differ.
func TestDaemonServesChangingLoad(t *testing.T) { soakDaemon(t, false) }

// Guards against a daemon that cuts requests as it ends, or ends too late: those that wait or stream when the signal comes and when the
// grace period ends, on connections that are used until the process is gone, while endpoints are silent.
func TestDaemonAnswersDuringShutdowns(t *testing.T) {
	if testing.Short() {
		t.Skip("starts fifteen processes for a minute")
	}
	t.Parallel()
	options := newOptions(buildDaemon(t), warmUp+recovery)
	options.steps, options.Processes = []dogwoodsoakplan.Step{}, 15
	_, _, daemons := newSite(options, "", "", "").processCounts()
	shape := dogwoodsoakplan.Shape{Daemons: daemons, Services: len(services)}
	options.planned = dogwoodsoakplan.DrawPlanned(options.Seed, shape, 0, plannedFor)
	reportFindings(t, options)
}

// Guards against a denial by a daemon that has just started, of a request that another one forwards to it: it knows neither the text
// nor the key of the daemons yet. One daemon is cut off from the endpoints, and the others are killed and started in turn
// while the store is slow.
func TestForwardedRequestsAreNotDenied(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes for a minute")
	}
	t.Parallel()
	const cutOffFor = 22 * time.Second
	options := newOptions(buildDaemon(t), warmUp+recovery)
	options.steps = []dogwoodsoakplan.Step{}
	options.planned = []dogwoodsoakplan.Step{
		{Kind: dogwoodsoakplan.DaemonCutOff, For: cutOffFor}, {Kind: dogwoodsoakplan.StoreSlow, At: time.Second, For: cutOffFor},
	}
	_, _, daemons := newSite(options, "", "", "").processCounts()
	for at, number := 2*time.Second, 0; at < cutOffFor; at, number = at+1500*time.Millisecond, number+1 {
		step := dogwoodsoakplan.Step{Kind: dogwoodsoakplan.DaemonKilled, At: at, For: 100 * time.Millisecond, Target: 1 + number%(daemons-1)}
		options.planned = append(options.planned, step)
	}
	reportFindings(t, options)
}

// soakDaemon runs a soak of the real daemon, with a steady load or one that changes, and reports each finding.
func soakDaemon(t *testing.T, steadyLoad bool) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts nine processes for half a minute")
	}
	t.Parallel()
	options := newOptions(buildDaemon(t), 45*time.Second)
	options.steadyLoad, options.planned = steadyLoad, []dogwoodsoakplan.Step{}
	reportFindings(t, options)
}

// buildDaemon builds the real daemon and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemon := filepath.Join(t.TempDir(), "platform")
	if output, err := exec.CommandContext(t.Context(), "go", "build", "-o", daemon, "dogwoodmux.example/platform").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return daemon
}

// reportFindings runs a soak and reports each finding.
func reportFindings(t *testing.T, options *Options) {
	t.Helper()
	report, err := soak(t.Context(), options, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if report.Steps == 0 || report.Summary.Served == 0 {
		t.Errorf("got %d faults and %d served, want some of each", report.Steps, report.Summary.Served)
	}
	for _, finding := range report.Findings {
		t.Errorf("got %+v, want no finding", finding)
	}
}

// Options out of range must be rejected before anything runs, and valid ones must reach run.
func TestOptions(t *testing.T) {
	tests := []struct {
		arguments []string
		want      string
	}{
		{[]string{"-for", "5s"}, "is too short"},
		{[]string{"-processes", "3"}, "is not between"},
		{[]string{"-processes", "5000"}, "is not between"},
		{[]string{"-seed", "7", "-for", "1m", "-json"}, ""},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.arguments, " "), func(t *testing.T) {
			var stderr bytes.Buffer
			ran := false
			factory := &dogwoodfactory.Factory{Streams: dogwoodfactory.Streams{Out: io.Discard, Err: &stderr}}
			command := New(factory, func(_ context.Context, options *Options) error {
				ran = options.Seed == 7 && options.For == time.Minute && options.JSON
				return nil
			})
			flags := flag.NewFlagSet("soak", flag.ContinueOnError)
			command.SetFlags(flags)
			if err := flags.Parse(test.arguments); err != nil {
				t.Fatal(err)
			}
			code := command.Execute(t.Context(), flags)
			if test.want == "" && (code != subcommands.ExitSuccess || !ran) {
				t.Errorf("got code %d and %q, want the options to be run", code, stderr.String())
			}
			if test.want != "" && (code == subcommands.ExitSuccess || ran || !strings.Contains(stderr.String(), test.want)) {
				t.Errorf("got code %d and %q, want %q", code, stderr.String(), test.want)
			}
		})
	}
}

// A fault breaks the connections to an address while one endpoint leaves and the next one starts there. It is
// recorded for the first endpoint only, but must also explain requests that are delayed at later ones.
func TestCopyFaultsToLaterEndpoints(t *testing.T) {
	faults := []dogwoodsoakcheck.Fault{{Endpoint: "i-1-1"}, {Endpoint: "i-2-1"}, {Daemon: "d"}}
	got, want := copyFaults(faults, []string{"i-1-1", "i-1-2", "i-1-3"}), []dogwoodsoakcheck.Fault{{Endpoint: "i-1-2"}, {Endpoint: "i-1-3"}}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against findings for requests that were cut by a crash while a step was acting on the endpoint's process: no
// fault was recorded then.
func TestCrashIsAFaultOfItsEndpoint(t *testing.T) {
	directory, at := t.TempDir(), time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	recorder, err := dogwoodstandin.NewRecorder(filepath.Join(directory, "i-0-1.records"))
	if err != nil {
		t.Fatal(err)
	}
	if err := recorder.Write(dogwoodstandin.Record{Crash: &dogwoodstandin.Crash{RequestID: "c1-1", At: at}}); err != nil {
		t.Fatal(err)
	}
	var history dogwoodsoakcheck.History
	if err := newSite(&Options{}, directory, "", "").addRecords(&history, "i-0-1"); err != nil {
		t.Fatal(err)
	}
	want := []dogwoodsoakcheck.Fault{{Endpoint: "i-0-1", From: at, To: at.Add(restartDelay)}}
	if !slices.Equal(history.Faults, want) || len(history.Crashes) != 1 {
		t.Errorf("got faults %+v and crashes %+v, want %+v and one crash", history.Faults, history.Crashes, want)
	}
}

// Guards against callers that begin before a daemon listens: the connection that it refuses would count as a request that was cut.
func TestDaemonsListenBeforeCallersBegin(t *testing.T) {
	directory := t.TempDir()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	daemon := filepath.Join(directory, carelessPrefix+string(twiceRun))
	if err := os.Symlink(program, daemon); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	site := newSite(newOptions(daemon, minDuration), directory, daemon, program)
	defer func() { _ = site.stop(cancel) }()
	if err := site.start(ctx); err != nil {
		t.Fatal(err)
	}
	for _, daemon := range site.daemons {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", daemon.settings.CallersAddress().String())
		if err != nil {
			t.Errorf("%s: got %v, want a connection", daemon.name, err)
			continue
		}
		_ = connection.Close()
	}
}

// Records of an earlier soak in the same directory would count as runs of this soak's requests.
func TestNonEmptyDirectoryIsRejected(t *testing.T) {
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "i-0-1.records"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	options := newOptions("no program", minDuration)
	options.Keep = directory
	var usage *dogwoodsubcommand.UsageError
	if err := Run(t.Context(), options); !errors.As(err, &usage) {
		t.Errorf("got %v, want a usage error", err)
	}
}

// A report names each finding and the directory of the logs, as JSON and as a table.
func TestReport(t *testing.T) {
	report := &Report{Seed: 3, Findings: []dogwoodsoakcheck.Finding{{Check: "TwiceRun", Detail: "ran 2 times", RequestID: "c1-1"}}, Logs: "there"}
	for _, asJSON := range []bool{true, false} {
		var out bytes.Buffer
		if err := report.write(&out, asJSON); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"TwiceRun", "ran 2 times", "c1-1", "there"} {
			if got := out.String(); !strings.Contains(got, want) {
				t.Errorf("got %q, want %q in it", got, want)
			}
		}
	}
}
