package relay

import (
	"testing"
	"time"
)

// TestPace guards the share of time that rebuilds take: a storm of changes,
// urgent or not, must not use a core, and a lone change must not wait.
func TestPace(t *testing.T) {
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
		var p pace
		now := time.Now()
		for _, urgent := range c.asked {
			if p.ask(urgent); p.due.After(now) {
				t.Errorf("%s: the first rebuild waits", c.name)
			}
		}
		for range 3 {
			p.rebuilt(now, now.Add(took))
			if p.wanted {
				t.Errorf("%s: a rebuild is wanted without a change", c.name)
			}
			now = now.Add(took)
			for _, urgent := range c.asked {
				p.ask(urgent)
			}
			if have := p.due.Sub(now); !p.wanted || have != c.want {
				t.Errorf("%s: want the next rebuild after %v, have %v", c.name, c.want, have)
			}
			now = p.due
		}
	}
}
