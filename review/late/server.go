package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

const (
	workTime           = 30 * time.Millisecond
	minRetransmission  = 200 * time.Millisecond
	maxRetransmission  = 1600 * time.Millisecond
	maxRetransmissions = 8
	ackTimeout         = time.Second
	requestIDHeader    = "Bramleycourse-Request-Id: "
)

// flowKey identifies a flow by its client and route.
type flowKey struct{ client, route netip.AddrPort }

// serverFlow is the server's end of a flow.
type serverFlow struct {
	key flowKey
	// first is the first sequence number of the server, next the next one to send,
	// want the next one of the client.
	first, next, want uint32
	open              bool
	// early holds data that arrived before data in front of it, and request the data of
	// the request in front of that. unanswered counts the packets since the last packet
	// of the server.
	early      map[uint32][]byte
	request    []byte
	unanswered int
	// unacked is the last packet without an acknowledgement.
	unacked []byte
	timer   *time.Timer
	closed  bool
}

// server is one incarnation of an endpoint.
type server struct {
	m        *machine
	id       string
	service  string
	born     int64
	conn     *net.UDPConn
	health   *http.Server
	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	seq      int
	ended    bool
	done     chan struct{}
	outbound netip.AddrPort
	// foreign counts the requests of routes of other services that the server has run.
	foreign int
	// arrivals are the times of the packets that arrived, except opening packets, by flow.
	arrivals map[flowKey][]time.Time
}

// startServer starts an endpoint beside an agent.
func startServer(m *machine, id string) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.addr(appPort)))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", m.addr(appPort).String())
	if err != nil {
		return nil, err
	}
	s := &server{
		m: m, id: id, service: m.service, born: time.Now().UnixMilli(), conn: conn, flows: map[flowKey]*serverFlow{},
		arrivals: map[flowKey][]time.Time{}, done: make(chan struct{}), outbound: m.addr(outboundPort),
	}
	s.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})}
	go func() { _ = s.health.Serve(l) }()
	go s.serve()
	go s.beat()
	m.d.record.note("server %s of %s starts beside %s", id, s.service, m.name)
	return s, nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.done)
	_ = s.conn.Close()
	_ = s.health.Close()
	s.m.d.record.note("server %s crashes", s.id)
}

func (s *server) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		_, _ = s.send(s.nextHeartbeat())
		select {
		case <-ticker.C:
		case <-s.done:
			return
		}
	}
}

// nextHeartbeat returns the next heartbeat, which is not sent yet.
func (s *server) nextHeartbeat() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return s.heartbeatBody(s.seq)
}

// heartbeatBody returns a heartbeat with a number.
func (s *server) heartbeatBody(seq int) string {
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Capacity":4,"State":"ready","WarmupLeftMs":0,"Seq":%d,"born":%d}`,
		s.service, s.m.addr(appPort), s.m.zone, seq, s.born)
}

// send sends a heartbeat and returns the status of the answer.
func (s *server) send(body string) (int, error) {
	c := http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Post("http://"+s.m.addr(controlPort).String()+"/instances/"+s.id+"/heartbeat", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err // The agent may be down. The next heartbeat follows.
	}
	_ = r.Body.Close()
	return r.StatusCode, nil
}

// ranForeign returns the number of requests of other services that the server has run.
func (s *server) ranForeign() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreign
}

// holds reports whether the server holds an open flow.
func (s *server) holds(k flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	return !s.ended && f != nil && f.open
}

func (s *server) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			select {
			case <-s.done:
				return
			default:
				continue
			}
		}
		s.receive(bytes.Clone(b[:n]))
	}
}

func (s *server) write(b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, s.outbound) }

func (s *server) receive(b []byte) {
	p, ok := decode(b)
	if !ok || !standin.ValidChecksum(b) {
		s.m.d.record.note("server %s got a packet that its sender did not write so", s.id)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	k := flowKey{p.from, p.to}
	f := s.flows[k]
	held := f != nil && !f.closed && (f.open || p.ackd == f.first+1)
	if p.flags&standin.Syn == 0 {
		s.arrivals[k] = append(s.arrivals[k], time.Now())
	}
	switch {
	case p.flags&standin.Syn != 0:
		s.receiveOpening(k, f, &p)
	case !held:
		b[18] |= standin.Returned
		b[19] = 0
		s.write(b)
	case p.flags&standin.Rst != 0:
		f.stop()
		delete(s.flows, k)
	default:
		s.receiveData(f, &p)
	}
}

// receiveOpening answers an opening packet or a copy of it. An open flow has got the
// answer before.
func (s *server) receiveOpening(k flowKey, f *serverFlow, p *packet) {
	if f != nil && f.open {
		return
	}
	if f == nil {
		first := rand.Uint32()
		f = &serverFlow{key: k, first: first, next: first + 1, want: p.seq + 1, early: map[uint32][]byte{}}
		s.flows[k] = f
	}
	s.write(standin.EncodePacket(k.route, k.client, standin.Syn|standin.Ack, f.first, f.want, nil))
}

func (s *server) receiveData(f *serverFlow, p *packet) {
	if !f.open {
		f.open = true
		s.m.d.record.note("server %s has the flow of %s", s.id, f.key.client)
	}
	if p.ackd == f.next {
		f.stop()
	}
	switch {
	case p.flags&standin.Fin != 0:
		f.stop()
		f.closed = true
		s.write(standin.EncodePacket(f.key.route, f.key.client, standin.Fin|standin.Ack, f.next, p.seq+1, nil))
	case len(p.data) == 0:
	case int32(p.seq-f.want) < 0:
		s.acknowledge(f) // The acknowledgement was lost.
	default:
		f.early[p.seq] = p.data
		s.receiveRequest(f)
	}
}

// receiveRequest handles the data of a flow that is complete so far. Every second packet
// is acknowledged; an answer acknowledges all.
func (s *server) receiveRequest(f *serverFlow) {
	for d := f.early[f.want]; d != nil; d = f.early[f.want] {
		delete(f.early, f.want)
		f.want += uint32(len(d))
		f.request = append(f.request, d...)
	}
	if f.unanswered++; f.unanswered >= 2 {
		s.acknowledge(f)
	}
	if !bytes.HasSuffix(f.request, []byte("\r\n\r\n")) {
		return
	}
	_, id, _ := strings.Cut(string(f.request), requestIDHeader)
	id, _, _ = strings.Cut(id, "\r\n")
	f.request = nil
	s.m.d.record.note("server %s of %s runs request %s to %s", s.id, s.service, id, f.key.route)
	if (s.service == lists) != (f.key.route == s.m.d.listRoute()) {
		s.foreign++
	}
	time.AfterFunc(workTime, func() { s.answer(f, id) })
}

func (s *server) acknowledge(f *serverFlow) {
	f.unanswered = 0
	s.write(standin.EncodePacket(f.key.route, f.key.client, standin.Ack, f.next, f.want, nil))
}

func (s *server) answer(f *serverFlow, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || f.closed {
		return
	}
	body := strings.Repeat("x", 600)
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nBramleycourse-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	f.unacked = standin.EncodePacket(f.key.route, f.key.client, standin.Ack, f.next, f.want, []byte(data))
	f.next += uint32(len(data))
	f.unanswered = 0
	s.write(f.unacked)
	s.retransmit(f, f.unacked, minRetransmission, maxRetransmissions)
}

// retransmit sends a packet again until it is acknowledged or all tries are used.
func (s *server) retransmit(f *serverFlow, b []byte, wait time.Duration, left int) {
	f.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ended || left == 0 || len(f.unacked) == 0 || &f.unacked[0] != &b[0] {
			return
		}
		s.write(b)
		s.retransmit(f, b, min(2*wait, maxRetransmission), left-1)
	})
}

// stop ends the retransmissions.
func (f *serverFlow) stop() {
	f.unacked = nil
	if f.timer != nil {
		f.timer.Stop()
	}
}
