package dogwoodcaller

import (
	"encoding/json"
	"net/http"
)

// serveEntry returns the addresses that the caller should use.
func (edge *Edge) serveEntry(exchange *exchange) error {
	encoded, err := json.Marshal(edge.options.Entries.Entry(exchange.customer.Name))
	if err != nil {
		return Error.Wrap(err)
	}
	exchange.status = http.StatusOK
	exchange.setWriteDeadline()
	exchange.writer.Header().Set("Content-Type", "application/json")
	exchange.writer.Header().Set("Cache-Control", "no-store")
	_, _ = exchange.writer.Write(append(encoded, '\n')) // the caller may have disconnected
	return nil
}
