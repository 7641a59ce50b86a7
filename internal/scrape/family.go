package scrape

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// kind is the type of a family in the Prometheus text format.
type kind string

const (
	counter   kind = "counter"
	gauge     kind = "gauge"
	histogram kind = "histogram"
)

// family holds the lines of one name.
type family struct {
	name, help string
	kind       kind
	// samples has the lines of one set of labels in each element.
	samples []string
}

// familyKey separates families of the same name, so that a name which is used for two
// kinds leads to two TYPE lines, which a parser refuses.
type familyKey struct {
	name string
	kind kind
}

// families returns the present metrics sorted by name.
func (p *Page) families() []*family {
	s := p.scope.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[familyKey]*family{}
	add := func(name string, k kind, samples string) {
		f := all[familyKey{name, k}]
		if f == nil {
			f = &family{name: name, help: p.help[name], kind: k}
			all[familyKey{name, k}] = f
		}
		f.samples = append(f.samples, samples)
	}
	for _, c := range s.Counters() {
		add(c.Name(), counter, c.Name()+labels(c.Tags(), "")+" "+strconv.FormatInt(c.Value(), 10)+"\n")
	}
	for _, g := range s.Gauges() {
		add(g.Name(), gauge, g.Name()+labels(g.Tags(), "")+" "+number(g.Value())+"\n")
	}
	for _, h := range s.Histograms() {
		sum := time.Duration(p.sums[h.Name()].Load())
		add(h.Name(), histogram, histogramLines(h.Name(), h, sum))
		if second, ok := p.aliases[h.Name()]; ok {
			add(second, histogram, histogramLines(second, h, sum))
			all[familyKey{second, histogram}].help = "Old name of " + h.Name() + "."
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b *family) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.kind, b.kind))
	})
}

// histogramLines returns the cumulative buckets of a histogram with sum and count, in
// seconds.
func histogramLines(name string, h tally.HistogramSnapshot, sum time.Duration) string {
	var b strings.Builder
	line := func(suffix, le, value string) {
		b.WriteString(name + suffix + labels(h.Tags(), le) + " " + value + "\n")
	}
	var count int64
	samples := h.Durations()
	for _, upper := range slices.Sorted(maps.Keys(samples)) {
		count += samples[upper]
		limit := number(upper.Seconds())
		if upper == math.MaxInt64 {
			limit = "+Inf"
		}
		line("_bucket", limit, strconv.FormatInt(count, 10))
	}
	line("_sum", "", number(sum.Seconds()))
	line("_count", "", strconv.FormatInt(count, 10))
	return b.String()
}

// labels returns tags as labels sorted by name, and the limit of a bucket if it is not
// empty.
func labels(tags map[string]string, le string) string {
	if len(tags) == 0 && le == "" {
		return ""
	}
	parts := make([]string, 0, len(tags)+1)
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k+`="`+valueEscapes.Replace(tags[k])+`"`)
	}
	if le != "" {
		parts = append(parts, `le="`+le+`"`)
	}
	return "{" + strings.Join(parts, ",") + "}"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

var (
	valueEscapes = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
	helpEscapes  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
)

// head returns the HELP and TYPE lines. There is no HELP line without a text.
func (f *family) head() string {
	t := "# TYPE " + f.name + " " + string(f.kind) + "\n"
	if f.help == "" {
		return t
	}
	return "# HELP " + f.name + " " + helpEscapes.Replace(f.help) + "\n" + t
}

func (f *family) size() int {
	n := len(f.head())
	for _, s := range f.samples {
		n += len(s)
	}
	return n
}

func (f *family) write(b *strings.Builder) {
	b.WriteString(f.head())
	slices.Sort(f.samples)
	for _, s := range f.samples {
		b.WriteString(s)
	}
}
