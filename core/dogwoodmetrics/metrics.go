// Package dogwoodmetrics holds latency histograms and gauges and writes them, with the
// counters of expvar, as text. Each line has the name, the label and the value of a metric.
package dogwoodmetrics

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minDuration and maxDuration are the range of a histogram and significantDigits is its
	// precision. With two digits over this range, a histogram takes about 20 kB.
	minDuration       = time.Millisecond
	maxDuration       = 2 * time.Minute
	significantDigits = 2
)

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	mutex      sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	gauges     map[string]func() float64
	// labelledGauges returns the gauges' values by label.
	labelledGauges map[string]func() map[string]float64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{histograms: map[string]*hdrhistogram.Histogram{}, gauges: map[string]func() float64{}, labelledGauges: map[string]func() map[string]float64{}}
}

// Observe adds a duration to the histogram with the name and the label.
func (registry *Registry) Observe(name, label string, duration time.Duration) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	key := labelled(name, label)
	histogram := registry.histograms[key]
	if histogram == nil {
		histogram = hdrhistogram.New(int64(minDuration), int64(maxDuration), significantDigits)
		registry.histograms[key] = histogram
	}
	_ = histogram.RecordValue(int64(min(max(duration, minDuration), maxDuration))) // the value is within the histogram's range
}

// Gauge registers a function that returns the gauge's value each time the metrics are read.
func (registry *Registry) Gauge(name string, read func() float64) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.gauges[name] = read
}

// LabelledGauge registers a function that returns the gauge's values by label each time the metrics are read. It returns few
// labels.
func (registry *Registry) LabelledGauge(name string, read func() map[string]float64) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.labelledGauges[name] = read
}

func labelled(name, label string) string {
	if label == "" {
		return name
	}
	return fmt.Sprintf("%s{%s}", name, label)
}

// ServeHTTP writes all metrics.
func (registry *Registry) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	registry.write(writer)
}

func (registry *Registry) write(writer io.Writer) {
	writeLine := func(name string, value any) {
		_, _ = fmt.Fprintf(writer, "%s %v\n", name, value) // the reader may have disconnected
	}
	expvar.Do(func(variable expvar.KeyValue) {
		switch value := variable.Value.(type) {
		case *expvar.Int:
			writeLine(variable.Key, value.Value())
		case *expvar.Map:
			value.Do(func(entry expvar.KeyValue) { writeLine(labelled(variable.Key, entry.Key), entry.Value.String()) })
		}
	})
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(registry.gauges)) {
		writeLine(name, registry.gauges[name]())
	}
	for _, name := range slices.Sorted(maps.Keys(registry.labelledGauges)) {
		values := registry.labelledGauges[name]()
		for _, label := range slices.Sorted(maps.Keys(values)) {
			writeLine(labelled(name, label), values[label])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(registry.histograms)) {
		histogram := registry.histograms[name]
		writeLine(name+" count", histogram.TotalCount())
		for _, quantile := range []float64{50, 90, 99} {
			writeLine(fmt.Sprintf("%s p%.0f seconds", name, quantile), time.Duration(histogram.ValueAtQuantile(quantile)).Seconds())
		}
		writeLine(name+" max seconds", time.Duration(histogram.Max()).Seconds())
	}
}
