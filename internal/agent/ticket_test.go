package agent

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// faultyRequests are invalid requests, which the agent refuses before
// admission.
var faultyRequests = []struct {
	name, method, path string
	body               string
	timeout            string
	want               result
}{
	{"timeout not a number", "POST", "/", "x", "soon", result{status: 400, reason: reasonTimeout}},
	{"timeout expired", "POST", "/", "x", "0", result{status: 400, reason: reasonTimeout}},
	{"body too long", "POST", "/", strings.Repeat("x", 101), "1000", result{status: 413, reason: reasonBody}},
	{"target", "CONNECT", "", "", "1000", result{status: 400, reason: reasonTarget}},
	{"path of tickets", "POST", hdrs.TicketPath, "", "1000", result{status: 400, reason: reasonTarget}},
}

// TestFaultyRepetition guards R4 and R5: an invalid repetition is never
// answered not-run after the first request ran, and a ticket that was refused
// as invalid does not run later.
func TestFaultyRepetition(t *testing.T) {
	u, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{Limits: decl.Limits{RequestBytes: 100}})
	send := func(method, path, body, timeout, text string) result {
		return ts.do(t.Context(), method, path, onlyReader{strings.NewReader(body)}, hdrs.Ticket, text, hdrs.Timeout, timeout)
	}
	for _, c := range faultyRequests {
		text := ts.ticket()
		if r := send("POST", "/", "x", "1000", text); r.status != 200 {
			t.Fatalf("%s: first request: want status 200, have %+v", c.name, r)
		}
		want := c.want
		want.outcome = hdrs.Unknown
		if have := send(c.method, c.path, c.body, c.timeout, text); have != want {
			t.Errorf("%s after a completed request: want %+v, have %+v", c.name, want, have)
		}
		before := u.calls.Load()
		text = ts.ticket()
		want.outcome = hdrs.NotRun
		if have := send(c.method, c.path, c.body, c.timeout, text); have != want {
			t.Errorf("%s on the first use: want %+v, have %+v", c.name, want, have)
		}
		want.status = http.StatusServiceUnavailable
		if have := send("POST", "/", "x", "1000", text); have != want {
			t.Errorf("%s, then a valid request: want %+v, have %+v", c.name, want, have)
		}
		if n := u.calls.Load() - before; n != 0 {
			t.Errorf("%s: calls of the upstream with a refused ticket: want 0, have %d", c.name, n)
		}
	}
}

// TestLateRepetition guards R4 during a drain: on a flow whose handshake
// completed after the drain began, the repetition of a request that ran is not
// answered not-run.
func TestLateRepetition(t *testing.T) {
	_, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{})
	late := func(text string) string {
		w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/", nil)
		r.Header.Set(hdrs.Ticket, text)
		(&Agent{handler: ts.handler}).refuseLateRequest(w, r)
		return w.Header().Get(hdrs.Outcome)
	}
	used, unused := ts.ticket(), ts.ticket()
	if r := ts.do(t.Context(), "POST", "/", nil, hdrs.Ticket, used); r.status != 200 {
		t.Fatalf("first request: want status 200, have %+v", r)
	}
	for text, want := range map[string]string{used: hdrs.Unknown, unused: hdrs.NotRun, "": hdrs.NotRun} {
		if have := late(text); have != want {
			t.Errorf("ticket %q: want %s, have %s", text, want, have)
		}
	}
}

// TestTicketBound guards against a ticket that is accepted for a request other
// than that of its first use.
func TestTicketBound(t *testing.T) {
	u, url := newTestUpstream(t)
	ts := newTestServer(t, url, decl.Service{})
	text := ts.ticket()
	send := func(method, path, body string) result {
		return ts.do(t.Context(), method, path, strings.NewReader(body), hdrs.Ticket, text)
	}
	answered := result{status: 200, body: "x"}
	other := result{status: 409, outcome: hdrs.Unknown, reason: "ticket of another request"}
	for _, c := range []struct {
		method, path, body string
		want               result
	}{
		{"POST", "/a", "x", answered},
		{"PUT", "/a", "x", other},
		{"POST", "/a?b", "x", other},
		{"POST", "/a", "y", other},
		{"POST", "/a", "", other},
		{"POST", "/a", "x", answered},
	} {
		if have := send(c.method, c.path, c.body); have != c.want {
			t.Errorf("%s %s %q: want %+v, have %+v", c.method, c.path, c.body, c.want, have)
		}
	}
	if n := u.calls.Load(); n != 1 {
		t.Errorf("calls of the upstream: want 1, have %d", n)
	}
}

// TestTrailer checks that announced and unannounced trailers of short, stored
// and long answers reach the caller, and that the upstream cannot set the
// outcome in a trailer.
func TestTrailer(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		n := 100
		if r.URL.Path == "/long" {
			n = 200 << 10
		}
		w.Write(make([]byte, n))
		http.NewResponseController(w).Flush()
		w.Header().Set("X-Sum", "1")
		w.Header().Set(http.TrailerPrefix+"X-Late", "2")
		w.Header().Set(http.TrailerPrefix+hdrs.Outcome, hdrs.NotRun)
	}))
	defer srv.Close()
	ts := newTestServer(t, srv.URL, decl.Service{})
	check := func(path, text string) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), "POST", ts.base+path, nil)
		must(t, err)
		if text != "" {
			req.Header.Set(hdrs.Ticket, text)
		}
		resp, err := ts.client.Do(req)
		must(t, err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		must(t, err)
		for name, want := range map[string]string{"X-Sum": "1", "X-Late": "2", hdrs.Outcome: ""} {
			if have := resp.Trailer.Get(name); have != want {
				t.Errorf("%s, ticket %v: want trailer %s %q, have %v", path, text != "", name, want, resp.Trailer)
			}
		}
	}
	for _, path := range []string{"/", "/long"} {
		check(path, "")
		check(path, ts.ticket())
	}
	text := ts.ticket()
	check("/", text)
	check("/", text)
}

// brokenBody fails after n bytes, which makes the client reset the stream. It
// waits first, because the reset may overtake the header of the request.
type brokenBody struct {
	n    int
	wait func()
}

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.n == 0 {
		b.wait()
		return 0, errors.New("broken")
	}
	n := min(len(p), b.n)
	b.n -= n
	return n, nil
}

// TestBodyEndsEarly guards against a request body that was cut off by a stream
// reset and that the upstream takes for complete.
func TestBodyEndsEarly(t *testing.T) {
	var complete atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			complete.Add(1)
		}
	}))
	defer srv.Close()
	ts := newTestServer(t, srv.URL, decl.Service{})
	for _, n := range []int{10, maxReadAhead - 1, maxReadAhead, 3 * maxReadAhead} {
		for _, length := range []int64{-1, int64(n) + 1} {
			for _, ticket := range []string{"", ts.ticket()} {
				received := ts.handler.requests.Load()
				body := &brokenBody{n, func() {
					eventually(t, "request received", func() bool { return ts.handler.requests.Load() > received })
				}}
				req, err := http.NewRequestWithContext(t.Context(), "POST", ts.base+"/", body)
				must(t, err)
				req.ContentLength = length
				if ticket != "" {
					req.Header.Set(hdrs.Ticket, ticket)
				}
				if resp, err := ts.client.Do(req); err == nil {
					resp.Body.Close()
					if resp.Header.Get(hdrs.Outcome) != hdrs.Unknown {
						t.Errorf("%d of %d bytes, ticket %v: want an error, have %v", n, length, ticket != "", resp)
					}
				}
				eventually(t, "request ended", func() bool { return ts.handler.active.Load() == 0 })
			}
		}
	}
	srv.Close() // waits for the running upstream calls
	if complete.Load() != 0 {
		t.Errorf("complete bodies at the upstream: want 0, have %d", complete.Load())
	}
}
