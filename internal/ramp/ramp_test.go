package ramp

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	step   = 5 * time.Millisecond
	warmup = 2 * time.Second
)

// offer offers more requests than the upstream bears from one time to another and
// returns when it gets one.
func offer(l *Limiter, from, to time.Duration, full float64) (taken []time.Duration) {
	for now := from; now < to; now += step {
		l.Announce(now, l.limit, full)
		for n := 0; l.Wait(now, 0) == 0 && n < 10; n++ {
			l.Take(now)
			taken = append(taken, now)
		}
	}
	return taken
}

// most returns the largest number of the requests in any second.
func most(taken []time.Duration) int {
	n, first := 0, 0
	for i, at := range taken {
		for at-taken[first] >= time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// TestColdRate guards a cold upstream against more requests in any second than the
// users' bound, and callers against an upstream that gets less than it bears.
func TestColdRate(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 20, 100} {
		l := New(0, time.Second)
		l.Announce(0, Limit{rate, warmup}, 100)
		l.Report(0, 10*time.Second)
		have := offer(&l, 0, 10*time.Second, 1000)
		if n := most(have); float64(n) > rate+burst+1 || float64(n) > 1.5*rate+5 {
			t.Errorf("rate %g: %d requests in one second", rate, n)
		}
		if float64(len(have)) < 0.9*rate*10 {
			t.Errorf("rate %g: only %d requests in 10 s", rate, len(have))
		}
	}
}

// TestRestartedLimits guards the bound when the state is set again and again.
func TestRestartedLimits(t *testing.T) {
	const rate = 4
	r := rand.New(rand.NewPCG(1, 2))
	l := New(0, time.Second)
	var taken []time.Duration
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		l.Announce(now, Limit{rate, warmup}, 100)
		if r.IntN(2) == 0 {
			l.Expect(now)
		} else {
			l.Report(now, time.Second)
		}
		taken = append(taken, offer(&l, now, now+50*time.Millisecond, 100)...)
	}
	if n := most(taken); n > rate+burst+1 {
		t.Errorf("%d requests in one second", n)
	}
}

// TestStates checks when an upstream counts as cold.
func TestStates(t *testing.T) {
	const s = time.Second
	l := New(0, s)
	want := func(at time.Duration, want State) {
		t.Helper()
		l.Announce(at, Limit{10, warmup}, 100)
		if have := l.State(at); have != want {
			t.Errorf("after %v: want %v, have %v", at, want, have)
		}
	}
	if l.State(0) != Unlimited || l.Wait(0, 100) != 0 {
		t.Error("no limit is known: want unlimited")
	}
	want(0, Cold) // It may have started with the limiter.
	l.Report(s/2, 0)
	want(s/2, Unlimited)
	l.Report(s, warmup)
	want(2*s, Cold)
	want(3*s, Ramping)
	l.Report(3*s+s/2, 0)
	want(3*s+s/2, Ramping)
	want(4*s, Unlimited)
	l.Expect(5 * s)
	want(5*s, Cold)
	l.Report(6*s, 0)
	want(6*s, Unlimited)
	l.Expect(10 * s)
	want(12*s, Cold)
	want(13*s, Unlimited) // No report has come.
	l.Report(14*s, warmup)
	l.Report(15*s, 0) // The warm-up has ended early.
	want(15*s, Ramping)
	l.Expect(20 * s)
	want(20*s, Cold)
	l.limit.Warmup = time.Hour
	if l.State(20*s+keepTime) != Unlimited {
		t.Error("the limit is no longer announced: want unlimited")
	}
}

// TestRamp guards an upstream against the full load at the moment its warm-up ends.
func TestRamp(t *testing.T) {
	l := New(0, time.Second)
	l.Announce(0, Limit{10, warmup}, 100)
	l.Report(0, warmup)
	taken := offer(&l, warmup, warmup+rampTime, 100)
	var half int
	for _, at := range taken {
		if at < warmup+rampTime/2 {
			half++
		}
	}
	if rest := len(taken) - half; half > 25 || rest < 30 || rest > 50 {
		t.Errorf("want about 16 and 39 requests in the two halves of the ramp, have %d and %d", half, rest)
	}
}
