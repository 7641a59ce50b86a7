package node

import (
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/bramleycourse/bramleycourse/internal/scrape/strict"
)

// TestFirstPage checks that the first page has the present values, and counters that
// have not counted yet.
func TestFirstPage(t *testing.T) {
	m := NewMetrics("agent", func(m *Metrics) {
		m.Counters(struct {
			Opened  uint64 `help:"Opened."`
			Refused uint64 `help:"Refused." metric:"turnedAway"`
		}{3, 0})
		m.Gauge("depth", "Depth.", 7)
	})
	have := strict.Get(t, m.Handler())
	have.Want(t, "agent_opened", "", dto.MetricType_COUNTER, 3)
	have.Want(t, "agent_turnedAway", "", dto.MetricType_COUNTER, 0)
	have.Want(t, "agent_depth", "", dto.MetricType_GAUGE, 7)
}

// TestPageIsCurrent checks that a page shows the state at its own request, not that at
// the request before.
func TestPageIsCurrent(t *testing.T) {
	n := uint64(0)
	m := NewMetrics("agent", func(m *Metrics) {
		m.Counter("opened", "Opened.", n)
		m.Gauge("depth", "Depth.", float64(n))
	})
	for n = range 4 {
		have := strict.Get(t, m.Handler())
		have.Want(t, "agent_opened", "", dto.MetricType_COUNTER, float64(n))
		have.Want(t, "agent_depth", "", dto.MetricType_GAUGE, float64(n))
	}
}

// TestHistogram checks cumulative buckets with sum and count, in seconds.
func TestHistogram(t *testing.T) {
	m := NewMetrics("agent", func(*Metrics) {})
	record := m.Histogram("waitSeconds", "Waits.")
	for _, d := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 8 * time.Millisecond, time.Minute} {
		record(d)
	}
	p := strict.Get(t, m.Handler())
	checkWaits(t, p["agent_waitSeconds"])
	checkWaits(t, p["agent_wait"]) // its old name
}

func checkWaits(t *testing.T, f *dto.MetricFamily) {
	t.Helper()
	if f.GetType() != dto.MetricType_HISTOGRAM || len(f.GetMetric()) != 1 {
		t.Fatalf("want a histogram, have %v", f)
	}
	h := f.GetMetric()[0].GetHistogram()
	if h.GetSampleCount() != 4 || h.GetSampleSum() != 60.014 {
		t.Errorf("want 4 samples, 60.014 s, have %d, %g s", h.GetSampleCount(), h.GetSampleSum())
	}
	want := map[float64]uint64{0.001: 1, 0.003: 1, 0.01: 3, 3: 3}
	last := uint64(0)
	for _, b := range h.GetBucket() {
		if w, ok := want[b.GetUpperBound()]; ok && b.GetCumulativeCount() != w || b.GetCumulativeCount() < last {
			t.Errorf("bucket %g: want %d, at least %d, have %d", b.GetUpperBound(), w, last, b.GetCumulativeCount())
		}
		last = b.GetCumulativeCount()
		delete(want, b.GetUpperBound())
	}
	if len(want) > 0 || last != 4 {
		t.Errorf("want the buckets %v and 4 samples in the last, have %v", want, h.GetBucket())
	}
}
