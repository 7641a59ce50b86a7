package hostd

import (
	"io"
	"net/netip"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/scrape/strict"
)

// TestDroppedLinesMetric checks that dropped log lines are counted on the metrics
// page.
func TestDroppedLinesMetric(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	out := node.NewOutput(io.Discard)
	store := plat.New("http://127.0.0.1:1", time.Second)
	p, err := New(Settings{Name: "side1", Hop: local, Outbound: local}, flow.Codec{}, store, out, out.NewLog("agent", "side1"))
	if err != nil {
		t.Fatal(err)
	}
	defer p.parts.Close()
	for range 1000 {
		p.log.Info("a line beyond the log budget per second")
	}
	have := strict.Get(t, p.metrics.Handler())
	if v := have["agent_logLinesDropped"].GetMetric(); len(v) != 1 || v[0].GetCounter().GetValue() == 0 {
		t.Errorf("want the number of dropped lines, have %v", v)
	}
	checkPage(t, have)
}

// checkPage checks metrics of each kind that have not counted yet. The gauge
// agent_evacuated has its own name.
func checkPage(t *testing.T, p strict.Page) {
	t.Helper()
	for _, name := range []string{"taken", "evacuations", "remeasured", "sendFailures", "storeFailures"} {
		p.Want(t, "agent_"+name, "", dto.MetricType_COUNTER, 0)
	}
	p.Want(t, "agent_evacuated", "", dto.MetricType_GAUGE, 0)
	p.Want(t, "agent_flows", "", dto.MetricType_GAUGE, 0)
	for _, name := range []string{"agent_openingWaitSeconds", "agent_openingWait"} {
		if p[name].GetType() != dto.MetricType_HISTOGRAM {
			t.Errorf("want histogram %s", name)
		}
	}
}
