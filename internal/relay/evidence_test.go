package relay

import (
	"testing"
	"time"
)

// TestEvidenceEnds guards against a balancer that keeps a killed agent in its
// table for too long because it heard from the agent shortly before. Such a
// balancer ignores the down marks of other balancers at first; its table must
// change as soon as its own evidence expires, not at a later rebuild.
func TestEvidenceEnds(t *testing.T) {
	cl := newCluster(t)
	bs := []*running{cl.balancer(), cl.balancer(), cl.balancer(), cl.balancer()}
	var as []*fakeAgent
	for range 6 {
		as = append(as, cl.agent(bs[0]))
	}
	cl.eventually(10*time.Second, "all endpoints usable", each(bs, func(b *running) bool { return b.usable() == len(as) }))
	for i, a := range as[:5] {
		for _, b := range bs {
			(*b.stats.Load())[a.key.Hop].lastHeard.Store(time.Now().UnixNano())
		}
		a.kill()
		left := len(as) - 1 - i
		d := cl.eventually(2*time.Second, "killed agent removed from all tables", each(bs, func(b *running) bool { return b.usable() == left }))
		t.Logf("kill %d: removed from the tables of 4 balancers after %v", i+1, d)
		// The evidence lasts 500 ms; at most one missed probe and one tick
		// follow.
		if limit := 700 * time.Millisecond; d > limit {
			t.Errorf("kill %d: want at most %v, have %v", i+1, limit, d)
		}
	}
}
