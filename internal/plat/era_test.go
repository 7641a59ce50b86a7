package plat_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/store"
)

// eraStore is a store that names an era, and counts the requests that reach it.
type eraStore struct {
	*store.Store
	era, requests atomic.Uint64
}

func (s *eraStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if e := s.era.Load(); e > 0 {
		w.Header().Set("Era", strconv.FormatUint(e, 10))
	}
	s.Store.ServeHTTP(w, r)
}

func headerEra(h http.Header) plat.Era {
	n, _ := strconv.ParseUint(h.Get("Era"), 10, 64)
	return plat.Era(n)
}

func newEraStore(t *testing.T, wrap func(http.Handler) http.Handler) (*eraStore, *plat.Client) {
	s := &eraStore{Store: store.New()}
	s.era.Store(4)
	server := httptest.NewServer(wrap(s))
	t.Cleanup(server.Close)
	return s, plat.New(server.URL, time.Second, plat.WithWire(plat.DefaultWire(headerEra)))
}

func same(h http.Handler) http.Handler { return h }

func wantEraError(t *testing.T, what string, err error, expected, found plat.Era) {
	t.Helper()
	var other *plat.EraError
	if !errors.As(err, &other) || other.Expected != expected || other.Found != found {
		t.Errorf("%s: want an error about eras %d and %d, have %v", what, expected, found, err)
	}
}

// TestEarlierVersions guards objects against calls with versions of an earlier era: such a
// call is not sent once the era is known, and its answer does not count before.
func TestEarlierVersions(t *testing.T) {
	s, c := newEraStore(t, same)
	ctx := t.Context()
	o, err := c.Ensure(ctx, plat.KindEndpoint, "a", 1)
	if err != nil || o.Era != 4 {
		t.Fatalf("have %+v, %v", o, err)
	}
	s.era.Store(5)
	_, err = c.Watch(ctx, plat.KindEndpoint, o.Version, time.Millisecond, plat.InEra(o.Era))
	wantEraError(t, "an answer", err, 4, 5)
	sent := s.requests.Load()
	_, err = c.Watch(ctx, plat.KindEndpoint, o.Version, time.Millisecond, plat.InEra(o.Era))
	wantEraError(t, "watch", err, 4, 5)
	wantEraError(t, "delete", c.Delete(ctx, plat.KindEndpoint, "a", o.Version, plat.InEra(o.Era)), 4, 5)
	c.NoteEra(7)
	wantEraError(t, "told by another process", c.Delete(ctx, plat.KindEndpoint, "a", o.Version, plat.InEra(5)), 5, 7)
	if n := s.requests.Load() - sent; n != 0 {
		t.Errorf("%d calls were sent", n)
	}
}

// TestLateAnswerOfEra guards what is known of a new era against an answer of an earlier one
// that arrives late, and a list against pages of different eras.
func TestLateAnswerOfEra(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	var slow atomic.Bool
	s, c := newEraStore(t, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !slow.CompareAndSwap(true, false) {
				h.ServeHTTP(w, r)
				return
			}
			late := httptest.NewRecorder()
			h.ServeHTTP(late, r)
			close(held)
			<-release
			w.Header().Set("Era", late.Header().Get("Era"))
			_, _ = w.Write(late.Body.Bytes())
		})
	})
	slow.Store(true)
	late := make(chan error)
	go func() {
		_, err := c.List(t.Context(), plat.KindConfig)
		late <- err
	}()
	<-held
	s.era.Store(5)
	rose := c.EraAfter(4)
	if _, err := c.List(t.Context(), plat.KindConfig); err != nil {
		t.Error(err)
	}
	<-rose
	close(release)
	wantEraError(t, "late", <-late, 5, 4)
	if e := c.Era(); e != 5 {
		t.Errorf("era %d after the late answer", e)
	}
}

// TestPutOnceAcrossEras guards an object of a new era against the repetition of a write that
// got no answer: the object has the version that the write expects by chance.
func TestPutOnceAcrossEras(t *testing.T) {
	var s *eraStore
	s, c := newEraStore(t, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && s.era.CompareAndSwap(4, 5) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			h.ServeHTTP(w, r)
		})
	})
	s.era.Store(3) // The first write passes.
	if _, err := c.Ensure(t.Context(), plat.KindConfig, "main", map[string]int{"a": 1}); err != nil {
		t.Fatal(err)
	}
	s.era.Store(4)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := c.PutOnce(ctx, plat.KindConfig, "main", func(_ plat.Object, writer string) (any, error) {
		return map[string]string{"writer": writer}, nil
	})
	var outcome *plat.OutcomeError
	if !errors.As(err, &outcome) || ctx.Err() != nil {
		t.Errorf("want an unknown outcome, have %v", err)
	}
	if o, err := c.Get(t.Context(), plat.KindConfig, "main"); err != nil || string(o.Value) != `{"a":1}` || o.Era != 5 {
		t.Errorf("have %s in era %d, %v", o.Value, o.Era, err)
	}
}

// TestNoEra guards platforms without eras, and answers that name none.
func TestNoEra(t *testing.T) {
	s, c := newEraStore(t, same)
	s.era.Store(0)
	for n := range 2 {
		o, err := c.Ensure(t.Context(), plat.KindEndpoint, fmt.Sprint(n), n)
		if err != nil || o.Era != 0 || c.Era() != 0 {
			t.Errorf("have %+v, %v", o, err)
		}
		if err := c.Delete(t.Context(), plat.KindEndpoint, fmt.Sprint(n), o.Version, plat.InEra(o.Era)); err != nil {
			t.Error(err)
		}
	}
	c.NoteEra(3)
	if l, err := c.List(t.Context(), plat.KindEndpoint); err != nil || l.Era != 3 {
		t.Errorf("have era %d, %v", l.Era, err)
	}
}
