package itest

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// Feeds reads a number of open feeds and checks their events.
type Feeds struct {
	deployment *Deployment
	feeds      []*caller.Feed
	done       sync.WaitGroup
	stop       context.CancelFunc

	mu      sync.Mutex
	faults  []string
	longest time.Duration
	events  int
}

// OpenFeeds opens feeds of a service that send an event every interval.
func (s *Deployment) OpenFeeds(c *caller.Client, service string, n int, every time.Duration) *Feeds {
	s.T.Helper()
	ctx, stop := context.WithCancel(context.Background())
	f := &Feeds{deployment: s, stop: stop}
	s.T.Cleanup(stop)
	url := s.URL(service, "/feeds/prices?everyMillis="+strconv.FormatInt(every.Milliseconds(), 10))
	for range n {
		feed, err := c.Feed(ctx, url, http.Header{"X-Service": {service}})
		if err != nil {
			s.T.Fatalf("feed %d of %s: %v", len(f.feeds), service, err)
		}
		f.feeds = append(f.feeds, feed)
		f.done.Add(1)
		go f.read(ctx, feed)
	}
	return f
}

func (f *Feeds) read(ctx context.Context, feed *caller.Feed) {
	defer f.done.Done()
	last := time.Now()
	for n := 1; ; n++ {
		e, err := feed.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.fault("event " + strconv.Itoa(n) + ": " + describe(err))
			return
		}
		if e.ID != strconv.Itoa(n) {
			f.fault("want event " + strconv.Itoa(n) + ", have " + e.ID)
			return
		}
		f.note(time.Since(last))
		last = time.Now()
	}
}

func describe(err error) string {
	if errors.Is(err, io.EOF) {
		return "feed ended"
	}
	return err.Error()
}

func (f *Feeds) fault(s string) {
	f.mu.Lock()
	f.faults = append(f.faults, s)
	f.mu.Unlock()
}

func (f *Feeds) note(silence time.Duration) {
	f.mu.Lock()
	f.events++
	f.longest = max(f.longest, silence)
	f.mu.Unlock()
}

// FeedReport is what happened to the feeds.
type FeedReport struct {
	Faults                []string
	Events                int
	Moves, Breaks         uint64
	Longest, LongestBreak time.Duration
}

// Report returns what happened so far.
func (f *Feeds) Report() FeedReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := FeedReport{Faults: f.faults, Events: f.events, Longest: f.longest}
	for _, feed := range f.feeds {
		st := feed.Stats()
		r.Moves += st.Moves
		r.Breaks += st.Breaks
		r.LongestBreak = max(r.LongestBreak, st.LongestGap)
	}
	return r
}

// ResetSilence forgets the longest silence so far.
func (f *Feeds) ResetSilence() {
	f.mu.Lock()
	f.longest = 0
	f.mu.Unlock()
}

// Close ends the feeds.
func (f *Feeds) Close() {
	f.stop()
	for _, feed := range f.feeds {
		feed.Close()
	}
	f.done.Wait()
}
