package roster

import (
	"context"
	"net/netip"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// Removal removes the entry of an agent that counts as gone from the list, and no entry
// that was written since. A call without an answer may be carried out seconds later; its
// condition then no longer holds if the agent has written its entry again.
type Removal struct {
	Hop netip.AddrPort
	// Seq is the version of the announcement with which the agent counts as gone; 0 if it
	// is not known.
	Seq ident.Seq
	// Removed is set once the store has answered that the entry was removed.
	Removed bool
	// version is the version of the entry in the list that is removed; 0 until it was read.
	version plat.Version
	// era is the era of version. In a later one the entry is read anew.
	era plat.Era
}

// Try reads the entry unless an earlier try did, and removes it. It calls confirm before
// the removal is sent, and ends if that returns false. done is false if the removal has
// to be tried again.
func (r *Removal) Try(ctx context.Context, store *plat.Client, confirm func() bool) (done bool, err error) {
	if r.version == 0 || r.era != store.Era() {
		done, err := r.read(ctx, store)
		if done || err != nil {
			return done, err
		}
	}
	if !confirm() {
		return true, nil
	}
	err = store.Delete(ctx, plat.KindEndpoint, r.Hop.String(), r.version, plat.InEra(r.era))
	r.Removed = err == nil
	if settled(err) {
		return true, nil
	}
	return false, err
}

// read reads the version of the entry. It reports whether there is none to remove.
func (r *Removal) read(ctx context.Context, store *plat.Client) (done bool, err error) {
	o, err := store.Get(ctx, plat.KindEndpoint, r.Hop.String())
	if err != nil {
		if settled(err) {
			return true, nil
		}
		return false, err
	}
	// An entry that is refused is not one that an agent has written again.
	if a, err := parseAgent(r.Hop.String(), o.Value); err == nil && r.Seq > 0 && a.Rewritten > r.Seq {
		return true, nil
	}
	r.version, r.era = o.Version, o.Era
	return false, nil
}

// settled reports whether a conditional removal with this result can have no effect later:
// the entry was removed, or does not have the version any more.
func settled(err error) bool {
	var (
		missing  *plat.NotFoundError
		conflict *plat.ConflictError
	)
	return err == nil || errors.As(err, &missing) || errors.As(err, &conflict)
}

// Listing is the entry of an agent in the list as the agent itself keeps it. It is not
// safe for concurrent use.
type Listing struct {
	Store *plat.Client
	// version is the version of the entry that was last written or found; 0 if it is not
	// known.
	version plat.Version
	// era is the era of the store that the last write or removal has settled.
	era plat.Era
	// removing is set while a removal may still be carried out.
	removing bool
}

// Write writes the entry. seq is the version of the agent's last announcement. If the
// agent counted as gone (again), or if a removal may still be carried out, the entry gets
// a new version even if its other contents are unchanged.
func (l *Listing) Write(ctx context.Context, a AgentEntry, seq ident.Seq, again bool) error {
	if again || l.removing {
		a.Rewritten = seq
	}
	l.version = 0
	o, err := l.Store.Ensure(ctx, plat.KindEndpoint, a.Hop.String(), a)
	if err != nil {
		return err
	}
	l.version, l.era, l.removing = o.Version, o.Era, false
	return nil
}

// Remove removes the entry if the agent has written it, or has found it and has written
// none since.
func (l *Listing) Remove(ctx context.Context, hop netip.AddrPort) error {
	r := Removal{Hop: hop, version: l.version, era: l.era}
	done, err := r.Try(ctx, l.Store, func() bool { l.removing = true; return true })
	l.version, l.era = r.version, r.era
	if done && r.version == 0 {
		l.era = l.Store.Era()
	}
	if done {
		l.version, l.removing = 0, false
	}
	return err
}

// Outdated returns a channel that is closed once the store may have lost the last write or
// removal: it has come back from a copy.
func (l *Listing) Outdated() <-chan struct{} { return l.Store.EraAfter(l.era) }
