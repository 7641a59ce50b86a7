// Package load is a load generator. Requests arrive in an open loop, as a
// Poisson process drawn from a seed, and latencies count from the intended
// start, so a slow service does not hide its own delays.
package load

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
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
)

// Target is a service address.
type Target struct {
	Service string
	Addr    netip.AddrPort
}

// Config says what to run against each target.
type Config struct {
	Targets []Target
	// Feeds, Downloads, Shorts and Tickets are the numbers of flows per target.
	Feeds, Downloads, Shorts, Tickets int
	// ShortRate and TicketRate are arrivals per second and target.
	ShortRate, TicketRate float64
	// SheetBytes is the size of a download.
	SheetBytes int
	Duration   time.Duration
	// Timeout is the deadline of one short request or update.
	Timeout     time.Duration
	Seed        uint64
	TLS         *tls.Config
	AllowRemote bool
	// Stubs are base URLs of upstream stand-ins whose counts are collected.
	Stubs []string
}

// Validate checks the bounds and that all targets are on this machine.
func (c *Config) Validate() error {
	flows := len(c.Targets) * (c.Feeds + c.Downloads + c.Shorts + c.Tickets)
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("no service address is given")
	case c.Feeds < 0 || c.Downloads < 0 || c.Shorts < 0 || c.Tickets < 0 || flows > MaxFlows:
		return fmt.Errorf("%d flows are not between 0 and %d", flows, MaxFlows)
	case c.Duration <= 0 || c.Duration > MaxDuration || c.Timeout <= 0:
		return fmt.Errorf("duration %v is not between 0 and %v, or timeout %v is not above 0", c.Duration, MaxDuration, c.Timeout)
	case c.ShortRate < 0 || c.TicketRate < 0 || c.ShortRate > maxRate || c.TicketRate > maxRate:
		return fmt.Errorf("rates are not between 0 and %d", maxRate)
	}
	return c.validateTargets()
}

func (c *Config) validateTargets() error {
	for _, t := range c.Targets {
		if !t.Addr.Addr().IsLoopback() && !c.AllowRemote {
			return fmt.Errorf("address %s of %s is not a loopback address", t.Addr, t.Service)
		}
	}
	return nil
}

type runner struct {
	config  Config
	clients []*caller.Client
	place   chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	result   Result
	latency  *hdrhistogram.Histogram
	nextID   int
	answered []string
	notRun   []string
}

// Run runs the load until its duration has passed or the context ends, and
// waits for the requests in progress.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	r := &runner{
		config:  c,
		place:   make(chan struct{}, maxInFlight),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	for i, t := range c.Targets {
		for range c.Feeds {
			r.start(func(l *caller.Client) { r.feed(ctx, l, t) })
		}
		for range c.Downloads {
			r.start(func(l *caller.Client) { r.downloads(ctx, l, t) })
		}
		r.arrivals(ctx, t, c.Shorts, c.ShortRate, uint64(2*i), r.short)
		r.arrivals(ctx, t, c.Tickets, c.TicketRate, uint64(2*i+1), r.ticket)
	}
	r.wg.Wait()
	r.finish()
	return &r.result, nil
}

func (r *runner) client() *caller.Client {
	l := caller.New(caller.WithTLS(r.config.TLS), caller.WithFlowsPerService(1))
	r.clients = append(r.clients, l)
	return l
}

func (r *runner) start(run func(*caller.Client)) {
	l := r.client()
	r.wg.Go(func() { run(l) })
}

// arrivals starts requests at times drawn in advance, each on one of the flows.
func (r *runner) arrivals(ctx context.Context, t Target, flows int, rate float64, stream uint64, run func(*caller.Client, Target, string, time.Time)) {
	if flows == 0 || rate == 0 {
		return
	}
	ls := make([]*caller.Client, flows)
	for i := range ls {
		ls[i] = r.client()
	}
	rng := rand.New(rand.NewPCG(r.config.Seed, stream))
	r.wg.Go(func() {
		timer := time.NewTimer(0)
		defer timer.Stop()
		<-timer.C
		for due := time.Now(); ; {
			due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			timer.Reset(time.Until(due))
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			r.launch(ls[rng.IntN(flows)], t, due, run)
		}
	})
}

func (r *runner) launch(l *caller.Client, t Target, due time.Time, run func(*caller.Client, Target, string, time.Time)) {
	select {
	case r.place <- struct{}{}:
	default:
		r.count(func(s *Result) { s.Overruns++ })
		return
	}
	r.mu.Lock()
	r.nextID++
	id := strconv.FormatUint(r.config.Seed, 36) + "-" + strconv.Itoa(r.nextID)
	r.mu.Unlock()
	r.wg.Go(func() {
		defer func() { <-r.place }()
		run(l, t, id, due)
	})
}

func (r *runner) count(f func(*Result)) {
	r.mu.Lock()
	f(&r.result)
	r.mu.Unlock()
}
