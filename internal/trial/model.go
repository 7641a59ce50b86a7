// Package trial compares placement policies by a discrete-event simulation of one
// service as a queueing system. The policy of the agents runs the real decision
// code: the candidates of package route and the gates of package admit.
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

// timeUnit is the time that the gates see for one unit of model time, which is the
// mean service time.
const timeUnit = 20 * time.Millisecond

// Size is the number of endpoints of a service and of slots per endpoint.
type Size struct {
	Endpoints int `json:"endpoints"`
	Slots     int `json:"slots"`
}

const (
	balancers    = 3
	standardLoad = 0.85
	slowSpeed    = 0.5
	serviceTag   = ident.ServiceTag(1)
)

// flow is one flow of a caller.
type flow struct {
	at       float64 // arrival time
	id       [8]byte
	balancer int
	// serviceTimes holds the service times of the remaining requests at full speed.
	serviceTimes []float64
	// openTime is how long a feed stays open. A feed has no requests.
	openTime float64
	// agent is the index of the agent that serves the flow.
	agent int
	// requestedAt is when the wait of the current request began.
	requestedAt float64
}

// agent is one endpoint with its gate. Its jobs and service time are kept outside of
// the gate for policies that don't use the real decision code.
type agent struct {
	gate  *admit.Gate
	slots int
	// speed divides service times.
	speed float64
	// frozen says that the agent loses the first packets of flows, and only these:
	// requests of open flows are still served.
	frozen bool
	// jobs is the number of running and waiting requests, flows the number of open
	// flows, and requests the number of requests in the current window.
	jobs, flows, requests int
	// placed is the number of all flows that the agent got.
	placed  int
	waiting map[*admit.Waiter]*flow
	// serviceTime is the mean of the measured service times.
	serviceTime meanTime
}

// depth returns the running and waiting requests per slot.
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

	// waits holds the wait of each request for a slot.
	waits []float64
	// imbalanceSum is the sum over imbalanceSamples samples of the imbalance of load.
	imbalanceSum     float64
	imbalanceSamples int
	// flowImbalanceSum is the sum over flowSamples samples of the imbalance of open
	// flows.
	flowImbalanceSum float64
	flowSamples      int
	// requestImbalanceSum is the sum over windows of the imbalance of requests, and
	// windowEnd the end of the current window.
	requestImbalanceSum float64
	windows             int
	windowEnd           float64
	// lastSeq is the number of the last scheduled event.
	lastSeq int
	// turns is the round-robin counter of each balancer.
	turns [balancers]int
	// nextUpdate is the time of the next update of learned weights.
	nextUpdate float64
	// down marks the agents that balancers have marked down.
	down []bool
	// missing holds the agents that are missing from the view of each balancer.
	missing [balancers]map[int]bool
	// falseReports makes agent 0 report a load of zero.
	falseReports bool
}

// clock returns the model time as the time that the gates see.
func (m *model) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(m.now * float64(timeUnit)))
}

func endpointOf(i int) ident.EndpointID {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 4433)
	return ident.EndpointID{Addr: a, Instance: ident.Instance(i + 1)}
}

func indexOf(e ident.EndpointID) int { return int(e.Instance) - 1 }

// newModel prepares a run. The arrivals depend only on the scenario, size, seed and
// number of flows, not on the policy.
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
	m.rebuild(equalWeight)
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
		m.tables[b] = route.NewTable(map[ident.ServiceTag][]route.Endpoint{serviceTag: es})
	}
}

func equalWeight(int) float64 { return 1 }

// arrivals draws n flows with requests and, in addition, the feeds.
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
			f.openTime = rng.ExpFloat64() * (1 + thinkTime) * float64(sc.requests())
			fs = append(fs, f)
			continue
		}
		n--
		for range sc.requests() {
			f.serviceTimes = append(f.serviceTimes, sc.work(rng))
		}
		fs = append(fs, f)
	}
	return fs
}

// run simulates all flows to their end.
func (m *model) run() Result {
	if m.scenario.Start != nil {
		m.scenario.Start(m)
	}
	m.sampleLoads()
	m.scheduleArrival(0)
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.finish()
}

// scheduleArrival schedules the arrival of flow i, which schedules that of the next.
func (m *model) scheduleArrival(i int) {
	if i == len(m.flows) {
		return
	}
	f := m.flows[i]
	m.schedule(f.at-m.now, func() {
		m.placeFlow(f)
		m.scheduleArrival(i + 1)
	})
}

// retransmitTime is the time in units after which a caller retransmits an unanswered
// ClientHello.
const retransmitTime = 1

// placeFlow sends the first packet of a flow. If its agent is frozen, the packet is
// lost and sent again after retransmitTime.
func (m *model) placeFlow(f *flow) {
	i := m.policy.Pick(m, f)
	if m.agents[i].frozen {
		m.result.LostPackets++
		m.schedule(retransmitTime, func() { m.placeFlow(f) })
		return
	}
	f.agent = i
	m.agents[i].gate.FlowOpened(m.clock())
	m.agents[i].gate.FlowRequested(m.clock())
	m.agents[i].flows++
	m.agents[i].placed++
	if f.openTime > 0 {
		m.schedule(f.openTime, func() { m.closeFlow(f) })
		return
	}
	m.arriveRequest(f, m.now-f.at)
}

// closeFlow ends a flow at its agent.
func (m *model) closeFlow(f *flow) {
	a := m.agents[f.agent]
	a.flows--
	a.gate.FlowClosed(m.clock())
}

// arriveRequest passes the next request of a flow to the gate of its agent. The delay
// is the time that the flow has already waited. The limit of the queue is flows*20; it
// is not reached, since a flow has at most one request at a time.
func (m *model) arriveRequest(f *flow, delay float64) {
	a := m.agents[f.agent]
	f.requestedAt = m.now - delay
	a.jobs++
	a.requests++
	v, w := a.gate.Arrive(m.clock(), time.Time{})
	switch v {
	case admit.Run:
		m.startRequest(f)
	case admit.Wait:
		a.waiting[w] = f
	default:
		panic("trial: request refused although the queue is unbounded: " + string(v))
	}
}

// startRequest runs the next request of a flow in a slot.
func (m *model) startRequest(f *flow) {
	a := m.agents[f.agent]
	m.waits = append(m.waits, m.now-f.requestedAt)
	d := f.serviceTimes[0] / a.speed
	f.serviceTimes = f.serviceTimes[1:]
	m.schedule(d, func() { m.finishRequest(f, d) })
}

// thinkTime is the mean pause in units between the requests of one flow.
const thinkTime = 20

// finishRequest releases the slot and schedules the next request of the flow or
// closes it.
func (m *model) finishRequest(f *flow, took float64) {
	a := m.agents[f.agent]
	a.jobs--
	a.serviceTime.add(took)
	if w := a.gate.Finish(m.clock()); w != nil {
		g := a.waiting[w]
		delete(a.waiting, w)
		m.startRequest(g)
	}
	if len(f.serviceTimes) == 0 {
		m.closeFlow(f)
		return
	}
	m.schedule(m.rng.ExpFloat64()*thinkTime, func() { m.arriveRequest(f, 0) })
}

// admitFlow runs the real decision code on the first packet of a flow: the gates of
// the first n candidates of its balancer, one after the other. It returns the agent
// that takes the flow.
func (m *model) admitFlow(f *flow, n uint8) int {
	h := encap.Header{Kind: encap.NewFlow}
	m.tables[f.balancer].Candidates(serviceTag, f.id[:], &h)
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
