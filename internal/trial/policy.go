package trial

import (
	"math"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// Policy chooses the agent of each flow.
type Policy struct {
	Name string
	// Pick returns the index of the agent that gets the flow. It may use only
	// what the policy could know in a real deployment.
	Pick func(m *model, f *flow) int
}

// IdealPolicy is the name of the policy that the others are compared with. It knows
// the current depth of all agents.
const IdealPolicy = "shortest queue of all"

// AgentPolicy is the name of the policy that the agents use.
const AgentPolicy = "best of 3, fourth when deep"

// Policies returns all policies of the experiment.
func Policies() []Policy {
	return []Policy{
		{"random", func(m *model, _ *flow) int { return m.shuffled()[0] }},
		{"round robin", roundRobin},
		{"least of all, 1 old", func(m *model, _ *flow) int { return m.lowest(m.usable(), m.delayedLoad) }},
		{"two choices, 1 old", func(m *model, f *flow) int { return m.lowest(m.candidates(f, 2), m.delayedLoad) }},
		{"first free of 2, else last", func(m *model, f *flow) int { return m.firstFree(m.candidates(f, 2), nil) }},
		{"first free of 3, else last", func(m *model, f *flow) int { return m.firstFree(m.candidates(f, 3), nil) }},
		{"best of 2 by depth", func(m *model, f *flow) int { return m.firstFree(m.candidates(f, 2), m.depth) }},
		{"best of 3 by depth", func(m *model, f *flow) int { return m.admitFlow(f, 3) }},
		{AgentPolicy, func(m *model, f *flow) int { return m.admitFlow(f, 4) }},
		{"best of 4 by depth", func(m *model, f *flow) int { return m.firstFree(m.candidates(f, 4), m.depth) }},
		{"best of 3 by expected wait", func(m *model, f *flow) int { return m.firstFree(m.candidates(f, 3), m.expected) }},
		{"best of 3, learned weights", (*model).learned},
		{IdealPolicy, func(m *model, _ *flow) int { return m.lowest(m.shuffled(), m.depth) }},
	}
}

// roundRobin cycles through the usable agents, separately for each balancer.
func roundRobin(m *model, f *flow) int {
	m.turns[f.balancer]++
	is := m.usable()
	return is[m.turns[f.balancer]%len(is)]
}

// usable returns the agents that are not marked down.
func (m *model) usable() []int {
	var is []int
	for i := range m.agents {
		if !m.down[i] {
			is = append(is, i)
		}
	}
	return is
}

// shuffled returns the usable agents in random order, so that ties are broken at
// random.
func (m *model) shuffled() []int {
	is := m.usable()
	m.rng.Shuffle(len(is), func(i, j int) { is[i], is[j] = is[j], is[i] })
	return is
}

// candidates returns the first n candidates of the flow.
func (m *model) candidates(f *flow, n int) []int {
	var h encap.Header
	m.tables[f.balancer].Candidates(serviceTag, f.id[:], &h)
	var is []int
	for _, c := range h.Candidates[:min(n, int(h.Count))] {
		is = append(is, indexOf(c.Endpoint))
	}
	return is
}

func (m *model) depth(i int) float64 { return m.agents[i].depth() }

// delayedLoad is the load that an agent reported one unit ago.
func (m *model) delayedLoad(i int) float64 {
	if m.falseReports && i == 0 {
		return 0
	}
	return m.history.oldest(i)
}

// lowest returns the first of the agents with the lowest value.
func (m *model) lowest(is []int, by func(int) float64) int {
	best, value := is[0], math.Inf(1)
	for _, i := range is {
		if v := by(i); v < value {
			best, value = i, v
		}
	}
	return best
}

// firstFree passes a flow along the agents until one has a free slot. If none has, the
// last agent passes it to the one with the lowest value, or keeps it if by is nil.
func (m *model) firstFree(is []int, by func(int) float64) int {
	last := is[len(is)-1]
	for _, i := range is {
		if a := m.agents[i]; a.frozen || a.jobs < a.slots {
			return i
		}
		if i != last {
			m.result.HandOvers++
		}
	}
	if by == nil {
		return last
	}
	best := m.lowest(is, by)
	if by(last) <= by(best) {
		return last
	}
	m.result.HandOvers++
	return best
}

// meanTime is a moving average of service times.
type meanTime struct{ mean float64 }

// meanWeight is the weight of the newest service time in the moving average.
const meanWeight = 1.0 / 64

func (r *meanTime) add(took float64) {
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += (took - r.mean) * meanWeight
}

// expected is the expected wait at an agent by its depth and measured service time.
func (m *model) expected(i int) float64 {
	a := m.agents[i]
	return float64(a.jobs+1) * a.serviceTime.mean / float64(a.slots)
}

// updateInterval is the time in units between updates of learned weights.
const updateInterval = 20

// learned places flows by depth with weights learned from the measured service rates.
// All balancers use the same weights, as if these were part of the view.
func (m *model) learned(f *flow) int {
	if m.now > m.nextUpdate {
		m.nextUpdate = m.now + updateInterval
		m.rebuild(func(i int) float64 {
			if mean := m.agents[i].serviceTime.mean; mean > 0 {
				return 1 / mean
			}
			return 1
		})
	}
	return m.admitFlow(f, 3)
}
