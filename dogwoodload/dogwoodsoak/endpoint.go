package dogwoodsoak

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/dogwoodload/dogwoodsoakproxy"
	"dogwoodmux.example/dogwoodload/dogwoodstandinrun"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// endpoint is an endpoint's place: endpoints with other ids follow each other there.
type endpoint struct {
	place   int
	service string
	// dataCentre is where all of them are.
	dataCentre string
	address    netip.AddrPort
	proxy      *dogwoodsoakproxy.Proxy

	life    sync.Mutex // held while its process is not left alone; guards what follows
	process *dogwoodsoakprocess.Process
	id      string
	number  int
	link    sync.Mutex // held while the way to it is broken

	// names are all ids that were used here, guarded by the site's mutex.
	names []string
}

func (site *site) addEndpoint(ctx context.Context, place int, service string) error {
	own, err := ownAddress(ctx)
	if err != nil {
		return err
	}
	endpoint := &endpoint{
		place: place, service: service, dataCentre: dataCentres[place%len(dataCentres)], address: netip.AddrPortFrom(own, standinPort),
	}
	proxy, err := site.proxy(ctx, endpoint.address)
	if err != nil {
		return err
	}
	endpoint.proxy = proxy
	site.endpoints = append(site.endpoints, endpoint)
	return site.startEndpoint(ctx, endpoint, true, 0)
}

// startEndpoint starts the process of an endpoint, under a new id if it is another one.
func (site *site) startEndpoint(ctx context.Context, endpoint *endpoint, other bool, cold time.Duration) error {
	if other {
		endpoint.number++
		endpoint.id = fmt.Sprintf("i-%d-%d", endpoint.place, endpoint.number)
		site.mutex.Lock()
		endpoint.names = append(endpoint.names, endpoint.id)
		site.mutex.Unlock()
	}
	slots, events, work := deskSlots, 0, deskWork
	if endpoint.service == engineName {
		slots, events, work = engineSlots, streamEvents, eventEvery
	}
	process, err := site.startStandin(ctx, endpoint.id, endpoint.address,
		standinFlag{dogwoodstandinrun.FlagStore, site.store.address.String()},
		standinFlag{dogwoodstandinrun.FlagRecord, site.path(endpoint.id + ".records")},
		standinFlag{dogwoodstandinrun.FlagID, endpoint.id},
		standinFlag{dogwoodstandinrun.FlagService, endpoint.service},
		standinFlag{dogwoodstandinrun.FlagDataCentre, endpoint.dataCentre},
		standinFlag{dogwoodstandinrun.FlagAnnounced, endpoint.proxy.Address().String()},
		standinFlag{dogwoodstandinrun.FlagSlots, fmt.Sprint(slots)},
		standinFlag{dogwoodstandinrun.FlagEvents, fmt.Sprint(events)},
		standinFlag{dogwoodstandinrun.FlagWork, work.String()},
		standinFlag{dogwoodstandinrun.FlagCold, cold.String()},
		standinFlag{dogwoodstandinrun.FlagDrain, (checkBounds.Drain + servesOn).String()},
	)
	endpoint.process = process
	return err
}

// ofEndpoint is a fault of whatever endpoint is at a place. The first one's id stands for all of them.
func (site *site) ofEndpoint(endpoint *endpoint) dogwoodsoakcheck.Fault {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	return dogwoodsoakcheck.Fault{Endpoint: endpoint.names[0]}
}

func (site *site) endpointStep(ctx context.Context, step dogwoodsoakplan.Step, endpoint *endpoint) error {
	link := func(fault dogwoodsoakproxy.Fault, lasts time.Duration) error {
		return site.during(&endpoint.link, site.ofEndpoint(endpoint), func() error { return carry(ctx, endpoint.proxy, fault, lasts) })
	}
	switch step.Kind {
	case dogwoodsoakplan.EndpointKilled:
		return site.killEndpoint(ctx, endpoint, step.For)
	case dogwoodsoakplan.EndpointReplaced:
		return site.replaceEndpoint(ctx, endpoint)
	case dogwoodsoakplan.EndpointFrozen:
		return site.during(&endpoint.life, site.ofEndpoint(endpoint), func() error {
			return freeze(ctx, endpoint.process.Signal, step.For)
		})
	case dogwoodsoakplan.EndpointReset:
		return link(dogwoodsoakproxy.Fault{Refused: true}, 0)
	case dogwoodsoakplan.EndpointMute:
		return link(dogwoodsoakproxy.Fault{Mute: true}, step.For)
	case dogwoodsoakplan.EndpointOneWay:
		return link(dogwoodsoakproxy.Fault{MuteBack: true}, step.For)
	case dogwoodsoakplan.EndpointSlow:
		const slow = 150 * time.Millisecond
		return link(dogwoodsoakproxy.Fault{Delay: slow}, step.For)
	case dogwoodsoakplan.EndpointBusy:
		return site.busy(ctx, endpoint, step.For)
	case dogwoodsoakplan.EntryLapsed:
		return site.lapse(ctx, endpoint, step.For)
	default:
		return unknown(step.Kind)
	}
}

// killEndpoint has an endpoint crash. The platform removes its entry when it notices, and the endpoint
// comes back cold, under the id that it had.
func (site *site) killEndpoint(ctx context.Context, endpoint *endpoint, down time.Duration) error {
	return site.during(&endpoint.life, site.ofEndpoint(endpoint), func() error {
		if err := endpoint.process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		endpoint.process.Wait(ctx)
		dogwoodkernel.Sleep(ctx, min(down, noticedGone))
		if down > noticedGone {
			if err := dogwoodstandin.Withdraw(ctx, site.control, endpoint.id); err != nil {
				return err
			}
			dogwoodkernel.Sleep(ctx, down-noticedGone)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return site.startEndpoint(ctx, endpoint, false, coldFor)
	})
}

// replaceEndpoint has an endpoint leave in order, and another one come.
func (site *site) replaceEndpoint(ctx context.Context, endpoint *endpoint) error {
	endpoint.life.Lock()
	defer endpoint.life.Unlock()
	awake(ctx, endpoint.address)
	if err := endpoint.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	endpoint.process.Wait(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return site.startEndpoint(ctx, endpoint, true, coldFor)
}

// busy has an endpoint that runs write nothing for a while.
func (site *site) busy(ctx context.Context, endpoint *endpoint, lasts time.Duration) error {
	endpoint.life.Lock()
	defer endpoint.life.Unlock()
	awake(ctx, endpoint.address)
	return dogwoodstandin.SetBusyAt(ctx, endpoint.address, lasts)
}

// lapse has the entry of a living endpoint be gone for a while.
func (site *site) lapse(ctx context.Context, endpoint *endpoint, lasts time.Duration) error {
	endpoint.life.Lock()
	defer endpoint.life.Unlock()
	if err := dogwoodstandin.Withdraw(ctx, site.control, endpoint.id); err != nil {
		return err
	}
	dogwoodkernel.Sleep(ctx, lasts)
	awake(ctx, endpoint.address)
	return endpoint.process.Signal(syscall.SIGHUP)
}
