// Package dogwoodconviction holds the subcommand that lists and lifts convictions. A convicted
// request is rejected because it crashed endpoints.
package dogwoodconviction

import (
	"context"
	"flag"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// Options holds the flags and dependencies of convictions.
type Options struct {
	Factory *dogwoodfactory.Factory
	// Lift is the digest of the conviction to lift. If it is empty, all convictions are listed.
	Lift string
	JSON bool
}

// NewConvictions returns the subcommand that lists and lifts convictions. run replaces its
// implementation in tests; nil means the real one.
func NewConvictions(factory *dogwoodfactory.Factory, run func(context.Context, *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = runConvictions
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:     "convictions",
		Synopsis: "list or lift the refusal of requests that killed endpoints",
		Help:     "Lists the requests that are refused because they killed endpoints, or lifts one.",
		Examples: []string{"dogwoodctl convictions", "dogwoodctl convictions -lift 3fa9…"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Lift, "lift", "", "end the conviction of this `digest`")
			flags.BoolVar(&options.JSON, "json", false, "print JSON")
		},
		Run: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return dogwoodsubcommand.NewUsageError("convictions takes no arguments")
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runConvictions(ctx context.Context, options *Options) error {
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	if options.Lift != "" {
		accepted, err := client.Lift(ctx, dogwoodadminapi.Lift{
			ID:     options.Factory.NewID(),
			Author: options.Factory.Author,
			Digest: options.Lift,
		})
		if err != nil {
			return err
		}
		return dogwoodcommand.ReportAccepted(ctx, client, accepted, dogwoodcommand.DefaultWait, options.Factory.Streams.Out)
	}
	list, err := client.Convictions(ctx)
	if err != nil {
		return err
	}
	if options.JSON {
		return dogwoodcommand.PrintJSON(options.Factory.Streams.Out, list)
	}
	table := dogwoodcommand.Table{Headings: []string{"DIGEST", "EXPIRES"}}
	for _, conviction := range list.Convictions {
		table.Rows = append(table.Rows, []string{
			conviction.Digest, conviction.Expires.Format(time.RFC3339),
		})
	}
	return table.Print(options.Factory.Streams.Out, options.Factory.Streams.Terminal)
}
