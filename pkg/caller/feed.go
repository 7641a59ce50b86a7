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
	// done is closed when the feed has ended; err is set before.
	done chan struct{}
	err  error

	stats struct {
		events, moves, breaks, unsafe atomic.Uint64
		longest                       atomic.Int64
	}
}

// FeedStats count what happened to one feed.
type FeedStats struct {
	// Events counts events passed on.
	Events uint64 `json:"events"`
	// Moves counts planned changes to another flow, without a gap.
	Moves uint64 `json:"moves"`
	// Breaks counts unplanned ends of a flow, each with a gap in time until the
	// feed was open again. No event is lost if the server keeps its events.
	Breaks uint64 `json:"breaks"`
	// Unresumed counts moves and breaks before the server had sent an event id.
	// Events may have been lost or doubled then.
	Unresumed uint64 `json:"unresumed"`
	// LongestGap is the longest time from a break until the feed was open again.
	LongestGap time.Duration `json:"longestGap"`
}

// feedBuffer is the number of events read ahead of the reader. Beyond it, flow
// control holds the server back.
const feedBuffer = 64

// Feed opens a feed. It returns when the server has accepted the feed, or an
// error like those of Do, or a *StatusError. The feed ends with the context,
// with Close, or when the server ends it cleanly.
func (c *Client) Feed(ctx context.Context, url string, header http.Header) (*Feed, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Feed{client: c, ctx: ctx, cancel: cancel, events: make(chan Event, feedBuffer), done: make(chan struct{})}
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
	s, err := f.openSource(f.req.Header.Get(lastEventID))
	if err != nil {
		cancel()
		return nil, err
	}
	go f.run(s)
	return f, nil
}

// Next waits for the next event. It returns io.EOF after the server ended the
// feed cleanly.
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
		Unresumed:  f.stats.unsafe.Load(),
		LongestGap: time.Duration(f.stats.longest.Load()),
	}
}

// run passes the events on and changes flows until the feed ends.
func (f *Feed) run(s *source) {
	defer close(f.done)
	defer f.cancel()
	last := f.req.Header.Get(lastEventID)
	for {
		next, err := f.follow(s, &last)
		if errors.Is(err, io.EOF) {
			f.err = io.EOF
			return
		}
		if err != nil {
			next, err = f.reopen(last)
		}
		if err != nil {
			f.err = err
			return
		}
		s = next
	}
}

// follow passes on the events of a source until it ends, which returns an
// error, or until another source that begins after last has replaced it.
func (f *Feed) follow(s *source, last *string) (*source, error) {
	defer s.close()
	leaving := s.flow.leaving
	var (
		opened <-chan *source
		// since holds the ids passed on after the next source was asked for.
		since []string
	)
	for {
		select {
		case e, ok := <-s.events:
			if !ok {
				return f.ended(s, opened, *last, since)
			}
			if s.doubled(e) {
				continue
			}
			if !f.pass(e) {
				return nil, f.ctx.Err()
			}
			*last = e.ID
			if opened != nil {
				since = append(since, e.ID)
			}
		case <-leaving:
			leaving = nil
			opened = f.openNext(*last)
		case n := <-opened:
			if n == nil {
				// Keeps to the old flow, which goes on, and tries again.
				opened = f.openNext(*last)
				since = nil
				continue
			}
			return f.take(n, *last, since), nil
		case <-f.ctx.Done():
			f.discard(opened)
			return nil, f.ctx.Err()
		}
	}
}

// ended waits for the next source if one is being opened: the move is planned
// then, even if the old flow ends first. An upstream that stops may end its
// feeds cleanly, so that end counts only when no GOAWAY came before it.
func (f *Feed) ended(s *source, opened <-chan *source, last string, since []string) (*source, error) {
	if opened == nil {
		select {
		case <-s.flow.leaving:
			opened = f.openNext(last)
		default:
			return nil, s.err
		}
	}
	if n := <-opened; n != nil {
		return f.take(n, "", since), nil
	}
	return nil, errors.New("flow ended before the feed had moved")
}

func (f *Feed) take(n *source, last string, since []string) *source {
	f.stats.moves.Add(1)
	if n.after == "" && last != "" {
		f.stats.unsafe.Add(1)
	}
	for _, id := range since {
		n.skip[id]++
	}
	return n
}

// discard closes a source that is not needed any more when it has opened.
func (f *Feed) discard(opened <-chan *source) {
	if opened == nil {
		return
	}
	go func() {
		if n := <-opened; n != nil {
			n.close()
		}
	}()
}

func (f *Feed) pass(e Event) bool {
	select {
	case f.events <- e:
		f.stats.events.Add(1)
		return true
	case <-f.ctx.Done():
		return false
	}
}

// openNext opens a source in the background. The channel delivers nil after a failure.
func (f *Feed) openNext(last string) <-chan *source {
	ch := make(chan *source, 1)
	go func() {
		s, err := f.openSource(last)
		for err != nil && f.client.pause(f.ctx, maxFeedRetry) && !f.client.mayRetry() {
		}
		ch <- s
	}()
	return ch
}

// maxFeedRetry makes pause use its longest limit.
const maxFeedRetry = 8

// reopen opens the feed again after a break, however long it takes. It gives
// up when the server answers with a status other than 200.
func (f *Feed) reopen(last string) (*source, error) {
	if f.ctx.Err() != nil {
		return nil, f.ctx.Err()
	}
	f.stats.breaks.Add(1)
	if last == "" {
		f.stats.unsafe.Add(1)
	}
	broken := now()
	for n := 1; f.client.pause(f.ctx, n); n++ {
		if n > 1 && !f.client.mayRetry() {
			continue
		}
		s, err := f.openSource(last)
		if err == nil {
			f.stats.longest.Store(max(f.stats.longest.Load(), int64(now().Sub(broken))))
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
