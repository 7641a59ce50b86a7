// Package batch reads and writes IPv4 UDP datagrams in batches and without allocation.
// A socket that waits for packets holds no buffers: they come from a bounded pool that
// all sockets of a process share.
package batch

import (
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
)

const (
	// Size is the number of packets in a batch.
	Size = 64

	// alignment is the alignment of packet buffers, in bytes.
	alignment = 64
)

// Conn is a UDP socket. It is safe for concurrent use.
type Conn struct {
	udp *net.UDPConn
	raw syscall.RawConn
}

// NewConn returns a Conn for an IPv4 socket, which it owns from then on.
func NewConn(u *net.UDPConn) (*Conn, error) {
	raw, err := u.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{udp: u, raw: raw}, nil
}

// Close closes the socket and ends pending reads. No packet is sent after Close has
// returned.
func (c *Conn) Close() error { return c.udp.Close() }

// Addr returns the local address.
func (c *Conn) Addr() netip.AddrPort { return c.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// WriteTo sends one packet.
func (c *Conn) WriteTo(p []byte, to netip.AddrPort) error {
	_, err := c.udp.WriteToUDPAddrPort(p, to)
	return err
}

// Pool is a bounded pool of batches. It is safe for concurrent use.
type Pool struct {
	free chan *Batch
	// made is the number of batches allocated so far.
	made atomic.Int32
	// headroom and capacity are sizes in bytes, per packet.
	headroom, capacity int
}

// NewPool returns a pool of up to limit batches. Each packet has a capacity, and
// headroom in front of it, both in bytes.
func NewPool(limit, headroom, capacity int) *Pool {
	return &Pool{free: make(chan *Batch, limit), headroom: headroom, capacity: capacity}
}

// Get takes a batch from the pool and blocks while all batches are in use. Blocked
// readers are served in order, so that a busy socket does not starve the others.
func (p *Pool) Get() *Batch {
	select {
	case b := <-p.free:
		return b
	default:
	}
	if int(p.made.Add(1)) <= cap(p.free) {
		return newBatch(p.headroom, p.capacity)
	}
	p.made.Add(-1)
	return <-p.free
}

// Put returns a batch to the pool.
func (p *Pool) Put(b *Batch) { p.free <- b }

// Made returns the number of batches allocated so far.
func (p *Pool) Made() int { return int(p.made.Load()) }

// Reader reads batches from a socket. It is not safe for concurrent use.
type Reader struct {
	conn  *Conn
	pool  *Pool
	batch *Batch
	errno syscall.Errno
	// receive is r.tryReceive. It is stored because a method value created in each Read
	// would be allocated.
	receive func(fd uintptr) bool
}

// NewReader returns a reader that takes its batches from a pool.
func NewReader(c *Conn, p *Pool) *Reader {
	r := &Reader{conn: c, pool: p}
	r.receive = r.tryReceive
	return r
}

// Read waits for packets and returns them in a batch that is valid until the next call
// of Read or Release. The error matches net.ErrClosed if the socket is closed. After
// any other error, Read can be called again.
func (r *Reader) Read() (*Batch, error) {
	r.Release()
	r.errno = 0
	if err := r.conn.raw.Read(r.receive); err != nil {
		return nil, err
	}
	if r.errno != 0 {
		return nil, r.errno
	}
	return r.batch, nil
}

// Release returns the batch to the pool.
func (r *Reader) Release() {
	if r.batch != nil {
		r.pool.Put(r.batch)
		r.batch = nil
	}
}

// tryReceive takes a batch and receives packets. If there are none, it returns the
// batch to the pool and returns false, so that a waiting reader holds no buffers.
func (r *Reader) tryReceive(fd uintptr) bool {
	r.batch = r.pool.Get()
	r.errno = r.batch.receive(fd)
	if r.errno == 0 {
		return true
	}
	r.Release()
	return r.errno != syscall.EAGAIN
}
