package caller

import (
	"context"
	"net/http"
)

const lastEventID = "Last-Event-ID"

// source is a feed on one flow.
type source struct {
	flow   *flow
	cancel context.CancelFunc
	// after is the event id that the source was asked to begin after.
	after string
	// events is closed at the end; err is set before.
	events chan Event
	err    error
	// skip counts, by id, the events that the source before has passed on
	// although this one sends them too.
	skip map[string]int
}

// openSource opens the feed on a flow of its own, with retries as for requests.
func (f *Feed) openSource(last string) (*source, error) {
	var s *source
	_, err := f.client.retry(f.ctx, func(ctx context.Context) (*http.Response, error) {
		var err error
		s, err = f.trySource(ctx, last)
		return nil, err
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (f *Feed) trySource(ctx context.Context, last string) (*source, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &call{client: f.client, req: f.req, host: f.host}
	fl, err := f.client.acquireFeed(ctx, f.host)
	if err != nil {
		cancel()
		return nil, l.notSent("no connection", err)
	}
	req := f.req.Clone(ctx)
	if last != "" {
		req.Header.Set(lastEventID, last)
	}
	resp, err := l.send(ctx, fl, req)
	if err == nil && resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		err = &StatusError{Service: f.host, Status: resp.StatusCode}
	}
	if err != nil {
		cancel()
		fl.retire()
		return nil, err
	}
	s := &source{flow: fl, cancel: cancel, after: last, events: make(chan Event), skip: map[string]int{}}
	go s.read(ctx, resp, last)
	return s, nil
}

// acquireFeed opens a flow for one feed, outside the pool.
func (c *Client) acquireFeed(ctx context.Context, host string) (*flow, error) {
	c.mu.Lock()
	f, err := c.open(host, true)
	if err == nil {
		f.inUse = 1
	}
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-f.ready:
		err = f.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		f.retire()
		f.release()
		return nil, err
	}
	return f, nil
}

func (s *source) read(ctx context.Context, resp *http.Response, last string) {
	defer close(s.events)
	defer resp.Body.Close()
	r := newEventReader(resp.Body, last)
	for {
		e, err := r.next()
		if err != nil {
			s.err = err
			return
		}
		select {
		case s.events <- e:
		case <-ctx.Done():
			s.err = ctx.Err()
			return
		}
	}
}

// close ends the flow of the source.
func (s *source) close() {
	s.cancel()
	s.flow.retire()
}

// doubled says whether the source before has passed on the event.
func (s *source) doubled(e Event) bool {
	if s.skip[e.ID] == 0 {
		return false
	}
	s.skip[e.ID]--
	return true
}
