// Package gauge measures how long an upstream works on a request, and how many
// requests it takes well at once, from the times of its answers alone. What the
// upstream says about its capacity or load is only the starting point.
//
// It is used by one agent for one upstream, at up to some hundred answers a second.
package gauge

import (
	"math"
	"time"
)

const (
	// maxRoom is the highest number of requests at once that is measured.
	maxRoom = 64
	// classes is the number of kinds of requests that are told apart.
	classes = 4
	// maxDeviation bounds the influence of one sample: the logarithm of 3. A share of
	// requests that take much longer than others then moves the means by a few percent.
	maxDeviation = 1.1
	// steadySamples is the number of samples that the mean in use covers, and
	// steadyTime its time constant if samples are rare.
	steadySamples = 1024
	steadyTime    = 8 * time.Second
	// movingSamples is the number of samples after a change in which the means follow
	// faster, because the change may go on.
	movingSamples = 16
	// minSamples is the number of samples before the mean and changes of it count.
	minSamples = 32
	// quickDeviation is the deviation, a factor of 0.67, from which an answer of a slow
	// upstream is quick: one in five is without a change.
	quickDeviation = 0.4
	// maxExcess is the multiple of the room beyond which a sample says too little about
	// the work, since most of its time is a wait.
	maxExcess = 2
)

// detectors are means over few samples. A difference between one of them and the mean in
// use that is four times its usual error counts as a change of speed: a factor of 1.6
// within some 16 samples, one of 1.3 within 64.
var detectors = [...]detector{
	{samples: 16, constant: time.Second, rareWeight: 0.25, changed: 0.45},
	{samples: 64, constant: 4 * time.Second, rareWeight: 0.06, changed: 0.25},
}

// detector describes a mean that detects changes.
type detector struct {
	samples int
	// constant is the time constant if samples are rare, and rareWeight the most that one
	// of them weighs: a single long request is no change.
	constant   time.Duration
	rareWeight float64
	// changed is the difference, as a logarithm, that counts as a change.
	changed float64
}

// Sample is one answered request.
type Sample struct {
	// Took is the time from the request to its answer.
	Took time.Duration
	// AtOnce is the number of requests in progress when this one arrived, itself
	// included.
	AtOnce int
	// First is set if no other request was answered in between. An upstream that
	// serves in order then worked on all AtOnce requests at the same time.
	First bool
	// Class tells kinds of requests apart whose work may differ.
	Class uint8
}

// Gauge holds the measurements of one upstream. The zero value is ready for use.
type Gauge struct {
	// steady is the mean of the logarithm of the work time in seconds, without the part
	// that is explained by the class and by the number at once. recent holds the same
	// over fewer samples, one for each detector.
	steady  float64
	recent  [len(detectors)]float64
	samples int
	// sinceChange is the number of samples since the last change of speed.
	sinceChange int
	sampledAt   time.Duration
	// offsets are the deviations of the classes from the mean, and shares the shares
	// of the classes. The sum of their products is zero.
	offsets, shares [classes]float64
	curve           curve
	peers           peers
	// triedAt is when the last trial began, and shownAt when others were last to see the
	// expected time.
	triedAt, shownAt time.Duration
	// quick is set if the last answer was quick.
	quick bool
}

func clip(x float64) float64 { return max(-maxDeviation, min(maxDeviation, x)) }

// weight returns the weight of a sample that arrives d after the previous one.
func weight(samples int, constant, d time.Duration, most float64) float64 {
	rare := 1 - math.Exp(-float64(d)/float64(constant))
	return max(1/float64(samples), min(most, rare))
}

// Add adds a sample. slots is the declared number of slots. It reports whether the speed
// has changed notably.
func (g *Gauge) Add(now time.Duration, s Sample, slots int) bool {
	n, class := max(1, min(s.AtOnce, maxRoom)), min(s.Class, classes-1)
	y := math.Log(max(s.Took, 10*time.Microsecond).Seconds())
	since := now - g.sampledAt
	g.sampledAt = now
	if n > maxExcess*g.curve.room(now, slots) {
		return false
	}
	if g.samples == 0 {
		g.shift(y)
	}
	g.samples++
	g.sinceChange++
	withoutLevel := y - g.curve.excess(now, n, slots)
	x := withoutLevel - g.offsets[class]
	g.shift(g.curve.add(now, n, slots, clip(y-g.offsets[class]-g.steady), s.First))
	g.quick = x-g.steady < -quickDeviation
	steady := min(g.sinceChange, steadySamples)
	if g.samples > minSamples && g.sinceChange < movingSamples {
		steady = movingSamples / 2
	}
	g.steady += clip(x-g.steady) * weight(steady, steadyTime, since, 1.0/movingSamples)
	calm := true
	for i, d := range detectors {
		k := min(g.samples, d.samples)
		if g.sinceChange < movingSamples {
			k = min(k, movingSamples/2)
		}
		g.recent[i] += clip(x-g.recent[i]) * weight(k, d.constant, since, d.rareWeight)
		calm = calm && math.Abs(g.recent[i]-g.steady) < d.changed/2
	}
	if calm {
		g.learnClass(int(class), clip(withoutLevel-g.steady))
	}
	return g.detect()
}

// shift moves all means.
func (g *Gauge) shift(by float64) {
	g.steady += by
	for i := range g.recent {
		g.recent[i] += by
	}
}

// detect reports whether the speed has changed, and adopts the new one.
func (g *Gauge) detect() bool {
	if g.samples < minSamples {
		return false
	}
	for i, d := range detectors {
		if math.Abs(g.recent[i]-g.steady) < d.changed {
			continue
		}
		g.steady, g.sinceChange = g.recent[i], 0
		for j := range g.recent {
			g.recent[j] = g.steady
		}
		g.curve.forgetNew()
		return true
	}
	return false
}

// classSamples is the number of samples that the offsets of the classes cover.
const classSamples = 256

// learnClass adjusts the offset of a class.
func (g *Gauge) learnClass(class int, deviation float64) {
	k := float64(min(g.samples, classSamples))
	g.offsets[class] += (deviation - g.offsets[class]) / k
	mean := 0.0
	for c := range g.offsets {
		present := 0.0
		if c == class {
			present = 1
		}
		g.shares[c] += (present - g.shares[c]) / k
		mean += g.shares[c] * g.offsets[c]
	}
	for c := range g.offsets {
		g.offsets[c] -= mean
	}
	g.shift(mean)
}

// Work returns the typical time in which the upstream answers a request if it does
// not have to wait; 0 if it is unknown.
func (g *Gauge) Work() time.Duration {
	if g.samples < minSamples {
		return 0
	}
	return time.Duration(math.Exp(g.steady) * float64(time.Second))
}

// Room returns the number of requests that the upstream takes well at once. It is at
// least 1. slots is the declared number, which applies as far as nothing else is measured.
func (g *Gauge) Room(now time.Duration, slots int) int { return g.curve.room(now, slots) }

// Restricted reports whether the room is less than what the upstream declares. Further
// requests would then not wait at the upstream but make it slower.
func (g *Gauge) Restricted() bool { return g.curve.restricted() }

const (
	// showInterval is the time after which an agent passes an offer on that it could take
	// at once, so that others see its time also at little load.
	showInterval = time.Second
	// trialInterval is the time without an answer after which a slow upstream gets a
	// request although others are faster. Two requests a second are few, and enough to
	// notice a recovery within two seconds.
	trialInterval = 500 * time.Millisecond
)

// TrialDue reports whether the measurement is old, or the last answer was quick, which may
// be a recovery.
func (g *Gauge) TrialDue(now time.Duration) bool {
	if g.quick {
		return now-g.triedAt >= trialInterval/10
	}
	return now-g.sampledAt >= trialInterval && now-g.triedAt >= trialInterval
}

// ShowDue reports whether it is time to show others the expected time, and takes note of it.
func (g *Gauge) ShowDue(now time.Duration) bool {
	if now-g.shownAt < showInterval {
		return false
	}
	g.shownAt = now
	return true
}

// Tried records the start of a trial.
func (g *Gauge) Tried(now time.Duration) { g.triedAt, g.quick = now, false }

// Reset discards what was measured of the upstream.
func (g *Gauge) Reset() { *g = Gauge{peers: g.peers} }

const (
	// peerSamples is the number of observations that the average of the other upstreams
	// covers, minPeers how many it needs, and peerTime how long it is valid after the
	// last one.
	peerSamples, minPeers = 32, 4
	peerTime              = 4 * time.Second
	// slowPeerDoubt is how much less a time above the average counts: if a third of the
	// upstreams are slow, the average is to be near the time of the others.
	slowPeerDoubt = 3
)

// peers holds what was seen of other upstreams of the service.
type peers struct {
	// typical is a moving average in which lower times count more.
	typical float64
	count   int
	at      time.Duration
}

// SawPeer records the time in which another upstream of the service expects to serve
// a request.
func (g *Gauge) SawPeer(now, expected time.Duration) {
	p := &g.peers
	if now-p.at >= peerTime {
		p.count = 0
	}
	p.count++
	p.at = now
	k := float64(min(p.count, peerSamples))
	if float64(expected) > p.typical && p.count > 1 {
		k *= slowPeerDoubt
	}
	p.typical += (float64(expected) - p.typical) / k
}

// Peers returns the typical time in which others expect to serve a request; 0 if it is
// unknown.
func (g *Gauge) Peers(now time.Duration) time.Duration {
	if g.peers.count < minPeers || now-g.peers.at >= peerTime {
		return 0
	}
	return time.Duration(g.peers.typical)
}
