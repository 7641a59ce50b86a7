package load

import (
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/stub"
)

// serve runs a fake agent that passes requests to the upstream. If faulty is
// true, it answers short requests itself and reports updates that ran as not run.
func serve(t *testing.T, u *stub.Upstream, faulty bool) Config {
	t.Helper()
	a, err := certs.NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := a.Issue("localhost")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var tickets atomic.Int64
	h := func(w http.ResponseWriter, r *http.Request) {
		if (r.URL.Path == "/sheet" || strings.HasPrefix(r.URL.Path, "/feeds/")) && r.Header.Get(hdrs.Timeout) != "" {
			t.Errorf("%s carries a deadline, at which an agent breaks it off", r.URL.Path)
		}
		switch {
		case r.URL.Path == hdrs.TicketPath:
			w.WriteHeader(http.StatusCreated)
			fmt.Fprintf(w, `{"ticket":"t%d"}`, tickets.Add(1))
		case faulty && r.URL.Path == "/update":
			u.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set(hdrs.Outcome, hdrs.NotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		case faulty && strings.HasPrefix(r.URL.Path, "/short"):
			fmt.Fprint(w, "never ran")
		default:
			u.ServeHTTP(w, r)
		}
	}
	s := &http3.Server{Handler: http.HandlerFunc(h), TLSConfig: &tls.Config{Certificates: []tls.Certificate{pair}}}
	go s.Serve(conn)
	counts := httptest.NewServer(u)
	t.Cleanup(func() { s.Close(); conn.Close(); counts.Close() })
	return Config{
		Targets: []Target{{"listas", conn.LocalAddr().(*net.UDPAddr).AddrPort(), Mix{
			Feeds: 2, Downloads: 1, Shorts: 4, Tiles: 1, Tickets: 2,
			ShortRate: 100, TileRate: 30, TicketRate: 20, SheetBytes: 100_000, SheetRate: 1e6,
		}}},
		Duration: time.Second, Timeout: time.Second, Seed: 1,
		TLS:   &tls.Config{RootCAs: a.Pool(), ServerName: "localhost"},
		Stubs: []string{counts.URL},
	}
}

// TestRun checks that a correct service passes, also in a second run against the
// same stub, and that the wrong answers of a faulty service are detected.
func TestRun(t *testing.T) {
	c := serve(t, stub.New("listas", time.Millisecond), false)
	for range 2 {
		s, err := Run(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		checkCorrect(t, s)
	}
	s, err := Run(t.Context(), serve(t, stub.New("listas", 0), true))
	if err != nil || !s.Failed() || s.WrongAnswers == 0 || s.Lost == 0 || s.NotRunButRan == 0 || s.RanTwice == 0 {
		t.Errorf("faulty service: want wrong answers and all violations counted, have %v, %+v", err, s)
	}
}

func checkCorrect(t *testing.T, s *Result) {
	t.Helper()
	if s.Failed() || s.NotRun+s.Unknown+s.Late+s.Overruns+s.Unchecked != 0 {
		t.Fatalf("correct service: want no failures, have %+v", s)
	}
	v := s.Services["listas"]
	if s.Requests < 60 || s.Events < 10 || s.Downloads == 0 || s.Flows != 10 || v.RequestImbalance != 1 {
		t.Errorf("correct service: want 10 flows with work on each, have %+v", s)
	}
	if d := v.Latency[Download]; d.P50Millis < 90 {
		t.Errorf("want downloads of 100 kB at 1 MB/s to take 100 ms, have %+v", d)
	}
	for _, k := range []Kind{Short, Tile, Update} {
		if l := v.Latency[k]; l.Count == 0 || l.P50Millis < 1 || l.P50Millis > l.P99Millis || l.P99Millis > l.MaxMillis {
			t.Errorf("%s: want latencies of at least the work time, have %+v", k, l)
		}
	}
}

// TestValidate checks that remote targets and values out of range are refused.
func TestValidate(t *testing.T) {
	target := func(addr string, m Mix) []Target { return []Target{{"a", netip.MustParseAddrPort(addr), m}} }
	ok := Config{Targets: target("127.0.0.1:1", Mix{}), Duration: time.Second, Timeout: time.Second}
	if err := ok.Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Config){
		"remote":   func(c *Config) { c.Targets = target("192.0.2.1:1", Mix{}) },
		"flows":    func(c *Config) { c.Targets = target("127.0.0.1:1", Mix{Feeds: MaxFlows + 1}) },
		"rate":     func(c *Config) { c.Targets = target("127.0.0.1:1", Mix{ShortRate: math.NaN()}) },
		"twice":    func(c *Config) { c.Targets = append(c.Targets, c.Targets...) },
		"duration": func(c *Config) { c.Duration = 2 * MaxDuration },
		"empty":    func(c *Config) { c.Targets = nil },
	} {
		c := ok
		change(&c)
		if c.Validate() == nil {
			t.Errorf("%s: want an error", name)
		}
	}
}
