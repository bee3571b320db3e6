package dogwoodadmin

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/state/dogwoodchange"
)

// unavailableRetryAfter is the Retry-After of an answer when the store does not respond.
const unavailableRetryAfter = 10 * time.Second

func (server *Server) applyText(writer http.ResponseWriter, request *http.Request) {
	var apply dogwoodadminapi.Apply
	if !decode(writer, request, &apply) {
		return
	}
	if _, err := dogwoodsettings.ParseText([]byte(apply.Source)); err != nil {
		writeInvalidText(writer, err)
		return
	}
	if apply.CheckOnly {
		writeJSON(writer, dogwoodadminapi.Accepted{Version: server.options.Changes.Current().Version, Kept: true})
		return
	}
	if !requireID(writer, apply.ID) {
		return
	}
	server.submit(writer, request, dogwoodchange.Change{
		ID:      apply.ID,
		Kind:    dogwoodchange.ApplyText,
		Author:  apply.Author,
		At:      time.Now(),
		BasedOn: apply.BasedOn,
		Text:    []byte(apply.Source),
	})
}

// moveHandler returns the handler for take-outs or for bring-backs.
func (server *Server) moveHandler(kind dogwoodchange.Kind) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var move dogwoodadminapi.Move
		if !decode(writer, request, &move) || !requireID(writer, move.ID) {
			return
		}
		if (move.DataCentre == "") == (move.VM == "") {
			writeProblem(writer, http.StatusBadRequest, dogwoodadminapi.KindInvalid, "give either DataCentre or VM")
			return
		}
		server.submit(writer, request, dogwoodchange.Change{
			ID:         move.ID,
			Kind:       kind,
			Author:     move.Author,
			At:         time.Now(),
			DataCentre: move.DataCentre,
			VM:         move.VM,
			Force:      move.Force,
		})
	}
}

// liftConviction submits the lift to the change log, so that a daemon that was not running
// or not reachable at the time also stops rejecting the request.
func (server *Server) liftConviction(writer http.ResponseWriter, request *http.Request) {
	var lift dogwoodadminapi.Lift
	if !decode(writer, request, &lift) || !requireID(writer, lift.ID) {
		return
	}
	var digest dogwoodfleet.Digest
	decoded, err := hex.DecodeString(lift.Digest)
	if err != nil || len(decoded) != len(digest) {
		writeProblem(writer, http.StatusBadRequest, dogwoodadminapi.KindInvalid, "the digest must have 64 hexadecimal digits")
		return
	}
	server.submit(writer, request, dogwoodchange.Change{
		ID:     lift.ID,
		Kind:   dogwoodchange.LiftConviction,
		Author: lift.Author,
		At:     time.Now(),
		Digest: hex.EncodeToString(decoded),
	})
}

// requireID rejects a change without an ID chosen by the client. Without one, a client that
// retries a change whose answer was lost would make the change twice.
func requireID(writer http.ResponseWriter, id string) bool {
	if id == "" {
		writeProblem(writer, http.StatusBadRequest, dogwoodadminapi.KindInvalid, "ID is missing; it keeps a repeated change from being made twice")
		return false
	}
	return true
}

// submit submits the change to the change log and answers with its outcome. It continues if
// the operator disconnects, so that the daemon still determines the outcome of a change whose
// write has started.
func (server *Server) submit(writer http.ResponseWriter, request *http.Request, change dogwoodchange.Change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), changeTimeout)
	defer cancel()
	accepted, err := server.options.Changes.Submit(ctx, change)
	if err != nil {
		server.options.Logger.Warn("Change not accepted.", "kind", change.Kind, "author", change.Author, "error", err)
		server.writeChangeError(writer, change, err)
		return
	}
	server.options.Logger.Info("Change accepted.", "kind", change.Kind, "author", change.Author, "version", accepted.Version, "kept", accepted.Kept)
	writeJSON(writer, dogwoodadminapi.Accepted{Version: accepted.Version, Kept: accepted.Kept})
}

func (server *Server) writeChangeError(writer http.ResponseWriter, change dogwoodchange.Change, err error) {
	var conflict *dogwoodchange.Conflict
	var refused *dogwoodchange.Refused
	var unavailable *dogwoodchange.Unavailable
	switch {
	case errors.As(err, &conflict):
		server.writeConflict(writer, change, conflict)
	case errors.As(err, &refused) && refused.Cause != nil:
		writeInvalidText(writer, refused.Cause)
	case errors.As(err, &refused):
		writeProblem(writer, http.StatusUnprocessableEntity, dogwoodadminapi.KindRefused, refused.Error())
	case errors.As(err, &unavailable):
		problem := dogwoodproblem.New(http.StatusServiceUnavailable, dogwoodadminapi.KindUnavailable, "nothing was changed: "+err.Error())
		problem.RetryAfter = unavailableRetryAfter
		dogwoodproblem.Write(writer, problem, nil)
	default:
		// *Unknown or an unexpected error: the change may have been made.
		writeProblem(writer, http.StatusGatewayTimeout, dogwoodadminapi.KindUnknown, "the change may or may not have been made; see \"dogwoodctl status\": "+err.Error())
	}
}

// writeConflict answers with the changes made since the version that the change is based on,
// so that the operator can review them.
func (server *Server) writeConflict(writer http.ResponseWriter, change dogwoodchange.Change, conflict *dogwoodchange.Conflict) {
	problem := dogwoodproblem.New(http.StatusConflict, dogwoodadminapi.KindConflict, conflict.Error())
	dogwoodproblem.Write(writer, problem, dogwoodadminapi.Conflict{
		Problem: problem,
		Current: conflict.Current,
		Changes: changeRows(server.options.Changes.Since(change.BasedOn).Changes),
	})
}

func writeInvalidText(writer http.ResponseWriter, err error) {
	problem := dogwoodproblem.New(http.StatusUnprocessableEntity, dogwoodadminapi.KindInvalid, "the text has faults")
	invalid := dogwoodadminapi.Invalid{Problem: problem}
	var problems *dogwoodsettings.Problems
	if errors.As(err, &problems) {
		invalid.Problems = problems.List
	} else {
		invalid.Detail = err.Error()
	}
	dogwoodproblem.Write(writer, problem, invalid)
}
