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

// Feeds is a set of open feeds. It reads their events and checks that none is lost.
type Feeds struct {
	deployment *Deployment
	feeds      []*caller.Feed
	done       sync.WaitGroup
	stop       context.CancelFunc

	mu             sync.Mutex
	faults         []string
	longestSilence time.Duration
	events         int
}

// OpenFeeds opens n feeds of a service, each of which sends an event per interval.
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

// read checks that the IDs of a feed's events are consecutive, until ctx is done.
func (f *Feeds) read(ctx context.Context, feed *caller.Feed) {
	defer f.done.Done()
	last := time.Now()
	for n := 1; ; n++ {
		e, err := feed.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.addFault("event " + strconv.Itoa(n) + ": " + describe(err))
			return
		}
		if e.ID != strconv.Itoa(n) {
			f.addFault("want event " + strconv.Itoa(n) + ", have " + e.ID)
			return
		}
		f.recordEvent(time.Since(last))
		last = time.Now()
	}
}

func describe(err error) string {
	if errors.Is(err, io.EOF) {
		return "feed ended"
	}
	return err.Error()
}

func (f *Feeds) addFault(s string) {
	f.mu.Lock()
	f.faults = append(f.faults, s)
	f.mu.Unlock()
}

func (f *Feeds) recordEvent(silence time.Duration) {
	f.mu.Lock()
	f.events++
	f.longestSilence = max(f.longestSilence, silence)
	f.mu.Unlock()
}

// FeedReport sums up a set of feeds. LongestSilence is the longest time between two
// events of a feed, LongestBreak the longest gap that the caller library reports.
type FeedReport struct {
	Faults                       []string
	Events                       int
	Moves, Breaks                uint64
	LongestSilence, LongestBreak time.Duration
}

// Report returns the counts and faults so far.
func (f *Feeds) Report() FeedReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := FeedReport{Faults: f.faults, Events: f.events, LongestSilence: f.longestSilence}
	for _, feed := range f.feeds {
		st := feed.Stats()
		r.Moves += st.Moves
		r.Breaks += st.Breaks
		r.LongestBreak = max(r.LongestBreak, st.LongestGap)
	}
	return r
}

// ResetSilence restarts the measurement of the longest silence.
func (f *Feeds) ResetSilence() {
	f.mu.Lock()
	f.longestSilence = 0
	f.mu.Unlock()
}

// Close closes the feeds.
func (f *Feeds) Close() {
	f.stop()
	for _, feed := range f.feeds {
		feed.Close()
	}
	f.done.Wait()
}
