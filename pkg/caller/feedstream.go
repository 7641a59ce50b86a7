package caller

import (
	"context"
	"net/http"
)

const lastEventIDHeader = "Last-Event-ID"

// feedStream is the stream of events of a feed on one flow.
type feedStream struct {
	flow   *flow
	cancel context.CancelFunc
	// startAfter is the Last-Event-ID with which the stream was requested.
	startAfter string
	// events is closed at the end; err is set before that.
	events chan Event
	err    error
	// delivered counts, by ID, the events delivered from the previous stream
	// that this one sends again.
	delivered map[string]int
}

// openStream requests the feed on its own flow, with retries as for requests.
func (f *Feed) openStream(lastID string) (*feedStream, error) {
	var s *feedStream
	_, err := f.client.retry(f.ctx, func(ctx context.Context) (*http.Response, error) {
		var err error
		s, err = f.tryStream(ctx, lastID)
		return nil, err
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (f *Feed) tryStream(ctx context.Context, lastID string) (*feedStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &call{client: f.client, req: f.req, host: f.host}
	fl, err := f.client.acquireFeedFlow(ctx, f.host)
	if err != nil {
		cancel()
		return nil, l.notRunError("no connection", err)
	}
	req := f.req.Clone(ctx)
	if lastID != "" {
		req.Header.Set(lastEventIDHeader, lastID)
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
	s := &feedStream{flow: fl, cancel: cancel, startAfter: lastID, events: make(chan Event), delivered: map[string]int{}}
	go s.read(ctx, resp, lastID)
	return s, nil
}

// acquireFeedFlow opens a flow for one feed, outside the pool.
func (c *Client) acquireFeedFlow(ctx context.Context, host string) (*flow, error) {
	c.mu.Lock()
	f, err := c.openFlow(host, true)
	if err == nil {
		f.refs = 1
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

func (s *feedStream) read(ctx context.Context, resp *http.Response, lastID string) {
	defer close(s.events)
	defer resp.Body.Close()
	r := newEventReader(resp.Body, lastID)
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

// close cancels the stream and closes its flow.
func (s *feedStream) close() {
	s.cancel()
	s.flow.retire()
}

// alreadyDelivered reports whether the event was delivered from the previous
// stream.
func (s *feedStream) alreadyDelivered(e Event) bool {
	if s.delivered[e.ID] == 0 {
		return false
	}
	s.delivered[e.ID]--
	return true
}
