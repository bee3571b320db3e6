package dogwoodplatformstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodplatform"
	"dogwoodmux.example/core/state/dogwoodtable"
)

// The bounds that docs/PLATFORM.md sets.
const (
	maxValueBytes  = 256 << 10
	maxObjectBytes = 64 << 20
	maxListLimit   = 1000
)

func (platform *Platform) tableHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tables/{Table}/rows/{Key}", platform.getRow)
	mux.HandleFunc("GET /tables/{Table}/rows", platform.listRows)
	mux.HandleFunc("PUT /tables/{Table}/rows/{Key}", platform.writeRow)
	mux.HandleFunc("DELETE /tables/{Table}/rows/{Key}", platform.writeRow)
	mux.HandleFunc("POST /transactions", platform.transact)
	return mux
}

func (platform *Platform) getRow(writer http.ResponseWriter, request *http.Request) {
	row, ok, err := platform.store.Read(request.Context(), request.PathValue("Table"), request.PathValue("Key"))
	switch {
	case err != nil:
		writeError(writer, err)
	case !ok:
		writer.WriteHeader(http.StatusNotFound)
	default:
		writer.Header().Set("ETag", dogwoodplatform.ETag(row.Version))
		_, _ = writer.Write(row.Value)
	}
}

func (platform *Platform) listRows(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil || limit < 1 || limit > maxListLimit {
		limit = maxListLimit
	}
	rows, err := platform.store.List(request.Context(), dogwoodtable.Range{
		Table:   request.PathValue("Table"),
		After:   query.Get("After"),
		Through: query.Get("Through"),
		Limit:   limit,
	})
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, dogwoodplatform.RowList{Rows: rows})
}

func (platform *Platform) writeRow(writer http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValueBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	write := dogwoodtable.Write{
		Table:  request.PathValue("Table"),
		Key:    request.PathValue("Key"),
		Value:  value,
		Delete: request.Method == http.MethodDelete,
	}
	if keep := request.URL.Query().Get("KeepFor"); keep != "" {
		if write.KeepFor, err = time.ParseDuration(keep); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if tag := request.Header.Get("If-Match"); tag != "" {
		if write.Version, err = strconv.ParseUint(strings.Trim(tag, `"`), 10, 64); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
	} else if request.Header.Get("If-None-Match") != "*" {
		writer.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	// A write continues after its client disconnected, as in a slow real service.
	versions, err := platform.store.Commit(context.WithoutCancel(request.Context()), write)
	if err != nil {
		writeError(writer, err)
		return
	}
	writer.Header().Set("ETag", dogwoodplatform.ETag(versions[0]))
	if write.Version == 0 {
		writer.WriteHeader(http.StatusCreated)
	}
}

func (platform *Platform) transact(writer http.ResponseWriter, request *http.Request) {
	var body dogwoodplatform.Transaction
	limited := http.MaxBytesReader(writer, request.Body, dogwoodtable.MaxWrites*2*maxValueBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if len(body.Writes) == 0 || len(body.Writes) > dogwoodtable.MaxWrites {
		http.Error(writer, "wrong number of writes", http.StatusBadRequest)
		return
	}
	writes := make([]dogwoodtable.Write, 0, len(body.Writes))
	for _, requested := range body.Writes {
		write := dogwoodtable.Write{
			Table: requested.Table, Key: requested.Key, Version: requested.Version, Value: requested.Value, Delete: requested.Delete,
		}
		if requested.KeepFor != "" {
			keep, err := time.ParseDuration(requested.KeepFor)
			if err != nil {
				http.Error(writer, err.Error(), http.StatusBadRequest)
				return
			}
			write.KeepFor = keep
		}
		writes = append(writes, write)
	}
	versions, err := platform.store.Commit(context.WithoutCancel(request.Context()), writes...)
	if conflict := dogwoodtable.AsConflict(err); conflict != nil {
		writeJSON(writer, http.StatusPreconditionFailed, dogwoodplatform.TransactionAnswer{Failed: conflict.Failed})
		return
	}
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, dogwoodplatform.TransactionAnswer{Versions: versions})
}

func (platform *Platform) objectHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /objects/{Name}", func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxObjectBytes))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if err := platform.store.PutObject(request.Context(), request.PathValue("Name"), body); err != nil {
			writeError(writer, err)
			return
		}
		writer.WriteHeader(http.StatusCreated)
	})
	mux.HandleFunc("GET /objects/{Name}", func(writer http.ResponseWriter, request *http.Request) {
		body, ok, err := platform.store.GetObject(request.Context(), request.PathValue("Name"))
		switch {
		case err != nil:
			writeError(writer, err)
		case !ok:
			writer.WriteHeader(http.StatusNotFound)
		default:
			_, _ = writer.Write(body)
		}
	})
	return mux
}

func (platform *Platform) vmHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(writer http.ResponseWriter, request *http.Request) {
		platform.mutex.Lock()
		vms, tag, down := platform.vms, fmt.Sprintf(`"%d"`, platform.vmListVersion), platform.vmsDown
		platform.mutex.Unlock()
		if down {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.Header().Set("ETag", tag)
		if request.Header.Get("If-None-Match") == tag {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		if vms == nil {
			vms = []dogwoodfleet.ListedVM{}
		}
		writeJSON(writer, http.StatusOK, dogwoodplatform.VMList{VMs: vms})
	})
	return mux
}

// weightBytes is the size that the stand-in returns for every model.
const weightBytes = 16 << 30

func (platform *Platform) weightHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{Model}/{Version}", func(writer http.ResponseWriter, _ *http.Request) {
		wait := platform.admitLoad(time.Now())
		if wait > 0 {
			seconds := int((wait + time.Second - 1) / time.Second)
			writer.Header().Set("Retry-After", strconv.Itoa(seconds))
			writer.WriteHeader(http.StatusTooManyRequests)
			return
		}
		writeJSON(writer, http.StatusOK, dogwoodplatform.Weights{Bytes: weightBytes})
	})
	return mux
}

// admitLoad returns 0 if a load may start now, else the time until the next load may start.
func (platform *Platform) admitLoad(now time.Time) time.Duration {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.maxLoads == 0 {
		return 0
	}
	for len(platform.loadStarts) > 0 && now.Sub(platform.loadStarts[0]) >= platform.loadWindow {
		platform.loadStarts = platform.loadStarts[1:]
	}
	if len(platform.loadStarts) >= platform.maxLoads {
		return platform.loadWindow - now.Sub(platform.loadStarts[0])
	}
	platform.loadStarts = append(platform.loadStarts, now)
	return 0
}

// writeError answers as the real services do: 412 for a conflict, 503 for a call that did
// not begin, and a broken connection without an answer if the answer was lost.
func writeError(writer http.ResponseWriter, err error) {
	switch {
	case dogwoodtable.AsConflict(err) != nil:
		writer.WriteHeader(http.StatusPreconditionFailed)
	case dogwoodtable.IsUnavailable(err):
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
