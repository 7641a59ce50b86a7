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
	socketBuffer = 4 << 20
	// maxPacket is the longest QUIC packet that is read. A longer one is cut,
	// which still shows that it is above all limits.
	maxPacket = 2048
	// maxHop is the longest packet on the hop, header and QUIC packet, that
	// fits in a 1500-octet MTU behind 28 octets of IP and UDP headers. Longer
	// ones would be cut into fragments, so path MTU discovery of callers must
	// settle below.
	maxHop = 1500 - 28
	// batchesPerCore lets a reader fill a batch while others wait for a core.
	batchesPerCore = 2
)

func newPool() *batch.Pool {
	return batch.NewPool(batchesPerCore*runtime.GOMAXPROCS(0)+1, encap.MaxSize, encap.MaxSize+maxPacket)
}

func listen(a netip.AddrPort) (*batch.Conn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	c.SetReadBuffer(socketBuffer)
	c.SetWriteBuffer(socketBuffer)
	return batch.NewConn(c)
}

// port receives the packets of the callers of one service.
type port struct {
	service ident.ServiceTag
	address netip.AddrPort
	conn    *batch.Conn
	// done is closed when the port's reader has ended.
	done chan struct{}
}

// openPort starts to receive for a service.
func (b *Balancer) openPort(tag ident.ServiceTag, a netip.AddrPort) (*port, error) {
	c, err := listen(a)
	if err != nil {
		return nil, err
	}
	p := &port{service: tag, address: a, conn: c, done: make(chan struct{})}
	go b.readPort(p)
	return p, nil
}

// close ends the port. Packets that wait in its socket are dropped with it, so
// none of them is forwarded for the service that takes over the address.
func (p *port) close() {
	p.conn.Close()
	<-p.done
}

// publishPorts makes the open ports visible to the hop reader.
func (b *Balancer) publishPorts() {
	m := maps.Clone(b.ports)
	b.open.Store(&m)
}
