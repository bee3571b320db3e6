package dogwoodengine

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// An engine became cold while it ran a few prompts, and its owner sent it another 300 ms after the
// engine had reported it: the load report lags by a second, and the header that marks each response
// of a cold engine was read only from the responses to prompts.
func TestEveryResponseReportsColdEngine(t *testing.T) {
	tests := []struct {
		name   string
		header string
		body   string
		want   bool
	}{
		{"warm", "", `{"Cold":false}`, false},
		{"cold, the report lags", "true", `{"Cold":false}`, true},
		{"cold by the report", "", `{"Cold":true}`, true},
	}
	for _, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Type", "application/json")
			if test.header != "" {
				writer.Header().Set(HeaderCold, test.header)
			}
			_, _ = writer.Write([]byte(test.body))
		}))
		client := New(Options{SilenceTimeout: 10 * time.Second})
		endpoint := dogwoodfleet.Endpoint{ID: "engine", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
		load, err := client.Load(t.Context(), endpoint)
		if err != nil || load.Cold != test.want {
			t.Errorf("%s: got load report with cold %t and error %v, want %t", test.name, load.Cold, err, test.want)
		}
		state, err := client.State(t.Context(), endpoint)
		if want := test.header != ""; err != nil || state.Cold != want {
			t.Errorf("%s: got state with cold %t and error %v, want %t", test.name, state.Cold, err, want)
		}
		client.Close(t.Context())
		server.Close()
	}
}
