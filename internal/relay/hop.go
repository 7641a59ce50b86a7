package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/connid"
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
	stateServing  byte = 0
	stateDraining byte = 1

	// hopEvents covers the answers of one round of probes, 2 × 4,500 endpoints,
	// when five balancers are left to share them.
	hopEvents = 2048
)

// readHop forwards the agents' replies to the callers and answers pings.
func (b *Balancer) readHop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { b.hop.Close() })
	defer stop()
	f := hopPath{b: b}
	b.readBatches(b.hop, f.forward)
	return ctx.Err()
}

// outgoing is a packet that leaves in answer to one from the hop.
type outgoing struct {
	conn   *batch.Conn
	packet []byte
	to     netip.AddrPort
}

// hopPath handles the packets from agents.
type hopPath struct {
	b     *Balancer
	head  encap.Header
	out   [batch.Size]outgoing
	count batchCount
}

func (f *hopPath) forward(m *batch.Batch) {
	now := time.Now().UnixNano()
	keys := f.b.keys.Load()
	for i := range m.Len() {
		f.out[i].conn = nil
		f.count.add(f.handle(keys, m, i, now), m.From(i))
	}
	f.send(m)
	f.count.flush(&f.b.counts)
}

// send sends the packets of a batch, one call for each socket.
func (f *hopPath) send(m *batch.Batch) {
	out := f.out[:m.Len()]
	for i := range out {
		c := out[i].conn
		if c == nil {
			continue
		}
		for j := i; j < len(out); j++ {
			if o := &out[j]; o.conn == c {
				m.Add(o.packet, o.to)
				o.conn = nil
			}
		}
		if n := m.Send(c); n > 0 {
			f.count.counts[sendFailed] += uint32(n)
		}
	}
}

// handle decides about packet i and fills f.out[i] when a packet is to leave.
func (f *hopPath) handle(keys *connid.Set, m *batch.Batch, i int, now int64) outcome {
	if m.Truncated(i) {
		return replyTooLong
	}
	payload, fault := f.head.Parse(keys, m.Packet(i))
	if fault != encap.FaultNone {
		return outcomeOf(fault)
	}
	f.b.noteHeard(m.From(i), now)
	switch f.head.Kind {
	case encap.Reply:
		return f.reply(&f.out[i], payload)
	case encap.Ping:
		f.pong(keys, m, i)
		return ping
	case encap.ProbeAnswer:
		return f.event(m.From(i), payload)
	}
	return hopKind
}

func (f *hopPath) reply(o *outgoing, payload []byte) outcome {
	if len(payload) == 0 {
		return hopTruncated
	}
	if len(payload) > maxPacket {
		return replyTooLong
	}
	if !unicast(f.head.Caller) {
		return replyAddress
	}
	p := f.b.portOf(f.head.Service)
	if p == nil {
		return noSuchPort
	}
	*o = outgoing{conn: p.conn, packet: payload, to: f.head.Caller}
	return reply
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

func unicast(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.Port() != 0 && ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}

// portOf returns the open port of a service, or nil.
func (b *Balancer) portOf(tag ident.ServiceTag) *port {
	if m := b.open.Load(); m != nil {
		return (*m)[tag]
	}
	return nil
}

// pong answers a ping in place of the received packet.
func (f *hopPath) pong(keys *connid.Set, m *batch.Batch, i int) {
	h := encap.Header{Kind: encap.Pong, Service: f.head.Service, Instance: f.head.Instance}
	p := m.Buffer(i)[:h.Size()+1]
	p[h.Size()] = stateServing
	if f.b.draining.Load() {
		p[h.Size()] = stateDraining
	}
	h.Put(keys.Current, p)
	f.out[i] = outgoing{conn: f.b.hop, packet: p, to: m.From(i)}
}

func (f *hopPath) event(from netip.AddrPort, payload []byte) outcome {
	if len(payload) == 0 {
		return hopTruncated
	}
	e := hopEvent{From: from, Service: f.head.Service, Instance: f.head.Instance, State: payload[0]}
	if !f.b.events.Put(e) {
		return eventOverflow
	}
	return probeAnswer
}

// sendProbe asks an agent whether it serves; the answer arrives as a hopEvent.
func (b *Balancer) sendProbe(id ident.EndpointID, service ident.ServiceTag) {
	h := encap.Header{Kind: encap.Probe, Service: service, Instance: id.Instance}
	p := make([]byte, h.Size())
	h.Put(b.keys.Load().Current, p)
	if err := b.hop.WriteTo(p, id.Addr); err != nil {
		b.counts.totals[sendFailed].Add(1)
	}
}
