package caller

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Feed is an open feed of server-sent events. Next must not be called
// concurrently.
type Feed struct {
	client *Client
	req    *http.Request
	host   string
	ctx    context.Context
	cancel context.CancelFunc

	events chan Event
	// done is closed when the feed has ended; err is set before that.
	done chan struct{}
	err  error

	stats struct {
		events, moves, breaks, unresumed atomic.Uint64
		longestGap                       atomic.Int64
	}
}

// FeedStats are the counters of one feed.
type FeedStats struct {
	// Events counts events delivered.
	Events uint64 `json:"events"`
	// Moves counts planned changes to another flow, without a gap.
	Moves uint64 `json:"moves"`
	// Breaks counts unplanned ends of a flow, each with a gap in time until the
	// feed was reopened. No event is lost if the server keeps its events.
	Breaks uint64 `json:"breaks"`
	// Unresumed counts breaks without a last event ID to reopen the feed after,
	// and moves to a stream that was opened without one although an event with an
	// ID arrived before the move. A move made after the old stream had ended is not
	// counted. Events may have been lost or duplicated in the counted cases.
	Unresumed uint64 `json:"unresumed"`
	// LongestGap is the longest time from a break until the feed was reopened.
	LongestGap time.Duration `json:"longestGap"`
}

// feedBufferEvents is the number of events read ahead of Next. Beyond it, flow
// control slows the server down.
const feedBufferEvents = 64

// Feed opens a feed and returns when the server has accepted it. It returns the
// same errors as Do, or a *StatusError. The feed ends with the context, with
// Close, or when the server ends it cleanly.
func (c *Client) Feed(ctx context.Context, url string, header http.Header) (*Feed, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Feed{client: c, ctx: ctx, cancel: cancel, events: make(chan Event, feedBufferEvents), done: make(chan struct{})}
	var err error
	if f.req, err = http.NewRequestWithContext(ctx, http.MethodGet, url, nil); err == nil {
		f.host, err = hostOf(f.req)
	}
	if err != nil {
		cancel()
		return nil, errors.Annotate(err, "feed")
	}
	if header != nil {
		f.req.Header = header.Clone()
	}
	f.req.Header.Set("Accept", "text/event-stream")
	c.countRequest()
	s, err := f.openStream(f.req.Header.Get(lastEventIDHeader))
	if err != nil {
		cancel()
		return nil, err
	}
	go f.run(s)
	return f, nil
}

// Next waits for the next event. It returns io.EOF after the server has ended
// the feed cleanly.
func (f *Feed) Next(ctx context.Context) (Event, error) {
	select {
	case e := <-f.events:
		return e, nil
	default:
	}
	select {
	case e := <-f.events:
		return e, nil
	case <-ctx.Done():
		return Event{}, ctx.Err()
	case <-f.done:
	}
	select {
	case e := <-f.events:
		return e, nil
	default:
		return Event{}, f.err
	}
}

// Close ends the feed and waits until it has ended.
func (f *Feed) Close() error {
	f.cancel()
	<-f.done
	return nil
}

// Stats returns the counters so far.
func (f *Feed) Stats() FeedStats {
	return FeedStats{
		Events:     f.stats.events.Load(),
		Moves:      f.stats.moves.Load(),
		Breaks:     f.stats.breaks.Load(),
		Unresumed:  f.stats.unresumed.Load(),
		LongestGap: time.Duration(f.stats.longestGap.Load()),
	}
}

// run delivers events and changes streams until the feed ends.
func (f *Feed) run(s *feedStream) {
	defer close(f.done)
	defer f.cancel()
	lastID := f.req.Header.Get(lastEventIDHeader)
	for {
		next, err := f.forwardEvents(s, &lastID)
		if errors.Is(err, io.EOF) {
			f.err = io.EOF
			return
		}
		if err != nil {
			next, err = f.reopen(lastID)
		}
		if err != nil {
			f.err = err
			return
		}
		s = next
	}
}

// forwardEvents delivers the events of a stream. It returns an error when the
// stream ends, or the next stream, which starts after lastID, once that has
// replaced this one.
func (f *Feed) forwardEvents(s *feedStream, lastID *string) (*feedStream, error) {
	defer s.close()
	goAway := s.flow.goAway
	var (
		opening <-chan *feedStream
		// deliveredIDs holds the IDs delivered since the next stream was requested.
		deliveredIDs []string
	)
	for {
		select {
		case e, ok := <-s.events:
			if !ok {
				return f.nextAfterEnd(s, opening, *lastID, deliveredIDs)
			}
			if s.alreadyDelivered(e) {
				continue
			}
			if !f.deliver(e) {
				return nil, f.ctx.Err()
			}
			*lastID = e.ID
			if opening != nil {
				deliveredIDs = append(deliveredIDs, e.ID)
			}
		case <-goAway:
			goAway = nil
			opening = f.openInBackground(*lastID)
		case n := <-opening:
			if n == nil {
				// Stays on the old flow, which still works, and tries again.
				opening = f.openInBackground(*lastID)
				deliveredIDs = nil
				continue
			}
			return f.switchTo(n, *lastID, deliveredIDs), nil
		case <-f.ctx.Done():
			f.discard(opening)
			return nil, f.ctx.Err()
		}
	}
}

// nextAfterEnd returns the stream that replaces s after s has ended, or the error
// that ends s. After a GOAWAY the change is a planned move even if the old stream
// ends first. A stopping upstream may end its feeds cleanly, so a clean end ends
// the feed only without a GOAWAY before it.
func (f *Feed) nextAfterEnd(s *feedStream, opening <-chan *feedStream, lastID string, deliveredIDs []string) (*feedStream, error) {
	if opening == nil {
		select {
		case <-s.flow.goAway:
			opening = f.openInBackground(lastID)
		default:
			return nil, s.err
		}
	}
	if n := <-opening; n != nil {
		return f.switchTo(n, "", deliveredIDs), nil
	}
	return nil, errors.New("flow ended before the feed could move to another")
}

// switchTo counts the move to n and lets n skip the events already delivered.
func (f *Feed) switchTo(n *feedStream, lastID string, deliveredIDs []string) *feedStream {
	f.stats.moves.Add(1)
	if n.startAfter == "" && lastID != "" {
		f.stats.unresumed.Add(1)
	}
	for _, id := range deliveredIDs {
		n.delivered[id]++
	}
	return n
}

// discard closes a stream that is no longer needed as soon as it has opened.
func (f *Feed) discard(opening <-chan *feedStream) {
	if opening == nil {
		return
	}
	go func() {
		if n := <-opening; n != nil {
			n.close()
		}
	}()
}

func (f *Feed) deliver(e Event) bool {
	select {
	case f.events <- e:
		f.stats.events.Add(1)
		return true
	case <-f.ctx.Done():
		return false
	}
}

// openInBackground opens a stream. The channel delivers nil after a failure.
func (f *Feed) openInBackground(lastID string) <-chan *feedStream {
	ch := make(chan *feedStream, 1)
	go func() {
		s, err := f.openStream(lastID)
		for err != nil && f.client.waitBackoff(f.ctx, longestBackoffRetry) && !f.client.spendRetry() {
		}
		ch <- s
	}()
	return ch
}

// longestBackoffRetry is a retry number at which waitBackoff has reached the
// default maximum.
const longestBackoffRetry = 8

// reopen retries without a time limit to open the feed after a break. It gives
// up when the server responds with a status other than 200.
func (f *Feed) reopen(lastID string) (*feedStream, error) {
	if f.ctx.Err() != nil {
		return nil, f.ctx.Err()
	}
	f.stats.breaks.Add(1)
	if lastID == "" {
		f.stats.unresumed.Add(1)
	}
	brokenAt := now()
	for n := 1; f.client.waitBackoff(f.ctx, n); n++ {
		if n > 1 && !f.client.spendRetry() {
			continue
		}
		s, err := f.openStream(lastID)
		if err == nil {
			f.stats.longestGap.Store(max(f.stats.longestGap.Load(), int64(now().Sub(brokenAt))))
			return s, nil
		}
		var status *StatusError
		if errors.As(err, &status) {
			return nil, err
		}
	}
	if f.ctx.Err() != nil {
		return nil, f.ctx.Err()
	}
	return nil, errors.New("client is closed")
}
