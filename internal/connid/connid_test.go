package connid

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

func testKey(t testing.TB, number uint8, secret byte) *Key {
	t.Helper()
	k, err := NewKey(number, bytes.Repeat([]byte{secret}, SecretSize))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func testSet(t testing.TB, current uint8, keys ...*Key) *Set {
	t.Helper()
	s, err := NewSet(current, keys...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func randomTarget(r *rand.Rand) Target {
	var ip [4]byte
	copy(ip[:], randomBytes(r, 4))
	return Target{
		Endpoint: ident.EndpointID{
			Addr:     netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(r.Uint32())),
			Instance: ident.Instance(r.Uint32() & (1<<24 - 1)),
		},
		Service: ident.ServiceTag(r.Uint32()),
	}
}

func randomBytes(r *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// TestDecode guards against IDs that cannot be decoded during a key rotation,
// IDs that are accepted under a removed key or another secret, and repeated
// IDs.
func TestDecode(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	before, during := testSet(t, 1, testKey(t, 1, 1)), testSet(t, 2, testKey(t, 1, 1), testKey(t, 2, 2))
	after, other := testSet(t, 2, testKey(t, 2, 2)), testSet(t, 1, testKey(t, 1, 9))
	var d Decoder
	seen := map[[Size]byte]bool{}
	for n := range uint32(2000) {
		want := randomTarget(r)
		id := before.Encode(want, n)
		if seen[id] {
			t.Fatalf("ID %x occurs twice", id)
		}
		seen[id] = true
		for _, s := range []*Set{before, during} {
			if have, ok := d.Decode(s, id[:]); !ok || have != want {
				t.Fatalf("decoded: want %v, have %v, %v", want, have, ok)
			}
		}
		for _, s := range []*Set{after, other} {
			if have, ok := d.Decode(s, id[:]); ok {
				t.Fatalf("decoded without the key: have %v", have)
			}
		}
		if _, ok := d.Decode(before, id[:Size-1]); ok || !after.UnknownKey(id[:]) || during.UnknownKey(id[:]) {
			t.Fatal("ID of a wrong length accepted, or removed key not recognized")
		}
	}
	target := randomTarget(r)
	if before.Encode(target, 1) == before.Encode(target, 2) {
		t.Error("IDs of one target are equal")
	}
}

// TestRandomIDs checks that a random ID with the right length and a known key
// number decodes with a probability of 2^-16. Of 200,000 IDs, 3 are expected to
// decode; the bound of 15 is seven standard deviations higher.
func TestRandomIDs(t *testing.T) {
	const ids, bound = 200_000, 15
	r := rand.New(rand.NewPCG(3, 4))
	s := testSet(t, 1, testKey(t, 1, 1))
	var (
		d    Decoder
		have int
	)
	for range ids {
		id := randomBytes(r, Size)
		id[0] = 1<<keyShift | blockSize
		if _, ok := d.Decode(s, id); ok {
			have++
		}
	}
	if have > bound {
		t.Errorf("decoded: want at most %d, have %d", bound, have)
	}
}

// TestInvalidKeys guards against accepting invalid keys and key sets.
func TestInvalidKeys(t *testing.T) {
	one, two, three := testKey(t, 1, 1), testKey(t, 2, 2), testKey(t, 3, 3)
	for name, f := range map[string]func() error{
		"number too high":  func() error { _, err := NewKey(7, make([]byte, SecretSize)); return err },
		"secret too short": func() error { _, err := NewKey(1, make([]byte, SecretSize-1)); return err },
		"no key":           func() error { _, err := NewSet(0); return err },
		"current missing":  func() error { _, err := NewSet(3, one, two); return err },
		"current too high": func() error { _, err := NewSet(200, one); return err },
		"repeated number":  func() error { _, err := NewSet(1, one, one); return err },
		"three keys":       func() error { _, err := NewSet(1, one, two, three); return err },
	} {
		if f() == nil {
			t.Errorf("%s: want an error", name)
		}
	}
}

func longHeader(version, first byte, idSize, rest int) []byte {
	p := append([]byte{first, 0, 0, 0, version, byte(idSize)}, bytes.Repeat([]byte{7}, idSize)...)
	return append(p, make([]byte, rest)...)
}

// TestParseHeader guards against misread headers, in particular against
// treating a packet as the start of a flow although a server must not answer
// it.
func TestParseHeader(t *testing.T) {
	for _, c := range []struct {
		name       string
		packet     []byte
		ok         bool
		size       int
		startsFlow bool
	}{
		{"short", make([]byte, 40), true, Size, false},
		{"short, just the ID", make([]byte, 1+Size), true, Size, false},
		{"short, truncated", make([]byte, Size), false, 0, false},
		{"Initial", longHeader(1, 0xc0, 8, 40), true, 8, true},
		{"0-RTT", longHeader(1, 0xd0, 8, 40), true, 8, true},
		{"Handshake", longHeader(1, 0xe0, Size, 40), true, Size, false},
		{"Retry", longHeader(1, 0xf0, Size, 40), true, Size, false},
		{"version negotiation", longHeader(0, 0xc0, 8, 40), true, 8, false},
		{"unknown version", longHeader(9, 0xf0, 8, 40), true, 8, true},
		{"ID too short to start", longHeader(1, 0xc0, 7, 40), true, 7, false},
		{"longest ID", longHeader(1, 0xc0, 20, 40), true, 20, true},
		{"ID too long", longHeader(1, 0xc0, 21, 40), false, 0, false},
		{"truncated ID", longHeader(1, 0xc0, 20, 0)[:25], false, 0, false},
		{"empty", nil, false, 0, false},
	} {
		h, ok := ParseHeader(c.packet)
		if ok != c.ok || len(h.ID) != c.size || h.StartsFlow != c.startsFlow {
			t.Errorf("%s: want %v, %d, %v, have %v, %d, %v", c.name, c.ok, c.size, c.startsFlow, ok, len(h.ID), h.StartsFlow)
		}
		if want := c.name == "Handshake"; h.Handshake != want {
			t.Errorf("%s: Handshake: want %v, have %v", c.name, want, h.Handshake)
		}
	}
}

func FuzzParseHeader(f *testing.F) {
	f.Add(make([]byte, 1+Size))
	f.Add(longHeader(1, 0xc0, 8, 40))
	f.Add(longHeader(0, 0xff, 20, 0))
	f.Add(longHeader(1, 0xc0, 21, 40))
	f.Fuzz(func(t *testing.T, p []byte) {
		h, ok := ParseHeader(p)
		if !ok {
			return
		}
		if at := bytes.Index(p, h.ID); len(h.ID) > maxIDSize || at < 0 || h.Long != (p[0]&longHeaderBit != 0) {
			t.Errorf("packet %x: have %+v", p, h)
		}
		if h.StartsFlow && (!h.Long || len(h.ID) < minInitialIDSize || bytes.Equal(p[1:5], make([]byte, 4))) {
			t.Errorf("packet %x must not start a flow", p)
		}
	})
}

func FuzzDecode(f *testing.F) {
	s := testSet(f, 2, testKey(f, 1, 1), testKey(f, 2, 2))
	id := s.Encode(Target{Endpoint: ident.EndpointID{Addr: netip.MustParseAddrPort("10.0.0.1:4433"), Instance: 5}, Service: 6}, 7)
	f.Add(id[:])
	f.Add(id[:Size-1])
	f.Add([]byte{0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, id []byte) {
		var d Decoder
		was := bytes.Clone(id)
		have, ok := d.Decode(s, id)
		if !bytes.Equal(id, was) {
			t.Errorf("ID changed from %x to %x", was, id)
		}
		if ok && (len(id) != Size || s.UnknownKey(id) || !have.Endpoint.Addr.Addr().Is4()) {
			t.Errorf("ID %x: have %v", id, have)
		}
	})
}
