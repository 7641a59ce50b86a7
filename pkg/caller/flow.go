package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

func now() time.Time { return time.Now() }

// flow is one QUIC connection to a service.
type flow struct {
	client *Client
	host   string
	// feeding is true for the flow of a feed; it never changes.
	feeding bool
	// ready is closed when the flow is open or could not be opened. err, conn
	// and http are set before and do not change afterwards.
	ready chan struct{}
	err   error
	conn  *quic.Conn
	http  *http3.RawClientConn
	// leaving is closed when the server has sent GOAWAY.
	leaving   chan struct{}
	leaveOnce sync.Once

	// The client's mutex guards these.
	inUse   int
	retired bool
	lastUse time.Time

	pathMu sync.Mutex
	paths  []*path
	watch  silence
}

// open starts to open a flow. The caller of open holds the client's mutex.
func (c *Client) open(host string, feeding bool) (*flow, error) {
	if c.closed {
		return nil, errors.New("client is closed")
	}
	f := &flow{
		client:  c,
		host:    host,
		feeding: feeding,
		ready:   make(chan struct{}),
		leaving: make(chan struct{}),
		lastUse: now(),
	}
	c.flows.Go(f.run)
	return f, nil
}

// run opens the flow, watches it and frees its sockets at the end.
func (f *flow) run() {
	f.err = f.dial()
	close(f.ready)
	if f.err != nil {
		f.retire()
		f.closePaths()
		return
	}
	f.client.stats.flows.Add(1)
	go f.acceptStreams()
	f.watchPath()
	f.retire()
	f.countEnd()
	f.closePaths()
}

func (f *flow) dial() error {
	s := f.client.settings
	ctx, cancel := context.WithTimeout(f.client.ctx, s.dialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", f.host)
	if err != nil {
		return errors.Annotatef(err, "resolving %s", f.host)
	}
	p, err := f.openPath(addr.IP.To4() != nil)
	if err != nil {
		return err
	}
	tc := s.tls.Clone()
	tc.NextProtos = []string{http3.NextProtoH3}
	if tc.ServerName == "" {
		tc.ServerName, _, _ = net.SplitHostPort(f.host)
	}
	f.conn, err = p.transport.Dial(ctx, addr, tc, &quic.Config{
		HandshakeIdleTimeout: s.dialTimeout,
		MaxIdleTimeout:       maxIdle,
		KeepAlivePeriod:      s.keepAlive,
	})
	if err != nil {
		return errors.Annotatef(err, "connecting to %s", f.host)
	}
	f.http = (&http3.Transport{DisableCompression: true}).NewRawClientConn(f.conn)
	return nil
}

// shut closes the connection on purpose.
func (f *flow) shut() {
	select {
	case <-f.ready:
		if f.conn != nil {
			f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		}
	default:
		// Still being opened: the watch closes a retired flow without requests.
	}
}

// alive says whether the connection is open.
func (f *flow) alive() bool { return f.conn.Context().Err() == nil }

// countEnd counts the flow as broken unless one of the ends closed it cleanly.
func (f *flow) countEnd() {
	var app *quic.ApplicationError
	err := context.Cause(f.conn.Context())
	if errors.As(err, &app) && app.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError) {
		return
	}
	if f.client.ctx.Err() == nil {
		f.client.stats.brokenFlows.Add(1)
	}
}
