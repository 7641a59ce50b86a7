package node

import (
	"net/http"
	"reflect"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bramleycourse/bramleycourse/internal/field"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/scrape"
)

// latencyBuckets are the upper bounds of the latency histograms. They range from a
// round trip within a place to the longest attempt of a caller.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, time.Second, 3 * time.Second,
}

// Metrics serves counters, gauges and latency histograms in the Prometheus text
// format.
type Metrics struct{ page *scrape.Page }

// NewMetrics returns metrics whose names begin with the prefix. collect is called
// before each response to update the counters and gauges.
func NewMetrics(prefix string, collect func(m *Metrics)) *Metrics {
	m := &Metrics{scrape.New(prefix, nil)}
	m.page.OnScrape(func() { collect(m) })
	return m
}

// Close closes the scope of the metrics.
func (m *Metrics) Close() error { return m.page.Close() }

// Histogram returns the function that records a sample in a latency histogram. The
// name ends in Seconds; the histogram is also served without this suffix, which was
// its name before.
func (m *Metrics) Histogram(name, help string) func(time.Duration) {
	m.page.Describe(name, help)
	m.page.Alias(strings.TrimSuffix(name, "Seconds"), name)
	return m.page.Histogram(name, latencyBuckets)
}

// Counters sets a counter for each field of a struct of uint64 fields. Its name is
// that of the tag "metric" or else the name of the field with the first letter in lower
// case, its help text that of the tag "help".
func (m *Metrics) Counters(counts any) {
	v := reflect.ValueOf(counts)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, ok := f.Tag.Lookup("metric")
		if !ok {
			name = strings.ToLower(f.Name[:1]) + f.Name[1:]
		}
		m.Counter(name, f.Tag.Get("help"), v.Field(i).Uint())
	}
}

// Counter sets a counter to its current value.
func (m *Metrics) Counter(name, help string, value uint64) {
	m.page.Describe(name, help)
	m.page.Total(name, nil, value)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name, help string, value float64) {
	m.page.Describe(name, help)
	m.page.Gauge(name, nil, value)
}

// Refusals sets the counters of refused documents, one for each reason.
func (m *Metrics) Refusals(prefix, documents string, r *field.Refusals) {
	for why, name := range map[field.Reason]string{
		field.Malformed: "Malformed", field.Missing: "MissingField", field.WrongType: "OtherType", field.OutOfRange: "OutOfRange",
	} {
		m.Counter(prefix+name, documents+" that were refused, of which one field or the whole "+why.String()+".", r.Count(why))
	}
}

// Handler serves the metrics at /metrics.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.page)
	return mux
}

// Shared sets the counters that balancers and agents have in common: calls to the
// platform's store and dropped log lines.
func (m *Metrics) Shared(c *plat.Client, out *Output) {
	m.Counter("storeReads", "Reads of the store.", c.Calls.Reads.Load())
	m.Counter("storeWrites", "Writes to the store.", c.Calls.Writes.Load())
	m.Counter("storeWatches", "Watches of the store.", c.Calls.Watches.Load())
	m.Counter("storeFailures", "Calls to the store that failed.", c.Calls.Failures.Load())
	m.Counter("storeOverBudget", "Calls to the store that brought nothing new and were above the budget.", c.Calls.OverBudget.Load())
	m.Refusals("store", "Objects of the store", &c.Refused)
	m.Counter("logLinesDropped", "Log lines that were counted in place of written.", out.Dropped())
}
