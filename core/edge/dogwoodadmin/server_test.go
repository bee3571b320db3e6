package dogwoodadmin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/state/dogwoodchange"
)

const goodText = `{"Services": [{"Name": "desk", "Kind": "PlainService", "Deadline": "5s", "MaxDeadline": "1m", "ColdLimit": 1, "WarmLimit": 8}],
"Customers": [{"Name": "a", "Weight": 1, "KeySHA256": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]}`

// fakeChanges answers every Submit with the same result and records the submitted changes.
type fakeChanges struct {
	err       error
	accepted  dogwoodchange.Accepted
	submitted []dogwoodchange.Change
}

func (changes *fakeChanges) Submit(_ context.Context, change dogwoodchange.Change) (dogwoodchange.Accepted, error) {
	changes.submitted = append(changes.submitted, change)
	return changes.accepted, changes.err
}

func (changes *fakeChanges) Current() dogwoodchange.View {
	return dogwoodchange.View{Version: 9, TextVersion: 7, Source: []byte(goodText)}
}

func (changes *fakeChanges) Since(uint64) dogwoodchange.News {
	return dogwoodchange.News{Changes: []dogwoodchange.Change{{Version: 8, Kind: dogwoodchange.ApplyText, Author: "other"}}}
}

func send(changes *fakeChanges, method, path, key, body string) *httptest.ResponseRecorder {
	server := New(Options{
		Key:     "secret",
		Changes: changes,
		Ready:   func() error { return errors.New("the change log is not read yet") },
		Logger:  hclog.NewNullLogger(),
	})
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	return recorder
}

func applyBody(source string) string {
	body, err := json.Marshal(dogwoodadminapi.Apply{ID: "1", BasedOn: 7, Author: "me", Source: source})
	if err != nil {
		panic(err)
	}
	return string(body)
}

func TestResponses(t *testing.T) {
	takeOut := `{"ID": "1", "Author": "me", "DataCentre": "oita-c"}`
	tests := []struct {
		name               string
		method, path, key  string
		body               string
		err                error
		wantStatus         int
		wantKind, wantBody string
	}{
		{"no key", "GET", dogwoodadminapi.PathText, "", "", nil, 401, dogwoodadminapi.KindUnauthorized, ""},
		{"wrong key", "GET", dogwoodadminapi.PathText, "secre", "", nil, 401, dogwoodadminapi.KindUnauthorized, ""},
		{"metrics without a key", "GET", "/debug/vars", "", "", nil, 401, dogwoodadminapi.KindUnauthorized, ""},
		{"liveness without a key", "GET", "/healthz", "", "", nil, 200, "", "live"},
		{"not ready", "GET", "/readyz", "", "", nil, 503, dogwoodadminapi.KindNotReady, "not read yet"},
		{"no such path", "GET", "/admin/v2/text", "secret", "", nil, 404, dogwoodadminapi.KindNotFound, ""},
		{"text", "GET", dogwoodadminapi.PathText, "secret", "", nil, 200, "", `"Version":7`},
		{"invalid since", "GET", dogwoodadminapi.PathChanges + "?since=x", "secret", "", nil, 400, dogwoodadminapi.KindInvalid, ""},
		{"apply", "POST", dogwoodadminapi.PathText, "secret", applyBody(goodText), nil, 200, "", `"Version":8,"Kept":true`},
		{"apply with faults", "POST", dogwoodadminapi.PathText, "secret", applyBody("{}"), nil, 422, dogwoodadminapi.KindInvalid, "Services"},
		{"unknown field", "POST", dogwoodadminapi.PathText, "secret", `{"Sauce": ""}`, nil, 400, dogwoodadminapi.KindInvalid, "Sauce"},
		{"two values", "POST", dogwoodadminapi.PathTakeOuts, "secret", takeOut + takeOut, nil, 400, dogwoodadminapi.KindInvalid, ""},
		{"crossed", "POST", dogwoodadminapi.PathText, "secret", applyBody(goodText), &dogwoodchange.Conflict{BasedOn: 7, Current: 8}, 409, dogwoodadminapi.KindConflict, `"Author":"other"`},
		{"store down", "POST", dogwoodadminapi.PathText, "secret", applyBody(goodText), &dogwoodchange.Unavailable{Cause: errors.New("down")}, 503, dogwoodadminapi.KindUnavailable, "nothing was changed"},
		{"answer lost", "POST", dogwoodadminapi.PathText, "secret", applyBody(goodText), &dogwoodchange.Unknown{ID: "1", Cause: errors.New("lost")}, 504, dogwoodadminapi.KindUnknown, "may or may not"},
		{"unexpected error", "POST", dogwoodadminapi.PathText, "secret", applyBody(goodText), errors.New("odd"), 504, dogwoodadminapi.KindUnknown, "may or may not"},
		{"last endpoint of a service", "POST", dogwoodadminapi.PathTakeOuts, "secret", takeOut, &dogwoodchange.Refused{Reason: "desk would have no endpoint"}, 422, dogwoodadminapi.KindRefused, "no endpoint"},
		{"take-out without an ID", "POST", dogwoodadminapi.PathTakeOuts, "secret", `{"VM": "a"}`, nil, 400, dogwoodadminapi.KindInvalid, "ID is missing"},
		{"take-out of a VM and a data centre", "POST", dogwoodadminapi.PathTakeOuts, "secret", `{"ID": "1", "VM": "a", "DataCentre": "b"}`, nil, 400, dogwoodadminapi.KindInvalid, "either"},
		{"lift with a short digest", "POST", dogwoodadminapi.PathLifts, "secret", `{"ID": "1", "Digest": "ab"}`, nil, 400, dogwoodadminapi.KindInvalid, "64"},
		{"body too large", "POST", dogwoodadminapi.PathTakeOuts, "secret", `{"ID": "` + strings.Repeat("x", maxBodyBytes) + `"}`, nil, 413, dogwoodadminapi.KindTooLarge, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changes := &fakeChanges{err: test.err, accepted: dogwoodchange.Accepted{Version: 8, Kept: true}}
			got := send(changes, test.method, test.path, test.key, test.body)
			if got.Code != test.wantStatus {
				t.Errorf("got status %d, want %d: %s", got.Code, test.wantStatus, got.Body)
			}
			if !strings.Contains(got.Body.String(), test.wantBody) {
				t.Errorf("got %s, want it to contain %s", got.Body, test.wantBody)
			}
			if test.wantKind == "" {
				return
			}
			var problem dogwoodproblem.Problem
			if err := json.Unmarshal(got.Body.Bytes(), &problem); err != nil {
				t.Fatalf("got %s, want a problem: %v", got.Body, err)
			}
			if got := problem.Kind(); got != test.wantKind {
				t.Errorf("got kind %q, want %q", got, test.wantKind)
			}
		})
	}
}

func TestMoveSubmitsRequestedChange(t *testing.T) {
	tests := []struct {
		path string
		want dogwoodchange.Kind
	}{
		{dogwoodadminapi.PathTakeOuts, dogwoodchange.TakeOut},
		{dogwoodadminapi.PathBringBacks, dogwoodchange.BringBack},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			changes := &fakeChanges{}
			if got := send(changes, http.MethodPost, test.path, "secret", `{"ID": "1", "Author": "me", "VM": "engine-1", "Force": true}`); got.Code != http.StatusOK {
				t.Fatalf("got status %d, want 200: %s", got.Code, got.Body)
			}
			got := changes.submitted[0]
			if got.Kind != test.want || got.VM != "engine-1" || got.ID != "1" || got.Author != "me" || !got.Force {
				t.Errorf("got %+v, want kind %s of engine-1", got, test.want)
			}
		})
	}
}
