// Package node holds what the balancer and the agent of datagram flows have in
// common: an event loop with UDP sockets and a timer for the role's core, which
// holds its state and logic, as well as HTTP servers, metrics, logging and signals.
package node

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/batch"
)

const (
	// maxDatagramBytes is the longest datagram that is read.
	maxDatagramBytes = 2048
	// minTimerDelay keeps the timer from firing more often than the resolution of
	// the clock allows.
	minTimerDelay = time.Millisecond
)

// Ticker holds the functions of a core that the timer calls. Calls are serialized.
type Ticker struct {
	// Tick does the work that is due; Due returns the time until the next work is.
	Tick func(now time.Duration)
	Due  func(now time.Duration) time.Duration
}

// Loop serializes the events of a core: datagrams, timer events and calls.
type Loop struct {
	mu     sync.Mutex
	start  time.Time
	ticker Ticker
	timer  *time.Timer
	// armed is the time since start at which the timer fires.
	armed  time.Duration
	closed bool
	log    *logrus.Entry
	pool   *batch.Pool
}

// New returns a loop without a core. Attach sets the core and starts the timer.
func New(log *logrus.Entry) *Loop {
	return &Loop{start: time.Now(), log: log, pool: batch.NewPool(2, 0, maxDatagramBytes)}
}

// Now returns the time since the start of the loop.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Attach sets the core that the timer drives.
func (l *Loop) Attach(t Ticker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ticker = t
	l.timer = time.AfterFunc(minTimerDelay, l.tick)
}

func (l *Loop) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.ticker.Tick(l.Now())
	l.armed = 0
	l.arm()
}

// arm resets the timer unless it fires in time for the next work.
func (l *Loop) arm() {
	if l.timer == nil || l.closed {
		return
	}
	now := l.Now()
	d := max(minTimerDelay, l.ticker.Due(now))
	if l.armed > now && l.armed <= now+d+minTimerDelay {
		return
	}
	l.armed = now + d
	l.timer.Reset(d)
}

// Do calls a function of the core, serialized with all other events.
func (l *Loop) Do(f func(now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.Now())
	l.arm()
}

// Close stops the timer.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
}

// Socket is a UDP socket whose datagrams go to a core.
type Socket struct {
	*batch.Conn
	// Sent and Failed count datagrams; they are guarded by the loop.
	Sent, Failed uint64
}

// Bound returns the local address for a socket that others reach at the address a:
// the IP address bind with the port of a, or a itself if bind is not valid.
func Bound(a netip.AddrPort, bind netip.Addr) netip.AddrPort {
	if !bind.IsValid() {
		return a
	}
	return netip.AddrPortFrom(bind, a.Port())
}

// Listen opens a UDP socket at an address. Loop.Serve reads from it.
func Listen(a netip.AddrPort) (*Socket, error) {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Trace(err)
	}
	c, err := batch.NewConn(u)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Socket{Conn: c}, nil
}

// Send sends a datagram. A datagram that cannot be sent is dropped and counted: the
// protocols on top retransmit what they need.
func (s *Socket) Send(b []byte, to netip.AddrPort) {
	if err := s.WriteTo(b, to); err != nil {
		s.Failed++
		return
	}
	s.Sent++
}

// Serve calls handle with each datagram that the socket receives, until the socket is
// closed.
func (l *Loop) Serve(s *Socket, handle func(now time.Duration, b []byte, from netip.AddrPort)) {
	r := batch.NewReader(s.Conn, l.pool)
	defer r.Release()
	for {
		b, err := r.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error concerns one earlier datagram only, such as one sent to a closed
			// port.
			continue
		}
		l.mu.Lock()
		now := l.Now()
		for i := range b.Len() {
			handle(now, b.Packet(i), b.From(i))
		}
		l.arm()
		l.mu.Unlock()
	}
}
