package store

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

type value struct {
	Writer string `json:"writer"`
	Count  int    `json:"count"`
}

func start(t *testing.T) (*Store, *plat.Client, string) {
	t.Helper()
	s := New()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, plat.New(srv.URL, 500*time.Millisecond), srv.URL
}

func build(count int) func(plat.Object, string) (any, error) {
	return func(_ plat.Object, writer string) (any, error) { return value{writer, count}, nil }
}

// TestLostResponses guards against a write that is reported as failed, or made twice,
// because its response was lost after it took effect.
func TestLostResponses(t *testing.T) {
	s, c, _ := start(t)
	for i := range 3 {
		s.SetFaults(Faults{LoseAnswers: i})
		v, err := c.PutOnce(t.Context(), plat.KindConfig, "main", build(i))
		if want := plat.Version(i + 1); err != nil || v != want {
			t.Fatalf("%d lost responses: want version %d, have %d, %v", i, want, v, err)
		}
	}
}

// TestLostResponseThenOtherWrite guards against reporting a write as a conflict
// although it may have taken effect before another writer replaced the object.
func TestLostResponseThenOtherWrite(t *testing.T) {
	s, c, url := start(t)
	s.SetFaults(Faults{LoseAnswers: 1})
	other := plat.New(url, time.Second)
	s.AfterLost = func() {
		if _, err := other.PutOnce(t.Context(), plat.KindConfig, "main", build(9)); err != nil {
			t.Error(err)
		}
	}
	_, err := c.PutOnce(t.Context(), plat.KindConfig, "main", build(1))
	var unknown *plat.OutcomeError
	if !errors.As(err, &unknown) || unknown.Expected != 0 || unknown.Current != 2 {
		t.Fatalf("want an unknown outcome between versions 0 and 2, have %v", err)
	}
}

// TestConcurrentWriters checks that, of several writers that read the same version,
// one succeeds and the others get a conflict with both versions.
func TestConcurrentWriters(t *testing.T) {
	_, c, _ := start(t)
	const writers = 8
	var (
		read sync.WaitGroup
		done sync.WaitGroup
		errs = make(chan error, writers)
	)
	read.Add(writers)
	for i := range writers {
		done.Go(func() {
			_, err := c.PutOnce(t.Context(), plat.KindConfig, "main", func(_ plat.Object, writer string) (any, error) {
				read.Done()
				read.Wait()
				return value{writer, i}, nil
			})
			errs <- err
		})
	}
	done.Wait()
	won := 0
	for range writers {
		err := <-errs
		var conflict *plat.ConflictError
		switch {
		case err == nil:
			won++
		case !errors.As(err, &conflict) || conflict.Expected != 0 || conflict.Current != 1:
			t.Errorf("want a conflict between versions 0 and 1, have %v", err)
		}
	}
	if won != 1 {
		t.Errorf("want one successful writer, have %d", won)
	}
}

// TestConnectionFaults checks writes through a proxy that delays or resets connections,
// and writes during an outage: a delay within the timeout does no harm, a write that
// cannot succeed ends with an error by its deadline, and a keeper writes its object
// once connections work again.
func TestConnectionFaults(t *testing.T) {
	s, _, url := start(t)
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, "platform", "127.0.0.1:0", strings.TrimPrefix(url, "http://"))
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	c := plat.New("http://"+p.Listen, 200*time.Millisecond)
	put := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := c.PutOnce(ctx, plat.KindConfig, "main", build(1))
		return err
	}
	toxic := func(kind, attributes string) func() {
		x, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
			`{"name": "x", "type": %q, "stream": "downstream", "attributes": %s}`, kind, attributes)))
		if err != nil {
			t.Fatal(err)
		}
		return func() { p.Toxics.RemoveToxic(t.Context(), x.Name) }
	}
	remove := toxic("latency", `{"latency": 50}`)
	if err := put(5 * time.Second); err != nil {
		t.Errorf("50 ms of delay: %v", err)
	}
	remove()
	k := plat.NewKeeper(c, plat.KindEndpoint, "e")
	go k.Run(t.Context())
	remove = toxic("reset_peer", `{"timeout": 0}`)
	if err := put(time.Second); err == nil {
		t.Error("want an error while connections are reset")
	}
	k.Set(func(writer string) any { return value{writer, 1} })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if k.Wait(ctx) {
		t.Error("an object was written while connections are reset")
	}
	remove()
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if !k.Wait(ctx) {
		t.Error("the object was not written after the resets ended")
	}
	if l, err := plat.New(url, time.Second).List(t.Context(), plat.KindEndpoint); err != nil || len(l.Objects) != 1 {
		t.Errorf("want one object, have %v, %v", l.Objects, err)
	}
	s.SetFaults(Faults{Outage: true})
	begin := time.Now()
	if err := put(300 * time.Millisecond); err == nil || time.Since(begin) > 2*time.Second {
		t.Errorf("want an error soon during an outage, have %v after %v", err, time.Since(begin))
	}
}

// TestOutageEndsWatches guards against pending watches that an outage does not end:
// the clients would notice the outage only after the wait time.
func TestOutageEndsWatches(t *testing.T) {
	s, c, _ := start(t)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(t.Context(), plat.KindConfig, 0, 30*time.Second)
		ended <- err
	}()
	for begin := time.Now(); s.Counts()["watch"] == 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the watch did not arrive")
		}
	}
	s.SetFaults(Faults{Outage: true})
	select {
	case err := <-ended:
		if err == nil {
			t.Error("want an error of the watch")
		}
	case <-time.After(2 * time.Second):
		t.Error("the watch is still pending 2 s after the outage began")
	}
}
