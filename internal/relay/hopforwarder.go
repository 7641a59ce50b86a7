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

// probeEvent is an agent's answer to a probe.
type probeEvent struct {
	// From is the source address of the answer.
	From     netip.AddrPort
	Service  ident.ServiceTag
	Instance ident.Instance
	// State is the state that the agent reports: stateServing or stateDraining.
	State byte
}

const (
	// States in the payload of probe answers and pongs.
	stateServing  byte = 0
	stateDraining byte = 1

	// maxProbeEvents is the capacity of the queue of probe answers. It holds
	// the answers of one round at the target size: 4,500 endpoints, each probed
	// by two of the balancers, when only five balancers are left to share the
	// probes.
	maxProbeEvents = 2048
)

// readHop handles the packets from agents: it forwards replies to callers,
// answers pings and queues probe answers.
func (b *Balancer) readHop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { b.hop.Close() })
	defer stop()
	f := hopForwarder{b: b}
	b.readBatches(b.hop, f.forward)
	return ctx.Err()
}

// outgoing is a packet to send as the result of one received from an agent.
type outgoing struct {
	conn   *batch.Conn
	packet []byte
	to     netip.AddrPort
}

// hopForwarder handles the packets from agents.
type hopForwarder struct {
	b      *Balancer
	header encap.Header
	// out holds the packet to send for each packet of the batch; a nil conn
	// means none.
	out   [batch.Size]outgoing
	count batchCount
}

func (f *hopForwarder) forward(m *batch.Batch) {
	now := time.Now().UnixNano()
	keys := f.b.keys.Load()
	for i := range m.Len() {
		f.out[i].conn = nil
		f.count.add(f.handle(keys, m, i, now), m.From(i))
	}
	f.send(m)
	f.count.flush(&f.b.counts)
}

// send sends the outgoing packets of a batch with one call per socket.
func (f *hopForwarder) send(m *batch.Batch) {
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

// handle processes packet i of a batch and fills f.out[i] if a packet is to be
// sent.
func (f *hopForwarder) handle(keys *connid.Set, m *batch.Batch, i int, now int64) outcome {
	if m.Truncated(i) {
		return replyTooLong
	}
	payload, reason := f.header.Parse(keys, m.Packet(i))
	if reason != encap.FaultNone {
		return outcomeOfRefusal(reason)
	}
	f.b.recordHeard(m.From(i), now)
	switch f.header.Kind {
	case encap.Reply:
		return f.handleReply(&f.out[i], payload)
	case encap.Ping:
		f.handlePing(keys, m, i)
		return ping
	case encap.ProbeAnswer:
		return f.queueProbeAnswer(m.From(i), payload)
	}
	return hopKind
}

// handleReply validates a reply and fills in the packet to the caller.
func (f *hopForwarder) handleReply(o *outgoing, payload []byte) outcome {
	if len(payload) == 0 {
		return hopTruncated
	}
	if len(payload) > maxPacket {
		return replyTooLong
	}
	if !unicast(f.header.Caller) {
		return replyAddress
	}
	p := f.b.portOf(f.header.Service)
	if p == nil {
		return noSuchPort
	}
	*o = outgoing{conn: p.conn, packet: payload, to: f.header.Caller}
	return reply
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

func unicast(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.Port() != 0 && ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}

// portOf returns the open port of a service, or nil.
func (b *Balancer) portOf(tag ident.ServiceTag) *port {
	if m := b.activePorts.Load(); m != nil {
		return (*m)[tag]
	}
	return nil
}

// handlePing answers a ping. It writes the answer over the received packet.
func (f *hopForwarder) handlePing(keys *connid.Set, m *batch.Batch, i int) {
	h := encap.Header{Kind: encap.Pong, Service: f.header.Service, Instance: f.header.Instance}
	p := m.Buffer(i)[:h.Size()+1]
	p[h.Size()] = stateServing
	if f.b.draining.Load() {
		p[h.Size()] = stateDraining
	}
	h.Put(keys.Current, p)
	f.out[i] = outgoing{conn: f.b.hop, packet: p, to: m.From(i)}
}

// queueProbeAnswer queues an agent's answer to a probe.
func (f *hopForwarder) queueProbeAnswer(from netip.AddrPort, payload []byte) outcome {
	if len(payload) == 0 {
		return hopTruncated
	}
	e := probeEvent{From: from, Service: f.header.Service, Instance: f.header.Instance, State: payload[0]}
	if !f.b.probeEvents.Put(e) {
		return eventOverflow
	}
	return probeAnswer
}

// sendProbe sends a liveness probe to an agent. The answer is queued as a
// probeEvent.
func (b *Balancer) sendProbe(id ident.EndpointID, service ident.ServiceTag) {
	h := encap.Header{Kind: encap.Probe, Service: service, Instance: id.Instance}
	p := make([]byte, h.Size())
	h.Put(b.keys.Load().Current, p)
	if err := b.hop.WriteTo(p, id.Addr); err != nil {
		b.counts.totals[sendFailed].Add(1)
	}
}
