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

	"github.com/bramleycourse/bramleycourse/internal/stub"
	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

func (r *runner) short(l *caller.Client, t Target, id string, due time.Time) {
	r.request(l, t, http.MethodGet, "/short", "", t.Service+" /short \n", id, due)
}

func (r *runner) ticket(l *caller.Client, t Target, id string, due time.Time) {
	r.request(l, t, http.MethodPost, "/update", id, t.Service+" updated "+id+"\n", id, due)
}

func (r *runner) request(l *caller.Client, t Target, method, path, body, want, id string, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), r.config.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "https://"+t.Addr.String()+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Service", t.Service)
	have, err := read(l, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.latency.RecordValue(min(time.Since(due), maxLatency).Microseconds())
	r.judge(err, err == nil && have != want, id)
}

func read(l *caller.Client, req *http.Request) (string, error) {
	resp, err := l.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// judge counts an outcome; the caller of judge holds the mutex.
func (r *runner) judge(err error, wrong bool, id string) {
	var (
		notRun  *caller.NotRunError
		unknown *caller.UnknownError
	)
	switch {
	case errors.As(err, &notRun):
		r.result.NotRun++
		r.notRun = append(r.notRun, id)
	case errors.As(err, &unknown):
		r.result.Unknown++
	case err != nil:
		r.result.BrokenFlows++
	default:
		r.answered = append(r.answered, id)
	}
	if wrong {
		r.result.WrongAnswers++
	}
}

// downloads fetches one sheet after the other and checks its hash.
func (r *runner) downloads(ctx context.Context, l *caller.Client, t Target) {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("https://%s/sheet?size=%d", t.Addr, r.config.SheetBytes), nil)
		if err != nil {
			return
		}
		req.Header.Set("X-Service", t.Service)
		resp, err := l.Do(req)
		wrong := false
		if err == nil {
			sum := sha256.New()
			_, err = io.Copy(sum, resp.Body)
			resp.Body.Close()
			wrong = resp.Header.Get(stub.HashHeader) != hex.EncodeToString(sum.Sum(nil))
		}
		if ctx.Err() != nil {
			return
		}
		r.count(func(s *Result) {
			s.Downloads++
			var notRun *caller.NotRunError
			switch {
			case errors.As(err, &notRun):
				s.NotRun++
			case err != nil:
				s.BrokenFlows++
			case wrong:
				s.WrongAnswers++
			}
		})
	}
}

// feed checks that events are numbered without a gap.
func (r *runner) feed(ctx context.Context, l *caller.Client, t Target) {
	f, err := l.Feed(ctx, "https://"+t.Addr.String()+"/feeds/prices?everyMillis=100", http.Header{"X-Service": {t.Service}})
	if err != nil {
		if ctx.Err() == nil {
			r.count(func(s *Result) { s.BrokenFlows++ })
		}
		return
	}
	defer f.Close()
	last := time.Now()
	for n := 1; ; n++ {
		e, err := f.Next(ctx)
		silence := time.Since(last).Milliseconds()
		last = time.Now()
		r.count(func(s *Result) {
			s.LongestSilenceMillis = max(s.LongestSilenceMillis, silence)
			switch {
			case err != nil && ctx.Err() == nil:
				s.BrokenFlows++
			case err == nil && e.ID != strconv.Itoa(n):
				s.WrongAnswers++
			case err == nil:
				s.Events++
			}
		})
		if err != nil {
			r.count(func(s *Result) { s.BrokenFlows += int(f.Stats().Breaks) })
			return
		}
	}
}
