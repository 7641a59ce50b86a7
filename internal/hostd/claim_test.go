package hostd

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// newClaimCore returns a core that has started beside a running upstream and has got 20
// packets of a flow, the frames that it sends, and the number of packets at the upstream.
func newClaimCore() (c *Core, sent *[]frame.Frame, passed *int) {
	c, sent = newColdCore()
	c.codec = flow.Codec{ClearReturned: func([]byte) {}, Decode: func(b []byte) (flow.Packet, bool) {
		return flow.Packet{From: netip.MustParseAddrPort("100.64.0.1:1"), To: netip.MustParseAddrPort("198.18.0.1:1"), Seq: uint32(b[0]), Returned: b[1] > 0}, true
	}}
	c.upstream.predatesAgent, c.self.FlowLifetime = true, time.Minute
	passed = new(int)
	c.ToUpstream = func([]byte) { *passed++ }
	c.ToCaller = func([]byte, netip.Addr) { panic("reset") }
	*sent = nil
	for n := range 20 {
		c.handleFlowPacket(time.Second, &frame.Frame{
			Kind: frame.Data, Service: c.upstream.id(), Hinted: true, TrialsLeft: 1, Payload: []byte{byte(n), 0},
		})
	}
	return c, sent, passed
}

// TestSilentClaim checks what follows from the silence of an upstream: nothing if it is
// down, and no reset if it returns the packets after all.
func TestSilentClaim(t *testing.T) {
	for name, after := range map[string]struct {
		then                         func(c *Core)
		passed, claims, missed, kept int
	}{
		"undecided":         {func(*Core) {}, 1, 0, 0, maxFlowKept},
		"silent":            {func(c *Core) { c.Tick(time.Second + silentTime) }, maxSilent, 1, 0, maxFlowKept - 1},
		"silent, then down": {func(c *Core) { c.upstream.down = true; c.Tick(time.Second + silentTime) }, 1, 0, maxFlowKept, 0},
		"returned":          {func(c *Core) { c.FromUpstream(time.Second, []byte{0, 1}) }, 1, 0, 1 + maxFlowKept, 0},
		"returned late": {func(c *Core) {
			c.Tick(time.Second + silentTime)
			c.FromUpstream(2*time.Second, []byte{0, 1})
			c.FromUpstream(2*time.Second, []byte{1, 1})
		}, maxSilent, 1, 1 + maxFlowKept, 0},
		"silent, then it reports": {func(c *Core) {
			c.Tick(time.Second + silentTime)
			c.OnReport(1500*time.Millisecond, Report{ID: "u", Service: "listas", Seq: 2, Slots: 4})
			c.Tick(2 * time.Second)
		}, 1 + maxFlowKept, 1, 0, 0},
		"silent, then nothing": {func(c *Core) {
			c.Tick(time.Second + silentTime)
			c.Tick(2900 * time.Millisecond)
		}, maxSilent, 1, maxFlowKept - 1, 0},
		"down, then back": {func(c *Core) {
			c.upstream.down = true
			c.Tick(time.Second + silentTime)
			c.upstream.notePacket(2 * time.Second)
			c.handleFlowPacket(3*time.Second, &frame.Frame{Kind: frame.Data, Service: c.upstream.id(), Hinted: true, Payload: []byte{99, 0}})
		}, 2, 1, maxFlowKept, 0},
	} {
		c, sent, passed := newClaimCore()
		after.then(c)
		claims, missed := 0, 0
		for _, f := range *sent {
			switch {
			case f.Kind == frame.Taken && !f.Unsure:
				t.Errorf("%s: want no word that the flow is here", name)
			case f.Kind == frame.Taken:
				claims++
			case f.Kind == frame.Missed:
				missed++
			}
		}
		if *passed != after.passed || claims != after.claims || missed != after.missed || c.kept != after.kept {
			t.Errorf("%s: want %d passed on, %d claims, %d missed and %d kept, have %d, %d, %d and %d",
				name, after.passed, after.claims, after.missed, after.kept, *passed, claims, missed, c.kept)
		}
	}
}
