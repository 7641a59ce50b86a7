package relay

import (
	"net/netip"
	"testing"

	dto "github.com/prometheus/client_model/go"

	"github.com/bramleycourse/bramleycourse/internal/scrape/strict"
)

// TestPage checks that all outcomes and counters of the control plane are on the first
// page, and that a page has the packets counted just before.
func TestPage(t *testing.T) {
	r := newCluster(t).balancer()
	p := strict.Get(t, r.frame.Metrics())
	for _, name := range outcomeNames {
		p.Want(t, "bramleycourse_packets", "outcome="+name+",role=balancer", dto.MetricType_COUNTER, 0)
	}
	p.Want(t, "bramleycourse_control_total", "count=configInvalid,role=balancer", dto.MetricType_COUNTER, 0)
	if n := len(p["bramleycourse_control_total"].GetMetric()); n != len(r.controlCounts()) {
		t.Errorf("want %d counters of the control plane, have %d", len(r.controlCounts()), n)
	}
	for n := range 3 {
		var c batchCount
		c.add(hopCheck, netip.MustParseAddrPort("127.0.0.1:7"))
		c.flush(&r.counts)
		strict.Get(t, r.frame.Metrics()).Want(t, "bramleycourse_packets", "outcome=hopCheck,role=balancer", dto.MetricType_COUNTER, float64(n+1))
	}
}
