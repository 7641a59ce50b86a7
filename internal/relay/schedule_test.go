package relay

import (
	"testing"
	"time"
)

// TestRebuildSchedule guards against rebuilds that use a whole core when
// changes come continuously, urgent or not, and against delaying the first
// change.
func TestRebuildSchedule(t *testing.T) {
	const took = 20 * time.Millisecond
	for _, c := range []struct {
		name  string
		asked []bool
		want  time.Duration
	}{
		{"urgent", []bool{true}, 3 * took},
		{"other", []bool{false}, 10 * took},
		{"urgent after other", []bool{false, true}, 3 * took},
		{"other after urgent", []bool{true, false}, 3 * took},
	} {
		var p rebuildSchedule
		now := time.Now()
		for _, urgent := range c.asked {
			if p.request(urgent); p.due.After(now) {
				t.Errorf("%s: the first rebuild is delayed", c.name)
			}
		}
		for range 3 {
			p.finished(now, now.Add(took))
			if p.pending {
				t.Errorf("%s: a rebuild is pending without a change", c.name)
			}
			now = now.Add(took)
			for _, urgent := range c.asked {
				p.request(urgent)
			}
			if have := p.due.Sub(now); !p.pending || have != c.want {
				t.Errorf("%s: want the next rebuild after %v, have %v", c.name, c.want, have)
			}
			now = p.due
		}
	}
}
