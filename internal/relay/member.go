package relay

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

const (
	watchWait  = 30 * time.Second
	retryDelay = 200 * time.Millisecond
)

// endpointObject is the platform object of an agent.
type endpointObject struct {
	Address  netip.AddrPort    `json:"address"`
	Instance ident.Instance    `json:"instance"`
	Service  ident.ServiceName `json:"service"`
	Place    ident.PlaceName   `json:"place"`
	Group    ident.GroupName   `json:"group"`
	Draining bool              `json:"draining"`
}

// configObject is the platform object of a configuration.
type configObject struct {
	Generation  ident.Generation `json:"generation"`
	Writer      string           `json:"writer"`
	Declaration json.RawMessage  `json:"declaration"`
}

// membership keeps the endpoints that announced themselves.
type membership struct {
	b  *Balancer
	mu sync.Mutex
	// known maps object names to endpoints.
	known map[string]endpointObject
}

func newMembership(b *Balancer) *membership {
	return &membership{b: b, known: map[string]endpointObject{}}
}

func (m *membership) endpoints() []endpointObject {
	m.mu.Lock()
	defer m.mu.Unlock()
	var es []endpointObject
	for _, e := range m.known {
		es = append(es, e)
	}
	return es
}

// watch follows the endpoint objects of the platform.
func (m *membership) watch(ctx context.Context) error {
	return follow(ctx, m.b.client, plat.KindEndpoint, func(l plat.List, whole bool) {
		m.mu.Lock()
		if whole {
			clear(m.known)
		}
		for _, o := range l.Objects {
			var e endpointObject
			if o.Deleted {
				delete(m.known, o.Name)
			} else if err := json.Unmarshal(o.Value, &e); err == nil {
				m.known[o.Name] = e
			}
		}
		m.mu.Unlock()
		m.rebuild()
	})
}

// rebuild computes the routing table from the known endpoints.
func (m *membership) rebuild() {
	services := map[ident.ServiceTag][]route.Endpoint{}
	for _, e := range m.endpoints() {
		if e.Draining {
			continue
		}
		tag := ident.TagOf(e.Service)
		services[tag] = append(services[tag], route.Endpoint{
			ID:     ident.EndpointID{Addr: e.Address, Instance: e.Instance},
			Weight: 1,
		})
	}
	m.b.table.Store(route.NewTable(services))
}

// follow lists a kind of objects and then watches it until the context ends.
func follow(ctx context.Context, c *plat.Client, k plat.Kind, apply func(l plat.List, whole bool)) error {
	var since plat.Version
	listed := false
	for ctx.Err() == nil {
		var (
			l   plat.List
			err error
		)
		whole := !listed
		if listed {
			l, err = c.Watch(ctx, k, since, watchWait)
		} else {
			l, err = c.List(ctx, k)
		}
		if err != nil {
			listed = false
			pause(ctx, retryDelay)
			continue
		}
		listed, since = true, l.Version
		apply(l, whole)
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watchConfig follows the configuration object.
func (b *Balancer) watchConfig(ctx context.Context) error {
	return follow(ctx, b.client, plat.KindConfig, func(l plat.List, _ bool) {
		for _, o := range l.Objects {
			if o.Name == b.settings.ConfigName && !o.Deleted {
				b.accept(o.Value)
			}
		}
	})
}

// accept puts a configuration in force if its generation is higher.
func (b *Balancer) accept(value json.RawMessage) {
	var c configObject
	if err := json.Unmarshal(value, &c); err != nil {
		b.frame.Log.WithError(err).Error("configuration object is not readable")
		return
	}
	if old := b.conf.Load(); old != nil && old.Generation >= c.Generation {
		return
	}
	d, err := decl.Parse(c.Declaration)
	if err != nil {
		b.frame.Log.WithError(err).WithField("generation", c.Generation).Error("configuration is invalid")
		return
	}
	b.openPorts(d)
	b.conf.Store(&inForce{Generation: c.Generation, Declaration: d})
	b.frame.Log.WithField("generation", c.Generation).Info("configuration in force")
}

// openPorts opens and closes ports so that they match the declaration.
func (b *Balancer) openPorts(d *decl.Declaration) {
	b.views.mu.Lock()
	defer b.views.mu.Unlock()
	wanted := map[ident.ServiceTag]netip.AddrPort{}
	for _, s := range d.Services {
		a := netip.MustParseAddrPort(s.Address)
		if b.settings.CallerIP != "" {
			a = netip.AddrPortFrom(netip.MustParseAddr(b.settings.CallerIP), a.Port())
		}
		wanted[ident.TagOf(ident.ServiceName(s.Name))] = a
	}
	for tag, p := range b.ports {
		if wanted[tag] != p.address {
			p.close()
			delete(b.ports, tag)
		}
	}
	for tag, a := range wanted {
		if b.ports[tag] != nil {
			continue
		}
		p, err := b.openPort(tag, a)
		if err != nil {
			b.frame.Log.WithError(err).WithField("address", a).Error("service address cannot be opened")
			continue
		}
		b.ports[tag] = p
	}
	b.publishPorts()
}
