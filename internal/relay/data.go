package relay

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	socketBuffer = 4 << 20
	// maxPacket covers a 1500-octet MTU and the hop header.
	maxPacket = 2048
)

// counters counts packets by outcome.
type counters struct {
	established, newFlows, replies         atomic.Uint64
	malformed, unknownID, noEndpoint       atomic.Uint64
	foreignNetwork, hopRefused, noSuchPort atomic.Uint64
}

func (c *counters) values() map[string]uint64 {
	return map[string]uint64{
		"established":    c.established.Load(),
		"newFlows":       c.newFlows.Load(),
		"replies":        c.replies.Load(),
		"malformed":      c.malformed.Load(),
		"unknownID":      c.unknownID.Load(),
		"noEndpoint":     c.noEndpoint.Load(),
		"foreignNetwork": c.foreignNetwork.Load(),
		"hopRefused":     c.hopRefused.Load(),
		"noSuchPort":     c.noSuchPort.Load(),
	}
}

// port receives the packets of the callers of one service.
type port struct {
	service ident.ServiceTag
	address netip.AddrPort
	conn    *net.UDPConn
	done    chan struct{}
}

// openPort starts to receive for a service.
func (b *Balancer) openPort(tag ident.ServiceTag, a netip.AddrPort) (*port, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	c.SetReadBuffer(socketBuffer)
	p := &port{service: tag, address: a, conn: c, done: make(chan struct{})}
	go b.readPort(p)
	return p, nil
}

func (b *Balancer) readPort(p *port) {
	defer close(p.done)
	var (
		buf [encap.MaxSize + maxPacket]byte
		dec connid.Decoder
		h   encap.Header
	)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf[encap.MaxSize:])
		if err != nil {
			return
		}
		h.Caller = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		to, ok := b.route(p, &dec, &h, buf[encap.MaxSize:encap.MaxSize+n])
		if !ok {
			continue
		}
		start := encap.MaxSize - h.Size()
		h.Put(b.keys.Load().Current, buf[start:encap.MaxSize+n])
		b.hop.WriteToUDPAddrPort(buf[start:encap.MaxSize+n], to)
	}
}

// route fills the hop header for a packet and returns the agent's address.
func (b *Balancer) route(p *port, dec *connid.Decoder, h *encap.Header, packet []byte) (netip.AddrPort, bool) {
	q, ok := connid.ParseHeader(packet)
	if !ok {
		b.counts.malformed.Add(1)
		return netip.AddrPort{}, false
	}
	if t, ok := dec.Decode(b.keys.Load(), q.ID); ok && b.allowed(t.Endpoint.Addr.Addr()) {
		b.counts.established.Add(1)
		h.Kind, h.Service, h.Instance, h.Count = encap.Established, t.Service, t.Endpoint.Instance, 0
		return t.Endpoint.Addr, true
	}
	if !q.Opening {
		b.counts.unknownID.Add(1)
		return netip.AddrPort{}, false
	}
	b.table.Load().Candidates(p.service, q.ID, h)
	if h.Count == 0 {
		b.counts.noEndpoint.Add(1)
		return netip.AddrPort{}, false
	}
	b.counts.newFlows.Add(1)
	h.Kind, h.Service, h.Balancer = encap.NewFlow, p.service, b.hopAddr
	h.Instance = h.Candidates[0].Endpoint.Instance
	return h.Candidates[0].Endpoint.Addr, true
}

func (b *Balancer) allowed(a netip.Addr) bool {
	for _, n := range b.networks {
		if n.Contains(a) {
			return true
		}
	}
	b.counts.foreignNetwork.Add(1)
	return false
}

// readHop forwards the agents' replies to the callers.
func (b *Balancer) readHop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { b.hop.Close() })
	defer stop()
	var (
		buf [encap.MaxSize + maxPacket]byte
		h   encap.Header
	)
	for {
		n, from, err := b.hop.ReadFromUDPAddrPort(buf[:])
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		payload, fault := h.Parse(b.keys.Load(), buf[:n])
		if fault == encap.FaultNone {
			b.noteHeard(from, time.Now().UnixNano())
		}
		if fault == encap.FaultNone && h.Kind == encap.ProbeAnswer && len(payload) > 0 {
			b.events.Put(hopEvent{From: from, Service: h.Service, Instance: h.Instance, State: payload[0]})
			continue
		}
		if fault != encap.FaultNone || h.Kind != encap.Reply {
			b.counts.hopRefused.Add(1)
			continue
		}
		c := b.portConn(h.Service)
		if c == nil {
			b.counts.noSuchPort.Add(1)
			continue
		}
		b.counts.replies.Add(1)
		c.WriteToUDPAddrPort(payload, h.Caller)
	}
}
