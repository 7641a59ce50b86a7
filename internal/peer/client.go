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
	// Self is the agent's initial entry.
	Self view.Entry
	// Seeds are the peer addresses of the balancers to contact first.
	Seeds []string
	// TLS is nil for plain TCP.
	TLS *MutualTLS
	// Scope receives the metrics; may be nil.
	Scope tally.Scope
	// OnConfig receives a configuration, which may be the same as before.
	OnConfig func(value []byte)
	// OnSelf receives the agent's entry when its sequence number was raised
	// because another process had changed the entry.
	OnSelf func(view.Entry)
	// OnBalancers receives all known balancers that are not gone, after a change.
	OnBalancers func([]view.Entry)
	// OnFailed is called when a dial has failed. Together with OnLost it is
	// called at most once per failureInterval.
	OnFailed func(addr string, err error)
	// OnLost is called with the reason when the last open session has ended.
	OnLost func(addr string, err error)
	// OnOpen is called for the first session that opens after a call of OnFailed
	// or OnLost.
	OnOpen func(addr string)
}

// Client keeps the sessions of an agent to balancers.
type Client struct {
	options ClientOptions
	traffic *traffic
	start   time.Time

	mu   sync.Mutex
	self view.Item
	// view holds the known balancers.
	view *view.View
	// sessions maps dialed addresses to open sessions.
	sessions map[string]*session
	// dialing holds the addresses that are being dialed.
	dialing map[string]bool
	// retry holds the backoff of addresses whose last dial failed or
	// whose last session ended.
	retry       map[string]retry
	failedDials meter
	reporter    failureReporter
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
		options:  o,
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

// Run opens and replaces sessions until the context ends; then it closes them.
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

func (c *Client) selfItem() view.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// serveSession handles the frames of a session until it ends and returns the
// reason.
func (c *Client) serveSession(s *session) error {
	go s.writeLoop()
	c.mergeEntries([]view.Item{s.remote})
	for {
		f, err := s.read(s.maxFrameSize())
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
		if c.options.OnConfig != nil {
			c.options.OnConfig(b.Config.GetValue())
		}
	case *Frame_Entries:
		var is []view.Item
		for _, e := range b.Entries.GetEntries() {
			i, err := decodeItem(e)
			if err != nil {
				return err
			}
			is = append(is, i)
		}
		c.mergeEntries(is)
	default:
		return &FrameError{kindOf(f), "is not expected by an agent"}
	}
	return nil
}

// mergeEntries stores entries of balancers. If another process has changed the
// agent's entry, the agent announces its own version with a higher sequence
// number.
func (c *Client) mergeEntries(is []view.Item) {
	c.mu.Lock()
	balancersChanged, raised := false, false
	for _, i := range is {
		switch {
		case i.Key == c.self.Key:
			if i.Seq >= c.self.Seq && i.Entry != c.self.Entry {
				c.self.Seq = i.Seq + 1
				c.sendSelf()
				raised = true
			}
		case i.Key.IsBalancer():
			balancersChanged = c.view.Merge(time.Since(c.start), i) || balancersChanged
		}
	}
	c.view.Expire(time.Since(c.start))
	es := c.view.Entries()
	self := c.self.Entry
	c.mu.Unlock()
	if raised && c.options.OnSelf != nil {
		c.options.OnSelf(self)
	}
	if balancersChanged && c.options.OnBalancers != nil {
		c.options.OnBalancers(es)
	}
}

// sendSelf sends the agent's entry over all sessions; the caller holds the
// mutex.
func (c *Client) sendSelf() {
	ps := entryFrames([]view.Item{c.self}, nil)
	for _, s := range c.sessions {
		s.send(ps...)
	}
}

// SetState changes the state of the agent's entry, announces it and returns it.
func (c *Client) SetState(s view.State) view.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self.State != s {
		c.self.State = s
		c.self.Seq++
		c.sendSelf()
	}
	return c.self.Entry
}

// Flush waits until all queued frames are written or the context ends.
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
		case <-time.After(flushPollInterval):
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

// State returns the state of the sessions for a state dump.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := State{Sessions: map[string]bool{}, Traffic: c.traffic.snapshot()}
	for _, s := range c.sessions {
		st.Sessions[s.remote.Key.String()] = true
	}
	st.Counts = map[string]uint64{
		"balancers":   uint64(c.view.Len()),
		"failedDials": c.failedDials.total.Load(),
	}
	return st
}
