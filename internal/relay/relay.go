// Package relay is the balancer: it forwards packets between callers and
// agents and keeps a copy of the view.
package relay

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/ring"
	"github.com/bramleycourse/bramleycourse/internal/route"
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

	// ports is owned by the configuration watch.
	ports map[ident.ServiceTag]*port
	conf  atomic.Pointer[inForce]
	views *membership
}

// inForce is the configuration in force.
type inForce struct {
	Generation  ident.Generation  `json:"generation"`
	Declaration *decl.Declaration `json:"declaration"`
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
	b.table.Store(route.NewTable(nil))
	b.views = newMembership(b)
	for _, n := range s.AgentNetworks {
		p, err := netip.ParsePrefix(n)
		if err != nil {
			return nil, errors.Annotatef(err, "agentNetworks")
		}
		b.networks = append(b.networks, p)
	}
	a := netip.MustParseAddrPort(s.HopAddress)
	b.hop, err = listen(a)
	if err != nil {
		return nil, errors.Annotatef(err, "hopAddress")
	}
	b.hopAddr = b.hop.Addr()
	admin, err := net.Listen("tcp4", s.AdminAddress)
	if err != nil {
		return nil, errors.Annotatef(err, "adminAddress")
	}
	f.Admin(admin, func() any { return b.State() })
	f.Add("configuration watch", b.watchConfig)
	f.Add("endpoint watch", b.views.watch)
	f.Add("hop reader", b.readHop)
	f.Add("keys file", keys.Run)
	f.Add("packet counters", b.reportCounts)
	return b, nil
}

// Run runs the balancer until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	b.frame.Log.WithField("hop", b.hopAddr).Info("balancer started")
	return b.frame.Run(ctx)
}

// State is the state dump of a balancer.
type State struct {
	Name          string            `json:"name"`
	Configuration *inForce          `json:"configuration"`
	Endpoints     []endpointObject  `json:"endpoints"`
	Counts        map[string]uint64 `json:"counts"`
}

// State returns the current state dump.
func (b *Balancer) State() State {
	return State{
		Name:          b.settings.Name,
		Configuration: b.conf.Load(),
		Endpoints:     b.views.endpoints(),
		Counts:        b.counts.values(),
	}
}
