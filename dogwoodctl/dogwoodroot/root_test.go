package dogwoodroot

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

const operatorsText = `{
	"Services": [{
		"Name": "desk", "Kind": "PlainService", "Deadline": "5s", "MaxDeadline": "1m",
		"ColdLimit": 1, "WarmLimit": 8
	}],
	"Customers": [{"Name": "a", "Weight": 1, "KeySHA256": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]
}
`

// fakeDaemon is a transport that sends the requests to a handler and records their bodies.
// With a nil handler the connection is refused.
type fakeDaemon struct {
	handler http.Handler
	bodies  []string
}

func (daemon *fakeDaemon) RoundTrip(request *http.Request) (*http.Response, error) {
	if daemon.handler == nil {
		return nil, errors.New("connection refused")
	}
	body := []byte{}
	if request.Body != nil {
		body, _ = io.ReadAll(request.Body)
	}
	daemon.bodies = append(daemon.bodies, string(body))
	request.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	daemon.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func newHandler(t *testing.T, routes map[string]any) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if got, want := request.Header.Get("Authorization"), "Bearer secret"; got != want {
			t.Errorf("got authorization %q, want %q", got, want)
		}
		value, known := routes[request.Method+" "+request.URL.Path]
		if !known {
			t.Errorf("unexpected %s %s", request.Method, request.URL)
		}
		switch body := value.(type) {
		case dogwoodproblem.Problem:
			dogwoodproblem.Write(writer, body, nil)
		case dogwoodadminapi.Conflict:
			dogwoodproblem.Write(writer, body.Problem, body)
		default:
			if err := json.NewEncoder(writer).Encode(value); err != nil {
				t.Error(err)
			}
		}
	})
}

type result struct {
	code     dogwoodcommand.Code
	out, err string
}

func runCommand(t *testing.T, daemon *fakeDaemon, terminal bool, arguments ...string) result {
	t.Helper()
	var out, err bytes.Buffer
	factory := &dogwoodfactory.Factory{
		Streams:   dogwoodfactory.Streams{In: strings.NewReader(operatorsText), Out: &out, Err: &err, Terminal: terminal},
		Addresses: "10.0.0.1:1, 10.0.0.2:1",
		Key:       "secret",
		Author:    "tester",
		Transport: daemon,
		NewID:     func() string { return "id-1" },
	}
	code := Run(t.Context(), factory, arguments)
	return result{code: dogwoodcommand.Code(code), out: out.String(), err: err.String()}
}

func currentStatus() dogwoodadminapi.Status {
	const version = 7
	return dogwoodadminapi.Status{
		Version: version, TextVersion: version, StoreReachable: true,
		Daemons:  []dogwoodadminapi.DaemonStatus{{VM: "entry-1", DataCentre: "a", Answers: true, Version: version}},
		Services: []dogwoodadminapi.ServiceStatus{{Service: "desk", Endpoints: 3, InForce: 2}},
	}
}

func TestSubcommands(t *testing.T) {
	lagging := currentStatus()
	lagging.Daemons[0].Version = 6
	tests := []struct {
		name      string
		arguments []string
		routes    map[string]any
		terminal  bool
		wantCode  dogwoodcommand.Code
		wantOut   string
		wantErr   string
	}{
		{"no subcommand", nil, nil, false, dogwoodcommand.ExitUsage, "", "Usage"},
		{"unknown subcommand", []string{"remove"}, nil, false, dogwoodcommand.ExitUsage, "", "Usage"},
		{"unknown flag", []string{"status", "-colour"}, nil, false, dogwoodcommand.ExitUsage, "", "colour"},
		{
			"show prints the version line",
			[]string{"show"},
			map[string]any{"GET /admin/v1/text": dogwoodadminapi.Text{Version: 7, Source: "{}"}},
			false, dogwoodcommand.ExitOK, "// BasedOn: 7\n{}", "",
		},
		{
			"apply from the standard input",
			[]string{"apply", "-based-on", "6", "-"},
			map[string]any{
				"POST /admin/v1/text":  dogwoodadminapi.Accepted{Version: 7, Kept: true},
				"GET /admin/v1/status": currentStatus(),
			},
			false, dogwoodcommand.ExitOK, "accepted as version 7\nin force on every daemon\n", "",
		},
		{"apply without a base version", []string{"apply", "-"}, nil, false, dogwoodcommand.ExitUsage, "", "does not say which version"},
		{
			"apply conflicts with another change",
			[]string{"apply", "-based-on", "6", "-"},
			map[string]any{"POST /admin/v1/text": dogwoodadminapi.Conflict{
				Problem: dogwoodproblem.New(http.StatusConflict, dogwoodadminapi.KindConflict, "another text came first"),
				Current: 8, Changes: []dogwoodadminapi.ChangeRow{{Version: 8, Kind: "ApplyText", Author: "other"}},
			}},
			false, dogwoodcommand.ExitConflict, "", "version 8 is in force",
		},
		{
			"apply with a lagging daemon",
			[]string{"apply", "-based-on", "6", "-wait", "1s", "-"},
			map[string]any{
				"POST /admin/v1/text":  dogwoodadminapi.Accepted{Version: 7, Kept: true},
				"GET /admin/v1/status": lagging,
			},
			false, dogwoodcommand.ExitNotEverywhere, "accepted as version 7", "not yet in force on: entry-1",
		},
		{
			"take-out while the store is down",
			[]string{"takeout", "datacentre", "oita-c"},
			map[string]any{"POST /admin/v1/takeouts": dogwoodadminapi.Accepted{}},
			false, dogwoodcommand.ExitOK, "in force, not yet kept", "",
		},
		{
			"take-out of the last place",
			[]string{"takeout", "vm", "engine-1", "-wait", "0"},
			map[string]any{"POST /admin/v1/takeouts": dogwoodproblem.New(http.StatusUnprocessableEntity, dogwoodadminapi.KindRefused, "desk has no other place")},
			false, dogwoodcommand.ExitRefused, "", "desk has no other place",
		},
		{"take-out of an unknown kind", []string{"takeout", "rack", "7"}, nil, false, dogwoodcommand.ExitUsage, "", "neither"},
		{
			"bring-back while the store is down",
			[]string{"bringback", "datacentre", "oita-c"},
			map[string]any{"POST /admin/v1/bringbacks": dogwoodproblem.New(http.StatusServiceUnavailable, dogwoodadminapi.KindUnavailable, "the store does not answer")},
			false, dogwoodcommand.ExitUnavailable, "", "the store does not answer",
		},
		{
			"status on a terminal",
			[]string{"status"},
			map[string]any{"GET /admin/v1/status": currentStatus()},
			true, dogwoodcommand.ExitOK, "DAEMON   DATA CENTRE", "",
		},
		{
			"status to a pipe",
			[]string{"status"},
			map[string]any{"GET /admin/v1/status": currentStatus()},
			false, dogwoodcommand.ExitOK, "desk\t3\t2\n", "",
		},
		{
			"diff of equal texts",
			[]string{"diff", "-"},
			map[string]any{"GET /admin/v1/text": dogwoodadminapi.Text{Version: 7, Source: operatorsText}},
			false, dogwoodcommand.ExitOK, "", "",
		},
		{
			"diff of different texts",
			[]string{"diff", "-"},
			map[string]any{"GET /admin/v1/text": dogwoodadminapi.Text{Version: 7, Source: "{}\n"}},
			false, dogwoodcommand.ExitDifferent, "-{}", "the texts differ",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := runCommand(t, &fakeDaemon{handler: newHandler(t, test.routes)}, test.terminal, test.arguments...)
				if got.code != test.wantCode {
					t.Errorf("got code %d, want %d; %s", got.code, test.wantCode, got.err)
				}
				if !strings.Contains(got.out, test.wantOut) {
					t.Errorf("got output %q, want it to contain %q", got.out, test.wantOut)
				}
				if !strings.Contains(got.err, test.wantErr) {
					t.Errorf("got error %q, want it to contain %q", got.err, test.wantErr)
				}
			})
		})
	}
}

func TestNoDaemonAnswers(t *testing.T) {
	got := runCommand(t, &fakeDaemon{}, false, "status")
	if got.code != dogwoodcommand.ExitUnavailable {
		t.Errorf("got code %d, want %d", got.code, dogwoodcommand.ExitUnavailable)
	}
	if want := "no daemon answered at 10.0.0.1:1, 10.0.0.2:1"; !strings.Contains(got.err, want) {
		t.Errorf("got %q, want it to contain %q", got.err, want)
	}
}

// An operator shows the text and then edits and applies it twice. If apply did not write the
// new version to the first line of the file, the second apply would conflict with the first.
func TestApplyUpdatesBaseForNextEdit(t *testing.T) {
	file := filepath.Join(t.TempDir(), "text.jsonc")
	if err := os.WriteFile(file, []byte("// BasedOn: 6\n"+operatorsText), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := &fakeDaemon{handler: newHandler(t, map[string]any{
		"POST /admin/v1/text":  dogwoodadminapi.Accepted{Version: 7, Kept: true},
		"GET /admin/v1/status": currentStatus(),
	})}
	if got := runCommand(t, daemon, false, "apply", file); got.code != dogwoodcommand.ExitOK {
		t.Fatalf("got code %d: %s", got.code, got.err)
	}
	var sent dogwoodadminapi.Apply
	if err := json.Unmarshal([]byte(daemon.bodies[0]), &sent); err != nil {
		t.Fatal(err)
	}
	want := dogwoodadminapi.Apply{ID: "id-1", BasedOn: 6, Author: "tester", Source: operatorsText}
	if sent != want {
		t.Errorf("got %+v, want %+v", sent, want)
	}
	written, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(written), "// BasedOn: 7\n"+operatorsText; got != want {
		t.Errorf("got file %q, want %q", got, want)
	}
}

func TestApplyReportsPositionOfFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "text.jsonc")
	faulty := strings.Replace(operatorsText, `"ColdLimit": 1`, `"ColdLimt": 1`, 1)
	if err := os.WriteFile(file, []byte(faulty), 0o600); err != nil {
		t.Fatal(err)
	}
	got := runCommand(t, &fakeDaemon{}, false, "apply", "-based-on", "0", file)
	if got.code != dogwoodcommand.ExitInvalid {
		t.Errorf("got code %d, want %d", got.code, dogwoodcommand.ExitInvalid)
	}
	if want := file + ":4:3: Services[0].ColdLimt: is unknown"; !strings.Contains(got.err, want) {
		t.Errorf("got %q, want it to contain %q", got.err, want)
	}
}
