// Package load is a load generator. Requests arrive in an open loop, as a
// Poisson process drawn from a seed, and latencies count from the intended
// start, so a slow service does not hide its own delays.
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

// Bounds of one run.
const (
	MaxFlows    = 20_000
	MaxDuration = time.Hour
	maxRate     = 50_000
	// maxInFlight bounds the requests in progress; arrivals beyond it are
	// counted as overruns.
	maxInFlight = 10_000
	// maxLatency is the highest latency that the histogram can hold.
	maxLatency = 5 * time.Minute
	// maxSheet bounds a download in octets.
	maxSheet = 1 << 30
	// maxIDs bounds the request ids kept to compare with the stubs, which
	// remember as many. Further requests are counted as unchecked.
	maxIDs = 1 << 20

	progressInterval = time.Second
)

// Mix is the work on one service.
type Mix struct {
	// Feeds, Downloads, Shorts, Tiles and Tickets are numbers of flows. A feed
	// and a download flow are always busy; the others share their arrivals.
	Feeds, Downloads, Shorts, Tiles, Tickets int
	// ShortRate, TileRate and TicketRate are arrivals per second.
	ShortRate, TileRate, TicketRate float64
	// SheetBytes is the size of a download in octets.
	SheetBytes int
	// SheetRate slows a download to so many octets per second; 0 means no limit.
	SheetRate float64
}

func (m *Mix) flows() int { return m.Feeds + m.Downloads + m.Shorts + m.Tiles + m.Tickets }

func (m *Mix) valid() bool {
	for _, n := range []int{m.Feeds, m.Downloads, m.Shorts, m.Tiles, m.Tickets, m.SheetBytes} {
		if n < 0 || n > maxSheet {
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

// Target is a service address with the work to run against it.
type Target struct {
	Service string
	Addr    netip.AddrPort
	Mix
}

// Config says what to run.
type Config struct {
	// Targets have different service names.
	Targets []Target
	// Duration ends the run, unless its context ends before.
	Duration time.Duration
	// Timeout is the deadline of one short request, tile or update.
	Timeout     time.Duration
	Seed        uint64
	TLS         *tls.Config
	AllowRemote bool
	// Stubs are base URLs of upstream stand-ins whose counts are collected.
	Stubs []string
	// Progress is called about every second while the load runs; it may be nil.
	Progress func(Progress)
}

// Progress is what has happened so far.
type Progress struct {
	Elapsed  time.Duration
	Requests int
	InFlight int
	// Failures counts broken flows and wrong answers.
	Failures int
}

// Validate checks the bounds and that all targets are on this machine.
func (c *Config) Validate() error {
	flows := 0
	for _, t := range c.Targets {
		if !t.valid() {
			return fmt.Errorf("work on %s: numbers must not be negative, rates not above %d/s, sizes not above %d octets", t.Service, maxRate, maxSheet)
		}
		flows += t.flows()
	}
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("no service address is given")
	case flows > MaxFlows:
		return fmt.Errorf("%d flows are more than %d", flows, MaxFlows)
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
			return fmt.Errorf("service name %q is empty or given twice", t.Service)
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
	// run is part of each request id, so that the stubs tell runs apart.
	run     string
	start   time.Time
	clients map[string][]*caller.Client
	place   chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	result  Result
	latency map[string]map[Kind]*hdrhistogram.Histogram
	nextID  int
	// answered and notRun hold ids, together at most maxIDs.
	answered, notRun []string
}

// Run runs the load until its duration has passed or the context ends, and
// waits for the requests in progress.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	r := &runner{
		config:  c,
		run:     rand.Text(),
		clients: map[string][]*caller.Client{},
		place:   make(chan struct{}, maxInFlight),
		latency: map[string]map[Kind]*hdrhistogram.Histogram{},
		result:  Result{Services: map[string]*ServiceResult{}},
	}
	before := r.readStubs()
	r.start = time.Now()
	ctx, cancel := endless(ctx)
	defer cancel()
	defer time.AfterFunc(c.Duration, cancel).Stop()
	for i, t := range c.Targets {
		r.latency[t.Service] = map[Kind]*hdrhistogram.Histogram{}
		r.result.Services[t.Service] = &ServiceResult{Latency: map[Kind]Latency{}}
		r.target(ctx, t, uint64(i))
	}
	stop := r.report()
	r.wg.Wait()
	stop()
	r.finish(before)
	return &r.result, nil
}

// endless returns a context without a deadline that ends with its parent. A
// deadline would be sent to the agent, which may cut feeds and downloads at the
// end of the run a moment before their callers leave.
func endless(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	context.AfterFunc(parent, cancel)
	return ctx, cancel
}

// target starts the work on one service.
func (r *runner) target(ctx context.Context, t Target, stream uint64) {
	for range t.Feeds {
		l := r.client(t)
		r.wg.Go(func() { r.feed(ctx, l, t) })
	}
	for range t.Downloads {
		l := r.client(t)
		r.wg.Go(func() { r.downloads(ctx, l, t) })
	}
	r.arrivals(ctx, t, t.Shorts, t.ShortRate, 3*stream, r.short)
	r.arrivals(ctx, t, t.Tiles, t.TileRate, 3*stream+1, r.tile)
	r.arrivals(ctx, t, t.Tickets, t.TicketRate, 3*stream+2, r.ticket)
}

// report calls Progress until the returned function is called.
func (r *runner) report() (stop func()) {
	if r.config.Progress == nil {
		return func() {}
	}
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t := time.NewTicker(progressInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.config.Progress(r.progress())
			case <-end:
				return
			}
		}
	}()
	return func() { close(end); <-ended }
}

func (r *runner) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Progress{
		Elapsed:  time.Since(r.start),
		Requests: r.result.Requests,
		InFlight: len(r.place),
		Failures: r.result.BrokenFlows + r.result.WrongAnswers,
	}
}

func (r *runner) client(t Target) *caller.Client {
	l := caller.New(caller.WithTLS(r.config.TLS), caller.WithFlowsPerService(1))
	r.clients[t.Service] = append(r.clients[t.Service], l)
	return l
}
