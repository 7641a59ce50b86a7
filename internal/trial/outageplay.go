package trial

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	flows "github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/place"
	"github.com/bramleycourse/bramleycourse/internal/queue"
	"github.com/bramleycourse/bramleycourse/internal/shed"
)

const (
	// outageCandidates is the number of agents that an opening packet is offered to.
	outageCandidates = 6
	// outageQueue is the number of opening packets that wait at an agent.
	outageQueue = 64
)

// outageAgent is an agent with its upstream. Its decisions are the real ones.
type outageAgent struct {
	addr    netip.AddrPort
	started time.Duration
	waiting *queue.Queue
	// opening maps the waiting and admitted flows to their attempts.
	attempts map[flows.Key]*outageTry
	// busy is the number of admitted requests that are not answered, running those
	// that have a slot; the others are in next.
	busy, running int
	next          []*outageTry
	work          time.Duration
	// arrivals measures the requests placed here, by urgency.
	arrivals [2]shed.Meter
	// departures measures the answered requests.
	departures shed.Meter
}

// outageTry is an attempt of a request: a flow of its own.
type outageTry struct {
	request *outageRequest
	key     flows.Key
	// over is set once the caller has left the flow.
	over bool
	// arrived is when its request reached the upstream.
	arrived time.Duration
	// pressing and elsewhere are set if its account presses, and after a second offer.
	pressing, elsewhere bool
}

// outageModel plays an outage with the real decisions.
type outageModel struct {
	*Outage
	*outageClock
	rng    *rand.Rand
	agents []*outageAgent
	// gate is that of the one balancer.
	gate   shed.Gate
	result OutageResult
}

// Play returns the result of the real decision code: place.Decide for each offer, and
// queue.Queue with queue.HasRoom at each agent.
func (o *Outage) Play(seed uint64) OutageResult {
	m := &outageModel{Outage: o, outageClock: &outageClock{}, rng: rand.New(rand.NewPCG(seed, 8))}
	for n := range o.Upstreams {
		m.agents = append(m.agents, m.newAgent(n, 0))
	}
	if !o.Steady {
		m.at(outageBefore, func() { m.agents = make([]*outageAgent, o.Upstreams) })
		for n := range o.Upstreams {
			m.at(o.started(n), func() { m.agents[n] = m.newAgent(n, m.now) })
		}
	}
	rs := o.requests(seed)
	for _, r := range rs {
		m.at(r.began, func() { m.begin(r) })
		m.at(r.began+o.Timeout, func() { m.end(r, false) })
	}
	m.run()
	m.result.finish(rs)
	return m.result
}

func (m *outageModel) newAgent(n int, started time.Duration) *outageAgent {
	a := &outageAgent{addr: endpointOf(n).Addr, started: started, waiting: queue.New(outageQueue), attempts: map[flows.Key]*outageTry{}, work: m.Work}
	a.waiting.ByObjective = m.Early
	return a
}

func (m *outageModel) end(r *outageRequest, served bool) {
	if r.ended {
		return
	}
	r.ended = true
	if counted(r) {
		m.result.add(r, m.now-r.began, served, m.Outage)
	}
}

// begin starts the next attempt of a request.
func (m *outageModel) begin(r *outageRequest) {
	if r.ended {
		return
	}
	if r.attempt > outageRetries {
		m.end(r, false)
		return
	}
	r.attempt++
	if counted(r) {
		m.result.Attempts++
	}
	r.open = false
	k := flows.Key{10: byte(r.attempt)}
	binary.BigEndian.PutUint32(k[:], uint32(r.caller))
	t := &outageTry{request: r, key: k}
	start := m.now
	for _, d := range copyTimes {
		m.at(start+d+outageDelay, func() {
			if !t.over && !r.open && !r.ended {
				m.offer(t, start)
			}
		})
	}
	m.at(start+outageAttempt, func() {
		if !t.over && !r.open {
			t.over = true
			m.begin(r)
		}
	})
}

// offer passes an opening packet along its candidates until an agent takes it. All
// attempts of a request have the age of the request, as after a reset.
func (m *outageModel) offer(t *outageTry, attempt time.Duration) {
	if m.rejectsEarly(t, attempt) {
		return
	}
	f := &frame.Frame{Kind: frame.Offer}
	order := rand.New(rand.NewPCG(uint64(t.request.caller), uint64(t.request.attempt)))
	byAddr := map[netip.AddrPort]*outageAgent{}
	for _, n := range order.Perm(m.Upstreams)[:min(outageCandidates, m.Upstreams)] {
		a := m.agents[n]
		if a == nil {
			continue
		}
		if a.attempts[t.key] != nil {
			return // A copy of a packet that is waiting there.
		}
		addr := endpointOf(n).Addr
		byAddr[addr] = a
		f.Candidates = append(f.Candidates, frame.Candidate{Addr: addr})
	}
	m.place(f, byAddr, func(a *outageAgent) { m.take(a, t, attempt) })
}

// place passes an opening packet along its candidates until one takes it.
func (m *outageModel) place(f *frame.Frame, byAddr map[netip.AddrPort]*outageAgent, take func(*outageAgent)) {
	for len(f.Candidates) > 0 {
		a := byAddr[f.Candidates[f.Position].Addr]
		if place.Decide(m.load(a), f) == admit.Take {
			take(a)
			return
		}
	}
}

func (m *outageModel) times(a *outageAgent) queue.ServiceTimes {
	return queue.ServiceTimes{Work: a.work, Handshake: 2 * outageDelay}
}

func (m *outageModel) load(a *outageAgent) place.Load {
	busy := a.busy + a.waiting.CountInTime(m.now, m.times(a))
	return place.Load{Slots: float64(m.Slots), Busy: busy, MeanBusy: float64(busy)}
}

// take puts an attempt into the queue of an agent, which admits what it has room for.
func (m *outageModel) take(a *outageAgent, t *outageTry, attempt time.Duration) {
	if m.refusesEarly(a, t, attempt) {
		return
	}
	a.attempts[t.key] = t
	i := queue.Item{
		Key: t.key, Began: t.request.began, Attempt: attempt, Priority: t.request.priority,
		Objective: m.Objective, Deadline: m.Timeout,
	}
	if evicted := a.waiting.Put(m.now, &i, m.times(a)); evicted != nil {
		m.reject(a, evicted)
	}
	m.admitWaiting(a)
}

func (m *outageModel) admitWaiting(a *outageAgent) {
	for {
		i := a.waiting.Next(m.now, m.times(a), func(i *queue.Item) bool {
			return queue.HasRoom(m.Slots, a.busy, i.Urgency(), m.times(a))
		})
		if i == nil {
			break
		}
		t := a.attempts[i.Key]
		if t.over || t.request.ended {
			delete(a.attempts, i.Key)
			continue
		}
		t.request.open = true
		a.busy++
		m.at(m.now+2*outageDelay, func() { m.arrive(a, t) })
	}
	for _, i := range a.waiting.Expired(m.now, m.times(a)) {
		m.reject(a, i)
	}
}

// reject tells the caller that the attempt is not served; it tries again at once.
func (m *outageModel) reject(a *outageAgent, i *queue.Item) {
	t := a.attempts[i.Key]
	delete(a.attempts, i.Key)
	m.noteRejected(t)
	m.at(m.now+outageDelay, func() {
		if !t.over {
			t.over = true
			m.begin(t.request)
		}
	})
}

// arrive handles the request of an admitted flow at the upstream.
func (m *outageModel) arrive(a *outageAgent, t *outageTry) {
	if t.arrived == 0 {
		t.arrived = m.now
	}
	a.next = append(a.next, t)
	for a.running < m.Slots && len(a.next) > 0 {
		t := a.next[0]
		a.next = a.next[1:]
		a.running++
		began, took := m.now, m.workTime(t.request, m.now, a.started)
		m.at(began+took, func() { m.answered(a, t, took) })
	}
}

// workSamples is the number of requests over which an agent averages the work time.
const workSamples = 8

func (m *outageModel) answered(a *outageAgent, t *outageTry, took time.Duration) {
	a.running--
	a.busy--
	a.departures.Add(m.now)
	if m.Steady {
		took = m.now - t.arrived // What an agent sees.
	}
	a.work += (took - a.work) / workSamples
	delete(a.attempts, t.key)
	m.at(m.now+outageDelay, func() { m.end(t.request, true) })
	if len(a.next) > 0 {
		next := a.next[0]
		a.next = a.next[1:]
		m.arrive(a, next)
	}
	m.admitWaiting(a)
}

// OutageTable compares the real decisions with the oracle in one outage.
type OutageTable struct {
	Outage Outage       `json:"outage"`
	Seed   uint64       `json:"seed"`
	Played OutageResult `json:"played"`
	Oracle OutageResult `json:"oracle"`
}

// RunOutages plays outages.
func RunOutages(os []Outage, seed uint64) []OutageTable {
	var ts []OutageTable
	for _, o := range os {
		ts = append(ts, OutageTable{Outage: o, Seed: seed, Played: o.Play(seed), Oracle: o.Oracle(seed)})
	}
	return ts
}

// WriteOutages prints the tables as aligned text.
func WriteOutages(w io.Writer, ts []OutageTable) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "upstreams x slots\t\trequests\tin time\tlate\tdark\trejected\ttimed out\tattempts\ttold (ms)\tworth\tof the oracle")
	for _, t := range ts {
		for _, r := range []struct {
			name string
			OutageResult
		}{{"played", t.Played}, {"oracle", t.Oracle}} {
			fmt.Fprintf(tw, "%d x %d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\n", t.Outage.Upstreams, t.Outage.Slots, r.name,
				r.Requests, r.InTime, r.LateAnswers, r.Dark, r.Rejected, r.TimedOut, r.Attempts, r.ToldMillis, r.Worth, r.Worth/t.Oracle.Worth)
		}
	}
	return tw.Flush()
}
