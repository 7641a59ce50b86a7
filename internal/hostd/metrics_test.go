package hostd

import (
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
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
	page := func() string {
		w := httptest.NewRecorder()
		p.metrics.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	page()
	if err := p.metrics.Close(); err != nil { // flushes the remaining metrics
		t.Error(err)
	}
	have := page()
	_, value, ok := strings.Cut(have, "agent_logLinesDropped ")
	if !ok || strings.HasPrefix(value, "0\n") {
		t.Errorf("want a positive agent_logLinesDropped, have page %q", have)
	}
}
