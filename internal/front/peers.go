package front

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/evac"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// exchangeInterval is the time between two comparisons of a balancer's view
	// with that of another balancer.
	exchangeInterval = time.Second
	// fetchDelay is how long a balancer that learns of a newer configuration from a
	// peer waits for it from the platform before it reads it from the peer.
	fetchDelay = 200 * time.Millisecond
	// seedInterval is the time between two messages to the seeds while no other
	// balancer is known.
	seedInterval = 250 * time.Millisecond
	// maxItemsPerMessage is the number of entries in a datagram; each takes up to
	// 200 bytes.
	maxItemsPerMessage = 6
	// balancerListEvery is the mean number of an agent's unchanged announcements per
	// list of balancers sent in reply. The others get an empty reply.
	balancerListEvery = 10
	// peerForgetTime is the time without an answer after which a balancer counts as
	// gone.
	peerForgetTime = 30 * time.Second
)

// peerExchange schedules the exchange of views and configurations between
// balancers.
type peerExchange struct {
	seeds []netip.AddrPort
	// nextExchange is when the next comparison of views is due.
	nextExchange time.Duration
	// newerGeneration is a generation that newerSource has in force and that is read
	// from there at fetchAt; 0 if there is none.
	newerGeneration ident.Generation
	newerSource     netip.AddrPort
	fetchAt         time.Duration
	// askedAt is when the oldest unanswered Digest to a balancer was sent.
	askedAt map[netip.AddrPort]time.Duration
	// heardAt is when the last datagram of another balancer arrived; the start before the first.
	heardAt time.Duration
}

func (p *peerExchange) init(now time.Duration, seeds []netip.AddrPort) {
	p.seeds, p.nextExchange, p.heardAt = seeds, now, now
	p.askedAt = map[netip.AddrPort]time.Duration{}
}

// expected reports whether the settings name other balancers than the one at an address.
func (p *peerExchange) expected(self netip.AddrPort) bool {
	return slices.ContainsFunc(p.seeds, func(a netip.AddrPort) bool { return a != self })
}

// digestBody is the payload of a Digest.
type digestBody struct {
	Self       view.Item        `json:"self"`
	Generation ident.Generation `json:"generation"`
	// Buckets holds the hashes of the view's buckets, eight bytes each.
	Buckets []byte `json:"buckets"`
	// ConfirmedMillis is the time since the last answer of the platform about the
	// configuration that the sender knows of, plus one. Only earlier versions read it.
	ConfirmedMillis int64 `json:"confirmedMillis,omitempty"`
	// Evacuations is the version of the evacuated places that the sender knows; 0 if it
	// knows of none.
	Evacuations plat.Version `json:"evacuations,omitempty"`
	// EvacuationEra is the era of Evacuations, and Era the latest era of the platform's
	// store that the sender knows; 0 if there is none.
	EvacuationEra plat.Era `json:"evacuationEra,omitempty"`
	Era           plat.Era `json:"era,omitempty"`
	// Answer is set on a Digest that answers another one; it gets no answer itself.
	Answer bool `json:"answer,omitempty"`
}

// SetSeeds replaces the message addresses of balancers that may be running.
func (c *Core) SetSeeds(seeds []netip.AddrPort) { c.peers.seeds = seeds }

// Stop tells the other balancers that this one is leaving.
func (c *Core) Stop(now time.Duration) {
	c.stopped = true
	c.setOwnState(now, view.Gone)
	item, _ := c.view.Item(now, c.ownKey())
	c.flood([]view.Item{item}, netip.AddrPort{})
}

func (c *Core) ownKey() view.Key {
	return view.Key{Name: c.self.Name, Hop: c.self.Hop, Instance: c.self.Instance}
}

func (c *Core) setOwnState(now time.Duration, s view.State) {
	e := view.Entry{Key: c.ownKey(), State: s, Seq: c.self.Seq, Place: c.self.Place, Peer: c.self.Peer}
	c.view.Merge(now, view.Item{Entry: e})
}

// MemberCount returns the number of runs of balancers and agents that are not known to
// have ended.
func (c *Core) MemberCount() int { return len(c.view.EntriesUnsorted()) }

// Peers returns the message addresses of the other balancers.
func (c *Core) Peers() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range c.view.Balancers() {
		if e.Key != c.ownKey() && !slices.Contains(as, e.Peer) && e.Peer != c.self.Peer {
			as = append(as, e.Peer)
		}
	}
	return as
}

// HasLowestAddr reports whether the balancer has the lowest message address of
// all balancers.
func (c *Core) HasLowestAddr() bool {
	for _, a := range c.Peers() {
		if a.Compare(c.self.Peer) < 0 {
			return false
		}
	}
	return true
}

// ContactPeer sends a Digest to a balancer whose address was found outside the
// view. The balancer is added to the view when it answers.
func (c *Core) ContactPeer(now time.Duration, a netip.AddrPort) {
	if a != c.self.Peer {
		c.sendDigest(now, a, false)
	}
}

// exchangeView compares the view with that of a random balancer, or with those
// of the seeds while no other balancer is known.
func (c *Core) exchangeView(now time.Duration) {
	p := &c.peers
	if now < p.nextExchange || c.stopped {
		return
	}
	p.nextExchange = now + exchangeInterval
	c.view.Expire(now)
	known := c.Peers()
	if len(known) == 0 {
		p.nextExchange = now + seedInterval
		for _, a := range p.seeds {
			c.ContactPeer(now, a)
		}
		return
	}
	a := known[c.self.Random.IntN(len(known))]
	if since, asked := p.askedAt[a]; !asked {
		p.askedAt[a] = now
	} else if now-since >= peerForgetTime {
		c.forgetPeer(now, a)
		return
	}
	c.sendDigest(now, a, false)
}

// forgetPeer marks the balancer at an address as gone.
func (c *Core) forgetPeer(now time.Duration, a netip.AddrPort) {
	delete(c.peers.askedAt, a)
	for _, e := range c.view.Balancers() {
		if e.Peer == a {
			e.State = view.Gone
			c.mergeItems(now, []view.Item{{Entry: e}})
		}
	}
}

func (c *Core) sendDigest(now time.Duration, to netip.AddrPort, answer bool) {
	self, _ := c.view.Item(now, c.ownKey())
	var buckets []byte
	for _, h := range c.view.Digest() {
		buckets = binary.BigEndian.AppendUint64(buckets, h)
	}
	c.sendJSON(frame.Digest, digestBody{
		Self: self, Generation: c.rules.Generation(), Buckets: buckets, Answer: answer,
		ConfirmedMillis: 1 + (now - c.confirmed.at).Milliseconds(), Evacuations: c.evacuations.set.Version,
		EvacuationEra: c.evacuations.set.Era, Era: c.StoreEra(),
	}, to)
}

// AnnounceGeneration sends the generation of the configuration in force to the
// other balancers after an answer of the platform. They then know that none is newer.
func (c *Core) AnnounceGeneration() {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.rules.Generation()))
	for _, a := range c.Peers() {
		c.send(&frame.Frame{Kind: frame.Generation, Balancer: c.self.Peer, Payload: b}, a)
	}
}

func (c *Core) sendJSON(k frame.Kind, body any, to netip.AddrPort) {
	b, err := json.Marshal(body)
	if err != nil {
		c.Log.WithError(err).Error("failed to encode message")
		return
	}
	c.send(&frame.Frame{Kind: k, Balancer: c.self.Peer, Payload: b}, to)
}

func (c *Core) sendItems(items []view.Item, to netip.AddrPort) {
	for chunk := range slices.Chunk(items, maxItemsPerMessage) {
		c.sendJSON(frame.Entries, chunk, to)
	}
}

// flood sends items to all other balancers except the one given.
func (c *Core) flood(items []view.Item, except netip.AddrPort) {
	for _, a := range c.Peers() {
		if a != except {
			c.sendItems(items, a)
		}
	}
}

// handleGossip handles messages about views, generations and evacuations.
func (c *Core) handleGossip(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	switch f.Kind {
	case frame.Generation:
		if len(f.Payload) != 8 {
			c.Counts.Foreign++
			return
		}
		c.noteWatcher(now, from)
		c.noteGeneration(now, ident.Generation(binary.BigEndian.Uint64(f.Payload)), from)
	case frame.Digest:
		var d digestBody
		if json.Unmarshal(f.Payload, &d) != nil || len(d.Buckets) != 8*view.Buckets {
			c.Counts.Foreign++
			return
		}
		c.handleDigest(now, &d, from)
	case frame.Entries:
		var items []view.Item
		if json.Unmarshal(f.Payload, &items) != nil {
			c.Counts.Foreign++
			return
		}
		c.mergeItems(now, items)
	case frame.Evacuations:
		c.handleEvacuations(now, f, from)
	case frame.Era:
		c.handleEra(f, from)
	case frame.Announce:
		var a announcement
		if json.Unmarshal(f.Payload, &a) != nil || a.Key.IsBalancer() {
			c.Counts.Foreign++
			return
		}
		c.handleAnnounce(now, a.Item, from)
		c.noteAnnounced(now, a.Evacuations, from)
		c.noteEra(a.Era, from)
	}
}

func (c *Core) handleDigest(now time.Duration, d *digestBody, from netip.AddrPort) {
	delete(c.peers.askedAt, from)
	c.mergeItems(now, []view.Item{d.Self})
	var buckets [view.Buckets]uint64
	for i := range buckets {
		buckets[i] = binary.BigEndian.Uint64(d.Buckets[8*i:])
	}
	if ns := c.view.DifferingBuckets(buckets); len(ns) > 0 {
		c.sendItems(c.view.Items(now, ns), from)
		if !d.Answer {
			c.sendDigest(now, from, true)
		}
	} else if !d.Answer {
		c.sendDigest(now, from, true)
	}
	c.noteGeneration(now, d.Generation, from)
	c.tellEvacuations(plat.Stamp{Era: d.EvacuationEra, Version: d.Evacuations}, from)
	c.noteEra(d.Era, from)
}

// noteGeneration schedules reading a newer configuration. A balancer that watches the
// platform waits for that first, unless it has no configuration at all.
func (c *Core) noteGeneration(now time.Duration, g ident.Generation, from netip.AddrPort) {
	p := &c.peers
	if g <= c.rules.Generation() || g <= p.newerGeneration {
		return
	}
	if p.newerGeneration == 0 {
		p.fetchAt = now + fetchDelay
		if c.rules == nil || !c.Watches(now) {
			p.fetchAt = now
		}
	}
	p.newerGeneration, p.newerSource = g, from
}

// fetchNewer starts reading a newer configuration from a peer if it is due and the
// platform has not delivered it in the meantime.
func (c *Core) fetchNewer(now time.Duration) {
	p := &c.peers
	if p.newerGeneration == 0 || now < p.fetchAt {
		return
	}
	if p.newerGeneration > c.rules.Generation() {
		c.FetchConfig(p.newerSource)
	}
	p.newerGeneration = 0
}

// announcement is the payload of an Announce.
type announcement struct {
	view.Item
	// Evacuations are the evacuated places that the agent knows; nil if it was told of none.
	Evacuations *evac.Set `json:"evacuations"`
	// Era is the latest era of the platform's store that the agent knows; 0 if none.
	Era plat.Era `json:"era"`
}

// handleAnnounce handles the announcement of an agent. Other entries at its
// address belong to processes that have ended.
func (c *Core) handleAnnounce(now time.Duration, i view.Item, from netip.AddrPort) {
	items := []view.Item{i}
	if i.Key.Hop == from && c.isPresentRun(&i.Entry) {
		items = append(items, c.earlierRuns(i.Key)...)
	}
	news := c.mergeItems(now, items)
	if len(news) > 0 {
		c.flood(news, from)
	} else if stored, _ := c.view.Get(i.Key); stored == i.Entry && c.self.Random.IntN(balancerListEvery) > 0 {
		c.sendJSON(frame.Entries, []view.Item{}, from)
		return
	}
	answer := make([]view.Item, 0, maxItemsPerMessage)
	if stored, ok := c.view.Item(now, i.Key); ok && stored.Entry != i.Entry {
		answer = append(answer, stored)
	}
	bs := c.view.Balancers()
	c.self.Random.Shuffle(len(bs), func(a, b int) { bs[a], bs[b] = bs[b], bs[a] })
	for _, e := range bs[:min(len(bs), maxItemsPerMessage-1)] {
		answer = append(answer, view.Item{Entry: e})
	}
	c.sendItems(answer, from)
}
