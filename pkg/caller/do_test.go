package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// scriptedAgent handles the nth request, tickets excluded, as the nth step says.
// It records the requests.
type scriptedAgent struct {
	server *server
	steps  []string
	// halfReceived is closed when the caller has received the first half of a
	// response.
	halfReceived chan struct{}

	mu      sync.Mutex
	tickets int
	seen    []string
}

func (s *scriptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == hdrs.TicketPath {
		s.mu.Lock()
		s.tickets++
		n := s.tickets
		s.mu.Unlock()
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, `{"ticket":"t%d"}`, n)
		return
	}
	b, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	step := "ok"
	if n := len(s.seen); n < len(s.steps) {
		step = s.steps[n]
	}
	s.seen = append(s.seen, fmt.Sprintf("%s %s%s", r.Method, r.Header.Get(hdrs.Ticket), b))
	s.mu.Unlock()
	s.answer(w, r, step)
}

func (s *scriptedAgent) answer(w http.ResponseWriter, r *http.Request, step string) {
	switch step {
	case "not-run":
		w.Header().Set(hdrs.Outcome, hdrs.NotRun)
		w.Header().Set(hdrs.Reason, "queue full")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "unknown":
		w.Header().Set(hdrs.Outcome, hdrs.Unknown)
		w.WriteHeader(http.StatusConflict)
	case "reset":
		panic(http.ErrAbortHandler)
	case "truncate", "short":
		if step == "short" {
			w.Header().Set("Content-Length", "100")
		}
		io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		if step == "truncate" {
			s.waitHalfReceived(r)
			panic(http.ErrAbortHandler)
		}
	case "disconnect", "disconnect-cleanly":
		code := quic.ApplicationErrorCode(http3.ErrCodeInternalError)
		if step == "disconnect-cleanly" {
			io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			s.waitHalfReceived(r)
			code = quic.ApplicationErrorCode(http3.ErrCodeNoError)
		}
		s.server.conn(s.server.accepted()-1).CloseWithError(code, "")
	case "hang":
		<-r.Context().Done()
	default:
		fmt.Fprintf(w, "done, time %v", r.Header.Get(hdrs.Timeout) != "")
	}
}

// waitHalfReceived prevents a reset or a close from overtaking the data sent
// before it.
func (s *scriptedAgent) waitHalfReceived(r *http.Request) {
	if r.Method == http.MethodGet {
		<-s.halfReceived
	}
}

// describeResult describes the outcome of a request as the caller sees it.
func describeResult(half chan struct{}, resp *http.Response, err error) string {
	var (
		notRun  *NotRunError
		unknown *UnknownError
		short   *TruncatedError
	)
	if err == nil {
		defer resp.Body.Close()
		first := make([]byte, len("half"))
		n, _ := io.ReadFull(resp.Body, first)
		close(half)
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			return string(first[:n]) + string(b)
		}
	}
	switch {
	case errors.As(err, &notRun):
		return fmt.Sprintf("not run, %d attempts", notRun.Attempts)
	case errors.As(err, &unknown):
		return fmt.Sprintf("unknown, answered %v", unknown.Answered)
	case errors.As(err, &short) && errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Sprintf("truncated after %d", short.Read)
	}
	return err.Error()
}

// TestOutcomes checks requirements R3, R4 and R5 (docs/design.md) in the client:
// which failed requests are sent again, with which ticket, and which outcome is
// reported.
func TestOutcomes(t *testing.T) {
	const done = "done, time true"
	for _, c := range []struct {
		name, method, steps string
		want                string
		wantSeen            []string
		wantFlows           int
	}{
		{"answer", "GET", "ok", done, []string{"GET "}, 1},
		{"not-run is retried on a new flow", "GET", "not-run,ok", done, []string{"GET ", "GET "}, 2},
		{"attempts are limited", "GET", "not-run,not-run,not-run,not-run,ok", "not run, 4 attempts", []string{"GET ", "GET ", "GET ", "GET "}, 4},
		{"unknown is not retried", "GET", "unknown,ok", "unknown, answered true", []string{"GET "}, 1},
		{"lost answer is not retried", "GET", "reset,ok", "unknown, answered false", []string{"GET "}, 1},
		{"lost connection is not retried", "GET", "disconnect,ok", "unknown, answered false", []string{"GET "}, 1},
		{"reset in the body", "GET", "truncate", "truncated after 4", []string{"GET "}, 1},
		{"body shorter than announced", "GET", "short", "truncated after 4", []string{"GET "}, 1},
		{"clean end of the connection in the body", "GET", "disconnect-cleanly", "truncated after 4", []string{"GET "}, 1},
		{"time out", "GET", "hang", "unknown, answered false", []string{"GET "}, 1},
		{"marked as idempotent", "MARKED", "not-run,ok", done, []string{"POST x", "POST x"}, 2},
		{"marked and lost", "MARKED", "reset,ok", "unknown, answered false", []string{"POST x"}, 1},
		{"ticket", "POST", "ok", done, []string{"POST t1x"}, 1},
		{"new ticket after not-run", "POST", "not-run,ok", done, []string{"POST t1x", "POST t2x"}, 2},
		{"same ticket after lost answer", "POST", "reset,ok", done, []string{"POST t1x", "POST t1x"}, 1},
		{"same ticket after half an answer", "POST", "truncate,ok", done, []string{"POST t1x", "POST t1x"}, 1},
		{"same ticket on a new connection", "POST", "disconnect,unknown,ok", "unknown, answered true", []string{"POST t1x", "POST t1x"}, 2},
		{"not-run by the same agent", "POST", "reset,not-run,ok", done, []string{"POST t1x", "POST t1x", "POST t2x"}, 2},
		{"not-run by another agent proves nothing", "POST", "disconnect,not-run,not-run,not-run,ok", "unknown, answered false", []string{"POST t1x", "POST t1x", "POST t1x", "POST t1x"}, 4},
		{"repetitions are limited", "POST", "reset,reset,reset,reset,ok", "unknown, answered false", []string{"POST t1x", "POST t1x", "POST t1x", "POST t1x"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedAgent{steps: strings.Split(c.steps, ","), halfReceived: make(chan struct{})}
			s.server = newServer(t, s)
			client := newClient(t)
			limit := 5 * time.Second
			if strings.Contains(c.steps, "hang") {
				limit = 300 * time.Millisecond
			}
			method, body := c.method, io.Reader(nil)
			if method != http.MethodGet {
				method, body = http.MethodPost, io.MultiReader(strings.NewReader("x"))
			}
			req, err := http.NewRequestWithContext(withTimeout(t, limit), method, "https://"+s.server.addr.String()+"/x", body)
			noError(t, err)
			if c.method == "MARKED" {
				MarkIdempotent(req)
			}
			resp, err := client.Do(req)
			if have := describeResult(s.halfReceived, resp, err); have != c.want {
				t.Errorf("outcome: want %q, have %q", c.want, have)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if !slices.Equal(s.seen, c.wantSeen) {
				t.Errorf("requests: want %q, have %q", c.wantSeen, s.seen)
			}
			if n := s.server.accepted(); n != c.wantFlows {
				t.Errorf("flows: want %d, have %d", c.wantFlows, n)
			}
		})
	}
}

// TestNoConnection checks that a request is retried and reported as not run when
// no connection can be opened, and that the budget limits retries.
func TestNoConnection(t *testing.T) {
	c := newClient(t, WithDialTimeout(50*time.Millisecond), WithRetryBudget(0, 0, 1))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://127.0.0.1:9/x", strings.NewReader("x"))
	noError(t, err)
	resp, err := c.Do(req)
	if want, have := "not run, 2 attempts", describeResult(nil, resp, err); want != have {
		t.Errorf("want %q, have %q", want, have)
	}
	if s := c.Stats(); s.Retries != 1 || s.RetriesRefused != 1 || s.NotRun != 1 {
		t.Errorf("want one retry and one refused, have %+v", s)
	}
}

// TestQueueFull checks that refusals by an overloaded service open new flows only
// within the retry budget, and that other refusals always retire the flow.
func TestQueueFull(t *testing.T) {
	for reason, want := range map[string]int{hdrs.QueueFull: 2, "draining": 6} {
		s := newServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(hdrs.Outcome, hdrs.NotRun)
			w.Header().Set(hdrs.Reason, reason)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		c := newClient(t, WithRetryBudget(0, 0, 1))
		for range 5 {
			req, err := http.NewRequestWithContext(withTimeout(t, conditionTimeout), http.MethodGet, "https://"+s.addr.String()+"/x", nil)
			noError(t, err)
			var refused *NotRunError
			if _, err := c.Do(req); !errors.As(err, &refused) || refused.Reason != reason {
				t.Errorf("want %s, have %v", reason, err)
			}
		}
		if n := s.accepted(); n != want {
			t.Errorf("%s: want %d flows for 5 requests and a retry, have %d", reason, want, n)
		}
	}
}

// TestFlows checks that requests share flows up to the limit, that further flows
// are opened, and that idle flows are closed.
func TestFlows(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	c := newClient(t, WithRequestsPerFlow(2), WithFlowsPerService(3), WithIdleTimeout(100*time.Millisecond))
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+s.addr.String()+"/x", nil)
			resp, err := c.Do(req)
			if have := describeResult(make(chan struct{}), resp, err); have != "" {
				t.Errorf("want an empty response, have %q", have)
			}
		})
	}
	eventually(t, "3 flows", func() bool { return s.accepted() == 3 })
	close(release)
	wg.Wait()
	if n := s.accepted(); n != 3 {
		t.Errorf("want 3 flows, have %d", n)
	}
	eventually(t, "idle flows closed", func() bool {
		return s.conn(0).Context().Err() != nil && s.conn(1).Context().Err() != nil && s.conn(2).Context().Err() != nil
	})
	if n := c.Stats().BrokenFlows; n != 0 {
		t.Errorf("want no broken flow, have %d", n)
	}
}
