package itest

import (
	"fmt"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/relay"
	"github.com/bramleycourse/bramleycourse/pkg/caller"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// readyTimeout bounds the start of a cluster; it leaves time for a busy machine.
const readyTimeout = 20 * time.Second

// Declaration returns a declaration of two places and the named services, with the
// given number of slots for each upstream. Paths under /feeds/ are streaming paths.
func Declaration(slots int, services ...string) *decl.Declaration {
	d := &decl.Declaration{
		Name:   "main",
		Places: []decl.Place{{Name: "recife", Region: "nordeste"}, {Name: "fortaleza", Region: "nordeste"}},
	}
	for i, name := range services {
		d.Services = append(d.Services, decl.Service{
			Name:        name,
			Address:     fmt.Sprintf("127.0.0.1:%d", 24431+i),
			StreamPaths: []string{"/feeds/"},
			Limits:      decl.Limits{Slots: slots},
		})
	}
	return d
}

// places are the names of the places of Declaration; processes are started in them
// in turn.
var places = []string{"recife", "fortaleza"}

// Deployment is a cluster with the balancers and agents that are in service.
type Deployment struct {
	*Cluster
	// Balancers are the balancers that the fabrics spray packets over.
	Balancers []*Process
	// Agents holds the agents of each service that have not been removed.
	Agents map[string][]*Process

	// started counts the balancers and agents started so far.
	started int
}

// NewDeployment starts the given numbers of balancers and of agents of each service,
// and waits until every balancer can use every agent.
func NewDeployment(c *Cluster, d *decl.Declaration, balancers int, agents map[string]int) *Deployment {
	c.T.Helper()
	c.Apply(d)
	c.StartFabric(1)
	s := &Deployment{Cluster: c, Agents: map[string][]*Process{}}
	for range balancers {
		s.AddBalancer()
	}
	for _, v := range d.Services {
		for range agents[v.Name] {
			s.AddAgent(v.Name, time.Millisecond)
		}
	}
	s.WaitReady()
	return s
}

// AddBalancer starts a balancer and adds it to the targets of the fabrics.
func (s *Deployment) AddBalancer(change ...func(*config.Balancer)) *Process {
	s.T.Helper()
	s.started++
	b := s.StartBalancer(fmt.Sprintf("b%d", s.started), places[s.started%len(places)], change...)
	s.waitConfigured(b)
	s.Balancers = append(s.Balancers, b)
	s.SetFabricTargets(s.Balancers...)
	return b
}

// waitConfigured waits until a balancer has a configuration. A real fabric does not
// send packets to a new VM before that.
func (s *Deployment) waitConfigured(b *Process) {
	s.T.Helper()
	s.Eventually(readyTimeout, b.Name+" has a configuration", func() bool {
		var st relay.State
		return b.State(&st) == nil && st.Configuration != nil
	})
}

// AddAgent starts an agent in the next place.
func (s *Deployment) AddAgent(service string, work time.Duration, change ...func(*config.Agent)) *Process {
	s.T.Helper()
	s.started++
	a := s.StartAgent(fmt.Sprintf("%s%d", service, s.started), service, places[s.started%len(places)], work, change...)
	s.Agents[service] = append(s.Agents[service], a)
	return a
}

// RemoveBalancer removes a balancer from the targets of the fabrics; it does not
// stop it.
func (s *Deployment) RemoveBalancer(p *Process) {
	s.Balancers = without(s.Balancers, p)
	s.SetFabricTargets(s.Balancers...)
}

// RemoveAgent removes an agent from the deployment; it does not stop it.
func (s *Deployment) RemoveAgent(service string, p *Process) {
	s.Agents[service] = without(s.Agents[service], p)
}

func without(ps []*Process, p *Process) []*Process {
	var kept []*Process
	for _, q := range ps {
		if q != p {
			kept = append(kept, q)
		}
	}
	return kept
}

// WaitReady waits until every balancer can use exactly the agents of the deployment.
func (s *Deployment) WaitReady() {
	s.T.Helper()
	for _, b := range s.Balancers {
		s.Eventually(readyTimeout, b.Name+" uses all agents", func() bool { return s.usesAllAgents(b) })
	}
}

func (s *Deployment) usesAllAgents(b *Process) bool {
	wanted := map[string]bool{}
	for _, as := range s.Agents {
		for _, a := range as {
			wanted[a.Hop] = true
		}
	}
	have := s.UsableAgents(b)
	if len(have) != len(wanted) {
		return false
	}
	for hop := range have {
		if !wanted[hop] {
			return false
		}
	}
	return true
}

// UsableAgents returns the hop addresses of the agents that a balancer sends new
// flows to.
func (s *Deployment) UsableAgents(b *Process) map[string]bool {
	have := map[string]bool{}
	var st relay.State
	if b.State(&st) != nil {
		return have
	}
	for _, e := range st.Endpoints {
		if e.Usable {
			have[e.Key.Hop.String()] = true
		}
	}
	return have
}

// Client returns a client of the caller library.
func (s *Deployment) Client(opts ...caller.Option) *caller.Client {
	c := caller.New(append([]caller.Option{caller.WithTLS(s.CallerTLS())}, opts...)...)
	s.T.Cleanup(func() { c.Close() })
	return c
}

// URL returns the URL of a path of a service, at the address of its fabric.
func (s *Deployment) URL(service, path string) string {
	return "https://" + s.Fabrics[service].Addr().String() + path
}

// Misrouted returns the number of requests that reached an upstream of another
// service.
func (s *Deployment) Misrouted() int {
	n := 0
	for _, as := range s.Agents {
		for _, a := range as {
			n += a.Stub.Counts().Misrouted
		}
	}
	return n
}

// plainTransport returns an HTTP/3 transport without the caller library.
func (s *Deployment) plainTransport() *http3.Transport {
	return &http3.Transport{TLSClientConfig: s.CallerTLS()}
}
