package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

const (
	// endpointQueue is how many requests an endpoint queues beyond its slots.
	endpointQueue = 20
	// beatTimeout is the time within which an acknowledgement must arrive.
	beatTimeout = time.Second
)

// endpointConfig describes one incarnation of an endpoint.
type endpointConfig struct {
	id, service string
	// addr is its address, outbound and control those of the node on its machine.
	addr, outbound, control netip.AddrPort
	slots                   int
	work                    time.Duration
	// clockAhead is how far the time of day of its machine is ahead when it starts.
	clockAhead time.Duration
	// onTaken is called with each opening packet that the endpoint takes, onPacket with
	// each packet that reaches it and neither opens nor closes a flow, onOpen with each
	// flow that opens, and onRun with each request that it begins to run. All may be nil.
	onTaken  func(k flowKey)
	onOpen   func(k flowKey, e *endpoint)
	onPacket func(k flowKey, e *endpoint)
	onRun    func(k flowKey, id string)
}

// endpoint is a stand-in for an endpoint of the platform.
type endpoint struct {
	endpointConfig
	rec    *record
	conn   *net.UDPConn
	health *http.Server
	born   int64
	done   chan struct{}

	mu       sync.Mutex
	flows    map[flowKey]*endpointFlow
	busy     int
	queue    []func()
	nextSeq  uint32
	beats    int
	draining bool
	// drainAcked is when the first report with State "draining" was acknowledged.
	drainAcked time.Time
	lastAcked  time.Time
	ended      bool
}

// endpointFlow is the endpoint's end of a flow.
type endpointFlow struct {
	first, next, expected uint32
	open, closed          bool
	openedAt              time.Time
	answer                []byte
}

func startEndpoint(rec *record, c endpointConfig) (*endpoint, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.addr))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", c.addr.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	e := &endpoint{
		endpointConfig: c, rec: rec, conn: conn, born: time.Now().Add(c.clockAhead).UnixMilli(), done: make(chan struct{}),
		flows: map[flowKey]*endpointFlow{}, nextSeq: uint32(time.Now().UnixNano()),
	}
	e.health = &http.Server{Handler: http.HandlerFunc(e.serveHealth), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.health.Serve(l) }()
	rec.add("endpoint %s of %s starts at %s, born %d", c.id, c.service, c.addr, e.born)
	go e.serve()
	go e.report()
	return e, nil
}

func (e *endpoint) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// crash ends the endpoint without a word.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.rec.add("endpoint %s ends", e.id)
	close(e.done)
	_ = e.conn.Close()
	_ = e.health.Close()
}

// drain reports that the endpoint is leaving, until that is acknowledged.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.rec.add("endpoint %s reports draining", e.id)
	e.beat()
}

// acked returns when the endpoint's draining was acknowledged; zero if it was not.
func (e *endpoint) acked() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainAcked
}

// reportedAt returns when the last report was acknowledged.
func (e *endpoint) reportedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastAcked
}

// holds reports whether the endpoint holds a flow that is open, and since when.
func (e *endpoint) holds(k flowKey) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[k]
	if e.ended || f == nil || !f.open || f.closed {
		return time.Time{}, false
	}
	return f.openedAt, true
}

func (e *endpoint) report() {
	for {
		e.beat()
		select {
		case <-time.After(heartbeatInterval):
		case <-e.done:
			return
		}
	}
}

func (e *endpoint) beat() {
	e.mu.Lock()
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"recife","Version":"v1","Capacity":%d,"State":%q,"WarmupLeftMs":0,"Seq":%d,"born":%d}`,
		e.service, e.addr, e.slots, state, e.beats, e.born)
	e.mu.Unlock()
	client := http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(fmt.Sprintf("http://%s/instances/%s/heartbeat", e.control, e.id), "application/json", strings.NewReader(body))
	if err != nil {
		e.rec.add("endpoint %s: heartbeat not acknowledged: %v", e.id, err)
		return // The next one follows.
	}
	_ = resp.Body.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if resp.StatusCode/100 != 2 {
		return
	}
	e.lastAcked = time.Now()
	if state == "draining" && e.drainAcked.IsZero() {
		e.drainAcked = e.lastAcked
		e.rec.add("endpoint %s: draining is acknowledged with %d", e.id, resp.StatusCode)
	}
}

func (e *endpoint) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(b)
		select {
		case <-e.done:
			return
		default:
		}
		if err == nil {
			e.receive(bytes.Clone(b[:n]))
		}
	}
}

// send sends a packet to the node on the machine. One that is lost is sent again with the
// client's next retransmission.
func (e *endpoint) send(b []byte) { _, _ = e.conn.WriteToUDPAddrPort(b, e.outbound) }

func (e *endpoint) bounce(b []byte) {
	b[18] |= standin.Returned
	b[19] = 0
	e.send(b)
}

func (e *endpoint) receive(b []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := decode(b)
	if !ok || e.ended {
		return
	}
	if !standin.ValidChecksum(b) {
		e.rec.violation("endpoint %s got a packet that its sender did not write so", e.id)
		return
	}
	k := flowKey{p.from, p.to}
	f := e.flows[k]
	if e.onPacket != nil && p.flags&(standin.Syn|standin.Fin) == 0 {
		e.onPacket(k, e)
	}
	switch {
	case p.flags&standin.Syn != 0:
		e.take(k, f, p, b)
	case f == nil || p.ack-f.first < 1 || p.ack-f.first > f.next-f.first:
		e.bounce(b)
	case f.closed:
		if p.flags&standin.Fin != 0 {
			e.send(standin.EncodePacket(p.to, p.from, standin.Ack, f.next, p.seq+1, nil))
		} else if len(p.data) > 0 {
			e.send(standin.EncodePacket(p.to, p.from, standin.Rst, f.next, 0, nil))
		}
	default:
		e.receiveOpen(k, f, p)
	}
}

// take answers an opening packet, or returns it if the endpoint is full.
func (e *endpoint) take(k flowKey, f *endpointFlow, p *packet, b []byte) {
	if f == nil {
		if len(e.queue) >= endpointQueue {
			e.bounce(b)
			return
		}
		e.nextSeq += 1 << 20
		f = &endpointFlow{first: e.nextSeq, next: e.nextSeq + 1, expected: p.seq + 1}
		e.flows[k] = f
		if e.onTaken != nil {
			e.onTaken(k)
		}
	}
	e.send(standin.EncodePacket(p.to, p.from, standin.Syn|standin.Ack, f.first, p.seq+1, nil))
}

func (e *endpoint) receiveOpen(k flowKey, f *endpointFlow, p *packet) {
	if !f.open {
		f.open, f.openedAt = true, time.Now()
		if e.onOpen != nil {
			e.onOpen(k, e)
		}
	}
	if p.flags&standin.Fin != 0 {
		f.closed = true
		e.send(standin.EncodePacket(p.to, p.from, standin.Fin|standin.Ack, f.next, p.seq+1, nil))
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected {
		if f.answer != nil && p.seq+uint32(len(p.data)) == f.expected {
			e.send(f.answer)
		}
		return
	}
	f.expected += uint32(len(p.data))
	f.answer = nil
	id := requestID(p.data)
	run := func() { e.run(k, f, p, id) }
	if e.busy >= e.slots {
		e.queue = append(e.queue, run)
		return
	}
	run()
}

// run runs a request. The caller holds the lock.
func (e *endpoint) run(k flowKey, f *endpointFlow, p *packet, id string) {
	e.busy++
	if e.onRun != nil {
		e.onRun(k, id)
	}
	time.AfterFunc(e.work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.ended {
			return
		}
		e.busy--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
		body := id + " run by " + e.id + " of " + e.service
		data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nBramleycourse-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		f.answer = standin.EncodePacket(p.to, p.from, standin.Ack, f.next, f.expected, data)
		f.next += uint32(len(data))
		e.send(f.answer)
	})
}

const idHeader = "Bramleycourse-Request-Id: "

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), idHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
