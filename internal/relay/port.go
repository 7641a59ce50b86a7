package relay

import (
	"maps"
	"net"
	"net/netip"
	"runtime"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// socketBufferSize is the size in octets of the receive buffer and of the
	// send buffer of a socket.
	socketBufferSize = 4 << 20
	// maxPacket is the greatest length in octets of a reply. Received packets
	// are truncated at encap.MaxSize+maxPacket octets. A truncated packet from a
	// caller still exceeds maxHopPacket and is refused.
	maxPacket = 2048
	// maxHopPacket is the greatest length in octets of a packet to an agent,
	// hop header included: an MTU of 1500 octets less 28 octets of IP and UDP
	// headers. Longer packets are refused because they would be fragmented, so
	// path MTU discovery of callers settles below this.
	maxHopPacket = 1500 - 28
	// batchesPerCore is the number of batches per CPU core. It lets a reader
	// fill a batch while others wait for a CPU core.
	batchesPerCore = 2
)

// newPool returns a pool of up to batchesPerCore batches for each of the
// GOMAXPROCS cores, and one more.
func newPool() *batch.Pool {
	return batch.NewPool(batchesPerCore*runtime.GOMAXPROCS(0)+1, encap.MaxSize, encap.MaxSize+maxPacket)
}

// listen opens a UDP socket with large buffers.
func listen(a netip.AddrPort) (*batch.Conn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	c.SetReadBuffer(socketBufferSize)
	c.SetWriteBuffer(socketBufferSize)
	return batch.NewConn(c)
}

// port is the socket on which the balancer receives packets from the callers of
// one service.
type port struct {
	service ident.ServiceTag
	address netip.AddrPort
	conn    *batch.Conn
	// done is closed when the port's reader has ended.
	done chan struct{}
	// refuser tells callers that their flows are refused; nil until the first. It
	// belongs to the port's reader.
	refuser *refuser
}

// openPort opens the address of a service and starts its reader.
func (b *Balancer) openPort(tag ident.ServiceTag, a netip.AddrPort) (*port, error) {
	c, err := listen(a)
	if err != nil {
		return nil, err
	}
	p := &port{service: tag, address: a, conn: c, done: make(chan struct{})}
	go b.readPort(p)
	return p, nil
}

// close closes the socket and waits for the reader to end. Packets queued in
// the socket are dropped, so none of them is forwarded as a packet of another
// service that gets the address.
func (p *port) close() {
	p.conn.Close()
	<-p.done
	if p.refuser != nil {
		p.refuser.close()
	}
}

// refuse tells a caller that the flow is refused. The packet is copied.
func (p *port) refuse(packet []byte, to netip.AddrPort) {
	if p.refuser == nil {
		p.refuser = newRefuser(p.conn.WriteTo)
	}
	p.refuser.refuse(packet, to)
}

// publishPorts publishes a copy of the open ports to the hop reader.
func (b *Balancer) publishPorts() {
	m := maps.Clone(b.ports)
	b.activePorts.Store(&m)
}
