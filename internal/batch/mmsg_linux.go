package batch

import (
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr is struct mmsghdr of recvmmsg(2).
type mmsghdr struct {
	head   unix.Msghdr
	length uint32
}

// messages is an array of message headers with their parts.
type messages struct {
	heads [Size]mmsghdr
	parts [Size]unix.Iovec
	names [Size]unix.RawSockaddrInet4
}

func (m *messages) link() {
	for i := range m.heads {
		h := &m.heads[i].head
		h.Name = (*byte)(unsafe.Pointer(&m.names[i]))
		h.Namelen = unix.SizeofSockaddrInet4
		h.Iov = &m.parts[i]
		h.SetIovlen(1)
	}
}

// Batch holds received packets and a list of packets to send. It is not safe
// for concurrent use.
type Batch struct {
	memory                   []byte
	headroom, stride, length int
	in, out                  messages
	// queued is the number of packets in out, sent the number already sent.
	queued, sent int
	errno        syscall.Errno
	// trySend and waitSend are method values; made for each call they would be allocated.
	trySend  func(fd uintptr)
	waitSend func(fd uintptr) bool
}

func newBatch(headroom, room int) *Batch {
	stride := (headroom + room + alignment - 1) / alignment * alignment
	b := &Batch{memory: make([]byte, Size*stride), headroom: headroom, stride: stride}
	b.in.link()
	b.out.link()
	for i := range b.in.parts {
		p := &b.in.parts[i]
		p.Base = &b.memory[i*stride+headroom]
		p.SetLen(room)
	}
	b.trySend = func(fd uintptr) { b.send(fd) }
	b.waitSend = b.send
	return b
}

func (b *Batch) receive(fd uintptr) syscall.Errno {
	for i := range b.in.heads[:b.length] {
		b.in.heads[i].head.Namelen = unix.SizeofSockaddrInet4
	}
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd,
		uintptr(unsafe.Pointer(&b.in.heads[0])), Size, unix.MSG_DONTWAIT, 0, 0)
	b.length, b.queued = int(n), 0
	if errno != 0 {
		b.length = 0
	}
	return errno
}

// Len returns the number of received packets.
func (b *Batch) Len() int { return b.length }

// Packet returns packet i, which has headroom in front of it.
func (b *Batch) Packet(i int) []byte { return b.WithHead(i, 0) }

// WithHead returns packet i together with the n octets in front of it.
func (b *Batch) WithHead(i, n int) []byte {
	start := i*b.stride + b.headroom
	return b.memory[start-n : start+int(b.in.heads[i].length)]
}

// Buffer returns the whole memory of packet i.
func (b *Batch) Buffer(i int) []byte { return b.memory[i*b.stride : (i+1)*b.stride] }

// From returns the source address of packet i.
func (b *Batch) From(i int) netip.AddrPort {
	n := &b.in.names[i]
	return netip.AddrPortFrom(netip.AddrFrom4(n.Addr), swap(n.Port))
}

// Truncated reports whether packet i was longer than its room.
func (b *Batch) Truncated(i int) bool { return b.in.heads[i].head.Flags&unix.MSG_TRUNC != 0 }

// Add queues a non-empty packet for Send. The batch takes up to Size packets.
// The address is IPv4.
func (b *Batch) Add(p []byte, to netip.AddrPort) {
	i := b.queued
	b.out.parts[i].Base = &p[0]
	b.out.parts[i].SetLen(len(p))
	n := &b.out.names[i]
	n.Family = unix.AF_INET
	n.Addr = to.Addr().As4()
	n.Port = swap(to.Port())
	b.queued++
}

// Send sends the queued packets through a socket, waits while its send buffer
// is full, and returns the number of packets that could not be sent.
func (b *Batch) Send(c *Conn) (failed int) {
	for b.sent = 0; b.sent < b.queued; {
		b.errno = 0
		// Control takes no write lock, so sockets that share c send concurrently.
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

// send returns false when the send buffer is full. An errno concerns the
// first packet that is not sent yet.
func (b *Batch) send(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd,
		uintptr(unsafe.Pointer(&b.out.heads[b.sent])), uintptr(b.queued-b.sent), unix.MSG_DONTWAIT, 0, 0)
	b.errno = errno
	if errno == 0 {
		b.sent += int(n)
	}
	return errno != syscall.EAGAIN
}

// swap converts a port between host and network order.
func swap(v uint16) uint16 {
	p := (*[2]byte)(unsafe.Pointer(&v))
	return uint16(p[0])<<8 | uint16(p[1])
}
