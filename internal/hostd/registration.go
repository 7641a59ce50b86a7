package hostd

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/evac"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// announceTargets is the number of balancers that an agent announces itself to.
	// They forward the entry to the others.
	announceTargets = 2
	// announceInterval is the usual time between two announcements.
	announceInterval = time.Second
	// firstInterval is the time between two announcements until a balancer has
	// answered, and while the agent stops.
	firstInterval = 100 * time.Millisecond
	// answerTimeout is the time after which an unanswered announcement is sent to
	// other balancers.
	answerTimeout = 400 * time.Millisecond
	// lookupInterval is the minimum time between two reads of the platform's list.
	lookupInterval = 5 * time.Second
	// maxBalancers bounds the number of balancers that an agent keeps.
	maxBalancers = 512
)

// registration announces the agent to some of the balancers, which forward its entry
// to the others.
type registration struct {
	seeds []netip.AddrPort
	// balancers maps each known balancer to the number of consecutive
	// announcements that it did not answer.
	balancers map[netip.AddrPort]int
	// pending maps balancers to the time of their first unanswered announcement.
	pending map[netip.AddrPort]time.Duration
	// nextAnnounce is when the next announcement is due. lookupAt is when the
	// platform's list was last requested.
	nextAnnounce, lookupAt time.Duration
	// answeredAt is when a balancer last answered; the start time until then.
	answeredAt time.Duration
	seq        ident.Seq
	state      view.State
	// disputed is set once another process has taken this run of the agent for gone. A
	// removal of its entry from the platform's list may then still be carried out.
	disputed bool
}

func (r *registration) init(now time.Duration, seeds []netip.AddrPort) {
	r.seeds, r.nextAnnounce, r.lookupAt, r.answeredAt = seeds, now, now, now
	r.balancers, r.pending = map[netip.AddrPort]int{}, map[netip.AddrPort]time.Duration{}
}

// SetSeeds replaces the balancer addresses from the settings.
func (c *Core) SetSeeds(seeds []netip.AddrPort) { c.registration.seeds = seeds }

// AddBalancer adds a balancer, for instance one from the platform's list, and makes
// the next announcement due at once.
func (c *Core) AddBalancer(a netip.AddrPort) {
	if _, known := c.registration.balancers[a]; !known && len(c.registration.balancers) < maxBalancers {
		c.registration.balancers[a] = 0
		c.registration.nextAnnounce = 0
	}
}

// Leave makes the agent refuse new flows because it is about to stop. Unless the
// upstream has left too, its flows are recovered by the next run of the agent.
func (c *Core) Leave(now time.Duration) {
	c.leaving = true
	c.nextTick = now
	c.announceChange(now)
	c.LeaveFlows(now)
}

// Busy returns the number of requests in progress.
func (c *Core) Busy(now time.Duration) int { return c.table.Busy(now) }

// Gone reports whether the upstream has deregistered.
func (c *Core) Gone() bool { return c.upstream.gone }

// announceChange announces a new version of the agent's entry at once.
func (c *Core) announceChange(now time.Duration) {
	s := c.upstream.state()
	if c.leaving {
		s = view.Draining
		if c.upstream.hasEnded(now) {
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

// targets returns the balancers to announce to: of those that answer, the first ones
// in the order of a hash with the agent's address. If none answers, it returns all
// known balancers and the seeds.
func (r *registration) targets(self netip.AddrPort) []netip.AddrPort {
	return r.some(self, announceTargets)
}

// compareHashes orders balancers by a hash with an agent's address.
func compareHashes(self, a, b netip.AddrPort) int {
	return cmp.Compare(flow.KeyOf(self, a).Hash(), flow.KeyOf(self, b).Hash())
}

// sorted returns the known balancers by address.
func (r *registration) sorted() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(r.balancers), netip.AddrPort.Compare)
}

// all returns all known balancers and the seeds.
func (r *registration) all() []netip.AddrPort {
	addrs := slices.Clone(r.seeds)
	for _, a := range r.sorted() {
		if !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// announcement is the payload of an Announce.
type announcement struct {
	view.Item
	// Evacuations are the evacuated places that the agent knows; nil if it was told of none.
	Evacuations *evac.Set `json:"evacuations,omitempty"`
	// Era is the latest era of the platform's store that the agent knows; 0 if none. A
	// balancer that knows a later one answers with it.
	Era plat.Era `json:"era,omitempty"`
}

// knownEvacuations returns the evacuated places to announce; nil if the agent knows nothing
// of the platform.
func (c *Core) knownEvacuations() *evac.Set {
	if c.evacuations.Version == 0 {
		return nil
	}
	return &c.evacuations
}

func (c *Core) announce(now time.Duration) {
	r := &c.registration
	e := view.Entry{
		Key:   view.Key{Hop: c.self.Hop, Instance: c.self.Instance},
		State: r.state, Seq: r.seq, Service: c.upstream.service, Place: c.self.Place,
		Stopping: c.leaving && r.state == view.Draining,
	}
	b, err := json.Marshal(announcement{view.Item{Entry: e}, c.knownEvacuations(), c.StoreEra()})
	if err != nil {
		c.Log.WithError(err).Error("announcement cannot be encoded")
		return
	}
	r.nextAnnounce = now + announceInterval
	if r.answeredAt == c.started || c.leaving {
		r.nextAnnounce = now + firstInterval
	}
	targets := r.targets(c.self.Hop)
	if c.leaving {
		// All balancers must know about the stop: one that takes it for a failure
		// would abandon the flows.
		targets = r.all()
	}
	for _, a := range targets {
		if _, waiting := r.pending[a]; !waiting {
			r.pending[a] = now
		}
		c.send(&frame.Frame{Kind: frame.Announce, Payload: b}, a)
	}
}

// handleEra handles the era of the store that a balancer knows. Agents make too few calls to
// hear of it soon by themselves.
func (c *Core) handleEra(f *frame.Frame) {
	if len(f.Payload) != 8 {
		c.Counts.Foreign++
		return
	}
	c.HearEra(plat.Era(binary.BigEndian.Uint64(f.Payload)))
}

// tick sends due announcements, counts balancers that do not answer and starts a
// lookup if none has answered for long.
func (r *registration) tick(now time.Duration, c *Core) {
	if r.seq == 0 && c.upstream.service != "" {
		c.announceChange(now)
	}
	lost := false
	for a, at := range r.pending {
		if now-at >= answerTimeout {
			delete(r.pending, a)
			if n, known := r.balancers[a]; known {
				r.balancers[a] = n + 1
				lost = lost || n == 0
			}
		}
	}
	if r.seq > 0 && (lost || now >= r.nextAnnounce) {
		c.announce(now)
	}
	if now-r.answeredAt >= lookupInterval/2 && now-r.lookupAt >= lookupInterval {
		r.lookupAt = now
		c.FindBalancers()
	}
}

// handleEntries handles the answer of a balancer, which contains the balancers that it
// knows, and the agent's own entry if the balancer has another version of it.
func (r *registration) handleEntries(now time.Duration, payload []byte, from netip.AddrPort, c *Core) {
	var items []view.Item
	if json.Unmarshal(payload, &items) != nil {
		c.Counts.Foreign++
		return
	}
	r.answeredAt = now
	delete(r.pending, from)
	if len(r.balancers) < maxBalancers {
		r.balancers[from] = 0
	}
	for _, i := range items {
		switch {
		case i.Key.IsBalancer() && i.State == view.Gone:
			delete(r.balancers, i.Peer)
		case i.Key.IsBalancer():
			if _, known := r.balancers[i.Peer]; !known && len(r.balancers) < maxBalancers {
				r.balancers[i.Peer] = 0
			}
		case i.Key.Hop == c.self.Hop && i.Key.Instance == c.self.Instance && i.Seq >= r.seq && i.State != r.state:
			r.seq = i.Seq
			c.announceChange(now)
			if i.State != view.Gone {
				break
			}
			r.disputed = true
			if c.upstream.reported && !c.upstream.gone {
				// Whoever took the agent for gone may have removed it from the list.
				c.UpdateListing(c.upstream.service)
			}
		}
	}
}
