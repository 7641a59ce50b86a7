// Package scrape serves the metrics of a process in the Prometheus text format. It
// works only while a page is built, and needs less memory than the Prometheus client
// library, which small VMs do not have.
package scrape

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// MaxSize is the largest size of a page in bytes. Metrics that do not fit are left out.
const MaxSize = 2 << 20

const separator = "_"

// sizeMargin is room for values that have grown since the page before.
const sizeMargin = 256

// Page serves the metrics of a tally scope, and counters and gauges that are set before
// each page. The scope has no reporter and no reporting interval, so its snapshot has
// the totals since the start.
type Page struct {
	scope  tally.TestScope
	closer io.Closer
	// prefix is the beginning of all names, with the separator.
	prefix string
	tags   map[string]string

	// building serializes pages, so that no page sets a counter to an earlier total
	// than the page before.
	building sync.Mutex

	mu      sync.Mutex
	collect []func()
	// families are sorted by name. They are kept between pages, because building them
	// for each page takes more memory than the page.
	families []*family
	byKey    map[familyKey]*family
	// help holds the texts of the HELP lines by name without prefix.
	help map[string]string
	// aliases holds the second names of histograms by full name.
	aliases map[string]string
	// sums holds the sums of the histograms in nanoseconds by full name. Tally keeps
	// only the buckets.
	sums map[string]*atomic.Int64
	// size is the expected size of the next page.
	size int
}

// New returns a page whose names begin with the prefix. All metrics have the tags.
func New(prefix string, tags map[string]string) *Page {
	p := &Page{
		prefix: prefix + separator, tags: tags, byKey: map[familyKey]*family{}, help: map[string]string{},
		aliases: map[string]string{}, sums: map[string]*atomic.Int64{},
	}
	s, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Tags: tags, Separator: separator, OmitCardinalityMetrics: true,
	}, 0)
	p.scope, p.closer = s.(tally.TestScope), closer
	return p
}

// Close closes the scope. The page is served until the process ends.
func (p *Page) Close() error { return p.closer.Close() }

// Scope returns the scope of the metrics. Histograms are added by Histogram only.
func (p *Page) Scope() tally.Scope { return p.scope }

// OnScrape adds a function that is called before each page. It sets the values that
// are not kept up to date.
func (p *Page) OnScrape(set func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collect = append(p.collect, set)
}

// Describe sets the text of a HELP line.
func (p *Page) Describe(name, help string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.help[name] = help
}

// Total sets a counter to its total. The total never decreases.
func (p *Page) Total(name string, tags map[string]string, total uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sample(p.fullName(name), counter, p.labels(tags)).total = total
}

// Gauge sets a gauge.
func (p *Page) Gauge(name string, tags map[string]string, value float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sample(p.fullName(name), gauge, p.labels(tags)).value = value
}

// labels returns the labels of a metric with the given tags and those of the page.
func (p *Page) labels(tags map[string]string) string {
	if len(p.tags) == 0 {
		return labels(tags, "")
	}
	all := maps.Clone(p.tags)
	maps.Copy(all, tags)
	return labels(all, "")
}

// Histogram adds a histogram of times and returns the function that records a sample.
func (p *Page) Histogram(name string, buckets tally.DurationBuckets) func(time.Duration) {
	h, sum := p.scope.Histogram(name, buckets), new(atomic.Int64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sums[p.fullName(name)] = sum
	return func(d time.Duration) {
		h.RecordDuration(d)
		sum.Add(int64(d))
	}
}

// Alias serves a histogram under a second name too.
func (p *Page) Alias(second, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aliases[p.fullName(name)] = p.fullName(second)
}

func (p *Page) fullName(name string) string { return p.prefix + name }

// ServeHTTP implements http.Handler.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	// A failed write means that the scraper closed the connection; it will retry.
	_, _ = w.Write(p.build())
}

// build returns a page of the present values.
func (p *Page) build() []byte {
	p.building.Lock()
	defer p.building.Unlock()
	p.mu.Lock()
	collect := p.collect
	p.mu.Unlock()
	for _, set := range collect {
		set()
	}
	s := p.scope.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.take(s)
	b := make([]byte, 0, p.size)
	for _, f := range p.families {
		before := len(b)
		b = f.append(b, p.help[strings.TrimPrefix(f.name, p.prefix)])
		if len(b) > MaxSize {
			b = b[:before]
		}
	}
	p.size = len(b) + sizeMargin
	return b
}
