package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/health"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// retry is the backoff of an address.
type retry struct {
	// at is the time from which the address may be dialed again.
	at      time.Time
	backoff time.Duration
}

// manage dials balancers while there are fewer than sessionsPerAgent sessions.
// Sessions to draining balancers do not count, so that a replacement is open
// before they end.
func (c *Client) manage(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := len(c.dialing)
	for _, s := range c.sessions {
		if e, ok := c.view.Get(s.remote.Key); !ok || e.State == view.Serving {
			active++
		}
	}
	if active >= sessionsPerAgent {
		return
	}
	for _, addr := range c.candidates() {
		if active >= sessionsPerAgent {
			return
		}
		if c.sessions[addr] != nil || c.dialing[addr] || time.Now().Before(c.retry[addr].at) {
			continue
		}
		active++
		c.dialing[addr] = true
		go c.connect(ctx, addr)
	}
}

// candidates returns the addresses to dial in order of preference: serving
// balancers by rendezvous rank, then the seeds that are not known balancers.
func (c *Client) candidates() []string {
	es := slices.DeleteFunc(c.view.Balancers(), func(e view.Entry) bool { return e.State != view.Serving })
	own := c.self.Key.Hash()
	slices.SortFunc(es, func(a, b view.Entry) int {
		return cmp.Compare(health.Rank(b.Key.Hash(), own), health.Rank(a.Key.Hash(), own))
	})
	var addrs []string
	for _, e := range es {
		addrs = append(addrs, e.Peer.String())
	}
	// Seeds may be draining or replaced by now, so known balancers come first.
	for _, s := range c.options.Seeds {
		if !slices.Contains(addrs, s) && !c.draining(s) {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// draining reports whether the balancer at an address is known and not serving.
func (c *Client) draining(addr string) bool {
	return slices.ContainsFunc(c.view.Balancers(), func(e view.Entry) bool {
		return e.Peer.String() == addr && e.State != view.Serving
	})
}

// connect dials an address and serves the session until it ends.
func (c *Client) connect(ctx context.Context, addr string) {
	announced := c.selfItem()
	s, err := dial(ctx, addr, c.options.TLS, c.traffic, announced)
	c.mu.Lock()
	delete(c.dialing, addr)
	// closeAll also holds the mutex. A session that opens when the context ends
	// is therefore closed either there or here.
	if err == nil && (ctx.Err() != nil || !s.remote.Key.IsBalancer()) {
		s.close()
		err = &FrameError{"hello", "sender is not a balancer"}
	}
	if err != nil {
		c.delayRetry(addr)
		due := ctx.Err() == nil && c.reporter.shouldReport(time.Now())
		c.mu.Unlock()
		c.failedDials.add(1)
		if due && c.options.OnFailed != nil {
			c.options.OnFailed(addr, err)
		}
		return
	}
	delete(c.retry, addr)
	c.sessions[addr] = s
	recovered := c.reporter.recovered()
	if c.self != announced {
		s.send(entryFrames([]view.Item{c.self}, nil)...)
	}
	c.mu.Unlock()
	if recovered && c.options.OnOpen != nil {
		c.options.OnOpen(addr)
	}
	err = c.serveSession(s)
	c.mu.Lock()
	delete(c.sessions, addr)
	c.delayRetry(addr)
	due := len(c.sessions) == 0 && ctx.Err() == nil && c.reporter.shouldReport(time.Now())
	c.mu.Unlock()
	if due && c.options.OnLost != nil {
		c.options.OnLost(addr, err)
	}
}

// failureInterval is the minimum time between two reports of failures. An agent
// without a balancer dials several times a second.
const failureInterval = 10 * time.Second

// failureReporter limits the rate of failure reports. The client's mutex guards
// it.
type failureReporter struct {
	lastReport time.Time
	// pending is true after a report until a session opens.
	pending bool
}

// shouldReport reports whether to report a failure now, and records that it was
// reported.
func (r *failureReporter) shouldReport(now time.Time) bool {
	if !r.lastReport.IsZero() && now.Sub(r.lastReport) < failureInterval {
		return false
	}
	r.lastReport, r.pending = now, true
	return true
}

// recovered reports whether a newly opened session ends a reported failure.
func (r *failureReporter) recovered() bool {
	was := r.pending
	r.pending = false
	return was
}

// delayRetry doubles the backoff of an address and delays its next dial; the
// caller holds the mutex.
func (c *Client) delayRetry(addr string) {
	b := max(minDialBackoff, min(2*c.retry[addr].backoff, maxDialBackoff))
	c.retry[addr] = retry{at: time.Now().Add(b/2 + rand.N(b)), backoff: b}
}
