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

// TestListBeforeHandshakeEnds guards a flow whose handshake ends after its agent has left the list
// of flows: the list is not complete, so the next run does not deny it.
func TestListBeforeHandshakeEnds(t *testing.T) {
	k := flow.KeyOf(netip.MustParseAddrPort("100.64.0.1:40000"), netip.MustParseAddrPort("198.18.0.1:443"))
	for _, open := range []bool{false, true} {
		c := NewCore(0, CoreConfig{Service: "s", Hop: benchPeer, Instance: 1, ReportInterval: time.Second, FlowLifetime: time.Minute}, flow.Codec{})
		l := logrus.New()
		l.SetOutput(io.Discard)
		c.Log, c.UpdateListing = logrus.NewEntry(l), func(ident.ServiceName) {}
		var have *frame.FlowList
		c.ToPeer = func(b []byte, _ netip.AddrPort) {
			var f frame.Frame
			if f.Parse(b) && f.Kind == frame.Flows {
				l, _ := f.FlowList()
				have = &l
			}
		}
		c.AddBalancer(netip.MustParseAddrPort("10.0.0.1:7000"))
		c.OnReport(time.Millisecond, Report{ID: "u", StartedMillis: 1, Seq: 1, Service: "s", Slots: 2})
		if open {
			c.table.AddEstablished(time.Second, k)
		} else {
			c.table.AddOpening(time.Second, k, netip.AddrPort{})
		}
		c.Leave(time.Second)
		if have == nil || have.Complete != open || (len(have.Keys) == 1) != open {
			t.Errorf("open %v: have %+v", open, have)
		}
	}
}
