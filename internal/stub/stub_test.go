package stub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

type fixture struct {
	t   *testing.T
	up  *Upstream
	url string
}

func newFixture(t *testing.T, work time.Duration) *fixture {
	u := New("listas", work)
	s := httptest.NewServer(u)
	t.Cleanup(s.Close)
	return &fixture{t, u, s.URL}
}

func (f *fixture) do(ctx context.Context, method, path, body string, header ...string) (*http.Response, string, error) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func (f *fixture) set(settings string) {
	f.t.Helper()
	resp, body, err := f.do(f.t.Context(), http.MethodPut, "/settings", settings)
	if err != nil || resp.StatusCode != http.StatusOK {
		f.t.Fatalf("settings %s: %v %s", settings, err, body)
	}
}

// TestUpdates checks the counting of runs: an update that fails before it runs is
// not counted, one that fails afterwards is.
func TestUpdates(t *testing.T) {
	f := newFixture(t, 0)
	for _, c := range []struct {
		settings, query string
		wantRuns        int
		wantErr         bool
	}{
		{`{}`, "", 1, false},
		{`{"updateFail":"before"}`, "", 0, true},
		{`{"updateFail":"after"}`, "", 1, true},
		{`{"updateFail":""}`, "?fail=after", 1, true},
		{`{"updateDelayMillis":30}`, "?fail=before&delayMillis=0", 0, true},
	} {
		id := c.settings + c.query
		f.set(c.settings)
		_, _, err := f.do(t.Context(), http.MethodPost, "/update"+c.query, "x", "X-Request-Id", id)
		if (err != nil) != c.wantErr {
			t.Errorf("%s: want error %v, have %v", id, c.wantErr, err)
		}
		if n := f.up.Counts().Runs[id]; n != c.wantRuns {
			t.Errorf("%s: want %d runs, have %d", id, c.wantRuns, n)
		}
	}
	if c := f.up.Counts(); c.FailedBefore != 2 || c.FailedAfter != 2 {
		t.Errorf("want 2 failures of each kind, have %+v", c)
	}
	resp, _, err := f.do(t.Context(), http.MethodPut, "/settings", `{"updateFail":"sometimes"}`)
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("unknown setting: want status 400, have %v %v", resp, err)
	}
}

// TestSlots checks the limit of concurrent requests, the cold start and the count of
// cancelled requests.
func TestSlots(t *testing.T) {
	f := newFixture(t, 5*time.Millisecond)
	f.set(`{"slots":2}`)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { f.do(t.Context(), http.MethodGet, "/x", "") })
	}
	wg.Wait()
	c := f.up.Counts()
	if c.MaxRunning != 2 || c.Requests != 10 || c.BusyMillis < 50 || c.Running != 0 {
		t.Errorf("want 10 requests, 2 at once, 50 ms busy; have %+v", c)
	}
	f.set(`{"coldMillis":60000,"coldFactor":1000}`)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := f.do(ctx, http.MethodGet, "/x", ""); err == nil {
		t.Error("cold start: want no answer within 50 ms")
	}
	for end := time.Now().Add(2 * time.Second); f.up.Counts().Cancelled == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the cancelled request was not counted within 2 s")
		}
	}
}

// TestBodies checks the hash of sheets and tiles, the event numbers of a resumed feed
// and the count of misrouted requests.
func TestBodies(t *testing.T) {
	f := newFixture(t, 0)
	for _, path := range []string{"/sheet?size=0", "/sheet?size=100001", "/sheet?size=65536&bytesPerSecond=1e6", "/tiles/3/4/5"} {
		resp, body, err := f.do(t.Context(), http.MethodGet, path, "", "X-Service", "fichas")
		sum := sha256.Sum256([]byte(body))
		if err != nil || hex.EncodeToString(sum[:]) != resp.Header.Get(HashHeader) {
			t.Errorf("%s: wrong hash, or error %v", path, err)
		}
	}
	_, body, err := f.do(t.Context(), http.MethodGet, "/feeds/prices?everyMillis=1&count=6", "", "Last-Event-ID", "4")
	if want := "id: 5\ndata: listas price 5\n\nid: 6\ndata: listas price 6\n\n"; err != nil || body != want {
		t.Errorf("feed: want %q, have %q, %v", want, body, err)
	}
	if n := f.up.Counts().Misrouted; n != 4 {
		t.Errorf("want 4 misrouted requests, have %d", n)
	}
}

// TestReports checks that the health and load endpoints report false and delayed
// values according to the settings.
func TestReports(t *testing.T) {
	f := newFixture(t, 0)
	for _, c := range []struct {
		settings  string
		wantUp    bool
		wantCount int
	}{
		{`{"slots":3}`, true, 0},
		{`{"unhealthy":true}`, false, 0},
		{`{"healthReport":"up","loadReport":9}`, true, 9},
		{`{"healthReport":"down","loadReport":1}`, false, 1},
		{`{"healthReport":"","reportLagMillis":60000}`, true, 1},
	} {
		f.set(c.settings)
		resp, _, err := f.do(t.Context(), http.MethodGet, "/healthz", "")
		if err != nil || (resp.StatusCode == http.StatusOK) != c.wantUp {
			t.Errorf("%s: want up %v, have %v, %v", c.settings, c.wantUp, resp, err)
		}
		_, body, err := f.do(t.Context(), http.MethodGet, "/load", "")
		var a loadAnswer
		if err != nil || json.Unmarshal([]byte(body), &a) != nil || a != (loadAnswer{c.wantCount, 3}) {
			t.Errorf("%s: want %d running and 3 slots, have %s, %v", c.settings, c.wantCount, body, err)
		}
	}
}
