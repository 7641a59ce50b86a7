package hostd

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// TestAgentIsWitness guards the flows of an agent that a balancer does not hear while the
// balancers that hear it stand still: another agent says whether it hears it.
func TestAgentIsWitness(t *testing.T) {
	balancer, alive, dead := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.1.1:8000"), netip.MustParseAddrPort("10.0.1.2:8000")
	c := NewCore(0, CoreConfig{Service: "s", Hop: netip.MustParseAddrPort("10.0.1.3:8000"), ReportInterval: time.Second, FlowLifetime: time.Minute}, flow.Codec{})
	var told []frame.HeardAgent
	c.ToPeer = func(b []byte, to netip.AddrPort) {
		var f frame.Frame
		if f.Parse(b) && f.Kind == frame.Heard && to == balancer {
			as, _ := f.Heard()
			told = append(told, as...)
		}
	}
	ask := frame.Frame{Kind: frame.Unheard, Payload: frame.UnheardPayload([]netip.AddrPort{alive, dead, c.self.Hop})}
	c.FromPeer(time.Second, ask.Append(nil), balancer)
	c.FromPeer(time.Second, (&frame.Frame{Kind: frame.Pong}).Append(nil), alive)
	for _, at := range []time.Duration{time.Second + witnessTimeout - 1, time.Second + witnessTimeout} {
		c.witness.expire(at, c)
	}
	want := []frame.HeardAgent{{Addr: c.self.Hop, Heard: true}, {Addr: alive, Heard: true}, {Addr: dead}}
	if !slices.Equal(told, want) || len(c.witness) > 0 {
		t.Errorf("want %v, have %v", want, told)
	}
}
