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

// family holds the metrics of one name.
type family struct {
	familyKey
	// samples are sorted by labels.
	samples []*sample
}

// familyKey separates families of the same name, so that a name which is used for two
// kinds leads to two TYPE lines, which a parser refuses.
type familyKey struct {
	name string
	kind kind
}

// sample is the present value of one set of labels.
type sample struct {
	// labels are written as on the page; they are empty or in braces.
	labels string
	// total is set for counters, value for gauges and buckets and sum for histograms.
	total   uint64
	value   float64
	buckets []bucket
	sum     time.Duration
}

// bucket is a bucket of a histogram.
type bucket struct {
	upper time.Duration
	// labels are those of the line, with the limit in seconds.
	labels string
	// count is the number of samples up to the limit, also of the buckets below.
	count uint64
}

// sample returns the sample of a name and labels, which it adds if there is none.
func (p *Page) sample(name string, k kind, labels string) *sample {
	key := familyKey{name, k}
	f := p.byKey[key]
	if f == nil {
		f = &family{familyKey: key}
		p.byKey[key] = f
		i, _ := slices.BinarySearchFunc(p.families, name, func(f *family, name string) int { return cmp.Compare(f.name, name) })
		p.families = slices.Insert(p.families, i, f)
	}
	i, ok := slices.BinarySearchFunc(f.samples, labels, func(s *sample, labels string) int { return cmp.Compare(s.labels, labels) })
	if !ok {
		f.samples = slices.Insert(f.samples, i, &sample{labels: labels})
	}
	return f.samples[i]
}

// take copies the present values of the scope.
func (p *Page) take(s tally.Snapshot) {
	for _, c := range s.Counters() {
		p.sample(c.Name(), counter, labels(c.Tags(), "")).total = uint64(c.Value())
	}
	for _, g := range s.Gauges() {
		p.sample(g.Name(), gauge, labels(g.Tags(), "")).value = g.Value()
	}
	for _, h := range s.Histograms() {
		sum := time.Duration(p.sums[h.Name()].Load())
		p.sample(h.Name(), histogram, labels(h.Tags(), "")).takeHistogram(h, sum)
		if second, ok := p.aliases[h.Name()]; ok {
			p.sample(second, histogram, labels(h.Tags(), "")).takeHistogram(h, sum)
			p.help[strings.TrimPrefix(second, p.prefix)] = "Old name of " + h.Name() + "."
		}
	}
}

// takeHistogram copies the present values of a histogram.
func (s *sample) takeHistogram(h tally.HistogramSnapshot, sum time.Duration) {
	samples := h.Durations()
	if s.buckets == nil {
		for _, upper := range slices.Sorted(maps.Keys(samples)) {
			limit := strconv.FormatFloat(upper.Seconds(), 'g', -1, 64)
			if upper == math.MaxInt64 {
				limit = "+Inf"
			}
			s.buckets = append(s.buckets, bucket{upper: upper, labels: labels(h.Tags(), limit)})
		}
	}
	count := uint64(0)
	for i := range s.buckets {
		count += uint64(samples[s.buckets[i].upper])
		s.buckets[i].count = count
	}
	s.sum = sum
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

var (
	valueEscapes = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
	helpEscapes  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
)

// append appends the HELP, TYPE and sample lines. There is no HELP line without a text.
func (f *family) append(b []byte, help string) []byte {
	if help != "" {
		b = join(b, "# HELP ", f.name, " ", helpEscapes.Replace(help), "\n")
	}
	b = join(b, "# TYPE ", f.name, " ", string(f.kind), "\n")
	for _, s := range f.samples {
		b = s.append(b, f.familyKey)
	}
	return b
}

func (s *sample) append(b []byte, k familyKey) []byte {
	switch k.kind {
	case counter:
		b = strconv.AppendUint(join(b, k.name, s.labels, " "), s.total, 10)
	case gauge:
		b = strconv.AppendFloat(join(b, k.name, s.labels, " "), s.value, 'g', -1, 64)
	case histogram:
		count := uint64(0)
		for _, u := range s.buckets {
			count = u.count
			b = append(strconv.AppendUint(join(b, k.name, "_bucket", u.labels, " "), count, 10), '\n')
		}
		b = append(strconv.AppendFloat(join(b, k.name, "_sum", s.labels, " "), s.sum.Seconds(), 'g', -1, 64), '\n')
		b = strconv.AppendUint(join(b, k.name, "_count", s.labels, " "), count, 10)
	}
	return append(b, '\n')
}

// join appends strings without a copy of their sum.
func join(b []byte, parts ...string) []byte {
	for _, s := range parts {
		b = append(b, s...)
	}
	return b
}
