package gauge

import (
	"math"
	"time"
)

const (
	// levelSamples is the number of samples that the mean of a level covers, and
	// enoughSamples the number from which it counts.
	levelSamples, enoughSamples = 128, 32
	// levelTime is the time without a sample after which a level is forgotten.
	levelTime = 30 * time.Second
	// minHold and maxHold bound the time after which one more request at once is allowed
	// than was measured to be good. Each trial without success doubles it.
	minHold, maxHold = 5 * time.Second, time.Minute
	// minGrowth is the share of the proportional growth of throughput that more requests
	// at once must bring; below it they only wait longer. From n to n+1 requests at once,
	// proportional growth is 1/n.
	minGrowth = 0.4
	// enoughFirst is the number of first answers that prove a level above the declared
	// slots; packets overtaking one another may fake a few.
	enoughFirst = 6
	// proofTime is the time constant with which old proofs count less.
	proofTime = time.Minute
	// spread is the assumed standard deviation of the logarithm of work times, and
	// certainty the number of standard errors by which a level must be worse.
	spread, certainty = 0.55, 1.5
)

// level holds the deviation of the work time of requests that arrived as the n-th
// request at once.
type level struct {
	mean  float64
	count int
	at    time.Duration
	// firsts is the number of first answers, with old ones counting less.
	firsts  float64
	firstAt time.Duration
}

// curve holds the work time as a function of the number of requests at once.
type curve struct {
	levels [maxRoom + 1]level
	// limit is the room for declared slots, computed at limitAt.
	limit, declared int
	limitAt         time.Duration
	// centred is the room within which the mean deviation is zero.
	centred int
	// ceiling is the room once it has been measured to be less than declared; 0 before.
	// It holds until trialAt, and hold is the length of that time. From then on one more
	// request at once is allowed, and trying is set.
	ceiling int
	trialAt time.Duration
	hold    time.Duration
	trying  bool
}

// limitInterval is the time between two computations of the room.
const limitInterval = 100 * time.Millisecond

// add adds a sample. It keeps the mean deviation within the room at zero. If it moves
// because the room has changed, add returns by how much.
func (c *curve) add(now time.Duration, n, slots int, deviation float64, first bool) float64 {
	l := &c.levels[n]
	if now-l.at >= levelTime {
		l.count, l.mean = 0, 0
	}
	l.count++
	l.at = now
	l.mean += (deviation - l.mean) / float64(min(l.count, levelSamples))
	if first {
		l.firsts = l.firsts*math.Exp(-float64(now-l.firstAt)/float64(proofTime)) + 1
		l.firstAt = now
	}
	sum, weights := 0.0, 0.0
	for n := 1; n <= min(c.room(now, slots), maxRoom); n++ {
		w := float64(min(c.levels[n].count, levelSamples))
		sum += w * c.levels[n].mean
		weights += w
	}
	if weights < enoughSamples {
		return 0
	}
	mean := sum / weights
	moved := c.centred != c.limit
	c.centred = c.limit
	for n := range c.levels {
		if c.levels[n].count > 0 {
			c.levels[n].mean -= mean
		}
	}
	if !moved {
		return 0
	}
	return mean
}

// forgetNew forgets the levels that were measured by few samples, part of them at
// another speed.
func (c *curve) forgetNew() {
	for n := range c.levels {
		if c.levels[n].count < enoughSamples {
			c.levels[n].count, c.levels[n].mean = 0, 0
		}
	}
}

func (c *curve) known(now time.Duration, n int) bool {
	l := &c.levels[n]
	return l.count >= enoughSamples && now-l.at < levelTime
}

// excess returns the expected deviation of a request that arrives as the n-th at once.
// Levels with few samples count in part only; beyond the room a request has to wait.
func (c *curve) excess(now time.Duration, n, slots int) float64 {
	const doubt = 8
	l := &c.levels[n]
	trust := 0.0
	if now-l.at < levelTime {
		k := float64(min(l.count, levelSamples))
		trust = k / (k + doubt)
	}
	wait := math.Log(max(1, float64(n)/float64(c.room(now, slots))))
	return trust*l.mean + (1-trust)*wait
}

func (c *curve) room(now time.Duration, slots int) int {
	slots = max(1, slots)
	if c.limit == 0 || c.declared != slots || now-c.limitAt >= limitInterval {
		c.limit, c.declared, c.limitAt = c.compute(now, slots), slots, now
	}
	return c.limit
}

// compute returns the smallest number of requests at once beyond which more of them
// certainly bring little throughput.
func (c *curve) compute(now time.Duration, slots int) int {
	top := c.highest(now, slots)
	if top > maxRoom {
		return top
	}
	if c.ceiling > 0 && now >= c.trialAt && !c.trying {
		c.trying = true
		l := &c.levels[min(c.ceiling+1, maxRoom)]
		l.count, l.mean = 0, 0
	}
	if c.ceiling > 0 && c.trying {
		top = min(top, c.ceiling+1)
	} else if c.ceiling > 0 {
		top = min(top, c.ceiling)
	}
	room := c.measured(now, top)
	switch {
	case room < top && (c.ceiling == 0 || room < c.ceiling):
		c.restrict(now, room, minHold)
	case c.ceiling > 0 && c.trying && c.known(now, top):
		if room < top {
			c.restrict(now, room, min(2*c.hold, maxHold))
			break
		}
		c.ceiling, c.hold, c.trying = top, minHold, false
	}
	if c.ceiling >= c.highest(now, slots) {
		c.ceiling, c.trying = 0, false
	}
	return room
}

func (c *curve) restrict(now time.Duration, room int, hold time.Duration) {
	c.ceiling, c.hold, c.trialAt, c.trying = room, hold, now+hold, false
}

// highest returns the number of requests at once that the upstream declares, or has proved
// beyond that.
func (c *curve) highest(now time.Duration, slots int) int {
	for slots < maxRoom && c.proved(now, slots+1) {
		slots++
	}
	return slots
}

// measured returns the room up to a number of requests at once: the lowest known level
// that no higher one beats, or all if there is none.
func (c *curve) measured(now time.Duration, top int) int {
	for m := 1; m < top; m++ {
		if c.known(now, m) && c.sufficient(now, m, top) {
			return m
		}
	}
	return top
}

// sufficient reports whether there are known levels above m, and none of them brings
// notably more throughput.
func (c *curve) sufficient(now time.Duration, m, top int) bool {
	higher := 0
	for n := m + 1; n <= top; n++ {
		if !c.known(now, n) {
			continue
		}
		higher++
		a, b := &c.levels[m], &c.levels[n]
		growth := float64(n) / float64(m) * math.Exp(a.mean-b.mean+certainty*standardError(a.count, b.count))
		if growth >= 1+minGrowth*float64(n-m)/float64(m) {
			return false
		}
	}
	return higher > 0
}

// standardError returns the standard error of the difference of two levels with the given
// numbers of samples.
func standardError(a, b int) float64 {
	share := func(n int) float64 { return 1 / float64(min(n, levelSamples)) }
	return spread * math.Sqrt(share(a)+share(b))
}

// proved reports whether the upstream has worked on n requests at once.
func (c *curve) proved(now time.Duration, n int) bool {
	l := &c.levels[n]
	return l.firsts*math.Exp(-float64(now-l.firstAt)/float64(proofTime)) >= enoughFirst
}

// restricted reports whether the room was measured to be less than declared.
func (c *curve) restricted() bool { return c.ceiling > 0 }
