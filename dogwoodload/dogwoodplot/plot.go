// Package dogwoodplot implements the subcommand "plot": it draws a chart of results into a file.
package dogwoodplot

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/dogwoodload/dogwoodchart"
	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
)

// The values of the flag -chart.
const (
	chartFirstToken = "firsttoken"
	chartService    = "service"
)

// Options are the flags, arguments and dependencies of the subcommand.
type Options struct {
	Factory *dogwoodfactory.Factory

	Chart   string
	Output  string
	Results []string
}

// New returns the subcommand. Tests pass a replacement for run; nil means Run.
func New(factory *dogwoodfactory.Factory, run func(options *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      "plot",
		Synopsis:  "draw results",
		Arguments: "-chart firsttoken|service -output FILE.svg|FILE.png RESULT.json...",
		Help:      "Draws the first token by prompt length of one or more results, or the service over time of one.",
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Chart, "chart", chartFirstToken, "firsttoken or service")
			flags.StringVar(&options.Output, "output", "", "`file` to write; its extension says the format")
		},
		Run: func(_ context.Context, arguments []string) error {
			options.Results = arguments
			return run(options)
		},
		Err: factory.Streams.Err,
	})
}

// Run reads the results, writes the chart and prints the name of its file.
func Run(options *Options) error {
	format := strings.TrimPrefix(filepath.Ext(options.Output), ".")
	if format != "svg" && format != "png" {
		return dogwoodsubcommand.NewUsageError("give -output a name that ends in .svg or .png")
	}
	if len(options.Results) == 0 {
		return dogwoodsubcommand.NewUsageError("give the files of some results")
	}
	results := make([]*dogwoodresult.Result, len(options.Results))
	for i, path := range options.Results {
		result, err := dogwoodverb.ReadResult(path)
		if err != nil {
			return err
		}
		results[i] = result
	}
	draw, err := options.draw(format, results)
	if err != nil {
		return err
	}
	if err := dogwoodverb.WriteFile(options.Output, draw); err != nil {
		return err
	}
	_, err = fmt.Fprintln(options.Factory.Streams.Out, options.Output)
	return dogwoodverb.Error.Wrap(err)
}

func (options *Options) draw(format string, results []*dogwoodresult.Result) (func(io.Writer) error, error) {
	switch options.Chart {
	case chartFirstToken:
		return func(writer io.Writer) error { return dogwoodchart.FirstToken(writer, format, results...) }, nil
	case chartService:
		return func(writer io.Writer) error { return dogwoodchart.Service(writer, format, results[0]) }, nil
	default:
		return nil, dogwoodverb.Error.New("no chart %q; there are %s and %s", options.Chart, chartFirstToken, chartService)
	}
}
