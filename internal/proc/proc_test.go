package proc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/bramleycourse/bramleycourse/internal/scrape/strict"
)

// buffer is a buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// start runs a frame with an admin server and returns its base URL.
func start(t *testing.T, f *Frame, state func() any) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.Admin(l, state)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return "http://" + l.Addr().String()
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// TestPanic checks that a service which panics repeatedly is restarted without a long
// delay, and that each event is logged on one line.
func TestPanic(t *testing.T) {
	var out buffer
	f := New("balancer", "b1", &out)
	runs := make(chan int, 100)
	n := 0
	f.Add("hop reader", func(ctx context.Context) error {
		n++
		runs <- n
		if n <= 2*failureThreshold {
			panic("first line\nsecond line")
		}
		<-ctx.Done()
		return ctx.Err()
	})
	start(t, f, func() any { return nil })
	limit := time.After(5 * failureBackoff)
	for have := 0; have <= 2*failureThreshold; {
		select {
		case have = <-runs:
		case <-limit:
			t.Fatalf("want %d runs, have %d", 2*failureThreshold+1, have)
		}
	}
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if !strings.HasPrefix(l, "time=") || !strings.Contains(l, "role=balancer") {
			t.Errorf("want one key=value line for each event, have %q", l)
		}
	}
	if have := out.String(); !strings.Contains(have, "level=error") || !strings.Contains(have, "second line") {
		t.Errorf("want the panic in the log, have %q", have)
	}
	p := strict.Get(t, f.Metrics())
	p.Want(t, "bramleycourse_duty_events", "event=panic,role=balancer", dto.MetricType_COUNTER, 2*failureThreshold)
	p.Want(t, "bramleycourse_duty_events", "event=stopTimeout,role=balancer", dto.MetricType_COUNTER, 0)
}

// TestAdmin checks that a state which cannot be encoded, or whose function panics, is
// an error of that request only.
func TestAdmin(t *testing.T) {
	var out buffer
	f := New("agent", "listas", &out)
	var state atomic.Value
	url := start(t, f, func() any { return state.Load().(func() any)() })
	state.Store(func() any { return math.NaN() })
	if code, _ := get(t, url+"/state"); code != http.StatusInternalServerError {
		t.Errorf("want status 500 for a state that cannot be encoded, have %d", code)
	}
	state.Store(func() any { panic("state") })
	if resp, err := http.Get(url + "/state"); err == nil {
		t.Errorf("want no response when the state function panics, have %s", resp.Status)
		resp.Body.Close()
	}
	state.Store(func() any { return map[string]int{"generation": 3} })
	if code, b := get(t, url+"/state"); code != http.StatusOK || !strings.Contains(b, `"generation": 3`) {
		t.Errorf("want the state, have %d %q", code, b)
	}
	if _, b := get(t, url+"/process"); !strings.Contains(b, `"name": "listas"`) {
		t.Errorf("want the identity, have %q", b)
	}
	have := out.String()
	if strings.Count(have, "\n") != strings.Count(have, "time=") || !strings.Contains(have, "panic serving") {
		t.Errorf("want the panic in the log and one line for each event, have %q", have)
	}
}

// TestHealth checks that the health check fails as soon as a drain begins.
func TestHealth(t *testing.T) {
	f := New("balancer", "b1", io.Discard)
	url := start(t, f, func() any { return nil })
	if code, b := get(t, url+"/healthz"); code != http.StatusOK || b != "ok\n" {
		t.Errorf("before the drain: want 200 ok, have %d %q", code, b)
	}
	f.Draining()
	if code, b := get(t, url+"/healthz"); code != http.StatusServiceUnavailable || b != "draining\n" {
		t.Errorf("during the drain: want 503 draining, have %d %q", code, b)
	}
}

// TestLevel guards against a misspelled log level that is accepted and hides lines.
func TestLevel(t *testing.T) {
	var out buffer
	f := New("agent", "listas", &out)
	var bad *LevelError
	if err := f.SetLevel("loud"); !errors.As(err, &bad) || bad.Level != "loud" {
		t.Errorf("want a LevelError, have %v", err)
	}
	if err := f.SetLevel("warn"); err != nil {
		t.Fatal(err)
	}
	f.Log.Info("hidden")
	f.Log.Warn("shown")
	if have := out.String(); strings.Contains(have, "hidden") || !strings.Contains(have, "shown") {
		t.Errorf("want only the warning, have %q", have)
	}
}
