package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

// routers forward the packets of clients to the edge nodes in rotation.
type routers struct {
	d    *deployment
	done chan struct{}

	mu    sync.Mutex
	nodes []*routedNode
}

type routedNode struct {
	machine
	misses int
}

const (
	checkInterval = 500 * time.Millisecond
	checkTimeout  = 450 * time.Millisecond
	maxMisses     = 2
)

func newRouters(d *deployment) *routers { return &routers{d: d, done: make(chan struct{})} }

func (r *routers) add(m machine) {
	n := &routedNode{machine: m, misses: maxMisses}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	go r.check(n)
}

func (r *routers) check(n *routedNode) {
	client := http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + r.d.addr(n.host, r.d.ports.ready).String() + "/ready")
		good := false
		if err == nil {
			good = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		before := n.misses < maxMisses
		n.misses++
		if good {
			n.misses = 0
		}
		if after := n.misses < maxMisses; after != before {
			r.d.rec.add("routers: %s in rotation: %v", n.name, after)
		}
		r.mu.Unlock()
		select {
		case <-time.After(checkInterval):
		case <-r.done:
			return
		}
	}
}

// ready returns the number of nodes in rotation.
func (r *routers) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, o := range r.nodes {
		if o.misses < maxMisses {
			n++
		}
	}
	return n
}

// choices returns the nodes that get the packets of a zone's clients.
func (r *routers) choices(zone string) []*routedNode {
	var in, all, elsewhere []*routedNode
	for _, n := range r.nodes {
		switch {
		case n.zone == zone && n.misses < maxMisses:
			in = append(in, n)
			all = append(all, n)
		case n.zone == zone:
			all = append(all, n)
		case n.misses < maxMisses:
			elsewhere = append(elsewhere, n)
		}
	}
	switch {
	case len(in) == 0 && len(elsewhere) > 0:
		return elsewhere
	case 2*len(in) < len(all):
		return all
	}
	return in
}

// node selects the node for a flow by the hash of its addresses and ports, so that only
// the flows of a node move when it leaves or joins.
func (r *routers) node(zone string, k flowKey) (*routedNode, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *routedNode
	var high uint64
	for _, n := range r.choices(zone) {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, k.client, k.route, n.name)
		s := h.Sum64() * 0x9E3779B97F4A7C15
		if s ^= s >> 29; best == nil || s > high {
			best, high = n, s
		}
	}
	return best, best != nil
}

// client is a machine of clients. Each flow has a port of its own.
type client struct {
	zone    string
	addr    netip.Addr
	conn    *net.UDPConn
	routers *routers
	rec     *record

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is the client's end of a flow. One goroutine at a time may use it.
type clientFlow struct {
	c         *client
	key       flowKey
	seq, next uint32
	received  chan *packet
	// opened is when the first opening packet was sent, via the node that it was sent to,
	// and lastVia the node that the last packet was sent to.
	opened       time.Time
	via, lastVia string
}

func startClient(d *deployment, r *routers, zone string, host byte) (*client, error) {
	a := d.addr(host, d.ports.flow)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	c := &client{zone: zone, addr: a.Addr(), conn: conn, routers: r, rec: d.rec, flows: map[uint16]*clientFlow{}, port: 10000}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok || !p.own && !standin.ValidChecksum(b[:n]) {
			c.rec.violation("a client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.to.Port()]
		c.mu.Unlock()
		if f == nil || f.key.route != p.from {
			continue
		}
		select {
		case f.received <- p:
		default: // It counts as lost.
		}
	}
}

// outcome is how an attempt or a request ended.
type outcome string

const (
	served   outcome = "served"
	reset    outcome = "reset by the system"
	ended    outcome = "reset by the endpoint"
	unopened outcome = "not opened"
	expired  outcome = "no answer in time"
)

func resetOutcome(p *packet) outcome {
	if p.own {
		return reset
	}
	return ended
}

func (f *clientFlow) write(flags byte, seq, ack uint32, data []byte) string {
	n, ok := f.c.routers.node(f.c.zone, f.key)
	if !ok {
		return ""
	}
	f.lastVia = n.name
	b := standin.EncodePacket(f.key.client, f.key.route, flags, seq, ack, data)
	// A datagram that cannot be sent counts as lost.
	_, _ = f.c.conn.WriteToUDPAddrPort(b, f.c.routers.d.addr(n.host, f.c.routers.d.ports.flow))
	return n.name
}

// openingWaits are the times after the opening packet and its two copies.
var openingWaits = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// open opens a flow to a route from a new port.
func (c *client) open(route netip.AddrPort) (*clientFlow, outcome) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{
		c: c, key: flowKey{netip.AddrPortFrom(c.addr, c.port), route}, seq: uint32(time.Now().UnixNano()),
		received: make(chan *packet, 32), opened: time.Now(),
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	for n, wait := range openingWaits {
		via := f.write(standin.Syn, f.seq, uint32(n), nil)
		if n == 0 {
			f.via = via
		}
		end := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				if p.flags&standin.Rst != 0 {
					f.forget()
					return f, resetOutcome(p)
				}
				if p.flags&standin.Syn != 0 {
					f.seq++
					f.next = p.seq + 1
					return f, served
				}
			case <-end:
				waiting = false
			}
		}
	}
	f.forget()
	return f, unopened
}

// request sends a request on an open flow and waits for its answer.
func (f *clientFlow) request(id string, deadline time.Duration) (string, outcome) {
	data := fmt.Appendf(nil, "GET /%s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n\r\n", id, f.key.route, idHeader, id)
	end := time.After(deadline)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		f.write(standin.Ack, f.seq, f.next, data)
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				if p.flags&standin.Rst != 0 {
					return "", resetOutcome(p)
				}
				if len(p.data) == 0 || p.seq != f.next {
					continue
				}
				f.seq += uint32(len(data))
				f.next += uint32(len(p.data))
				f.write(standin.Ack, f.seq, f.next, nil)
				return string(p.data), served
			case <-again:
				waiting = false
			case <-end:
				return "", expired
			}
		}
	}
}

// close ends the flow.
func (f *clientFlow) close() {
	f.write(standin.Fin|standin.Ack, f.seq, f.next, nil)
	f.forget()
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key.client.Port())
}
