package dogwoodadmin

import (
	"context"
	"net/http"
	"strconv"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodchange"
)

func (server *Server) getText(writer http.ResponseWriter, _ *http.Request) {
	view := server.options.Changes.Current()
	writeJSON(writer, dogwoodadminapi.Text{Version: view.TextVersion, Source: string(view.Source)})
}

func (server *Server) listChanges(writer http.ResponseWriter, request *http.Request) {
	since := uint64(0)
	if value := request.URL.Query().Get("since"); value != "" {
		parsed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			writeProblem(writer, http.StatusBadRequest, dogwoodadminapi.KindInvalid, "since is no version")
			return
		}
		since = parsed
	}
	writeJSON(writer, dogwoodadminapi.Changes{Changes: changeRows(server.options.Changes.Since(since).Changes)})
}

func changeRows(changes []dogwoodchange.Change) []dogwoodadminapi.ChangeRow {
	rows := make([]dogwoodadminapi.ChangeRow, len(changes))
	for i, change := range changes {
		rows[i] = dogwoodadminapi.ChangeRow{
			Version:    change.Version,
			ID:         change.ID,
			Kind:       string(change.Kind),
			Author:     change.Author,
			At:         change.At,
			DataCentre: change.DataCentre,
			VM:         change.VM,
		}
	}
	return rows
}

func (server *Server) getStatus(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	writeReport(writer, request, server.options.Overview.Status(ctx))
}

func (server *Server) getBurn(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	writeReport(writer, request, server.options.Burn.Report(ctx))
}

// writeReport answers with what the daemons have reported. A request that was ended meanwhile is refused, since daemons that have
// not reported yet would be shown as silent.
func writeReport(writer http.ResponseWriter, request *http.Request, report any) {
	if request.Context().Err() != nil {
		writeLeaving(writer)
		return
	}
	writeJSON(writer, report)
}

func (server *Server) getEntry(writer http.ResponseWriter, request *http.Request) {
	dataCentre := dogwoodfleet.DataCentre(request.URL.Query().Get("datacentre"))
	writeJSON(writer, server.options.Entries.Entry(dataCentre))
}

func (server *Server) listConvictions(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, dogwoodadminapi.Convictions{Convictions: server.options.Convictions.Convictions()})
}
