// Package peer implements the sessions between balancers, and between agents
// and balancers. A session carries protobuf messages in a yamux stream over TCP,
// optionally with mutual TLS. Node is the balancer's side and owns its view,
// marks and copy of the configuration; Client is the agent's side.
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
	// dialTimeout bounds the opening of a connection with its TLS handshake.
	dialTimeout = 2 * time.Second
	// helloTimeout bounds the exchange of hellos. On an accepted connection it
	// also bounds the TLS handshake and the wait for the stream, each on its own.
	helloTimeout = 3 * time.Second
	// keepAlive is yamux's keepalive interval and write timeout; together they
	// detect a frozen or unreachable process within about 4 s.
	keepAlive = 2 * time.Second
	// queueSize is the number of frames in a send queue. It has room for a full
	// view of 32,768 entries in frames of maxFrameEntries.
	queueSize = 256
	// flushPollInterval is the time between two checks for unsent frames.
	flushPollInterval = 5 * time.Millisecond
)

// session is a connection to another process after the exchange of hellos.
type session struct {
	// remote is the entry that the other process announced in its hello;
	// later announcements of an agent replace it.
	remote view.Item
	// dialed is true on the side that opened the connection.
	dialed bool

	mux     *yamux.Session
	stream  net.Conn
	queue   *ring.Ring[packet]
	traffic *traffic
	// queued counts the packets that are not yet written.
	queued    atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = keepAlive
	c.LogOutput = io.Discard
	return c
}

// dial opens a session to an address.
func dial(ctx context.Context, addr string, mutualTLS *MutualTLS, t *traffic, self view.Item) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if c, err = mutualTLS.wrapClient(ctx, countedConn{c, t}); err != nil {
		return nil, err
	}
	mux, err := yamux.Client(c, yamuxConfig())
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
	return s.exchangeHellos(self)
}

// accept opens a session on an accepted connection.
func accept(c net.Conn, mutualTLS *MutualTLS, t *traffic, self view.Item) (*session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	c, err := mutualTLS.wrapServer(ctx, countedConn{c, t})
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Server(c, yamuxConfig())
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
	return s.exchangeHellos(self)
}

// exchangeHellos sends a hello and waits for that of the other process; it
// closes the session on error.
func (s *session) exchangeHellos(self view.Item) (*session, error) {
	s.initQueue()
	s.stream.SetDeadline(time.Now().Add(helloTimeout))
	p := encodeFrame(&Frame{Body: &Frame_Hello{&Hello{Version: protocolVersion, Entry: encodeItem(self)}}})
	if err := s.write(p); err != nil {
		s.close()
		return nil, errors.Trace(err)
	}
	f, err := s.read(maxAgentFrame)
	if err == nil {
		s.remote, err = decodeHello(f)
	}
	if err != nil {
		s.close()
		return nil, errors.Trace(err)
	}
	s.stream.SetDeadline(time.Time{})
	return s, nil
}

func (s *session) initQueue() {
	s.queue = ring.New[packet](queueSize)
	s.done = make(chan struct{})
}

func decodeHello(f *Frame) (view.Item, error) {
	h := f.GetHello()
	if h == nil {
		return view.Item{}, &FrameError{kindOf(f), "received before hello"}
	}
	if h.Version != protocolVersion {
		return view.Item{}, &FrameError{"hello", fmt.Sprintf("version %d is not supported", h.Version)}
	}
	return decodeItem(h.Entry)
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
	_, err := s.stream.Write(p.data)
	if err == nil {
		s.traffic.sent[p.kind].add(len(p.data))
	}
	return err
}

// send queues packets. If the queue overflows, it closes the session: the other
// process gets the full state again with a new session, so that no update is
// lost silently.
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

// maxFrameSize returns the maximum length in bytes of a frame from the other
// process.
func (s *session) maxFrameSize() int {
	if s.remote.Key.IsBalancer() {
		return maxFrame
	}
	return maxAgentFrame
}

func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		// mux.Close waits for yamux's goroutines, and callers may hold locks.
		go s.mux.Close()
	})
}

// unsent returns the number of queued packets; zero if the session is closed.
func (s *session) unsent() int {
	select {
	case <-s.done:
		return 0
	default:
		return int(s.queued.Load())
	}
}
