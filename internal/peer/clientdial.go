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

type retry struct {
	at      time.Time
	backoff time.Duration
}

// manage dials the best balancers while there are too few sessions. Sessions to
// draining balancers do not count, so the next one is open before they end.
func (c *Client) manage(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := len(c.dialing)
	for _, s := range c.sessions {
		if e, ok := c.view.Get(s.remote.Key); !ok || e.State == view.Serving {
			have++
		}
	}
	if have >= sessionsPerAgent {
		return
	}
	for _, addr := range c.candidates() {
		if have >= sessionsPerAgent {
			return
		}
		if c.sessions[addr] != nil || c.dialing[addr] || time.Now().Before(c.retry[addr].at) {
			continue
		}
		have++
		c.dialing[addr] = true
		go c.connect(ctx, addr)
	}
}

// candidates returns the addresses of balancers, the best first: serving ones
// by rendezvous rank, then seeds, which may not be in the list yet.
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
	for _, s := range c.o.Seeds {
		if !slices.Contains(addrs, s) && !c.draining(s) {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

func (c *Client) draining(addr string) bool {
	return slices.ContainsFunc(c.view.Balancers(), func(e view.Entry) bool {
		return e.Peer.String() == addr && e.State != view.Serving
	})
}

func (c *Client) connect(ctx context.Context, addr string) {
	hello := c.item()
	s, err := dial(ctx, addr, c.o.TLS, c.traffic, hello)
	c.mu.Lock()
	delete(c.dialing, addr)
	// Closing happens under the mutex, so a session is either seen there or here.
	if err == nil && (ctx.Err() != nil || !s.remote.Key.IsBalancer()) {
		s.close()
		err = &FrameError{"hello", "is not that of a balancer"}
	}
	if err != nil {
		c.failed(addr)
		due := ctx.Err() == nil && c.reports.failure(time.Now())
		c.mu.Unlock()
		c.failedDials.add(1)
		if due && c.o.OnFailed != nil {
			c.o.OnFailed(addr, err)
		}
		return
	}
	delete(c.retry, addr)
	c.sessions[addr] = s
	again := c.reports.open()
	if c.self != hello {
		s.send(entryFrames([]view.Item{c.self}, nil)...)
	}
	c.mu.Unlock()
	if again && c.o.OnOpen != nil {
		c.o.OnOpen(addr)
	}
	err = c.run(s)
	c.mu.Lock()
	delete(c.sessions, addr)
	c.failed(addr)
	due := len(c.sessions) == 0 && ctx.Err() == nil && c.reports.failure(time.Now())
	c.mu.Unlock()
	if due && c.o.OnLost != nil {
		c.o.OnLost(addr, err)
	}
}

// failureInterval bounds the reports of failures: an agent without a balancer
// dials several times a second.
const failureInterval = 10 * time.Second

// reports decides which failures are reported. The client's mutex guards it.
type reports struct {
	last time.Time
	// pending is true after a report until a session is open.
	pending bool
}

// failure reports whether a failure is due for a report.
func (r *reports) failure(now time.Time) bool {
	if !r.last.IsZero() && now.Sub(r.last) < failureInterval {
		return false
	}
	r.last, r.pending = now, true
	return true
}

// open reports whether an open session ends a reported failure.
func (r *reports) open() bool {
	was := r.pending
	r.pending = false
	return was
}

// failed delays the next attempt to dial an address; the caller holds the mutex.
func (c *Client) failed(addr string) {
	b := max(minBackoff, min(2*c.retry[addr].backoff, maxBackoff))
	c.retry[addr] = retry{at: time.Now().Add(b/2 + rand.N(b)), backoff: b}
}
