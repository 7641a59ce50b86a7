package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// testUpstream is an upstream whose paths select its behaviour.
type testUpstream struct {
	calls   atomic.Int64
	release chan struct{}
	mu      sync.Mutex
	header  http.Header
}

func (u *testUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.calls.Add(1)
	u.mu.Lock()
	u.header = r.Header.Clone()
	u.mu.Unlock()
	switch r.URL.Path {
	case "/hold", "/feeds/hold":
		select {
		case <-u.release:
		case <-r.Context().Done():
		}
	case "/feeds/open":
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case "/cut":
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/long":
		w.Write(make([]byte, 200<<10))
		return
	case "/forge":
		w.Header().Set(hdrs.Outcome, hdrs.NotRun)
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
	}
	io.Copy(w, r.Body)
}

func newTestUpstream(t *testing.T) (*testUpstream, string) {
	u := &testUpstream{release: make(chan struct{})}
	srv := httptest.NewServer(u)
	t.Cleanup(srv.Close)
	return u, srv.URL
}

// onlyReader hides the length of a body.
type onlyReader struct{ io.Reader }

// TestOutcomes checks the answers that callers get, and that the upstream was
// not called whenever the outcome is not-run (R4).
func TestOutcomes(t *testing.T) {
	u, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{StreamPaths: []string{"/feeds/"}, Limits: decl.Limits{RequestBytes: 100 << 10}})
	long, big := strings.Repeat("x", 100<<10+1), strings.Repeat("x", 100<<10)
	for _, c := range []struct {
		name, method, path string
		body               io.Reader
		header             []string
		want               result
		calls              int64
	}{
		{"body", "POST", "/", strings.NewReader("abc"), nil, result{status: 200, body: "abc"}, 1},
		{"longest body", "POST", "/", strings.NewReader(big), nil, result{status: 200, body: big}, 1},
		{"longest body of unknown length", "POST", "/", onlyReader{strings.NewReader(big)}, nil, result{status: 200, body: big}, 1},
		{"body too long", "POST", "/", strings.NewReader(long), nil, result{status: 413, outcome: hdrs.NotRun, reason: reasonBody}, 0},
		{"deadline", "GET", "/hold", nil, []string{hdrs.Timeout, "50"}, result{status: 504, outcome: hdrs.Unknown, reason: reasonDeadline}, 1},
		{"timeout header", "GET", "/", nil, []string{hdrs.Timeout, "soon"}, result{status: 400, outcome: hdrs.NotRun, reason: reasonTimeout}, 0},
		{"forged outcome", "GET", "/forge", nil, nil, result{status: 200}, 1},
		{"unknown ticket", "POST", "/", nil, []string{hdrs.Ticket, "x"}, result{status: 409, outcome: hdrs.Unknown, reason: "ticket malformed"}, 0},
		{"ticket by GET", "GET", hdrs.TicketPath, nil, nil, result{status: 405, outcome: hdrs.NotRun, reason: reasonMethod}, 0},
	} {
		before := u.calls.Load()
		if have := ts.do(t.Context(), c.method, c.path, c.body, c.header...); have != c.want {
			t.Errorf("%s: want %.200v, have %.200v", c.name, c.want, have)
		}
		if have := u.calls.Load() - before; have != c.calls {
			t.Errorf("%s: calls of the upstream: want %d, have %d", c.name, c.calls, have)
		}
	}
	// Resetting the stream may discard data that was sent before.
	if r := ts.do(t.Context(), "GET", "/cut", nil); r.err == nil || !strings.HasPrefix("part", r.body) {
		t.Errorf("incomplete answer: want an error after at most %q, have %+v", "part", r)
	}
	if r := ts.do(t.Context(), "GET", "/", nil, "X-Long", strings.Repeat("x", 2*maxHeaderBytes)); r.err == nil && r.status != 431 {
		t.Errorf("header above the limit: want an error or 431, have %+v", r)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(t, err)
	l.Close()
	ts = newTestServer(t, "http://"+l.Addr().String(), decl.Service{})
	want := result{status: 503, outcome: hdrs.NotRun, reason: reasonUnreachable}
	if have := ts.do(t.Context(), "GET", "/", nil); have != want {
		t.Errorf("unreachable upstream: want %+v, have %+v", want, have)
	}
}

// TestForwardedHeader guards against callers that claim another address, and
// against hop-by-hop fields that reach the upstream.
func TestForwardedHeader(t *testing.T) {
	u, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{})
	r := ts.do(t.Context(), "GET", "/forge", nil, "X-Forwarded-For", "1.2.3.4", "Forwarded", "for=1.2.3.4",
		"X-Real-Ip", "1.2.3.4", "X-Kept", "1", hdrs.Timeout, "60000")
	if r.status != 200 {
		t.Fatalf("want status 200, have %+v", r)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, want := range map[string]string{
		"X-Forwarded-For": "127.0.0.1", "X-Forwarded-Proto": "https", "X-Forwarded-Host": strings.TrimPrefix(ts.base, "https://"),
		"Forwarded": "", "X-Real-Ip": "", "X-Kept": "1",
	} {
		if have := u.header.Get(name); have != want {
			t.Errorf("%s at the upstream: want %q, have %q", name, want, have)
		}
	}
	if have := u.header.Get(hdrs.Timeout); len(have) != len("59999") || have > "60000" {
		t.Errorf("%s at the upstream: want less than 60000, have %q", hdrs.Timeout, have)
	}
}

// TestSlots checks that a request waits when all slots are in use, that a full
// queue refuses it, and that feeds need no slot.
func TestSlots(t *testing.T) {
	u, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{StreamPaths: []string{"/feeds/"}, Limits: decl.Limits{Slots: 1, Queue: 1}})
	results := make(chan result, 3)
	get := func(path string) { results <- ts.do(t.Context(), "GET", path, nil) }
	go get("/hold")
	eventually(t, "first request running", func() bool { return u.calls.Load() == 1 })
	go get("/hold")
	eventually(t, "second request waiting", func() bool { return ts.handler.admission.stats().Queued == 1 })
	for path, want := range map[string]result{
		"/":                   {status: 503, outcome: hdrs.NotRun, reason: "queueFull"},
		"/feeds/../":          {status: 503, outcome: hdrs.NotRun, reason: "queueFull"},
		"/feeds/%2e%2e/other": {status: 503, outcome: hdrs.NotRun, reason: "queueFull"},
		"/feeds/prices":       {status: 200},
	} {
		if have := ts.do(t.Context(), "GET", path, nil); have != want {
			t.Errorf("%s with a full queue: want %+v, have %+v", path, want, have)
		}
	}
	go get("/feeds/hold")
	eventually(t, "feed running", func() bool { return u.calls.Load() == 3 })
	close(u.release)
	for range 3 {
		if r := <-results; r.status != 200 {
			t.Errorf("want status 200, have %+v", r)
		}
	}
	eventually(t, "slots free", func() bool { return ts.handler.admission.stats().Running == 0 })
}

// TestTickets guards R5: concurrent repetitions, a caller that leaves, and a
// long answer each lead to a single run.
func TestTickets(t *testing.T) {
	u, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{})
	post := func(ctx context.Context, path, text string) result {
		return ts.do(ctx, "POST", path, strings.NewReader("x"), hdrs.Ticket, text)
	}
	text := ts.ticket()
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan result)
	go func() { left <- post(ctx, "/hold", text) }()
	eventually(t, "request running", func() bool { return u.calls.Load() == 1 })
	leave()
	if r := <-left; !errors.Is(r.err, context.Canceled) {
		t.Fatalf("want a cancelled request, have %+v", r)
	}
	var wait sync.WaitGroup
	have := make([]result, 10)
	for i := range have {
		wait.Go(func() { have[i] = post(t.Context(), "/hold", text) })
	}
	eventually(t, "repetitions received", func() bool { return ts.handler.requests.Load() == 12 })
	close(u.release)
	wait.Wait()
	have = append(have, post(t.Context(), "/hold", text))
	for i, r := range have {
		if want := (result{status: 200, body: "x"}); r != want {
			t.Errorf("repetition %d: want %+v, have %+v", i, want, r)
		}
	}
	text = ts.ticket()
	if r := post(t.Context(), "/long", text); r.status != 200 || len(r.body) != 200<<10 {
		t.Errorf("long answer: want 200 with 204800 bytes, have %d with %d", r.status, len(r.body))
	}
	want := result{status: 409, outcome: hdrs.Unknown, reason: "ticket no longer stored"}
	if r := post(t.Context(), "/long", text); r != want {
		t.Errorf("repetition of a long answer: want %+v, have %+v", want, r)
	}
	if n := u.calls.Load(); n != 2 {
		t.Errorf("calls of the upstream: want 2, have %d", n)
	}
}

// TestTicketRefusal guards R4 for tickets: a refusal uses up the ticket, and a
// later repetition does not run the request.
func TestTicketRefusal(t *testing.T) {
	u, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{Limits: decl.Limits{Slots: 1, Queue: 1}})
	text := ts.ticket()
	held := make(chan result, 2)
	for range 2 {
		go func() { held <- ts.do(t.Context(), "GET", "/hold", nil) }()
	}
	eventually(t, "queue full", func() bool { s := ts.handler.admission.stats(); return s.Running == 1 && s.Queued == 1 })
	want := result{status: 503, outcome: hdrs.NotRun, reason: "queueFull"}
	for i := range 2 {
		if r := ts.do(t.Context(), "POST", "/", nil, hdrs.Ticket, text); r != want {
			t.Errorf("attempt %d: want %+v, have %+v", i, want, r)
		}
		if i == 0 {
			close(u.release)
			<-held
			<-held
		}
	}
	if n := u.calls.Load(); n != 2 {
		t.Errorf("calls of the upstream: want 2, have %d", n)
	}
}

// TestCancelled guards against warnings about feeds that their callers closed,
// and against incomplete answers that are counted as closed by the caller.
func TestCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		want, path string
		end        func(*testServer, context.CancelFunc)
	}{
		"request cancelled": {"reset.cancelled by caller", "/feeds/open", func(_ *testServer, cancel context.CancelFunc) { cancel() }},
		"connection closed": {"reset.cancelled by caller", "/feeds/open", func(ts *testServer, _ context.CancelFunc) { ts.client.Transport.(io.Closer).Close() }},
		"upstream broke":    {"reset.answer broken off", "/cut", func(*testServer, context.CancelFunc) {}},
		"deadline passed":   {"reset.answer broken off", "/feeds/open", nil},
	} {
		_, url := newTestUpstream(t)
		ts := newTestServer(t, url, decl.Service{StreamPaths: []string{"/feeds/"}})
		var log bytes.Buffer
		ts.handler.refusals.log.Logger.SetOutput(&log)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, ts.base+c.path, nil)
		must(t, err)
		if c.end == nil {
			req.Header.Set(hdrs.Timeout, "100")
		}
		resp, err := ts.client.Do(req)
		if err == nil {
			defer resp.Body.Close()
		} else if c.path != "/cut" { // the reset may overtake the header
			t.Fatalf("%s: %v", name, err)
		}
		if c.end != nil {
			c.end(ts, cancel)
		}
		eventually(t, name+" counted", func() bool { return len(ts.handler.refusals.totals()) > 0 })
		eventually(t, name+" ended", func() bool { return ts.handler.active.Load() == 0 })
		if have := ts.handler.refusals.totals(); len(have) != 1 || have[c.want] != 1 {
			t.Errorf("%s: want one %q, have %v", name, c.want, have)
		}
		if have, want := log.Len() > 0, c.want == "reset.answer broken off"; have != want {
			t.Errorf("%s: want a warning %v, have %q", name, want, log.String())
		}
	}
}
