package node

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/sirupsen/logrus"
)

// Parts are the sockets, servers and goroutines of a process. They end together.
type Parts struct {
	Loop    *Loop
	Metrics *Metrics
	Log     *logrus.Entry

	// done is closed when the parts end.
	done    chan struct{}
	sockets []*Socket
	servers []*http.Server
	wg      sync.WaitGroup
}

// NewParts returns the parts of a process that has none but its loop yet.
func NewParts(loop *Loop, log *logrus.Entry) *Parts {
	return &Parts{Loop: loop, Log: log, done: make(chan struct{})}
}

// Done is closed when the parts end.
func (p *Parts) Done() <-chan struct{} { return p.done }

// Listen opens a socket.
func (p *Parts) Listen(a netip.AddrPort) (*Socket, error) {
	s, err := Listen(a)
	if err == nil {
		p.sockets = append(p.sockets, s)
	}
	return s, err
}

// Serve serves a handler at an address. An address that is not valid is none.
func (p *Parts) Serve(a netip.AddrPort, h http.Handler) error {
	if !a.IsValid() {
		return nil
	}
	s, err := ServeHTTP(a, h, p.Log)
	if err == nil {
		p.servers = append(p.servers, s)
	}
	return err
}

// Spawn runs a function that ends with the parts.
func (p *Parts) Spawn(run func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		run()
	}()
}

// Close ends all parts and waits for them.
func (p *Parts) Close() {
	p.Loop.Close()
	for _, s := range p.servers {
		// Connections that are still open belong to checks, reports and peers, which
		// try again.
		_ = s.Close()
	}
	if err := p.Metrics.Close(); err != nil {
		p.Log.WithError(err).WithField("event", "metricsFailed").Warn("metrics not closed")
	}
	for _, s := range p.sockets {
		_ = s.Close()
	}
	close(p.done)
	p.wg.Wait()
}
