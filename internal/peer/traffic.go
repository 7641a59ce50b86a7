package peer

import (
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// messageKinds lists the results of kindOf.
var messageKinds = []string{"hello", "digest", "buckets", "entries", "marks", "config", "vouch", "marksWanted", "markVersions", "configOffer", "configWanted", "unknown"}

// traffic counts the bytes sent and received, by kind of message and in total
// on the wire, where the overhead of yamux and TLS is included.
type traffic struct {
	sent, received map[string]*meter
	// wireSent and wireReceived count bytes of TCP payload, in which yamux and
	// TLS are included.
	wireSent, wireReceived meter
}

// meter counts both for state dumps and for the metrics.
type meter struct {
	total   atomic.Uint64
	counter tally.Counter
}

func (m *meter) add(n int) {
	m.total.Add(uint64(n))
	m.counter.Inc(int64(n))
}

func newTraffic(s tally.Scope) *traffic {
	if s == nil {
		s = tally.NoopScope
	}
	t := &traffic{sent: map[string]*meter{}, received: map[string]*meter{}}
	counter := func(name, kind string) tally.Counter {
		return s.Tagged(map[string]string{"kind": kind}).Counter(name)
	}
	for _, k := range messageKinds {
		t.sent[k] = &meter{counter: counter("peer_bytes_sent", k)}
		t.received[k] = &meter{counter: counter("peer_bytes_received", k)}
	}
	t.wireSent.counter = counter("peer_bytes_sent", "wire")
	t.wireReceived.counter = counter("peer_bytes_received", "wire")
	return t
}

// Traffic is the part of a state dump that counts bytes, by kind of message and
// on the wire.
type Traffic struct {
	Sent         map[string]uint64 `json:"sent"`
	Received     map[string]uint64 `json:"received"`
	WireSent     uint64            `json:"wireSent"`
	WireReceived uint64            `json:"wireReceived"`
}

func (t *traffic) snapshot() Traffic {
	v := Traffic{
		Sent: map[string]uint64{}, Received: map[string]uint64{},
		WireSent: t.wireSent.total.Load(), WireReceived: t.wireReceived.total.Load(),
	}
	for _, k := range messageKinds {
		v.Sent[k] = t.sent[k].total.Load()
		v.Received[k] = t.received[k].total.Load()
	}
	return v
}

// countedConn counts the bytes that are read from and written to a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.wireReceived.add(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.wireSent.add(n)
	return n, err
}
