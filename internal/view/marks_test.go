package view

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func markBy(n int) Key {
	return Key{Name: fmt.Sprint("b", n), Hop: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 7000)}
}

func markOf(n int, c Condition) Mark {
	return Mark{Target: Key{Hop: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)}, Condition: c}
}

// TestApplyMarks guards the order of a balancer's marks and their expiry by
// the receiver's clock: a late or repeated update must not bring back a mark.
func TestApplyMarks(t *testing.T) {
	m, by := NewMarks(), markBy(1)
	for _, c := range []struct {
		now     time.Duration
		version uint64
		full    bool
		age     time.Duration
		marks   []Mark
		outcome Outcome
		want    Condition
	}{
		{0, 3, false, 0, []Mark{markOf(1, Down)}, Missing, Clear},
		{0, 3, true, 0, []Mark{markOf(1, Down)}, Adopted, Down},
		{1, 3, false, 0, []Mark{markOf(1, Clear)}, Known, Down},
		{1, 5, false, 0, []Mark{markOf(1, Clear)}, Missing, Down},
		{1, 4, false, 0, []Mark{markOf(1, Refusing)}, Adopted, Refusing},
		{1, 2, true, 0, nil, Known, Refusing},
		{1, 6, false, 0, []Mark{markOf(1, Down), markOf(1, Clear), markOf(2, Down)}, Adopted, Clear},
		{1, 5, false, 0, []Mark{markOf(1, Down)}, Known, Clear},
		{1, 7, true, MarkTime, []Mark{markOf(1, Down)}, Known, Clear},
		{1, 7, true, MarkTime - 1, []Mark{markOf(1, Down)}, Adopted, Down},
		{MarkTime + 1, 7, true, 0, []Mark{markOf(1, Down)}, Known, Clear},
	} {
		have := m.Apply(c.now, MarkUpdate{By: by, Version: c.version, Full: c.full, Age: c.age, Marks: c.marks})
		if of := m.Of(c.now, markOf(1, 0).Target, Key{}); have != c.outcome || of != c.want {
			t.Errorf("at %v version %d: want outcome %d condition %v, have %d %v", c.now, c.version, c.outcome, c.want, have, of)
		}
	}
	if m.Of(1, markOf(1, 0).Target, by) != Clear {
		t.Error("a balancer's own mark must not count as one of others")
	}
	if m.Expire(MarkTime+1, Key{}); m.Len() != 0 {
		t.Errorf("want no marks after expiry, have %d", m.Len())
	}
}

// group is a ring of balancers that exchange marks, with pushes that may be
// lost. A vouch may take up to 20 ms.
type group struct {
	t     *rapid.T
	now   time.Duration
	marks []*Marks
	phase []time.Duration
	late  []func()
}

const (
	groupStep     = 20 * time.Millisecond
	groupInterval = 500 * time.Millisecond
)

func (g *group) neighbours(n int) []int {
	size := len(g.marks)
	return []int{(n + 1) % size, (n + size - 1) % size}
}

func (g *group) push(to, from int, u MarkUpdate) {
	u.Age += groupStep
	if rapid.IntRange(0, 3).Draw(g.t, "lost") == 0 || g.marks[to].Apply(g.now, u) != Adopted {
		return
	}
	for _, n := range g.neighbours(to) {
		if n != from {
			g.push(n, to, u)
		}
	}
}

func (g *group) vouch(from int) {
	v := g.marks[from].Vouch(g.now, markBy(from))
	for _, to := range g.neighbours(from) {
		deliver := func() {
			if len(v.Ages) == 0 || g.marks[to].Renew(g.now, markBy(to), v) {
				return
			}
			wanted := g.marks[to].Compare(g.now, markBy(to), g.marks[from].Versions(g.now))
			for _, u := range g.marks[from].Full(g.now, wanted) {
				g.marks[to].Apply(g.now, u)
			}
		}
		if rapid.Bool().Draw(g.t, "late") {
			g.late = append(g.late, deliver)
			continue
		}
		deliver()
	}
}

// run lets time pass; the balancers from first on are alive.
func (g *group) run(d time.Duration, first int) {
	for end := g.now + d; g.now < end; g.now += groupStep {
		late := g.late
		g.late = nil
		for _, deliver := range late {
			deliver()
		}
		for n, m := range g.marks {
			if n >= first && (g.now+g.phase[n])%groupInterval == 0 {
				m.Expire(g.now, markBy(n))
				g.vouch(n)
			}
		}
	}
}

// TestMarksSpread guards the exchange of marks beyond direct peers: every
// balancer must hold exactly the marks of a living one although updates are
// lost, and none of a dead one after MarkTime, although the others go on to
// vouch for what they hold.
func TestMarksSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &group{t: t}
		for range rapid.IntRange(3, 7).Draw(t, "balancers") {
			g.marks = append(g.marks, NewMarks())
			g.phase = append(g.phase, time.Duration(rapid.IntRange(0, 24).Draw(t, "phase"))*groupStep)
		}
		want := map[Key]Condition{}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			k := markOf(rapid.IntRange(1, 3).Draw(t, "target"), Condition(rapid.IntRange(0, 2).Draw(t, "condition")))
			want[k.Target] = k.Condition
			if k.Condition == Clear {
				delete(want, k.Target)
			}
			u := g.marks[0].Set(g.now, markBy(0), k)
			for _, n := range g.neighbours(0) {
				g.push(n, 0, u)
			}
			g.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "wait"))*groupStep, 0)
		}
		g.run(MarkTime+time.Second, 0)
		for range 50 {
			for n, m := range g.marks[1:] {
				if have := m.All(g.now, markBy(n+1)); !maps.Equal(have, want) {
					t.Fatalf("at %v balancer %d: want %v, have %v", g.now, n+1, want, have)
				}
			}
			g.run(groupStep, 0)
		}
		g.run(MarkTime, 1)
		for n, m := range g.marks[1:] {
			if have := m.All(g.now, markBy(n+1)); len(have) != 0 {
				t.Fatalf("balancer %d holds marks of a dead one: %v", n+1, have)
			}
		}
	})
}
