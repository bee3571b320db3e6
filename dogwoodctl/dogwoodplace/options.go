// Package dogwoodplace holds the subcommands that take a data centre or a VM out of service
// and bring it back.
package dogwoodplace

import (
	"context"
	"flag"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// TakeOutOptions holds the arguments, flags and dependencies of takeout and bringback. Exactly
// one of DataCentre and VM is set.
type TakeOutOptions struct {
	Factory    *dogwoodfactory.Factory
	DataCentre dogwoodfleet.DataCentre
	VM         dogwoodfleet.VM
	Force      bool
	Wait       time.Duration
}

// setTarget sets the data centre or the VM from the positional arguments.
func (options *TakeOutOptions) setTarget(arguments []string) error {
	if len(arguments) != 2 {
		return dogwoodsubcommand.NewUsageError("give \"datacentre NAME\" or \"vm NAME\"")
	}
	options.DataCentre, options.VM = "", ""
	switch arguments[0] {
	case "datacentre":
		options.DataCentre = dogwoodfleet.DataCentre(arguments[1])
	case "vm":
		options.VM = dogwoodfleet.VM(arguments[1])
	default:
		return dogwoodsubcommand.NewUsageError("%q is neither \"datacentre\" nor \"vm\"", arguments[0])
	}
	return nil
}

func (options *TakeOutOptions) setWait(flags *flag.FlagSet) {
	flags.DurationVar(&options.Wait, "wait", dogwoodcommand.DefaultWait, "how long to wait until it is in force everywhere")
}

// submitter is the client method that sends the request of a subcommand.
type submitter func(client *dogwoodadminapi.Client, ctx context.Context, move dogwoodadminapi.Move) (dogwoodadminapi.Accepted, error)

func (options *TakeOutOptions) submit(ctx context.Context, submit submitter) error {
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	accepted, err := submit(client, ctx, dogwoodadminapi.Move{
		ID:         options.Factory.NewID(),
		Author:     options.Factory.Author,
		DataCentre: options.DataCentre,
		VM:         options.VM,
		Force:      options.Force,
	})
	if err != nil {
		return err
	}
	return dogwoodcommand.ReportAccepted(ctx, client, accepted, options.Wait, options.Factory.Streams.Out)
}
