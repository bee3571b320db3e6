package dogwoodsettings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

const goodText = `{
	// Two services.
	"Services": [
		{
			"Name": "pool", "Kind": "EnginePool",
			"Deadline": "30s", "MaxDeadline": "10m",
			"ColdLimit": 2, "WarmLimit": 16,
			"Models": [{"Name": "draft", "Version": "1", "Replicas": 4}],
			"Objectives": {"InTime": 0.999, "FirstToken": [{"UpToTokens": 1000, "Within": "1s", "Share": 0.95}]},
		},
		{
			"Name": "desk", "Kind": "PlainService", "DependsOn": ["pool"],
			"Deadline": "5s", "MaxDeadline": "1m",
			"ColdLimit": 2, "WarmLimit": 16,
			"Calls": [{"Method": "POST", "Path": "/holds/{ID}", "Repeatable": false}],
		},
	],
	"Customers": [{"Name": "a", "Weight": 1, "KeySHA256": ["` + digestA + `"]}],
}`

const (
	digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func TestParseGoodText(t *testing.T) {
	text, err := ParseText([]byte(goodText))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := time.Duration(text.Services[0].Deadline), 30*time.Second; got != want {
		t.Errorf("got deadline %s, want %s", got, want)
	}
	if got, want := len(text.Customers), 1; got != want {
		t.Errorf("got %d customers, want %d", got, want)
	}
}

// Each mistake in a text must be reported with its line, column and field. If an unknown or repeated
// field were ignored, a default or an unintended value would take effect without notice.
func TestParseTextProblems(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"broken JSON", `"Services": [`, `"Services": [[`, "line"},
		{"unknown field", `"ColdLimit": 2, "WarmLimit": 16,
			"Models"`, `"ColdLimi": 2, "WarmLimit": 16,
			"Models"`, `7:4: Services[0].ColdLimi: is unknown`},
		{"repeated field", `"Kind": "EnginePool"`, `"Kind": "EnginePool", "Kind": "EnginePool"`, "5:42: Services[0].Kind: is given twice"},
		{"wrong type", `"Replicas": 4`, `"Replicas": "4"`, `8:61: Services[0].Models[0].Replicas: is "4", where a whole number belongs`},
		{"null", `"Replicas": 4`, `"Replicas": null`, `Services[0].Models[0].Replicas: is null`},
		{"bad duration", `"Deadline": "30s"`, `"Deadline": "30"`, `6:16: Services[0].Deadline: "30" is no duration`},
		{"deadline above MaxDeadline", `"Deadline": "30s"`, `"Deadline": "30m"`, "Services[0].Deadline: 30m0s is beyond MaxDeadline 10m0s"},
		{"missing", `"ColdLimit": 2, "WarmLimit": 16,
			"Calls"`, `"WarmLimit": 16,
			"Calls"`, "Services[1].ColdLimit: must be from 1"},
		{"unknown dependency", `"DependsOn": ["pool"]`, `"DependsOn": ["pol"]`, `12:58: Services[1].DependsOn[0]: no service is named "pol"`},
		{"cycle", `"Kind": "EnginePool",`, `"Kind": "EnginePool", "DependsOn": ["desk"],`, "the services depend on each other: pool -> desk -> pool"},
		{"repeated service", `"Name": "desk"`, `"Name": "pool"`, `"pool" names two services`},
		{"unknown kind", `"Kind": "PlainService"`, `"Kind": "Plain"`, "Services[1].Kind"},
		{"bad pattern", `"/holds/{ID}"`, `"/holds/{ID"`, "Services[1].Calls[0].Path"},
		{"objective above 1", `"InTime": 0.999`, `"InTime": 99.9`, "Services[0].Objectives.InTime"},
		{"bad name", `"Name": "a"`, `"Name": "a b"`, "Customers[0].Name"},
		{"short digest", digestA, digestA[1:], "64 hexadecimal digits"},
		{
			"key of two customers", `"Customers": [`, `"Customers": [{"Name": "b", "Weight": 1, "KeySHA256": ["` + strings.ToUpper(digestA) + `"]},`,
			`is a key of customer "b" too`,
		},
		{"weight", `"Weight": 1`, `"Weight": 0`, "Customers[0].Weight: must be above 0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			source := strings.Replace(goodText, test.old, test.new, 1)
			if source == goodText {
				t.Fatal("the replacement changes nothing")
			}
			_, err := ParseText([]byte(source))
			var problems *Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want *Problems", err)
			}
			if got := err.Error(); !strings.Contains(got, test.want) {
				t.Errorf("got %s\nwant it to contain %s", got, test.want)
			}
		})
	}
}

const goodDaemon = `{
	"VM": "entry-1", "Region": "kyushu", "DataCentre": "fukuoka-a",
	"Serve": "10.0.0.1:8080", "Peer": "10.0.0.1:8081", "Admin": "10.0.0.1:8082",
	"Platform": {"Tables": "10.0.9.1:1", "Objects": "10.0.9.1:2", "VMs": "10.0.9.1:3", "Weights": "10.0.9.1:4"},
	"AdminKey": {"Environment": "DOGWOOD_ADMIN_KEY"}, "PeerKey": {"Value": "secret"},
}`

func TestParseDaemonProblems(t *testing.T) {
	if _, err := ParseDaemon([]byte(goodDaemon)); err != nil {
		t.Fatalf("got %v for good settings", err)
	}
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"clash", `"10.0.0.1:8081"`, `"10.0.0.1:8080"`, "3:36: Peer: 10.0.0.1:8080 is the address of Serve too"},
		{"unspecified", `"10.0.0.1:8080"`, `"0.0.0.0:8080"`, "can't be dialled by others"},
		{"not an address", `"10.0.0.1:8080"`, `"example"`, "3:11: Serve:"},
		{"no platform", `"Tables": "10.0.9.1:1", `, ``, "Platform.Tables: is missing"},
		{"two sources of a key", `{"Value": "secret"}`, `{"Value": "secret", "File": "x"}`, "PeerKey: needs exactly one of Value, File, Environment; 2 are given"},
		{"policy", `"VM": "entry-1"`, `"VM": "entry-1", "Policy": "Best"`, `Policy: is "Best"`},
		{"unknown log level", `"VM": "entry-1"`, `"VM": "entry-1", "LogLevel": "loud"`, `LogLevel: is "loud"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			source := strings.Replace(goodDaemon, test.old, test.new, 1)
			_, err := ParseDaemon([]byte(source))
			if err == nil {
				t.Fatal("got no error")
			}
			if got := err.Error(); !strings.Contains(got, test.want) {
				t.Errorf("got %s\nwant it to contain %s", got, test.want)
			}
		})
	}
}

func TestSecretRead(t *testing.T) {
	t.Setenv("DOGWOOD_TEST_KEY", "from-environment")
	t.Setenv("DOGWOOD_EMPTY_KEY", "")
	tests := []struct {
		name    string
		secret  Secret
		want    string
		wantErr bool
	}{
		{"value", Secret{Value: "plain"}, "plain", false},
		{"environment", Secret{Environment: "DOGWOOD_TEST_KEY"}, "from-environment", false},
		{"empty environment", Secret{Environment: "DOGWOOD_EMPTY_KEY"}, "", true},
		{"missing file", Secret{File: t.TempDir() + "/none"}, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.secret.Read()
			if got != test.want || (err != nil) != test.wantErr {
				t.Errorf("got %q, %v, want %q, error %v", got, err, test.want, test.wantErr)
			}
		})
	}
}

// TestDocumentedExamples parses the examples in docs/SETTINGS.md: the daemon's settings
// first, then the operators' text.
func TestDocumentedExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```jsonc\n")
	if got, want := len(blocks), 3; got != want {
		t.Fatalf("got %d parts, want %d", got, want)
	}
	daemon, _, _ := strings.Cut(blocks[1], "```")
	if _, err := ParseDaemon([]byte(daemon)); err != nil {
		t.Errorf("got %v for the daemon's settings", err)
	}
	text, _, _ := strings.Cut(blocks[2], "```")
	if _, err := ParseText([]byte(text)); err != nil {
		t.Errorf("got %v for the operators' text", err)
	}
}
