package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quic-go/quic-go/http3"
)

const (
	// maxMoveDelay is the time over which agents spread the moves of their
	// callers after a change of the current key, so that callers do not all
	// reconnect at once.
	maxMoveDelay = 30 * time.Second
	// keyCheckInterval is how often the agent checks for a new current key.
	keyCheckInterval = 500 * time.Millisecond
)

// server is the HTTP/3 server of the flows that were opened under one current
// key.
type server struct {
	*http3.Server
	key       uint8
	drainOnce sync.Once
}

// drain sends GOAWAY on all connections and waits until their requests end. The
// server accepts no later connections.
func (s *server) drain() { s.drainOnce.Do(func() { s.Shutdown(context.Background()) }) }

// servers holds the HTTP/3 servers. New flows belong to the current one, which
// is replaced when the current key of the keys file changes: the connection IDs
// of a flow keep the key under which it was opened, so its caller must move to
// a new flow before that key is dropped.
type servers struct {
	build func() *http3.Server
	// moveDelay returns the time between a change of the key and the drain of
	// the old server.
	moveDelay func() time.Duration

	mu      sync.Mutex
	current *server
	// retired are the previous servers that have not finished draining.
	retired map[*server]bool
	// draining is true once the agent's drain has begun; the server is no
	// longer replaced then.
	draining bool
	// open counts the open flows by the key under which they were opened.
	open map[uint8]int
}

func newServers(key uint8, build func() *http3.Server) *servers {
	return &servers{
		build:     build,
		moveDelay: func() time.Duration { return rand.N(maxMoveDelay) },
		current:   &server{Server: build(), key: key},
		retired:   map[*server]bool{},
		open:      map[uint8]int{},
	}
}

// flowOpened counts a new flow and returns its server.
func (s *servers) flowOpened() *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[s.current.key]++
	return s.current
}

func (s *servers) flowClosed(key uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[key]--
}

// openByKey returns the number of open flows by the key under which they were
// opened. Keys whose flows have all ended are reported as 0 until the process
// ends.
func (s *servers) openByKey() map[uint8]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[uint8]int{s.current.key: 0}
	for k, n := range s.open {
		m[k] = n
	}
	return m
}

// replace retires the current server and returns it, or returns nil if the
// agent's drain has begun.
func (s *servers) replace(key uint8) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil
	}
	old := s.current
	s.retired[old] = true
	s.current = &server{Server: s.build(), key: key}
	return old
}

// drainRetired drains a retired server after moveDelay, so that its callers
// move to new flows. The server stays in retired until its requests have ended,
// so that closeAll reaches it.
func (s *servers) drainRetired(ctx context.Context, old *server) {
	select {
	case <-time.After(s.moveDelay()):
	case <-ctx.Done():
		return
	}
	old.drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.retired, old)
}

// all returns the current and the retired servers.
func (s *servers) all() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []*server{s.current}
	for o := range s.retired {
		l = append(l, o)
	}
	return l
}

// drainAll drains all servers, so that their callers move to other agents. No
// server is replaced afterwards.
func (s *servers) drainAll() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, v := range s.all() {
		go v.drain()
	}
}

func (s *servers) closeAll() {
	for _, v := range s.all() {
		v.Close()
	}
}

// watchKey replaces the server when the current key has changed. It waits for
// the second check with the new key, because a flow whose ID was generated just
// before the change must not be counted under the new key.
func (a *Agent) watchKey(ctx context.Context) error {
	t := time.NewTicker(keyCheckInterval)
	defer t.Stop()
	have := a.keys().Current.Number
	seen := have
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		last := seen
		seen = a.keys().Current.Number
		if seen == have || seen != last {
			continue
		}
		if old := a.servers.replace(seen); old != nil {
			a.process.Log.WithField("from", have).WithField("to", seen).Info("callers move to the new key")
			go a.servers.drainRetired(ctx, old)
		}
		have = seen
	}
}

// newServer returns an HTTP/3 server that uses the agent's handler.
func (a *Agent) newServer() *http3.Server {
	return &http3.Server{
		Handler:        a.handler,
		MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout:    requestlessTimeout,
		TLSConfig:      a.tls,
	}
}

func (a *Agent) newLateServer() *http3.Server {
	return &http3.Server{
		Handler:        http.HandlerFunc(a.refuseLateRequest),
		MaxHeaderBytes: maxHeaderBytes,
		// Without a timeout a late flow could keep using a key that is about to
		// be dropped.
		IdleTimeout: requestlessTimeout,
	}
}

// reportFlowsByKey sets the gauges of open flows by key.
func (a *Agent) reportFlowsByKey() {
	for k, n := range a.servers.openByKey() {
		tags := map[string]string{"key": strconv.Itoa(int(k))}
		a.process.Scope.Tagged(tags).Gauge("connections_by_key").Update(float64(n))
	}
}
