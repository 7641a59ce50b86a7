package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/fabric"
)

var authority = sync.OnceValues(func() (*certs.Authority, error) { return certs.NewAuthority(time.Hour) })

// server is a fake service at one address. New connections go to the current
// agent.
type server struct {
	t        *testing.T
	addr     netip.AddrPort
	listener *quic.Listener

	mu      sync.Mutex
	current *http3.Server
	conns   []*quic.Conn
}

func newServer(t *testing.T, h http.Handler) *server {
	t.Helper()
	a, err := authority()
	noError(t, err)
	cert, key, err := a.Issue("localhost")
	noError(t, err)
	pair, err := tls.X509KeyPair(cert, key)
	noError(t, err)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	noError(t, err)
	tr := &quic.Transport{Conn: conn}
	s := &server{t: t, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	s.listener, err = tr.Listen(http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}}), nil)
	noError(t, err)
	t.Cleanup(func() {
		tr.Close()
		conn.Close()
	})
	s.replaceAgent(h)
	go s.accept()
	return s
}

func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept(s.t.Context())
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		go s.current.ServeQUICConn(c)
		s.mu.Unlock()
	}
}

// replaceAgent sends new connections to a new agent and returns the old one.
func (s *server) replaceAgent(h http.Handler) *http3.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current
	s.current = &http3.Server{Handler: h}
	return old
}

// conn returns the nth accepted connection, counted from 0, or nil.
func (s *server) conn(n int) *quic.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.conns) {
		return nil
	}
	return s.conns[n]
}

func (s *server) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func newClient(t *testing.T, opts ...Option) *Client {
	t.Helper()
	a, err := authority()
	noError(t, err)
	tc := &tls.Config{RootCAs: a.Pool(), ServerName: "localhost"}
	c := New(append([]Option{WithTLS(tc), WithBackoff(time.Millisecond, 20*time.Millisecond)}, opts...)...)
	t.Cleanup(func() { c.Close() })
	return c
}

func newFabric(t *testing.T, s *server) *fabric.Fabric {
	t.Helper()
	f, err := fabric.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, s.addr)
	noError(t, err)
	go f.Run(t.Context())
	return f
}

// conditionTimeout is far above the time that any condition needs.
const conditionTimeout = 10 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", conditionTimeout, what)
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}
