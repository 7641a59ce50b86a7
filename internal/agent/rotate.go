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
	// moveSpread is the time over which agents move their callers after a change
	// of the current key, so that not all callers reconnect at once.
	moveSpread = 30 * time.Second
	// keyTick is how often the current key is compared.
	keyTick = 500 * time.Millisecond
)

// server is the HTTP/3 server of the flows that began under one current key.
type server struct {
	*http3.Server
	key  uint8
	stop sync.Once
}

// leave sends GOAWAY on all connections and waits until their requests end.
// Connections that come later are not served.
func (s *server) leave() { s.stop.Do(func() { s.Shutdown(context.Background()) }) }

// servers holds the HTTP/3 servers. New flows belong to the current one, which
// is replaced when the current key of the keys file changes: the connection IDs
// of a flow stay under the key of its start, so its caller must move to a new
// flow before that key is dropped.
type servers struct {
	make func() *http3.Server
	// wait returns the time from a change of the key to the move.
	wait func() time.Duration

	mu      sync.Mutex
	current *server
	// retired are servers before the current one; they are left after a wait.
	retired map[*server]bool
	// closing is true once the drain has begun; no server is replaced then.
	closing bool
	// open counts the open flows by the key of their start.
	open map[uint8]int
}

func newServers(key uint8, build func() *http3.Server) *servers {
	return &servers{
		make:    build,
		wait:    func() time.Duration { return rand.N(moveSpread) },
		current: &server{Server: build(), key: key},
		retired: map[*server]bool{},
		open:    map[uint8]int{},
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

// byKey returns the number of open flows by the key of their start. Keys
// without a flow are reported as 0 until the process ends.
func (s *servers) byKey() map[uint8]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[uint8]int{s.current.key: 0}
	for k, n := range s.open {
		m[k] = n
	}
	return m
}

// replace retires the current server and returns it, or nil if the drain has begun.
func (s *servers) replace(key uint8) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	old := s.current
	s.retired[old] = true
	s.current = &server{Server: s.make(), key: key}
	return old
}

// move makes the callers of a retired server move after the wait. The server
// stays known until its requests have ended, so that closeAll reaches it.
func (s *servers) move(ctx context.Context, old *server) {
	select {
	case <-time.After(s.wait()):
	case <-ctx.Done():
		return
	}
	old.leave()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.retired, old)
}

// all returns the servers that exist.
func (s *servers) all() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []*server{s.current}
	for o := range s.retired {
		l = append(l, o)
	}
	return l
}

// leaveAll makes the callers of all servers move; it is the start of a drain.
func (s *servers) leaveAll() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, v := range s.all() {
		go v.leave()
	}
}

func (s *servers) closeAll() {
	for _, v := range s.all() {
		v.Close()
	}
}

// followKey replaces the server when the current key has changed. It waits for
// the second tick with the new key: a flow whose ID was made just before the
// change must not be counted under the new key.
func (a *Agent) followKey(ctx context.Context) error {
	t := time.NewTicker(keyTick)
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
		a.reportKeys()
		if seen == have || seen != last {
			continue
		}
		if old := a.servers.replace(seen); old != nil {
			a.frame.Log.WithField("from", have).WithField("to", seen).Info("callers move to the new key")
			go a.servers.move(ctx, old)
		}
		have = seen
	}
}

// newServer returns an HTTP/3 server of the handler.
func (a *Agent) newServer() *http3.Server {
	return &http3.Server{
		Handler:        a.handler,
		MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout:    emptyTimeout,
		TLSConfig:      a.tls,
	}
}

func (a *Agent) newLateServer() *http3.Server {
	return &http3.Server{
		Handler:        http.HandlerFunc(a.refuseLate),
		MaxHeaderBytes: maxHeaderBytes,
		// Without it a late flow could stay under a key that is to be dropped.
		IdleTimeout: emptyTimeout,
	}
}

// reportKeys sets the gauges of open flows by key.
func (a *Agent) reportKeys() {
	for k, n := range a.servers.byKey() {
		tags := map[string]string{"key": strconv.Itoa(int(k))}
		a.frame.Scope.Tagged(tags).Gauge("connections_by_key").Update(float64(n))
	}
}
