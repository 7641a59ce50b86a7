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

// goneAnnounceTimeout bounds the announcement of the state gone at exit.
const goneAnnounceTimeout = time.Second

// entryObject is the platform object of an agent.
type entryObject struct {
	view.Entry
	Writer string `json:"writer"`
}

// announcer announces the agent to balancers and the platform, and receives the
// configuration and the list of balancers. It works in the background: start,
// drain and exit wait for the platform for at most goneAnnounceTimeout.
type announcer struct {
	// OnConfig receives each configuration with a higher generation than the
	// last.
	OnConfig func(*config.Accepted)
	// OnBalancers receives the balancers that are not gone, after each change.
	OnBalancers func([]view.Entry)

	agent    *Agent
	sessions *peer.Client
	keeper   *plat.Keeper

	mu sync.Mutex
	// generation is the generation of the last configuration passed to
	// OnConfig.
	generation ident.Generation
}

// newAnnouncer returns an announcer of the agent's own entry. Its callbacks may
// be set until Run is called.
func newAnnouncer(a *Agent) (*announcer, error) {
	var mutualTLS *peer.MutualTLS
	if t := a.settings.PeerTLS; t != nil {
		var err error
		if mutualTLS, err = peer.LoadTLS(t.CertFile, t.KeyFile, t.CAFile, a.process.Log); err != nil {
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
		Self: self, Seeds: a.settings.Balancers, TLS: mutualTLS, Scope: a.process.Scope,
		OnSelf: n.writeObject, OnConfig: n.handleConfig, OnBalancers: n.handleBalancers,
		OnFailed: n.sessionLogger("dial to balancer failed"),
		OnLost:   n.sessionLogger("last session to a balancer lost"),
		OnOpen: func(addr string) {
			a.process.Log.WithField("address", addr).Info("session to a balancer reestablished")
		},
	})
	n.writeObject(self)
	return n, nil
}

// sessionLogger returns a function that logs a session failure with the given
// message.
func (n *announcer) sessionLogger(message string) func(string, error) {
	return func(addr string, err error) {
		n.agent.process.Log.WithError(err).WithField("address", addr).Warn(message)
	}
}

// writeObject stores an entry in the agent's platform object, in the
// background.
func (n *announcer) writeObject(e view.Entry) {
	n.keeper.Set(func(writer string) any { return entryObject{e, writer} })
}

func (n *announcer) handleBalancers(es []view.Entry) {
	if n.OnBalancers != nil {
		n.OnBalancers(es)
	}
}

// handleConfig passes a configuration to OnConfig if it is valid and its
// generation is higher than the last.
func (n *announcer) handleConfig(value []byte) {
	c, err := config.ParseAccepted("", value)
	if err != nil {
		n.agent.process.Log.WithError(err).Error("configuration refused")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Generation <= n.generation {
		return
	}
	n.generation = c.Generation
	n.agent.process.Log.WithField("generation", c.Generation).Info("configuration in force")
	if n.OnConfig != nil {
		n.OnConfig(c)
	}
}

// SetState announces a state to balancers at once and to the platform in the
// background. The state gone removes the platform object.
func (n *announcer) SetState(s view.State) {
	e := n.sessions.SetState(s)
	if s == view.Gone {
		n.keeper.Set(nil)
		return
	}
	n.writeObject(e)
}

// Generation returns the generation of the configuration in force; 0 means none.
func (n *announcer) Generation() ident.Generation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.generation
}

// State returns the session part of a state dump.
func (n *announcer) State() peer.State { return n.sessions.State() }

// Run maintains the sessions and the platform object until the context ends. It
// then announces the state gone within goneAnnounceTimeout.
func (n *announcer) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go n.sessions.Run(runCtx)
	go n.keeper.Run(runCtx)
	<-ctx.Done()
	flushCtx, cancel := context.WithTimeout(runCtx, goneAnnounceTimeout)
	defer cancel()
	n.SetState(view.Gone)
	n.sessions.Flush(flushCtx)
	n.keeper.Wait(flushCtx)
	return ctx.Err()
}

// addAnnouncer creates the announcer, connects it to the agent and adds it to
// the tasks of the process.
func (a *Agent) addAnnouncer() error {
	n, err := newAnnouncer(a)
	if err != nil {
		return err
	}
	n.OnConfig = a.accept
	n.OnBalancers = a.setBalancers
	a.announcer = n
	a.setState = n.SetState
	a.process.Add("announcement", n.Run)
	return nil
}

// setBalancers replaces the balancers that may be pinged, and stops replies
// through draining balancers.
func (a *Agent) setBalancers(es []view.Entry) {
	var serving []netip.AddrPort
	a.hop.mu.Lock()
	defer a.hop.mu.Unlock()
	for _, e := range es {
		if e.State == view.Serving {
			serving = append(serving, e.Key.Hop)
		} else {
			a.hop.replySet.Draining(time.Now(), e.Key.Hop)
		}
	}
	a.hop.replySet.SetPingTargets(serving)
}
