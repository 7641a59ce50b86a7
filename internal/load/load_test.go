package load

import (
	"crypto/tls"
	"fmt"
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

// serve runs a fake agent that answers with the upstream, or falsely.
func serve(t *testing.T, u *stub.Upstream, lie bool) Config {
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
		switch {
		case r.URL.Path == hdrs.TicketPath:
			w.WriteHeader(http.StatusCreated)
			fmt.Fprintf(w, `{"ticket":"t%d"}`, tickets.Add(1))
		case lie && r.URL.Path == "/update":
			u.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set(hdrs.Outcome, hdrs.NotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		case lie && strings.HasPrefix(r.URL.Path, "/short"):
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
		Targets: []Target{{"listas", conn.LocalAddr().(*net.UDPAddr).AddrPort()}},
		Feeds:   2, Downloads: 1, Shorts: 4, Tickets: 2,
		ShortRate: 100, TicketRate: 20, SheetBytes: 100_000,
		Duration: time.Second, Timeout: time.Second, Seed: 1,
		TLS:   &tls.Config{RootCAs: a.Pool(), ServerName: "localhost"},
		Stubs: []string{counts.URL},
	}
}

// TestRun guards that an honest service passes and that a lying one is found out.
func TestRun(t *testing.T) {
	s, err := Run(t.Context(), serve(t, stub.New("listas", time.Millisecond), false))
	if err != nil || s.Failed() || s.NotRun+s.Unknown+s.Overruns != 0 {
		t.Fatalf("honest service: %v, %+v", err, s)
	}
	if s.Requests < 60 || s.Events < 10 || s.Downloads == 0 || s.Flows != 9 || s.P99Millis < 1 {
		t.Errorf("honest service: want 9 flows with work on each, have %+v", s)
	}
	s, err = Run(t.Context(), serve(t, stub.New("listas", 0), true))
	if err != nil || !s.Failed() || s.WrongAnswers == 0 || s.Lost == 0 || s.NotRunButRan == 0 || s.RanTwice == 0 {
		t.Errorf("lying service: %v, %+v", err, s)
	}
}

// TestValidate guards that load stays on this machine and bounded.
func TestValidate(t *testing.T) {
	ok := Config{Targets: []Target{{"a", netip.MustParseAddrPort("127.0.0.1:1")}}, Duration: time.Second, Timeout: time.Second}
	if err := ok.Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Config){
		"remote":   func(c *Config) { c.Targets = []Target{{"a", netip.MustParseAddrPort("192.0.2.1:1")}} },
		"flows":    func(c *Config) { c.Feeds = MaxFlows + 1 },
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
