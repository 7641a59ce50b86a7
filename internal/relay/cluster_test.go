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

// cluster runs several balancers in one process with an in-memory platform.
type cluster struct {
	t        *testing.T
	store    *store.Store
	platform *plat.Client
	url      string
	keysFile string
	peers    []string
}

func newCluster(t *testing.T) *cluster {
	cl := &cluster{t: t, store: store.New(), keysFile: filepath.Join(t.TempDir(), "keys.json")}
	srv := httptest.NewServer(cl.store)
	t.Cleanup(srv.Close)
	cl.url = srv.URL
	cl.platform = plat.New(srv.URL, time.Second)
	if err := os.WriteFile(cl.keysFile, certs.KeysFile(1), 0o600); err != nil {
		t.Fatal(err)
	}
	return cl
}

// eventually polls until ok returns true and returns the time that it took. It
// fails the test after limit.
func (cl *cluster) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	cl.t.Helper()
	for begin := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		if ok() {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			cl.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// running is a running balancer. Its drain begins with stop; a signal ends the
// drain at once.
type running struct {
	*Balancer
	stop   context.CancelFunc
	signal chan os.Signal
	ended  chan struct{}
}

// balancer starts a balancer that has the earlier ones as peers.
func (cl *cluster) balancer() *running {
	cl.t.Helper()
	n := len(cl.peers) + 1
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cl.t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	b, err := New(&config.Balancer{
		Name: fmt.Sprint("b", n), Place: "recife", CallerIP: fmt.Sprintf("127.0.7.%d", n),
		HopAddress: "127.0.0.1:0", PeerAddress: addr, AdminAddress: "127.0.0.1:0",
		ConfigName: "main", Peers: cl.peers, AgentNetworks: []string{"127.0.0.0/8"}, KeysFile: cl.keysFile,
		Platform: config.Platform{URL: cl.url, RequestTimeoutMillis: 1000},
	}, proc.New("balancer", "test", io.Discard))
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.peers = append(cl.peers, addr)
	ctx, cancel := context.WithCancel(cl.t.Context())
	r := &running{b, cancel, make(chan os.Signal, 1), make(chan struct{})}
	go func() {
		r.Run(ctx, func() <-chan os.Signal { return r.signal })
		close(r.ended)
	}()
	cl.t.Cleanup(func() {
		cancel()
		r.signal <- os.Interrupt
		<-r.ended
	})
	return r
}

// fakeAgent answers probes and keeps sessions with balancers as an agent does.
type fakeAgent struct {
	key view.Key
	// kill ends the agent. freeze stops only its answers to probes; its sessions
	// stay open.
	kill, freeze func()
	// unreachable makes the agent ignore probes while set.
	unreachable atomic.Bool
}

func (cl *cluster) agent(b *running) *fakeAgent { return cl.agentAt(b, "recife") }

func (cl *cluster) agentAt(b *running, place ident.PlaceName) *fakeAgent {
	cl.t.Helper()
	a := &fakeAgent{}
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		cl.t.Fatal(err)
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
			if _, reason := h.Parse(keys, buf[:n]); reason != encap.FaultNone || h.Kind != encap.Probe || a.unreachable.Load() {
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
		Seeds: cl.peers,
	})
	ctx, cancel := context.WithCancel(cl.t.Context())
	go p.Run(ctx)
	kill := func() {
		cancel()
		c.Close()
	}
	a.key, a.kill, a.freeze = k, kill, func() { c.Close() }
	return a
}

// put writes a configuration to the platform.
func (cl *cluster) put(generation ident.Generation, port int) {
	cl.t.Helper()
	_, err := cl.platform.PutOnce(cl.t.Context(), plat.KindConfig, "main", func(_ plat.Object, writer string) (any, error) {
		return configJSON(writer, generation, port), nil
	})
	if err != nil {
		cl.t.Fatal(err)
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

// usable returns the number of endpoints in the routing table.
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
