package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/relay"
	"github.com/bramleycourse/bramleycourse/internal/store"
)

// Processes measures balancer processes. The platform and the agents are simulated
// in this process.
type Processes struct {
	Balancers int
	// Agents is the number of agents with sessions, Listed that of endpoints that
	// have only a platform object. Both answer probes.
	Agents, Listed int
	Services       int
	// Joining is the number of agents that start at the same time at the end.
	Joining int
	// Window is the length of the idle measurement.
	Window time.Duration
}

// cluster is a set of running balancer processes with a simulated platform and
// simulated agents.
type cluster struct {
	Processes
	run       string
	report    Report
	addrs     addresses
	dir       string
	url       string
	store     *store.Store
	client    *plat.Client
	keys      *connid.Set
	keysFile  string
	balancers []*balancer
	agents    []*agent
	// probes counts the probes answered by all agents and listed endpoints.
	probes atomic.Uint64
}

// Run starts the cluster, takes all measurements and stops it.
func (p Processes) Run(ctx context.Context, report Report) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := &cluster{
		Processes: p, report: report, addrs: newAddresses(), dir: dir, store: store.New(),
		run: fmt.Sprintf("processes balancers=%d agents=%d listed=%d services=%d", p.Balancers, p.Agents, p.Listed, p.Services),
	}
	srv := httptest.NewServer(s.store)
	defer srv.Close()
	defer srv.CloseClientConnections()
	s.url = srv.URL
	s.client = plat.New(srv.URL, waitTimeout)
	if err := s.loadKeys(); err != nil {
		return err
	}
	defer s.stopBalancers()
	for _, f := range []func(context.Context) error{s.start, s.measureIdle, s.measureJoins, s.measureConfig, s.measureMassJoin} {
		if err := f(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *cluster) loadKeys() error {
	s.keysFile = s.dir + "/keys.json"
	if err := os.WriteFile(s.keysFile, certs.KeysFile(1), 0o600); err != nil {
		return err
	}
	k, err := config.NewKeySource(s.keysFile, proc.New("slope", "slope", os.Stderr).Log)
	if err != nil {
		return err
	}
	s.keys = k.Load()
	return nil
}

func (s *cluster) stopBalancers() {
	for _, b := range s.balancers {
		b.kill()
	}
}

func (s *cluster) start(ctx context.Context) error {
	if err := s.applyConfig(ctx, 1); err != nil {
		return err
	}
	for i := range s.Listed {
		if err := s.addListed(ctx, s.Agents+i); err != nil {
			return err
		}
	}
	for range s.Balancers {
		if err := s.startBalancer(); err != nil {
			return err
		}
	}
	for i := range s.Agents {
		if err := s.startAgent(ctx, i); err != nil {
			return err
		}
	}
	return s.waitUsable(ctx, s.Agents+s.Listed, pollSlow*5)
}

// waitUsable waits until every balancer lists all balancers and at least the given
// number of usable endpoints.
func (s *cluster) waitUsable(ctx context.Context, endpoints int, poll time.Duration) error {
	done := 0
	err := waitUntil(ctx, poll, "all balancers and endpoints in all views", func() bool {
		for ; done < len(s.balancers); done++ {
			st, err := s.balancers[done].state()
			if err != nil || len(st.Balancers) != len(s.balancers) || usable(st) < endpoints {
				return false
			}
		}
		return true
	})
	return err
}

// usable returns the number of usable endpoints.
func usable(st relay.State) int {
	n := 0
	for _, e := range st.Endpoints {
		if e.Usable {
			n++
		}
	}
	return n
}

// applyConfig writes a configuration to the platform, like the apply command.
func (s *cluster) applyConfig(ctx context.Context, g ident.Generation) error {
	_, err := s.client.PutOnce(ctx, plat.KindConfig, configName, func(_ plat.Object, writer string) (any, error) {
		return configValue(g, s.Services, writer)
	})
	return err
}

// addListed adds an endpoint that answers probes but has only a platform object.
func (s *cluster) addListed(ctx context.Context, i int) error {
	e := s.addrs.entry(i, s.Services)
	if err := s.answerProbes(ctx, e); err != nil {
		return err
	}
	_, err := s.client.Put(ctx, plat.KindEndpoint, fmt.Sprintf("e%d", i), e, 0)
	return err
}

// sample is a state dump of one balancer.
type sample struct{ state relay.State }

// samples returns the state dumps of all balancers.
func (s *cluster) samples() ([]sample, error) {
	var ss []sample
	for _, b := range s.balancers {
		st, err := b.state()
		if err != nil {
			return nil, err
		}
		ss = append(ss, sample{state: st})
	}
	return ss, nil
}

// measureIdle measures a window without changes. The state dumps are taken outside of
// the window for CPU time, because they cost far more than what is measured.
func (s *cluster) measureIdle(ctx context.Context) error {
	sleep(ctx, 2*time.Second)
	before, err := s.samples()
	if err != nil {
		return err
	}
	sleep(ctx, time.Second)
	calls, probes, begin := s.store.Counts(), s.probes.Load(), time.Now()
	cpu := s.cpuTime()
	sleep(ctx, s.Window)
	cpu = s.cpuTime() - cpu
	window := time.Since(begin)
	probes = s.probes.Load() - probes
	count := float64(len(s.balancers))
	for k, n := range s.store.Counts() {
		s.report.add(s.run, "platform "+k+" calls/s in all", float64(n-calls[k])/window.Seconds())
	}
	after, err := s.samples()
	if err != nil {
		return err
	}
	s.reportTraffic(before, after, window+time.Second)
	s.report.add(s.run, "probes/s per balancer", float64(probes)/window.Seconds()/count)
	s.report.add(s.run, "CPU ms/s per balancer", 1e3*cpu.Seconds()/window.Seconds()/count)
	s.report.add(s.run, "resident MiB per balancer", s.residentBytes()/count/(1<<20))
	return nil
}

// reportTraffic reports the session traffic between two lists of samples of the same
// balancers, in the same order.
func (s *cluster) reportTraffic(before, after []sample, took time.Duration) {
	a := peer.Traffic{Sent: map[string]uint64{}, Received: map[string]uint64{}}
	b := peer.Traffic{Sent: map[string]uint64{}, Received: map[string]uint64{}}
	for i := range after {
		addTraffic(&a, after[i].state.Peers.Traffic)
		addTraffic(&b, before[i].state.Peers.Traffic)
	}
	a.Sent["wire"], b.Sent["wire"] = a.WireSent, b.WireSent
	a.Received["wire"], b.Received["wire"] = a.WireReceived, b.WireReceived
	s.report.byteRates(s.run, "idle sent", b.Sent, a.Sent, len(after), took)
	s.report.byteRates(s.run, "idle received", b.Received, a.Received, len(after), took)
}

// state reads the state dump of a balancer.
func (b *balancer) state() (relay.State, error) {
	var st relay.State
	resp, err := http.Get("http://" + b.admin + "/state")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
