package peer

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// serveSession handles the frames of a session until it ends.
func (n *Node) serveSession(s *session) {
	if !n.addSession(s) {
		n.refusedSessions.Add(1)
		s.close()
		return
	}
	go s.writeLoop()
	for {
		f, err := s.read(s.maxFrameSize())
		if err != nil {
			break
		}
		if err := n.handle(s, f); err != nil {
			n.refusedFrames.Add(1)
			break
		}
	}
	s.close()
	n.removeSession(s)
}

// addSession registers a session and sends the initial messages: to an agent,
// the configuration and the balancers; to a dialed balancer, the digest. It
// returns false if the session is refused.
func (n *Node) addSession(s *session) bool {
	n.mu.Lock()
	if !n.hasCapacity(s) {
		n.mu.Unlock()
		return false
	}
	n.sessions[s] = struct{}{}
	effect := n.merge([]view.Item{s.remote}, s)
	n.changes++
	if n.config.Generation > 0 && !s.remote.Key.IsBalancer() {
		s.send(n.agentConfig(s))
	}
	if !s.remote.Key.IsBalancer() {
		s.send(entryFrames(n.balancerItems(), nil)...)
		n.correctAgent(s)
	} else if s.dialed {
		s.send(n.digestFrame())
	}
	n.mu.Unlock()
	n.viewChanged(effect)
	return true
}

// hasCapacity reports whether the limits allow another session; the caller holds
// the mutex. It refuses a session of this balancer to itself, and any session once
// Run has ended.
func (n *Node) hasCapacity(s *session) bool {
	if n.closed || s.remote.Key == n.self.Key {
		return false
	}
	if s.dialed {
		return true
	}
	balancers, agents := 0, 0
	for o := range n.sessions {
		switch {
		case o.dialed:
		case o.remote.Key.IsBalancer():
			balancers++
		default:
			agents++
		}
	}
	if s.remote.Key.IsBalancer() {
		return balancers < maxBalancerSessions
	}
	return agents < maxAgentSessions
}

func (n *Node) balancerItems() []view.Item {
	var is []view.Item
	for _, e := range n.view.Balancers() {
		is = append(is, view.Item{Entry: e})
	}
	return is
}

// correctAgent sends an agent the version of its entry in the view if that
// differs from the one it announced, so that the agent announces a higher one.
func (n *Node) correctAgent(s *session) {
	if i, ok := n.view.Item(n.now(), s.remote.Key); ok && i.Entry != s.remote.Entry {
		s.send(entryFrames([]view.Item{i}, nil)...)
	}
}

// removeSession removes a session, and calls OnAgentBroken if it was the last
// one of an agent that has not announced that it is gone.
func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	delete(n.sessions, s)
	delete(n.configFetch.offers, s)
	n.changes++
	if s.queue.Overflow() > 0 {
		n.slowSessions.Add(1)
	}
	k := s.remote.Key
	broken := !k.IsBalancer()
	for o := range n.sessions {
		broken = broken && o.remote.Key != k
	}
	if e, ok := n.view.Get(k); !ok || e.State == view.Gone {
		broken = false
	}
	n.mu.Unlock()
	if broken && n.options.OnAgentBroken != nil {
		n.options.OnAgentBroken(k)
	}
}

func (n *Node) handle(s *session, f *Frame) error {
	if !s.remote.Key.IsBalancer() {
		return n.handleAgent(s, f)
	}
	switch b := f.Body.(type) {
	case *Frame_Digest:
		n.handleDigest(s, b.Digest)
	case *Frame_Buckets:
		return n.handleBuckets(s, b.Buckets)
	case *Frame_Entries:
		return n.handleEntries(s, b.Entries)
	case *Frame_Marks:
		return n.handleMarks(s, b.Marks)
	case *Frame_Vouch:
		n.handleVouch(s, b.Vouch)
	case *Frame_MarksWanted:
		return n.handleMarksWanted(s, b.MarksWanted)
	case *Frame_MarkVersions:
		return n.handleMarkVersions(s, b.MarkVersions)
	case *Frame_Config:
		n.handleConfig(b.Config.GetValue())
	case *Frame_ConfigOffer:
		n.handleConfigOffer(s, b.ConfigOffer)
	case *Frame_ConfigWanted:
		n.handleConfigWanted(s)
	default:
		return &FrameError{kindOf(f), "is not expected from a balancer"}
	}
	return nil
}

// handleAgent handles a frame from an agent, which may only contain its own
// entry.
func (n *Node) handleAgent(s *session, f *Frame) error {
	es := f.GetEntries().GetEntries()
	if len(es) != 1 {
		return &FrameError{kindOf(f), "is not expected from an agent"}
	}
	i, err := decodeItem(es[0])
	if err != nil {
		return err
	}
	if i.Key != s.remote.Key {
		return &FrameError{"entries", "agent announced another endpoint"}
	}
	n.mu.Lock()
	s.remote = i
	effect := n.merge([]view.Item{i}, s)
	n.correctAgent(s)
	n.mu.Unlock()
	n.viewChanged(effect)
	return nil
}

func (n *Node) digest() *Digest {
	return &Digest{Root: n.view.Root(), Generation: uint64(n.config.Generation), ConfigHash: n.config.hash}
}

func (n *Node) digestFrame() packet {
	return encodeFrame(&Frame{Body: &Frame_Digest{n.digest()}})
}

func (n *Node) handleDigest(s *session, d *Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.compareConfig(s, d)
	own := n.digest()
	if own.Root == d.GetRoot() {
		return
	}
	h := n.view.Digest()
	s.send(encodeFrame(&Frame{Body: &Frame_Buckets{&Buckets{Digest: own, Hashes: h[:]}}}))
}

// compareConfig offers the configuration to a peer with a lower generation,
// schedules a request for a higher one, and reports a conflict if the content
// differs under the same generation; the caller holds the mutex.
func (n *Node) compareConfig(s *session, d *Digest) {
	g := ident.Generation(d.GetGeneration())
	switch {
	case g < n.config.Generation:
		s.send(n.offerFrame())
	case g > n.config.Generation:
		n.recordOffer(s, g, false)
	case g > 0 && g == n.config.Generation && d.GetConfigHash() != n.config.hash:
		if n.lastConflict == d.GetConfigHash() {
			return
		}
		n.lastConflict = d.GetConfigHash()
		n.configConflicts.Add(1)
		if n.options.OnConflict != nil {
			go n.options.OnConflict(g)
		}
	}
}

func (n *Node) handleBuckets(s *session, b *Buckets) error {
	if len(b.GetHashes()) != 0 && len(b.GetHashes()) != view.Buckets {
		return &FrameError{"buckets", "has a wrong number of hashes"}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.compareConfig(s, b.GetDigest())
	if len(b.GetHashes()) == 0 {
		return nil
	}
	differing := n.view.DifferingBuckets([view.Buckets]uint64(b.GetHashes()))
	if len(differing) == 0 {
		return nil
	}
	wanted := make([]uint32, len(differing))
	for i, d := range differing {
		wanted[i] = uint32(d)
	}
	s.send(entryFrames(n.view.Items(n.now(), differing), wanted)...)
	return nil
}

func (n *Node) handleEntries(s *session, m *Entries) error {
	if len(m.GetEntries()) > maxFrameEntries || len(m.GetWanted()) > view.Buckets {
		return &FrameError{"entries", "has too many entries or buckets"}
	}
	is := make([]view.Item, 0, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		i, err := decodeItem(e)
		if err != nil {
			return err
		}
		is = append(is, i)
	}
	n.mu.Lock()
	if len(m.GetWanted()) > 0 {
		var buckets []int
		for _, w := range m.GetWanted() {
			buckets = append(buckets, int(w))
		}
		s.send(entryFrames(n.view.Items(n.now(), buckets), nil)...)
	}
	effect := n.merge(is, s)
	n.mu.Unlock()
	n.viewChanged(effect)
	return nil
}

// exchangeInterval is the time between two digests to each dialed peer.
const exchangeInterval = time.Second

// exchange sends the digest to the dialed peers and removes expired tombstones;
// called once per exchangeInterval.
func (n *Node) exchange() {
	n.mu.Lock()
	p := n.digestFrame()
	for s := range n.sessions {
		if s.dialed {
			s.send(p)
		}
	}
	n.view.Expire(n.now())
	n.mu.Unlock()
}
