// Package strict reads pages of metrics in tests with the parser of the Prometheus
// client libraries and checks the rules of the format that the parser does not check.
package strict

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/bramleycourse/bramleycourse/internal/scrape"
)

// Page holds the families of a page by name.
type Page map[string]*dto.MetricFamily

// Get requests /metrics from a handler and checks the page.
func Get(t testing.TB, h http.Handler) Page {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if f := expfmt.ResponseFormat(w.Header()); f.FormatType() != expfmt.TypeTextPlain {
		t.Errorf("want the text format, have Content-Type %q", w.Header().Get("Content-Type"))
	}
	if w.Body.Len() == 0 || w.Body.Len() > scrape.MaxSize {
		t.Errorf("want a page of 1 to %d bytes, have %d", scrape.MaxSize, w.Body.Len())
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	p, err := parser.TextToMetricFamilies(w.Body)
	if err != nil {
		t.Fatalf("the page cannot be parsed: %v", err)
	}
	for name, f := range p {
		checkFamily(t, name, f)
	}
	return p
}

func checkFamily(t testing.TB, name string, f *dto.MetricFamily) {
	t.Helper()
	if f.GetHelp() == "" {
		t.Errorf("%s has no HELP line; see the tags of Counts and the calls of Metrics", name)
	}
	if f.GetType() == dto.MetricType_UNTYPED {
		t.Errorf("%s has no TYPE line", name)
	}
	seen := map[string]bool{}
	for _, m := range f.GetMetric() {
		k := key(m)
		if seen[k] {
			t.Errorf("%s{%s} is on the page twice", name, k)
		}
		seen[k] = true
		if h := m.GetHistogram(); h != nil {
			checkHistogram(t, name, h)
		}
	}
}

func checkHistogram(t testing.TB, name string, h *dto.Histogram) {
	t.Helper()
	if h.SampleCount == nil || h.SampleSum == nil {
		t.Errorf("%s has no sum or no count", name)
	}
	limit, count := math.Inf(-1), uint64(0)
	for _, b := range h.GetBucket() {
		if b.GetUpperBound() <= limit || b.GetCumulativeCount() < count {
			t.Errorf("%s: bucket %g with %d samples follows bucket %g with %d", name, b.GetUpperBound(), b.GetCumulativeCount(), limit, count)
		}
		limit, count = b.GetUpperBound(), b.GetCumulativeCount()
	}
	if !math.IsInf(limit, 1) || count != h.GetSampleCount() {
		t.Errorf("%s: want %d samples up to infinity, have %d up to %g", name, h.GetSampleCount(), count, limit)
	}
}

// key returns the labels of a metric as "a=x,b=y", in the order of the page.
func key(m *dto.Metric) string {
	var parts []string
	for _, l := range m.GetLabel() {
		parts = append(parts, l.GetName()+"="+l.GetValue())
	}
	return strings.Join(parts, ",")
}

// Want checks the value of a counter or gauge. Its labels are written as "a=x,b=y"
// in alphabetic order.
func (p Page) Want(t testing.TB, name, labels string, kind dto.MetricType, want float64) {
	t.Helper()
	f := p[name]
	for _, m := range f.GetMetric() {
		if key(m) != labels {
			continue
		}
		if have := m.GetCounter().GetValue() + m.GetGauge().GetValue(); f.GetType() != kind || have != want {
			t.Errorf("%s{%s}: want %v %g, have %v %g", name, labels, kind, want, f.GetType(), have)
		}
		return
	}
	t.Errorf("%s{%s} is not on the page", name, labels)
}
