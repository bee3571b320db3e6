package dogwoodplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-resty/resty/v2"

	"dogwoodmux.example/core/state/dogwoodtable"
)

// TransactionWrite is one write in the body of a transaction call.
type TransactionWrite struct {
	Table   string
	Key     string
	Version uint64 `json:",omitempty"`
	Value   []byte `json:",omitempty"`
	Delete  bool   `json:",omitempty"`
	KeepFor string `json:",omitempty"`
}

// Transaction is the request body of a transaction call.
type Transaction struct {
	Writes []TransactionWrite
}

// TransactionAnswer is the response body of a transaction call: the new versions, or the
// indexes of the writes whose condition failed.
type TransactionAnswer struct {
	Versions []uint64 `json:",omitempty"`
	Failed   []int    `json:",omitempty"`
}

// RowList is the response body of a range read.
type RowList struct {
	Rows []dogwoodtable.Row
}

// Read returns a row and whether it exists. The result may be out of date.
func (client *Client) Read(ctx context.Context, table, key string) (dogwoodtable.Row, bool, error) {
	client.reads.Add(1)
	response, err := client.tables.do(ctx, http.MethodGet, rowPath(table, key), func(*resty.Request) {})
	if err != nil {
		return dogwoodtable.Row{}, false, err
	}
	switch response.StatusCode() {
	case http.StatusOK:
		version, err := parseTag(response.Header().Get("ETag"))
		if err != nil {
			return dogwoodtable.Row{}, false, err
		}
		return dogwoodtable.Row{Key: key, Version: version, Value: response.Body()}, true, nil
	case http.StatusNotFound:
		return dogwoodtable.Row{}, false, nil
	}
	return dogwoodtable.Row{}, false, statusError(response)
}

// List returns the rows of a range, sorted by key. The result may be out of date.
func (client *Client) List(ctx context.Context, selection dogwoodtable.Range) ([]dogwoodtable.Row, error) {
	client.reads.Add(1)
	query := map[string]string{"After": selection.After, "Limit": strconv.Itoa(selection.Limit)}
	if selection.Through != "" {
		query["Through"] = selection.Through
	}
	path := "/tables/" + url.PathEscape(selection.Table) + "/rows"
	response, err := client.tables.do(ctx, http.MethodGet, path, func(request *resty.Request) {
		request.SetQueryParams(query)
	})
	if err != nil {
		return nil, err
	}
	if response.StatusCode() != http.StatusOK {
		return nil, statusError(response)
	}
	var list RowList
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return nil, Error.Wrap(err)
	}
	return list.Rows, nil
}

// Commit executes all writes or none and returns the new versions of the rows in the order
// of the writes. Its error is *Conflict, *Unavailable, *Unknown or, for a wrong number of
// writes, of class Error.
func (client *Client) Commit(ctx context.Context, writes ...dogwoodtable.Write) ([]uint64, error) {
	if len(writes) == 0 || len(writes) > dogwoodtable.MaxWrites {
		return nil, Error.New("a transaction has 1 to %d writes, not %d", dogwoodtable.MaxWrites, len(writes))
	}
	client.writes.Add(1)
	if len(writes) == 1 {
		return client.commitOne(ctx, writes[0])
	}
	body := Transaction{Writes: make([]TransactionWrite, 0, len(writes))}
	for _, write := range writes {
		body.Writes = append(body.Writes, transactionWrite(write))
	}
	response, err := client.tables.do(ctx, http.MethodPost, "/transactions", func(request *resty.Request) {
		request.SetBody(body)
	})
	if err != nil {
		return nil, err
	}
	var answer TransactionAnswer
	switch response.StatusCode() {
	case http.StatusOK, http.StatusPreconditionFailed:
		if err := json.Unmarshal(response.Body(), &answer); err != nil {
			// Without the body it is not known what was written.
			return nil, &Unknown{Cause: Error.Wrap(err)}
		}
	default:
		return nil, statusError(response)
	}
	if response.StatusCode() == http.StatusPreconditionFailed {
		return nil, &Conflict{Failed: answer.Failed}
	}
	if len(answer.Versions) != len(writes) {
		return nil, &Unknown{Cause: Error.New("%d versions for %d writes", len(answer.Versions), len(writes))}
	}
	return answer.Versions, nil
}

func (client *Client) commitOne(ctx context.Context, write dogwoodtable.Write) ([]uint64, error) {
	method := http.MethodPut
	if write.Delete {
		method = http.MethodDelete
	}
	response, err := client.tables.do(ctx, method, rowPath(write.Table, write.Key), func(request *resty.Request) {
		if write.Version == 0 {
			request.SetHeader("If-None-Match", "*")
		} else {
			request.SetHeader("If-Match", ETag(write.Version))
		}
		if write.KeepFor > 0 {
			request.SetQueryParam("KeepFor", write.KeepFor.String())
		}
		if !write.Delete {
			request.SetHeader("Content-Type", "application/octet-stream").SetBody(nonNil(write.Value))
		}
	})
	if err != nil {
		return nil, err
	}
	switch response.StatusCode() {
	case http.StatusOK, http.StatusCreated:
		version, err := parseTag(response.Header().Get("ETag"))
		if err != nil {
			return nil, &Unknown{Cause: err}
		}
		return []uint64{version}, nil
	case http.StatusPreconditionFailed:
		return nil, &Conflict{Failed: []int{0}}
	}
	return nil, statusError(response)
}

// nonNil replaces a nil body by an empty one, because resty rejects nil.
func nonNil(body []byte) []byte {
	if body == nil {
		return []byte{}
	}
	return body
}

func transactionWrite(write dogwoodtable.Write) TransactionWrite {
	converted := TransactionWrite{
		Table:   write.Table,
		Key:     write.Key,
		Version: write.Version,
		Value:   write.Value,
		Delete:  write.Delete,
	}
	if write.KeepFor > 0 {
		converted.KeepFor = write.KeepFor.String()
	}
	return converted
}

func rowPath(table, key string) string {
	return "/tables/" + url.PathEscape(table) + "/rows/" + url.PathEscape(key)
}

// ETag returns the HTTP entity tag for a row's version.
func ETag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func parseTag(tag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, Error.New("entity tag %q is no version", tag)
	}
	return version, nil
}

// statusError returns the error for a response whose status reports a faulty call.
func statusError(response *resty.Response) error {
	return &Unavailable{Cause: Error.New("answered %d: %.200s", response.StatusCode(), response.String())}
}
