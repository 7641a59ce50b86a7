package trial

import (
	"math"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// Policy places flows.
type Policy struct {
	Name string
	// Pick returns the index of the agent that gets the flow. It must not pick
	// by anything that the policy could not know.
	Pick func(m *model, f *flow) int
}

// Limit is the name of the policy that the others are compared with.
const Limit = "shortest queue of all"

// Design is the name of the policy that the agents use.
const Design = "best of 3, fourth when deep"

// Policies returns all policies of the experiment.
func Policies() []Policy {
	return []Policy{
		{"random", func(m *model, _ *flow) int { return m.shuffled()[0] }},
		{"round robin", roundRobin},
		{"least of all, 1 old", func(m *model, _ *flow) int { return m.least(m.all(), m.old) }},
		{"two choices, 1 old", func(m *model, f *flow) int { return m.least(m.candidates(f, 2), m.old) }},
		{"first free of 2, else last", func(m *model, f *flow) int { return m.chain(m.candidates(f, 2), nil) }},
		{"first free of 3, else last", func(m *model, f *flow) int { return m.chain(m.candidates(f, 3), nil) }},
		{"best of 2 by depth", func(m *model, f *flow) int { return m.chain(m.candidates(f, 2), m.depth) }},
		{"best of 3 by depth", func(m *model, f *flow) int { return m.walk(f, 3) }},
		{Design, func(m *model, f *flow) int { return m.walk(f, 4) }},
		{"best of 4 by depth", func(m *model, f *flow) int { return m.chain(m.candidates(f, 4), m.depth) }},
		{"best of 3 by expected wait", func(m *model, f *flow) int { return m.chain(m.candidates(f, 3), m.expected) }},
		{"best of 3, learned weights", (*model).learned},
		{Limit, func(m *model, _ *flow) int { return m.least(m.shuffled(), m.depth) }},
	}
}

func roundRobin(m *model, f *flow) int {
	m.turns[f.balancer]++
	is := m.all()
	return is[m.turns[f.balancer]%len(is)]
}

// all returns the agents that are not marked down.
func (m *model) all() []int {
	var is []int
	for i := range m.agents {
		if !m.down[i] {
			is = append(is, i)
		}
	}
	return is
}

// shuffled returns all agents in random order, so that ties are broken at random.
func (m *model) shuffled() []int {
	is := m.all()
	m.rng.Shuffle(len(is), func(i, j int) { is[i], is[j] = is[j], is[i] })
	return is
}

// candidates returns the first n candidates of the flow.
func (m *model) candidates(f *flow, n int) []int {
	var h encap.Header
	m.tables[f.balancer].Candidates(tag, f.id[:], &h)
	var is []int
	for _, c := range h.Candidates[:min(n, int(h.Count))] {
		is = append(is, indexOf(c.Endpoint))
	}
	return is
}

func (m *model) depth(i int) float64 { return m.agents[i].depth() }

// old is the load that an agent reported one unit ago.
func (m *model) old(i int) float64 {
	if m.lies && i == 0 {
		return 0
	}
	return m.history.old(i)
}

func (m *model) least(is []int, by func(int) float64) int {
	best, value := is[0], math.Inf(1)
	for _, i := range is {
		if v := by(i); v < value {
			best, value = i, v
		}
	}
	return best
}

// chain passes a flow along the agents until one has a free slot. The last
// sends it to the least by the given measure, or keeps it without one.
func (m *model) chain(is []int, by func(int) float64) int {
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
	best := m.least(is, by)
	if by(last) <= by(best) {
		return last
	}
	m.result.HandOvers++
	return best
}

// rate is the measured mean service time of an agent.
type rate struct{ mean float64 }

// rateWeight is the weight of the newest service time in the mean.
const rateWeight = 1.0 / 64

func (r *rate) add(took float64) {
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += (took - r.mean) * rateWeight
}

// expected is the expected wait at an agent, from its depth and the service
// time that it measures.
func (m *model) expected(i int) float64 {
	a := m.agents[i]
	return float64(a.jobs+1) * a.rate.mean / float64(a.slots)
}

// learnTime is how many units pass between two updates of learned weights.
const learnTime = 20

// learned places by depth with weights that follow the measured service
// rates. All balancers use the same weights, as they would from the view.
func (m *model) learned(f *flow) int {
	if m.now > m.learnAt {
		m.learnAt = m.now + learnTime
		m.rebuild(func(i int) float64 {
			if mean := m.agents[i].rate.mean; mean > 0 {
				return 1 / mean
			}
			return 1
		})
	}
	return m.walk(f, 3)
}
