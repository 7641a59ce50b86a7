package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/budget"
)

// Client sends requests to any number of services. It is safe for concurrent
// use and implements http.RoundTripper.
type Client struct {
	settings settings
	// ctx is cancelled when the client is closed.
	ctx          context.Context
	cancel       context.CancelFunc
	runningFlows sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	budget   *budget.Budget
	services map[string]*service

	stats counters
}

// New returns a client. Close it when it is no longer needed.
func New(opts ...Option) *Client {
	s := defaultSettings()
	for _, o := range opts {
		o(&s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		settings: s,
		ctx:      ctx,
		cancel:   cancel,
		budget:   budget.New(s.budget, time.Now()),
		services: map[string]*service{},
	}
}

// Close closes all flows, with the requests and feeds in progress, and waits
// until their sockets are closed.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.runningFlows.Wait()
	return nil
}

// RoundTrip is Do; it makes a Client usable as the Transport of an http.Client.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) { return c.Do(req) }

// Stats are counters since the start of a client.
type Stats struct {
	// Requests counts requests without their retries and without feeds.
	Requests uint64 `json:"requests"`
	// Retries counts requests sent again because they did not run.
	Retries uint64 `json:"retries"`
	// RetriesRefused counts retries that the retry budget did not allow.
	RetriesRefused uint64 `json:"retriesRefused"`
	// Repetitions counts tickets sent again after a lost response.
	Repetitions uint64 `json:"repetitions"`
	// NotRun and Unknown count requests that ended in a NotRunError and in an
	// UnknownError.
	NotRun  uint64 `json:"notRun"`
	Unknown uint64 `json:"unknown"`
	// Flows counts opened flows, BrokenFlows those that neither side closed cleanly.
	Flows       uint64 `json:"flows"`
	BrokenFlows uint64 `json:"brokenFlows"`
	// GoAways counts flows on which the server sent GOAWAY.
	GoAways uint64 `json:"goAways"`
	// Pings counts packets sent to check whether the server still answers.
	Pings uint64 `json:"pings"`
	// MigrationAttempts counts new sockets tried because a path was silent,
	// Migrations those that a flow moved to.
	MigrationAttempts uint64 `json:"migrationAttempts"`
	Migrations        uint64 `json:"migrations"`
}

type counters struct {
	requests, retries, retriesRefused, repetitions atomic.Uint64
	notRun, unknown                                atomic.Uint64
	flows, brokenFlows, goAways                    atomic.Uint64
	pings, migrationAttempts, migrations           atomic.Uint64
}

// Stats returns the counters so far.
func (c *Client) Stats() Stats {
	s := &c.stats
	return Stats{
		Requests:          s.requests.Load(),
		Retries:           s.retries.Load(),
		RetriesRefused:    s.retriesRefused.Load(),
		Repetitions:       s.repetitions.Load(),
		NotRun:            s.notRun.Load(),
		Unknown:           s.unknown.Load(),
		Flows:             s.flows.Load(),
		BrokenFlows:       s.brokenFlows.Load(),
		GoAways:           s.goAways.Load(),
		Pings:             s.pings.Load(),
		MigrationAttempts: s.migrationAttempts.Load(),
		Migrations:        s.migrations.Load(),
	}
}

// spendRetry takes one retry from the budget and reports whether one was left.
func (c *Client) spendRetry() bool {
	c.mu.Lock()
	ok := c.budget.Retry(time.Now())
	c.mu.Unlock()
	if !ok {
		c.stats.retriesRefused.Add(1)
	}
	return ok
}

// waitBackoff waits a random time before the given retry; the first is 1. It
// returns false when the context or the client ended first.
func (c *Client) waitBackoff(ctx context.Context, retry int) bool {
	limit := c.settings.maxBackoff
	if shift := retry - 1; shift < 16 {
		limit = min(limit, c.settings.backoff<<shift)
	}
	t := time.NewTimer(time.Duration(rand.Int64N(int64(limit) + 1)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-c.ctx.Done():
		return false
	}
}
