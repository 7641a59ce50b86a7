package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

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
	// OnFailed reports a dial that failed; at most once in failureInterval.
	OnFailed func(addr string, err error)
	// OnLost reports that the last session ended, with the reason; at most
	// once in failureInterval.
	OnLost func(addr string, err error)
	// OnOpen reports the first session after a report of OnFailed or OnLost.
	OnOpen func(addr string)
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
	// failedDials counts since the start.
	failedDials meter
	reports     reports
}

// NewClient returns a client without sessions.
func NewClient(o ClientOptions) *Client {
	if o.Self.Seq == 0 {
		o.Self.Seq = 1
	}
	o.Seeds = slices.Clone(o.Seeds)
	rand.Shuffle(len(o.Seeds), func(i, j int) { o.Seeds[i], o.Seeds[j] = o.Seeds[j], o.Seeds[i] })
	scope := o.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Client{
		o:        o,
		traffic:  newTraffic(o.Scope),
		start:    time.Now(),
		self:     view.Item{Entry: o.Self},
		view:     view.New(),
		sessions: map[string]*session{},
		dialing:  map[string]bool{},
		retry:    map[string]retry{},

		failedDials: meter{counter: scope.Counter("peer_failed_dials")},
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

func (c *Client) item() view.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// run serves a session until it ends and returns the reason.
func (c *Client) run(s *session) error {
	go s.writeLoop()
	c.entries([]view.Item{s.remote})
	for {
		f, err := s.read(s.limit())
		if err == nil {
			err = c.handle(f)
		}
		if err != nil {
			s.close()
			return err
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
	st.Counts = map[string]uint64{
		"balancers":   uint64(c.view.Len()),
		"failedDials": c.failedDials.total.Load(),
	}
	return st
}
