// Package roster keeps the platform's lists of balancers and agents. A process
// that has just started reads them; the view among the processes is newer.
package roster

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Balancer is the entry of a balancer.
type Balancer struct {
	// Peer is the address for messages of other processes.
	Peer netip.AddrPort `json:"peer"`
}

// Agent is the entry of an agent. It stays when the agent starts again.
type Agent struct {
	Hop     netip.AddrPort    `json:"hop"`
	Service ident.ServiceName `json:"service"`
	Place   ident.PlaceName   `json:"place"`
}

// Balancers reads the addresses of the balancers. Some may have ended.
func Balancers(ctx context.Context, store *plat.Client) ([]netip.AddrPort, error) {
	l, err := store.List(ctx, plat.KindBalancer)
	if err != nil {
		return nil, err
	}
	var as []netip.AddrPort
	for _, o := range l.Objects {
		var b Balancer
		// An entry that cannot be read names no balancer; the others hold.
		if json.Unmarshal(o.Value, &b) == nil && b.Peer.Addr().Is4() {
			as = append(as, b.Peer)
		}
	}
	return as, nil
}

// listedSeq is the version of an entry that comes from the list: lower than
// that of any announcement.
const listedSeq = 1

// Agents reads the entries of the agents. Some may have ended.
func Agents(ctx context.Context, store *plat.Client) ([]view.Entry, error) {
	l, err := store.List(ctx, plat.KindEndpoint)
	if err != nil {
		return nil, err
	}
	var es []view.Entry
	for _, o := range l.Objects {
		var a Agent
		// An entry that cannot be read names no agent; the others hold.
		if json.Unmarshal(o.Value, &a) != nil || !a.Hop.Addr().Is4() || a.Service == "" {
			continue
		}
		es = append(es, view.Entry{
			Key: view.Key{Hop: a.Hop}, State: view.Serving, Seq: listedSeq, Service: a.Service, Place: a.Place,
		})
	}
	return es, nil
}

// AddAgent writes the entry of an agent.
func AddAgent(ctx context.Context, store *plat.Client, a Agent) error {
	return store.Ensure(ctx, plat.KindEndpoint, a.Hop.String(), a)
}

// HasAgent reports whether the list has an entry of an agent.
func HasAgent(ctx context.Context, store *plat.Client, hop netip.AddrPort) (bool, error) {
	_, err := store.Get(ctx, plat.KindEndpoint, hop.String())
	var missing *plat.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	return err == nil, err
}

// RemoveAgent removes the entry of an agent if there is one.
func RemoveAgent(ctx context.Context, store *plat.Client, hop netip.AddrPort) error {
	err := store.Delete(ctx, plat.KindEndpoint, hop.String(), 0)
	var missing *plat.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}
