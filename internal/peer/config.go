package peer

import (
	"math/rand/v2"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// minConfigWait and maxConfigWait bound the random wait before a balancer
	// requests an offered configuration from a peer. The platform, if it is up,
	// delivers it within milliseconds, which makes the request unnecessary.
	minConfigWait = 200 * time.Millisecond
	maxConfigWait = 500 * time.Millisecond
	// maxRelayedWait bounds the wait instead if the offering peer got the
	// configuration from another peer and so has already waited. Otherwise the
	// waits would add up along a chain of peers.
	maxRelayedWait = 50 * time.Millisecond
	// configRetryInterval is the minimum time between two requests; a value of
	// 1 MiB arrives within it.
	configRetryInterval = time.Second
)

// configFetch is the state of requesting a configuration from peers. The node's
// mutex guards it.
type configFetch struct {
	// offers holds, for each peer, the highest offer that has not been
	// requested.
	offers map[*session]configOffer
	// notBefore is the earliest time of the next request. It is set by a request
	// and zero after SetConfig stored a configuration.
	notBefore time.Time
	timer     *time.Timer
	// receivedHash is the hash of the last configuration received from a peer.
	receivedHash uint64
	// agentConfigs caches, by service, the frames sent to agents for
	// agentConfigsGeneration.
	agentConfigs           map[ident.ServiceName]packet
	agentConfigsGeneration ident.Generation
}

// configOffer records that a peer holds a configuration.
type configOffer struct {
	generation ident.Generation
	// due is when the wait for the platform ends.
	due time.Time
}

// announceConfig offers the configuration to the balancers of which no offer of
// this or a higher generation is recorded, and sends each agent the part for
// its service. The caller holds the mutex.
func (n *Node) announceConfig() {
	p := n.offerFrame()
	for s := range n.sessions {
		switch {
		case !s.remote.Key.IsBalancer():
			s.send(n.agentConfig(s))
		case n.configFetch.offers[s].generation < n.config.Generation:
			s.send(p)
		}
	}
}

func (n *Node) configFrame(value []byte) packet {
	return encodeFrame(&Frame{Body: &Frame_Config{&ConfigMessage{Value: value}}})
}

func (n *Node) offerFrame() packet {
	return encodeFrame(&Frame{Body: &Frame_ConfigOffer{&ConfigOffer{
		Generation: uint64(n.config.Generation), ConfigHash: n.config.hash,
		Relayed: n.configFetch.receivedHash == n.config.hash,
	}}})
}

// agentConfig returns the configuration reduced to the service of an agent; the
// caller holds the mutex. A value that is not a valid configuration is sent
// unchanged, and the agent rejects and reports it.
func (n *Node) agentConfig(s *session) packet {
	f := &n.configFetch
	if f.agentConfigsGeneration != n.config.Generation {
		f.agentConfigs, f.agentConfigsGeneration = map[ident.ServiceName]packet{}, n.config.Generation
	}
	service := s.remote.Service
	if p, ok := f.agentConfigs[service]; ok {
		return p
	}
	value := n.config.Value
	if n.config.accepted != nil {
		if part, err := config.ForService(n.config.accepted, service); err == nil {
			value = part
		}
	}
	p := n.configFrame(value)
	f.agentConfigs[service] = p
	return p
}

func (n *Node) handleConfig(value []byte) {
	n.mu.Lock()
	n.configFetch.receivedHash = configHash(value)
	n.mu.Unlock()
	if n.options.OnConfig != nil {
		n.options.OnConfig(value)
	}
}

func (n *Node) handleConfigOffer(s *session, o *ConfigOffer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := ident.Generation(o.GetGeneration())
	if g <= n.config.Generation {
		// A lower generation needs no reply: the peer learns the higher one from
		// the offer or digest that it gets from this balancer.
		if g == n.config.Generation {
			n.compareConfig(s, &Digest{Generation: o.GetGeneration(), ConfigHash: o.GetConfigHash()})
		}
		return
	}
	n.recordOffer(s, g, o.GetRelayed())
}

func (n *Node) handleConfigWanted(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config.Generation > 0 {
		s.send(n.configFrame(n.config.Value))
	}
}

// recordOffer records that a peer holds a higher generation, and schedules the
// request for it; the caller holds the mutex.
func (n *Node) recordOffer(s *session, g ident.Generation, relayed bool) {
	if _, ok := n.sessions[s]; !ok || n.configFetch.offers[s].generation >= g {
		return
	}
	wait := minConfigWait + rand.N(maxConfigWait-minConfigWait)
	switch {
	case n.config.Generation == 0:
		wait = 0
	case relayed:
		wait = rand.N(maxRelayedWait)
	}
	n.configFetch.offers[s] = configOffer{g, time.Now().Add(wait)}
	n.scheduleRequest()
}

// scheduleRequest sets the timer for the next request; the caller holds the
// mutex.
func (n *Node) scheduleRequest() {
	f := &n.configFetch
	if f.timer != nil {
		f.timer.Stop()
	}
	var at time.Time
	for _, o := range f.offers {
		if o.generation > n.config.Generation && (at.IsZero() || o.due.Before(at)) {
			at = o.due
		}
	}
	if at.IsZero() {
		return
	}
	if at.Before(f.notBefore) {
		at = f.notBefore
	}
	f.timer = time.AfterFunc(time.Until(at), n.requestConfig)
}

// requestConfig requests the configuration from the peer with the highest offer
// that is due, unless it has arrived in the meantime. If no answer comes, a
// later call asks another peer.
func (n *Node) requestConfig() {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, now := &n.configFetch, time.Now()
	var best *session
	highest := n.config.Generation
	for s, o := range f.offers {
		if o.generation > highest && !o.due.After(now) {
			best, highest = s, o.generation
		}
	}
	if best != nil && !now.Before(f.notBefore) {
		// Without its offer, this peer is asked again only after its next digest,
		// so that other peers come first.
		delete(f.offers, best)
		best.send(encodeFrame(&Frame{Body: &Frame_ConfigWanted{&ConfigWanted{}}}))
		f.notBefore = now.Add(configRetryInterval)
	}
	n.scheduleRequest()
}
