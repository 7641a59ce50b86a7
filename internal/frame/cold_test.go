package frame

import (
	"bytes"
	"testing"
	"time"
)

// TestColdFields checks that the limit of cold upstreams is never announced higher than it
// is, that the layout stays the same, and that other kinds do not carry it.
func TestColdFields(t *testing.T) {
	for r := 0.07; r < 3900; r *= 1.01 {
		f := Frame{Kind: Offer, ColdRate: r, Warmup: time.Duration(r * float64(time.Second)), Payload: []byte("packet")}
		var have Frame
		if !have.Parse(f.Append(nil)) || have.ColdRate > r || have.ColdRate < 0.93*r || have.TrialsLeft != 0 {
			t.Fatalf("want a rate of at most %g, have %+v", r, have)
		}
		if have.Warmup < f.Warmup || have.Warmup > max(minWarmup, 2*f.Warmup) {
			t.Fatalf("want a warm-up of at least %v, have %v", f.Warmup, have.Warmup)
		}
	}
	for rate, want := range map[float64]float64{1e-9: minRate, 1e9: 3968} {
		if have := decodeRate(encodeRate(rate)); have != want {
			t.Errorf("rate %g: want %g, have %g", rate, want, have)
		}
	}
	plain, limited := Frame{Kind: Offer, Payload: []byte("packet")}, Frame{Kind: Offer, ColdRate: 5, Payload: []byte("packet")}
	a, b := plain.Append(nil), limited.Append(nil)
	a[4], a[5], b[4], b[5] = 0, 0, 0, 0 // Earlier versions ignore them on an Offer.
	if !bytes.Equal(a, b) {
		t.Errorf("want the layout without a limit, have %x and %x", a, b)
	}
	limited.Kind, limited.TrialsLeft = Data, 2
	var have Frame
	if !have.Parse(limited.Append(nil)) || have.TrialsLeft != 2 || have.ColdRate != 0 {
		t.Errorf("want no limit on other kinds, have %+v", have)
	}
}
