// Package roster reads and writes the platform's lists of balancers and agents. A
// process reads them when it starts; after that, the view that the processes
// exchange among themselves is more recent.
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

// BalancerEntry is a balancer's entry in the platform's list.
type BalancerEntry struct {
	// Peer is the address that receives messages of other processes.
	Peer netip.AddrPort `json:"peer"`
}

// AgentEntry is an agent's entry in the platform's list. It survives restarts of the
// agent.
type AgentEntry struct {
	// Hop is the address that receives datagrams from balancers.
	Hop     netip.AddrPort    `json:"hop"`
	Service ident.ServiceName `json:"service"`
	Place   ident.PlaceName   `json:"place"`
	// Rewritten is the version of the announcement that the agent had made when it wrote
	// the entry again after it had counted as gone; 0 if it has not. It gives the entry
	// another version in the store, so that a removal sent before has no effect.
	Rewritten ident.Seq `json:"rewritten,omitempty"`
}

// maxNameBytes bounds the names in an entry, which are passed on in datagrams.
const maxNameBytes = 255

// valid reports whether an entry of the given name was written by an agent. Another writer
// may have left anything in the list.
func (a *AgentEntry) valid(name string) bool {
	return usable(a.Hop) && name == a.Hop.String() && a.Service != "" &&
		len(a.Service) <= maxNameBytes && len(a.Place) <= maxNameBytes
}

// usable reports whether datagrams can be sent to an address.
func usable(a netip.AddrPort) bool { return a.Addr().Is4() && a.Port() != 0 }

// Balancers reads the addresses of the balancers. Some of them may have ended.
func Balancers(ctx context.Context, store *plat.Client) ([]netip.AddrPort, error) {
	l, err := store.List(ctx, plat.KindBalancer)
	if err != nil {
		return nil, err
	}
	var as []netip.AddrPort
	for _, o := range l.Objects {
		var b BalancerEntry
		// An entry that cannot be parsed is skipped; the others are still valid.
		if json.Unmarshal(o.Value, &b) == nil && usable(b.Peer) {
			as = append(as, b.Peer)
		}
	}
	return as, nil
}

// listedSeq is the version of an entry from the platform's list. It is lower than
// the version of any announcement.
const listedSeq = 1

// Agents reads the entries of the agents. Some of them may have ended.
func Agents(ctx context.Context, store *plat.Client) ([]view.Entry, error) {
	l, err := store.List(ctx, plat.KindEndpoint)
	if err != nil {
		return nil, err
	}
	var es []view.Entry
	for _, o := range l.Objects {
		var a AgentEntry
		// An entry that cannot be parsed is skipped; the others are still valid.
		if json.Unmarshal(o.Value, &a) != nil || !a.valid(o.Name) {
			continue
		}
		es = append(es, view.Entry{
			Key: view.Key{Hop: a.Hop}, State: view.Serving, Seq: listedSeq, Service: a.Service, Place: a.Place,
		})
	}
	return es, nil
}

// AddAgent writes an agent's entry to the list.
func AddAgent(ctx context.Context, store *plat.Client, a AgentEntry) error {
	_, err := store.Ensure(ctx, plat.KindEndpoint, a.Hop.String(), a)
	return err
}

// HasAgent reports whether the list has an entry for an agent.
func HasAgent(ctx context.Context, store *plat.Client, hop netip.AddrPort) (bool, error) {
	_, err := store.Get(ctx, plat.KindEndpoint, hop.String())
	var missing *plat.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	return err == nil, err
}
