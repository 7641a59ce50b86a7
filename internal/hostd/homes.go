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
	// homeCount is the number of balancers that an agent announces itself to;
	// those tell the others.
	homeCount = 2
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

// homes are the balancers that the agent announces itself to.
type homes struct {
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

func (h *homes) init(now time.Duration, seeds []netip.AddrPort) {
	h.seeds, h.next, h.found, h.heard = seeds, now, now, now
	h.known, h.asked = map[netip.AddrPort]int{}, map[netip.AddrPort]time.Duration{}
}

// SetSeeds replaces the addresses of balancers from the settings.
func (c *Core) SetSeeds(seeds []netip.AddrPort) { c.homes.seeds = seeds }

// AddBalancer makes a balancer known whose address was found elsewhere.
func (c *Core) AddBalancer(a netip.AddrPort) {
	if _, held := c.homes.known[a]; !held && len(c.homes.known) < maxBalancers {
		c.homes.known[a] = 0
		c.homes.next = 0
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
	h := &c.homes
	if h.seq == 0 {
		h.seq = c.self.Seq
	} else {
		h.seq++
	}
	h.state = s
	c.announce(now)
}

// targets returns the balancers to announce to: the ones that the agent's
// address ranks first among those that answer.
func (h *homes) targets(self netip.AddrPort) []netip.AddrPort {
	var as []netip.AddrPort
	for a, n := range h.known {
		if n == 0 {
			as = append(as, a)
		}
	}
	if len(as) == 0 {
		for a := range h.known {
			as = append(as, a)
		}
		return append(as, h.seeds...)
	}
	slices.SortFunc(as, func(a, b netip.AddrPort) int {
		return cmp.Compare(flow.KeyOf(self, a).Hash(), flow.KeyOf(self, b).Hash())
	})
	return as[:min(homeCount, len(as))]
}

// all returns all balancers that are known, and the seeds.
func (h *homes) all() []netip.AddrPort {
	as := slices.Clone(h.seeds)
	for a := range h.known {
		if !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	return as
}

func (c *Core) announce(now time.Duration) {
	h := &c.homes
	e := view.Entry{
		Key:   view.Key{Hop: c.self.Hop, Instance: c.self.Instance},
		State: h.state, Seq: h.seq, Service: c.upstream.service, Place: c.self.Place,
	}
	b, err := json.Marshal(view.Item{Entry: e})
	if err != nil {
		c.Log.WithError(err).Error("announcement not encoded")
		return
	}
	h.next = now + announceInterval
	if h.heard == c.started || c.leaving {
		h.next = now + firstInterval
	}
	targets := h.targets(c.self.Hop)
	if c.leaving {
		// A balancer that takes the stop for a failure would give the flows up.
		targets = h.all()
	}
	for _, a := range targets {
		if _, waits := h.asked[a]; !waits {
			h.asked[a] = now
		}
		c.send(&frame.Frame{Kind: frame.Announce, Payload: b}, a)
	}
}

// tick announces what is due and gives up on balancers that do not answer.
func (h *homes) tick(now time.Duration, c *Core) {
	if h.seq == 0 && c.upstream.service != "" {
		c.changed(now)
	}
	lost := false
	for a, at := range h.asked {
		if now-at >= answerTimeout {
			delete(h.asked, a)
			if n, held := h.known[a]; held {
				h.known[a] = n + 1
				lost = lost || n == 0
			}
		}
	}
	if h.seq > 0 && (lost || now >= h.next) {
		c.announce(now)
	}
	if now-h.heard >= findInterval/2 && now-h.found >= findInterval {
		h.found = now
		c.FindBalancers()
	}
}

// answered takes the answer of a balancer: the balancers that it knows, and the
// agent's own entry if it knows another version.
func (h *homes) answered(now time.Duration, payload []byte, from netip.AddrPort, c *Core) {
	var items []view.Item
	if json.Unmarshal(payload, &items) != nil {
		c.Counts.Foreign++
		return
	}
	h.heard = now
	delete(h.asked, from)
	if len(h.known) < maxBalancers {
		h.known[from] = 0
	}
	for _, i := range items {
		switch {
		case i.Key.IsBalancer() && i.State == view.Gone:
			delete(h.known, i.Peer)
		case i.Key.IsBalancer():
			if _, held := h.known[i.Peer]; !held && len(h.known) < maxBalancers {
				h.known[i.Peer] = 0
			}
		case i.Key.Hop == c.self.Hop && i.Key.Instance == c.self.Instance && i.Seq >= h.seq && i.State != h.state:
			h.seq = i.Seq
			c.changed(now)
		}
	}
}
