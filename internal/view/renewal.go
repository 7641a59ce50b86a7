package view

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ageUnit is the unit of the ages in a Renewal, chosen so that one byte covers
// MarkTTL. Each age is rounded up to the next higher unit, which adds at most
// one unit. One unit is more than the network delay between balancers. The
// rounding lets marks expire even if two balancers keep renewing them at each
// other.
const ageUnit = 20 * time.Millisecond

// Renewal renews the marks that its sender and its receiver both hold. To keep
// it small, it has one byte for each origin instead of the marks. It is sent as
// a Vouch message.
type Renewal struct {
	// Hash covers the origins that have marks, and their versions.
	Hash uint64
	// Ages holds the time since the last renewal by each origin, in units of
	// ageUnit, ordered by the hash of the origin.
	Ages []byte
}

// MarkVersion is the version and age of one origin's marks.
type MarkVersion struct {
	// Origin is the hash of the origin's key.
	Origin  uint64
	Version uint64
	Age     time.Duration
}

type activeOrigin struct {
	by Key
	*origin
}

// activeOrigins returns the origins that have marks and have not expired,
// ordered by hash.
func (m *Marks) activeOrigins(now time.Duration) []activeOrigin {
	var vs []activeOrigin
	for by, o := range m.origins {
		if len(o.marks) > 0 && now-o.renewedAt < MarkTTL {
			vs = append(vs, activeOrigin{by, o})
		}
	}
	slices.SortFunc(vs, func(a, b activeOrigin) int { return cmp.Compare(a.hash, b.hash) })
	return vs
}

// Renewal renews the owner's marks and returns the renewal to send to other
// balancers. Its Ages are empty if there are no marks.
func (m *Marks) Renewal(now time.Duration, self Key) Renewal {
	if o := m.origins[self]; o != nil {
		o.renewedAt = now
	}
	vs := m.activeOrigins(now)
	v := Renewal{Hash: hashVersions(vs)}
	for _, o := range vs {
		v.Ages = append(v.Ages, byte((now-o.renewedAt)/ageUnit+1))
	}
	return v
}

func hashVersions(vs []activeOrigin) uint64 {
	b := make([]byte, 0, 16*len(vs))
	for _, o := range vs {
		b = binary.BigEndian.AppendUint64(b, o.hash)
		b = binary.BigEndian.AppendUint64(b, o.version)
	}
	return xxhash.Sum64(b)
}

// Renew applies the ages of a renewal. It reports whether both sides hold the
// same marks; if not, it changes nothing.
func (m *Marks) Renew(now time.Duration, self Key, v Renewal) bool {
	vs := m.activeOrigins(now)
	if hashVersions(vs) != v.Hash || len(vs) != len(v.Ages) {
		return false
	}
	for i, o := range vs {
		if o.by != self {
			o.renewedAt = max(o.renewedAt, now-time.Duration(v.Ages[i])*ageUnit)
		}
	}
	return true
}

// Versions returns the versions that a renewal covers.
func (m *Marks) Versions(now time.Duration) []MarkVersion {
	var ks []MarkVersion
	for _, o := range m.activeOrigins(now) {
		ks = append(ks, MarkVersion{o.hash, o.version, now - o.renewedAt})
	}
	return ks
}

// Compare renews the marks that both sides hold in the same version, and
// returns the hashes of the origins whose marks are newer on the other side.
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
		case k.Age < 0 || k.Age >= MarkTTL || k.Origin == self.Hash():
		case o == nil || o.version < k.Version:
			wanted = append(wanted, k.Origin)
		case o.version == k.Version:
			o.renewedAt = max(o.renewedAt, now-k.Age)
		}
	}
	return wanted
}

// FullUpdates returns a full update for each of the given origins, which are
// hashes of keys.
func (m *Marks) FullUpdates(now time.Duration, origins []uint64) []MarkUpdate {
	var us []MarkUpdate
	for _, o := range m.activeOrigins(now) {
		if !slices.Contains(origins, o.hash) {
			continue
		}
		u := MarkUpdate{By: o.by, Version: o.version, Full: true, Age: now - o.renewedAt}
		for k, c := range o.marks {
			u.Marks = append(u.Marks, Mark{k, c})
		}
		us = append(us, u)
	}
	return us
}
