package demo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/agent"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/relay"
	"github.com/bramleycourse/bramleycourse/internal/stub"
)

const (
	peerPort = 7001
	// workTime is how long a short request holds a slot.
	workTime = 10 * time.Millisecond
)

// member is a balancer or an agent that runs in this process.
type member struct {
	name string
	// drain begins the drain; a value in cut ends it at once.
	drain func()
	cut   chan os.Signal
	// done is closed when the member has ended; err is set before.
	done chan struct{}
	err  error
}

// run starts a member in the way that its command does.
func run(name string, main func(context.Context, func() <-chan os.Signal) error) *member {
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{name: name, drain: cancel, cut: make(chan os.Signal, 1), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		if err := main(ctx, func() <-chan os.Signal { return m.cut }); ctx.Err() == nil {
			m.err = errors.Annotatef(err, "%s ended without being told", name)
		}
	}()
	return m
}

// kill ends the member without waiting for its work.
func (m *member) kill() {
	select {
	case m.cut <- syscall.SIGTERM:
	default:
	}
	m.drain()
	<-m.done
}

// drained waits for the end of the member's drain.
func (m *member) drained(ctx context.Context, limit time.Duration) error {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-m.done:
		return m.err
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return fmt.Errorf("%s has not drained within %v", m.name, limit)
	}
}

// balancer is a balancer with the IP that it binds.
type balancer struct {
	*member
	ip    netip.Addr
	relay *relay.Balancer
}

func (s *site) startBalancer(name, place string, peers []*balancer) (*balancer, error) {
	ip := s.nextIP()
	free := netip.AddrPortFrom(ip, 0).String()
	c := &config.Balancer{
		Name: name, Place: place, CallerIP: ip.String(),
		HopAddress: free, AdminAddress: free,
		PeerAddress:   netip.AddrPortFrom(ip, peerPort).String(),
		ConfigName:    configName,
		AgentNetworks: []string{"127.0.0.0/8"},
		KeysFile:      s.keysFile,
		Platform:      s.platform,
		Peers:         peerAddresses(peers),
	}
	b, err := relay.New(c, proc.New("balancer", name, s.log))
	if err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	return &balancer{run(name, b.Run), ip, b}, nil
}

func peerAddresses(bs []*balancer) []string {
	var as []string
	for _, b := range bs {
		as = append(as, netip.AddrPortFrom(b.ip, peerPort).String())
	}
	return as
}

// configured says whether the balancer can forward.
func (b *balancer) configured() bool { return b.relay.State().Configuration != nil }

// uses says whether the balancer sends new flows to all the given agents.
func (b *balancer) uses(as []*upstream) bool {
	usable := map[string]bool{}
	for _, e := range b.relay.State().Endpoints {
		if e.Usable {
			usable[e.Key.Endpoint().String()] = true
		}
	}
	for _, a := range as {
		if !usable[a.agent.State().Endpoint] {
			return false
		}
	}
	return true
}

// upstream is an upstream stand-in with its agent.
type upstream struct {
	*member
	service string
	place   string
	url     string
	stub    *stub.Upstream
	agent   *agent.Agent
}

// newUpstream starts only the stand-in.
func (s *site) newUpstream(service, place string) (*upstream, error) {
	u := &upstream{service: service, place: place, stub: stub.New(service, workTime)}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(s.nextIP(), 0).String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.serve(l, u.stub)
	u.url = "http://" + l.Addr().String()
	return u, nil
}

// startAgent starts the agent beside an upstream.
func (s *site) startAgent(u *upstream, bs []*balancer) error {
	free := netip.AddrPortFrom(netip.MustParseAddrPort(u.url[len("http://"):]).Addr(), 0).String()
	c := &config.Agent{
		Service: u.service, Place: u.place,
		HopAddress: free, AdminAddress: free, Upstream: u.url, HealthPath: "/healthz",
		CertFile: s.certFile, KeyFile: s.keyFile, KeysFile: s.keysFile,
		Platform:    s.platform,
		ReplyPolicy: config.ReplyPerCaller,
		Balancers:   peerAddresses(bs),
	}
	name := fmt.Sprintf("%s at %s", u.service, u.url)
	a, err := agent.New(c, proc.New("agent", u.service, s.log))
	if err != nil {
		return errors.Annotatef(err, "starting the agent of %s", name)
	}
	u.agent = a
	u.member = run(name, a.Run)
	return nil
}
