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
	// isFeed is true for the flow of a feed; it never changes.
	isFeed bool
	// ready is closed when the flow is open or could not be opened. err, conn
	// and http are set before that and do not change afterwards.
	ready chan struct{}
	err   error
	conn  *quic.Conn
	http  *http3.RawClientConn
	// goAway is closed when the server has sent GOAWAY.
	goAway     chan struct{}
	goAwayOnce sync.Once

	// The client's mutex guards these. refs counts the requests and feeds that
	// hold the flow.
	refs    int
	retired bool
	lastUse time.Time

	socketsMu sync.Mutex
	sockets   []*flowSocket
	monitor   pathMonitor
}

// openFlow starts opening a flow in the background. The client's mutex must be
// held.
func (c *Client) openFlow(host string, isFeed bool) (*flow, error) {
	if c.closed {
		return nil, errors.New("client is closed")
	}
	f := &flow{
		client:  c,
		host:    host,
		isFeed:  isFeed,
		ready:   make(chan struct{}),
		goAway:  make(chan struct{}),
		lastUse: now(),
	}
	c.runningFlows.Go(f.run)
	return f, nil
}

// run opens the flow, monitors its path and closes its sockets at the end.
func (f *flow) run() {
	f.err = f.dial()
	close(f.ready)
	if f.err != nil {
		f.retire()
		f.closeSockets()
		return
	}
	f.client.stats.flows.Add(1)
	go f.acceptStreams()
	f.monitorPath()
	f.retire()
	f.countIfBroken()
	f.closeSockets()
}

func (f *flow) dial() error {
	s := f.client.settings
	ctx, cancel := context.WithTimeout(f.client.ctx, s.dialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", f.host)
	if err != nil {
		return errors.Annotatef(err, "resolving %s", f.host)
	}
	p, err := f.openSocket(addr.IP.To4() != nil)
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
		MaxIdleTimeout:       quicIdleTimeout,
		KeepAlivePeriod:      s.keepAlive,
	})
	if err != nil {
		return errors.Annotatef(err, "connecting to %s", f.host)
	}
	f.http = (&http3.Transport{DisableCompression: true}).NewRawClientConn(f.conn)
	return nil
}

// closeCleanly closes the connection with the code for no error.
func (f *flow) closeCleanly() {
	select {
	case <-f.ready:
		if f.conn != nil {
			f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		}
	default:
		// Still being opened: monitorPath closes a retired flow without requests.
	}
}

// alive reports whether the connection is open.
func (f *flow) alive() bool { return f.conn.Context().Err() == nil }

// countIfBroken counts the flow as broken unless one side closed it cleanly.
func (f *flow) countIfBroken() {
	var app *quic.ApplicationError
	err := context.Cause(f.conn.Context())
	if errors.As(err, &app) && app.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError) {
		return
	}
	if f.client.ctx.Err() == nil {
		f.client.stats.brokenFlows.Add(1)
	}
}
