package dogwoodenginestandin

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

// helperCheckInterval is how often the primary engine of a gang checks that its helpers still
// have their reservations.
const helperCheckInterval = time.Second

// parseHelpers parses the addresses of a gang's helpers.
func parseHelpers(header string) ([]netip.AddrPort, error) {
	if header == "" {
		return nil, nil
	}
	var helpers []netip.AddrPort
	for _, text := range strings.Split(header, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		helpers = append(helpers, address)
	}
	return helpers, nil
}

// exportToHelpers sends the KV memory beyond the engine's own share to the gang's helpers as
// the prefill progresses, and checks at intervals that they still have their reservations. The
// mutex must be held.
func (engine *Engine) exportToHelpers(ctx context.Context, sequence *sequence, now time.Time) {
	if len(sequence.helpers) == 0 {
		return
	}
	for sequence.exportedHelpers < len(sequence.helpers) {
		from := (sequence.exportedHelpers + 1) * sequence.tokensPerMember
		to := min(from+sequence.tokensPerMember, sequence.promptTokens)
		if int(sequence.prefilled) < to {
			break
		}
		engine.exportAsync(ctx, sequence, sequence.helpers[sequence.exportedHelpers], dogwoodengine.Import{FromTokens: from, ToTokens: to})
		sequence.exportedHelpers++
	}
	if now.Sub(sequence.helpersCheckedAt) < helperCheckInterval {
		return
	}
	sequence.helpersCheckedAt = now
	for _, helper := range sequence.helpers {
		engine.exportAsync(ctx, sequence, helper, dogwoodengine.Import{})
	}
}

// exportAsync calls a helper in the background; a failure ends the request.
func (engine *Engine) exportAsync(ctx context.Context, sequence *sequence, address netip.AddrPort, memory dogwoodengine.Import) {
	engine.background.Go(func() {
		helper := dogwoodfleet.Endpoint{ID: dogwoodfleet.EndpointID(address.String()), Address: address}
		if engine.client.Import(ctx, helper, sequence.id, memory) == nil {
			return
		}
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		if engine.find(sequence.id) == sequence && !sequence.ended() {
			sequence.end(dogwoodengine.PhaseFailed, dogwoodengine.CodeGangMemberLost, time.Now())
		}
	})
}
