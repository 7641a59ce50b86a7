package front

import (
	"bytes"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

// searchCore returns a core with three agents and a route whose requests may be
// repeated. send runs the datagrams to agents through the given function.
func searchCore(t *testing.T, send func(c *Core, raw []byte, to netip.AddrPort)) (*Core, *flow.Packet) {
	c, p := benchCore(t, 1, 3)
	table, err := rules.New(rules.Config{Generation: 2, Routes: []rules.Route{
		{Addr: benchRoute, Repeatable: true, Shares: []rules.Share{{Service: "s0", Weight: 1}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	c.SetRules(table, "test")
	c.ToAgent = func(raw []byte, to netip.AddrPort) { send(c, slices.Clone(raw), to) }
	return c, p
}

// TestClaimDuringSearch guards the packets of a flow that is searched for: an agent that has
// taken the opening packet gets them only if the caller has acknowledged its upstream.
func TestClaimDuringSearch(t *testing.T) {
	delivered := map[netip.AddrPort]bool{}
	c, p := searchCore(t, func(_ *Core, raw []byte, to netip.AddrPort) {
		var f frame.Frame
		if f.Parse(raw) && f.Kind == frame.Data {
			delivered[to] = true
		}
	})
	*p = flow.Packet{From: benchCaller(1), To: benchRoute, Ack: true, Acked: 8, Size: 100}
	c.FromCaller(time.Second, make([]byte, 132))
	k := flow.KeyOf(p.From, p.To)
	for _, first := range []uint32{9, 7} {
		found := first == 7
		for a := range c.agents.byAddr {
			if delivered[a] || c.searches.byKey[k] == nil {
				continue // It is the first in the order of the flow.
			}
			taken := frame.Frame{Kind: frame.Taken, Answered: true, First: first, Payload: k[:]}
			c.FromAgent(time.Second, taken.Append(nil), a)
			if h, _ := c.hints.Get(time.Second, k); h.Confirmed != found || delivered[a] != found || (c.searches.byKey[k] == nil) != found {
				t.Errorf("first number %d: want it found: %v, have %+v, delivered: %v", first, found, h, delivered[a])
			}
		}
	}
}

// TestSearchAfterPause guards against a balancer that did not run for some seconds and
// then resets a flow by answers from before: the caller may have opened another flow
// with the same addresses through another balancer.
func TestSearchAfterPause(t *testing.T) {
	for _, s := range []struct {
		pause time.Duration
		reset bool
	}{{0, true}, {5 * time.Second, false}} {
		var waiting []func(now time.Duration)
		c, p := searchCore(t, func(c *Core, raw []byte, to netip.AddrPort) {
			waiting = append(waiting, func(now time.Duration) { answer(c, now, raw, to) })
		})
		reset := false
		c.ToCaller = func([]byte, netip.Addr) { reset = true }
		now := time.Second
		*p = flow.Packet{From: benchCaller(1), To: benchRoute, Ack: true, Size: 100}
		c.FromCaller(now, make([]byte, 132))
		for n := 0; len(c.searches.byKey) > 0 && n < 100; n++ {
			batch := waiting
			waiting = nil
			for _, run := range batch {
				run(now)
			}
			now += time.Millisecond
			if n == 0 {
				now += s.pause
			}
			c.Tick(now)
		}
		if reset != s.reset {
			t.Errorf("pause of %v: want reset %v, have %v", s.pause, s.reset, reset)
		}
	}
}

// TestLateDenialDuringSearch guards an open flow against a denial of a packet of an earlier
// flow from the same address, which arrives while its agent is asked for a packet of this one.
func TestLateDenialDuringSearch(t *testing.T) {
	c, p := searchCore(t, func(*Core, []byte, netip.AddrPort) {})
	k := flow.KeyOf(benchCaller(1), benchRoute)
	*p = flow.Packet{From: k.Caller(), To: benchRoute, Ack: true, Seq: 9000, Acked: 800, Size: 100}
	packet := make([]byte, 132)
	c.FromCaller(time.Second, packet)
	o := c.searches.byKey[k]
	asked := o.asked[0]
	for _, b := range [][]byte{bytes.Repeat([]byte{1}, 132), packet} {
		f := frame.Frame{Kind: frame.Missed, Payload: b}
		c.FromAgent(time.Second, f.Append(nil), asked)
		if late := b[0] == 1; late != (o.stage == askingFirst) || late != (o.right.denied.countWithout(nil) == 0) {
			t.Errorf("late denial: %v, have stage %d, settled %v", late, o.stage, o.right.denied)
		}
	}
}

// TestClaimOfDownAgent guards an open flow against a reset because an agent is down that has
// only claimed the flow, which the others are asked for, or of which no other balancer has told
// yet whether it hears the agent.
func TestClaimOfDownAgent(t *testing.T) {
	const now = time.Second
	for _, on := range []struct{ confirmed, told bool }{{false, true}, {true, true}, {true, false}} {
		confirmed := on.confirmed
		c, p := searchCore(t, func(*Core, []byte, netip.AddrPort) {})
		reset := false
		c.ToCaller = func([]byte, netip.Addr) { reset = true }
		*p = flow.Packet{From: benchCaller(1), To: benchRoute, Ack: true, Acked: 8, Size: 100}
		for a, st := range c.agents.byAddr {
			c.hints.Put(now, flow.KeyOf(p.From, p.To), flow.Hint{Agent: a, Confirmed: confirmed})
			st.downAt = now - flowLossDelay
			if on.told {
				st.testimony.answeredAt, st.testimony.agentAnsweredAt = now, now
			}
			break
		}
		c.agents.regroup(c)
		c.FromCaller(now, make([]byte, 132))
		if asks := len(c.searches.byKey) == 1; reset != (confirmed && on.told) || asks == confirmed {
			t.Errorf("confirmed %v, told %v: have reset %v, searched for %v", confirmed, on.told, reset, asks)
		}
	}
}
