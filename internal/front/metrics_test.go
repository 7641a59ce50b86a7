package front

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
	page := func() string {
		w := httptest.NewRecorder()
		p.metrics.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	page()
	if err := p.metrics.Close(); err != nil { // reports the remaining values
		t.Error(err)
	}
	have := page()
	_, value, ok := strings.Cut(have, "balancer_logLinesDropped ")
	if !ok || strings.HasPrefix(value, "0\n") {
		t.Errorf("want the number of dropped lines, have %q", have)
	}
}
