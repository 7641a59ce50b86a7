// Package trial compares placement policies in an event-driven queue model of
// one service. The design's policy runs the real decision code: the
// candidates of package route and the gates of package admit.
package trial

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/route"
)

// unit is the real time that the gates see for one unit of model time, the
// mean service time.
const unit = 20 * time.Millisecond

// Size is the size of a service.
type Size struct {
	Endpoints int `json:"endpoints"`
	Slots     int `json:"slots"`
}

const (
	balancers    = 3
	standardLoad = 0.85
	slowSpeed    = 0.5
	tag          = ident.ServiceTag(1)
)

// flow is one arriving flow.
type flow struct {
	at       float64
	id       [8]byte
	balancer int
	// work holds the service time of each request at full speed.
	work []float64
	// open is how long a feed stays open; it has no work.
	open float64
	// agent is the endpoint that serves the flow.
	agent int
	// asked is when the current request arrived at its agent.
	asked float64
}

// agent is one endpoint with its gate. Its jobs and rate are kept beside the
// gate, so that policies without real decision code can look at them.
type agent struct {
	gate  *admit.Gate
	slots int
	// speed divides service times.
	speed float64
	// frozen agents lose the first packets of flows; requests go on.
	frozen bool
	// jobs is the number of running and waiting requests, flows that of open
	// flows, and requests that of requests so far.
	jobs, flows, requests int
	// placed is the number of flows so far.
	placed  int
	waiting map[*admit.Waiter]*flow
	rate    rate
}

func (a *agent) depth() float64 { return float64(a.jobs) / float64(a.slots) }

// model is one run of a policy.
type model struct {
	now      float64
	rng      *rand.Rand
	flows    []*flow
	agents   []*agent
	tables   [balancers]*route.Table
	policy   Policy
	scenario Scenario
	limits   admit.Limits
	events   events
	history  history
	result   Result

	waits  []float64
	spread float64
	ticks  int
	// flowSpread is the sum over flowTicks samples of the imbalance of open flows.
	flowSpread float64
	flowTicks  int
	// requestSpread is the sum over windows of the imbalance of requests, and
	// windowEnd the end of the current window.
	requestSpread float64
	windows       int
	windowEnd     float64
	number        int
	// turns counts the flows of each balancer, for round robin.
	turns [balancers]int
	// learnAt is when learned weights are next updated.
	learnAt float64
	// down marks the agents that balancers no longer use.
	down []bool
	// missing holds the agents that each balancer does not know.
	missing [balancers]map[int]bool
	// lies says that agent 0 reports no load.
	lies bool
}

func (m *model) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(m.now * float64(unit)))
}

func endpointOf(i int) ident.EndpointID {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 4433)
	return ident.EndpointID{Addr: a, Instance: ident.Instance(i + 1)}
}

func indexOf(e ident.EndpointID) int { return int(e.Instance) - 1 }

// newModel prepares a run. Runs with the same seed, size and scenario see the
// same arrivals, whatever their policy.
func newModel(p Policy, sc Scenario, s Size, seed uint64, flows int) *model {
	m := &model{policy: p, scenario: sc, rng: rand.New(rand.NewPCG(seed, 2))}
	m.limits = admit.Limits{Slots: s.Slots, Queue: flows * 20, Connections: flows * 2}
	for i := range s.Endpoints {
		m.agents = append(m.agents, &agent{
			gate:    admit.New(m.limits),
			slots:   s.Slots,
			speed:   1,
			waiting: map[*admit.Waiter]*flow{},
		})
		if i == 0 {
			m.agents[i].speed = sc.speed()
		}
	}
	m.flows = arrivals(sc, s, seed, flows)
	m.down = make([]bool, s.Endpoints)
	m.rebuild(equal)
	return m
}

// rebuild computes the routing table of each balancer from the agents that
// are neither marked down nor missing from its view.
func (m *model) rebuild(weight func(i int) float64) {
	for b := range m.tables {
		var es []route.Endpoint
		for i := range m.agents {
			if !m.down[i] && !m.missing[b][i] {
				es = append(es, route.Endpoint{ID: endpointOf(i), Weight: weight(i)})
			}
		}
		m.tables[b] = route.NewTable(map[ident.ServiceTag][]route.Endpoint{tag: es})
	}
}

func equal(int) float64 { return 1 }

// arrivals draws n flows with requests and, between them, the feeds.
func arrivals(sc Scenario, s Size, seed uint64, n int) []*flow {
	rng := rand.New(rand.NewPCG(seed, 1))
	capacity := (float64(s.Endpoints) - 1 + sc.speed()) * float64(s.Slots)
	rate := sc.load() * capacity / float64(sc.requests()) / (1 - sc.Feeds)
	var fs []*flow
	at := 0.0
	for n > 0 {
		at += rng.ExpFloat64() / rate
		f := &flow{at: at, balancer: rng.IntN(balancers)}
		binary.BigEndian.PutUint64(f.id[:], rng.Uint64())
		if sc.Feeds > 0 && rng.Float64() < sc.Feeds {
			f.open = rng.ExpFloat64() * (1 + thinkTime) * float64(sc.requests())
			fs = append(fs, f)
			continue
		}
		n--
		for range sc.requests() {
			f.work = append(f.work, sc.work(rng))
		}
		fs = append(fs, f)
	}
	return fs
}

// run plays all flows to their end.
func (m *model) run() Result {
	if m.scenario.Start != nil {
		m.scenario.Start(m)
	}
	m.tick()
	m.arrive(0)
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.finish()
}

// arrive schedules the arrival of flow i, which schedules the next.
func (m *model) arrive(i int) {
	if i == len(m.flows) {
		return
	}
	f := m.flows[i]
	m.after(f.at-m.now, func() {
		m.place(f)
		m.arrive(i + 1)
	})
}

// retransmitTime is after how many units a caller repeats an unanswered ClientHello.
const retransmitTime = 1

// place sends the first packet of a flow. Packets to a frozen agent vanish.
func (m *model) place(f *flow) {
	i := m.policy.Pick(m, f)
	if m.agents[i].frozen {
		m.result.Vanished++
		m.after(retransmitTime, func() { m.place(f) })
		return
	}
	f.agent = i
	m.agents[i].gate.FlowOpened(m.clock())
	m.agents[i].gate.FlowRequested(m.clock())
	m.agents[i].flows++
	m.agents[i].placed++
	if f.open > 0 {
		m.after(f.open, func() { m.close(f) })
		return
	}
	m.request(f, m.now-f.at)
}

func (m *model) close(f *flow) {
	a := m.agents[f.agent]
	a.flows--
	a.gate.FlowClosed(m.clock())
}

// request lets the next request of a flow arrive. The delay is what the flow
// has already waited before it.
func (m *model) request(f *flow, delay float64) {
	a := m.agents[f.agent]
	f.asked = m.now - delay
	a.jobs++
	a.requests++
	v, w := a.gate.Arrive(m.clock(), time.Time{})
	switch v {
	case admit.Run:
		m.start(f)
	case admit.Wait:
		a.waiting[w] = f
	default:
		panic("trial: the queue is unbounded, yet a request was refused: " + string(v))
	}
}

func (m *model) start(f *flow) {
	a := m.agents[f.agent]
	m.waits = append(m.waits, m.now-f.asked)
	d := f.work[0] / a.speed
	f.work = f.work[1:]
	m.after(d, func() { m.done(f, d) })
}

// thinkTime is the mean pause between the requests of one flow.
const thinkTime = 20

func (m *model) done(f *flow, took float64) {
	a := m.agents[f.agent]
	a.jobs--
	a.rate.add(took)
	if w := a.gate.Finish(m.clock()); w != nil {
		g := a.waiting[w]
		delete(a.waiting, w)
		m.start(g)
	}
	if len(f.work) == 0 {
		m.close(f)
		return
	}
	m.after(m.rng.ExpFloat64()*thinkTime, func() { m.request(f, 0) })
}

// walk runs the real decision code on the packet of a flow: the first n
// candidates of its balancer, then one gate after the other.
func (m *model) walk(f *flow, n uint8) int {
	h := encap.Header{Kind: encap.NewFlow}
	m.tables[f.balancer].Candidates(tag, f.id[:], &h)
	h.Count = min(h.Count, n)
	for {
		i := indexOf(h.Candidates[h.Position].Endpoint)
		if m.agents[i].frozen {
			return i
		}
		if m.agents[i].gate.Decide(m.clock(), f.id[:], &h) == admit.Take {
			return i
		}
		m.result.HandOvers++
	}
}
