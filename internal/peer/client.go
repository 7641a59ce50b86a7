package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bramleycourse/bramleycourse/internal/health"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// sessionsPerAgent is the number of balancers that an agent keeps sessions to.
const sessionsPerAgent = 2

// ClientOptions configures a Client. Function fields are called from one
// goroutine for each session and must not block; nil fields are not called.
type ClientOptions struct {
	// Self is the agent's own entry at its start.
	Self view.Entry
	// Seeds are peer addresses of balancers to begin with.
	Seeds []string
	// TLS is nil for plain TCP.
	TLS *Secure
	// Scope receives the metrics; may be nil.
	Scope tally.Scope
	// OnConfig receives a configuration, possibly one that was received before.
	OnConfig func(value []byte)
	// OnSelf receives the own entry when its sequence number was raised because
	// another process had changed it.
	OnSelf func(view.Entry)
	// OnBalancers receives all known balancers that are not gone.
	OnBalancers func([]view.Entry)
}

// Client is the agent's side of its sessions.
type Client struct {
	o       ClientOptions
	traffic *traffic
	start   time.Time

	mu   sync.Mutex
	self view.Item
	view *view.View
	// sessions maps the addresses dialed to sessions.
	sessions map[string]*session
	dialing  map[string]bool
	// retry holds when an address that failed may be dialed again.
	retry map[string]retry
}

type retry struct {
	at      time.Time
	backoff time.Duration
}

// NewClient returns a client without sessions.
func NewClient(o ClientOptions) *Client {
	if o.Self.Seq == 0 {
		o.Self.Seq = 1
	}
	o.Seeds = slices.Clone(o.Seeds)
	rand.Shuffle(len(o.Seeds), func(i, j int) { o.Seeds[i], o.Seeds[j] = o.Seeds[j], o.Seeds[i] })
	return &Client{
		o:        o,
		traffic:  newTraffic(o.Scope),
		start:    time.Now(),
		self:     view.Item{Entry: o.Self},
		view:     view.New(),
		sessions: map[string]*session{},
		dialing:  map[string]bool{},
		retry:    map[string]retry{},
	}
}

// Run keeps the sessions until the context ends.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(manageInterval)
	defer t.Stop()
	defer c.closeAll()
	for {
		c.manage(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
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
		c.mu.Unlock()
		return
	}
	delete(c.retry, addr)
	c.sessions[addr] = s
	if c.self != hello {
		s.send(entryFrames([]view.Item{c.self}, nil)...)
	}
	c.mu.Unlock()
	c.run(s)
	c.mu.Lock()
	delete(c.sessions, addr)
	c.failed(addr)
	c.mu.Unlock()
}

// failed delays the next attempt to dial an address; the caller holds the mutex.
func (c *Client) failed(addr string) {
	b := max(minBackoff, min(2*c.retry[addr].backoff, maxBackoff))
	c.retry[addr] = retry{at: time.Now().Add(b/2 + rand.N(b)), backoff: b}
}

func (c *Client) item() view.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

func (c *Client) run(s *session) {
	go s.writeLoop()
	c.entries([]view.Item{s.remote})
	for {
		f, err := s.read(s.limit())
		if err != nil || c.handle(f) != nil {
			s.close()
			return
		}
	}
}

func (c *Client) handle(f *Frame) error {
	switch b := f.Body.(type) {
	case *Frame_Config:
		if c.o.OnConfig != nil {
			c.o.OnConfig(b.Config.GetValue())
		}
	case *Frame_Entries:
		var is []view.Item
		for _, e := range b.Entries.GetEntries() {
			i, err := getItem(e)
			if err != nil {
				return err
			}
			is = append(is, i)
		}
		c.entries(is)
	default:
		return &FrameError{kindOf(f), "is not expected by an agent"}
	}
	return nil
}

// entries adopts entries of balancers. A version of the own entry that this
// process did not make is answered with a higher one.
func (c *Client) entries(is []view.Item) {
	c.mu.Lock()
	news, raised := false, false
	for _, i := range is {
		switch {
		case i.Key == c.self.Key:
			if i.Seq >= c.self.Seq && i.Entry != c.self.Entry {
				c.self.Seq = i.Seq + 1
				c.push()
				raised = true
			}
		case i.Key.IsBalancer():
			news = c.view.Merge(time.Since(c.start), i) || news
		}
	}
	c.view.Expire(time.Since(c.start))
	es := c.view.Entries()
	self := c.self.Entry
	c.mu.Unlock()
	if raised && c.o.OnSelf != nil {
		c.o.OnSelf(self)
	}
	if news && c.o.OnBalancers != nil {
		c.o.OnBalancers(es)
	}
}

// push sends the own entry to all sessions; the caller holds the mutex.
func (c *Client) push() {
	ps := entryFrames([]view.Item{c.self}, nil)
	for _, s := range c.sessions {
		s.send(ps...)
	}
}

// SetState changes the state of the own entry, pushes it at once and returns it.
func (c *Client) SetState(s view.State) view.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self.State != s {
		c.self.State = s
		c.self.Seq++
		c.push()
	}
	return c.self.Entry
}

// Flush waits until all queued messages are written or the context ends.
func (c *Client) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		waiting := 0
		for _, s := range c.sessions {
			waiting += s.unsent()
		}
		c.mu.Unlock()
		if waiting == 0 {
			return
		}
		select {
		case <-time.After(flushPoll):
		case <-ctx.Done():
		}
	}
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.close()
	}
}

// State returns the part of a state dump about sessions.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := State{Sessions: map[string]bool{}, Traffic: c.traffic.values()}
	for _, s := range c.sessions {
		st.Sessions[s.remote.Key.String()] = true
	}
	st.Counts = map[string]uint64{"balancers": uint64(c.view.Len())}
	return st
}
