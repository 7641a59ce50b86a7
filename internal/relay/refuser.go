package relay

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
)

// maxRefusals is the number of packets that wait to be answered. Further packets
// are dropped; their callers repeat them.
const maxRefusals = 256

// errEvacuated makes quic-go refuse a connection.
var errEvacuated = errors.New("all upstreams of the service are in evacuated places")

// refuser answers packets that start a flow with CONNECTION_REFUSED. It needs no
// certificate: the keys of Initial packets follow from the caller's connection ID
// (RFC 9001, section 5.2). It is the net.PacketConn of a QUIC server that refuses
// every connection.
type refuser struct {
	packets   chan refusedPacket
	closed    chan struct{}
	send      func(p []byte, to netip.AddrPort) error
	transport *quic.Transport
}

type refusedPacket struct {
	data []byte
	from netip.AddrPort
}

func newRefuser(send func([]byte, netip.AddrPort) error) *refuser {
	r := &refuser{packets: make(chan refusedPacket, maxRefusals), closed: make(chan struct{}), send: send}
	r.transport = &quic.Transport{
		Conn: r,
		ConnContext: func(context.Context, *quic.ClientInfo) (context.Context, error) {
			return nil, errEvacuated
		},
	}
	// The TLS configuration is not used. Without one, Listen fails.
	if _, err := r.transport.Listen(&tls.Config{MinVersion: tls.VersionTLS13}, &quic.Config{}); err != nil {
		panic(err) // Only an invalid configuration makes Listen fail.
	}
	return r
}

// refuse queues the answer to a packet. It is not called after close.
func (r *refuser) refuse(packet []byte, from netip.AddrPort) {
	select {
	case r.packets <- refusedPacket{bytes.Clone(packet), from}:
	default:
	}
}

func (r *refuser) close() {
	close(r.closed)
	r.transport.Close()
}

// ReadFrom implements net.PacketConn.
func (r *refuser) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case k := <-r.packets:
		return copy(p, k.data), net.UDPAddrFromAddrPort(k.from), nil
	case <-r.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (r *refuser) WriteTo(p []byte, to net.Addr) (int, error) {
	return len(p), r.send(p, to.(*net.UDPAddr).AddrPort())
}

// Close implements net.PacketConn. The transport does not call it.
func (r *refuser) Close() error { return nil }

// LocalAddr implements net.PacketConn.
func (r *refuser) LocalAddr() net.Addr { return &net.UDPAddr{} }

// SetDeadline implements net.PacketConn.
func (r *refuser) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn. Close ends a read.
func (r *refuser) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn.
func (r *refuser) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer is called by quic-go, which prints a warning without it.
func (r *refuser) SetReadBuffer(int) error { return nil }

// SetWriteBuffer is called by quic-go, which prints a warning without it.
func (r *refuser) SetWriteBuffer(int) error { return nil }
