package trial

import (
	"fmt"
	"math/rand/v2"
)

// Scenario is the surroundings of a run.
type Scenario struct {
	Name string
	// Requests is the number of requests of each flow; 0 means 1.
	Requests int
	// Load is the offered work relative to the capacity; 0 means the standard load.
	Load float64
	// Equal lets all agents run at full speed; else the first is slow.
	Equal bool
	// Feeds is the share of flows that stay open as long as the others, but
	// never use a slot. They come on top of the number of flows of a run.
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
	if s.Equal {
		return 1
	}
	return slowSpeed
}

// work draws 0.5 units with probability 0.9 and else 5.5: the mean is 1.
func (s Scenario) work(r *rand.Rand) float64 {
	if s.Work != nil {
		return s.Work(r)
	}
	if r.Float64() < 0.9 {
		return 0.5
	}
	return 5.5
}

// Scenarios returns the cases of the experiment; the first is the standard one.
func Scenarios() []Scenario {
	return append([]Scenario{
		{Name: "standard"},
		{Name: "false load reports of the slow agent", Start: func(m *model) { m.lies = true }},
		{Name: "one agent frozen", Start: freeze},
		{Name: "balancers with different views", Start: differ},
		{Name: "cold start", Start: cold},
		{Name: "1% of 50 units", Work: skewed},
		{Name: "20 requests per flow", Requests: 20},
	}, append(longFlows(), sharedFlows())...)
}

// longFlows returns the scenarios for the imbalance of open flows.
func longFlows() []Scenario {
	const requests, feeds = 20, 0.35
	var scs []Scenario
	for _, load := range []float64{0.3, 0.5, standardLoad} {
		for _, same := range []bool{true, false} {
			name := fmt.Sprintf("long flows and feeds, load %v", load)
			if same {
				name += ", equal agents"
			}
			scs = append(scs, Scenario{Name: name, Requests: requests, Load: load, Equal: same, Feeds: feeds})
		}
	}
	return scs
}

const (
	freezeAt = 100
	// markedAfter is how long a frozen agent stays a candidate: the two seconds
	// of the design's liveness rules.
	markedAfter = 100
	thawAfter   = 200
)

func freeze(m *model) {
	const i = 1
	m.after(freezeAt, func() { m.agents[i].frozen = true })
	m.after(freezeAt+markedAfter, func() {
		m.down[i] = true
		m.rebuild(equal)
	})
	m.after(freezeAt+thawAfter, func() {
		m.agents[i].frozen, m.down[i] = false, false
		m.rebuild(equal)
	})
}

// differ gives two of the three balancers views that lack one agent each.
func differ(m *model) {
	m.missing[0] = map[int]bool{1: true}
	m.missing[1] = map[int]bool{2: true}
	m.rebuild(equal)
}

const (
	coldTime  = 100
	coldSpeed = 0.1
)

func cold(m *model) {
	const i = 1
	m.agents[i].speed = coldSpeed
	m.after(coldTime, func() { m.agents[i].speed = 1 })
}

// skewed draws 50 units with probability 0.01; the mean is 1.
func skewed(r *rand.Rand) float64 {
	const long, share = 50, 0.01
	if r.Float64() < share {
		return long
	}
	return (1 - long*share) / (1 - share)
}

// sharedFlows returns the scenario for declared shares.
func sharedFlows() Scenario {
	return Scenario{Name: "long flows and one light agent", Requests: 20, Load: 0.3, Equal: true, Feeds: 0.35, Start: lighten}
}

const lightWeight = 0.25

// lighten declares a lower weight for agent 0 and tells its gate.
func lighten(m *model) {
	l := m.limits
	l.Weight = lightWeight
	m.agents[0].gate.SetLimits(m.clock(), l)
	m.rebuild(func(i int) float64 {
		if i == 0 {
			return lightWeight
		}
		return 1
	})
}
