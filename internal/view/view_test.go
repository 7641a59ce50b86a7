package view

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

func drawItem(t *rapid.T) Item {
	n := rapid.IntRange(1, 6).Draw(t, "key")
	k := Key{Hop: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), Instance: ident.Instance(n % 2)}
	if n%3 == 0 {
		k.Name = fmt.Sprint("b", n)
	}
	return Item{Entry: Entry{
		Key:   k,
		State: State(rapid.IntRange(int(Serving), int(Gone)).Draw(t, "state")),
		Seq:   ident.Seq(rapid.IntRange(1, 4).Draw(t, "seq")),
		Place: ident.PlaceName(rapid.SampledFrom([]string{"recife", "fortaleza"}).Draw(t, "place")),
	}}
}

func drawItems(t *rapid.T, name string) []Item {
	return rapid.SliceOfN(rapid.Custom(drawItem), 0, 20).Draw(t, name)
}

func merged(lists ...[]Item) *View {
	v := New()
	for _, is := range lists {
		for _, i := range is {
			v.Merge(0, i)
		}
	}
	return v
}

func all() []int {
	ns := make([]int, Buckets)
	for i := range ns {
		ns[i] = i
	}
	return ns
}

// TestMergeLaws guards against views that depend on the order or the number of
// deliveries: they would differ forever after loss and duplication.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawItems(t, "a"), drawItems(t, "b"), drawItems(t, "c")
		want := merged(a, b, c).Digest()
		for name, v := range map[string]*View{
			"commutative": merged(c, b, a),
			"idempotent":  merged(a, b, c, c, b, a),
			"associative": merged(a, merged(b, c).Items(0, all())),
		} {
			if v.Digest() != want {
				t.Fatalf("%s: digests differ", name)
			}
		}
	})
}

// TestNeverGoesBack guards against a late or duplicate update that revives a
// gone entry or returns an older version.
func TestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New()
		for _, i := range drawItems(t, "updates") {
			old, held := v.Get(i.Key)
			v.Merge(0, i)
			e, _ := v.Get(i.Key)
			if held && (e.Seq < old.Seq || e.Seq == old.Seq && e.State < old.State) {
				t.Fatalf("went back: have %+v after %+v", e, old)
			}
		}
	})
}

// TestExchangeConverges guards the digest: entries that differ in any field
// must be found through it, and one exchange must make the views equal.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := merged(drawItems(t, "a")), merged(drawItems(t, "b"))
		ns := a.Differing(b.Digest())
		fromA, fromB := a.Items(0, ns), b.Items(0, ns)
		for _, i := range fromA {
			b.Merge(0, i)
		}
		for _, i := range fromB {
			a.Merge(0, i)
		}
		if a.Root() != b.Root() || a.Len() != b.Len() {
			t.Fatalf("views differ after an exchange: %v, %v", a.Entries(), b.Entries())
		}
	})
}

// TestTombstoneExpires guards against tombstones that two views with different
// expiry times return to each other forever.
func TestTombstoneExpires(t *testing.T) {
	i := Item{Entry: Entry{Key: Key{Hop: netip.MustParseAddrPort("10.0.0.1:7000")}, State: Gone, Seq: 3}}
	a, b := New(), New()
	a.Merge(0, i)
	for now := time.Duration(0); now < 2*TombstoneTime; now += time.Minute {
		b.Expire(now)
		for _, i := range a.Items(now, all()) {
			b.Merge(now, i)
		}
		a.Expire(now)
		for _, i := range b.Items(now, all()) {
			a.Merge(now, i)
		}
		if want := now < TombstoneTime; want != (b.Len() == 1) {
			t.Fatalf("after %v: want kept %v, have %d entries", now, want, b.Len())
		}
	}
	i.State = Serving
	if a.Merge(2*TombstoneTime, i); a.Len() != 1 || a.Root() == New().Root() {
		t.Fatal("entry is not in the digest after the tombstone expired")
	}
}
