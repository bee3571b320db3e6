package dogwoodengine

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// gangLease is how long an engine keeps a share for an entry that stopped renewing it:
	// three lost renewals.
	gangLease = 10 * time.Second
	// gangRenewal leaves time for two more tries before the lease ends.
	gangRenewal = gangLease / 3
	// gangWait bounds how long a gang tries to get its engines. A prompt this long prefills for
	// seconds, so waiting as long is worth it; beyond, its owner should choose other engines.
	gangWait = 5 * time.Second
	// gangPause is the first pause after a refusal; it doubles up to gangMostPause. Each pause
	// is drawn between half and all of it, so that two gangs that met do not meet again.
	gangPause     = 50 * time.Millisecond
	gangMostPause = time.Second
)

// heldGang is what a request holds at the engines of its gang. A nil one holds nothing.
type heldGang struct {
	client  *Client
	id      dogwoodfleet.RequestID
	runner  dogwoodfleet.EndpointID
	members []dogwoodfleet.Endpoint // in the fixed order
	tokens  int                     // the share of each
	stop    context.CancelFunc
}

// reserveGang sets aside a share of the request's memory at every engine of its gang, or
// nothing. Engines are asked in the order of their ids, the same for every gang, and a
// refusal gives all back before the next try: a gang never waits while it holds, so no two
// gangs can each hold what the other needs.
func (client *Client) reserveGang(ctx context.Context, endpoint dogwoodfleet.Endpoint, order Run) (*heldGang, error) {
	if len(order.Gang) <= 1 {
		return nil, nil // a nil gang holds nothing; its methods allow for it
	}
	gang := &heldGang{
		client:  client,
		id:      order.ID,
		runner:  endpoint.ID,
		members: slices.SortedFunc(slices.Values(order.Gang), compareEndpoints),
		tokens:  share(order.PromptTokens+order.MaxTokens, len(order.Gang)),
	}
	giveUp := gangWait
	if order.Budget > 0 {
		giveUp = min(giveUp, order.Budget)
	}
	limited, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	for wait := gangPause; ; wait = min(2*wait, gangMostPause) {
		err := gang.reserveAll(limited, client.afterwards(ctx))
		if err == nil {
			gang.keep(ctx)
			return gang, nil
		}
		var full *NoMemory
		if !errors.As(err, &full) {
			return nil, err
		}
		if pause(limited, wait/2+rand.N(wait/2)) != nil {
			return nil, err
		}
	}
}

func compareEndpoints(left, right dogwoodfleet.Endpoint) int {
	return cmp.Compare(left.ID, right.ID)
}

// share divides tokens among members, rounded up.
func share(tokens, members int) int {
	return (tokens + members - 1) / members
}

func (gang *heldGang) reserveAll(ctx context.Context, afterwards func(func(ctx context.Context))) error {
	for index, member := range gang.members {
		err := gang.client.Reserve(ctx, member, gang.id, gang.tokens, gangLease)
		if err == nil {
			continue
		}
		var full *NoMemory
		if errors.As(err, &full) {
			// This engine set nothing aside and the next try reserves under the same id, so the
			// shares are given back before it, not in the background.
			gang.releaseNow(ctx, gang.members[:index])
			return err
		}
		gang.releaseLater(afterwards, gang.members[:index+1])
		return err
	}
	return nil
}

// releaseNow gives shares back once. One that is lost is renewed by the next try or lapses.
func (gang *heldGang) releaseNow(ctx context.Context, members []dogwoodfleet.Endpoint) {
	for _, member := range members {
		if err := gang.client.Release(ctx, member, gang.id); err != nil {
			gang.client.logger.Warn("share not given back", "endpoint", member.ID, "request", gang.id, "error", err)
		}
	}
}

// keep renews the shares until the release.
func (gang *heldGang) keep(ctx context.Context) {
	ctx, gang.stop = context.WithCancel(context.WithoutCancel(ctx))
	gang.client.inBackground(func() {
		for pause(ctx, gangRenewal) == nil {
			for _, member := range gang.members {
				// A lost share shows at the running engine, which checks the others itself.
				if err := gang.client.Renew(ctx, member, gang.id, gangLease); err != nil {
					gang.client.logger.Debug("share not renewed", "endpoint", member.ID, "request", gang.id, "error", err)
				}
			}
		}
	})
}

// release gives all shares back in the background, again until the engines confirm it.
func (gang *heldGang) release(afterwards func(func(ctx context.Context))) {
	if gang == nil {
		return
	}
	gang.stop()
	gang.releaseLater(afterwards, gang.members)
}

// releaseLater cancels the request at the members, the running one included: a cancel gives
// the reservation of its id back and refuses one that comes late.
func (gang *heldGang) releaseLater(afterwards func(func(ctx context.Context)), members []dogwoodfleet.Endpoint) {
	for _, member := range members {
		afterwards(func(ctx context.Context) {
			gang.client.cancelUntilConfirmed(ctx, member, gang.id)
		})
	}
}

// others returns the addresses of the engines beside the one that runs the request.
func (gang *heldGang) others() string {
	if gang == nil {
		return ""
	}
	var addresses []string
	for _, member := range gang.members {
		if member.ID != gang.runner {
			addresses = append(addresses, member.Address.String())
		}
	}
	return strings.Join(addresses, ",")
}
