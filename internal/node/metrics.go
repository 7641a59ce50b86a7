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

// reportInterval is how often the scope passes changes on to the page.
const reportInterval = 2 * time.Second

// waitBuckets are the limits of the latency histograms: from a round trip within
// a place to the longest attempt of a caller.
var waitBuckets = tally.DurationBuckets{
	time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, time.Second, 3 * time.Second,
}

// Metrics is a page of counters, gauges and latency histograms. It takes them
// from a tally scope without the exporter of the other roles, which costs
// megabytes that small VMs do not have.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer

	mu     sync.Mutex
	values map[string]float64
	// seen are the counters at the last collection.
	seen map[string]uint64
	// collect updates counters and gauges before the page is written.
	collect func(m *Metrics)
}

// NewMetrics returns a page whose names begin with the prefix.
func NewMetrics(prefix string, collect func(m *Metrics)) *Metrics {
	m := &Metrics{values: map[string]float64{}, seen: map[string]uint64{}, collect: collect}
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{Prefix: prefix, Separator: "_", Reporter: (*pageReporter)(m), OmitCardinalityMetrics: true}, reportInterval)
	return m
}

// Close ends the reports of the scope.
func (m *Metrics) Close() error { return m.closer.Close() }

// Histogram returns a latency histogram.
func (m *Metrics) Histogram(name string) func(time.Duration) {
	return m.scope.Histogram(name, waitBuckets).RecordDuration
}

// Counters sets the counters of a struct of uint64 fields.
func (m *Metrics) Counters(counts any) {
	v := reflect.ValueOf(counts)
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		m.Counter(strings.ToLower(name[:1])+name[1:], v.Field(i).Uint())
	}
}

// Counter sets a counter to its present value.
func (m *Metrics) Counter(name string, value uint64) {
	m.mu.Lock()
	delta := value - m.seen[name]
	m.seen[name] = value
	m.mu.Unlock()
	m.scope.Counter(name).Inc(int64(delta))
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// ServeHTTP writes the page.
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
	// A failed write means that the reader has hung up; it asks again.
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

// Handler serves the page below its path.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m)
	return mux
}

// pageReporter keeps what the scope reports.
type pageReporter Metrics

func (r *pageReporter) add(name string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] += v
}

// ReportCounter implements tally.StatsReporter.
func (r *pageReporter) ReportCounter(name string, _ map[string]string, value int64) {
	r.add(name, float64(value))
}

// ReportGauge implements tally.StatsReporter.
func (r *pageReporter) ReportGauge(name string, _ map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] = value
}

// ReportTimer implements tally.StatsReporter.
func (r *pageReporter) ReportTimer(name string, _ map[string]string, d time.Duration) {
	r.add(name, d.Seconds())
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *pageReporter) ReportHistogramValueSamples(name string, _ map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.add(fmt.Sprintf("%s_bucket{le=%q}", name, fmt.Sprint(upper)), float64(samples))
}

// ReportHistogramDurationSamples implements tally.StatsReporter. A bucket counts
// the samples between its limit and the one before.
func (r *pageReporter) ReportHistogramDurationSamples(name string, _ map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	limit := upper.String()
	if upper > time.Hour {
		limit = "+Inf"
	}
	r.add(fmt.Sprintf("%s_bucket{le=%q}", name, limit), float64(samples))
}

// Capabilities implements tally.StatsReporter.
func (r *pageReporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *pageReporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *pageReporter) Tagging() bool { return false }

// Flush implements tally.StatsReporter.
func (r *pageReporter) Flush() {}

// Shared sets the counters that all processes have: calls to the platform's store
// and dropped log lines.
func (m *Metrics) Shared(c *plat.Client, out *Output) {
	m.Counter("storeReads", c.Calls.Reads.Load())
	m.Counter("storeWrites", c.Calls.Writes.Load())
	m.Counter("storeWatches", c.Calls.Watches.Load())
	m.Counter("storeFailures", c.Calls.Failures.Load())
	m.Counter("storeOverBudget", c.Calls.OverBudget.Load())
	m.Counter("logLinesDropped", out.Dropped())
}
