package dogwoodplace

import (
	"context"
	"flag"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// NewTakeOut returns the subcommand that takes a data centre or a VM out of service. run
// replaces its implementation in tests; nil means the real one.
func NewTakeOut(factory *dogwoodfactory.Factory, run func(context.Context, *TakeOutOptions) error) *dogwoodsubcommand.Command {
	options := &TakeOutOptions{Factory: factory}
	if run == nil {
		run = runTakeOut
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:      "takeout",
		Synopsis:  "give a data centre or VM no new work",
		Arguments: "datacentre|vm NAME",
		Help: `Takes a data centre or VM out: within 3 s it gets no new work, and callers are no longer
told of entry VMs there. What runs there finishes. With the platform's store down it is
in force all the same, and is written when the store is back. Taking out the last place
of a service is refused unless -force is given.`,
		Examples: []string{
			"dogwoodctl takeout datacentre oita-c",
			"dogwoodctl takeout vm engine-07",
		},
		SetFlags: func(flags *flag.FlagSet) {
			flags.BoolVar(&options.Force, "force", false, "take it out even if a service is left without a place")
			options.setWait(flags)
		},
		Run: func(ctx context.Context, arguments []string) error {
			if err := options.setTarget(arguments); err != nil {
				return err
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runTakeOut(ctx context.Context, options *TakeOutOptions) error {
	return options.submit(ctx, (*dogwoodadminapi.Client).TakeOut)
}
