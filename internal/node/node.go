// Package node holds what the processes of datagram flows share: sockets that
// feed a core, a timer for it, and a server for readiness.
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
	// packetRoom is the longest datagram that is read, in octets.
	packetRoom = 2048
	// minTimer keeps the timer from firing more often than the clock can tell.
	minTimer = time.Millisecond
)

// Ticker is the part of a core that time drives. Calls are serialized.
type Ticker struct {
	// Tick does what is due; Due returns the time until it has something to do.
	Tick func(now time.Duration)
	Due  func(now time.Duration) time.Duration
}

// Loop serializes the events of a core: datagrams, times and calls.
type Loop struct {
	mu     sync.Mutex
	start  time.Time
	ticker Ticker
	timer  *time.Timer
	// armed is when the timer fires.
	armed  time.Duration
	closed bool
	log    *logrus.Entry
	pool   *batch.Pool
}

// New returns a loop without a core; Attach starts it.
func New(log *logrus.Entry) *Loop {
	return &Loop{start: time.Now(), log: log, pool: batch.NewPool(2, 0, packetRoom)}
}

// Now returns the time since the start of the loop.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Attach sets the core that the timer drives.
func (l *Loop) Attach(t Ticker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ticker = t
	l.timer = time.AfterFunc(minTimer, l.tick)
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

// arm sets the timer if something is due before it fires.
func (l *Loop) arm() {
	if l.timer == nil || l.closed {
		return
	}
	now := l.Now()
	d := max(minTimer, l.ticker.Due(now))
	if l.armed > now && l.armed <= now+d+minTimer {
		return
	}
	l.armed = now + d
	l.timer.Reset(d)
}

// Do runs a function of the core.
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

// Socket is a UDP socket that feeds a core.
type Socket struct {
	*batch.Conn
	// Sent and Failed count datagrams; they are guarded by the loop.
	Sent, Failed uint64
}

// Bound returns the address to bind a socket to that others reach at a.
func Bound(a netip.AddrPort, bind netip.Addr) netip.AddrPort {
	if !bind.IsValid() {
		return a
	}
	return netip.AddrPortFrom(bind, a.Port())
}

// Listen opens a socket. Serve reads from it.
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

// Send sends a datagram. A datagram that cannot be sent is lost and counted:
// the protocols above repeat what they need.
func (s *Socket) Send(b []byte, to netip.AddrPort) {
	if err := s.WriteTo(b, to); err != nil {
		s.Failed++
		return
	}
	s.Sent++
}

// Serve passes each datagram of a socket to the core until the socket is closed.
func (l *Loop) Serve(s *Socket, handle func(now time.Duration, b []byte, from netip.AddrPort)) {
	r := batch.NewReader(s.Conn, l.pool)
	defer r.Release()
	for {
		b, err := r.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An error of an earlier send, such as a closed port, concerns that datagram only.
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
