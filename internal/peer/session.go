// Package peer keeps the sessions between balancers, and between agents and
// balancers: yamux over TCP with protobuf messages. Node is the balancer's
// side and owns the view and the copy of the configuration; Client is the
// agent's side.
package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/ring"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	dialTimeout  = 2 * time.Second
	helloTimeout = 3 * time.Second
	// keepAlive finds a frozen or unreachable process within about 4 s.
	keepAlive = 2 * time.Second
	// queueSize covers a full view of 32,768 entries in frames of maxItems.
	queueSize = 256
	flushPoll = 5 * time.Millisecond
)

// session is one connection to another process after both said hello.
type session struct {
	// remote is the entry that the other process said hello with.
	remote view.Item
	// dialed is true on the side that opened the connection.
	dialed bool

	mux     *yamux.Session
	stream  net.Conn
	queue   *ring.Ring[packet]
	traffic *traffic
	// queued counts packets that were queued and not yet written.
	queued atomic.Int64
	done   chan struct{}
	once   sync.Once
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = keepAlive
	c.LogOutput = io.Discard
	return c
}

// dial opens a session and says hello.
func dial(ctx context.Context, addr string, secure *Secure, t *traffic, hello view.Item) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if c, err = secure.client(ctx, countedConn{c, t}); err != nil {
		return nil, err
	}
	mux, err := yamux.Client(c, muxConfig())
	if err != nil {
		c.Close()
		return nil, errors.Trace(err)
	}
	stream, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return nil, errors.Trace(err)
	}
	s := &session{dialed: true, mux: mux, stream: stream, traffic: t}
	return s.greet(hello)
}

// accept takes a connection of another process and says hello.
func accept(c net.Conn, secure *Secure, t *traffic, hello view.Item) (*session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	c, err := secure.server(ctx, countedConn{c, t})
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Server(c, muxConfig())
	if err != nil {
		c.Close()
		return nil, errors.Trace(err)
	}
	timer := time.AfterFunc(helloTimeout, func() { mux.Close() })
	defer timer.Stop()
	stream, err := mux.AcceptStream()
	if err != nil {
		mux.Close()
		return nil, errors.Trace(err)
	}
	s := &session{mux: mux, stream: stream, traffic: t}
	return s.greet(hello)
}

// greet exchanges hellos.
func (s *session) greet(hello view.Item) (*session, error) {
	s.prepare()
	s.stream.SetDeadline(time.Now().Add(helloTimeout))
	p := encode(&Frame{Body: &Frame_Hello{&Hello{Version: protocolVersion, Entry: putItem(hello)}}})
	if err := s.write(p); err != nil {
		s.close()
		return nil, errors.Trace(err)
	}
	f, err := s.read(maxAgentFrame)
	if err == nil {
		s.remote, err = getHello(f)
	}
	if err != nil {
		s.close()
		return nil, errors.Trace(err)
	}
	s.stream.SetDeadline(time.Time{})
	return s, nil
}

func (s *session) prepare() {
	s.queue = ring.New[packet](queueSize)
	s.done = make(chan struct{})
}

func getHello(f *Frame) (view.Item, error) {
	h := f.GetHello()
	if h == nil {
		return view.Item{}, &FrameError{kindOf(f), "came before hello"}
	}
	if h.Version != protocolVersion {
		return view.Item{}, &FrameError{"hello", fmt.Sprintf("version %d is not supported", h.Version)}
	}
	return getItem(h.Entry)
}

func (s *session) read(limit int) (*Frame, error) {
	f, n, err := readFrame(s.stream, limit)
	if err != nil {
		return nil, err
	}
	s.traffic.received[kindOf(f)].add(n)
	return f, nil
}

func (s *session) write(p packet) error {
	_, err := s.stream.Write(p.b)
	if err == nil {
		s.traffic.sent[p.kind].add(len(p.b))
	}
	return err
}

// send queues packets. A process that does not keep up is disconnected: it
// gets everything anew when it returns, so no update is lost silently.
func (s *session) send(ps ...packet) {
	for _, p := range ps {
		s.queued.Add(1)
		if !s.queue.Put(p) {
			s.close()
			return
		}
	}
}

// writeLoop writes queued packets until the session ends.
func (s *session) writeLoop() {
	defer s.close()
	for {
		select {
		case p := <-s.queue.Items():
			if s.write(p) != nil {
				return
			}
			s.queued.Add(-1)
		case <-s.done:
			return
		case <-s.mux.CloseChan():
			return
		}
	}
}

// limit is the length of the longest frame that the other process may send.
func (s *session) limit() int {
	if s.remote.Key.IsBalancer() {
		return maxFrame
	}
	return maxAgentFrame
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.done)
		// Close waits for the loops of the session and callers may hold locks.
		go s.mux.Close()
	})
}

// unsent returns the number of packets to write before the session ends.
func (s *session) unsent() int {
	select {
	case <-s.done:
		return 0
	default:
		return int(s.queued.Load())
	}
}
