package agent

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/reply"
)

const (
	// socketBufferSize is the minimum size in bytes requested for each of the
	// two socket buffers.
	socketBufferSize = 4 << 20
	// maxPacketSize is the room in bytes for a packet without its encapsulation.
	maxPacketSize = 2048
	// maxCachedCallers bounds the cache of caller addresses.
	maxCachedCallers = 8192
)

// hopConn is the net.PacketConn of the QUIC server. It decapsulates packets
// from balancers, checks their service and instance, places new flows and
// encapsulates replies. ReadFrom is not safe for concurrent use.
type hopConn struct {
	agent *Agent
	udp   *net.UDPConn
	// callers caches the addresses that ReadFrom returns, as quic-go keeps
	// them.
	callers    map[netip.AddrPort]*net.UDPAddr
	resetLimit rateLimit

	mu       sync.Mutex
	replySet *reply.Set

	delivered, forwarded, probes, resetsSent, replies atomic.Uint64
}

func newHopConn(a *Agent, udp *net.UDPConn, p reply.Policy) *hopConn {
	udp.SetReadBuffer(socketBufferSize)
	udp.SetWriteBuffer(socketBufferSize)
	return &hopConn{
		agent:      a,
		udp:        udp,
		callers:    map[netip.AddrPort]*net.UDPAddr{},
		resetLimit: rateLimit{perSecond: maxResetsPerSecond},
		replySet:   reply.New(reply.WithPolicy(p)),
	}
}

func (c *hopConn) totals() map[string]uint64 {
	return map[string]uint64{
		"delivered": c.delivered.Load(),
		"forwarded": c.forwarded.Load(),
		"probes":    c.probes.Load(),
		"resets":    c.resetsSent.Load(),
		"replies":   c.replies.Load(),
	}
}

// balancers returns the balancers that replies are sent through.
func (c *hopConn) balancers() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replySet.Members()
}

func (c *hopConn) countRefusal(reason string) { c.agent.refusals.add("packet", reason) }

// hopBuffer holds one packet and its encapsulation header.
type hopBuffer [encap.MaxSize + maxPacketSize]byte

var hopBuffers = sync.Pool{New: func() any { return new(hopBuffer) }}

// ReadFrom implements net.PacketConn. It returns the caller's address.
func (c *hopConn) ReadFrom(p []byte) (int, net.Addr, error) {
	buf := hopBuffers.Get().(*hopBuffer)
	defer hopBuffers.Put(buf)
	var h encap.Header
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			return 0, nil, err
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		payload, reason := h.Parse(c.agent.keys(), buf[:n])
		if reason != encap.FaultNone {
			c.countRefusal(string(reason))
			continue
		}
		if !c.accept(&h, buf[:n], payload, from) {
			continue
		}
		if len(payload) > len(p) {
			c.countRefusal("longPacket")
			continue
		}
		c.delivered.Add(1)
		return copy(p, payload), c.caller(h.Caller), nil
	}
}

// caller returns the net.Addr of a caller from the cache.
func (c *hopConn) caller(a netip.AddrPort) net.Addr {
	if u := c.callers[a]; u != nil {
		return u
	}
	if len(c.callers) >= maxCachedCallers {
		clear(c.callers)
	}
	u := net.UDPAddrFromAddrPort(a)
	c.callers[a] = u
	return u
}

// accept handles a decapsulated packet and reports whether it goes to the QUIC
// server. The packet consists of the header and the payload.
func (c *hopConn) accept(h *encap.Header, packet, payload []byte, from netip.AddrPort) bool {
	switch h.Kind {
	case encap.Probe:
		c.answerProbe(from)
		return false
	case encap.Pong:
		c.handlePong(payload, from)
		return false
	case encap.Established, encap.NewFlow, encap.Placed:
	default:
		c.countRefusal("unexpectedKind")
		return false
	}
	if h.Service != c.agent.serviceTag {
		c.countRefusal("wrongService")
		return false
	}
	if h.Kind == encap.Established {
		c.markReachable(from)
		return c.acceptEstablished(h, payload, from)
	}
	c.markReachable(h.Balancer) // the sender may be another agent
	return c.acceptNewFlow(h, packet, payload)
}

// acceptEstablished accepts a packet of this instance. A packet of an earlier
// instance is not given to the QUIC server; its caller gets a stateless reset.
func (c *hopConn) acceptEstablished(h *encap.Header, payload []byte, from netip.AddrPort) bool {
	if h.Instance != c.agent.self.Instance {
		c.countRefusal("wrongInstance")
		c.sendResets(h, payload, from)
		return false
	}
	if _, ok := connid.ParseHeader(payload); !ok {
		c.countRefusal("malformed")
		return false
	}
	return true
}

// acceptNewFlow decides on a packet that starts a flow. A refused packet also
// goes to the QUIC server, which refuses the connection. While the agent awaits
// its configuration the packet is dropped instead; the caller repeats it.
func (c *hopConn) acceptNewFlow(h *encap.Header, packet, payload []byte) bool {
	if h.Instance != c.agent.self.Instance {
		c.countRefusal("wrongInstance")
		return false
	}
	q, ok := connid.ParseHeader(payload)
	if !ok || !q.StartsFlow {
		c.countRefusal("malformed")
		return false
	}
	switch c.agent.admission.decide(q.ID, h) {
	case admit.Take:
		return true
	case admit.Forward:
		c.forward(h, packet)
		return false
	default:
		if c.agent.awaitsConfig() {
			c.countRefusal("notConfigured")
			return false
		}
		c.countRefusal("flowRefused")
		return true
	}
}

// forward sends a packet to the candidate at h.Position. The header keeps its
// length.
func (c *hopConn) forward(h *encap.Header, packet []byte) {
	to := h.Candidates[h.Position].Endpoint.Addr
	h.Put(c.agent.keys().Current, packet)
	if _, err := c.udp.WriteToUDPAddrPort(packet, to); err != nil {
		c.countRefusal("forwardFailed")
		return
	}
	c.forwarded.Add(1)
}

// markReachable records that a balancer delivered a packet, so that replies may
// go through it.
func (c *hopConn) markReachable(from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replySet.MarkReachable(time.Now(), from)
}

// WriteTo implements net.PacketConn. It sends the packet to the caller through
// a balancer. A send failure is counted and the packet dropped, because quic-go
// closes the connection on an error.
func (c *hopConn) WriteTo(p []byte, to net.Addr) (int, error) {
	caller := to.(*net.UDPAddr).AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	c.mu.Lock()
	via, ok := c.replySet.Choose(time.Now(), caller)
	c.mu.Unlock()
	if !ok {
		c.countRefusal("noBalancer")
		return len(p), nil
	}
	if err := c.send(encap.Reply, caller, p, via); err != nil {
		if errors.Is(err, net.ErrClosed) {
			return 0, err
		}
		c.countRefusal("writeFailed")
		return len(p), nil
	}
	c.replies.Add(1)
	return len(p), nil
}

// send sends a payload with an encapsulation header of the agent's service and
// instance.
func (c *hopConn) send(k encap.Kind, caller netip.AddrPort, payload []byte, to netip.AddrPort) error {
	h := encap.Header{Kind: k, Service: c.agent.serviceTag, Instance: c.agent.self.Instance, Caller: caller}
	buf := hopBuffers.Get().(*hopBuffer)
	defer hopBuffers.Put(buf)
	n := h.Size()
	n += copy(buf[n:], payload)
	h.Put(c.agent.keys().Current, buf[:n])
	_, err := c.udp.WriteToUDPAddrPort(buf[:n], to)
	return err
}

// Close implements net.PacketConn.
func (c *hopConn) Close() error { return c.udp.Close() }

// LocalAddr implements net.PacketConn.
func (c *hopConn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (c *hopConn) SetDeadline(t time.Time) error { return c.udp.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *hopConn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (c *hopConn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }

// SetReadBuffer is called by quic-go to set the size of the socket's buffer.
func (c *hopConn) SetReadBuffer(n int) error { return c.udp.SetReadBuffer(max(n, socketBufferSize)) }

// SetWriteBuffer is called by quic-go to set the size of the socket's buffer.
func (c *hopConn) SetWriteBuffer(n int) error { return c.udp.SetWriteBuffer(max(n, socketBufferSize)) }
