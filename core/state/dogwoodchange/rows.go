package dogwoodchange

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"dogwoodmux.example/core/state/dogwoodtable"
)

const (
	// Table is the table of the log's rows. Their keys are the versions with twenty digits.
	Table = "changes"
	// SnapshotTable is a table with one row, which holds the name of the latest snapshot object.
	SnapshotTable = "snapshots"
	snapshotKey   = "changes"
	// snapshotInterval is the number of changes between snapshots. It limits what a new daemon
	// reads to one object and a few pages of rows.
	snapshotInterval = 256
	// pageSize is the number of rows read in one call.
	pageSize = 256
	// maxDecodedBytes bounds the size of a decompressed row or snapshot.
	maxDecodedBytes = 16 << 20
)

func rowKey(version uint64) string {
	return fmt.Sprintf("%020d", version)
}

// write inserts the row of a change at its version.
func (log *Log) write(ctx context.Context, change Change) error {
	_, err := log.options.Store.Commit(ctx, dogwoodtable.Write{
		Table: Table, Key: rowKey(change.Version), Value: encode(change),
	})
	return err
}

// CatchUp reads the changes after this daemon's version from the store. A stale read does
// not change the view.
func (log *Log) CatchUp(ctx context.Context) error {
	_, err := log.catchUp(ctx)
	return err
}

// Poll catches up and rewrites the rows that the store has lost.
func (log *Log) Poll(ctx context.Context) error {
	complete, err := log.catchUp(ctx)
	if err != nil || complete {
		return err
	}
	return log.rewriteLost(ctx)
}

// catchUp reads the rows from that of this daemon's version on. It reports whether the store
// returned that row.
func (log *Log) catchUp(ctx context.Context) (complete bool, err error) {
	if log.Current().Version == 0 {
		if err := log.readSnapshot(ctx); err != nil {
			// The rows hold the same changes, in more pages.
			log.options.Logger.Warn("Snapshot not read.", "error", err)
		}
	}
	version := log.Current().Version
	complete = version == 0
	after := max(version, 1) - 1
	for {
		rows, err := log.options.Store.List(ctx, dogwoodtable.Range{Table: Table, After: rowKey(after), Limit: pageSize})
		if err != nil {
			return false, Error.Wrap(err)
		}
		complete = complete || (len(rows) > 0 && rows[0].Key == rowKey(version))
		if !log.mergeRows(rows) || len(rows) < pageSize {
			return complete, nil
		}
		after = log.Current().Version
	}
}

// mergeRows merges the changes in the rows up to the first that can't be decoded, and reports
// whether the view changed.
func (log *Log) mergeRows(rows []dogwoodtable.Row) bool {
	update := News{}
	for _, row := range rows {
		change, err := decode[Change](row.Value)
		if err != nil {
			log.options.Logger.Error("Row of the change log can't be read.", "row", row.Key, "error", err)
			break
		}
		update.Changes = append(update.Changes, change)
	}
	return log.Merge(update)
}

// rewriteLost rewrites accepted rows that the store has lost. Otherwise, a store restored
// from an older copy would give their versions to other changes. The lowest version is
// written first, so that the store's log has no gap if this daemon stops in between. A
// conflict ends the writing, since it shows that the read that missed the row was stale.
func (log *Log) rewriteLost(ctx context.Context) error {
	log.mutex.Lock()
	version := log.fold.snapshot.Version
	latest := slices.Clone(log.fold.latest)
	log.mutex.Unlock()
	if len(latest) == 0 {
		return nil
	}
	rows, err := log.options.Store.List(ctx, dogwoodtable.Range{
		Table: Table, After: rowKey(latest[0].Version - 1), Through: rowKey(version), Limit: len(latest),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	for _, change := range latest[len(rows):] {
		if err := log.write(ctx, change); err != nil {
			if dogwoodtable.AsConflict(err) != nil {
				return nil
			}
			return Error.Wrap(err)
		}
		log.options.Logger.Warn("Row lost by the store written again.", "version", change.Version)
	}
	return nil
}

// snapshotIfDue stores a snapshot once every snapshotInterval versions. A failure only makes
// later reads slower.
func (log *Log) snapshotIfDue(ctx context.Context, version uint64) {
	if version%snapshotInterval != 0 || log.options.Objects == nil {
		return
	}
	log.mutex.Lock()
	state := log.fold.snapshot
	encoded := encode(state)
	log.mutex.Unlock()
	name := fmt.Sprintf("%s-%020d", Table, state.Version)
	if err := log.storeSnapshot(ctx, name, encoded); err != nil {
		log.options.Logger.Warn("Snapshot not stored.", "version", state.Version, "error", err)
	}
}

// storeSnapshot stores a snapshot object, and its name unless a later one is stored.
func (log *Log) storeSnapshot(ctx context.Context, name string, encoded []byte) error {
	if err := log.options.Objects.PutObject(ctx, name, encoded); err != nil {
		return Error.Wrap(err)
	}
	row, found, err := log.options.Store.Read(ctx, SnapshotTable, snapshotKey)
	if err != nil {
		return Error.Wrap(err)
	}
	if found && string(row.Value) >= name {
		return nil
	}
	_, err = log.options.Store.Commit(ctx, dogwoodtable.Write{
		Table: SnapshotTable, Key: snapshotKey, Version: row.Version, Value: []byte(name),
	})
	return Error.Wrap(err)
}

// readSnapshot merges the latest stored snapshot, if there is one.
func (log *Log) readSnapshot(ctx context.Context) error {
	if log.options.Objects == nil {
		return nil
	}
	row, found, err := log.options.Store.Read(ctx, SnapshotTable, snapshotKey)
	if err != nil || !found {
		return Error.Wrap(err)
	}
	encoded, found, err := log.options.Objects.GetObject(ctx, string(row.Value))
	if err != nil || !found {
		return Error.Wrap(err)
	}
	snapshot, err := decode[Snapshot](encoded)
	if err != nil {
		return err
	}
	log.Merge(News{Snapshot: &snapshot})
	return nil
}

// compressThreshold is the size in bytes above which rows and snapshots are compressed. The
// operators' text shrinks to about a tenth.
const compressThreshold = 8 << 10

// gzipFirstByte is the first byte of a compressed value; JSON never begins with it.
const gzipFirstByte = 0x1f

// encode returns the value as JSON, compressed above compressThreshold.
func encode(value any) []byte {
	plain, err := json.Marshal(value)
	if err != nil {
		panic(Error.Wrap(err)) // changes and snapshots can always be encoded as JSON
	}
	if len(plain) <= compressThreshold {
		return plain
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err = writer.Write(plain)
	if err := errors.Join(err, writer.Close()); err != nil {
		panic(Error.Wrap(err)) // writes to a buffer do not fail
	}
	return compressed.Bytes()
}

// decode is the inverse of encode.
func decode[T any](value []byte) (T, error) {
	var decoded T
	if len(value) == 0 || value[0] != gzipFirstByte {
		err := json.Unmarshal(value, &decoded)
		return decoded, Error.Wrap(err)
	}
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return decoded, Error.Wrap(err)
	}
	err = json.NewDecoder(io.LimitReader(reader, maxDecodedBytes)).Decode(&decoded)
	return decoded, Error.Wrap(err)
}
