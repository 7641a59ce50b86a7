package front

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// TestTestimony guards the flows of an agent that one other balancer has heard: only that one
// takes its word back, and the silence counts from then on.
func TestTestimony(t *testing.T) {
	witness, other, agent := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:8000")
	st := agentState{downAt: time.Second}
	st.testimony.note(20*time.Second, witness, true, false)
	st.testimony.note(21*time.Second, other, false, false)
	for _, s := range []struct {
		at                   time.Duration
		withdraw             bool
		overdue, forgettable bool
	}{
		{25 * time.Second, false, false, false},
		{30 * time.Second, true, false, false},
		{30*time.Second + stoppingLossDelay - 1, false, false, false},
		{30*time.Second + stoppingLossDelay, false, true, false},
		{30*time.Second + agentForgetTime - 1, false, true, false},
		{30*time.Second + agentForgetTime, false, true, true},
	} {
		if s.withdraw {
			st.testimony.note(s.at, witness, false, false)
		}
		st.testimony.note(s.at, agent, false, true)
		if st.overdue(s.at) != s.overdue || st.forgettable(s.at) != s.forgettable {
			t.Errorf("%v: want overdue %v, forgettable %v, have %v, %v", s.at, s.overdue, s.forgettable, st.overdue(s.at), st.forgettable(s.at))
		}
	}
}

// TestStopIsNoLoss guards the flows of an agent that stops as planned: a balancer that knows of the
// stop does not say that the agent is lost before its next run is overdue, although it is down.
func TestStopIsNoLoss(t *testing.T) {
	asker := netip.MustParseAddrPort("10.0.0.9:7000")
	for _, s := range []struct {
		stopping bool
		downFor  time.Duration
		told     bool
	}{
		{false, flowLossDelay - 1, false},
		{false, flowLossDelay, true},
		{true, stoppingLossDelay - 1, false},
		{true, stoppingLossDelay, true},
	} {
		told := false
		c, _ := searchCore(t, func(_ *Core, raw []byte, to netip.AddrPort) {
			var f frame.Frame
			told = told || f.Parse(raw) && f.Kind == frame.Heard && to == asker
		})
		st := c.agents.sorted()[0]
		st.downAt, st.entry.Stopping = 10*time.Second, s.stopping
		ask := frame.Frame{Kind: frame.Unheard, Payload: frame.UnheardPayload([]netip.AddrPort{st.entry.Key.Hop})}
		c.FromAgent(st.downAt+s.downFor, ask.Append(nil), asker)
		if told != s.told {
			t.Errorf("stopping %v, down for %v: want to be told %v, have %v", s.stopping, s.downFor, s.told, told)
		}
	}
}

// TestLateAnswerIsTold guards the flows of an agent that answers late: a balancer that has asked
// and was told that it is down learns that it runs.
func TestLateAnswerIsTold(t *testing.T) {
	asker := netip.MustParseAddrPort("10.0.0.9:7000")
	var told []bool
	c, _ := searchCore(t, func(_ *Core, raw []byte, to netip.AddrPort) {
		var f frame.Frame
		if f.Parse(raw) && f.Kind == frame.Heard && to == asker {
			as, _ := f.Heard()
			for _, a := range as {
				told = append(told, a.Heard)
			}
		}
	})
	for a, st := range c.agents.byAddr {
		st.downAt = time.Second
		c.agents.regroup(c)
		ask := frame.Frame{Kind: frame.Unheard, Payload: frame.UnheardPayload([]netip.AddrPort{a})}
		c.FromAgent(2*time.Second, ask.Append(nil), asker)
		pong := frame.Frame{Kind: frame.Pong}
		c.FromAgent(3*time.Second, pong.Append(nil), a)
		break
	}
	if len(told) != 2 || told[0] || !told[1] {
		t.Errorf("want to be told that it is down and then that it is heard, have %v", told)
	}
}
