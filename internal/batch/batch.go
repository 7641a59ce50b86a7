// Package batch reads and writes UDP datagrams over IPv4 many at a time, and
// without allocation. A socket without packets holds no buffers: they come
// from a bounded pool that all sockets of a process share.
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

	alignment = 64
)

// Conn is a UDP socket. It is safe for concurrent use.
type Conn struct {
	udp *net.UDPConn
	raw syscall.RawConn
}

// NewConn takes over an IPv4 socket.
func NewConn(u *net.UDPConn) (*Conn, error) {
	raw, err := u.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{udp: u, raw: raw}, nil
}

// Close closes the socket and ends a Read that waits on it. No packet leaves
// through the socket after Close returned.
func (c *Conn) Close() error { return c.udp.Close() }

// Addr returns the local address.
func (c *Conn) Addr() netip.AddrPort { return c.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// WriteTo sends one packet.
func (c *Conn) WriteTo(p []byte, to netip.AddrPort) error {
	_, err := c.udp.WriteToUDPAddrPort(p, to)
	return err
}

// Pool holds the batches of a process.
type Pool struct {
	free           chan *Batch
	made           atomic.Int32
	headroom, room int
}

// NewPool returns a pool of up to limit batches. Each packet has room octets
// and headroom octets in front of it.
func NewPool(limit, headroom, room int) *Pool {
	return &Pool{free: make(chan *Batch, limit), headroom: headroom, room: room}
}

// Get takes a batch and waits while all batches are in use. Waiting readers are served in
// order, so a busy socket does not starve the others.
func (p *Pool) Get() *Batch {
	select {
	case b := <-p.free:
		return b
	default:
	}
	if int(p.made.Add(1)) <= cap(p.free) {
		return newBatch(p.headroom, p.room)
	}
	p.made.Add(-1)
	return <-p.free
}

// Put gives a batch back.
func (p *Pool) Put(b *Batch) { p.free <- b }

// Made returns the number of batches allocated so far.
func (p *Pool) Made() int { return int(p.made.Load()) }

// Reader reads batches from a socket. It is not safe for concurrent use.
type Reader struct {
	conn  *Conn
	pool  *Pool
	batch *Batch
	errno syscall.Errno
	// receive is r.tryReceive; a method value made for each Read would be allocated.
	receive func(fd uintptr) bool
}

// NewReader returns a reader that takes its batches from a pool.
func NewReader(c *Conn, p *Pool) *Reader {
	r := &Reader{conn: c, pool: p}
	r.receive = r.tryReceive
	return r
}

// Read waits for packets and returns them in a batch that is valid until the
// next call of Read or Release. The error matches net.ErrClosed when the
// socket is closed; other errors concern one call only.
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

// tryReceive returns false when there is no packet to receive; the batch then
// goes back to the pool while the reader waits.
func (r *Reader) tryReceive(fd uintptr) bool {
	r.batch = r.pool.Get()
	r.errno = r.batch.receive(fd)
	if r.errno == 0 {
		return true
	}
	r.Release()
	return r.errno != syscall.EAGAIN
}
