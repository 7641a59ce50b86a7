// Package load is an open-loop load generator. Requests arrive as a Poisson
// process drawn from a seed. Latency is measured from the scheduled start, so
// that a slow service does not hide its own delays (coordinated omission).
package load

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// Limits of one run.
const (
	MaxFlows    = 20_000
	MaxDuration = time.Hour
	maxRate     = 50_000 // arrivals per second
	// maxInFlight bounds the requests in progress. Arrivals beyond it are
	// dropped and counted as overruns.
	maxInFlight = 10_000
	// maxLatency is the highest latency that the histograms record.
	maxLatency = 5 * time.Minute
	// maxDownloadBytes bounds a download.
	maxDownloadBytes = 1 << 30
	// maxIDs bounds the request ids kept for the comparison with the stubs,
	// which keep as many. Further requests are counted as unchecked.
	maxIDs = 1 << 20

	progressInterval = time.Second
)

// Mix describes the load on one service.
type Mix struct {
	// Feeds, Downloads, Shorts, Tiles and Tickets are numbers of flows. Feed and
	// download flows are always busy; the flows of each other kind share its
	// arrivals.
	Feeds, Downloads, Shorts, Tiles, Tickets int
	// ShortRate, TileRate and TicketRate are arrivals per second.
	ShortRate, TileRate, TicketRate float64
	// SheetBytes is the size of a download in bytes.
	SheetBytes int
	// SheetRate limits a download, in bytes per second; 0 means no limit.
	SheetRate float64
}

func (m *Mix) flows() int { return m.Feeds + m.Downloads + m.Shorts + m.Tiles + m.Tickets }

func (m *Mix) valid() bool {
	for _, n := range []int{m.Feeds, m.Downloads, m.Shorts, m.Tiles, m.Tickets, m.SheetBytes} {
		if n < 0 || n > maxDownloadBytes {
			return false
		}
	}
	for _, v := range []float64{m.ShortRate, m.TileRate, m.TicketRate} {
		if !(v >= 0 && v <= maxRate) {
			return false
		}
	}
	return m.SheetRate >= 0
}

// Target is a service address and the load to generate on it.
type Target struct {
	Service string
	Addr    netip.AddrPort
	Mix
}

// Config describes a run.
type Config struct {
	// Targets must have distinct service names.
	Targets []Target
	// Duration is the length of the run, unless its context ends first.
	Duration time.Duration
	// Timeout is the deadline of one short request, tile or update.
	Timeout     time.Duration
	Seed        uint64
	TLS         *tls.Config
	AllowRemote bool
	// Stubs are the base URLs of fake upstreams whose counts are collected.
	Stubs []string
	// Progress is called about every second while the load runs; it may be nil.
	Progress func(Progress)
}

// Progress reports the state of a run in progress.
type Progress struct {
	Elapsed  time.Duration
	Requests int
	InFlight int
	// Failures counts broken flows and wrong answers.
	Failures int
}

// Validate checks the limits and, unless AllowRemote is set, that all targets are
// loopback addresses.
func (c *Config) Validate() error {
	flows := 0
	for _, t := range c.Targets {
		if !t.valid() {
			return fmt.Errorf("target %s: counts, rates and sizes must not be negative, rates must be at most %d/s, sizes at most %d bytes", t.Service, maxRate, maxDownloadBytes)
		}
		flows += t.flows()
	}
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("no target is given")
	case flows > MaxFlows:
		return fmt.Errorf("%d flows exceed the limit of %d", flows, MaxFlows)
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return fmt.Errorf("duration %v is not between 0 and %v", c.Duration, MaxDuration)
	case c.Timeout <= 0 || c.Timeout > maxLatency:
		return fmt.Errorf("timeout %v is not between 0 and %v", c.Timeout, maxLatency)
	}
	return c.validateTargets()
}

func (c *Config) validateTargets() error {
	names := map[string]bool{}
	for _, t := range c.Targets {
		if t.Service == "" || names[t.Service] {
			return fmt.Errorf("service name %q is empty or not unique", t.Service)
		}
		names[t.Service] = true
		if !t.Addr.Addr().IsLoopback() && !c.AllowRemote {
			return fmt.Errorf("address %s of %s is not a loopback address", t.Addr, t.Service)
		}
	}
	return nil
}

type runner struct {
	config Config
	// runID is the prefix of each request id, so that runs against the same
	// stubs can be told apart.
	runID   string
	start   time.Time
	clients map[string][]*caller.Client // by service name
	// inFlight holds one value for each request in progress.
	inFlight chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	result  Result
	latency map[string]map[Kind]*hdrhistogram.Histogram
	nextID  int
	// answered and notRun hold request ids, together at most maxIDs.
	answered, notRun []string
}

// Run generates load until its duration has passed or the context ends, and
// then waits for the requests in progress.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	r := &runner{
		config:   c,
		runID:    rand.Text(),
		clients:  map[string][]*caller.Client{},
		inFlight: make(chan struct{}, maxInFlight),
		latency:  map[string]map[Kind]*hdrhistogram.Histogram{},
		result:   Result{Services: map[string]*ServiceResult{}},
	}
	before := r.readStubCounts()
	r.start = time.Now()
	ctx, cancel := withoutDeadline(ctx)
	defer cancel()
	defer time.AfterFunc(c.Duration, cancel).Stop()
	for i, t := range c.Targets {
		r.latency[t.Service] = map[Kind]*hdrhistogram.Histogram{}
		r.result.Services[t.Service] = &ServiceResult{Latency: map[Kind]Latency{}}
		r.startTarget(ctx, t, uint64(i))
	}
	stop := r.startProgress()
	r.wg.Wait()
	stop()
	r.finish(before)
	return &r.result, nil
}

// withoutDeadline returns a context that ends with its parent but has no
// deadline. A deadline would be sent to the agent, which could then break off
// feeds and downloads just before their callers close them at the end of the run.
func withoutDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	context.AfterFunc(parent, cancel)
	return ctx, cancel
}

// startTarget starts the load on one service.
func (r *runner) startTarget(ctx context.Context, t Target, stream uint64) {
	for range t.Feeds {
		c := r.client(t)
		r.wg.Go(func() { r.feed(ctx, c, t) })
	}
	for range t.Downloads {
		c := r.client(t)
		r.wg.Go(func() { r.downloads(ctx, c, t) })
	}
	r.startArrivals(ctx, t, t.Shorts, t.ShortRate, 3*stream, r.short)
	r.startArrivals(ctx, t, t.Tiles, t.TileRate, 3*stream+1, r.tile)
	r.startArrivals(ctx, t, t.Tickets, t.TicketRate, 3*stream+2, r.ticket)
}

// startProgress calls Progress periodically until the returned function is called.
func (r *runner) startProgress() (stop func()) {
	if r.config.Progress == nil {
		return func() {}
	}
	done, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		t := time.NewTicker(progressInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.config.Progress(r.progress())
			case <-done:
				return
			}
		}
	}()
	return func() { close(done); <-finished }
}

func (r *runner) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Progress{
		Elapsed:  time.Since(r.start),
		Requests: r.result.Requests,
		InFlight: len(r.inFlight),
		Failures: r.result.BrokenFlows + r.result.WrongAnswers,
	}
}

// client returns a new caller with one flow, whose statistics are collected at the end.
func (r *runner) client(t Target) *caller.Client {
	c := caller.New(caller.WithTLS(r.config.TLS), caller.WithFlowsPerService(1))
	r.clients[t.Service] = append(r.clients[t.Service], c)
	return c
}
