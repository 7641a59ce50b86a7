package batch

import (
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr is struct mmsghdr of recvmmsg(2) and sendmmsg(2).
type mmsghdr struct {
	header unix.Msghdr
	length uint32
}

// messages holds message headers and the I/O vectors and addresses they point to.
type messages struct {
	headers [Size]mmsghdr
	iovecs  [Size]unix.Iovec
	addrs   [Size]unix.RawSockaddrInet4
}

// linkHeaders sets the pointers in the headers.
func (m *messages) linkHeaders() {
	for i := range m.headers {
		h := &m.headers[i].header
		h.Name = (*byte)(unsafe.Pointer(&m.addrs[i]))
		h.Namelen = unix.SizeofSockaddrInet4
		h.Iov = &m.iovecs[i]
		h.SetIovlen(1)
	}
}

// Batch holds received packets and a list of packets to send. It is not safe
// for concurrent use.
type Batch struct {
	// memory holds Size packet buffers of stride bytes, which begin with the headroom.
	memory                   []byte
	headroom, stride, length int
	in, out                  messages
	// queued is the number of packets in out, sent the number of them that Send has
	// already handled.
	queued, sent int
	errno        syscall.Errno
	// trySend and waitSend call send. They are stored because function values created
	// for each call would be allocated.
	trySend  func(fd uintptr)
	waitSend func(fd uintptr) bool
}

func newBatch(headroom, capacity int) *Batch {
	stride := (headroom + capacity + alignment - 1) / alignment * alignment
	b := &Batch{memory: make([]byte, Size*stride), headroom: headroom, stride: stride}
	b.in.linkHeaders()
	b.out.linkHeaders()
	for i := range b.in.iovecs {
		p := &b.in.iovecs[i]
		p.Base = &b.memory[i*stride+headroom]
		p.SetLen(capacity)
	}
	b.trySend = func(fd uintptr) { b.send(fd) }
	b.waitSend = b.send
	return b
}

func (b *Batch) receive(fd uintptr) syscall.Errno {
	for i := range b.in.headers[:b.length] {
		b.in.headers[i].header.Namelen = unix.SizeofSockaddrInet4
	}
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd,
		uintptr(unsafe.Pointer(&b.in.headers[0])), Size, unix.MSG_DONTWAIT, 0, 0)
	b.length, b.queued = int(n), 0
	if errno != 0 {
		b.length = 0
	}
	return errno
}

// Len returns the number of received packets.
func (b *Batch) Len() int { return b.length }

// Packet returns the received packet i.
func (b *Batch) Packet(i int) []byte { return b.WithHead(i, 0) }

// WithHead returns packet i together with the n bytes of headroom in front of it.
func (b *Batch) WithHead(i, n int) []byte {
	start := i*b.stride + b.headroom
	return b.memory[start-n : start+int(b.in.headers[i].length)]
}

// Buffer returns the whole buffer of packet i, with its headroom.
func (b *Batch) Buffer(i int) []byte { return b.memory[i*b.stride : (i+1)*b.stride] }

// From returns the source address of packet i.
func (b *Batch) From(i int) netip.AddrPort {
	n := &b.in.addrs[i]
	return netip.AddrPortFrom(netip.AddrFrom4(n.Addr), swapPort(n.Port))
}

// Truncated reports whether packet i was longer than its capacity.
func (b *Batch) Truncated(i int) bool { return b.in.headers[i].header.Flags&unix.MSG_TRUNC != 0 }

// Add queues a packet for Send. The packet must not be empty, the address must be IPv4,
// and the batch takes up to Size packets.
func (b *Batch) Add(p []byte, to netip.AddrPort) {
	i := b.queued
	b.out.iovecs[i].Base = &p[0]
	b.out.iovecs[i].SetLen(len(p))
	n := &b.out.addrs[i]
	n.Family = unix.AF_INET
	n.Addr = to.Addr().As4()
	n.Port = swapPort(to.Port())
	b.queued++
}

// Send sends the queued packets through a socket and waits while its send buffer is
// full. It returns the number of packets that could not be sent.
func (b *Batch) Send(c *Conn) (failed int) {
	for b.sent = 0; b.sent < b.queued; {
		b.errno = 0
		// Unlike Write, Control takes no write lock, so that several batches can be sent
		// through c concurrently.
		err := c.raw.Control(b.trySend)
		if err == nil && b.errno == syscall.EAGAIN {
			err = c.raw.Write(b.waitSend)
		}
		if err != nil {
			failed += b.queued - b.sent
			break
		}
		if b.errno != 0 {
			failed++
			b.sent++
		}
	}
	b.queued = 0
	return failed
}

// send returns false if the send buffer is full. b.errno is about the first packet
// that has not been sent yet.
func (b *Batch) send(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd,
		uintptr(unsafe.Pointer(&b.out.headers[b.sent])), uintptr(b.queued-b.sent), unix.MSG_DONTWAIT, 0, 0)
	b.errno = errno
	if errno == 0 {
		b.sent += int(n)
	}
	return errno != syscall.EAGAIN
}

// swapPort converts a port between host and network byte order.
func swapPort(v uint16) uint16 {
	p := (*[2]byte)(unsafe.Pointer(&v))
	return uint16(p[0])<<8 | uint16(p[1])
}
