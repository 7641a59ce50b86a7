package front

import (
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/scrape/strict"
)

// TestDroppedLinesMetric guards against log lines that are dropped without being
// counted on the metrics page.
func TestDroppedLinesMetric(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	out := node.NewOutput(io.Discard)
	store := plat.New("http://127.0.0.1:1", time.Second)
	p, err := New(Settings{Name: "edge1", Hop: local, Peer: local}, flow.Codec{}, store, ConfigObject{}, out, out.NewLog("balancer", "edge1"))
	if err != nil {
		t.Fatal(err)
	}
	defer p.parts.Close()
	for range 1000 {
		p.log.Info("a line over the budget of a second")
	}
	have := strict.Get(t, p.metrics.Handler())
	if v := have["balancer_logLinesDropped"].GetMetric(); len(v) != 1 || v[0].GetCounter().GetValue() == 0 {
		t.Errorf("want the number of dropped lines, have %v", v)
	}
	checkPage(t, have)
}

// checkPage checks metrics of each kind that have not counted yet.
func checkPage(t *testing.T, p strict.Page) {
	t.Helper()
	for _, name := range []string{"opened", "lost", "oddEvacuations", "packetsFromCallers", "storeFailures"} {
		p.Want(t, "balancer_"+name, "", dto.MetricType_COUNTER, 0)
	}
	p.Want(t, "balancer_isolated", "", dto.MetricType_GAUGE, 0)
	p.Want(t, "balancer_balancers", "", dto.MetricType_GAUGE, 1)
	for _, name := range []string{"balancer_offerAnswerSeconds", "balancer_offerAnswer"} {
		if p[name].GetType() != dto.MetricType_HISTOGRAM {
			t.Errorf("want histogram %s", name)
		}
	}
}

// BenchmarkPage measures one request for the metrics page.
func BenchmarkPage(b *testing.B) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	out := node.NewOutput(io.Discard)
	p, err := New(Settings{Name: "edge1", Hop: local, Peer: local}, flow.Codec{}, plat.New("http://127.0.0.1:1", time.Second), ConfigObject{}, out, out.NewLog("balancer", "edge1"))
	if err != nil {
		b.Fatal(err)
	}
	defer p.parts.Close()
	h, r := p.metrics.Handler(), httptest.NewRequest("GET", "/metrics", nil)
	size := 0
	for b.Loop() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		size = w.Body.Len()
	}
	b.ReportMetric(float64(size), "bytes/page")
}
