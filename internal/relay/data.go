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

// receiveRetryDelay follows a failed read on an open socket.
const receiveRetryDelay = 10 * time.Millisecond

// readBatches hands the batches of a socket to forward until the socket is closed.
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
	f := portPath{b: b, port: p}
	b.readBatches(p.conn, f.forward)
}

// portPath forwards the packets of one port to agents.
type portPath struct {
	b       *Balancer
	port    *port
	decoder connid.Decoder
	head    encap.Header
	count   batchCount
}

// forward sends each packet of a batch on behind a hop header.
func (f *portPath) forward(m *batch.Batch) {
	now := time.Now().UnixNano()
	keys := f.b.keys.Load()
	for i := range m.Len() {
		f.head.Caller = m.From(i)
		to, o := f.route(keys, m.Packet(i))
		if !o.refused() && f.head.Size()+len(m.Packet(i)) > maxHop {
			o = tooLong
		}
		f.count.add(o, f.head.Caller)
		if o.refused() {
			continue
		}
		if o == newFlow {
			f.b.noteNewFlow(to, now)
		}
		p := m.WithHead(i, f.head.Size())
		f.head.Put(keys.Current, p)
		m.Add(p, to)
	}
	if n := m.Send(f.b.hop); n > 0 {
		f.count.counts[sendFailed] += uint32(n)
	}
	f.count.flush(&f.b.counts)
}

// route fills the hop header for a packet and returns the agent's address.
func (f *portPath) route(keys *connid.Set, packet []byte) (netip.AddrPort, outcome) {
	q, ok := connid.ParseHeader(packet)
	if !ok {
		return netip.AddrPort{}, malformed
	}
	refusal := unknownID
	if t, ok := f.decoder.Decode(keys, q.ID); ok {
		if t.Service != f.port.service {
			return netip.AddrPort{}, wrongService
		}
		if f.b.allowed(t.Endpoint.Addr.Addr()) {
			f.head.Kind, f.head.Service = encap.Established, t.Service
			f.head.Instance, f.head.Count = t.Endpoint.Instance, 0
			return t.Endpoint.Addr, established
		}
		refusal = foreignNetwork
	} else if keys.Removed(q.ID) {
		refusal = unknownKey
	}
	if !q.Opening {
		return netip.AddrPort{}, refusal
	}
	return f.place(q.ID)
}

// place fills the hop header for a packet that starts a flow.
func (f *portPath) place(id []byte) (netip.AddrPort, outcome) {
	h := &f.head
	f.b.table.Load().Candidates(f.port.service, id, h)
	if h.Count == 0 {
		return netip.AddrPort{}, noEndpoint
	}
	h.Kind, h.Service, h.Balancer = encap.NewFlow, f.port.service, f.b.hopAddr
	h.Instance = h.Candidates[0].Endpoint.Instance
	return h.Candidates[0].Endpoint.Addr, newFlow
}

func (b *Balancer) allowed(a netip.Addr) bool {
	for _, n := range b.networks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}
