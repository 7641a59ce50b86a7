// Package relay implements the balancer, which forwards packets between callers
// and agents. It keeps its own replica of the view, the state of all endpoints
// and balancers, and builds the routing table from it.
package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/ring"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/internal/view"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// Balancer is one balancer process.
type Balancer struct {
	settings      *config.Balancer
	frame         *proc.Frame
	client        *plat.Client
	keys          *config.KeySource
	table         atomic.Pointer[route.Table]
	agentNetworks []netip.Prefix
	// hop is the socket for packets to and from agents, bound to hopAddr.
	hop     *batch.Conn
	hopAddr netip.AddrPort
	counts  counters
	pool    *batch.Pool
	// activePorts is the map of the open ports that the data path reads; the
	// map is immutable.
	activePorts atomic.Pointer[map[ident.ServiceTag]*port]
	// stats maps the hop addresses of agents to what the data path observes of
	// them; the map is immutable.
	stats    atomic.Pointer[map[netip.AddrPort]*agentStat]
	draining atomic.Bool
	// probeEvents queues probe answers from the data path to the membership.
	probeEvents *ring.Ring[probeEvent]

	// confMu serializes changes of the configuration.
	confMu sync.Mutex
	conf   atomic.Pointer[config.Accepted]
	// portsMu guards ports; it is taken after confMu.
	portsMu sync.Mutex
	ports   map[ident.ServiceTag]*port

	members *membership
	keeper  *plat.Keeper

	configInvalid, configConflicts, objectsRefused, endpointsRefused atomic.Uint64
}

// New returns a balancer that is ready to run. It binds the hop, peer and admin
// addresses of the settings.
func New(s *config.Balancer, f *proc.Frame) (*Balancer, error) {
	keys, err := config.NewKeySource(s.KeysFile, f.Log)
	if err != nil {
		return nil, errors.Annotatef(err, "keys file %s", s.KeysFile)
	}
	b := &Balancer{
		settings:    s,
		frame:       f,
		client:      plat.New(s.Platform.URL, s.Platform.Timeout()),
		keys:        keys,
		pool:        newPool(),
		probeEvents: ring.New[probeEvent](maxProbeEvents),
		ports:       map[ident.ServiceTag]*port{},
	}
	b.client.Log = f.Log
	b.table.Store(route.NewTable(nil))
	for _, n := range s.AgentNetworks {
		b.agentNetworks = append(b.agentNetworks, netip.MustParsePrefix(n))
	}
	a := netip.MustParseAddrPort(s.HopAddress)
	b.hop, err = listen(a)
	if err != nil {
		return nil, errors.Annotatef(err, "hopAddress")
	}
	b.hopAddr = b.hop.Addr()
	if err := b.initControlPlane(); err != nil {
		return nil, err
	}
	f.Add("hop reader", b.readHop)
	f.Add("keys file", keys.Run)
	f.Add("packet counters", b.reportCounts)
	return b, nil
}

// initControlPlane prepares the control plane: peer sessions, membership, admin
// server and platform watches.
func (b *Balancer) initControlPlane() error {
	s, f := b.settings, b.frame
	var mutualTLS *peer.MutualTLS
	if t := s.PeerTLS; t != nil {
		var err error
		if mutualTLS, err = peer.LoadTLS(t.CertFile, t.KeyFile, t.CAFile, f.Log); err != nil {
			return errors.Annotatef(err, "peerTLS")
		}
	}
	admin, err := net.Listen("tcp4", s.AdminAddress)
	if err != nil {
		return errors.Annotatef(err, "adminAddress")
	}
	sessions, err := net.Listen("tcp4", s.PeerAddress)
	if err != nil {
		return errors.Annotatef(err, "peerAddress")
	}
	b.keeper = plat.NewKeeper(b.client, plat.KindBalancer, s.Name)
	b.members = newMembership(b, peer.NodeOptions{
		Self: view.Entry{
			Key:   view.Key{Name: s.Name, Hop: b.hopAddr, Instance: ident.NewInstance()},
			State: view.Serving, Seq: 1,
			Place: ident.PlaceName(s.Place),
			Peer:  netip.MustParseAddrPort(s.PeerAddress),
			Admin: proc.AdminAddr(admin, b.hopAddr.Addr()),
		},
		Seeds: s.Peers, TLS: mutualTLS, Scope: f.Scope,
		OnSelf:     b.announce,
		OnConfig:   func(value []byte) { b.accept(fromPeer, value) },
		OnConflict: b.configConflict,
		OnRefused: func(addr string, err error) {
			f.Log.WithError(err).WithField("address", addr).Warn("session refused")
		},
	})
	f.Admin(admin, func() any { return b.State() })
	f.Add("peer server", func(ctx context.Context) error { return b.members.node.Serve(ctx, sessions) })
	f.Add("peer sessions", b.members.node.Run)
	f.Add("membership", b.members.run)
	f.Add("cleaner", b.members.clean)
	f.Add("announcement", b.keeper.Run)
	f.OnScrape(b.setMetrics)
	f.Add("configuration watch", b.watchConfig)
	f.Add("service addresses", b.retryPorts)
	f.Add("endpoint watch", b.members.watch(plat.KindEndpoint))
	f.Add("balancer watch", b.members.watch(plat.KindBalancer))
	return nil
}

// announce writes the balancer's own entry to the platform.
func (b *Balancer) announce(e view.Entry) {
	b.keeper.Set(func(writer string) any { return entryObject{e, writer} })
}

// inAgentNetworks reports whether an endpoint address is in one of the agent
// networks.
func (b *Balancer) inAgentNetworks(a netip.Addr) bool {
	for _, n := range b.agentNetworks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}

// declaration returns the declaration in force, or nil.
func (b *Balancer) declaration() *decl.Declaration {
	if c := b.conf.Load(); c != nil {
		return c.Declaration
	}
	return nil
}
