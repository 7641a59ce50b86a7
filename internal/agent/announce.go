package agent

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// goneTimeout bounds the announcement of the end.
const goneTimeout = time.Second

// entryObject is the platform object of an agent.
type entryObject struct {
	view.Entry
	Writer string `json:"writer"`
}

// announcer tells balancers and the platform about the agent, and receives the
// configuration and the list of balancers. It works in the background; neither
// start, drain nor exit waits for the platform for more than goneTimeout.
type announcer struct {
	// OnConfig receives each configuration of a higher generation.
	OnConfig func(*config.Accepted)
	// OnBalancers receives the balancers that are not gone after each change.
	OnBalancers func([]view.Entry)

	agent    *Agent
	sessions *peer.Client
	keeper   *plat.Keeper

	mu sync.Mutex
	// generation is that of the last configuration passed on.
	generation ident.Generation
}

// newAnnouncer returns an announcer of the agent's own entry. Its fields may be
// set until Run is called.
func newAnnouncer(a *Agent) (*announcer, error) {
	var secure *peer.Secure
	if t := a.settings.PeerTLS; t != nil {
		var err error
		if secure, err = peer.LoadTLS(t.CertFile, t.KeyFile, t.CAFile, a.frame.Log); err != nil {
			return nil, errors.Annotatef(err, "peerTLS")
		}
	}
	name := fmt.Sprintf("%s-%d-%06x", a.self.Addr.Addr(), a.self.Addr.Port(), uint32(a.self.Instance))
	n := &announcer{agent: a, keeper: plat.NewKeeper(a.client, plat.KindEndpoint, name)}
	self := view.Entry{
		Key: view.EndpointKey(a.self), State: view.Serving, Seq: 1,
		Service: ident.ServiceName(a.settings.Service),
		Group:   ident.GroupName(a.settings.Group),
		Place:   ident.PlaceName(a.settings.Place),
		Admin:   a.adminAddr,
	}
	n.sessions = peer.NewClient(peer.ClientOptions{
		Self: self, Seeds: a.settings.Balancers, TLS: secure, Scope: a.frame.Scope,
		OnSelf: n.write, OnConfig: n.config, OnBalancers: n.balancers,
		OnFailed: n.sessionTrouble("dial to balancer failed"),
		OnLost:   n.sessionTrouble("last session to a balancer lost"),
		OnOpen: func(addr string) {
			a.frame.Log.WithField("address", addr).Info("session to a balancer open again")
		},
	})
	n.write(self)
	return n, nil
}

// sessionTrouble returns a function that logs a failure of a session.
func (n *announcer) sessionTrouble(event string) func(string, error) {
	return func(addr string, err error) {
		n.agent.frame.Log.WithError(err).WithField("address", addr).Warn(event)
	}
}

// write makes the platform object hold an entry.
func (n *announcer) write(e view.Entry) {
	n.keeper.Set(func(writer string) any { return entryObject{e, writer} })
}

func (n *announcer) balancers(es []view.Entry) {
	if n.OnBalancers != nil {
		n.OnBalancers(es)
	}
}

// config passes on a configuration, whole or not at all, if its generation is higher.
func (n *announcer) config(value []byte) {
	c, err := config.ParseAccepted("", value)
	if err != nil {
		n.agent.frame.Log.WithError(err).Error("configuration refused")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Generation <= n.generation {
		return
	}
	n.generation = c.Generation
	n.agent.frame.Log.WithField("generation", c.Generation).Info("configuration in force")
	if n.OnConfig != nil {
		n.OnConfig(c)
	}
}

// SetState announces a state to balancers at once and to the platform in the
// background. With the state gone the platform object is removed.
func (n *announcer) SetState(s view.State) {
	e := n.sessions.SetState(s)
	if s == view.Gone {
		n.keeper.Set(nil)
		return
	}
	n.write(e)
}

// Generation returns the generation of the configuration in force; 0 means none.
func (n *announcer) Generation() ident.Generation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.generation
}

// State returns the part of a state dump about sessions.
func (n *announcer) State() peer.State { return n.sessions.State() }

// Run keeps sessions and the platform object until the context ends; then it
// announces the end within goneTimeout.
func (n *announcer) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go n.sessions.Run(life)
	go n.keeper.Run(life)
	<-ctx.Done()
	bound, cancel := context.WithTimeout(life, goneTimeout)
	defer cancel()
	n.SetState(view.Gone)
	n.sessions.Flush(bound)
	n.keeper.Wait(bound)
	return ctx.Err()
}

// join connects the announcement with the rest of the agent.
func (a *Agent) join() error {
	n, err := newAnnouncer(a)
	if err != nil {
		return err
	}
	n.OnConfig = func(c *config.Accepted) {
		a.Configure(c.Declaration)
		a.configured.Store(true)
		a.updateGate()
	}
	n.OnBalancers = a.setBalancers
	a.announcer = n
	a.setState = n.SetState
	a.frame.Add("announcement", n.Run)
	return nil
}

// setBalancers makes the balancers known that may be pinged, and stops replies
// through those that drain.
func (a *Agent) setBalancers(es []view.Entry) {
	var serving []netip.AddrPort
	a.hop.mu.Lock()
	defer a.hop.mu.Unlock()
	for _, e := range es {
		if e.State == view.Serving {
			serving = append(serving, e.Key.Hop)
		} else {
			a.hop.set.Draining(time.Now(), e.Key.Hop)
		}
	}
	a.hop.set.SetKnown(serving)
}
