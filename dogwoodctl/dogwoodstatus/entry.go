package dogwoodstatus

import (
	"context"
	"flag"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// EntryOptions holds the flags and dependencies of entry.
type EntryOptions struct {
	Factory    *dogwoodfactory.Factory
	DataCentre string
	JSON       bool
}

// NewEntry returns the subcommand that shows the addresses that are returned to callers.
// run replaces its implementation in tests; nil means the real one.
func NewEntry(factory *dogwoodfactory.Factory, run func(context.Context, *EntryOptions) error) *dogwoodsubcommand.Command {
	options := &EntryOptions{Factory: factory}
	if run == nil {
		run = runEntry
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:     "entry",
		Synopsis: "show which addresses callers are told",
		Help:     "Prints the addresses that callers are told, one a line.",
		Examples: []string{"dogwoodctl entry", "dogwoodctl entry -datacentre fukuoka-a"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.DataCentre, "datacentre", "", "what callers near this data centre are told")
			flags.BoolVar(&options.JSON, "json", false, "print JSON")
		},
		Run: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return dogwoodsubcommand.NewUsageError("entry takes no arguments")
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runEntry(ctx context.Context, options *EntryOptions) error {
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	entry, err := client.Entry(ctx, dogwoodfleet.DataCentre(options.DataCentre))
	if err != nil {
		return err
	}
	if options.JSON {
		return dogwoodcommand.PrintJSON(options.Factory.Streams.Out, entry)
	}
	table := dogwoodcommand.Table{Headings: []string{"ADDRESS"}}
	for _, address := range entry.Addresses {
		table.Rows = append(table.Rows, []string{address.String()})
	}
	return table.Print(options.Factory.Streams.Out, options.Factory.Streams.Terminal)
}
