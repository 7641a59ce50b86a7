package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// site is a set of balancers in one process with a platform stand-in.
type site struct {
	t        *testing.T
	store    *store.Store
	platform *plat.Client
	url      string
	keysFile string
	peers    []string
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: store.New(), keysFile: filepath.Join(t.TempDir(), "keys.json")}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.url = srv.URL
	s.platform = plat.New(srv.URL, time.Second)
	if err := os.WriteFile(s.keysFile, certs.KeysFile(1), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *site) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	for begin := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		if ok() {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// running is a balancer whose drain begins with stop.
type running struct {
	*Balancer
	stop   context.CancelFunc
	signal chan os.Signal
	ended  chan struct{}
}

func (s *site) balancer() *running {
	s.t.Helper()
	n := len(s.peers) + 1
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	b, err := New(&config.Balancer{
		Name: fmt.Sprint("b", n), Place: "recife", CallerIP: fmt.Sprintf("127.0.7.%d", n),
		HopAddress: "127.0.0.1:0", PeerAddress: addr, AdminAddress: "127.0.0.1:0",
		ConfigName: "main", Peers: s.peers, AgentNetworks: []string{"127.0.0.0/8"}, KeysFile: s.keysFile,
		Platform: config.Platform{URL: s.url, RequestTimeoutMillis: 1000},
	}, proc.New("balancer", "test", io.Discard))
	if err != nil {
		s.t.Fatal(err)
	}
	s.peers = append(s.peers, addr)
	ctx, cancel := context.WithCancel(s.t.Context())
	r := &running{b, cancel, make(chan os.Signal, 1), make(chan struct{})}
	go func() {
		r.Run(ctx, func() <-chan os.Signal { return r.signal })
		close(r.ended)
	}()
	s.t.Cleanup(func() {
		cancel()
		r.signal <- os.Interrupt
		<-r.ended
	})
	return r
}

// fakeAgent answers probes and keeps sessions, as the agent does.
type fakeAgent struct {
	key view.Key
	// kill ends the agent; freeze leaves its sessions open.
	kill, freeze func()
	// apart makes the agent ignore probes.
	apart atomic.Bool
}

func (s *site) agent(b *running) *fakeAgent { return s.agentAt(b, "recife") }

func (s *site) agentAt(b *running, place ident.PlaceName) *fakeAgent {
	s.t.Helper()
	a := &fakeAgent{}
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		s.t.Fatal(err)
	}
	k := view.Key{Hop: c.LocalAddr().(*net.UDPAddr).AddrPort(), Instance: ident.NewInstance()}
	keys := b.keys.Load()
	go func() {
		var buf [2048]byte
		for {
			n, from, err := c.ReadFromUDPAddrPort(buf[:])
			if err != nil {
				return
			}
			var h encap.Header
			if _, fault := h.Parse(keys, buf[:n]); fault != encap.FaultNone || h.Kind != encap.Probe || a.apart.Load() {
				continue
			}
			h = encap.Header{Kind: encap.ProbeAnswer, Service: ident.TagOf("listas"), Instance: k.Instance}
			p := make([]byte, h.Size()+1)
			h.Put(keys.Current, p)
			c.WriteToUDPAddrPort(p, from)
		}
	}()
	p := peer.NewClient(peer.ClientOptions{
		Self:  view.Entry{Key: k, State: view.Serving, Service: "listas", Place: place},
		Seeds: s.peers,
	})
	ctx, cancel := context.WithCancel(s.t.Context())
	go p.Run(ctx)
	kill := func() {
		cancel()
		c.Close()
	}
	a.key, a.kill, a.freeze = k, kill, func() { c.Close() }
	return a
}

func (s *site) put(generation ident.Generation, port int) {
	s.t.Helper()
	_, err := s.platform.PutOnce(s.t.Context(), plat.KindConfig, "main", func(_ plat.Object, writer string) (any, error) {
		return configJSON(writer, generation, port), nil
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func configJSON(writer string, generation ident.Generation, port int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"generation": %d, "writer": %q, "declaration": {"name": "main",
		"places": [{"name": "recife", "region": "nordeste"}, {"name": "fortaleza", "region": "nordeste"},
			{"name": "namur-a", "region": "wallonia"}],
		"services": [{"name": "listas", "address": "127.0.0.1:%d", "limits": {}}]}}`, generation, writer, port))
}

func (r *running) generation() ident.Generation {
	if c := r.conf.Load(); c != nil {
		return c.Generation
	}
	return 0
}

func (r *running) usable() int { return r.table.Load().Len(ident.TagOf("listas")) }

// each reports whether the condition holds for all balancers.
func each(bs []*running, ok func(*running) bool) func() bool {
	return func() bool {
		for _, b := range bs {
			if !ok(b) {
				return false
			}
		}
		return true
	}
}
