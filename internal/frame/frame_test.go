package frame

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

func addr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// TestFrame checks that encoding and decoding preserve all fields.
func TestFrame(t *testing.T) {
	for _, want := range []Frame{
		{Kind: Ping, Balancer: addr("0.0.0.0:0")},
		{Kind: Taken, Balancer: addr("10.0.0.1:7000"), Payload: make([]byte, 12)},
		{
			Kind: Offer, Position: 1, Service: 0xdeadbeef, Balancer: addr("10.0.0.1:7000"),
			ObjectiveMillis: 250, TimeoutMillis: 1500, AgeMillis: 700, Priority: 3,
			Candidates: []Candidate{{addr("10.0.0.2:8000"), 17}, {addr("10.0.0.3:8000"), DepthClosed}},
			Payload:    []byte("packet"),
		},
		{Kind: Placed, Balancer: addr("10.0.0.1:7000"), ColdRate: 12, Warmup: 2 * time.Second, Payload: []byte("packet")},
		{Kind: Taken, Open: true, Balancer: addr("0.0.0.0:0"), Payload: make([]byte, 12)},
		{Kind: Taken, Answered: true, First: 0xfedcba98, Unsure: true, Waits: true, ObjectiveMillis: 180, Payload: make([]byte, 12)},
		{Kind: Refused, Waits: true, TrialsLeft: 2, ObjectiveMillis: 180, TimeoutMillis: 40, Balancer: addr("10.0.0.1:7000")},
		{Kind: Placed, Pressing: true, Balancer: addr("10.0.0.1:7000")},
		{Kind: Offer, Pressing: true, TrialsLeft: 2, ColdRate: 12, Warmup: 2 * time.Second, Balancer: addr("10.0.0.1:7000")},
		{Kind: Data, Hinted: true, Tried: true, TrialsLeft: 2, Balancer: addr("10.0.0.1:7000"), Payload: []byte("packet")},
	} {
		var have Frame
		if !have.Parse(want.Append(nil)) {
			t.Errorf("frame %+v is not parsed", want)
			continue
		}
		if len(have.Candidates) == 0 {
			have.Candidates = nil
		}
		if len(have.Payload) == 0 {
			have.Payload = nil
		}
		if !reflect.DeepEqual(want, have) {
			t.Errorf("want %+v, have %+v", want, have)
		}
	}
}

// TestParseRefuses checks that malformed or foreign datagrams are refused.
func TestParseRefuses(t *testing.T) {
	good := (&Frame{Kind: Offer, Candidates: []Candidate{{Addr: addr("10.0.0.2:8000")}}}).Append(nil)
	for name, change := range map[string]func(b []byte) []byte{
		"empty":         func([]byte) []byte { return nil },
		"short":         func(b []byte) []byte { return b[:headerSize-1] },
		"other version": func(b []byte) []byte { b[0]++; return b },
		"no kind":       func(b []byte) []byte { b[1] = 0; return b },
		"unknown kind":  func(b []byte) []byte { b[1] = byte(lastKind) + 1; return b },
		"position":      func(b []byte) []byte { b[2] = 1; return b },
		"cut list":      func(b []byte) []byte { return b[:len(b)-1] },
		"long list":     func(b []byte) []byte { b[3] = MaxCandidates + 1; return b },
	} {
		var f Frame
		if f.Parse(change(append([]byte(nil), good...))) {
			t.Errorf("%s: want the datagram refused, have %+v", name, f)
		}
	}
}

// TestAllocations checks that encoding and decoding do not allocate.
func TestAllocations(t *testing.T) {
	f := Frame{Kind: Data, Payload: make([]byte, 1232)}
	b := make([]byte, 0, MaxSize)
	var parsed Frame
	if n := testing.AllocsPerRun(100, func() {
		b = f.Append(b[:0])
		parsed.Parse(b)
	}); n > 0 {
		t.Errorf("want no allocations, have %v", n)
	}
}

// FuzzParse checks that no datagram causes a panic or a position outside the list.
func FuzzParse(f *testing.F) {
	f.Add((&Frame{Kind: Offer, Candidates: []Candidate{{Addr: addr("10.0.0.2:8000")}}, Payload: []byte("p")}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Frame
		if p.Parse(b) && len(p.Candidates) > 0 && p.Position >= len(p.Candidates) {
			t.Fatalf("position %d is outside a list of %d candidates", p.Position, len(p.Candidates))
		}
	})
}

// TestQuery checks that the payloads of queries and answers are preserved, and that
// malformed ones are refused.
func TestQuery(t *testing.T) {
	answers := []Holds{Held, NotHeld, MaybeHeld, Unlikely, NotKnown, Opening}
	f := Frame{Payload: HoldingPayload(7, answers)}
	if n, have, ok := f.Holding(); !ok || n != 7 || !reflect.DeepEqual(have, answers) {
		t.Errorf("want answers %v to query 7, have %v, %d, %v", answers, have, n, ok)
	}
	key := flow.KeyOf(addr("100.64.0.1:40000"), addr("198.18.0.1:443"))
	f.Payload = append([]byte{0, 0, 0, 9}, key[:]...)
	if n, keys, ok := f.Query(); !ok || n != 9 || len(keys) != 1 || keys[0] != key {
		t.Errorf("want query 9 for %v, have %v, %d, %v", key, keys, n, ok)
	}
	for name, size := range map[string]int{
		"empty": 0, "cut number": numberSize - 1, "cut key": numberSize + len(key) - 1, "too many": numberSize + (MaxKeys+1)*len(key),
	} {
		f.Payload = make([]byte, size)
		if _, _, ok := f.Query(); ok {
			t.Errorf("%s: want the query refused", name)
		}
		if _, _, ok := f.Holding(); ok && (size < numberSize || size > numberSize+MaxKeys) {
			t.Errorf("%s: want the answer refused", name)
		}
	}
}
