package frame

import (
	"math"
	"time"
)

const (
	// minRate is the lowest rate that a datagram can carry.
	minRate = 1.0 / 16
	// rateSteps is the number of encoded rates between a rate and its double.
	rateSteps = 16
	// minWarmup is the shortest warm-up that a datagram can carry.
	minWarmup = 250 * time.Millisecond
	// maxWarmupCode is the highest encoded warm-up; it stands for 2.3 hours.
	maxWarmupCode = 15
)

// opens reports whether datagrams of this kind carry an opening packet to an agent.
func (k Kind) opens() bool { return k == Offer || k == Placed }

// encodeRate encodes a rate in four bits of exponent and four of mantissa.
func encodeRate(r float64) byte {
	if !(r > minRate) {
		return 0
	}
	fraction, exponent := math.Frexp(r / minRate)
	code := (exponent-1)*rateSteps + int((2*fraction-1)*rateSteps)
	return byte(min(code, math.MaxUint8))
}

func decodeRate(c byte) float64 {
	return math.Ldexp(minRate*(1+float64(c%rateSteps)/rateSteps), int(c/rateSteps))
}

func encodeWarmup(d time.Duration) byte {
	var c byte
	for c < maxWarmupCode && decodeWarmup(c) < d {
		c++
	}
	return c
}

func decodeWarmup(c byte) time.Duration { return minWarmup << c }

// openingFields returns the flags and the byte of TrialsLeft of an Offer or Placed.
func (f *Frame) openingFields() (flags, trials byte) {
	if f.Pressing {
		flags |= flagPressing
	}
	flags |= min(f.TrialsLeft, maxResets) << resetsShift
	if f.ColdRate > 0 {
		flags |= flagCold | encodeWarmup(f.Warmup)<<coldShift
		trials = encodeRate(f.ColdRate)
	}
	return flags, trials
}

func (f *Frame) parseOpeningFields(flags, trials byte) {
	f.Hinted, f.Unsure, f.Tried, f.Waits = false, false, false, false
	f.Pressing, f.TrialsLeft = flags&flagPressing != 0, flags>>resetsShift&maxResets
	if flags&flagCold != 0 {
		f.ColdRate, f.Warmup = decodeRate(trials), decodeWarmup(flags>>coldShift)
	}
}
