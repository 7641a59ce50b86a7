package node

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/sirupsen/logrus"
)

// Parts holds the sockets, servers and goroutines of a process and closes them
// together.
type Parts struct {
	Loop    *Loop
	Metrics *Metrics
	Log     *logrus.Entry

	// done is closed by Close, which also ends ctx.
	done    chan struct{}
	ctx     context.Context
	end     context.CancelFunc
	sockets []*Socket
	servers []*http.Server
	wg      sync.WaitGroup
}

// NewParts returns the parts of a process, at first only its loop. Metrics must be
// set before Close.
func NewParts(loop *Loop, log *logrus.Entry) *Parts {
	p := &Parts{Loop: loop, Log: log, done: make(chan struct{})}
	p.ctx, p.end = context.WithCancel(context.Background())
	return p
}

// Context returns a context for calls that Close is not to wait for.
func (p *Parts) Context() context.Context { return p.ctx }

// Done returns a channel that is closed by Close. Goroutines end when it is closed.
func (p *Parts) Done() <-chan struct{} { return p.done }

// Listen opens a UDP socket that Close closes.
func (p *Parts) Listen(a netip.AddrPort) (*Socket, error) {
	s, err := Listen(a)
	if err == nil {
		p.sockets = append(p.sockets, s)
	}
	return s, err
}

// Serve starts an HTTP server at an address. If the address is the zero AddrPort, it
// does nothing.
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

// Spawn runs a function in a goroutine that Close waits for. The function must return
// once Done is closed or the sockets are closed.
func (p *Parts) Spawn(run func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		run()
	}()
}

// Close closes all parts and waits for the goroutines to end.
func (p *Parts) Close() {
	p.Loop.Close()
	for _, s := range p.servers {
		// Close cuts open connections. They belong to checks, reports and peers, which
		// retry.
		_ = s.Close()
	}
	if err := p.Metrics.Close(); err != nil {
		p.Log.WithError(err).WithField("event", "metricsFailed").Warn("closing the metrics failed")
	}
	for _, s := range p.sockets {
		_ = s.Close()
	}
	close(p.done)
	p.end()
	p.wg.Wait()
}
