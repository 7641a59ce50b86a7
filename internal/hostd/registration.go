package hostd

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// announceTargets is the number of balancers that an agent announces itself to;
	// those tell the others.
	announceTargets = 2
	// announceInterval is how often it does so.
	announceInterval = time.Second
	// firstInterval is how often it does so until a balancer has answered, and
	// while it stops.
	firstInterval = 100 * time.Millisecond
	// answerTimeout is after what time an unanswered announcement is repeated to
	// other balancers.
	answerTimeout = 400 * time.Millisecond
	// findInterval is the least time between two looks at the platform's list.
	findInterval = 5 * time.Second
	// maxBalancers bounds the balancers that an agent remembers.
	maxBalancers = 512
)

// registration keeps the agent known to the balancers: it announces the agent to
// some of them, which tell the others.
type registration struct {
	seeds []netip.AddrPort
	// known are balancers and how often they did not answer in a row.
	known map[netip.AddrPort]int
	// asked are the unanswered announcements.
	asked map[netip.AddrPort]time.Duration
	// next is when the next announcement is due, found when the platform's list
	// was last asked for.
	next, found time.Duration
	// heard is when a balancer last answered.
	heard time.Duration
	seq   ident.Seq
	state view.State
}

func (r *registration) init(now time.Duration, seeds []netip.AddrPort) {
	r.seeds, r.next, r.found, r.heard = seeds, now, now, now
	r.known, r.asked = map[netip.AddrPort]int{}, map[netip.AddrPort]time.Duration{}
}

// SetSeeds replaces the addresses of balancers from the settings.
func (c *Core) SetSeeds(seeds []netip.AddrPort) { c.registration.seeds = seeds }

// AddBalancer makes a balancer known whose address was found elsewhere.
func (c *Core) AddBalancer(a netip.AddrPort) {
	if _, held := c.registration.known[a]; !held && len(c.registration.known) < maxBalancers {
		c.registration.known[a] = 0
		c.registration.next = 0
	}
}

// Leave makes the agent take no new flows because it is about to stop. Unless
// the upstream has left too, its flows wait for the next run.
func (c *Core) Leave(now time.Duration) {
	c.leaving = true
	c.housekeeping = now
	c.changed(now)
}

// Busy returns the number of requests in progress.
func (c *Core) Busy(now time.Duration) int { return c.table.Busy(now) }

// Gone reports whether the upstream has left.
func (c *Core) Gone() bool { return c.upstream.gone }

// changed announces a new version of the own entry at once.
func (c *Core) changed(now time.Duration) {
	s := c.upstream.state()
	if c.leaving {
		s = view.Draining
		if !c.upstream.alive() {
			s = view.Gone
		}
	}
	r := &c.registration
	if r.seq == 0 {
		r.seq = c.self.Seq
	} else {
		r.seq++
	}
	r.state = s
	c.announce(now)
}

// targets returns the balancers to announce to: the ones that the agent's
// address ranks first among those that answer.
func (r *registration) targets(self netip.AddrPort) []netip.AddrPort {
	var as []netip.AddrPort
	for a, n := range r.known {
		if n == 0 {
			as = append(as, a)
		}
	}
	if len(as) == 0 {
		for a := range r.known {
			as = append(as, a)
		}
		return append(as, r.seeds...)
	}
	slices.SortFunc(as, func(a, b netip.AddrPort) int {
		return cmp.Compare(flow.KeyOf(self, a).Hash(), flow.KeyOf(self, b).Hash())
	})
	return as[:min(announceTargets, len(as))]
}

// all returns all balancers that are known, and the seeds.
func (r *registration) all() []netip.AddrPort {
	as := slices.Clone(r.seeds)
	for a := range r.known {
		if !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	return as
}

func (c *Core) announce(now time.Duration) {
	r := &c.registration
	e := view.Entry{
		Key:   view.Key{Hop: c.self.Hop, Instance: c.self.Instance},
		State: r.state, Seq: r.seq, Service: c.upstream.service, Place: c.self.Place,
	}
	b, err := json.Marshal(view.Item{Entry: e})
	if err != nil {
		c.Log.WithError(err).Error("announcement not encoded")
		return
	}
	r.next = now + announceInterval
	if r.heard == c.started || c.leaving {
		r.next = now + firstInterval
	}
	targets := r.targets(c.self.Hop)
	if c.leaving {
		// A balancer that takes the stop for a failure would give the flows up.
		targets = r.all()
	}
	for _, a := range targets {
		if _, waits := r.asked[a]; !waits {
			r.asked[a] = now
		}
		c.send(&frame.Frame{Kind: frame.Announce, Payload: b}, a)
	}
}

// tick announces what is due and gives up on balancers that do not answer.
func (r *registration) tick(now time.Duration, c *Core) {
	if r.seq == 0 && c.upstream.service != "" {
		c.changed(now)
	}
	lost := false
	for a, at := range r.asked {
		if now-at >= answerTimeout {
			delete(r.asked, a)
			if n, held := r.known[a]; held {
				r.known[a] = n + 1
				lost = lost || n == 0
			}
		}
	}
	if r.seq > 0 && (lost || now >= r.next) {
		c.announce(now)
	}
	if now-r.heard >= findInterval/2 && now-r.found >= findInterval {
		r.found = now
		c.FindBalancers()
	}
}

// answered takes the answer of a balancer: the balancers that it knows, and the
// agent's own entry if it knows another version.
func (r *registration) answered(now time.Duration, payload []byte, from netip.AddrPort, c *Core) {
	var items []view.Item
	if json.Unmarshal(payload, &items) != nil {
		c.Counts.Foreign++
		return
	}
	r.heard = now
	delete(r.asked, from)
	if len(r.known) < maxBalancers {
		r.known[from] = 0
	}
	for _, i := range items {
		switch {
		case i.Key.IsBalancer() && i.State == view.Gone:
			delete(r.known, i.Peer)
		case i.Key.IsBalancer():
			if _, held := r.known[i.Peer]; !held && len(r.known) < maxBalancers {
				r.known[i.Peer] = 0
			}
		case i.Key.Hop == c.self.Hop && i.Key.Instance == c.self.Instance && i.Seq >= r.seq && i.State != r.state:
			r.seq = i.Seq
			c.changed(now)
		}
	}
}
