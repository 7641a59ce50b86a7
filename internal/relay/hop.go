package relay

import (
	"net/netip"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// hopEvent is an agent's answer to a probe.
type hopEvent struct {
	// From is the source address of the answer.
	From     netip.AddrPort
	Service  ident.ServiceTag
	Instance ident.Instance
	// State is what the agent reports: stateServing or stateDraining.
	State byte
}

const (
	stateDraining byte = 1

	hopEvents = 2048
)

// sendProbe asks an agent whether it serves; the answer arrives as a hopEvent.
func (b *Balancer) sendProbe(id ident.EndpointID, service ident.ServiceTag) {
	h := encap.Header{Kind: encap.Probe, Service: service, Instance: id.Instance}
	p := make([]byte, h.Size())
	h.Put(b.keys.Load().Current, p)
	b.hop.WriteToUDPAddrPort(p, id.Addr)
}

// noteHeard records a valid packet from an agent.
func (b *Balancer) noteHeard(from netip.AddrPort, now int64) {
	if m := b.stats.Load(); m != nil && (*m)[from] != nil {
		(*m)[from].lastHeard.Store(now)
		(*m)[from].unanswered.Store(0)
	}
}
