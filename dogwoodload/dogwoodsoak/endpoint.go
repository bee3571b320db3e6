package dogwoodsoak

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
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

// endpoint is an address at which endpoints with different ids run, one after another.
type endpoint struct {
	index   int
	service string
	// dataCentre is the data centre of all these endpoints.
	dataCentre string
	address    netip.AddrPort
	proxy      *dogwoodsoakproxy.Proxy

	processMutex sync.Mutex // held while a step acts on the process; guards process, id and generation
	process      *dogwoodsoakprocess.Process
	id           string
	generation   int
	limitMutex   sync.Mutex // held while it names limits
	stateMutex   sync.Mutex // held while it has a state that a step has set
	bodyMutex    sync.Mutex // held while it reads bodies slowly
	linkMutex    sync.Mutex // held while the connections to it are broken

	// ids are all ids that were used at the address; they are guarded by the site's mutex.
	ids []string
}

func (site *site) addEndpoint(ctx context.Context, index int, service string) error {
	address, err := newAddress(ctx)
	if err != nil {
		return err
	}
	endpoint := &endpoint{
		index: index, service: service, dataCentre: dataCentres[index%len(dataCentres)], address: netip.AddrPortFrom(address, standinPort),
	}
	proxy, err := site.startProxy(ctx, endpoint.address)
	if err != nil {
		return err
	}
	endpoint.proxy = proxy
	site.endpoints = append(site.endpoints, endpoint)
	return site.startEndpoint(ctx, endpoint, true, 0)
}

// startEndpoint starts the process of an endpoint, under a new id if newID is true.
func (site *site) startEndpoint(ctx context.Context, endpoint *endpoint, newID bool, cold time.Duration) error {
	if newID {
		endpoint.generation++
		endpoint.id = fmt.Sprintf("i-%d-%d", endpoint.index, endpoint.generation)
		site.mutex.Lock()
		endpoint.ids = append(endpoint.ids, endpoint.id)
		site.mutex.Unlock()
	}
	slots, events, work, tokens := deskSlots, 0, deskAnswerTime, 0
	if endpoint.service == engineName {
		slots, events, work, tokens = engineSlots, streamEvents, eventInterval, dogwoodstandin.EngineMemoryTokens
	}
	memory := tokens*dogwoodstandin.TokenBytes + bodiesPerSlot*slots*dogwoodstandin.MaxBodyBytes
	process, err := site.startStandin(ctx, endpoint.id, endpoint.address,
		standinFlag{dogwoodstandinrun.FlagStore, site.store.address.String()},
		standinFlag{dogwoodstandinrun.FlagRecord, site.path(endpoint.id + ".records")},
		standinFlag{dogwoodstandinrun.FlagID, endpoint.id},
		standinFlag{dogwoodstandinrun.FlagService, endpoint.service},
		standinFlag{dogwoodstandinrun.FlagDataCentre, endpoint.dataCentre},
		standinFlag{dogwoodstandinrun.FlagAnnouncedAddress, endpoint.proxy.Address().String()},
		standinFlag{dogwoodstandinrun.FlagSlots, fmt.Sprint(slots)},
		standinFlag{dogwoodstandinrun.FlagEvents, fmt.Sprint(events)},
		standinFlag{dogwoodstandinrun.FlagWork, work.String()},
		standinFlag{dogwoodstandinrun.FlagReadPerSecond, fmt.Sprint(dogwoodstandin.EngineReadPerSecond)},
		standinFlag{dogwoodstandinrun.FlagCold, cold.String()},
		standinFlag{dogwoodstandinrun.FlagCrashPath, crashPath},
		standinFlag{dogwoodstandinrun.FlagCrashPart, crashPart},
		standinFlag{dogwoodstandinrun.FlagUnread, unreadTimeout.String()},
		standinFlag{dogwoodstandinrun.FlagMemory, fmt.Sprint(memory)},
		standinFlag{dogwoodstandinrun.FlagDrain, (checkBounds.Drain + drainSlack).String()},
	)
	endpoint.process = process
	return err
}

// endpointFault returns a fault that affects all endpoints at an address. The id of the first one stands for all.
func (site *site) endpointFault(endpoint *endpoint) dogwoodsoakcheck.Fault {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	return dogwoodsoakcheck.Fault{Endpoint: endpoint.ids[0]}
}

func (site *site) endpointStep(ctx context.Context, step dogwoodsoakplan.Step, endpoint *endpoint) error {
	breakLink := func(fault dogwoodsoakproxy.Fault, duration time.Duration) error {
		return site.recordFault(&endpoint.linkMutex, site.endpointFault(endpoint), func() error { return applyFault(ctx, endpoint.proxy, fault, duration) })
	}
	switch step.Kind {
	case dogwoodsoakplan.EndpointKilled:
		return site.killEndpoint(ctx, endpoint, step.For)
	case dogwoodsoakplan.EndpointReplaced:
		return site.replaceEndpoint(ctx, endpoint)
	case dogwoodsoakplan.EndpointFrozen:
		return site.recordFault(&endpoint.processMutex, site.endpointFault(endpoint), func() error {
			return freeze(ctx, endpoint.signal, step.For)
		})
	case dogwoodsoakplan.EndpointReset:
		return breakLink(dogwoodsoakproxy.Fault{Refused: true}, 0)
	case dogwoodsoakplan.EndpointMute:
		return breakLink(dogwoodsoakproxy.Fault{Mute: true}, step.For)
	case dogwoodsoakplan.EndpointOneWay:
		return breakLink(dogwoodsoakproxy.Fault{MuteFromTarget: true}, step.For)
	case dogwoodsoakplan.EndpointSlow:
		const delay = 150 * time.Millisecond
		return breakLink(dogwoodsoakproxy.Fault{Delay: delay}, step.For)
	case dogwoodsoakplan.EndpointBusy:
		return site.makeBusy(ctx, endpoint, step.For)
	case dogwoodsoakplan.EndpointLimited:
		return site.limitEndpoint(ctx, endpoint, step.For)
	case dogwoodsoakplan.EndpointBacksOff:
		return site.keepState(ctx, endpoint, asksForBackoff, step.For)
	case dogwoodsoakplan.EndpointLeaves:
		return site.leaveByAnswers(ctx, endpoint, step.For)
	case dogwoodsoakplan.EndpointGarbles:
		return site.recordFault(&endpoint.linkMutex, site.endpointFault(endpoint), func() error {
			return site.keepState(ctx, endpoint, dogwoodstandin.EndpointState{Garbles: true}, step.For)
		})
	case dogwoodsoakplan.EntryLapsed:
		return site.expireEntry(ctx, endpoint, step.For)
	default:
		return unknownKind(step.Kind)
	}
}

// killEndpoint kills an endpoint and starts it again after downtime, cold and under the same id. If it is down
// for longer than removalDelay, its entry is removed, as the platform does.
func (site *site) killEndpoint(ctx context.Context, endpoint *endpoint, downtime time.Duration) error {
	return site.recordFault(&endpoint.processMutex, site.endpointFault(endpoint), func() error {
		if err := endpoint.signal(syscall.SIGKILL); err != nil {
			return err
		}
		endpoint.process.Wait(ctx)
		dogwoodkernel.Sleep(ctx, min(downtime, removalDelay))
		if downtime > removalDelay {
			if err := dogwoodstandin.Withdraw(ctx, site.control, endpoint.id); err != nil {
				return err
			}
			dogwoodkernel.Sleep(ctx, downtime-removalDelay)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return site.startEndpoint(ctx, endpoint, false, coldDuration)
	})
}

// replaceEndpoint shuts an endpoint down gracefully and starts another one at its address.
func (site *site) replaceEndpoint(ctx context.Context, endpoint *endpoint) error {
	endpoint.processMutex.Lock()
	defer endpoint.processMutex.Unlock()
	if err := site.replaceCrashed(ctx, endpoint); err != nil {
		return err
	}
	waitUntilListening(ctx, endpoint.address)
	if err := endpoint.signal(syscall.SIGTERM); err != nil {
		return err
	}
	endpoint.process.Wait(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return site.startEndpoint(ctx, endpoint, true, coldDuration)
}

// makeBusy makes an endpoint send nothing for a while although it keeps running.
func (site *site) makeBusy(ctx context.Context, endpoint *endpoint, duration time.Duration) error {
	endpoint.processMutex.Lock()
	defer endpoint.processMutex.Unlock()
	if err := site.replaceCrashed(ctx, endpoint); err != nil {
		return err
	}
	waitUntilListening(ctx, endpoint.address)
	if err := dogwoodstandin.SetBusyAt(ctx, endpoint.address, duration); err != nil && !endpoint.endsSoon(ctx) {
		return err
	}
	return nil // one that has crashed meanwhile is not busy
}

// expireEntry removes the entry of a running endpoint for a while.
func (site *site) expireEntry(ctx context.Context, endpoint *endpoint, duration time.Duration) error {
	endpoint.processMutex.Lock()
	defer endpoint.processMutex.Unlock()
	if err := site.replaceCrashed(ctx, endpoint); err != nil {
		return err
	}
	if err := dogwoodstandin.Withdraw(ctx, site.control, endpoint.id); err != nil {
		return err
	}
	dogwoodkernel.Sleep(ctx, duration)
	waitUntilListening(ctx, endpoint.address)
	return endpoint.signal(syscall.SIGHUP)
}

// endTimeout bounds the time from the end of a process's connections to the end of the process.
const endTimeout = 500 * time.Millisecond

// endsSoon reports whether the process ends within endTimeout, for calls to an endpoint that a request crashes meanwhile.
func (endpoint *endpoint) endsSoon(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	return endpoint.process.Wait(ctx)
}

// signal sends a signal to the endpoint's process, unless a request has crashed it.
func (endpoint *endpoint) signal(signal syscall.Signal) error {
	if err := endpoint.process.Signal(signal); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}
