package hostd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/place"
)

// newLearner returns a core whose upstream has answered requests, four at once, each in
// the given time.
func newLearner(learn bool, logs *bytes.Buffer, took time.Duration) (*Core, time.Duration) {
	c := NewCore(0, CoreConfig{LearnRoom: learn, Service: "listas"}, flow.Codec{})
	l := logrus.New()
	l.SetOutput(logs)
	c.Log = l.WithField("role", "agent")
	c.upstream.reported, c.upstream.last.Slots = true, 4
	return c, answerAll(c, 0, 100, took)
}

// answerAll lets the upstream answer n requests, and returns the time after them.
func answerAll(c *Core, now time.Duration, n int, took time.Duration) time.Duration {
	for i := range n {
		k := flow.Key{0: byte(i), 1: byte(i >> 8)}
		c.table.AddOpening(now, k, CoreConfig{}.Hop)
		c.table.FromUpstream(now, k, &flow.Packet{Syn: true, Ack: true, Seq: 1000})
		c.table.FromCaller(now, k, &flow.Packet{Ack: true, Seq: 8, Acked: 1001, Size: 10}, CoreConfig{}.Hop)
		now += took
		p := &flow.Packet{Ack: true, Seq: 1001, Size: 10}
		c.observeAnswer(now, k, p)
		c.table.FromUpstream(now, k, p)
		c.table.Drop(k)
	}
	return now
}

// TestLearnOff checks that nothing changes for deployments that do not ask for it: loads
// have no times, and depths are shares of the slots.
func TestLearnOff(t *testing.T) {
	c, now := newLearner(false, &bytes.Buffer{}, 30*time.Millisecond)
	l := c.Load(now)
	c.compare(now, &frame.Frame{}, &l)
	if l.Work != 0 || l.Peers != 0 || l.Slots != 4 || c.learning.gauge.Work() != 0 {
		t.Errorf("want no measurement, have %+v", l)
	}
}

// TestCompare checks that a slow upstream takes a request from time to time to be measured
// again, no urgent one, and that only the work beside what others show makes it slow.
func TestCompare(t *testing.T) {
	c, now := newLearner(true, &bytes.Buffer{}, 60*time.Millisecond)
	load := func(priority uint8, others frame.Depth) place.Load {
		f := &frame.Frame{Kind: frame.Offer, Service: c.upstream.id(), Priority: priority, Position: 1, ObjectiveMillis: 256}
		f.Candidates = []frame.Candidate{{Depth: others}, {}, {}}
		l := c.Load(now)
		c.compare(now, f, &l)
		return l
	}
	for range 8 {
		load(2, 60) // 60 units of half a millisecond.
	}
	if l := load(2, 60); !l.Slow() {
		t.Errorf("60 ms beside 30 ms: want slow, have %+v", l)
	}
	now += time.Second
	if l := load(1, 60); !l.Slow() {
		t.Error("want no trial with an urgent request")
	}
	if l := load(2, 60); l.Slow() || c.Counts.Remeasured != 1 {
		t.Errorf("want a trial after a second without an answer, have %+v", l)
	}
	if l := load(2, 60); !l.Slow() {
		t.Error("want one trial at a time")
	}
	now += time.Second
	load(2, 60) // A trial.
	if load(1, 60).Show || !load(2, 60).Show || load(2, 60).Show {
		t.Error("want one offer that is not urgent passed on in a second to show the time")
	}
}

// TestLearnLogs checks that a change of speed is logged, at most once a second.
func TestLearnLogs(t *testing.T) {
	var logs bytes.Buffer
	c, now := newLearner(true, &logs, 30*time.Millisecond)
	for i := range 40 {
		now = answerAll(c, now, 60, time.Duration(2+8*(i%2))*time.Millisecond)
	}
	n := strings.Count(logs.String(), "upstreamSpeed")
	if most := int(now/time.Second) + 1; n < 2 || n > most {
		t.Error(fmt.Sprintf("want 2 to %d lines, have %d:\n", most, n), logs.String())
	}
}

// TestRestartNotMeasured checks that what was measured ends with the run of the upstream.
func TestRestartNotMeasured(t *testing.T) {
	c, _ := newLearner(true, &bytes.Buffer{}, 30*time.Millisecond)
	c.resetOutcomes()
	if have := c.learning.gauge.Work(); have != 0 {
		t.Errorf("after a restart of the upstream: want no work time, have %v", have)
	}
}

// TestColdNotMeasured checks that the warm-up of an upstream does not make it look slow
// afterwards.
func TestColdNotMeasured(t *testing.T) {
	c, now := newLearner(true, &bytes.Buffer{}, 30*time.Millisecond)
	before := c.learning.gauge.Work()
	c.upstream.warmupUntil = now + time.Minute
	now = answerAll(c, now, 100, 48*time.Millisecond)
	if have := c.learning.gauge.Work(); have != before {
		t.Errorf("want %v, have %v", before, have)
	}
	if have := c.Load(now).Slots; have != 4*warmupFactor {
		t.Errorf("while it is cold: want %v slots, have %v", 4*warmupFactor, have)
	}
}

// TestCompareClosed checks that an offer that the upstream cannot get counts neither as a
// trial nor as shown, and that times of another service are not taken for those of its own.
func TestCompareClosed(t *testing.T) {
	c, now := newLearner(true, &bytes.Buffer{}, 60*time.Millisecond)
	other := &frame.Frame{Kind: frame.Offer, Priority: 2, Position: 1, ObjectiveMillis: 256, Service: c.upstream.id() + 1}
	other.Candidates = []frame.Candidate{{Depth: 60}, {}, {}}
	own := *other
	own.Service = c.upstream.id()
	for range 8 {
		l := place.Load{Closed: true}
		c.compare(now, other, &l)
	}
	if have := c.learning.gauge.Peers(now); have != 0 {
		t.Errorf("another service: have a time of %v", have)
	}
	for range 8 {
		l := c.Load(now)
		c.compare(now, &own, &l)
	}
	now += time.Second
	for _, state := range []place.Load{{Closed: true}, {Failing: true}} {
		l := c.Load(now)
		l.Closed, l.Failing = state.Closed, state.Failing
		if c.compare(now, &own, &l); l.Show || c.Counts.Remeasured > 0 {
			t.Errorf("closed %v, failing %v: have %+v, %d trials", l.Closed, l.Failing, l, c.Counts.Remeasured)
		}
	}
	l := c.Load(now)
	if c.compare(now, &own, &l); c.Counts.Remeasured != 1 {
		t.Errorf("open again: want a trial, have %+v", l)
	}
}

// TestServiceChanged checks that an upstream of another service is not compared with those
// of the earlier one.
func TestServiceChanged(t *testing.T) {
	c, sent := newColdCore()
	c.self.LearnRoom = true
	for range 8 {
		c.learning.gauge.SawPeer(0, 30*time.Millisecond)
	}
	c.OnReport(time.Second, Report{ID: "u", Service: "listas", Seq: 2, Slots: 4})
	if c.learning.gauge.Peers(time.Second) == 0 {
		t.Fatalf("the same service: what others expect was forgotten; sent %v", *sent)
	}
	c.OnReport(2*time.Second, Report{ID: "v", Service: "other", Seq: 1, Slots: 4, StartedMillis: 100_000})
	if have := c.learning.gauge.Peers(2 * time.Second); c.upstream.service != "other" || have != 0 {
		t.Errorf("service %q: have a time of %v", c.upstream.service, have)
	}
}
