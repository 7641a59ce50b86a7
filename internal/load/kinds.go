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

// Kind is a kind of work.
type Kind string

// Kinds of work whose latencies are recorded.
const (
	Short    Kind = "short"
	Tile     Kind = "tile"
	Update   Kind = "update"
	Download Kind = "download"
)

// tiles is the number of different tiles that are asked for.
const tiles = 64

// downloadPause keeps a download flow from retrying at full speed while it is refused.
const downloadPause = 100 * time.Millisecond

func (r *runner) short(a arrival) {
	want := a.target.Service + " /short \n"
	r.request(a, Short, http.MethodGet, "/short", "", func(_ http.Header, have string) bool { return have == want })
}

func (r *runner) tile(a arrival) {
	n := a.due.Sub(r.start).Microseconds() % tiles
	r.request(a, Tile, http.MethodGet, "/tiles/"+strconv.FormatInt(n, 10), "", func(h http.Header, have string) bool {
		sum := sha256.Sum256([]byte(have))
		return h.Get(stub.HashHeader) == hex.EncodeToString(sum[:])
	})
}

func (r *runner) ticket(a arrival) {
	want := a.target.Service + " updated " + a.id + "\n"
	r.request(a, Update, http.MethodPost, "/update", a.id, func(_ http.Header, have string) bool { return have == want })
}

func (r *runner) request(a arrival, k Kind, method, path, body string, right func(http.Header, string) bool) {
	ctx, cancel := context.WithDeadline(context.Background(), a.due.Add(r.config.Timeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "https://"+a.target.Addr.String()+path, strings.NewReader(body))
	if err != nil {
		r.count(func(s *Result) { s.broke(a.target.Service, string(k), err) })
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
	r.judge(a, k, err, ctx.Err() != nil, end)
	if err == nil && !right(h, have) {
		r.result.wrong(a.target.Service, string(k))
	}
	if err == nil {
		r.record(a.target.Service, k, end.Sub(a.due))
	}
}

// record adds a latency; the caller of record holds the mutex.
func (r *runner) record(service string, k Kind, d time.Duration) {
	h := r.latency[service][k]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
		r.latency[service][k] = h
	}
	h.RecordValue(min(d, maxLatency).Microseconds())
}

func read(l *caller.Client, req *http.Request) (http.Header, string, error) {
	resp, err := l.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Header, string(b), err
}

// judge counts the outcome of a request that ended at the given time, after
// its deadline if it is late; the caller of judge holds the mutex.
func (r *runner) judge(a arrival, k Kind, err error, late bool, end time.Time) {
	var (
		notRun  *caller.NotRunError
		unknown *caller.UnknownError
	)
	s := r.second(end)
	switch {
	case errors.As(err, &notRun):
		r.result.NotRun++
		s.NotRun++
		r.remember(&r.notRun, a.id)
	case late && err != nil:
		r.result.Late++
		s.Late++
	case errors.As(err, &unknown):
		r.result.Unknown++
		s.Unknown++
	case err != nil:
		r.result.broke(a.target.Service, string(k), err)
	default:
		s.Answered++
		r.remember(&r.answered, a.id)
	}
}

func (r *runner) remember(ids *[]string, id string) {
	if len(r.answered)+len(r.notRun) >= maxIDs {
		r.result.Unchecked++
		return
	}
	*ids = append(*ids, id)
}

// downloads fetches one sheet after the other and checks its hash.
func (r *runner) downloads(ctx context.Context, l *caller.Client, t Target) {
	url := fmt.Sprintf("https://%s/sheet?size=%d&bytesPerSecond=%.0f", t.Addr, t.SheetBytes, t.SheetRate)
	for ctx.Err() == nil {
		start := time.Now()
		wrong, err := download(ctx, l, t.Service, url)
		if ctx.Err() != nil {
			return
		}
		r.downloaded(t.Service, wrong, err, time.Since(start))
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(downloadPause):
			}
		}
	}
}

func download(ctx context.Context, l *caller.Client, service, url string) (wrong bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("X-Service", service)
	resp, err := l.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	sum := sha256.New()
	_, err = io.Copy(sum, resp.Body)
	return err == nil && resp.Header.Get(stub.HashHeader) != hex.EncodeToString(sum.Sum(nil)), err
}

func (r *runner) downloaded(service string, wrong bool, err error, d time.Duration) {
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
		s.broke(service, string(Download), err)
	case wrong:
		s.wrong(service, string(Download))
	default:
		r.record(service, Download, d)
	}
}

// feed checks that events are numbered without a gap.
func (r *runner) feed(ctx context.Context, l *caller.Client, t Target) {
	f, err := l.Feed(ctx, "https://"+t.Addr.String()+"/feeds/prices?everyMillis=100", http.Header{"X-Service": {t.Service}})
	if err != nil {
		if ctx.Err() == nil {
			r.count(func(s *Result) { s.broke(t.Service, "feed", err) })
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
		r.count(func(s *Result) {
			s.LongestSilenceMillis = max(s.LongestSilenceMillis, silence)
			switch {
			case err != nil:
				s.broke(t.Service, "feed", err)
			case e.ID != strconv.Itoa(n):
				s.wrong(t.Service, "feed")
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
	r.count(func(s *Result) {
		if st.Breaks > 0 {
			s.BrokenFlows += int(st.Breaks)
			s.fault(fmt.Sprintf("%s feed: %d breaks", t.Service, st.Breaks))
		}
		s.FeedMoves += st.Moves
	})
}
