package view

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ageUnit is the unit of the ages in a vouch; one octet covers MarkTime.
// Ages are rounded up to at least one unit, which outweighs the time on the way between balancers:
// marks that two of them keep returning to each other still grow old.
const ageUnit = 20 * time.Millisecond

// Vouch keeps the marks alive that its sender and its receiver both hold. It
// has one octet for each origin instead of the marks.
type Vouch struct {
	// Hash covers the origins with marks and their versions.
	Hash uint64
	// Ages holds the time since each origin was last heard of, in units of
	// ageUnit, in the order of the origins' hashes.
	Ages []byte
}

// MarkVersion is the version of an origin's marks.
type MarkVersion struct {
	// Origin is the hash of the key of the balancer that made the marks.
	Origin  uint64
	Version uint64
	Age     time.Duration
}

type vouched struct {
	by Key
	*origin
}

// vouched returns the origins that have marks and have not expired.
func (m *Marks) vouched(now time.Duration) []vouched {
	var vs []vouched
	for by, o := range m.origins {
		if len(o.marks) > 0 && now-o.heard < MarkTime {
			vs = append(vs, vouched{by, o})
		}
	}
	slices.SortFunc(vs, func(a, b vouched) int { return cmp.Compare(a.hash, b.hash) })
	return vs
}

// Vouch renews the owner's own marks and returns what keeps the marks alive at
// other balancers; it has no ages if there are no marks.
func (m *Marks) Vouch(now time.Duration, self Key) Vouch {
	if o := m.origins[self]; o != nil {
		o.heard = now
	}
	vs := m.vouched(now)
	v := Vouch{Hash: hashOf(vs)}
	for _, o := range vs {
		v.Ages = append(v.Ages, byte((now-o.heard)/ageUnit+1))
	}
	return v
}

func hashOf(vs []vouched) uint64 {
	b := make([]byte, 0, 16*len(vs))
	for _, o := range vs {
		b = binary.BigEndian.AppendUint64(b, o.hash)
		b = binary.BigEndian.AppendUint64(b, o.version)
	}
	return xxhash.Sum64(b)
}

// Renew takes over the ages of a vouch. It reports whether both sides hold the
// same marks; if not, it changes nothing.
func (m *Marks) Renew(now time.Duration, self Key, v Vouch) bool {
	vs := m.vouched(now)
	if hashOf(vs) != v.Hash || len(vs) != len(v.Ages) {
		return false
	}
	for i, o := range vs {
		if o.by != self {
			o.heard = max(o.heard, now-time.Duration(v.Ages[i])*ageUnit)
		}
	}
	return true
}

// Versions returns the versions that a vouch covers.
func (m *Marks) Versions(now time.Duration) []MarkVersion {
	var ks []MarkVersion
	for _, o := range m.vouched(now) {
		ks = append(ks, MarkVersion{o.hash, o.version, now - o.heard})
	}
	return ks
}

// Compare renews what both sides hold and returns the origins of which the
// other side has a newer version.
func (m *Marks) Compare(now time.Duration, self Key, ks []MarkVersion) []uint64 {
	held := map[uint64]*origin{}
	for by, o := range m.origins {
		if by != self {
			held[o.hash] = o
		}
	}
	var wanted []uint64
	for _, k := range ks {
		o := held[k.Origin]
		switch {
		case k.Age < 0 || k.Age >= MarkTime || k.Origin == self.Hash():
		case o == nil || o.version < k.Version:
			wanted = append(wanted, k.Origin)
		case o.version == k.Version:
			o.heard = max(o.heard, now-k.Age)
		}
	}
	return wanted
}

// Full returns the whole lists of the given origins.
func (m *Marks) Full(now time.Duration, origins []uint64) []MarkUpdate {
	var us []MarkUpdate
	for _, o := range m.vouched(now) {
		if !slices.Contains(origins, o.hash) {
			continue
		}
		u := MarkUpdate{By: o.by, Version: o.version, Full: true, Age: now - o.heard}
		for k, c := range o.marks {
			u.Marks = append(u.Marks, Mark{k, c})
		}
		us = append(us, u)
	}
	return us
}
