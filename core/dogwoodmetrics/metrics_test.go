package dogwoodmetrics

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestText(t *testing.T) {
	counters := expvar.NewMap("MetricsTest")
	counters.Add("Answered", 3)
	registry := New()
	registry.Gauge("TextVersion", func() float64 { return 7 })
	registry.LabelledGauge("CustomerUse seconds", func() map[string]float64 { return map[string]float64{"a": 1.5, "b": 2} })
	for range 99 {
		registry.Observe("FirstToken", "UpTo8k", 100*time.Millisecond)
	}
	registry.Observe("FirstToken", "UpTo8k", time.Hour)
	recorder := httptest.NewRecorder()
	registry.ServeHTTP(recorder, nil)
	got := recorder.Body.String()
	for _, want := range []string{
		"MetricsTest{Answered} 3\n", "TextVersion 7\n", "CustomerUse seconds{a} 1.5\nCustomerUse seconds{b} 2\n", "FirstToken{UpTo8k} count 100\n", "FirstToken{UpTo8k} p50 seconds 0.1",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("got %s, want it to contain %q", got, want)
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	registry := New()
	b.ReportAllocs()
	for b.Loop() {
		registry.Observe("FirstToken", "UpTo8k", 100*time.Millisecond)
	}
}
