package dogwoodtext

import (
	"context"
	"errors"
	"fmt"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"github.com/rogpeppe/go-internal/diff"

	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// DiffOptions holds the arguments and dependencies of diff.
type DiffOptions struct {
	Factory *dogwoodfactory.Factory
	File    string
}

// NewDiff returns the subcommand that compares a file with the text in force. run replaces
// its implementation in tests; nil means the real one.
func NewDiff(factory *dogwoodfactory.Factory, run func(context.Context, *DiffOptions) error) *dogwoodsubcommand.Command {
	options := &DiffOptions{Factory: factory}
	if run == nil {
		run = runDiff
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:      "diff",
		Synopsis:  "compare a file with the text in force",
		Arguments: "FILE",
		Help:      fmt.Sprintf("Prints what apply would change. The exit code is %d if the texts differ.", dogwoodcommand.ExitDifferent),
		Examples:  []string{"dogwoodctl diff text.jsonc"},
		Run: func(ctx context.Context, arguments []string) error {
			file, err := fileArgument(arguments)
			if err != nil {
				return err
			}
			options.File = file
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runDiff(ctx context.Context, options *DiffOptions) error {
	source, err := readSource(options.File, options.Factory.Streams.In)
	if err != nil {
		return err
	}
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	text, err := client.Text(ctx)
	if err != nil {
		return err
	}
	_, edited, _ := splitMarker(source)
	difference := diff.Diff(fmt.Sprintf("version %d in force", text.Version), []byte(text.Source), options.File, edited)
	if len(difference) == 0 {
		return nil
	}
	if _, err := options.Factory.Streams.Out.Write(difference); err != nil {
		return err
	}
	return &dogwoodcommand.CodedError{Code: dogwoodcommand.ExitDifferent, Err: errors.New("the texts differ")}
}
