// Package fabric simulates the network fabric in front of the balancers. It
// forwards each UDP packet of a caller to a random balancer (packet spraying) and
// the replies to the caller. Each caller address has a socket of its own towards
// the balancers. Faults are drawn from a seed and can be changed at run time.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	maxPacket = 2048 // bytes
	// socketBuffer is in bytes and holds 2048 packets of maxPacket bytes, a burst of
	// about 40 ms at 50,000 packets/s. The kernel grants less if its limit is lower.
	socketBuffer = 4 << 20
)

// Fabric forwards the packets of one service address.
type Fabric struct {
	// callerConn is the socket that callers send to.
	callerConn *net.UDPConn
	queue      *delayQueue

	mu             sync.Mutex
	targets        []netip.AddrPort
	rng            *rand.Rand
	callers        map[netip.AddrPort]*net.UDPConn
	faults         [directionCount]Faults
	balancerFaults map[netip.AddrPort]BalancerFaults
	// forgotten holds the caller addresses whose packets are always dropped.
	forgotten map[netip.AddrPort]bool
	recorder  recorder

	counters counters
}

// New returns a fabric that listens on the given address and forwards to the
// target balancers.
func New(listen netip.AddrPort, seed uint64, targets ...netip.AddrPort) (*Fabric, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", listen)
	}
	c.SetReadBuffer(socketBuffer)
	return &Fabric{
		callerConn:     c,
		queue:          newDelayQueue(),
		targets:        targets,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		callers:        map[netip.AddrPort]*net.UDPConn{},
		balancerFaults: map[netip.AddrPort]BalancerFaults{},
		forgotten:      map[netip.AddrPort]bool{},
	}, nil
}

// Addr returns the address that callers send to.
func (f *Fabric) Addr() netip.AddrPort { return f.callerConn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTargets replaces the balancers that receive packets.
func (f *Fabric) SetTargets(targets ...netip.AddrPort) {
	f.mu.Lock()
	f.targets = targets
	f.mu.Unlock()
}

// Callers returns the addresses of the callers that have an open socket.
func (f *Fabric) Callers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	as := make([]netip.AddrPort, 0, len(f.callers))
	for a := range f.callers {
		as = append(as, a)
	}
	return as
}

// Run forwards packets until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	go f.queue.run(ctx)
	b := make([]byte, maxPacket)
	for {
		n, from, err := f.callerConn.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Trace(err)
		}
		f.spray(b[:n], unmap(from))
	}
}

// unmap converts an IPv4-mapped IPv6 address to IPv4.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (f *Fabric) close() {
	f.callerConn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.callers {
		c.Close()
	}
}

// spray forwards a packet of a caller to a random balancer.
func (f *Fabric) spray(p []byte, from netip.AddrPort) {
	f.mu.Lock()
	if len(f.targets) == 0 {
		f.mu.Unlock()
		return
	}
	to := f.targets[f.rng.IntN(len(f.targets))]
	f.recorder.add(from, p)
	v := f.applyFaults(toBalancer, from, to)
	c, err := f.socket(from)
	f.mu.Unlock()
	if err != nil {
		f.counters.failed.Add(1)
		return
	}
	f.transmit(toBalancer, v, c, to, p)
}

// transmit sends the copies of a packet, each after its delay.
func (f *Fabric) transmit(d direction, v delivery, c *net.UDPConn, to netip.AddrPort, p []byte) {
	for _, delay := range v.delays[:v.copies] {
		f.counters.sent[d].Add(1)
		if delay == 0 {
			c.WriteToUDPAddrPort(p, to)
			continue
		}
		if !f.queue.add(time.Now().Add(delay), c, to, p) {
			f.counters.overflowed.Add(1)
		}
	}
}

// socket returns the socket of a caller, and opens it if there is none. The mutex
// must be held.
func (f *Fabric) socket(from netip.AddrPort) (*net.UDPConn, error) {
	if c := f.callers[from]; c != nil {
		return c, nil
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.Addr().Addr(), 0)))
	if err != nil {
		return nil, err
	}
	f.callers[from] = c
	go f.forwardReplies(c, from)
	return c, nil
}

// socketIdleTimeout is longer than any idle timeout of a flow.
const socketIdleTimeout = 10 * time.Minute

// forwardReplies forwards packets from balancers to one caller until its socket is
// idle or closed.
func (f *Fabric) forwardReplies(c *net.UDPConn, to netip.AddrPort) {
	b := make([]byte, maxPacket)
	for {
		c.SetReadDeadline(time.Now().Add(socketIdleTimeout))
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			f.mu.Lock()
			delete(f.callers, to)
			f.mu.Unlock()
			c.Close()
			return
		}
		f.mu.Lock()
		v := f.applyFaults(toCaller, to, unmap(from))
		f.mu.Unlock()
		f.transmit(toCaller, v, f.callerConn, to, b[:n])
	}
}
