package node

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

const (
	// headerTimeout bounds how long a client may take to send the header of a request.
	headerTimeout = 2 * time.Second
	// idleTimeout keeps connections open between reports and readiness checks, which
	// come about once a second.
	idleTimeout = 30 * time.Second
	// listenRetryInterval is the time between attempts to open a port that an
	// earlier run has not released yet.
	listenRetryInterval = 20 * time.Millisecond
	// listenTimeout bounds these attempts.
	listenTimeout = 3 * time.Second
)

// ServeHTTP starts an HTTP server at an address. The server runs until it is closed.
func ServeHTTP(a netip.AddrPort, h http.Handler, log *logrus.Entry) (*http.Server, error) {
	l, err := listenTCP(a)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).WithField("event", "serverEnded").WithField("address", a).Error("HTTP server ended")
		}
	}()
	return s, nil
}

func listenTCP(a netip.AddrPort) (net.Listener, error) {
	for begin := time.Now(); ; time.Sleep(listenRetryInterval) {
		l, err := net.Listen("tcp4", a.String())
		if err == nil || time.Since(begin) >= listenTimeout {
			return l, errors.Annotatef(err, "listen")
		}
	}
}

// Transport returns the HTTP transport for calls to the platform's store and to
// peers. Frequent keep-alive probes detect dead connections.
func Transport() *http.Transport {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
}

const (
	// dialTimeout bounds the setup of a connection.
	dialTimeout = time.Second
	// keepAliveInterval and keepAliveProbes detect a dead connection within three
	// seconds.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)
