package agent

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

const (
	socketBuffer = 4 << 20
	maxPacket    = 2048
)

// hopConn is the net.PacketConn under the QUIC server. It unwraps packets from
// balancers, checks service and instance, and wraps replies.
type hopConn struct {
	agent *Agent
	udp   *net.UDPConn
	// last is the balancer that delivered most recently.
	last atomic.Pointer[netip.AddrPort]

	delivered, wrongService, wrongInstance, refused atomic.Uint64
}

func newHopConn(a *Agent, udp *net.UDPConn) *hopConn {
	udp.SetReadBuffer(socketBuffer)
	return &hopConn{agent: a, udp: udp}
}

func (c *hopConn) values() map[string]uint64 {
	return map[string]uint64{
		"delivered":     c.delivered.Load(),
		"wrongService":  c.wrongService.Load(),
		"wrongInstance": c.wrongInstance.Load(),
		"hopRefused":    c.refused.Load(),
	}
}

// ReadFrom implements net.PacketConn. The address is the caller's.
func (c *hopConn) ReadFrom(p []byte) (int, net.Addr, error) {
	var (
		buf [encap.MaxSize + maxPacket]byte
		h   encap.Header
	)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			return 0, nil, err
		}
		payload, fault := h.Parse(c.agent.keys, buf[:n])
		if fault != encap.FaultNone {
			c.refused.Add(1)
			continue
		}
		if h.Kind == encap.Probe {
			c.answerProbe(from)
			continue
		}
		if !c.accepts(&h) {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		c.last.Store(&from)
		c.delivered.Add(1)
		return copy(p, payload), net.UDPAddrFromAddrPort(h.Caller), nil
	}
}

// answerProbe tells a balancer the agent's service, instance and state.
func (c *hopConn) answerProbe(to netip.AddrPort) {
	h := encap.Header{Kind: encap.ProbeAnswer, Service: c.agent.tag, Instance: c.agent.self.Instance}
	b := make([]byte, h.Size()+1)
	h.Put(c.agent.keys.Current, b)
	c.udp.WriteToUDPAddrPort(b, to)
}

func (c *hopConn) accepts(h *encap.Header) bool {
	switch {
	case h.Service != c.agent.tag:
		c.wrongService.Add(1)
		return false
	case h.Instance != c.agent.self.Instance:
		c.wrongInstance.Add(1)
		return false
	case h.Kind != encap.Established && h.Kind != encap.NewFlow && h.Kind != encap.Placed:
		c.refused.Add(1)
		return false
	}
	return true
}

// WriteTo implements net.PacketConn. The packet goes to the caller through a balancer.
func (c *hopConn) WriteTo(p []byte, to net.Addr) (int, error) {
	via := c.last.Load()
	if via == nil {
		return len(p), nil
	}
	h := encap.Header{
		Kind:     encap.Reply,
		Service:  c.agent.tag,
		Instance: c.agent.self.Instance,
		Caller:   to.(*net.UDPAddr).AddrPort(),
	}
	b := make([]byte, h.Size()+len(p))
	copy(b[h.Size():], p)
	h.Put(c.agent.keys.Current, b)
	if _, err := c.udp.WriteToUDPAddrPort(b, *via); err != nil {
		return 0, err
	}
	return len(p), nil
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
