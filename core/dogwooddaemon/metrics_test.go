package dogwooddaemon

import (
	"expvar"
	"os"
	"strings"
	"testing"
)

// Every metric that a daemon exports must be described in docs/METRICS.md.
func TestMetricsPageNamesAllVariables(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	expvar.Do(func(variable expvar.KeyValue) {
		if variable.Key == "cmdline" || variable.Key == "memstats" {
			return
		}
		if !strings.Contains(string(page), "| "+variable.Key+" |") {
			t.Errorf("docs/METRICS.md: got no row of %s, want one", variable.Key)
		}
	})
}
