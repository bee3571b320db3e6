// Package dogwoodstandinrun is the subcommand "standin": it runs one stand-in of the users' platform as a separate
// process. Only the soak uses it.
package dogwoodstandinrun

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// Name is the name of the subcommand.
const Name = "standin"

// The names of the flags, which the soak sets.
const (
	FlagListen           = "listen"
	FlagStore            = "store"
	FlagRecord           = "record"
	FlagID               = "id"
	FlagService          = "service"
	FlagDataCentre       = "datacentre"
	FlagAnnouncedAddress = "announced"
	FlagSlots            = "slots"
	FlagEvents           = "events"
	FlagWork             = "work"
	FlagReadPerSecond    = "readpersecond"
	FlagCold             = "cold"
	FlagDrain            = "drain"
	FlagCrashPath        = "crashpath"
	FlagCrashPart        = "crashpart"
	FlagUnread           = "unread"
	FlagMemory           = "memory"
)

// crashExitCode is the exit code of an endpoint that a request crashed.
const crashExitCode = 3

// memoryExitCode is the exit code of an endpoint that held more than its memory.
const memoryExitCode = 4

// headerTimeout bounds how long a daemon may take to send the headers of a request.
const headerTimeout = 8 * time.Second

// Options are the flags and dependencies of the subcommand. If Store is not set, the stand-in is the store, else an
// endpoint.
type Options struct {
	Factory *dogwoodfactory.Factory

	Listen, Store, Announced netip.AddrPort
	Record                   string
	// Drain is how long an endpoint keeps serving after it has announced that it leaves.
	Drain    time.Duration
	Endpoint dogwoodstandin.EndpointOptions
}

// New returns the subcommand.
func New(factory *dogwoodfactory.Factory) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      Name,
		Synopsis:  "run a stand-in of the users' platform for the soak",
		Arguments: "-listen ADDRESS [-store ADDRESS -record FILE ...]",
		Help: "Runs a store, or with -store an endpoint that announces itself there and writes what it sees to a\n" +
			"file. SIGTERM has an endpoint leave in order, SIGHUP announce itself again.",
		SetFlags: func(flags *flag.FlagSet) { setFlags(flags, options) },
		Run: func(ctx context.Context, _ []string) error {
			if !options.Listen.IsValid() || options.Store.IsValid() && options.Record == "" {
				return dogwoodsubcommand.NewUsageError("give -%s, and with -%s also -%s", FlagListen, FlagStore, FlagRecord)
			}
			return Run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func setFlags(flags *flag.FlagSet, options *Options) {
	flags.TextVar(&options.Listen, FlagListen, netip.AddrPort{}, "`address` to listen at")
	flags.TextVar(&options.Store, FlagStore, netip.AddrPort{}, "`address` of the store, for an endpoint")
	flags.TextVar(&options.Announced, FlagAnnouncedAddress, netip.AddrPort{}, "`address` that an endpoint announces")
	flags.StringVar(&options.Record, FlagRecord, "", "`file` for what an endpoint sees")
	flags.StringVar(&options.Endpoint.ID, FlagID, "", "the endpoint's `id`")
	flags.StringVar(&options.Endpoint.Service, FlagService, "", "its `service`")
	flags.StringVar(&options.Endpoint.DataCentre, FlagDataCentre, "", "its data `centre`")
	flags.IntVar(&options.Endpoint.Slots, FlagSlots, 1, "`requests` at once")
	flags.IntVar(&options.Endpoint.Events, FlagEvents, 0, "`events` of a stream; 0 answers plainly")
	flags.DurationVar(&options.Endpoint.Work, FlagWork, 0, "`time` of a plain answer, and between two events")
	flags.IntVar(&options.Endpoint.ReadPerSecond, FlagReadPerSecond, 0, "`tokens` of a prompt that it prefills in a second; 0 for any")
	flags.DurationVar(&options.Endpoint.ColdFor, FlagCold, 0, "`time` for which it is cold")
	flags.StringVar(&options.Endpoint.CrashPart, FlagCrashPart, "", "`prefix` of the IDs of parts whose prompts crash it; none if empty")
	flags.StringVar(&options.Endpoint.CrashPath, FlagCrashPath, "", "`path` of requests that crash it; none if empty")
	flags.DurationVar(&options.Endpoint.UnreadTimeout, FlagUnread, 0, "`time` for which an answer may stay unread; 0 for any")
	flags.IntVar(&options.Endpoint.MemoryBytes, FlagMemory, 0, "`bytes` that the requests it holds may take; 0 for any")
	flags.DurationVar(&options.Drain, FlagDrain, 0, "`time` that it serves on when it leaves")
}

// Run runs the store until the context ends, or an endpoint until it has left after SIGTERM.
func Run(ctx context.Context, options *Options) error {
	if !options.Store.IsValid() {
		store := dogwoodstandin.NewStore()
		defer store.Close()
		return serve(ctx, options.Listen, store.ControlledHandler(), func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		})
	}
	recorder, err := dogwoodstandin.NewRecorder(options.Record)
	if err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	running := &running{
		options: options, recorder: recorder, control: dogwoodstandin.NewStoreControl(options.Store), recordErrors: make(chan error, 1),
		signals: make(chan os.Signal, 4), //nolint:mnd // room for signals of both kinds while one is handled
	}
	options.Endpoint.AnnouncedAddress = options.Announced
	options.Endpoint.EventInterval, options.Endpoint.MemoryTokens = options.Endpoint.Work, dogwoodstandin.EngineMemoryTokens
	options.Endpoint.Record = func(arrival dogwoodstandin.Arrival) { running.record(dogwoodstandin.Record{Arrival: &arrival}) }
	options.Endpoint.Done = func(done dogwoodstandin.Done) { running.record(dogwoodstandin.Record{Done: &done}) }
	options.Endpoint.Crash = func(crash dogwoodstandin.Crash) {
		running.record(dogwoodstandin.Record{Crash: &crash})
		os.Exit(crashExitCode)
	}
	options.Endpoint.OutOfMemory = func(outOfMemory dogwoodstandin.OutOfMemory) {
		running.record(dogwoodstandin.Record{OutOfMemory: &outOfMemory})
		os.Exit(memoryExitCode)
	}
	options.Endpoint.Written = func(written dogwoodstandin.Written) { running.record(dogwoodstandin.Record{Written: &written}) }
	running.endpoint = dogwoodstandin.NewEndpoint(options.Endpoint)
	signal.Notify(running.signals, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(running.signals)
	err = serve(ctx, options.Listen, running.endpoint.ControlledHandler(), running.runUntilLeft)
	return errors.Join(err, recorder.Close())
}

// serve serves HTTP until work returns.
func serve(ctx context.Context, listen netip.AddrPort, handler http.Handler, work func(ctx context.Context) error) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen.String())
	if err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ConnContext: dogwoodstandin.LimitSendBuffer}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return dogwoodverb.Error.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		err := work(ctx)
		return errors.Join(err, server.Close())
	})
	return group.Wait()
}

// running is an endpoint that this process runs, with its recorder and the signals that it handles.
type running struct {
	options      *Options
	endpoint     *dogwoodstandin.Endpoint
	recorder     *dogwoodstandin.Recorder
	control      *dogwoodstandin.StoreControl
	recordErrors chan error
	signals      chan os.Signal
}

// record writes a record. If that fails, the endpoint ends, because a soak that misses arrivals proves nothing.
func (running *running) record(record dogwoodstandin.Record) {
	if err := running.recorder.Write(record); err != nil {
		select {
		case running.recordErrors <- err:
		default: // the endpoint is ending already
		}
	}
}

// runUntilLeft announces the endpoint and handles signals until it has left. The endpoint is announced again on SIGHUP
// and when it is no longer cold.
func (running *running) runUntilLeft(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx) // SIGTERM ends the context, but the endpoint has to drain first
	if err := running.endpoint.Announce(ctx, running.control, false); err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	warm := time.After(running.endpoint.Cold())
	for {
		select {
		case received := <-running.signals:
			if received == syscall.SIGTERM {
				return running.leave(ctx)
			}
		case <-warm:
		case err := <-running.recordErrors:
			return err
		}
		if err := running.endpoint.Announce(ctx, running.control, false); err != nil {
			return dogwoodverb.Error.Wrap(err)
		}
	}
}

func (running *running) leave(ctx context.Context) error {
	if err := running.endpoint.Announce(ctx, running.control, true); err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	left := time.Now()
	running.record(dogwoodstandin.Record{Left: &left})
	time.Sleep(running.options.Drain)
	return dogwoodverb.Error.Wrap(dogwoodstandin.Withdraw(ctx, running.control, running.options.Endpoint.ID))
}
