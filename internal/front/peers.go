package front

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// exchangeInterval is how often a balancer compares its view with another one.
	exchangeInterval = time.Second
	// fetchDelay is how long a newer configuration of a peer is expected from the
	// platform before it is read from the peer.
	fetchDelay = 200 * time.Millisecond
	// seedInterval is how often the seeds are asked while no balancer is known.
	seedInterval = 250 * time.Millisecond
	// maxItems is the number of entries in a datagram: up to 200 octets each.
	maxItems = 6
	// listEvery is how many announcements without news an agent makes on average
	// until it gets a list of balancers again.
	listEvery = 10
	// peerForgetTime is after what time a silent balancer counts as gone.
	peerForgetTime = 30 * time.Second
)

// peers schedules the comparison of views among balancers.
type peers struct {
	seeds []netip.AddrPort
	// next is when the next comparison is due.
	next time.Duration
	// ahead is a newer generation that source has in force; it is read at fetchAt.
	ahead   ident.Generation
	source  netip.AddrPort
	fetchAt time.Duration
	// asked is when a balancer was first asked without an answer.
	asked map[netip.AddrPort]time.Duration
}

func (p *peers) init(now time.Duration, seeds []netip.AddrPort) {
	p.seeds, p.next = seeds, now
	p.asked = map[netip.AddrPort]time.Duration{}
}

// digestBody is the payload of a Digest.
type digestBody struct {
	Self       view.Item        `json:"self"`
	Generation ident.Generation `json:"generation"`
	// Buckets are the bucket hashes, eight octets each.
	Buckets []byte `json:"buckets"`
	// Answer is set in the answer to a Digest.
	Answer bool `json:"answer,omitempty"`
}

// SetSeeds replaces the addresses of balancers from the settings.
func (c *Core) SetSeeds(seeds []netip.AddrPort) { c.peers.seeds = seeds }

// Stop makes the balancer tell the others that it leaves.
func (c *Core) Stop(now time.Duration) {
	c.stopped = true
	c.announceSelf(now, view.Gone)
	item, _ := c.view.Item(now, c.key())
	c.flood([]view.Item{item}, netip.AddrPort{})
}

func (c *Core) key() view.Key {
	return view.Key{Name: c.self.Name, Hop: c.self.Hop, Instance: c.self.Instance}
}

func (c *Core) announceSelf(now time.Duration, s view.State) {
	e := view.Entry{Key: c.key(), State: s, Seq: c.self.Seq, Place: c.self.Place, Peer: c.self.Peer}
	c.view.Merge(now, view.Item{Entry: e})
}

// Peers returns the addresses of the other balancers.
func (c *Core) Peers() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range c.view.Balancers() {
		if e.Key != c.key() && !slices.Contains(as, e.Peer) && e.Peer != c.self.Peer {
			as = append(as, e.Peer)
		}
	}
	return as
}

// First reports whether the balancer has the lowest address of all.
func (c *Core) First() bool {
	for _, a := range c.Peers() {
		if a.Compare(c.self.Peer) < 0 {
			return false
		}
	}
	return true
}

// AddPeer makes a balancer known whose address was found elsewhere.
func (c *Core) AddPeer(now time.Duration, a netip.AddrPort) {
	if a != c.self.Peer {
		c.sendDigest(now, a, false)
	}
}

// exchange compares the view with one balancer, and with the seeds while no
// other balancer is known.
func (c *Core) exchange(now time.Duration) {
	p := &c.peers
	if now < p.next || c.stopped {
		return
	}
	p.next = now + exchangeInterval
	c.view.Expire(now)
	known := c.Peers()
	if len(known) == 0 {
		p.next = now + seedInterval
		for _, a := range p.seeds {
			c.AddPeer(now, a)
		}
		return
	}
	a := known[rand.IntN(len(known))]
	if since, asked := p.asked[a]; !asked {
		p.asked[a] = now
	} else if now-since >= peerForgetTime {
		c.forgetPeer(now, a)
		return
	}
	c.sendDigest(now, a, false)
}

// forgetPeer removes a balancer that has not answered for a long time.
func (c *Core) forgetPeer(now time.Duration, a netip.AddrPort) {
	delete(c.peers.asked, a)
	for _, e := range c.view.Balancers() {
		if e.Peer == a {
			e.State = view.Gone
			c.adopt(now, []view.Item{{Entry: e}})
		}
	}
}

func (c *Core) sendDigest(now time.Duration, to netip.AddrPort, answer bool) {
	self, _ := c.view.Item(now, c.key())
	var buckets []byte
	for _, h := range c.view.Digest() {
		buckets = binary.BigEndian.AppendUint64(buckets, h)
	}
	c.sendBody(frame.Digest, digestBody{Self: self, Generation: c.rules.Generation(), Buckets: buckets, Answer: answer}, to)
}

// TellGeneration tells the other balancers which configuration is in force.
func (c *Core) TellGeneration() {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.rules.Generation()))
	for _, a := range c.Peers() {
		c.send(&frame.Frame{Kind: frame.Generation, Balancer: c.self.Peer, Payload: b}, a)
	}
}

func (c *Core) sendBody(k frame.Kind, body any, to netip.AddrPort) {
	b, err := json.Marshal(body)
	if err != nil {
		c.Log.WithError(err).Error("message not encoded")
		return
	}
	c.send(&frame.Frame{Kind: k, Balancer: c.self.Peer, Payload: b}, to)
}

func (c *Core) sendItems(items []view.Item, to netip.AddrPort) {
	for chunk := range slices.Chunk(items, maxItems) {
		c.sendBody(frame.Entries, chunk, to)
	}
}

// flood sends items to all other balancers.
func (c *Core) flood(items []view.Item, except netip.AddrPort) {
	for _, a := range c.Peers() {
		if a != except {
			c.sendItems(items, a)
		}
	}
}

// adopt merges items and returns those that were news.
func (c *Core) adopt(now time.Duration, items []view.Item) []view.Item {
	var news []view.Item
	for _, i := range items {
		if i.Key == c.key() {
			c.defend(now, i)
			continue
		}
		before, _ := c.view.Get(i.Key)
		if !c.view.Merge(now, i) {
			continue
		}
		news = append(news, i)
		if i.Key.IsBalancer() && i.State == view.Serving {
			news = append(news, c.retireOlder(now, &i.Entry)...)
		}
		if before.State != i.State {
			c.Log.WithFields(logrus.Fields{
				"event": "member", "member": i.Key, "service": i.Service, "place": i.Place,
				"state": i.State, "seq": i.Seq,
			}).Info("member changed")
		}
	}
	if len(news) > 0 {
		c.rebuild()
		c.retryHeld(now)
	}
	return news
}

// retireOlder marks earlier runs of a balancer as gone: one that was killed said
// nothing.
func (c *Core) retireOlder(now time.Duration, e *view.Entry) []view.Item {
	var news []view.Item
	for _, o := range c.view.Balancers() {
		if o.Key.Name == e.Key.Name && o.Key.Instance != e.Key.Instance && o.Seq < e.Seq {
			o.State = view.Gone
			i := view.Item{Entry: o}
			if c.view.Merge(now, i) {
				news = append(news, i)
			}
		}
	}
	return news
}

// defend raises the version of the own entry when others hold it to be gone.
func (c *Core) defend(now time.Duration, i view.Item) {
	if i.Seq >= c.self.Seq && i.State != view.Serving && !c.stopped {
		c.self.Seq = i.Seq + 1
		c.announceSelf(now, view.Serving)
	}
}

// gossip handles messages about the view.
func (c *Core) gossip(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	switch f.Kind {
	case frame.Generation:
		if len(f.Payload) != 8 {
			c.Counts.Foreign++
			return
		}
		c.learnGeneration(now, ident.Generation(binary.BigEndian.Uint64(f.Payload)), from)
	case frame.Digest:
		var d digestBody
		if json.Unmarshal(f.Payload, &d) != nil || len(d.Buckets) != 8*view.Buckets {
			c.Counts.Foreign++
			return
		}
		c.digest(now, &d, from)
	case frame.Entries:
		var items []view.Item
		if json.Unmarshal(f.Payload, &items) != nil {
			c.Counts.Foreign++
			return
		}
		c.adopt(now, items)
	case frame.Announce:
		var i view.Item
		if json.Unmarshal(f.Payload, &i) != nil || i.Key.IsBalancer() {
			c.Counts.Foreign++
			return
		}
		c.announced(now, i, from)
	}
}

func (c *Core) digest(now time.Duration, d *digestBody, from netip.AddrPort) {
	delete(c.peers.asked, from)
	c.adopt(now, []view.Item{d.Self})
	var buckets [view.Buckets]uint64
	for i := range buckets {
		buckets[i] = binary.BigEndian.Uint64(d.Buckets[8*i:])
	}
	if ns := c.view.Differing(buckets); len(ns) > 0 {
		c.sendItems(c.view.Items(now, ns), from)
		if !d.Answer {
			c.sendDigest(now, from, true)
		}
	} else if !d.Answer {
		c.sendDigest(now, from, true)
	}
	c.learnGeneration(now, d.Generation, from)
}

// learnGeneration plans to read a newer configuration from a peer.
func (c *Core) learnGeneration(now time.Duration, g ident.Generation, from netip.AddrPort) {
	p := &c.peers
	if g <= c.rules.Generation() || g <= p.ahead {
		return
	}
	if p.ahead == 0 {
		p.fetchAt = now + fetchDelay
		if c.rules == nil {
			p.fetchAt = now
		}
	}
	p.ahead, p.source = g, from
}

// fetchAhead reads a newer configuration from a peer unless it has come from
// the platform meanwhile.
func (c *Core) fetchAhead(now time.Duration) {
	p := &c.peers
	if p.ahead == 0 || now < p.fetchAt {
		return
	}
	if p.ahead > c.rules.Generation() {
		c.Fetch(p.source)
	}
	p.ahead = 0
}

// earlierRuns returns the entries of earlier processes at an agent's address, as
// gone.
func (c *Core) earlierRuns(k view.Key) []view.Item {
	var items []view.Item
	for _, e := range c.view.Unsorted() {
		if e.Key.Hop == k.Hop && e.Key != k && !e.Key.IsBalancer() {
			e.State = view.Gone
			items = append(items, view.Item{Entry: e})
		}
	}
	return items
}

// announced handles the entry of an agent that came from itself. Entries of
// earlier processes at its address have ended.
func (c *Core) announced(now time.Duration, i view.Item, from netip.AddrPort) {
	items := []view.Item{i}
	if _, known := c.view.Get(i.Key); !known && i.Key.Hop == from {
		items = append(items, c.earlierRuns(i.Key)...)
	}
	news := c.adopt(now, items)
	if len(news) > 0 {
		c.flood(news, from)
	} else if held, _ := c.view.Get(i.Key); held == i.Entry && rand.IntN(listEvery) > 0 {
		c.sendBody(frame.Entries, []view.Item{}, from)
		return
	}
	answer := make([]view.Item, 0, maxItems)
	if held, ok := c.view.Item(now, i.Key); ok && held.Entry != i.Entry {
		answer = append(answer, held)
	}
	bs := c.view.Balancers()
	rand.Shuffle(len(bs), func(a, b int) { bs[a], bs[b] = bs[b], bs[a] })
	for _, e := range bs[:min(len(bs), maxItems-1)] {
		answer = append(answer, view.Item{Entry: e})
	}
	c.sendItems(answer, from)
}
