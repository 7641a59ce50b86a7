package agent

import (
	"context"
	"io"
	"net/http"
	"os"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"

	"github.com/bramleycourse/bramleycourse/internal/drain"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// signalledAgent is a running agent whose signals the test sends.
type signalledAgent struct {
	*Agent
	signal  context.CancelFunc
	signals chan os.Signal
	ended   chan struct{}
	mu      sync.Mutex
	history []view.State
}

func (b *testBalancer) startSignalledAgent(upstreamURL string) *signalledAgent {
	a := b.newAgent("127.0.0.1:0", upstreamURL, decl.Service{StreamPaths: []string{"/feeds/"}})
	a.limits.Minimum, a.limits.Quiet = 300*time.Millisecond, 100*time.Millisecond
	s := &signalledAgent{Agent: a, signals: make(chan os.Signal, 1), ended: make(chan struct{})}
	a.setState = func(d view.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.history = append(s.history, d)
	}
	var ctx context.Context
	ctx, s.signal = context.WithCancel(context.Background())
	go func() {
		a.Run(ctx, func() <-chan os.Signal { return s.signals })
		close(s.ended)
	}()
	b.t.Cleanup(func() {
		s.signal()
		select {
		case s.signals <- syscall.SIGTERM:
		default:
		}
		<-s.ended
	})
	return s
}

func (s *signalledAgent) states() []view.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history
}

// TestDrain guards R6 and R7. After the first signal new flows go to other
// agents, also those of callers with an open connection. Work in progress ends
// with a complete answer: a feed, a request, and a ticket run whose caller
// left.
func TestDrain(t *testing.T) {
	b := newTestBalancer(t)
	u, url := newTestUpstream(t)
	s := b.startSignalledAgent(url)
	other := b.startAgent("127.0.0.1:0", url, decl.Service{})
	c := b.client()
	results := make(chan result, 2)
	ts := &testServer{t: t, client: c, base: "https://" + addrOf(b.callerConn).String()}
	text := ts.ticket()
	left, leave := context.WithCancel(t.Context())
	go ts.do(left, "POST", "/hold", strings.NewReader("x"), hdrs.Ticket, text)
	eventually(t, "ticket run started", func() bool { return u.calls.Load() == 1 })
	for _, path := range []string{"/hold", "/feeds/hold"} {
		go func() { results <- ts.do(t.Context(), "GET", path, nil) }()
	}
	eventually(t, "three requests running", func() bool { return u.calls.Load() == 3 })
	leave()
	s.signal()
	eventually(t, "drain begun", func() bool { return len(s.states()) == 1 })
	if s.serving() || !s.admission.stats().Draining {
		t.Error("want an agent that is not serving and forwards new flows")
	}
	resp, err := http.Get("http://" + s.adminAddr.String() + "/healthz")
	must(t, err)
	if resp.Body.Close(); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("/healthz during the drain: want status 503, have %d", resp.StatusCode)
	}
	eventually(t, "next request of the same caller at the other agent", func() bool {
		r := ts.do(t.Context(), "GET", "/", nil)
		return r.status == http.StatusOK && other.handler.requests.Load() > 0
	})
	end := time.After(s.limits.Minimum + 4*s.limits.Quiet)
	select {
	case <-s.ended:
		t.Fatal("agent ended while it had work")
	case <-end:
	}
	close(u.release)
	for range 2 {
		if r := <-results; r.err != nil || r.status != http.StatusOK {
			t.Errorf("request in progress: want 200, have %+v", r)
		}
	}
	select {
	case <-s.ended:
	case <-time.After(10 * time.Second):
		t.Fatal("agent did not end in 10 s without work")
	}
	if want := []view.State{view.Draining, view.Gone}; !reflect.DeepEqual(s.states(), want) {
		t.Errorf("announced states: want %v, have %v", want, s.states())
	}
	if n := s.handler.tickets.size(); n.Bytes == 0 {
		t.Errorf("ticket run whose caller left: want a stored answer, have %+v", n)
	}
}

// TestUnreadAnswer guards against an agent that exits while a slow reader still
// has its last answer in its buffers: closing the connection would discard the
// answer.
func TestUnreadAnswer(t *testing.T) {
	b := newTestBalancer(t)
	_, url := newTestUpstream(t)
	s := b.startSignalledAgent(url)
	resp, err := b.client().Get("https://" + addrOf(b.callerConn).String() + "/long")
	must(t, err)
	defer resp.Body.Close()
	s.signal()
	eventually(t, "answer sent", func() bool { return len(s.states()) == 1 && s.handler.active.Load() == 0 })
	select {
	case <-s.ended:
		t.Error("agent ended before its answer was read")
	case <-time.After(s.limits.Minimum + 4*s.limits.Quiet):
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) != 200<<10 {
		t.Errorf("want 204800 bytes, have %d, %v", len(body), err)
	}
	resp.Body.Close()
	select {
	case <-s.ended:
	case <-time.After(5 * time.Second):
		t.Error("agent did not end in 5 s after its answer was read")
	}
}

// TestLateHandshake guards against a flow that nobody serves because its
// handshake was in progress when the drain began. Its caller must be told that
// nothing was run.
func TestLateHandshake(t *testing.T) {
	b := newTestBalancer(t)
	u, url := newTestUpstream(t)
	s := b.startSignalledAgent(url)
	s.limits.Minimum = time.Minute
	s.signal()
	eventually(t, "drain begun", func() bool { return len(s.states()) == 1 })
	s.admission.setDraining(false)
	ts := &testServer{t: t, client: b.client(), base: "https://" + addrOf(b.callerConn).String()}
	want := result{status: 503, outcome: hdrs.NotRun, reason: "draining"}
	eventually(t, "answer of lateServer", func() bool { return ts.do(t.Context(), "GET", "/", nil) == want })
	if n := u.calls.Load(); n > 1 {
		t.Errorf("calls of the upstream: want at most the one before GOAWAY, have %d", n)
	}
}

// TestSecondSignal guards against a drain that ignores the second signal and
// cannot be ended by an operator.
func TestSecondSignal(t *testing.T) {
	b := newTestBalancer(t)
	u, url := newTestUpstream(t)
	s := b.startSignalledAgent(url)
	ts := &testServer{t: t, client: b.client(), base: "https://" + addrOf(b.callerConn).String()}
	feed := make(chan result, 1)
	go func() { feed <- ts.do(t.Context(), "GET", "/feeds/hold", nil) }()
	eventually(t, "feed open", func() bool { return u.calls.Load() == 1 })
	s.signal()
	eventually(t, "drain begun", func() bool { return len(s.states()) == 1 })
	s.signals <- syscall.SIGTERM
	select {
	case <-s.ended:
	case <-time.After(3 * time.Second):
		t.Fatal("agent did not end in 3 s after the second signal")
	}
	if r := <-feed; r.err == nil {
		t.Errorf("feed after an aborted drain: want an error, have %+v", r)
	}
}

// TestEarlySignal guards against losing a signal that arrives before the agent
// has started.
func TestEarlySignal(t *testing.T) {
	b := newTestBalancer(t)
	a := b.newAgent("127.0.0.1:0", "http://127.0.0.1:1", decl.Service{})
	a.limits = drain.Limits{Quiet: time.Millisecond}
	var have []view.State
	a.setState = func(s view.State) { have = append(have, s) }
	ctx, stop := context.WithCancel(t.Context())
	stop()
	a.Run(ctx, func() <-chan os.Signal { return nil })
	if want := []view.State{view.Draining, view.Gone}; !reflect.DeepEqual(have, want) {
		t.Errorf("announced states: want %v, have %v", want, have)
	}
}

// TestUpstreamHealth checks that a healthy answer never overrides a failed
// connection attempt, and that single unhealthy answers have no effect.
func TestUpstreamHealth(t *testing.T) {
	// Letters: c connected, f connection failed, h healthy answer, u unhealthy
	// answer.
	for events, want := range map[string][2]bool{
		"":       {true, true},
		"f":      {false, false},
		"fhhh":   {false, false},
		"fc":     {true, true},
		"uu":     {true, true},
		"uuhuu":  {true, true},
		"uuu":    {true, false},
		"uuuh":   {true, true},
		"uuucc":  {true, false},
		"uuufch": {true, true},
	} {
		var h upstreamHealth
		for _, e := range events {
			switch e {
			case 'c':
				h.recordDial(nil)
			case 'f':
				h.recordDial(http.ErrServerClosed)
			default:
				h.recordAnswer(e == 'h')
			}
		}
		if have := [2]bool{h.reachable(), h.healthy()}; have != want {
			t.Errorf("%q: want reachable and good %v, have %v", events, want, have)
		}
	}
}

// TestSlowStart checks the number of usable slots during a slow start.
func TestSlowStart(t *testing.T) {
	a := newAdmission(admissionLimits(decl.Limits{Slots: 5}.WithDefaults()), 10*time.Second)
	for seconds, want := range map[int]int{0: 1, 2: 1, 3: 2, 5: 3, 9: 4, 10: 5, 60: 5} {
		if have := a.effectiveLimits(a.started.Add(time.Duration(seconds) * time.Second)).Slots; have != want {
			t.Errorf("slots after %d s: want %d, have %d", seconds, want, have)
		}
	}
}
