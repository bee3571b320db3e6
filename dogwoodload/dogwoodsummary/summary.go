// Package dogwoodsummary implements the subcommand "summary": it prints a page with all results in a
// folder, those of the product beside those of the baseline.
package dogwoodsummary

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodscenario"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
)

// Options are the flags, arguments and dependencies of the subcommand.
type Options struct {
	Factory *dogwoodfactory.Factory

	Seed   uint64
	Commit string
	Date   string
	Folder string
}

// New returns the subcommand. Tests pass a replacement for run; nil means Run.
func New(factory *dogwoodfactory.Factory, run func(options *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      "summary",
		Synopsis:  "write one page of all results in a folder",
		Arguments: "-seed N -commit ID -date DATE FOLDER",
		Help:      "Reads SCENARIO-POLICY-SEED.json of all scenarios and prints a page in Markdown.",
		SetFlags: func(flags *flag.FlagSet) {
			flags.Uint64Var(&options.Seed, "seed", 1, "`number` of the runs")
			flags.StringVar(&options.Commit, "commit", "", "commit that was run, for the page")
			flags.StringVar(&options.Date, "date", "", "date of the runs, for the page")
		},
		Run: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return dogwoodsubcommand.NewUsageError("give one folder")
			}
			options.Folder = arguments[0]
			return run(options)
		},
		Err: factory.Streams.Err,
	})
}

// pair holds a scenario's results under both policies; nil means that there is no result.
type pair struct {
	scenario          string
	product, baseline *dogwoodresult.Result
}

// Run reads the results and prints the page.
func Run(options *Options) error {
	var pairs []pair
	for _, scenario := range dogwoodscenario.Names() {
		pairs = append(pairs, pair{
			scenario: scenario,
			product:  options.read(scenario, dogwoodscenario.PolicyProduct),
			baseline: options.read(scenario, dogwoodscenario.PolicyBaseline),
		})
	}
	var page strings.Builder
	options.writeHead(&page)
	writeOutcomes(&page, pairs)
	writeRatios(&page, pairs)
	writeFirstTokens(&page, pairs)
	writeBreaches(&page, pairs)
	_, err := io.WriteString(options.Factory.Streams.Out, page.String())
	return dogwoodverb.Error.Wrap(err)
}

// read returns nil if there is no readable result; the page then shows "no result".
func (options *Options) read(scenario, policy string) *dogwoodresult.Result {
	path := filepath.Join(options.Folder, fmt.Sprintf("%s-%s-%d.json", scenario, policy, options.Seed))
	if _, err := os.Stat(path); err != nil {
		return nil
	}
	result, err := dogwoodverb.ReadResult(path)
	if err != nil {
		_, _ = fmt.Fprintln(options.Factory.Streams.Err, err)
		return nil
	}
	return result
}

func (options *Options) writeHead(page *strings.Builder) {
	fmt.Fprintf(page, `# Measures

Written by script/measure.sh on %s from the runs of commit %s, seed %d. Each row is one run of
%s on one machine that other work may have shared; a second run differs by some percent.
Engines are stand-ins: 16 of them, four streams each at 100 tokens a second. "baseline" is the same
trace with first come, first served and random choice. Outcomes are judged from what callers received
and what stand-ins ran. What each field means is in dogwoodload/dogwoodresult.

`, options.Date, options.Commit, options.Seed, "`dogwoodload local -scenario NAME -policy POLICY -json`")
}

func (pair *pair) each(visit func(policy string, result *dogwoodresult.Result)) {
	visit(dogwoodscenario.PolicyProduct, pair.product)
	visit(dogwoodscenario.PolicyBaseline, pair.baseline)
}

func writeOutcomes(page *strings.Builder, pairs []pair) {
	page.WriteString(`## Outcomes

| scenario | policy | sent | in time | refused not run | failed | unknown | late | lost | doubled | crossed | false not run | leaked | cold overruns | new work after take-out | config spread | cut by shutdown |
| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
`)
	for i := range pairs {
		pairs[i].each(func(policy string, result *dogwoodresult.Result) {
			if result == nil {
				fmt.Fprintf(page, "| %s | %s | no result |\n", pairs[i].scenario, policy)
				return
			}
			fmt.Fprintf(page, "| %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %s | %s | %d |\n",
				pairs[i].scenario, policy, result.Sent, result.InTime, result.RefusedNotRun, result.Failed, result.Unknown,
				result.Late, result.Lost, result.Doubled, result.Crossed, result.FalseNotRun, result.LeakedMemory, result.ColdOverruns,
				dogwoodresult.FormatDuration(result.NewWorkAfterTakeOut), dogwoodresult.FormatDuration(result.ConfigSpread), result.CutByShutdown)
		})
	}
}

func writeRatios(page *strings.Builder, pairs []pair) {
	page.WriteString(`
## Against the baseline

Product over baseline. In time: more than 1 is better. The others: less than 1 is better.

| scenario | in time | short slowdown P50 | short slowdown P99 | first token to 1000 tokens, P95 | the same to 4000 | to 64,000 |
| --- | ---: | ---: | ---: | ---: | ---: | ---: |
`)
	for i := range pairs {
		product, baseline := pairs[i].product, pairs[i].baseline
		if product == nil || baseline == nil {
			fmt.Fprintf(page, "| %s | no result |\n", pairs[i].scenario)
			continue
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s |\n", pairs[i].scenario,
			ratio(float64(product.InTime), float64(baseline.InTime)),
			ratio(product.ShortSlowdownP50, baseline.ShortSlowdownP50),
			ratio(product.ShortSlowdownP99, baseline.ShortSlowdownP99),
			ratio(firstToken(product, 1000), firstToken(baseline, 1000)),
			ratio(firstToken(product, 4000), firstToken(baseline, 4000)),
			ratio(firstToken(product, 64_000), firstToken(baseline, 64_000)))
	}
}

func ratio(product, baseline float64) string {
	if baseline == 0 || product == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", product/baseline)
}

func firstToken(result *dogwoodresult.Result, upTo int) float64 {
	for _, class := range result.FirstToken {
		if class.UpTo == upTo {
			return time.Duration(class.P95).Seconds()
		}
	}
	return 0
}

func writeFirstTokens(page *strings.Builder, pairs []pair) {
	page.WriteString(`
## Time to first token

| scenario | policy | prompt tokens, up to | count | P50 | P95 | P99 |
| --- | --- | ---: | ---: | ---: | ---: | ---: |
`)
	for i := range pairs {
		pairs[i].each(func(policy string, result *dogwoodresult.Result) {
			if result == nil {
				return
			}
			for _, class := range result.FirstToken {
				fmt.Fprintf(page, "| %s | %s | %d | %d | %s | %s | %s |\n", pairs[i].scenario, policy, class.UpTo, class.Count,
					dogwoodresult.FormatDuration(class.P50), dogwoodresult.FormatDuration(class.P95), dogwoodresult.FormatDuration(class.P99))
			}
		})
	}
}

func writeBreaches(page *strings.Builder, pairs []pair) {
	page.WriteString("\n## What must not be, and was seen with the product\n\n")
	found := false
	for i := range pairs {
		result := pairs[i].product
		if result == nil {
			fmt.Fprintf(page, "- %s: the run left no result\n", pairs[i].scenario)
			found = true
			continue
		}
		for _, breach := range result.Breaches() {
			fmt.Fprintf(page, "- %s: %s\n", pairs[i].scenario, breach)
			found = true
		}
	}
	if !found {
		page.WriteString("Nothing in these runs.\n")
	}
}
