package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dogwoodmux.example/platform/dogwoodwire"
)

// Limits of an answer of the store, and the times that it takes.
const (
	pageRows        = 500
	answerTime      = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
)

// store is the platform's metadata store. Rows with an empty part only. Each machine has an address of its own, so that the store
// can turn some away.
type store struct {
	started time.Time

	mutex   sync.Mutex
	version int64
	rows    map[string]dogwoodwire.Row // by table and key, deleted ones too
	changed chan struct{}
	away    map[string]bool // machines that are turned away
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[string]dogwoodwire.Row{}, changed: make(chan struct{}), away: map[string]bool{}}
}

// put writes a row as the operator and servers do.
func (store *store) put(table, key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.apply([]dogwoodwire.Row{{Table: table, Key: key, Value: value}})
}

// remove removes a row as the operator and servers do.
func (store *store) remove(table, key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.apply([]dogwoodwire.Row{{Table: table, Key: key, Deleted: true}})
}

// apply applies one transaction. The caller holds the mutex.
func (store *store) apply(rows []dogwoodwire.Row) {
	store.version++
	for _, row := range rows {
		row.Version = store.version
		store.rows[row.Table+"\x00"+row.Key] = row
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

// turnAway sets the machines that get 503 for each call.
func (store *store) turnAway(machines []string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = map[string]bool{}
	for _, machine := range machines {
		store.away[machine] = true
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) isAway(machine string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.away[machine]
}

// handler serves the calls of one machine.
func (store *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, call func(machine string, writer http.ResponseWriter, received *http.Request)) {
		mux.HandleFunc(pattern, func(writer http.ResponseWriter, received *http.Request) {
			time.Sleep(answerTime)
			if store.isAway(machine) {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			call(machine, writer, received)
		})
	}
	handle("GET "+dogwoodwire.RowsGetPath, store.get)
	handle("GET "+dogwoodwire.RowsFeedPath, store.feed)
	handle("POST "+dogwoodwire.RowsChangePath, store.change)
	return mux
}

// writers serves the calls with which servers write their entries, which nothing turns away.
func (store *store) writers() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		var row struct {
			Table, Key string
			Value      []byte
			Deleted    bool
		}
		switch {
		case json.NewDecoder(received.Body).Decode(&row) != nil:
			writer.WriteHeader(http.StatusBadRequest)
		case row.Deleted:
			store.remove(row.Table, row.Key)
		default:
			store.put(row.Table, row.Key, row.Value)
		}
	})
}

// selectRows returns the rows of a table that changed after a version. The caller holds the mutex.
func (store *store) selectRows(table string, after int64, deleted bool) []dogwoodwire.Row {
	var rows []dogwoodwire.Row
	for _, row := range store.rows {
		if row.Table == table && row.Version > after && (deleted || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	return rows
}

func (store *store) answer(writer http.ResponseWriter, rows dogwoodwire.Rows) {
	rows.NowMS = float64(time.Since(store.started).Milliseconds())
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(rows) // the machine may have disconnected
}

func (store *store) get(_ string, writer http.ResponseWriter, received *http.Request) {
	query := received.URL.Query()
	limit := pageRows
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil {
		limit = min(limit, asked)
	}
	store.mutex.Lock()
	rows, version := store.selectRows(query.Get("table"), 0, false), store.version
	store.mutex.Unlock()
	rows = slices.DeleteFunc(rows, func(row dogwoodwire.Row) bool {
		return row.Key < query.Get("from") || query.Get("to") != "" && row.Key >= query.Get("to")
	})
	slices.SortFunc(rows, func(a, b dogwoodwire.Row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	store.answer(writer, dogwoodwire.Rows{Rows: rows[:min(len(rows), limit)], More: more, Version: version})
}

func (store *store) feed(machine string, writer http.ResponseWriter, received *http.Request) {
	query := received.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		store.mutex.Lock()
		rows, version, changed := store.selectRows(query.Get("table"), after, true), store.version, store.changed
		away := store.away[machine]
		store.mutex.Unlock()
		if away {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || expired {
			slices.SortFunc(rows, func(a, b dogwoodwire.Row) int { return int(a.Version - b.Version) })
			store.answer(writer, dogwoodwire.Rows{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-received.Context().Done():
			return
		}
	}
}

func (store *store) change(_ string, writer http.ResponseWriter, received *http.Request) {
	var change dogwoodwire.Change
	if json.NewDecoder(received.Body).Decode(&change) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	var rows []dogwoodwire.Row
	for _, row := range change.Puts {
		rows = append(rows, dogwoodwire.Row{Table: row.Table, Key: row.Key, Value: row.Value})
	}
	for _, row := range change.Remove {
		rows = append(rows, dogwoodwire.Row{Table: row.Table, Key: row.Key, Deleted: true})
	}
	if slices.ContainsFunc(rows, func(row dogwoodwire.Row) bool {
		return row.Table == dogwoodwire.OperatorTable || row.Table == dogwoodwire.ServersTable
	}) {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var conflicts []dogwoodwire.Row
	for _, expected := range change.Expected {
		row := store.rows[expected.Table+"\x00"+expected.Key]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != expected.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		writer.WriteHeader(http.StatusPreconditionFailed)
		store.answer(writer, dogwoodwire.Rows{Rows: conflicts, Version: store.version})
		return
	}
	store.apply(rows)
	store.answer(writer, dogwoodwire.Rows{Version: store.version})
}
