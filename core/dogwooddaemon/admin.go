package dogwooddaemon

import (
	"context"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodburncounts"
	"dogwoodmux.example/core/duty/dogwoodowner"
	"dogwoodmux.example/core/edge/dogwoodadmin"
	"dogwoodmux.example/core/edge/dogwoodplatform"
	"dogwoodmux.example/core/edge/dogwoodserver"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginAdmin, []string{pluginPlatform, pluginChanges, pluginMembers, pluginBurn, pluginOwner}, startAdmin))
}

const (
	// adminHeaderTimeout and adminIdleTimeout limit operators' slow and idle connections.
	adminHeaderTimeout = 5 * time.Second
	adminIdleTimeout   = time.Minute
	// adminHeadBytes bounds the head of an operator's request.
	adminHeadBytes = 16 << 10
)

var errNotReady = errors.New("the operators' changes are not learnt yet")

// startAdmin serves operators' requests even while the daemon isn't ready to serve callers,
// because operators need its status then.
func startAdmin(ctx context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodserver.Server], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	platform := dogwoodkernel.Need[*dogwoodplatform.Client](&needs, pluginPlatform)
	burn := dogwoodkernel.Need[*dogwoodburncounts.Keeper](&needs, pluginBurn)
	ownership := dogwoodkernel.Need[*ownership](&needs, pluginOwner)
	if needs.Err != nil {
		return nil, needs.Err
	}
	logger := kernel.Named(pluginAdmin)
	handler := dogwoodadmin.New(dogwoodadmin.Options{
		Key: environment.adminKey, Changes: changes, Burn: burn,
		Overview:    overview{changes: changes, members: members, platform: platform},
		Entries:     adminEntries{entries: entries{members: members, place: environment.place}},
		Convictions: convictions{owner: ownership.local},
		Ready: func() error {
			if !changes.ready() {
				return errNotReady
			}
			return nil
		},
		Logger: logger,
	})
	listener, err := environment.network.Listen(ctx, environment.settings.Admin)
	if err != nil {
		return nil, err
	}
	server := newOperatorsServer(ctx, handler, environment.limits, logger)
	listener = server.Track(listener)
	environment.leaveHooks.add(server.StartDraining)
	kernel.Go(pluginAdmin, func(ctx context.Context) error { return serveOperators(ctx, handler, server, listener) })
	return &dogwoodkernel.ValuePart[*dogwoodserver.Server]{Value: server, OnStop: func(ctx context.Context) error {
		return drainOperators(ctx, handler, server)
	}}, nil
}

func newOperatorsServer(ctx context.Context, handler *dogwoodadmin.Server, limits *limits, logger hclog.Logger) *dogwoodserver.Server {
	return dogwoodserver.New(ctx, &http.Server{
		Handler: handler, ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout,
		ErrorLog: logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}, limits.options(adminHeadBytes, limits.connections.Directory, logger))
}

// serveOperators serves operators until the context ends, then ends their requests.
func serveOperators(ctx context.Context, handler *dogwoodadmin.Server, server *dogwoodserver.Server, listener net.Listener) error {
	return serveUntil(ctx, server, listener, func() { _ = drainOperators(ctx, handler, server) })
}

// drainOperators rejects new requests and waits for those in progress and for the connections of operators, until the context ends
// and then for answerTime.
func drainOperators(ctx context.Context, handler *dogwoodadmin.Server, server *dogwoodserver.Server) error {
	server.StartDraining()
	handler.RejectRequests()
	if handler.Await(ctx) && server.Drain(ctx) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	server.End()
	if err := server.Drain(ctx); err != nil {
		return errors.Join(Error.Wrap(err), server.Close(ctx))
	}
	return nil
}

// overview gathers the status of all daemons.
type overview struct {
	changes  *changes
	members  members
	platform *dogwoodplatform.Client
}

// Status queries every daemon for the version that it has in force.
func (overview overview) Status(ctx context.Context) dogwoodadminapi.Status {
	view := overview.changes.Current()
	status := dogwoodadminapi.Status{
		Version: view.Version, TextVersion: view.TextVersion, Provisional: len(view.Provisional),
		OutDataCentres: view.OutDataCentres, OutVMs: view.OutVMs, StoreReachable: overview.platform.TablesReachable(),
	}
	for _, reported := range overview.changes.duty.Statuses(ctx) {
		status.Version = max(status.Version, reported.Version)
		daemon := dogwoodadminapi.DaemonStatus{
			VM: reported.VM, Instance: reported.Instance, Answers: reported.Problem == "", Leaving: reported.Leaving, Version: reported.Version,
		}
		overview.addMemberInfo(&daemon)
		status.Daemons = append(status.Daemons, daemon)
	}
	for i := range status.Daemons {
		status.Daemons[i].Behind = status.Version - status.Daemons[i].Version
	}
	status.Services = overview.services()
	return status
}

// addMemberInfo adds a daemon's data centre and address from the VM list. If the daemon is
// alive, its heartbeats override them and give its instance.
func (overview overview) addMemberInfo(daemon *dogwoodadminapi.DaemonStatus) {
	for _, vm := range overview.members.Listed() {
		if vm.Name == daemon.VM {
			daemon.DataCentre, daemon.Serve = vm.Place.DataCentre, vm.Serve
		}
	}
	for _, member := range overview.members.Members.Alive() {
		if member.VM == daemon.VM {
			daemon.DataCentre, daemon.Serve, daemon.Instance = member.Place.DataCentre, member.Serve, member.Instance
		}
	}
}

func (overview overview) services() []dogwoodadminapi.ServiceStatus {
	counts := map[dogwoodfleet.Service]*dogwoodadminapi.ServiceStatus{}
	for _, service := range overview.changes.Text().Services {
		counts[service.Name] = &dogwoodadminapi.ServiceStatus{Service: service.Name}
	}
	for _, endpoint := range overview.members.Endpoints() {
		count := counts[endpoint.Service]
		if count == nil {
			continue
		}
		count.Endpoints++
		if endpoint.InForce {
			count.InForce++
		}
	}
	services := make([]dogwoodadminapi.ServiceStatus, 0, len(counts))
	for _, count := range counts {
		services = append(services, *count)
	}
	slices.SortFunc(services, func(a, b dogwoodadminapi.ServiceStatus) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return services
}

// adminEntries shows operators the addresses that callers are given.
type adminEntries struct {
	entries entries
}

// Entry draws addresses as for callers in the data centre, or for this daemon's own data
// centre if it is empty.
func (admin adminEntries) Entry(dataCentre dogwoodfleet.DataCentre) dogwoodadminapi.Entry {
	entries := admin.entries
	if dataCentre != "" {
		entries.place.DataCentre = dataCentre
	}
	drawn := entries.Entry("")
	return dogwoodadminapi.Entry{Addresses: drawn.Addresses, KeepSeconds: drawn.KeepSeconds}
}

// convictions lists the requests that the local owner rejects because they crashed endpoints.
type convictions struct {
	owner *dogwoodowner.Owner
}

// Convictions returns the convictions of the local owner with their digests in hexadecimal.
func (convictions convictions) Convictions() []dogwoodadminapi.Conviction {
	current := convictions.owner.Convictions()
	listed := make([]dogwoodadminapi.Conviction, len(current))
	for i, conviction := range current {
		listed[i] = dogwoodadminapi.Conviction{Digest: hex.EncodeToString(conviction.Digest[:]), Expires: conviction.Until}
	}
	return listed
}
