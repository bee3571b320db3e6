package dogwoodplace

import (
	"context"
	"flag"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// NewBringBack returns the subcommand that brings a data centre or a VM back into service.
// run replaces its implementation in tests; nil means the real one.
func NewBringBack(factory *dogwoodfactory.Factory, run func(context.Context, *TakeOutOptions) error) *dogwoodsubcommand.Command {
	options := &TakeOutOptions{Factory: factory}
	if run == nil {
		run = runBringBack
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:      "bringback",
		Synopsis:  "give a data centre or VM work again",
		Arguments: "datacentre|vm NAME",
		Help: `Brings back what takeout took out. Its endpoints start at the cold limit and get more as
their answers stay good. With the platform's store down it is refused.`,
		Examples: []string{"dogwoodctl bringback datacentre oita-c"},
		SetFlags: func(flags *flag.FlagSet) { options.setWait(flags) },
		Run: func(ctx context.Context, arguments []string) error {
			if err := options.setTarget(arguments); err != nil {
				return err
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runBringBack(ctx context.Context, options *TakeOutOptions) error {
	return options.submit(ctx, (*dogwoodadminapi.Client).BringBack)
}
