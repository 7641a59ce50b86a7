// Package fabric is a stand-in for the fabric: it sprays each UDP packet of a
// caller over the balancers and carries the replies back. Towards a balancer
// every caller address has a socket of its own. Faults are drawn from a seed
// and can be changed while packets flow.
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
	maxPacket = 2048
	// socketBuffer holds a burst of about 20 ms at 50,000 full packets/s; the
	// kernel grants less when its limit is lower.
	socketBuffer = 4 << 20
)

// Fabric sprays the packets of one service address.
type Fabric struct {
	front *net.UDPConn
	queue *delayQueue

	mu      sync.Mutex
	targets []netip.AddrPort
	rng     *rand.Rand
	callers map[netip.AddrPort]*net.UDPConn
	faults  [directions]Faults
	members map[netip.AddrPort]BalancerFaults
	// forgotten holds the caller addresses whose packets are dropped for good.
	forgotten map[netip.AddrPort]bool
	record    recorder

	counters counters
}

// New listens on the given address.
func New(listen netip.AddrPort, seed uint64, targets ...netip.AddrPort) (*Fabric, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", listen)
	}
	c.SetReadBuffer(socketBuffer)
	return &Fabric{
		front:     c,
		queue:     newDelayQueue(),
		targets:   targets,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		callers:   map[netip.AddrPort]*net.UDPConn{},
		members:   map[netip.AddrPort]BalancerFaults{},
		forgotten: map[netip.AddrPort]bool{},
	}, nil
}

// Addr returns the address that callers send to.
func (f *Fabric) Addr() netip.AddrPort { return f.front.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTargets replaces the balancers that receive packets.
func (f *Fabric) SetTargets(targets ...netip.AddrPort) {
	f.mu.Lock()
	f.targets = targets
	f.mu.Unlock()
}

// Callers returns the caller addresses seen so far and not yet idle.
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
		n, from, err := f.front.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Trace(err)
		}
		f.spray(b[:n], unmap(from))
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (f *Fabric) close() {
	f.front.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.callers {
		c.Close()
	}
}

// spray sends a packet of a caller to one balancer, drawn at random.
func (f *Fabric) spray(p []byte, from netip.AddrPort) {
	f.mu.Lock()
	if len(f.targets) == 0 {
		f.mu.Unlock()
		return
	}
	to := f.targets[f.rng.IntN(len(f.targets))]
	f.record.add(from, p)
	v := f.judge(toBalancer, from, to)
	c, err := f.socket(from)
	f.mu.Unlock()
	if err != nil {
		f.counters.failed.Add(1)
		return
	}
	f.carry(toBalancer, v, c, to, p)
}

// carry sends a packet as often and as late as the verdict says.
func (f *Fabric) carry(d direction, v verdict, c *net.UDPConn, to netip.AddrPort, p []byte) {
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

// socket returns the socket of a caller; the caller of socket holds the mutex.
func (f *Fabric) socket(from netip.AddrPort) (*net.UDPConn, error) {
	if c := f.callers[from]; c != nil {
		return c, nil
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.Addr().Addr(), 0)))
	if err != nil {
		return nil, err
	}
	f.callers[from] = c
	go f.replies(c, from)
	return c, nil
}

// idle is longer than any idle timeout of a flow.
const idle = 10 * time.Minute

func (f *Fabric) replies(c *net.UDPConn, to netip.AddrPort) {
	b := make([]byte, maxPacket)
	for {
		c.SetReadDeadline(time.Now().Add(idle))
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			f.mu.Lock()
			delete(f.callers, to)
			f.mu.Unlock()
			c.Close()
			return
		}
		f.mu.Lock()
		v := f.judge(toCaller, to, unmap(from))
		f.mu.Unlock()
		f.carry(toCaller, v, f.front, to, b[:n])
	}
}
