package view

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Buckets is the number of bucket hashes below the root hash.
	Buckets = 64
	// TombstoneTime is how long a gone entry is kept.
	TombstoneTime = 10 * time.Minute
	// MaxEntries bounds the entries of a view: 4,500 endpoints and 440
	// balancers replaced several times within TombstoneTime.
	MaxEntries = 32768
)

// Item is an entry with the time since it went.
type Item struct {
	Entry
	// GoneFor is the time since the entry was first seen gone, summed over the
	// processes that passed it on; zero unless its state is Gone. Without it a
	// tombstone that expires at different times would return from peers forever.
	GoneFor time.Duration
}

type record struct {
	entry Entry
	hash  uint64
	// goneAt is the local time at which the entry went; valid only if it is gone.
	goneAt time.Duration
}

// View is a set of entries, one for each key. It is not safe for concurrent use.
type View struct {
	records map[Key]record
	buckets [Buckets]uint64
	// refused counts new entries that did not fit.
	refused uint64
}

// New returns an empty view.
func New() *View { return &View{records: map[Key]record{}} }

// Merge adopts the item if it is newer than the entry held and reports whether
// it did.
func (v *View) Merge(now time.Duration, i Item) bool {
	if i.State < Serving || i.State > Gone || !i.Key.Hop.IsValid() {
		return false
	}
	if i.State == Gone && i.GoneFor >= TombstoneTime {
		return v.mergeExpired(i)
	}
	old, held := v.records[i.Key]
	if held && !i.newer(&old.entry) {
		return false
	}
	if !held && len(v.records) >= MaxEntries {
		v.refused++
		return false
	}
	r := record{entry: i.Entry, hash: i.hash(), goneAt: now - i.GoneFor}
	v.toggle(old, held)
	v.toggle(r, true)
	v.records[i.Key] = r
	return true
}

// mergeExpired removes the entry that an expired tombstone outranks.
func (v *View) mergeExpired(i Item) bool {
	old, held := v.records[i.Key]
	if !held || !i.newer(&old.entry) {
		return false
	}
	v.remove(old)
	return true
}

func (v *View) remove(r record) {
	v.toggle(r, true)
	delete(v.records, r.entry.Key)
}

// toggle adds a record to its bucket hash or takes it out.
func (v *View) toggle(r record, held bool) {
	if held {
		v.buckets[bucketOf(r.entry.Key)] ^= r.hash
	}
}

func bucketOf(k Key) int { return int(k.Hash() % Buckets) }

// Expire removes tombstones that are older than TombstoneTime.
func (v *View) Expire(now time.Duration) {
	for _, r := range v.records {
		if r.entry.State == Gone && now-r.goneAt >= TombstoneTime {
			v.remove(r)
		}
	}
}

// Get returns the entry of a key.
func (v *View) Get(k Key) (Entry, bool) {
	r, ok := v.records[k]
	return r.entry, ok
}

// Len returns the number of entries, including tombstones.
func (v *View) Len() int { return len(v.records) }

// Refused returns how many new entries did not fit.
func (v *View) Refused() uint64 { return v.refused }

// Unsorted returns the entries that are not gone, in no order.
func (v *View) Unsorted() []Entry {
	es := make([]Entry, 0, len(v.records))
	for _, r := range v.records {
		if r.entry.State != Gone {
			es = append(es, r.entry)
		}
	}
	return es
}

// All returns all entries, tombstones included, in no order.
func (v *View) All() []Entry {
	es := make([]Entry, 0, len(v.records))
	for _, r := range v.records {
		es = append(es, r.entry)
	}
	return es
}

// Entries returns the entries that are not gone in the order of their keys.
func (v *View) Entries() []Entry {
	es := v.Unsorted()
	slices.SortFunc(es, func(a, b Entry) int { return a.Key.compare(b.Key) })
	return es
}

// Balancers returns the entries of balancers that are not gone, in no order.
func (v *View) Balancers() []Entry {
	var es []Entry
	for k, r := range v.records {
		if k.IsBalancer() && r.entry.State != Gone {
			es = append(es, r.entry)
		}
	}
	return es
}

func (k Key) compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Name, o.Name),
		k.Hop.Compare(o.Hop),
		cmp.Compare(k.Instance, o.Instance),
	)
}

// Digest returns the bucket hashes.
func (v *View) Digest() [Buckets]uint64 { return v.buckets }

// Root returns the hash over the bucket hashes.
func (v *View) Root() uint64 {
	var b [8 * Buckets]byte
	for i, h := range v.buckets {
		binary.BigEndian.PutUint64(b[8*i:], h)
	}
	return xxhash.Sum64(b[:])
}

// Differing returns the numbers of the buckets whose hashes differ.
func (v *View) Differing(other [Buckets]uint64) []int {
	var ns []int
	for i, h := range v.buckets {
		if h != other[i] {
			ns = append(ns, i)
		}
	}
	return ns
}

// Items returns the entries of the given buckets, tombstones included.
func (v *View) Items(now time.Duration, buckets []int) []Item {
	var wanted [Buckets]bool
	for _, n := range buckets {
		if n >= 0 && n < Buckets {
			wanted[n] = true
		}
	}
	var is []Item
	for k, r := range v.records {
		if wanted[bucketOf(k)] {
			is = append(is, r.item(now))
		}
	}
	return is
}

// Item returns the item of a key.
func (v *View) Item(now time.Duration, k Key) (Item, bool) {
	r, ok := v.records[k]
	return r.item(now), ok
}

func (r *record) item(now time.Duration) Item {
	i := Item{Entry: r.entry}
	if i.State == Gone {
		i.GoneFor = now - r.goneAt
	}
	return i
}
