// Package roster reads and writes the platform's lists of balancers and agents. A
// process reads them when it starts; after that, the view that the processes
// exchange among themselves is more recent.
package roster

import (
	"context"
	"math"
	"net/netip"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/field"
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

// maxSeq bounds the versions of announcements.
const maxSeq = math.MaxInt64

// parseAgent decodes the entry of the given name. Another writer may have left anything in the
// list; that names no agent to use.
func parseAgent(name string, b []byte) (AgentEntry, error) {
	f := field.Read("agent entry", b)
	a := AgentEntry{Hop: f.Addr("hop"), Service: ident.ServiceName(f.Text("service")), Place: ident.PlaceName(f.Text("place"))}
	if f.Has("rewritten") {
		a.Rewritten = ident.Seq(f.Whole("rewritten", 0, maxSeq))
	}
	if f.Err() == nil && name != a.Hop.String() {
		f.Refuse("hop")
	}
	return a, f.Err()
}

// parseBalancer decodes the entry of a balancer.
func parseBalancer(b []byte) (BalancerEntry, error) {
	f := field.Read("balancer entry", b)
	e := BalancerEntry{Peer: f.Addr("peer")}
	return e, f.Err()
}

// Balancers reads the addresses of the balancers. Some of them may have ended.
func Balancers(ctx context.Context, store *plat.Client) ([]netip.AddrPort, error) {
	l, err := store.List(ctx, plat.KindBalancer)
	if err != nil {
		return nil, err
	}
	var as []netip.AddrPort
	for _, o := range l.Objects {
		// An entry that is refused is skipped; the others are still valid.
		b, err := parseBalancer(o.Value)
		if err != nil {
			store.Refused.Note(err)
			continue
		}
		as = append(as, b.Peer)
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
		// An entry that is refused is skipped; the others are still valid.
		a, err := parseAgent(o.Name, o.Value)
		if err != nil {
			store.Refused.Note(err)
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
