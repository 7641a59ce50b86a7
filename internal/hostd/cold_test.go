package hostd

import (
	"bytes"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/ramp"
)

// newColdCore returns a core with a warm upstream whose service has a limit, and the
// frames that it sends.
func newColdCore() (*Core, *[]frame.Frame) {
	var sent []frame.Frame
	codec := flow.Codec{Decode: func([]byte) (flow.Packet, bool) {
		return flow.Packet{From: netip.MustParseAddrPort("100.64.0.1:1"), To: netip.MustParseAddrPort("198.18.0.1:1")}, true
	}}
	c := NewCore(0, CoreConfig{Service: "listas", ReportInterval: time.Second}, codec)
	l := logrus.New()
	l.SetOutput(io.Discard)
	c.Log, c.Sample = l.WithField("role", "agent"), func(bool) bool { return false }
	c.UpdateListing = func(ident.ServiceName) {}
	c.RecordWait = func(time.Duration) {}
	c.ToUpstream = func([]byte) {}
	c.ToPeer = func(b []byte, _ netip.AddrPort) {
		var f frame.Frame
		if f.Parse(b) {
			sent = append(sent, f)
		}
	}
	c.OnReport(0, Report{ID: "u", Service: "listas", Seq: 1, Slots: 4})
	c.announceLimit(0, &frame.Frame{Service: c.upstream.id(), ColdRate: 1, Warmup: 2 * time.Second})
	return c, &sent
}

// TestExpectCold guards an upstream that may be cold without having said so: when its
// place is taken back, and when it answers again after it seemed down.
func TestExpectCold(t *testing.T) {
	for name, expect := range map[string]func(c *Core){
		"place taken back": func(c *Core) { c.upstream.expectCold(time.Second) },
		"answers again":    func(c *Core) { c.upstream.down = true; c.upstream.notePacket(time.Second) },
	} {
		c, _ := newColdCore()
		if s := c.upstream.ramp.State(0); s != ramp.Unlimited {
			t.Fatalf("warm: have %v", s)
		}
		expect(c)
		if s := c.upstream.ramp.State(time.Second); s != ramp.Cold {
			t.Errorf("%s: want cold, have %v", name, s)
		}
		c.OnReport(2*time.Second, Report{ID: "u", Service: "listas", Seq: 2, Slots: 4})
		if s := c.upstream.ramp.State(2 * time.Second); s != ramp.Unlimited {
			t.Errorf("%s: reported as warm: want unlimited, have %v", name, s)
		}
	}
}

// TestPassedOn guards a flow that was placed here although its turn does not come in
// time: it goes to another candidate that takes flows.
func TestPassedOn(t *testing.T) {
	c, sent := newColdCore()
	c.upstream.expectCold(0)
	for range 2 {
		c.upstream.ramp.Take(0)
	}
	f := frame.Frame{
		Kind: frame.Placed, Service: c.upstream.id(), ColdRate: 1, Warmup: 2 * time.Second, ObjectiveMillis: 250, TimeoutMillis: 1500,
		Candidates: []frame.Candidate{{Depth: 10}, {Depth: 20}},
	}
	*sent = nil
	c.FromPeer(0, f.Append(nil), netip.AddrPort{})
	if n := len(*sent); n != 1 || (*sent)[0].Kind != frame.Placed || (*sent)[0].Position != 1 || c.Counts.ColdPassed != 1 {
		t.Errorf("want the flow at the other candidate, have %+v", *sent)
	}
}

// TestColdServiceChanged guards an upstream without a limit that starts in place of one of
// another service: the limit of that service is not its own.
func TestColdServiceChanged(t *testing.T) {
	c, _ := newColdCore()
	now := time.Second
	c.announceLimit(now, &frame.Frame{Service: c.upstream.id(), ColdRate: 1, Warmup: 2 * time.Second})
	c.OnReport(now, Report{ID: "v", Service: "fichas", Seq: 1, Slots: 4, StartedMillis: 100_000, Warmup: 2 * time.Second})
	if s := c.upstream.ramp.State(now); c.upstream.service != "fichas" || s != ramp.Unlimited {
		t.Errorf("service %q: want unlimited, have %v", c.upstream.service, s)
	}
	c.announceLimit(now, &frame.Frame{Service: c.upstream.id(), ColdRate: 1, Warmup: 2 * time.Second})
	if s := c.upstream.ramp.State(now); s != ramp.Cold {
		t.Errorf("its own limit: want cold, have %v", s)
	}
}

// TestColdExpected checks that an upstream with learned room says how long a request waits
// for its turn, also while its work takes longer than what was measured of it.
func TestColdExpected(t *testing.T) {
	c, now := newLearner(true, &bytes.Buffer{}, 30*time.Millisecond)
	c.upstream.warmupUntil = now + time.Minute
	now = answerAll(c, now, 100, 150*time.Millisecond)
	f := &frame.Frame{Kind: frame.Offer, Service: c.upstream.id(), Priority: 2, ObjectiveMillis: 256, ColdRate: 1, Warmup: time.Minute}
	c.announceLimit(now, f)
	c.upstream.expectCold(now)
	for range 2 {
		c.upstream.ramp.Take(now)
	}
	l := c.Load(now)
	c.compare(now, f, &l)
	if turn, have := c.turn(now), l.Expected(); turn < time.Second/2 || have < turn || have > 2*turn {
		t.Errorf("its turn comes after %v: have %v", turn, have)
	}
}
