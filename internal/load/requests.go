package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bramleycourse/bramleycourse/internal/stub"
	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests whose latencies are recorded.
const (
	Short    Kind = "short"
	Tile     Kind = "tile"
	Update   Kind = "update"
	Download Kind = "download"
)

// tileCount is the number of different tiles that are requested.
const tileCount = 64

// deadlineSlack is how long before its deadline a failed request already counts
// as late: the deadline is sent in whole milliseconds, so the agent may give up
// slightly before the caller.
const deadlineSlack = 2 * time.Millisecond

// downloadPause is the delay before a failed download is retried, so that a refused
// flow does not retry in a tight loop.
const downloadPause = 100 * time.Millisecond

// short requests an echo and checks the answer.
func (r *runner) short(a arrival) {
	want := a.target.Service + " /short \n"
	r.request(a, Short, http.MethodGet, "/short", "", func(_ http.Header, have string) bool { return have == want })
}

// tile requests a tile and checks its hash.
func (r *runner) tile(a arrival) {
	n := a.due.Sub(r.start).Microseconds() % tileCount
	r.request(a, Tile, http.MethodGet, "/tiles/"+strconv.FormatInt(n, 10), "", func(h http.Header, have string) bool {
		sum := sha256.Sum256([]byte(have))
		return h.Get(stub.HashHeader) == hex.EncodeToString(sum[:])
	})
}

// ticket sends an update, which the caller protects by a ticket.
func (r *runner) ticket(a arrival) {
	want := a.target.Service + " updated " + a.id + "\n"
	r.request(a, Update, http.MethodPost, "/update", a.id, func(_ http.Header, have string) bool { return have == want })
}

// request sends one request and records its outcome and latency.
func (r *runner) request(a arrival, k Kind, method, path, body string, verify func(http.Header, string) bool) {
	ctx, cancel := context.WithDeadline(context.Background(), a.due.Add(r.config.Timeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "https://"+a.target.Addr.String()+path, strings.NewReader(body))
	if err != nil {
		r.updateResult(func(s *Result) { s.addBroken(a.target.Service, string(k), err) })
		return
	}
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Service", a.target.Service)
	h, have, err := read(a.client, req)
	end := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.result.Services[a.target.Service].Requests++
	r.countOutcome(a, k, err, end.After(a.due.Add(r.config.Timeout-deadlineSlack)), end)
	if err == nil && !verify(h, have) {
		r.result.addWrongAnswer(a.target.Service, string(k))
	}
	if err == nil {
		r.record(a.target.Service, k, end.Sub(a.due))
	}
}

// record adds a latency to the histogram. The mutex must be held.
func (r *runner) record(service string, k Kind, d time.Duration) {
	h := r.latency[service][k]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
		r.latency[service][k] = h
	}
	h.RecordValue(min(d, maxLatency).Microseconds())
}

func read(c *caller.Client, req *http.Request) (http.Header, string, error) {
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Header, string(b), err
}

// countOutcome counts the outcome of a request that ended at the given time; late
// says that this was after its deadline. The mutex must be held.
func (r *runner) countOutcome(a arrival, k Kind, err error, late bool, end time.Time) {
	var (
		notRun  *caller.NotRunError
		unknown *caller.UnknownError
	)
	s := r.secondAt(end)
	switch {
	case errors.As(err, &notRun):
		r.result.NotRun++
		s.NotRun++
		r.recordID(&r.notRun, a.id)
	case late && err != nil:
		r.result.Late++
		s.Late++
	case errors.As(err, &unknown):
		r.result.Unknown++
		s.Unknown++
	case err != nil:
		r.result.addBroken(a.target.Service, string(k), err)
	default:
		s.Answered++
		r.recordID(&r.answered, a.id)
	}
}

// recordID keeps the id of a request for the comparison with the stubs.
func (r *runner) recordID(ids *[]string, id string) {
	if len(r.answered)+len(r.notRun) >= maxIDs {
		r.result.Unchecked++
		return
	}
	*ids = append(*ids, id)
}

// downloads fetches sheets one after the other and checks their hashes.
func (r *runner) downloads(ctx context.Context, c *caller.Client, t Target) {
	url := fmt.Sprintf("https://%s/sheet?size=%d&bytesPerSecond=%.0f", t.Addr, t.SheetBytes, t.SheetRate)
	for ctx.Err() == nil {
		start := time.Now()
		wrong, err := download(ctx, c, t.Service, url)
		if ctx.Err() != nil {
			return
		}
		r.countDownload(t.Service, wrong, err, time.Since(start))
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(downloadPause):
			}
		}
	}
}

func download(ctx context.Context, c *caller.Client, service, url string) (wrong bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("X-Service", service)
	resp, err := c.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	sum := sha256.New()
	_, err = io.Copy(sum, resp.Body)
	return err == nil && resp.Header.Get(stub.HashHeader) != hex.EncodeToString(sum.Sum(nil)), err
}

func (r *runner) countDownload(service string, wrong bool, err error, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.result
	s.Downloads++
	s.Services[service].Downloads++
	var notRun *caller.NotRunError
	switch {
	case errors.As(err, &notRun):
		s.NotRun++
	case err != nil:
		s.addBroken(service, string(Download), err)
	case wrong:
		s.addWrongAnswer(service, string(Download))
	default:
		r.record(service, Download, d)
	}
}

// feed reads a feed and checks that its events are numbered without gaps.
func (r *runner) feed(ctx context.Context, c *caller.Client, t Target) {
	f, err := c.Feed(ctx, "https://"+t.Addr.String()+"/feeds/prices?everyMillis=100", http.Header{"X-Service": {t.Service}})
	if err != nil {
		if ctx.Err() == nil {
			r.updateResult(func(s *Result) { s.addBroken(t.Service, "feed", err) })
		}
		return
	}
	defer f.Close()
	last := time.Now()
	for n := 1; ; n++ {
		e, err := f.Next(ctx)
		if ctx.Err() != nil {
			break
		}
		silence := time.Since(last).Milliseconds()
		last = time.Now()
		r.updateResult(func(s *Result) {
			s.LongestSilenceMillis = max(s.LongestSilenceMillis, silence)
			switch {
			case err != nil:
				s.addBroken(t.Service, "feed", err)
			case e.ID != strconv.Itoa(n):
				s.addWrongAnswer(t.Service, "feed")
			default:
				s.Events++
				s.Services[t.Service].Events++
			}
		})
		if err != nil {
			break
		}
	}
	st := f.Stats()
	r.updateResult(func(s *Result) {
		if st.Breaks > 0 {
			s.BrokenFlows += int(st.Breaks)
			s.addFault(fmt.Sprintf("%s feed: %d breaks", t.Service, st.Breaks))
		}
		s.FeedMoves += st.Moves
	})
}
