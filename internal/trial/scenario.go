package trial

import (
	"fmt"
	"math/rand/v2"
)

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Name string
	// Requests is the number of requests of each flow; 0 means 1.
	Requests int
	// Load is the offered work relative to the capacity; 0 means the standard load.
	Load float64
	// EqualSpeed makes all agents run at full speed; otherwise the first is slow.
	EqualSpeed bool
	// Feeds is the share of flows that stay open as long as the others on average,
	// but never use a slot. They are added to the number of flows of a run.
	Feeds float64
	// Work draws a service time with mean 1; nil means the standard distribution.
	Work func(r *rand.Rand) float64
	// Start changes the model before the first arrival.
	Start func(m *model)
}

func (s Scenario) requests() int { return max(s.Requests, 1) }

// load returns the offered work relative to the capacity.
func (s Scenario) load() float64 {
	if s.Load == 0 {
		return standardLoad
	}
	return s.Load
}

// speed returns the speed of the first agent.
func (s Scenario) speed() float64 {
	if s.EqualSpeed {
		return 1
	}
	return slowSpeed
}

// work draws a service time. The standard distribution is 0.5 units with probability
// 0.9 and 5.5 units otherwise, which has mean 1.
func (s Scenario) work(r *rand.Rand) float64 {
	if s.Work != nil {
		return s.Work(r)
	}
	if r.Float64() < 0.9 {
		return 0.5
	}
	return 5.5
}

// Scenarios returns all scenarios. The first is the standard one.
func Scenarios() []Scenario {
	return append([]Scenario{
		{Name: "standard"},
		{Name: "false load reports of the slow agent", Start: func(m *model) { m.falseReports = true }},
		{Name: "one agent frozen", Start: freezeAgent},
		{Name: "balancers with different views", Start: differentViews},
		{Name: "cold start", Start: coldStart},
		{Name: "1% of 50 units", Work: skewed},
		{Name: "20 requests per flow", Requests: 20},
	}, append(longFlowScenarios(), sharesScenario())...)
}

// longFlowScenarios returns the scenarios that measure the imbalance of open flows.
func longFlowScenarios() []Scenario {
	const requests, feeds = 20, 0.35
	var scs []Scenario
	for _, load := range []float64{0.3, 0.5, standardLoad} {
		for _, same := range []bool{true, false} {
			name := fmt.Sprintf("long flows and feeds, load %v", load)
			if same {
				name += ", equal agents"
			}
			scs = append(scs, Scenario{Name: name, Requests: requests, Load: load, EqualSpeed: same, Feeds: feeds})
		}
	}
	return scs
}

const (
	freezeTime = 100
	// markDownDelay is the time in units that a frozen agent stays a candidate. It
	// is the two seconds after which the liveness rules mark an endpoint down.
	markDownDelay = 100
	unfreezeDelay = 200
)

// freezeAgent freezes agent 1 for unfreezeDelay. Balancers mark it down meanwhile.
func freezeAgent(m *model) {
	const i = 1
	m.schedule(freezeTime, func() { m.agents[i].frozen = true })
	m.schedule(freezeTime+markDownDelay, func() {
		m.down[i] = true
		m.rebuild(equalWeight)
	})
	m.schedule(freezeTime+unfreezeDelay, func() {
		m.agents[i].frozen, m.down[i] = false, false
		m.rebuild(equalWeight)
	})
}

// differentViews gives two of the three balancers views without one agent each.
func differentViews(m *model) {
	m.missing[0] = map[int]bool{1: true}
	m.missing[1] = map[int]bool{2: true}
	m.rebuild(equalWeight)
}

const (
	coldDuration = 100
	coldSpeed    = 0.1
)

// coldStart makes agent 1 slow at the start.
func coldStart(m *model) {
	const i = 1
	m.agents[i].speed = coldSpeed
	m.schedule(coldDuration, func() { m.agents[i].speed = 1 })
}

// skewed draws a service time of 50 units with probability 0.01 and a short one
// otherwise. The mean is 1.
func skewed(r *rand.Rand) float64 {
	const long, share = 50, 0.01
	if r.Float64() < share {
		return long
	}
	return (1 - long*share) / (1 - share)
}

// sharesScenario returns the scenario with declared shares.
func sharesScenario() Scenario {
	return Scenario{Name: "long flows and one light agent", Requests: 20, Load: 0.3, EqualSpeed: true, Feeds: 0.35, Start: lowerWeight}
}

const lowWeight = 0.25

// lowerWeight sets a lower weight for agent 0 in the routing tables and in its gate.
func lowerWeight(m *model) {
	l := m.limits
	l.Weight = lowWeight
	m.agents[0].gate.SetLimits(m.clock(), l)
	m.rebuild(func(i int) float64 {
		if i == 0 {
			return lowWeight
		}
		return 1
	})
}
