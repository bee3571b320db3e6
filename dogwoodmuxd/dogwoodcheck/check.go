// Package dogwoodcheck holds the subcommand that checks a settings file or an operators' text
// without starting the daemon.
package dogwoodcheck

import (
	"context"
	"flag"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodmuxd/dogwoodfactory"
)

// Options holds the flags and dependencies of check.
type Options struct {
	Factory  *dogwoodfactory.Factory
	Settings string
	Text     string
}

// New returns the check subcommand. run replaces its implementation in tests; nil means the
// real one.
func New(factory *dogwoodfactory.Factory, run func(context.Context, *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodsubcommand.New(dogwoodsubcommand.Spec{
		Program:   "dogwoodmuxd",
		Name:      "check",
		Synopsis:  "check a settings file without starting",
		Arguments: "-settings FILE [-text FILE]",
		Help: `Checks the daemon's settings, the operators' text or both, and names every fault with its
line and column.`,
		Examples: []string{"dogwoodmuxd check -settings /etc/dogwoodmux/daemon.json"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Settings, "settings", "", "settings `file`")
			flags.StringVar(&options.Text, "text", "", "`file` of the operators' text")
		},
		Run: func(ctx context.Context, arguments []string) error {
			if options.Settings == "" && options.Text == "" || len(arguments) > 0 {
				return dogwoodsubcommand.NewUsageError("give -settings FILE, -text FILE or both and nothing else")
			}
			return run(ctx, options)
		},
		Err: factory.Err,
	})
}

// Run checks the files in order and returns the faults of the first file that has any.
func Run(_ context.Context, options *Options) error {
	return dogwoodsubcommand.CheckFiles(options.Factory.Out, options.Factory.ReadFile, []dogwoodsubcommand.FileCheck{
		{Name: options.Settings, Check: func(source []byte) error {
			_, err := dogwoodsettings.ParseDaemon(source)
			return err
		}},
		{Name: options.Text, Check: func(source []byte) error {
			_, err := dogwoodsettings.ParseText(source)
			return err
		}},
	})
}
