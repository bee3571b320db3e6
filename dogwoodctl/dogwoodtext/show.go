package dogwoodtext

import (
	"context"
	"flag"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// ShowOptions holds the flags and dependencies of show.
type ShowOptions struct {
	Factory *dogwoodfactory.Factory
	JSON    bool
}

// NewShow returns the subcommand that prints the text in force. run replaces its
// implementation in tests; nil means the real one.
func NewShow(factory *dogwoodfactory.Factory, run func(context.Context, *ShowOptions) error) *dogwoodsubcommand.Command {
	options := &ShowOptions{Factory: factory}
	if run == nil {
		run = runShow
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:     "show",
		Synopsis: "print the text in force",
		Help:     "Prints the text in force. Its first line names the version, which apply reads.",
		Examples: []string{"dogwoodctl show > text.jsonc"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.BoolVar(&options.JSON, "json", false, "print version and text as JSON")
		},
		Run: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return dogwoodsubcommand.NewUsageError("show takes no arguments")
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runShow(ctx context.Context, options *ShowOptions) error {
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	text, err := client.Text(ctx)
	if err != nil {
		return err
	}
	if options.JSON {
		return dogwoodcommand.PrintJSON(options.Factory.Streams.Out, text)
	}
	_, err = options.Factory.Streams.Out.Write(withMarker(text.Version, []byte(text.Source)))
	return err
}
