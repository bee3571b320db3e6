package dogwoodtext

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// ApplyOptions holds the arguments, flags and dependencies of apply.
type ApplyOptions struct {
	Factory *dogwoodfactory.Factory
	File    string
	// BasedOn is the version that the text was edited from. If it is negative, the version is
	// read from the first line of the file.
	BasedOn int64
	Check   bool
	Wait    time.Duration
}

// filePermissions is the mode of the file that apply writes back. The text holds digests of
// keys, no secrets.
const filePermissions = 0o600

// NewApply returns the subcommand that puts an edited text in force. run replaces its
// implementation in tests; nil means the real one.
func NewApply(factory *dogwoodfactory.Factory, run func(context.Context, *ApplyOptions) error) *dogwoodsubcommand.Command {
	options := &ApplyOptions{Factory: factory}
	if run == nil {
		run = runApply
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:      "apply",
		Synopsis:  "put an edited text in force",
		Arguments: "FILE",
		Help: `Checks the text and puts it in force on all daemons. The text must be based on the one
in force: its first line, as "show" writes it, names the version it was edited from. If
another operator's text came first, nothing is changed and the conflict is shown. After
it was accepted, that line in FILE is set to the new version.`,
		Examples: []string{
			"dogwoodctl show > text.jsonc",
			"dogwoodctl apply text.jsonc",
			"dogwoodctl apply -check text.jsonc",
			"dogwoodctl apply -based-on 0 first.jsonc",
		},
		SetFlags: func(flags *flag.FlagSet) {
			flags.Int64Var(&options.BasedOn, "based-on", -1, "the `version` that the text was edited from")
			flags.BoolVar(&options.Check, "check", false, "only say what is wrong; change nothing")
			flags.DurationVar(&options.Wait, "wait", dogwoodcommand.DefaultWait, "how long to wait until it is in force everywhere")
		},
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

func runApply(ctx context.Context, options *ApplyOptions) error {
	source, err := readSource(options.File, options.Factory.Streams.In)
	if err != nil {
		return err
	}
	if err := checkLocally(options.File, source); err != nil {
		return err
	}
	basedOn, text, marked, err := options.baseVersion(source)
	if err != nil {
		return err
	}
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	accepted, err := client.Apply(ctx, dogwoodadminapi.Apply{
		ID:        options.Factory.NewID(),
		BasedOn:   basedOn,
		Author:    options.Factory.Author,
		Source:    string(text),
		CheckOnly: options.Check,
	})
	if err != nil {
		return describeError(options.File, err)
	}
	if options.Check {
		_, err := fmt.Fprintln(options.Factory.Streams.Out, "the text is right")
		return err
	}
	if marked && options.File != standardInput {
		if err := os.WriteFile(options.File, withMarker(accepted.Version, text), filePermissions); err != nil {
			_, _ = fmt.Fprintf(options.Factory.Streams.Err, "version %d was accepted, but the first line of %s could not be set: %v\n", accepted.Version, options.File, err)
		}
	}
	return dogwoodcommand.ReportAccepted(ctx, client, accepted, options.Wait, options.Factory.Streams.Out)
}

// baseVersion returns the version that the text was edited from, the text without its marker
// line, and whether it had one. The version does not default to the one in force: that would
// silently undo what another operator has applied since the edit began.
func (options *ApplyOptions) baseVersion(source []byte) (basedOn uint64, text []byte, marked bool, err error) {
	version, text, marked := splitMarker(source)
	if options.BasedOn >= 0 {
		return uint64(options.BasedOn), text, marked, nil
	}
	if !marked {
		return 0, nil, false, dogwoodsubcommand.NewUsageError("%s does not say which version it was edited from: start from \"dogwoodctl show\" or give -based-on (0 for the first text)", options.File)
	}
	return version, text, true, nil
}

// describeError converts a daemon's error response into an error with a message for operators.
func describeError(file string, err error) error {
	var conflict *dogwoodadminapi.Conflict
	var invalid *dogwoodadminapi.Invalid
	switch {
	case errors.As(err, &conflict):
		return &dogwoodcommand.CodedError{Code: dogwoodcommand.ExitConflict, Err: conflictError(conflict)}
	case errors.As(err, &invalid):
		return &dogwoodcommand.CodedError{Code: dogwoodcommand.ExitInvalid, Err: problemsError(file, invalid.Problems)}
	default:
		return err
	}
}

func conflictError(conflict *dogwoodadminapi.Conflict) error {
	lines := []string{fmt.Sprintf("%s; version %d is in force. What came in between:", conflict.Detail, conflict.Current)}
	for _, change := range conflict.Changes {
		lines = append(lines, fmt.Sprintf("  %d  %s  %s  %s", change.Version, change.At.Format(time.RFC3339), change.Kind, change.Author))
	}
	lines = append(lines, "Nothing was changed. See \"dogwoodctl diff\", start from \"dogwoodctl show\" and edit again.")
	return errors.New(strings.Join(lines, "\n"))
}
