package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

const (
	// maxData is the most data of a packet.
	maxData = 1200
	// resetWindow is how far the sequence number of a reset may be from the client's last
	// acknowledgement.
	resetWindow = 76800
)

// openingWaits are the waits after the opening packet and after its copies.
var openingWaits = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// outcome is how a try of a client ended.
type outcome string

const (
	served   outcome = "served"
	unopened outcome = "not opened"
	rejected outcome = "reset before it was open"
	reset    outcome = "reset"
	expired  outcome = "deadline"
)

// client is a VM of clients, with one socket for all its flows.
type client struct {
	d        *deployment
	ip       netip.Addr
	conn     *net.UDPConn
	mu       sync.Mutex
	flows    map[uint16]*clientFlow
	nextPort uint16
}

// received is a packet that a client got, with the address of the machine that sent it.
type received struct {
	packet
	by netip.Addr
	at time.Time
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	c           *client
	addr, route netip.AddrPort
	// seq is the next sequence number to send, next the next one to receive.
	// acked is what the server has acknowledged.
	seq, next, acked uint32
	in               chan received
	// resetBy is the machine that has reset the open flow, resetAt when.
	resetBy netip.Addr
	resetAt time.Time
}

func (f *clientFlow) key() flowKey { return flowKey{f.addr, f.route} }

func startClient(d *deployment) (*client, error) {
	ip := d.ip(5)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	c := &client{d: d, ip: ip, conn: conn, flows: map[uint16]*clientFlow{}, nextPort: 1024}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		raw := append([]byte(nil), b[:n]...)
		p, ok := decode(raw)
		if !ok || !p.ownReset() && !standin.ValidChecksum(raw) {
			c.d.record.note("client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.to.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.in <- received{p, from.Addr(), time.Now()}:
		default:
		}
	}
}

func (f *clientFlow) write(flags byte, seq, acked uint32, data []byte) {
	b := standin.EncodePacket(f.addr, f.route, flags, seq, acked, data)
	if to := f.c.d.router.balancerFor(f.addr); to != nil {
		_, _ = f.c.conn.WriteToUDPAddrPort(b, to.addr(datagramPort))
	}
}

// open opens a flow to a route from a new port.
func (c *client) open(route netip.AddrPort) (*clientFlow, outcome) {
	c.mu.Lock()
	f := &clientFlow{c: c, addr: netip.AddrPortFrom(c.ip, c.nextPort), route: route, seq: rand.Uint32(), in: make(chan received, 64)}
	c.flows[c.nextPort] = f
	c.nextPort++
	c.mu.Unlock()
	for n, wait := range openingWaits {
		f.write(standin.Syn, f.seq, uint32(n), nil)
		if o := f.awaitOpen(wait); o != unopened {
			return f, o
		}
	}
	return f, unopened
}

func (f *clientFlow) awaitOpen(wait time.Duration) outcome {
	timeout := time.After(wait)
	for {
		select {
		case p := <-f.in:
			switch {
			case p.flags&standin.Rst != 0:
				return rejected
			case p.flags&standin.Syn != 0:
				f.seq++
				f.acked, f.next = f.seq, p.seq+1
				return served
			}
		case <-timeout:
			return unopened
		}
	}
}

// request sends a request and waits for its answer. Packets that are not acknowledged are
// sent again.
func (f *clientFlow) request(id string, size int) outcome {
	head := "GET / HTTP/1.1\r\nHost: " + f.route.String() + "\r\n" + requestIDHeader + id + "\r\n"
	if more := size - len(head); more > 0 {
		head += "Cookie: " + strings.Repeat("c", more) + "\r\n"
	}
	data := []byte(head + "\r\n")
	first := f.seq
	f.seq += uint32(len(data))
	end := time.After(f.c.d.timeout)
	for wait := minRetransmission; ; wait = min(2*wait, maxRetransmission) {
		for at := 0; at < len(data); at += maxData {
			seq := first + uint32(at)
			if part := data[at:min(at+maxData, len(data))]; int32(seq-f.acked) >= 0 {
				f.write(standin.Ack, seq, f.next, part)
			}
		}
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if o := f.take(&p, id); o != "" {
					return o
				}
			case <-again:
				waiting = false
			case <-end:
				f.write(standin.Rst|standin.Ack, f.seq, f.next, nil)
				return expired
			}
		}
	}
}

// take handles a packet of an open flow. The result is empty if it decides nothing.
func (f *clientFlow) take(p *received, id string) outcome {
	if p.flags&standin.Rst != 0 {
		if off := int32(p.seq - f.next); off > resetWindow || off < -resetWindow {
			return ""
		}
		f.resetBy, f.resetAt = p.by, p.at
		return reset
	}
	if p.flags&standin.Ack != 0 && p.flags&standin.Syn == 0 && int32(p.ackd-f.acked) > 0 {
		f.acked = p.ackd
	}
	if len(p.data) == 0 || p.seq != f.next {
		return ""
	}
	f.next += uint32(len(p.data))
	f.write(standin.Ack, f.seq, f.next, nil)
	if !strings.Contains(string(p.data), "Response-Seal: "+id+"\r\n") {
		f.c.d.record.note("client %s got an answer that is not its own", f.addr)
	}
	return served
}

// longFlow opens a flow, sends a request, pauses until a time, and sends another one of a
// size. It returns the outcomes of both and when the second was sent.
func (c *client) longFlow(name string, until time.Time, size int) (f *clientFlow, first, second outcome, sent time.Time) {
	f, first = c.open(c.d.listRoute())
	if first != served {
		return f, first, "", sent
	}
	if first = f.request(name+"-1", 0); first != served {
		return f, first, "", sent
	}
	time.Sleep(time.Until(until))
	sent = time.Now()
	second = f.request(name+"-2", size)
	if second == served {
		f.write(standin.Fin|standin.Ack, f.seq, f.next, nil)
	}
	return f, first, second, sent
}

func (f *clientFlow) String() string { return fmt.Sprintf("flow of %s", f.addr) }
