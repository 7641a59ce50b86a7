package node

import (
	"fmt"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// reportInterval is how often the scope reports changes to its reporter.
const reportInterval = 2 * time.Second

// latencyBuckets are the upper bounds of the latency histograms. They range from a
// round trip within a place to the longest attempt of a caller.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, time.Second, 3 * time.Second,
}

// Metrics serves counters, gauges and latency histograms in the Prometheus text
// format. It is a reporter of a tally scope itself, because the Prometheus exporter
// that package proc uses costs megabytes that small VMs do not have.
//
// Histograms differ from the Prometheus format: their buckets are not cumulative.
// Each bucket counts only the samples above the limit of the one before.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer

	mu     sync.Mutex
	values map[string]float64
	// lastCounts holds the values of the counters at the last collection.
	lastCounts map[string]uint64
	// collect updates the counters and gauges before each response.
	collect func(m *Metrics)
}

// NewMetrics returns metrics whose names begin with the prefix. collect is called
// before each response to update the counters and gauges.
func NewMetrics(prefix string, collect func(m *Metrics)) *Metrics {
	m := &Metrics{values: map[string]float64{}, lastCounts: map[string]uint64{}, collect: collect}
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{Prefix: prefix, Separator: "_", Reporter: (*scopeReporter)(m), OmitCardinalityMetrics: true}, reportInterval)
	return m
}

// Close reports the remaining changes and stops the scope.
func (m *Metrics) Close() error { return m.closer.Close() }

// Histogram returns the function that records a sample in a latency histogram.
func (m *Metrics) Histogram(name string) func(time.Duration) {
	return m.scope.Histogram(name, latencyBuckets).RecordDuration
}

// Counters sets a counter for each field of a struct of uint64 fields. Its name is
// the name of the field with the first letter in lower case.
func (m *Metrics) Counters(counts any) {
	v := reflect.ValueOf(counts)
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		m.Counter(strings.ToLower(name[:1])+name[1:], v.Field(i).Uint())
	}
}

// Counter sets a counter to its current value.
func (m *Metrics) Counter(name string, value uint64) {
	m.mu.Lock()
	delta := value - m.lastCounts[name]
	m.lastCounts[name] = value
	m.mu.Unlock()
	m.scope.Counter(name).Inc(int64(delta))
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// ServeHTTP implements http.Handler.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.collect(m)
	m.mu.Lock()
	lines := make([]string, 0, len(m.values))
	for name, v := range m.values {
		lines = append(lines, fmt.Sprintf("%s %g\n", name, v))
	}
	m.mu.Unlock()
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// A failed write means that the scraper closed the connection; it will retry.
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

// Handler serves the metrics at /metrics.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m)
	return mux
}

// scopeReporter stores the values that the scope reports.
type scopeReporter Metrics

func (r *scopeReporter) add(name string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] += v
}

// ReportCounter implements tally.StatsReporter.
func (r *scopeReporter) ReportCounter(name string, _ map[string]string, value int64) {
	r.add(name, float64(value))
}

// ReportGauge implements tally.StatsReporter.
func (r *scopeReporter) ReportGauge(name string, _ map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] = value
}

// ReportTimer implements tally.StatsReporter.
func (r *scopeReporter) ReportTimer(name string, _ map[string]string, d time.Duration) {
	r.add(name, d.Seconds())
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *scopeReporter) ReportHistogramValueSamples(name string, _ map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.add(fmt.Sprintf("%s_bucket{le=%q}", name, fmt.Sprint(upper)), float64(samples))
}

// ReportHistogramDurationSamples implements tally.StatsReporter. Buckets are not
// cumulative: each counts the samples above the limit of the one before.
func (r *scopeReporter) ReportHistogramDurationSamples(name string, _ map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	limit := upper.String()
	if upper > time.Hour {
		limit = "+Inf"
	}
	r.add(fmt.Sprintf("%s_bucket{le=%q}", name, limit), float64(samples))
}

// Capabilities implements tally.StatsReporter.
func (r *scopeReporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *scopeReporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *scopeReporter) Tagging() bool { return false }

// Flush implements tally.StatsReporter.
func (r *scopeReporter) Flush() {}

// Shared sets the counters that balancers and agents have in common: calls to the
// platform's store and dropped log lines.
func (m *Metrics) Shared(c *plat.Client, out *Output) {
	m.Counter("storeReads", c.Calls.Reads.Load())
	m.Counter("storeWrites", c.Calls.Writes.Load())
	m.Counter("storeWatches", c.Calls.Watches.Load())
	m.Counter("storeFailures", c.Calls.Failures.Load())
	m.Counter("storeOverBudget", c.Calls.OverBudget.Load())
	m.Counter("logLinesDropped", out.Dropped())
}
