package dogwoodroot

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodmuxd/dogwoodfactory"
)

const goodSettings = `{
	"VM": "entry-1", "Region": "kyushu", "DataCentre": "fukuoka-a",
	"Serve": "10.0.0.1:8080", "Peer": "10.0.0.1:8081", "Admin": "10.0.0.1:8082",
	"Platform": {"Tables": "10.0.9.1:1", "Objects": "10.0.9.1:2", "VMs": "10.0.9.1:3", "Weights": "10.0.9.1:4"},
	"AdminKey": {"Value": "a"}, "PeerKey": {"Value": "p"},
}`

func TestSubcommands(t *testing.T) {
	files := map[string]string{
		"entry-1.jsonc": goodSettings,
		"wrong.jsonc":   strings.Replace(goodSettings, `"VM"`, `"VN"`, 1),
		"text.jsonc":    `{"Services": []}`,
	}
	tests := []struct {
		arguments string
		wantCode  int
		wantOut   string
		wantErr   string
	}{
		{"check --settings entry-1.jsonc", dogwoodsubcommand.ExitOK, "entry-1.jsonc: no faults", ""},
		{"check -settings wrong.jsonc", dogwoodsubcommand.ExitFailure, "", "2:2: VN: is unknown"},
		{"check -text text.jsonc", dogwoodsubcommand.ExitFailure, "", "Services: is missing or empty"},
		{"check -settings none.jsonc", dogwoodsubcommand.ExitFailure, "", "none.jsonc"},
		{"check", dogwoodsubcommand.ExitUsage, "", "give -settings FILE"},
		{"serve", dogwoodsubcommand.ExitUsage, "", "give -settings FILE"},
		{"serve --settings wrong.jsonc", dogwoodsubcommand.ExitFailure, "", "2:2: VN: is unknown"},
		{"version", dogwoodsubcommand.ExitOK, "dogwoodmuxd ", ""},
		{"help serve", dogwoodsubcommand.ExitOK, "Runs the daemon until a signal", ""},
	}
	for _, test := range tests {
		t.Run(test.arguments, func(t *testing.T) {
			var out, err bytes.Buffer
			factory := &dogwoodfactory.Factory{
				Out: &out, Err: &err,
				ReadFile: func(name string) ([]byte, error) {
					content, known := files[name]
					if !known {
						return nil, errors.New("no file " + name)
					}
					return []byte(content), nil
				},
			}
			if got := Run(factory, strings.Fields(test.arguments)); got != test.wantCode {
				t.Errorf("got code %d, want %d", got, test.wantCode)
			}
			if !strings.Contains(out.String(), test.wantOut) {
				t.Errorf("got output %q, want it to contain %q", out.String(), test.wantOut)
			}
			if !strings.Contains(err.String(), test.wantErr) {
				t.Errorf("got error %q, want it to contain %q", err.String(), test.wantErr)
			}
		})
	}
}
