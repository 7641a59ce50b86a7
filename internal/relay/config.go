package relay

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// Values of the log field source of a configuration.
const (
	fromPlatform = "platform"
	fromPeer     = "peer"
)

// portRetryInterval is the interval at which service addresses that could not
// be opened, for example because they are in use, are tried again.
const portRetryInterval = time.Second

// watchConfig follows the platform's configuration object and accepts each new
// version.
func (b *Balancer) watchConfig(ctx context.Context) error {
	f := watcher{client: b.client, kind: plat.KindConfig, apply: func(l plat.List) {
		for _, o := range l.Objects {
			if o.Name == b.settings.ConfigName && !o.Deleted {
				b.accept(fromPlatform, o.Value)
			}
		}
	}}
	return f.run(ctx)
}

// accept puts a configuration in force if it is valid and its generation is
// higher than that of the one in force. It is applied as a whole or not at all.
func (b *Balancer) accept(source string, value []byte) {
	log := b.frame.Log.WithField("source", source)
	c, err := config.ParseAccepted(b.settings.ConfigName, value)
	if err != nil {
		b.configInvalid.Add(1)
		log.WithError(err).Error("configuration refused")
		return
	}
	log = log.WithField("generation", c.Generation)
	b.confMu.Lock()
	defer b.confMu.Unlock()
	old := b.conf.Load()
	if old != nil && old.Generation >= c.Generation {
		if old.Generation == c.Generation && !bytes.Equal(old.Value, c.Value) {
			b.configConflict(c.Generation)
		}
		return
	}
	b.conf.Store(c)
	b.openPorts()
	b.members.node.SetConfig(c.Generation, c.Value)
	b.members.requestRebuild(true)
	log.Info("configuration in force")
	b.logEvacuations(old, c)
}

// logEvacuations logs which places a configuration evacuates or takes back.
func (b *Balancer) logEvacuations(old, next *config.Accepted) {
	before := &decl.Declaration{}
	if old != nil {
		before = old.Declaration
	}
	log := b.frame.Log.WithField("generation", next.Generation)
	for _, p := range next.Declaration.Evacuated {
		if !before.Evacuates(p) {
			log.WithField("place", p).Warn("place evacuated")
		}
	}
	for _, p := range before.Evacuated {
		if !next.Declaration.Evacuates(p) {
			log.WithField("place", p).Info("place taken back")
		}
	}
}

func (b *Balancer) configConflict(g ident.Generation) {
	b.configConflicts.Add(1)
	b.frame.Log.WithField("generation", g).Error("another configuration has the same generation")
}

// retryPorts periodically tries to open the service addresses that could not be
// opened before.
func (b *Balancer) retryPorts(ctx context.Context) error {
	t := time.NewTicker(portRetryInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.confMu.Lock()
			b.openPorts()
			b.confMu.Unlock()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// openPorts opens and closes ports to match the configuration in force. The
// caller of this function holds confMu.
func (b *Balancer) openPorts() {
	c := b.conf.Load()
	if c == nil {
		return
	}
	wanted := map[ident.ServiceTag]netip.AddrPort{}
	for _, s := range c.Declaration.Services {
		a := netip.MustParseAddrPort(s.Address)
		if b.settings.CallerIP != "" {
			a = netip.AddrPortFrom(netip.MustParseAddr(b.settings.CallerIP), a.Port())
		}
		wanted[ident.TagOf(ident.ServiceName(s.Name))] = a
	}
	b.portsMu.Lock()
	defer b.portsMu.Unlock()
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

// closePorts closes all ports, so that no more packets from callers are
// received.
func (b *Balancer) closePorts() {
	b.portsMu.Lock()
	defer b.portsMu.Unlock()
	for tag, p := range b.ports {
		p.close()
		delete(b.ports, tag)
	}
	b.publishPorts()
}
