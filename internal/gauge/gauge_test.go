package gauge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// server simulates an upstream that is kept at a number of requests at once by an agent.
type server struct {
	t   *testing.T
	rng *rand.Rand
	g   Gauge
	now time.Duration
	// work is the mean work time of requests that run beside up to knee others; beyond,
	// it doubles. slots is the true number of slots, declared the declared one.
	work                  time.Duration
	slots, knee, declared int
	// spread is the standard deviation of the logarithm of the work time; tail is the
	// share of requests that take seven times as long.
	spread, tail float64
	running      []run
	waiting      []run
	ended        int
	changes      int
}

type run struct {
	from, until time.Duration
	atOnce      int
	ended       int
	class       uint8
}

func newServer(t *testing.T, seed uint64) *server {
	return &server{t: t, rng: rand.New(rand.NewPCG(seed, 1)), work: 30 * time.Millisecond, slots: 4, declared: 4, spread: 0.5, tail: 0.03}
}

// play offers load requests, relative to slots and work, for a time. As an agent would, it
// passes at most one beyond the room at once; further ones are turned away.
func (s *server) play(d time.Duration, load float64) {
	rate := load * float64(s.slots) / s.work.Seconds()
	end := s.now + d
	next := s.now + time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second))
	for {
		first := -1
		for i := range s.running {
			if first < 0 || s.running[i].until < s.running[first].until {
				first = i
			}
		}
		if first >= 0 && s.running[first].until <= next && s.running[first].until < end {
			s.finish(first)
			continue
		}
		if next >= end {
			s.now = end
			return
		}
		s.now = next
		if n := len(s.running) + len(s.waiting) + 1; n <= s.limit() {
			s.waiting = append(s.waiting, run{from: s.now, atOnce: n, ended: s.ended, class: uint8(s.rng.IntN(2))})
			s.start()
		}
		next = s.now + time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second))
	}
}

func (s *server) start() {
	for len(s.waiting) > 0 && len(s.running) < s.slots {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		took := float64(s.work) * math.Exp(s.spread*s.rng.NormFloat64()-s.spread*s.spread/2)
		if r.class == 1 {
			took *= 1.3
		}
		if s.rng.Float64() < s.tail {
			took *= 7
		}
		if s.knee > 0 && len(s.running) >= s.knee {
			took *= 2
		}
		r.until = s.now + time.Duration(took)
		s.running = append(s.running, r)
	}
}

func (s *server) finish(i int) {
	r := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	s.now = r.until
	if s.g.Add(s.now, Sample{Took: s.now - r.from, AtOnce: r.atOnce, First: r.ended == s.ended, Class: r.class}, s.declared) {
		s.changes++
	}
	s.ended++
	s.start()
}

func (s *server) room() int { return s.g.Room(s.now, s.declared) }

func (s *server) limit() int {
	if s.g.Restricted() {
		return s.room()
	}
	return s.room() + 1
}

func within(have, want time.Duration, share float64) bool {
	return math.Abs(float64(have)/float64(want)-1) <= share
}

// TestTails guards callers of a healthy upstream: requests that take seven times as long as
// others must not make it look slow, or it would get less than its share.
func TestTails(t *testing.T) {
	for seed := range uint64(4) {
		s := newServer(t, seed)
		s.play(10*time.Second, 0.7)
		usual := s.g.Work()
		s.changes = 0
		for range 60 {
			s.play(time.Second, 0.7)
			if have := s.g.Work(); !within(have, usual, 0.25) {
				t.Errorf("seed %d, after %v: want a work time of about %v, have %v", seed, s.now, usual, have)
			}
		}
		if s.changes > 1 {
			t.Errorf("seed %d: want at most 1 change of speed in a minute, have %d", seed, s.changes)
		}
	}
}

// TestSlowDown guards callers of an upstream that becomes slow long before it is full, and
// callers of the others once it has recovered: both are noticed within two seconds.
func TestSlowDown(t *testing.T) {
	for seed := range uint64(4) {
		for _, factor := range []int{2, 5} {
			s := newServer(t, seed)
			s.play(10*time.Second, 0.6)
			usual := s.g.Work()
			s.work *= time.Duration(factor)
			s.play(2*time.Second, 0.6)
			if have := s.g.Work(); !within(have, usual*time.Duration(factor), 0.35) {
				t.Errorf("seed %d, 2 s at a work of %v, %d times as much: have %v", seed, usual, factor, have)
			}
			s.work /= time.Duration(factor)
			s.play(2*time.Second, 0.6)
			if have := s.g.Work(); !within(have, usual, 0.35) {
				t.Errorf("seed %d, 2 s after the recovery: want a work time of about %v, have %v", seed, usual, have)
			}
		}
	}
}

// TestRoom guards callers of upstreams whose declared slots are not what they take well:
// that are slower with more than half of them busy, or declare too many or too few.
func TestRoom(t *testing.T) {
	for _, c := range []struct {
		name                  string
		slots, knee, declared int
		load                  float64
		low, high             float64
	}{
		{"as declared", 4, 0, 4, 0.8, 3.8, 4},
		{"one slot", 1, 0, 1, 0.8, 1, 1},
		{"knee", 6, 3, 6, 0.6, 3, 4},
		{"too many declared", 3, 0, 8, 0.8, 3, 5},
		{"too few declared", 4, 0, 2, 0.8, 3.8, 4},
	} {
		for seed := range uint64(4) {
			s := newServer(t, seed)
			s.slots, s.knee, s.declared = c.slots, c.knee, c.declared
			s.play(10*time.Second, 0.5*c.load)
			s.play(30*time.Second, c.load)
			sum, samples := 0, 300
			for range samples {
				s.play(200*time.Millisecond, c.load)
				sum += s.room()
			}
			if mean := float64(sum) / float64(samples); mean < c.low || mean > c.high {
				t.Errorf("%s, seed %d: want a mean room of %v to %v, have %v", c.name, seed, c.low, c.high, mean)
			}
		}
	}
}

// TestPause checks that what was measured holds over a time without requests, and that the
// upstream is tried again at most twice a second.
func TestPause(t *testing.T) {
	s := newServer(t, 1)
	s.play(10*time.Second, 0.6)
	work := s.g.Work()
	if s.now += 100 * time.Millisecond; s.g.TrialDue(s.now) {
		t.Error("want no trial during traffic")
	}
	s.now += time.Minute
	if s.g.Work() != work || s.room() != 4 {
		t.Errorf("after a minute: want a work time of %v and a room of 4, have %v and %d", work, s.g.Work(), s.room())
	}
	trials := 0
	for end := s.now + 10*time.Second; s.now < end; s.now += 10 * time.Millisecond {
		if s.g.TrialDue(s.now) {
			s.g.Tried(s.now)
			trials++
		}
	}
	if trials < 19 || trials > 20 {
		t.Errorf("want 20 trials in 10 s, have %d", trials)
	}
	s.g.Add(s.now, Sample{Took: work / 3, AtOnce: 1}, 4)
	if s.now += 50 * time.Millisecond; !s.g.TrialDue(s.now) {
		t.Error("want another trial soon after a quick answer")
	}
}

// TestRareRecovery checks that a slow upstream that gets two requests a second is seen to
// have recovered within three of them, and that one long request among them changes
// nothing.
func TestRareRecovery(t *testing.T) {
	s := newServer(t, 2)
	s.work *= 5
	s.play(10*time.Second, 0.6)
	slow := s.g.Work()
	answer := func(after, took time.Duration) {
		s.now += after
		s.g.Add(s.now, Sample{Took: took, AtOnce: 1}, 4)
	}
	answer(2*time.Second, 7*slow)
	if have := s.g.Work(); !within(have, slow, 0.25) {
		t.Errorf("after one long request: want a work time of %v, have %v", slow, have)
	}
	for range 5 {
		answer(trialInterval, slow/5)
	}
	if have := s.g.Work(); have > slow/2 {
		t.Errorf("five quick answers after %v: have a work time of %v", slow, have)
	}
}

// TestMix checks that more requests of a kind that takes three times as long are no change
// of the speed of the upstream.
func TestMix(t *testing.T) {
	s := newServer(t, 1)
	play := func(share float64) {
		for range 400 {
			took, class := 30*time.Millisecond, uint8(0)
			if s.rng.Float64() < share {
				took, class = 90*time.Millisecond, 3
			}
			s.now += took
			took = time.Duration(float64(took) * math.Exp(0.3*s.rng.NormFloat64()))
			if s.g.Add(s.now, Sample{Took: took, AtOnce: 1, Class: class}, 4) && s.g.samples > 1200 {
				s.changes++
			}
		}
	}
	for _, share := range []float64{0.5, 0.5, 0.5, 0.7, 0.9, 0.5, 0.1} {
		play(share)
	}
	if s.changes > 0 {
		t.Errorf("want no change of speed, have %d", s.changes)
	}
}

// TestPeers checks that what was seen of others is forgotten.
func TestPeers(t *testing.T) {
	var g Gauge
	for range 8 {
		g.SawPeer(time.Second, 40*time.Millisecond)
	}
	if have := g.Peers(2 * time.Second); have != 40*time.Millisecond {
		t.Errorf("want 40ms, have %v", have)
	}
	if have := g.Peers(5 * time.Second); have != 0 {
		t.Errorf("four seconds later: want 0, have %v", have)
	}
}

// TestMemory checks that samples allocate nothing.
func TestMemory(t *testing.T) {
	var g Gauge
	now := time.Duration(0)
	if n := testing.AllocsPerRun(10000, func() {
		now += time.Millisecond
		g.Add(now, Sample{Took: time.Millisecond, AtOnce: int(now/time.Millisecond) % 100, Class: uint8(now / time.Millisecond)}, 1000)
		g.Room(now, 1000)
	}); n > 0 {
		t.Errorf("want no allocations, have %v for each sample", n)
	}
}

// TestOnlyWaiting checks that an agent that starts beside a full upstream does not take the
// waiting time of one request for the work time, and measures it once the queue is short.
func TestOnlyWaiting(t *testing.T) {
	var g Gauge
	now := time.Duration(0)
	add := func(n, atOnce int, took time.Duration) {
		for range n {
			now += 10 * time.Millisecond
			g.Add(now, Sample{Took: took, AtOnce: atOnce}, 2)
		}
	}
	add(100, 20, 300*time.Millisecond)
	if have := g.Work(); have != 0 {
		t.Errorf("only waiting requests: want no work time, have %v", have)
	}
	if g.TrialDue(now) {
		t.Error("want no trial of an upstream that answers")
	}
	add(minSamples, 1, 30*time.Millisecond)
	if have := g.Work(); have < 27*time.Millisecond || have > 33*time.Millisecond {
		t.Errorf("want 30 ms, have %v", have)
	}
}
