package hostd

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

var (
	benchCaller = netip.MustParseAddrPort("100.64.0.1:4000")
	benchRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	benchPeer   = netip.MustParseAddrPort("10.0.0.1:7000")
)

// benchCore returns a core with one open flow and the packet that its codec decodes
// every datagram to.
func benchCore() (*Core, *flow.Packet) {
	p := &flow.Packet{}
	c := NewCore(time.Second, CoreConfig{Service: "s", Hop: benchPeer, FlowLifetime: time.Minute}, flow.Codec{
		Decode: func([]byte) (flow.Packet, bool) { return *p, true },
		Reset:  func(*flow.Packet) []byte { return nil },
	})
	l := logrus.New()
	l.SetOutput(io.Discard)
	c.Log, c.Sample, c.RecordWait = logrus.NewEntry(l), func(bool) bool { return false }, func(time.Duration) {}
	c.ToUpstream, c.ToCaller = func([]byte) {}, func([]byte, netip.Addr) {}
	c.ToPeer = func([]byte, netip.AddrPort) {}
	c.FindBalancers, c.UpdateListing = func() {}, func(ident.ServiceName) {}
	c.table.AddEstablished(time.Second, flow.KeyOf(benchCaller, benchRoute))
	return c, p
}

// exchange passes one request and its answer through the core.
func exchange(c *Core, p *flow.Packet, in, out []byte, n uint32) {
	*p = flow.Packet{From: benchCaller, To: benchRoute, Ack: true, Seq: 100 * n, Size: 100}
	c.FromPeer(2*time.Second, in, benchPeer)
	*p = flow.Packet{From: benchRoute, To: benchCaller, Ack: true, Seq: 100 * n, Size: 100}
	c.FromUpstream(2*time.Second, out)
}

// BenchmarkRequest measures one request packet and one answer packet.
func BenchmarkRequest(b *testing.B) {
	c, p := benchCore()
	in := (&frame.Frame{Kind: frame.Data, Hinted: true, Payload: make([]byte, 132)}).Append(nil)
	out := make([]byte, 132)
	for n := range uint32(b.N) {
		exchange(c, p, in, out, n+1)
	}
}

// TestRequestAllocations checks that packets of open flows cause no allocations.
func TestRequestAllocations(t *testing.T) {
	c, p := benchCore()
	in := (&frame.Frame{Kind: frame.Data, Hinted: true, Payload: make([]byte, 132)}).Append(nil)
	out := make([]byte, 132)
	n := uint32(0)
	if have := testing.AllocsPerRun(200, func() { n++; exchange(c, p, in, out, n) }); have > 0 {
		t.Errorf("want no allocations per request, have %v", have)
	}
}
