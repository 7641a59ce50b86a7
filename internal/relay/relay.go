// Package relay is the balancer: it forwards packets between callers and
// agents and keeps a copy of the view.
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
	settings *config.Balancer
	frame    *proc.Frame
	client   *plat.Client
	keys     *config.KeySource
	table    atomic.Pointer[route.Table]
	networks []netip.Prefix
	hop      *batch.Conn
	hopAddr  netip.AddrPort
	counts   counters
	pool     *batch.Pool
	// open is the immutable map of the open ports that the data path reads.
	open atomic.Pointer[map[ident.ServiceTag]*port]
	// stats maps hop addresses of agents to their records; the map is immutable.
	stats    atomic.Pointer[map[netip.AddrPort]*agentStat]
	draining atomic.Bool
	events   *ring.Ring[hopEvent]

	// confMu orders changes of the configuration.
	confMu sync.Mutex
	conf   atomic.Pointer[config.Accepted]
	// portsMu guards ports; it is taken after confMu.
	portsMu sync.Mutex
	ports   map[ident.ServiceTag]*port

	views  *membership
	keeper *plat.Keeper

	configInvalid, configConflicts, objectsRefused, endpointsRefused atomic.Uint64
}

// New prepares a balancer; it binds the addresses of the settings.
func New(s *config.Balancer, f *proc.Frame) (*Balancer, error) {
	keys, err := config.NewKeySource(s.KeysFile, f.Log)
	if err != nil {
		return nil, errors.Annotatef(err, "keys file %s", s.KeysFile)
	}
	b := &Balancer{
		settings: s,
		frame:    f,
		client:   plat.New(s.Platform.URL, s.Platform.Timeout()),
		keys:     keys,
		pool:     newPool(),
		events:   ring.New[hopEvent](hopEvents),
		ports:    map[ident.ServiceTag]*port{},
	}
	b.client.Log = f.Log
	b.table.Store(route.NewTable(nil))
	for _, n := range s.AgentNetworks {
		b.networks = append(b.networks, netip.MustParsePrefix(n))
	}
	a := netip.MustParseAddrPort(s.HopAddress)
	b.hop, err = listen(a)
	if err != nil {
		return nil, errors.Annotatef(err, "hopAddress")
	}
	b.hopAddr = b.hop.Addr()
	if err := b.join(); err != nil {
		return nil, err
	}
	f.Add("hop reader", b.readHop)
	f.Add("keys file", keys.Run)
	f.Add("packet counters", b.reportCounts)
	return b, nil
}

// join prepares the sessions, the membership and the admin server.
func (b *Balancer) join() error {
	s, f := b.settings, b.frame
	var secure *peer.Secure
	if t := s.PeerTLS; t != nil {
		var err error
		if secure, err = peer.LoadTLS(t.CertFile, t.KeyFile, t.CAFile, f.Log); err != nil {
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
	b.views = newMembership(b, peer.Options{
		Self: view.Entry{
			Key:   view.Key{Name: s.Name, Hop: b.hopAddr, Instance: ident.NewInstance()},
			State: view.Serving, Seq: 1,
			Place: ident.PlaceName(s.Place),
			Peer:  netip.MustParseAddrPort(s.PeerAddress),
			Admin: proc.AdminAddr(admin, b.hopAddr.Addr()),
		},
		Seeds: s.Peers, TLS: secure, Scope: f.Scope,
		OnSelf:     b.announce,
		OnConfig:   func(value []byte) { b.accept(fromPeer, value) },
		OnConflict: b.configConflict,
		OnRefused: func(addr string, err error) {
			f.Log.WithError(err).WithField("address", addr).Warn("session refused")
		},
	})
	f.Admin(admin, func() any { return b.State() })
	f.Add("peer server", func(ctx context.Context) error { return b.views.node.Serve(ctx, sessions) })
	f.Add("peer sessions", b.views.node.Run)
	f.Add("membership", b.views.run)
	f.Add("cleaner", b.views.clean)
	f.Add("announcement", b.keeper.Run)
	f.Add("control counters", b.reportControl)
	f.Add("configuration watch", b.watchConfig)
	f.Add("service addresses", b.retryPorts)
	f.Add("endpoint watch", b.views.watch(plat.KindEndpoint))
	f.Add("balancer watch", b.views.watch(plat.KindBalancer))
	return nil
}

// announce writes the balancer's own entry to the platform.
func (b *Balancer) announce(e view.Entry) {
	b.keeper.Set(func(writer string) any { return entryObject{e, writer} })
}

// inNetworks reports whether an address is in an allowed network.
func (b *Balancer) inNetworks(a netip.Addr) bool {
	for _, n := range b.networks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}

func (b *Balancer) declaration() *decl.Declaration {
	if c := b.conf.Load(); c != nil {
		return c.Declaration
	}
	return nil
}
