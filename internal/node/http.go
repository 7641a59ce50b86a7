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
	// headerTimeout bounds how long a client may take to send a request.
	headerTimeout = 2 * time.Second
	// keepTime is how long an idle connection is kept: reports and readiness
	// checks come about once a second.
	keepTime = 30 * time.Second
	// listenRetry is the time between attempts to open a port that an earlier
	// run has not released yet.
	listenRetry = 20 * time.Millisecond
	// listenLimit is how long that is attempted.
	listenLimit = 3 * time.Second
)

// ServeHTTP serves a handler at an address until the server is closed.
func ServeHTTP(a netip.AddrPort, h http.Handler, log *logrus.Entry) (*http.Server, error) {
	l, err := listenTCP(a)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepTime}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).WithField("event", "serverEnded").WithField("address", a).Error("server ended")
		}
	}()
	return s, nil
}

func listenTCP(a netip.AddrPort) (net.Listener, error) {
	for begin := time.Now(); ; time.Sleep(listenRetry) {
		l, err := net.Listen("tcp4", a.String())
		if err == nil || time.Since(begin) >= listenLimit {
			return l, errors.Annotatef(err, "listen")
		}
	}
}

// Transport returns the connections to the platform's store and to peers. Short
// keep-alive probes notice connections that went silent.
func Transport() *http.Transport {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
	}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: keepTime}
}

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// probeInterval and probeCount find a silent connection within three seconds.
	probeInterval = time.Second
	probeCount    = 2
)
