package relay

import (
	"testing"
	"time"
)

// TestEvidenceEnds guards the moment at which a balancer that heard a killed
// agent shortly before starts to believe the marks of others: its table must
// change when that evidence ends, not at some later rebuild.
func TestEvidenceEnds(t *testing.T) {
	s := newSite(t)
	bs := []*running{s.balancer(), s.balancer(), s.balancer(), s.balancer()}
	var as []*fakeAgent
	for range 6 {
		as = append(as, s.agent(bs[0]))
	}
	s.eventually(10*time.Second, "all endpoints usable", each(bs, func(b *running) bool { return b.usable() == len(as) }))
	for i, a := range as[:5] {
		for _, b := range bs {
			(*b.stats.Load())[a.key.Hop].lastHeard.Store(time.Now().UnixNano())
		}
		a.kill()
		left := len(as) - 1 - i
		d := s.eventually(2*time.Second, "killed agent in no table", each(bs, func(b *running) bool { return b.usable() == left }))
		t.Logf("kill %d: in no table of 4 balancers after %v", i+1, d)
		// Evidence of 500 ms, at most one missed probe after it, and a tick.
		if limit := 700 * time.Millisecond; d > limit {
			t.Errorf("kill %d: want at most %v, have %v", i+1, limit, d)
		}
	}
}
