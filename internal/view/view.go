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
	// TombstoneTTL is how long a gone entry is kept, counted from the time when
	// it became gone.
	TombstoneTTL = 10 * time.Minute
	// maxSeq is the highest version of an entry. A process that is told of a version of
	// its own entry continues above it, which must not overflow.
	maxSeq = 1 << 62
	// MaxEntries limits the entries of a view. It leaves room for 4,500
	// endpoints and 440 balancers that are replaced several times within
	// TombstoneTTL.
	MaxEntries = 32768
)

// Item is an entry as processes exchange it, with the age of a tombstone.
type Item struct {
	Entry
	// GoneFor is the time since the entry became gone, summed over the processes
	// that forwarded it; zero unless State is Gone. Without it, each view would
	// count from the arrival of the tombstone. Views would expire it at different
	// times and keep getting it back from peers.
	GoneFor time.Duration
}

type record struct {
	entry Entry
	hash  uint64
	// goneAt is the local time at which the entry became gone; valid only if
	// its state is Gone.
	goneAt time.Duration
}

// View holds one entry for each key. It is not safe for concurrent use.
type View struct {
	records map[Key]record
	// buckets holds the XOR of the entry hashes in each bucket.
	buckets [Buckets]uint64
	// refused counts the new entries rejected because of MaxEntries.
	refused uint64
}

// New returns an empty view.
func New() *View { return &View{records: map[Key]record{}} }

// Merge stores the item if it is newer than the entry held and reports whether
// the view changed.
func (v *View) Merge(now time.Duration, i Item) bool {
	if i.State < Serving || i.State > Gone || !i.Key.Hop.IsValid() || i.Seq > maxSeq {
		return false
	}
	if i.State == Gone && i.GoneFor >= TombstoneTTL {
		return v.mergeExpired(i)
	}
	old, held := v.records[i.Key]
	if held && !i.newerThan(&old.entry) {
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

// mergeExpired removes the entry held if the expired tombstone i is newer.
func (v *View) mergeExpired(i Item) bool {
	old, held := v.records[i.Key]
	if !held || !i.newerThan(&old.entry) {
		return false
	}
	v.remove(old)
	return true
}

func (v *View) remove(r record) {
	v.toggle(r, true)
	delete(v.records, r.entry.Key)
}

// toggle combines the hash of a record with that of its bucket by XOR. XOR is
// its own inverse, so the same call adds and removes a record. It does nothing
// if present is false.
func (v *View) toggle(r record, present bool) {
	if present {
		v.buckets[bucketOf(r.entry.Key)] ^= r.hash
	}
}

func bucketOf(k Key) int { return int(k.Hash() % Buckets) }

// Expire removes tombstones that are older than TombstoneTTL.
func (v *View) Expire(now time.Duration) {
	for _, r := range v.records {
		if r.entry.State == Gone && now-r.goneAt >= TombstoneTTL {
			v.remove(r)
		}
	}
}

// Get returns the entry of a key, which may be a tombstone.
func (v *View) Get(k Key) (Entry, bool) {
	r, ok := v.records[k]
	return r.entry, ok
}

// Len returns the number of entries, including tombstones.
func (v *View) Len() int { return len(v.records) }

// Refused returns the number of new entries rejected because of MaxEntries.
func (v *View) Refused() uint64 { return v.refused }

// EntriesUnsorted returns the entries that are not gone, in no order.
func (v *View) EntriesUnsorted() []Entry {
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

// Entries returns the entries that are not gone, ordered by key.
func (v *View) Entries() []Entry {
	es := v.EntriesUnsorted()
	slices.SortFunc(es, func(a, b Entry) int { return a.Key.compare(b.Key) })
	return es
}

// Balancers returns the entries of balancers that are not gone, ordered by key.
func (v *View) Balancers() []Entry {
	var es []Entry
	for k, r := range v.records {
		if k.IsBalancer() && r.entry.State != Gone {
			es = append(es, r.entry)
		}
	}
	slices.SortFunc(es, func(a, b Entry) int { return a.Key.compare(b.Key) })
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

// DifferingBuckets returns the indexes of the buckets whose hashes differ.
func (v *View) DifferingBuckets(other [Buckets]uint64) []int {
	var ns []int
	for i, h := range v.buckets {
		if h != other[i] {
			ns = append(ns, i)
		}
	}
	return ns
}

// Items returns the entries of the given buckets, tombstones included, ordered by key.
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
	slices.SortFunc(is, func(a, b Item) int { return a.Key.compare(b.Key) })
	return is
}

// Item returns the entry of a key together with its tombstone age.
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
