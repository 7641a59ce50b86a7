package trial

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/gauge"
	"github.com/bramleycourse/bramleycourse/internal/place"
	"github.com/bramleycourse/bramleycourse/internal/queue"
)

// Speeds describes the load of a service whose upstreams differ in speed.
type Speeds struct {
	Name string `json:"name"`
	// Speeds divide the work of requests. Slots is the true number of slots of each
	// upstream, Declared the number that it declares.
	Speeds          []float64 `json:"speeds"`
	Slots, Declared int
	// Load is the offered work relative to the capacity.
	Load float64 `json:"load"`
	// KneeAt is the number of requests at once beyond which work takes twice as long.
	KneeAt   int           `json:"kneeAt,omitempty"`
	Duration time.Duration `json:"duration"`
}

const (
	// speedWork is the mean work of requests without the long ones, speedUrgentWork
	// that of urgent ones, and speedObjective their objective.
	speedWork       = 30 * time.Millisecond
	speedUrgentWork = 39 * time.Millisecond
	speedObjective  = 250 * time.Millisecond
	// tailShare of the requests take tailFactor times as long.
	tailShare, tailFactor = 0.03, 7
	speedWarmup           = 10 * time.Second
)

// Steering says what a placement uses.
type Steering string

// Steerings.
const (
	// BySlots uses the declared slots, ByGauge the measurements, and Known the speeds:
	// each flow goes to the upstream that would serve it first.
	BySlots Steering = "slots"
	ByGauge Steering = "measured"
	Known   Steering = "speeds known"
)

// SpeedResult holds the measurements of one steering after a warm-up.
type SpeedResult struct {
	Steering Steering `json:"steering"`
	Requests int      `json:"requests"`
	// P99 and Mean are times from the first packet to the answer.
	P99  time.Duration `json:"p99"`
	Mean time.Duration `json:"mean"`
	// Late is the share of requests beyond their objective.
	Late float64 `json:"late"`
	// Busiest is max/mean of the requests relative to the speeds.
	Busiest float64 `json:"busiest"`
	// Hops is the mean number of times that an offer is passed on.
	Hops float64 `json:"hops"`
	// Counts are the requests of each upstream, Rooms the measured rooms at the end.
	Counts []int `json:"counts"`
	Rooms  []int `json:"rooms,omitempty"`
}

// speedAgent is an agent with its upstream.
type speedAgent struct {
	gauge   gauge.Gauge
	speed   float64
	waiting []*speedRequest
	// next are the requests at the upstream without a slot.
	next             []*speedRequest
	running, passed  int
	answered, placed int
	meanBusy         float64
	meanAt           time.Duration
}

type speedRequest struct {
	began, requestedAt time.Duration
	work               float64
	class              uint8
	atOnce, answered   int
}

type speedModel struct {
	*Speeds
	outageClock
	steering Steering
	rng      *rand.Rand
	agents   []*speedAgent
	took     []time.Duration
	hops     int
	offers   int
}

// Play runs one steering. The load depends on the seed only.
func (s *Speeds) Play(by Steering, seed uint64) SpeedResult {
	m := &speedModel{Speeds: s, steering: by, rng: rand.New(rand.NewPCG(seed, 12))}
	capacity := 0.0
	for _, v := range s.Speeds {
		m.agents = append(m.agents, &speedAgent{speed: v})
		capacity += v * float64(s.Slots)
	}
	load := rand.New(rand.NewPCG(seed, 11))
	mean := (2*speedWork + speedUrgentWork).Seconds() / 3 * (1 + tailShare*(tailFactor-1))
	rate := s.Load * capacity / mean
	for at := load.ExpFloat64() / rate; at < s.Duration.Seconds(); at += load.ExpFloat64() / rate {
		r := &speedRequest{began: time.Duration(at * float64(time.Second)), class: 2}
		r.work = speedWork.Seconds()
		if load.Float64() < 1.0/3 {
			r.class, r.work = 1, speedUrgentWork.Seconds()
		}
		r.work *= math.Exp(workSigma*load.NormFloat64() - workSigma*workSigma/2)
		if load.Float64() < tailShare {
			r.work *= tailFactor
		}
		m.at(r.began, func() { m.arrive(r) })
	}
	m.run()
	return m.finish()
}

func (m *speedModel) arrive(r *speedRequest) {
	m.offers++
	a := m.choose(r)
	a.placed++
	a.waiting = append(a.waiting, r)
	m.admit(a)
}

// choose returns the agent that takes a request: by the real decisions, or the one that
// would serve it first.
func (m *speedModel) choose(r *speedRequest) *speedAgent {
	order := m.rng.Perm(len(m.agents))
	if m.steering == Known {
		return m.agents[slices.MinFunc(order, func(i, j int) int {
			a, b := m.agents[i].knownTime(m.Slots), m.agents[j].knownTime(m.Slots)
			return int(math.Copysign(1, a-b))
		})]
	}
	f := &frame.Frame{Kind: frame.Offer, ObjectiveMillis: uint16(speedObjective.Milliseconds())}
	for _, n := range order {
		f.Candidates = append(f.Candidates, frame.Candidate{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)})
	}
	for {
		a := m.agents[order[f.Position]]
		l := m.load(a, r, f)
		if place.Decide(l, f) == admit.Take {
			return a
		}
		m.hops++
	}
}

// knownTime returns when the upstream would serve a request, in units of work.
func (a *speedAgent) knownTime(slots int) float64 {
	n := float64(a.passed+len(a.waiting)) / float64(slots)
	return (max(1, n+1/float64(slots)) + n/1000) / a.speed
}

func (m *speedModel) room(a *speedAgent) int {
	if m.steering != ByGauge {
		return m.Declared
	}
	return a.gauge.Room(m.now, m.Declared)
}

func (m *speedModel) load(a *speedAgent, r *speedRequest, f *frame.Frame) place.Load {
	busy := a.passed + len(a.waiting)
	a.meanBusy += (float64(busy) - a.meanBusy) * min(1, (m.now-a.meanAt).Seconds())
	a.meanAt = m.now
	l := place.Load{Slots: float64(m.room(a)), Busy: busy, MeanBusy: a.meanBusy}
	if m.steering != ByGauge {
		return l
	}
	place.PeerTimes(f, func(d time.Duration) { a.gauge.SawPeer(m.now, d) })
	l.Work, l.Peers = a.gauge.Work(), a.gauge.Peers(m.now)
	if l.Slow() && a.gauge.TrialDue(m.now) && !queue.Urgent(r.class) {
		a.gauge.Tried(m.now)
		l.Peers = 0
		return l
	}
	l.Show = !queue.Urgent(r.class) && f.Position+1 < len(f.Candidates) && a.gauge.ShowDue(m.now)
	return l
}

// urgency returns the urgency that decides on flows beyond the room.
func (m *speedModel) urgency(a *speedAgent) queue.Urgency {
	if m.steering == ByGauge && a.gauge.Restricted() {
		return queue.Late
	}
	return queue.Normal
}

// admit passes waiting requests to the upstream.
func (m *speedModel) admit(a *speedAgent) {
	times := queue.ServiceTimes{Work: speedWork, Handshake: time.Millisecond}
	for len(a.waiting) > 0 && queue.HasRoom(m.room(a), a.passed, m.urgency(a), times) {
		r := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.passed++
		r.requestedAt, r.atOnce, r.answered = m.now, a.passed, a.answered
		a.next = append(a.next, r)
	}
	for len(a.next) > 0 && a.running < m.Slots {
		r := a.next[0]
		a.next = a.next[1:]
		a.running++
		took := r.work / a.speed
		if m.KneeAt > 0 && a.running > m.KneeAt {
			took *= 2
		}
		m.at(m.now+time.Duration(took*float64(time.Second)), func() { m.answer(a, r) })
	}
}

func (m *speedModel) answer(a *speedAgent, r *speedRequest) {
	a.running--
	a.passed--
	a.gauge.Add(m.now, gauge.Sample{
		Took: m.now - r.requestedAt, AtOnce: r.atOnce, First: a.answered == r.answered, Class: r.class,
	}, m.Declared)
	a.answered++
	if r.began >= speedWarmup {
		m.took = append(m.took, m.now-r.began)
	}
	m.admit(a)
}

func (m *speedModel) finish() SpeedResult {
	s := SpeedResult{Steering: m.steering, Requests: len(m.took), Hops: float64(m.hops) / float64(m.offers)}
	slices.Sort(m.took)
	s.P99 = m.took[len(m.took)*99/100]
	late, sum := 0, time.Duration(0)
	for _, d := range m.took {
		sum += d
		if d > speedObjective {
			late++
		}
	}
	s.Late, s.Mean = float64(late)/float64(len(m.took)), sum/time.Duration(len(m.took))
	var loads []float64
	for _, a := range m.agents {
		s.Counts = append(s.Counts, a.placed)
		loads = append(loads, float64(a.placed)/a.speed)
		s.Rooms = append(s.Rooms, m.room(a))
	}
	s.Busiest = maxOverMean(loads)
	return s
}

// SpeedTable compares the steerings.
type SpeedTable struct {
	Speeds  Speeds        `json:"speeds"`
	Seed    uint64        `json:"seed"`
	Results []SpeedResult `json:"results"`
}

// SpeedScenarios returns the scenarios that the trial command plays.
func SpeedScenarios() []Speeds {
	var ss []Speeds
	uneven, even := []float64{0.55, 1.2, 1.2, 1.2}, []float64{1, 1, 1, 1}
	for _, load := range []float64{0.3, 0.7, 0.9} {
		ss = append(ss, Speeds{Name: "one slow", Speeds: uneven, Slots: 3, Declared: 3, Load: load},
			Speeds{Name: "even", Speeds: even, Slots: 3, Declared: 3, Load: load})
	}
	ss = append(ss,
		Speeds{Name: "knee at 3 of 6", Speeds: even, Slots: 6, Declared: 6, KneeAt: 3, Load: 0.45},
		Speeds{Name: "declares 8 of 3", Speeds: even, Slots: 3, Declared: 8, Load: 0.8},
		Speeds{Name: "declares 2 of 4", Speeds: even, Slots: 4, Declared: 2, Load: 0.8})
	for i := range ss {
		ss[i].Duration = 2 * time.Minute
	}
	return ss
}

// RunSpeeds plays the scenarios.
func RunSpeeds(ss []Speeds, seed uint64) []SpeedTable {
	var ts []SpeedTable
	for _, s := range ss {
		t := SpeedTable{Speeds: s, Seed: seed}
		for _, by := range []Steering{BySlots, ByGauge, Known} {
			t.Results = append(t.Results, s.Play(by, seed))
		}
		ts = append(ts, t)
	}
	return ts
}

// WriteSpeeds prints the tables as aligned text.
func WriteSpeeds(w io.Writer, ts []SpeedTable) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "upstreams\tload\tsteering\trequests\tp99\tmean\tlate\tbusiest/mean\thops\trequests of each\trooms")
	for _, t := range ts {
		for _, r := range t.Results {
			fmt.Fprintf(tw, "%s\t%v\t%s\t%d\t%v\t%v\t%.5f\t%.2f\t%.2f\t%v\t%v\n", t.Speeds.Name, t.Speeds.Load, r.Steering, r.Requests,
				r.P99.Round(time.Millisecond), r.Mean.Round(100*time.Microsecond), r.Late, r.Busiest, r.Hops, r.Counts, r.Rooms)
		}
	}
	return tw.Flush()
}
