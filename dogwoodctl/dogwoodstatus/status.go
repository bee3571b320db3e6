// Package dogwoodstatus holds the subcommands that show the state of the deployment: status
// and entry.
package dogwoodstatus

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// StatusOptions holds the flags and dependencies of status.
type StatusOptions struct {
	Factory *dogwoodfactory.Factory
	JSON    bool
}

// NewStatus returns the subcommand that shows the daemons, the services and what is taken
// out. run replaces its implementation in tests; nil means the real one.
func NewStatus(factory *dogwoodfactory.Factory, run func(context.Context, *StatusOptions) error) *dogwoodsubcommand.Command {
	options := &StatusOptions{Factory: factory}
	if run == nil {
		run = runStatus
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:     "status",
		Synopsis: "show every daemon's version, what is out, and the services",
		Help:     "Shows which version each daemon has in force and how far it lags, what is taken out,\nand how many endpoints of each service get work.",
		Examples: []string{"dogwoodctl status", "dogwoodctl status -json"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.BoolVar(&options.JSON, "json", false, "print JSON")
		},
		Run: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return dogwoodsubcommand.NewUsageError("status takes no arguments")
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runStatus(ctx context.Context, options *StatusOptions) error {
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if options.JSON {
		return dogwoodcommand.PrintJSON(options.Factory.Streams.Out, status)
	}
	return printStatus(options.Factory.Streams, status)
}

func printStatus(streams dogwoodfactory.Streams, status dogwoodadminapi.Status) error {
	if _, err := io.WriteString(streams.Out, summary(status)); err != nil {
		return err
	}
	daemons := daemonTable(status.Daemons)
	if err := daemons.Print(streams.Out, streams.Terminal); err != nil {
		return err
	}
	services := serviceTable(status.Services)
	return services.Print(streams.Out, streams.Terminal)
}

func summary(status dogwoodadminapi.Status) string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %d, text of version %d\n", status.Version, status.TextVersion)
	for _, dataCentre := range status.OutDataCentres {
		fmt.Fprintf(&text, "out: data centre %s\n", dataCentre)
	}
	for _, vm := range status.OutVMs {
		fmt.Fprintf(&text, "out: VM %s\n", vm)
	}
	if status.Provisional > 0 {
		fmt.Fprintf(&text, "in force, not yet kept: %d\n", status.Provisional)
	}
	if !status.StoreReachable {
		text.WriteString("the platform's store does not answer\n")
	}
	return text.String()
}

func daemonTable(daemons []dogwoodadminapi.DaemonStatus) dogwoodcommand.Table {
	table := dogwoodcommand.Table{Headings: []string{"DAEMON", "DATA CENTRE", "SERVES AT", "VERSION", "STATE"}}
	for _, daemon := range daemons {
		table.Rows = append(table.Rows, []string{
			string(daemon.VM), string(daemon.DataCentre), daemon.Serve.String(),
			strconv.FormatUint(daemon.Version, 10), daemonState(daemon),
		})
	}
	return table
}

func daemonState(daemon dogwoodadminapi.DaemonStatus) string {
	switch {
	case !daemon.Answers:
		return "does not answer"
	case daemon.Behind > 0:
		return fmt.Sprintf("%d behind", daemon.Behind)
	case daemon.Leaving:
		return "leaving"
	default:
		return "current"
	}
}

func serviceTable(services []dogwoodadminapi.ServiceStatus) dogwoodcommand.Table {
	table := dogwoodcommand.Table{Headings: []string{"SERVICE", "ENDPOINTS", "IN FORCE"}}
	for _, service := range services {
		table.Rows = append(table.Rows, []string{
			string(service.Service), strconv.Itoa(service.Endpoints), strconv.Itoa(service.InForce),
		})
	}
	return table
}
