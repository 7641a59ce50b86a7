package view

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func balancerKey(n int) Key {
	return Key{Name: fmt.Sprint("b", n), Hop: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 7000)}
}

func endpointMark(n int, c Condition) Mark {
	return Mark{Target: Key{Hop: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)}, Condition: c}
}

// TestApplyMarks guards against a late or repeated update that restores an old
// mark, and against expiry that does not follow the receiver's clock.
func TestApplyMarks(t *testing.T) {
	m, by := NewMarks(), balancerKey(1)
	for _, c := range []struct {
		now     time.Duration
		version uint64
		full    bool
		age     time.Duration
		marks   []Mark
		outcome Outcome
		want    Condition
	}{
		{0, 3, false, 0, []Mark{endpointMark(1, Down)}, NeedsFull, Clear},
		{0, 3, true, 0, []Mark{endpointMark(1, Down)}, Applied, Down},
		{1, 3, false, 0, []Mark{endpointMark(1, Clear)}, Ignored, Down},
		{1, 5, false, 0, []Mark{endpointMark(1, Clear)}, NeedsFull, Down},
		{1, 4, false, 0, []Mark{endpointMark(1, Refusing)}, Applied, Refusing},
		{1, 2, true, 0, nil, Ignored, Refusing},
		{1, 6, false, 0, []Mark{endpointMark(1, Down), endpointMark(1, Clear), endpointMark(2, Down)}, Applied, Clear},
		{1, 5, false, 0, []Mark{endpointMark(1, Down)}, Ignored, Clear},
		{1, 7, true, MarkTTL, []Mark{endpointMark(1, Down)}, Ignored, Clear},
		{1, 7, true, MarkTTL - 1, []Mark{endpointMark(1, Down)}, Applied, Down},
		{MarkTTL + 1, 7, true, 0, []Mark{endpointMark(1, Down)}, Ignored, Clear},
	} {
		have := m.Apply(c.now, MarkUpdate{By: by, Version: c.version, Full: c.full, Age: c.age, Marks: c.marks})
		if of := m.Worst(c.now, endpointMark(1, 0).Target, Key{}); have != c.outcome || of != c.want {
			t.Errorf("at %v version %d: want outcome %d condition %v, have %d %v", c.now, c.version, c.outcome, c.want, have, of)
		}
	}
	if m.Worst(1, endpointMark(1, 0).Target, by) != Clear {
		t.Error("a balancer's own mark counts as a report of another balancer")
	}
	if m.Expire(MarkTTL+1, Key{}); m.Len() != 0 {
		t.Errorf("want no marks after expiry, have %d", m.Len())
	}
}

// group simulates balancers that exchange marks in a ring. Updates may be lost,
// and a renewal may arrive one step late.
type group struct {
	t          *rapid.T
	now        time.Duration
	marks      []*Marks
	renewPhase []time.Duration
	delayed    []func()
}

const (
	stepInterval  = 20 * time.Millisecond
	renewInterval = 500 * time.Millisecond
)

func (g *group) neighbours(n int) []int {
	size := len(g.marks)
	return []int{(n + 1) % size, (n + size - 1) % size}
}

func (g *group) send(to, from int, u MarkUpdate) {
	u.Age += stepInterval
	if rapid.IntRange(0, 3).Draw(g.t, "lost") == 0 || g.marks[to].Apply(g.now, u) != Applied {
		return
	}
	for _, n := range g.neighbours(to) {
		if n != from {
			g.send(n, to, u)
		}
	}
}

func (g *group) renew(from int) {
	v := g.marks[from].Renewal(g.now, balancerKey(from))
	for _, to := range g.neighbours(from) {
		deliver := func() {
			if len(v.Ages) == 0 || g.marks[to].Renew(g.now, balancerKey(to), v) {
				return
			}
			wanted := g.marks[to].Compare(g.now, balancerKey(to), g.marks[from].Versions(g.now))
			for _, u := range g.marks[from].FullUpdates(g.now, wanted) {
				g.marks[to].Apply(g.now, u)
			}
		}
		if rapid.Bool().Draw(g.t, "late") {
			g.delayed = append(g.delayed, deliver)
			continue
		}
		deliver()
	}
}

// run advances the time by d; only the balancers from index first on are alive.
func (g *group) run(d time.Duration, first int) {
	for end := g.now + d; g.now < end; g.now += stepInterval {
		delayed := g.delayed
		g.delayed = nil
		for _, deliver := range delayed {
			deliver()
		}
		for n, m := range g.marks {
			if n >= first && (g.now+g.renewPhase[n])%renewInterval == 0 {
				m.Expire(g.now, balancerKey(n))
				g.renew(n)
			}
		}
	}
}

// TestMarksPropagate guards against marks that are missing or stale at
// balancers that are not direct peers of the origin. Every balancer must hold
// the marks of a live origin although updates are lost, and must drop those of a
// dead one after MarkTTL although the others keep exchanging renewals.
func TestMarksPropagate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &group{t: t}
		for range rapid.IntRange(3, 7).Draw(t, "balancers") {
			g.marks = append(g.marks, NewMarks())
			g.renewPhase = append(g.renewPhase, time.Duration(rapid.IntRange(0, 24).Draw(t, "phase"))*stepInterval)
		}
		want := map[Key]Condition{}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			k := endpointMark(rapid.IntRange(1, 3).Draw(t, "target"), Condition(rapid.IntRange(0, 2).Draw(t, "condition")))
			want[k.Target] = k.Condition
			if k.Condition == Clear {
				delete(want, k.Target)
			}
			u := g.marks[0].Set(g.now, balancerKey(0), k)
			for _, n := range g.neighbours(0) {
				g.send(n, 0, u)
			}
			g.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "wait"))*stepInterval, 0)
		}
		g.run(MarkTTL+time.Second, 0)
		for range 50 {
			for n, m := range g.marks[1:] {
				if have := m.All(g.now, balancerKey(n+1)); !maps.Equal(have, want) {
					t.Fatalf("at %v balancer %d: want %v, have %v", g.now, n+1, want, have)
				}
			}
			g.run(stepInterval, 0)
		}
		g.run(MarkTTL, 1)
		for n, m := range g.marks[1:] {
			if have := m.All(g.now, balancerKey(n+1)); len(have) != 0 {
				t.Fatalf("balancer %d: want no marks of the stopped balancer, have %v", n+1, have)
			}
		}
	})
}
