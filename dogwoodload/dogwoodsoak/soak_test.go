package dogwoodsoak

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
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
)

// carelessPrefix begins the name of this test's program where it is to be a careless daemon; the
// fault's name follows.
const carelessPrefix = "careless-"

// TestMain has the test's program also be the processes of a soak: stand-ins, and daemons that break a
// promise.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 {
		os.Exit(m.Run())
	}
	switch os.Args[1] {
	case dogwoodstandinrun.Verb:
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

// newOptions are those of a soak with few processes.
func newOptions(daemon string, lasts time.Duration) *Options {
	return &Options{
		Factory: &dogwoodfactory.Factory{Streams: dogwoodfactory.Streams{Out: io.Discard, Err: io.Discard}},
		Seed:    1, For: lasts, Processes: 9, Daemon: daemon,
	}
}

// A check that finds nothing in a daemon that breaks its promise would find nothing in ours. Each of these
// daemons breaks one, now and then, and a soak has to find it from what callers and endpoints saw.
func TestBrokenPromisesAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("starts some dozen processes for half a minute")
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	step := func(kind dogwoodsoakplan.Kind, at, lasts time.Duration) dogwoodsoakplan.Step {
		return dogwoodsoakplan.Step{Kind: kind, At: warmUp + at, For: lasts}
	}
	tests := []struct {
		fault fault
		// with is what must happen for the fault to show.
		with []dogwoodsoakplan.Step
	}{
		{twiceRun, nil},
		{falseNotRun, nil},
		{wrongAnswer, nil},
		{keyPassedOn, nil},
		{retryBudget, nil},
		{memoryHeld, nil},
		{answeredLate, nil},
		{processDied, nil},
		{cutByChange, nil},
		{cutByReload, []dogwoodsoakplan.Step{step(dogwoodsoakplan.DaemonReloaded, 5*time.Second, 0)}},
		{cutWithoutCause, nil},
		{withdrawnKeyRan, []dogwoodsoakplan.Step{step(dogwoodsoakplan.KeyWithdrawn, 0, 8*time.Second)}},
		{sentAfterLeaving, []dogwoodsoakplan.Step{step(dogwoodsoakplan.EndpointReplaced, 0, 0)}},
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
			options := newOptions(daemon, warmUp+10*time.Second)
			options.steps = append([]dogwoodsoakplan.Step{step(dogwoodsoakplan.TextChanged, 0, 0)}, test.with...)
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

// The daemon itself keeps its promises for a seed that kills, freezes and cuts off.
func TestTheDaemonKeepsItsPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes for half a minute")
	}
	t.Parallel()
	directory := t.TempDir()
	daemon := filepath.Join(directory, "platform")
	if output, err := exec.CommandContext(t.Context(), "go", "build", "-o", daemon, "dogwoodmux.example/platform").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	report, err := soak(t.Context(), newOptions(daemon, 45*time.Second), directory)
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
			var failures bytes.Buffer
			ran := false
			factory := &dogwoodfactory.Factory{Streams: dogwoodfactory.Streams{Out: io.Discard, Err: &failures}}
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
				t.Errorf("got code %d and %q, want the options to be run", code, failures.String())
			}
			if test.want != "" && (code == subcommands.ExitSuccess || ran || !strings.Contains(failures.String(), test.want)) {
				t.Errorf("got code %d and %q, want %q", code, failures.String(), test.want)
			}
		})
	}
}

// A connection is cut while one endpoint leaves and the next comes. What is held up at the second one is
// held up by the same fault.
func TestFaultsCountForAllEndpointsOfAPlace(t *testing.T) {
	faults := []dogwoodsoakcheck.Fault{{Endpoint: "i-1-1"}, {Endpoint: "i-2-1"}, {Daemon: "d"}}
	got, want := spread(faults, []string{"i-1-1", "i-1-2", "i-1-3"}), []dogwoodsoakcheck.Fault{{Endpoint: "i-1-2"}, {Endpoint: "i-1-3"}}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Records of an earlier soak in the same directory would count as runs of this one's requests.
func TestAUsedDirectoryIsRefused(t *testing.T) {
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "i-0-1.records"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	options := newOptions("no program", shortest)
	options.Keep = directory
	var usage *dogwoodsubcommand.UsageError
	if err := Run(t.Context(), options); !errors.As(err, &usage) {
		t.Errorf("got %v, want a usage error", err)
	}
}

// A report for pipes can be read back, and one for terminals names each finding.
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
