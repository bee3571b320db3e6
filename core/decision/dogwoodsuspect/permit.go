package dogwoodsuspect

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

// PermitRequest asks the owner returned by Home for a permit to run a suspect, or returns the permit.
type PermitRequest struct {
	Digest  dogwoodfleet.Digest
	Request dogwoodfleet.RequestID
	// Customer and Parts are the request's if the permit is for a trial of a part of its prompt.
	Customer dogwoodfleet.Customer
	Parts    []dogwoodfleet.PromptPart
	// Lease is the time for which the permit is valid. A further PermitRequest for the same request
	// renews it.
	Lease time.Duration
	// Ended is true if the run ended or was never started. It returns the permit.
	Ended bool
}

// PermitResponse is the answer to a PermitRequest.
type PermitResponse struct {
	Allowed bool
	// Standing is the standing in the answering owner's ledger. A convicted digest is never
	// allowed.
	Standing Standing
	// Again is the time to wait before asking again if another request holds the permit.
	Again time.Duration
}

// permitPollInterval is the time after which an owner asks again for a suspect that waits for
// a permit. Runs of suspects take from tenths of a second to seconds.
const permitPollInterval = 200 * time.Millisecond

// Judge answers a PermitRequest. It permits only one run of a suspect at a time across all owners.
// Otherwise a caller that resends a crashing request through four entry daemons at the same
// moment would kill four more endpoints.
func (ledger *Ledger) Judge(now time.Time, request PermitRequest) PermitResponse {
	standing, _ := ledger.Standing(now, request.Digest)
	found := ledger.records[request.Digest]
	if request.Ended {
		if found != nil && found.permitHolder == request.Request {
			found.permitHolder = ""
		}
		return PermitResponse{Standing: standing}
	}
	if standing == Convicted {
		if unsettled := ledger.Unsettled(now, request.Digest); unsettled > 0 {
			return PermitResponse{Standing: Suspect, Again: unsettled}
		}
		return PermitResponse{Standing: standing}
	}
	if found == nil {
		// The asking owner has a strike whose notice hasn't arrived here yet.
		found = ledger.add(now, request.Digest)
	}
	held := found.permitHolder != "" && found.permitHolder != request.Request && now.Before(found.permitExpires)
	if held {
		return PermitResponse{Standing: standing, Again: permitPollInterval}
	}
	found.permitHolder = request.Request
	found.permitExpires = now.Add(request.Lease)
	return PermitResponse{Allowed: true, Standing: standing}
}

// Home returns the index of the member that grants the permits for a digest, or -1 if there
// are no members. It selects the member with the highest hash (rendezvous hashing), so that
// all owners select the same one and a change of members reassigns few digests.
func Home(digest dogwoodfleet.Digest, members []dogwoodfleet.InstanceID) int {
	best, bestScore := -1, uint64(0)
	for i, member := range members {
		var hash xxhash.Digest
		hash.Reset()
		_, _ = hash.Write(digest[:])
		_, _ = hash.WriteString(string(member))
		if score := hash.Sum64(); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
