package peer

import (
	"math/rand/v2"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// minConfigWait and maxConfigWait bound the wait before a configuration is
	// asked for: the platform delivers it in milliseconds when it is up.
	minConfigWait = 200 * time.Millisecond
	maxConfigWait = 500 * time.Millisecond
	// maxRelayedWait replaces them when the offering peer has waited already,
	// so that the waits do not add up along a chain of peers.
	maxRelayedWait = 50 * time.Millisecond
	// configRetry is the time between two requests; a value of 1 MiB arrives sooner.
	configRetry = time.Second
)

// fetch holds which configurations peers offer. The node's mutex guards it.
type fetch struct {
	offers map[*session]offer
	// notBefore is zero unless a request has no answer yet.
	notBefore time.Time
	timer     *time.Timer
	// received is the hash of the last configuration that a peer sent.
	received uint64
	// parts caches the values sent to agents of the generation partsOf.
	parts   map[ident.ServiceName]packet
	partsOf ident.Generation
}

// offer is a configuration that a peer holds.
type offer struct {
	generation ident.Generation
	// due is the end of the wait for the platform.
	due time.Time
}

// announceConfig offers the configuration to balancers that are not known to
// hold it and sends agents their part; the caller holds the mutex.
func (n *Node) announceConfig() {
	p := n.offerFrame()
	for s := range n.sessions {
		switch {
		case !s.remote.Key.IsBalancer():
			s.send(n.agentConfig(s))
		case n.fetch.offers[s].generation < n.conf.Generation:
			s.send(p)
		}
	}
}

func (n *Node) configFrame(value []byte) packet {
	return encode(&Frame{Body: &Frame_Config{&ConfigMessage{Value: value}}})
}

func (n *Node) offerFrame() packet {
	return encode(&Frame{Body: &Frame_ConfigOffer{&ConfigOffer{
		Generation: uint64(n.conf.Generation), ConfigHash: n.conf.hash,
		Relayed: n.fetch.received == n.conf.hash,
	}}})
}

// agentConfig returns the configuration reduced to the service of an agent;
// the caller holds the mutex. A value that is not a configuration object is
// sent as it is, and the agent refuses and reports it.
func (n *Node) agentConfig(s *session) packet {
	f := &n.fetch
	if f.partsOf != n.conf.Generation {
		f.parts, f.partsOf = map[ident.ServiceName]packet{}, n.conf.Generation
	}
	service := s.remote.Service
	if p, ok := f.parts[service]; ok {
		return p
	}
	value := n.conf.Value
	if n.conf.accepted != nil {
		if part, err := config.ForService(n.conf.accepted, service); err == nil {
			value = part
		}
	}
	p := n.configFrame(value)
	f.parts[service] = p
	return p
}

func (n *Node) handleConfig(value []byte) {
	n.mu.Lock()
	n.fetch.received = configHash(value)
	n.mu.Unlock()
	if n.o.OnConfig != nil {
		n.o.OnConfig(value)
	}
}

func (n *Node) handleOffer(s *session, o *ConfigOffer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := ident.Generation(o.GetGeneration())
	if g <= n.conf.Generation {
		// A lower one is not answered: the peer has our offer or digest.
		if g == n.conf.Generation {
			n.compareConfig(s, &Digest{Generation: o.GetGeneration(), ConfigHash: o.GetConfigHash()})
		}
		return
	}
	n.offered(s, g, o.GetRelayed())
}

func (n *Node) handleWanted(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conf.Generation > 0 {
		s.send(n.configFrame(n.conf.Value))
	}
}

// offered notes a generation above the own one and when to ask for it; the
// caller holds the mutex.
func (n *Node) offered(s *session, g ident.Generation, relayed bool) {
	if _, ok := n.sessions[s]; !ok || n.fetch.offers[s].generation >= g {
		return
	}
	wait := minConfigWait + rand.N(maxConfigWait-minConfigWait)
	switch {
	case n.conf.Generation == 0:
		wait = 0
	case relayed:
		wait = rand.N(maxRelayedWait)
	}
	n.fetch.offers[s] = offer{g, time.Now().Add(wait)}
	n.schedule()
}

// schedule sets the timer for the next request; the caller holds the mutex.
func (n *Node) schedule() {
	f := &n.fetch
	if f.timer != nil {
		f.timer.Stop()
	}
	var at time.Time
	for _, o := range f.offers {
		if o.generation > n.conf.Generation && (at.IsZero() || o.due.Before(at)) {
			at = o.due
		}
	}
	if at.IsZero() {
		return
	}
	if at.Before(f.notBefore) {
		at = f.notBefore
	}
	f.timer = time.AfterFunc(time.Until(at), n.request)
}

// request asks the peer with the highest offer that is due, unless the
// configuration has come meanwhile, and another one later if none comes.
func (n *Node) request() {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, now := &n.fetch, time.Now()
	var best *session
	highest := n.conf.Generation
	for s, o := range f.offers {
		if o.generation > highest && !o.due.After(now) {
			best, highest = s, o.generation
		}
	}
	if best != nil && !now.Before(f.notBefore) {
		// The peer offers again with its next digest, so another one is asked first.
		delete(f.offers, best)
		best.send(encode(&Frame{Body: &Frame_ConfigWanted{&ConfigWanted{}}}))
		f.notBefore = now.Add(configRetry)
	}
	n.schedule()
}
