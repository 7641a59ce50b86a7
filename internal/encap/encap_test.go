package encap

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

func keys(t testing.TB, current uint8, numbers ...uint8) *connid.Set {
	t.Helper()
	var ks []*connid.Key
	for _, n := range numbers {
		k, err := connid.NewKey(n, bytes.Repeat([]byte{n}, connid.SecretSize))
		if err != nil {
			t.Fatal(err)
		}
		ks = append(ks, k)
	}
	s, err := connid.NewSet(current, ks...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// headers returns one header of each kind. Those of new flows have count
// candidates.
func headers(count uint8) []Header {
	var hs []Header
	for k := Established; k <= lastKind; k++ {
		h := Header{Kind: k, Service: 0xabcd, Instance: 0x123456, Caller: netip.MustParseAddrPort("192.0.2.1:50000")}
		if h.hasCandidates() {
			h.Count, h.Position = count, count-1
			h.Balancer = netip.MustParseAddrPort("10.0.0.9:7000")
			for i := range count {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 4433)
				h.Candidates[i] = Candidate{ident.EndpointID{Addr: a, Instance: ident.Instance(i) + 1}, Depth(i) * DepthUnit}
			}
		}
		hs = append(hs, h)
	}
	return hs
}

func packet(s *connid.Set, h Header, payload []byte) []byte {
	p := make([]byte, h.Size()+len(payload))
	copy(p[h.Size():], payload)
	h.Put(s.Current, p)
	return p
}

// TestRoundTrip guards against fields that are lost between encoding and
// decoding, against accepting a change of an octet that the MAC covers, and
// against accepting truncated packets or panicking on them.
func TestRoundTrip(t *testing.T) {
	s, rotated, removed := keys(t, 1, 1, 2), keys(t, 2, 1, 2), keys(t, 2, 2)
	for count := uint8(1); count <= MaxCandidates; count++ {
		for _, want := range headers(count) {
			for _, size := range []int{0, 1, macPayloadSize, 1200} {
				payload := bytes.Repeat([]byte{0x5a}, size)
				p := packet(s, want, payload)
				var have Header
				got, reason := have.Parse(rotated, p)
				have.Candidates = [MaxCandidates]Candidate(append(have.Candidates[:have.Count:have.Count], make([]Candidate, MaxCandidates-have.Count)...))
				if reason != FaultNone || have != want || !bytes.Equal(got, payload) {
					t.Fatalf("want %+v, have %+v, fault %q and a payload of %d octets", want, have, reason, len(got))
				}
				if _, reason := have.Parse(removed, p); reason != FaultKey {
					t.Errorf("removed key: have fault %q", reason)
				}
				covered := want.Size() + min(size, macPayloadSize)
				for bit := range 8 * covered {
					p[bit/8] ^= 1 << (bit % 8)
					if _, reason := have.Parse(s, p); reason == FaultNone {
						t.Fatalf("kind %d: packet with bit %d inverted is accepted", want.Kind, bit)
					}
					p[bit/8] ^= 1 << (bit % 8)
				}
				for n := range covered {
					if _, reason := have.Parse(s, p[:n:n]); reason == FaultNone {
						t.Fatalf("kind %d: packet truncated to %d of %d octets is accepted", want.Kind, n, len(p))
					}
				}
			}
		}
	}
}

// FuzzParse guards against panics and against different encodings of the same
// header.
func FuzzParse(f *testing.F) {
	s := keys(f, 1, 1, 2)
	for count := uint8(1); count <= MaxCandidates; count++ {
		for _, h := range headers(count) {
			f.Add(packet(s, h, []byte("payload")))
		}
	}
	f.Add([]byte{})
	f.Add(make([]byte, MaxSize))
	f.Fuzz(func(t *testing.T, p []byte) {
		var h Header
		_, reason := h.Parse(s, p)
		if reason == FaultCheck {
			// Correct the MAC, so that the fuzzer reaches the code behind its
			// verification.
			n := h.Size() - macSize
			binary.BigEndian.PutUint64(p[n:], computeMAC(s.Key(p[2]), p, n))
			_, reason = h.Parse(s, p)
		}
		if reason != FaultNone {
			return
		}
		again := bytes.Clone(p)
		clear(again[:h.Size()])
		if h.Put(s.Key(p[2]), again); !bytes.Equal(again, p) {
			t.Errorf("encoded again: want %x, have %x", p, again)
		}
	})
}
