package relay

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/ring"
	"github.com/bramleycourse/bramleycourse/internal/route"
)

const (
	listas ident.ServiceTag = 10
	fichas ident.ServiceTag = 20

	testLimit = 10 * time.Second
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// rig is a test rig for the data path: a balancer without a control plane, and a
// socket that stands in for the only agent of the service listas.
type rig struct {
	*Balancer
	t        testing.TB
	keysPath string
	agent    *net.UDPConn
	id       ident.EndpointID
	port     *port
}

func newRig(t testing.TB) *rig {
	t.Helper()
	r := &rig{t: t, keysPath: filepath.Join(t.TempDir(), "keys.json")}
	r.writeKeys(1, 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	keys, err := config.NewKeySource(r.keysPath, logrus.NewEntry(log))
	r.must(err)
	r.Balancer = &Balancer{
		settings:      &config.Balancer{CallerIP: "127.0.0.1"},
		frame:         proc.New("balancer", "test", io.Discard),
		keys:          keys,
		agentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		pool:          newPool(),
		probeEvents:   ring.New[probeEvent](maxProbeEvents),
		ports:         map[ident.ServiceTag]*port{},
	}

	r.hop, err = listen(loopback)
	r.must(err)
	r.hopAddr = r.hop.Addr()
	r.agent = r.socket()
	r.id = ident.EndpointID{Addr: addrOf(r.agent), Instance: 7}
	r.table.Store(route.NewTable(map[ident.ServiceTag][]route.Endpoint{listas: {{ID: r.id, Weight: 1}}}))
	r.stats.Store(&map[netip.AddrPort]*agentStat{r.id.Addr: {}})
	r.port, err = r.openPort(listas, loopback)
	r.must(err)
	r.ports[listas] = r.port
	r.publishPorts()
	go r.readHop(t.Context())
	t.Cleanup(func() {
		for _, p := range r.ports {
			p.close()
		}
	})
	return r
}

func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) socket() *net.UDPConn {
	r.t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	r.must(err)
	r.t.Cleanup(func() { c.Close() })
	c.SetReadBuffer(socketBufferSize)
	c.SetReadDeadline(time.Now().Add(testLimit))
	return c
}

// writeKeys replaces the keys file. Each key number has its own secret.
func (r *rig) writeKeys(current int, numbers ...int) {
	r.t.Helper()
	items := ""
	for i, n := range numbers {
		if i > 0 {
			items += ","
		}
		items += fmt.Sprintf(`{"number":%d,"secret":"%064x"}`, n, n+1)
	}
	r.must(os.WriteFile(r.keysPath, fmt.Appendf(nil, `{"current":%d,"keys":[%s]}`, current, items), 0o600))
}

// short returns a short header packet of size octets with a connection ID.
func short(id [connid.Size]byte, size int) []byte {
	p := make([]byte, size)
	p[0] = 0x40
	copy(p[1:], id[:])
	return p
}

// initial returns an Initial packet of QUIC version 1 with size octets.
func initial(id []byte, size int) []byte {
	p := make([]byte, size)
	p[0], p[4], p[5] = 0xc0, 1, byte(len(id))
	copy(p[6:], id)
	return p
}

func randomID(n uint64) []byte {
	id := make([]byte, 8)
	binary.BigEndian.PutUint64(id, n)
	return id
}

// hopPacket returns a hop packet authenticated with the current key.
func (r *rig) hopPacket(h encap.Header, payload []byte) []byte {
	p := make([]byte, h.Size()+len(payload))
	copy(p[h.Size():], payload)
	h.Put(r.keys.Load().Current, p)
	return p
}

// sum returns the number of packets counted with any of the outcomes.
func (r *rig) sum(os ...outcome) (n uint64) {
	for _, o := range os {
		n += r.counts.totals[o].Load()
	}
	return n
}

// await polls until ok returns true and fails the test after testLimit.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testLimit, what)
		}
	}
}

// flood sends packets to an address as fast as it can until stop is closed.
func (r *rig) flood(to netip.AddrPort, packets [][]byte, stop <-chan struct{}, offered *atomic.Uint64) {
	c, err := batch.NewConn(r.socket())
	r.must(err)
	m := batch.NewPool(1, 0, 1).Get()
	for at := 0; ; {
		select {
		case <-stop:
			return
		default:
		}
		for range batch.Size {
			m.Add(packets[at%len(packets)], to)
			at++
		}
		m.Send(c)
		offered.Add(batch.Size)
	}
}

// drainSocket reads and discards what arrives at a socket until it is closed.
func (r *rig) drainSocket(u *net.UDPConn) {
	u.SetReadDeadline(time.Time{})
	c, err := batch.NewConn(u)
	r.must(err)
	go r.readBatches(c, func(*batch.Batch) {})
}

// startBare starts the bare relay, which sends each packet on to a fixed
// address.
func (r *rig) startBare(to netip.AddrPort, count *atomic.Uint64) netip.AddrPort {
	in, err := listen(loopback)
	r.must(err)
	out, err := listen(loopback)
	r.must(err)
	r.t.Cleanup(func() { in.Close(); out.Close() })
	go r.readBatches(in, func(m *batch.Batch) {
		for i := range m.Len() {
			m.Add(m.Packet(i), to)
		}
		m.Send(out)
		count.Add(uint64(m.Len()))
	})
	return in.Addr()
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
