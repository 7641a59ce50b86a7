// Package fabric is a stand-in for the fabric: it sprays each UDP packet of a
// caller over the balancers and carries the replies back. Towards a balancer
// every caller address has a socket of its own.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const maxPacket = 2048

// Fabric sprays the packets of one service address.
type Fabric struct {
	front *net.UDPConn

	mu      sync.Mutex
	targets []netip.AddrPort
	rng     *rand.Rand
	callers map[netip.AddrPort]*net.UDPConn

	// Sent counts packets towards balancers.
	Sent atomic.Uint64
}

// New listens on the given address.
func New(listen netip.AddrPort, seed uint64, targets ...netip.AddrPort) (*Fabric, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	c.SetReadBuffer(4 << 20)
	return &Fabric{
		front:   c,
		targets: targets,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		callers: map[netip.AddrPort]*net.UDPConn{},
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

// Run forwards packets until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	b := make([]byte, maxPacket)
	for {
		n, from, err := f.front.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		f.spray(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (f *Fabric) close() {
	f.front.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.callers {
		c.Close()
	}
}

func (f *Fabric) spray(p []byte, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return
	}
	c, err := f.socket(from)
	if err != nil {
		return
	}
	to := f.targets[f.rng.IntN(len(f.targets))]
	c.WriteToUDPAddrPort(p, to)
	f.Sent.Add(1)
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
		n, _, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			f.mu.Lock()
			delete(f.callers, to)
			f.mu.Unlock()
			c.Close()
			return
		}
		f.front.WriteToUDPAddrPort(b[:n], to)
	}
}
