// Package evac holds the places that an operator has evacuated: their upstreams get no
// new work until the place is taken back. A Set answers for the load of the upstreams of
// all places, since work that one place does not get goes to the others. It has no
// clock and no network.
package evac

import (
	"encoding/json"
	"slices"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
)

const (
	// maxNameBytes bounds the name of a place.
	maxNameBytes = 64
	// maxTotalBytes bounds all names together, so that a set fits into one datagram.
	maxTotalBytes = 1000
	// bytesPerName is what the encoding adds to each name.
	bytesPerName = 3
)

// Set is the evacuated places at one version of the platform's store. It is not changed
// after its creation. The zero Set knows nothing of the store.
type Set struct {
	// Era is the era of the store that Version belongs to. Processes of an earlier version
	// leave it out.
	Era plat.Era `json:"era,omitempty"`
	// Version is the version of the store up to which the set is complete.
	Version plat.Version `json:"version"`
	// Places are the evacuated places, in ascending order.
	Places []ident.PlaceName `json:"places,omitempty"`
	// Since is the first version from which on this process knows these places. One
	// that knows an earlier version has to be told.
	Since plat.Stamp `json:"-"`
	// all also holds the places that do not fit into a datagram; nil in a set from another
	// process.
	all []ident.PlaceName
}

// Has reports whether a place is evacuated.
func (s Set) Has(p ident.PlaceName) bool {
	_, found := slices.BinarySearch(s.Places, p)
	return found
}

// Stamp returns the era and the version of the set, which order it among others.
func (s Set) Stamp() plat.Stamp { return plat.Stamp{Era: s.Era, Version: s.Version} }

// Tells reports whether the set may be news to a process that knows a version. One that
// knows nothing of the store needs no empty set.
func (s Set) Tells(known plat.Stamp) bool {
	return known.Before(s.Since) && (known.Version > 0 || len(s.Places) > 0)
}

// Corrects reports whether the places that another process takes for evacuated are outdated.
// Since does not tell where this process was not told of an evacuation that has ended.
func (s Set) Corrects(o Set) bool {
	return 0 < o.Version && o.Stamp().Before(s.Stamp()) && !slices.Equal(s.Places, o.Places)
}

// Merge returns the newer one of two sets, and whether the places differ from s.
func (s Set) Merge(o Set) (newer Set, changed bool) {
	if !s.Stamp().Before(o.Stamp()) {
		return s, false
	}
	if slices.Equal(s.Places, o.Places) {
		s.Era, s.Version = o.Era, o.Version
		if s.Since.Version == 0 {
			s.Since = o.Stamp()
		}
		return s, false
	}
	o.Since = o.Stamp()
	return o, true
}

// Listed returns the set of a complete list of the platform's objects, and the number of
// objects that name no place.
func Listed(l plat.List) (s Set, odd int) { return Set{}.Apply(l) }

// Apply returns the set after the changes of a watch that began at the version of s or
// before, and the number of objects that name no place or no longer fit. An object that is
// being deleted evacuates nothing. Values are not read.
func (s Set) Apply(l plat.List) (next Set, odd int) {
	all := slices.Clone(s.all)
	if all == nil {
		all = slices.Clone(s.Places)
	}
	for _, o := range l.Objects {
		p := ident.PlaceName(o.Name)
		at, found := slices.BinarySearch(all, p)
		switch ends := o.Deleted || o.Deleting; {
		case !usable(o.Name):
			odd++
		case ends && found:
			all = slices.Delete(all, at, at+1)
		case !ends && !found:
			all = slices.Insert(all, at, p)
		}
	}
	places, dropped := bound(all)
	odd += max(0, dropped-max(0, len(s.all)-len(s.Places)))
	return Set{Era: l.Era, Version: l.Version, Places: places, Since: plat.Stamp{Era: l.Era, Version: l.Version}, all: all}, odd
}

// usable reports whether a name can be passed on as the name of a place. Its encoding must
// be as long as the name itself.
func usable(name string) bool {
	b, err := json.Marshal(name)
	return err == nil && name != "" && len(name) <= maxNameBytes && len(b) == len(name)+2
}

// bound returns the first places that fit into a datagram, and the number of others.
func bound(places []ident.PlaceName) (kept []ident.PlaceName, dropped int) {
	size := 0
	for n, p := range places {
		if size += len(p) + bytesPerName; size > maxTotalBytes {
			return places[:n], len(places) - n
		}
	}
	return places, 0
}

// Parse decodes a set that another process has sent; ok is false if it is not valid.
func Parse(b []byte) (s Set, ok bool) {
	if json.Unmarshal(b, &s) != nil || !s.Valid() {
		return Set{}, false
	}
	return s, true
}

// Valid reports whether the set is one that this package makes.
func (s Set) Valid() bool {
	if _, dropped := bound(s.Places); dropped > 0 || s.Version == 0 {
		return false
	}
	for n := range max(1, len(s.Places)) - 1 {
		if s.Places[n] >= s.Places[n+1] {
			return false
		}
	}
	return !slices.ContainsFunc(s.Places, func(p ident.PlaceName) bool { return !usable(string(p)) })
}
