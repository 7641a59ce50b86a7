package relay

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// receiveRetryDelay is the delay after a failed read from an open socket.
const receiveRetryDelay = 10 * time.Millisecond

// readBatches reads batches from a socket and passes each to forward, until the
// socket is closed.
func (b *Balancer) readBatches(c *batch.Conn, forward func(*batch.Batch)) {
	r := batch.NewReader(c, b.pool)
	defer r.Release()
	for {
		m, err := r.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.counts.totals[receiveFailed].Add(1)
			time.Sleep(receiveRetryDelay)
			continue
		}
		forward(m)
	}
}

func (b *Balancer) readPort(p *port) {
	defer close(p.done)
	f := portForwarder{b: b, port: p}
	b.readBatches(p.conn, f.forward)
}

// portForwarder forwards the packets that callers send to one port to agents.
type portForwarder struct {
	b       *Balancer
	port    *port
	decoder connid.Decoder
	header  encap.Header
	count   batchCount
}

// forward prepends a hop header to each accepted packet of a batch and sends it
// to an agent.
func (f *portForwarder) forward(m *batch.Batch) {
	now := time.Now().UnixNano()
	keys := f.b.keys.Load()
	for i := range m.Len() {
		f.header.Caller = m.From(i)
		to, o := f.route(keys, m.Packet(i))
		if !o.refused() && f.header.Size()+len(m.Packet(i)) > maxHopPacket {
			o = tooLong
		}
		f.count.add(o, f.header.Caller)
		if o == evacuated {
			f.port.refuse(m.Packet(i), f.header.Caller)
		}
		if o.refused() {
			continue
		}
		if o == newFlow {
			f.b.recordNewFlow(to, now)
		}
		p := m.WithHead(i, f.header.Size())
		f.header.Put(keys.Current, p)
		m.Add(p, to)
	}
	if n := m.Send(f.b.hop); n > 0 {
		f.count.counts[sendFailed] += uint32(n)
	}
	f.count.flush(&f.b.counts)
}

// route selects the agent for a packet from its connection ID, fills in the hop
// header and returns the agent's address. A packet whose ID does not decode, or
// decodes to an address outside agentNetworks, is treated as the start of a flow
// if it can be one.
func (f *portForwarder) route(keys *connid.Set, packet []byte) (netip.AddrPort, outcome) {
	q, ok := connid.ParseHeader(packet)
	if !ok {
		return netip.AddrPort{}, malformed
	}
	refusal := unknownID
	if t, ok := f.decoder.Decode(keys, q.ID); ok {
		if t.Service != f.port.service {
			return netip.AddrPort{}, wrongService
		}
		if f.b.agentAddrAllowed(t.Endpoint.Addr.Addr()) {
			f.header.Kind, f.header.Service = encap.Established, t.Service
			f.header.Instance, f.header.Count = t.Endpoint.Instance, 0
			return t.Endpoint.Addr, established
		}
		refusal = foreignNetwork
	} else if keys.UnknownKey(q.ID) {
		refusal = unknownKey
	}
	if !q.StartsFlow {
		return netip.AddrPort{}, refusal
	}
	return f.routeNewFlow(q.ID)
}

// routeNewFlow selects the candidates for a packet that starts a flow, fills in
// the hop header and returns the address of the first candidate.
func (f *portForwarder) routeNewFlow(id []byte) (netip.AddrPort, outcome) {
	h := &f.header
	t := f.b.table.Load()
	t.Candidates(f.port.service, id, h)
	if h.Count == 0 {
		if t.Refuses(f.port.service) {
			return netip.AddrPort{}, evacuated
		}
		return netip.AddrPort{}, noEndpoint
	}
	h.Kind, h.Service, h.Balancer = encap.NewFlow, f.port.service, f.b.hopAddr
	h.Instance = h.Candidates[0].Endpoint.Instance
	return h.Candidates[0].Endpoint.Addr, newFlow
}

// agentAddrAllowed reports whether an agent address is in one of the agent
// networks.
func (b *Balancer) agentAddrAllowed(a netip.Addr) bool {
	for _, n := range b.agentNetworks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}
