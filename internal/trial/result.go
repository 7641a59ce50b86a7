package trial

import "slices"

// Result is the outcome of one policy.
type Result struct {
	Policy string `json:"policy"`
	// P99Wait is the 99th percentile of the wait for a slot, in units of the
	// mean service time.
	P99Wait float64 `json:"p99Wait"`
	// Ratio is P99Wait relative to the shortest queue of all on the same arrivals.
	Ratio float64 `json:"ratio"`
	// MeanWait is the mean wait for a slot.
	MeanWait float64 `json:"meanWait"`
	// Imbalance is the mean over time of the highest relative to the mean load.
	Imbalance float64 `json:"imbalance"`
	// FlowImbalance is the mean over time of the highest relative to the mean
	// number of open flows, once the long scenarios are in their steady state.
	FlowImbalance float64 `json:"flowImbalance"`
	// RequestImbalance is the mean, over windows of window, of the
	// highest relative to the mean number of requests that arrived at an agent.
	RequestImbalance float64 `json:"requestImbalance"`
	// HandOvers is the number of hand-overs per flow.
	HandOvers float64 `json:"handOvers"`
	// Vanished is the number of packets sent to frozen agents.
	Vanished int `json:"vanished,omitempty"`
}

const (
	// warmTime is how long flows and requests are not sampled. Flows of the long
	// scenarios stay open for about 420 units.
	warmTime = 1000
	// window is the time over which requests are counted. It is shorter than
	// most flows are open, so that a lasting excess of flows shows.
	window = 200
)

// historySteps is the number of steps in one unit of time.
const historySteps = 10

// history keeps the loads of the last unit.
type history struct {
	past [][]float64
}

func (h *history) push(loads []float64) {
	h.past = append(h.past, loads)
	if len(h.past) > historySteps {
		h.past = h.past[1:]
	}
}

func (h *history) old(i int) float64 {
	if len(h.past) == 0 {
		return 0
	}
	return h.past[0][i]
}

// tick samples the loads while flows arrive.
func (m *model) tick() {
	loads := make([]float64, len(m.agents))
	sum := 0.0
	for i, a := range m.agents {
		loads[i] = a.depth()
		sum += loads[i]
	}
	m.history.push(loads)
	if sum > 0 {
		m.spread += slices.Max(loads) / (sum / float64(len(loads)))
		m.ticks++
	}
	m.sampleFlows()
	if m.now < m.flows[len(m.flows)-1].at {
		m.after(1.0/historySteps, m.tick)
	}
}

// maxOverMean returns the highest relative to the mean, or 0 if all are zero.
func maxOverMean(vs []float64) float64 {
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	if sum == 0 {
		return 0
	}
	return slices.Max(vs) * float64(len(vs)) / sum
}

// sampleFlows samples the open flows, and at the end of a window the requests.
func (m *model) sampleFlows() {
	if m.now < warmTime {
		return
	}
	var flows, requests []float64
	for _, a := range m.agents {
		flows = append(flows, float64(a.flows))
		requests = append(requests, float64(a.requests))
	}
	if v := maxOverMean(flows); v > 0 {
		m.flowSpread += v
		m.flowTicks++
	}
	if m.now < m.windowEnd {
		return
	}
	m.windowEnd = m.now + window
	for _, a := range m.agents {
		a.requests = 0
	}
	if m.windowEnd > warmTime+window {
		m.requestSpread += maxOverMean(requests)
		m.windows++
	}
}

func (m *model) finish() Result {
	r := m.result
	r.Policy = m.policy.Name
	sum := 0.0
	for _, w := range m.waits {
		sum += w
	}
	r.MeanWait = sum / float64(len(m.waits))
	slices.Sort(m.waits)
	r.P99Wait = m.waits[len(m.waits)*99/100]
	r.Imbalance = m.spread / float64(m.ticks)
	r.FlowImbalance = m.flowSpread / float64(max(m.flowTicks, 1))
	r.RequestImbalance = m.requestSpread / float64(max(m.windows, 1))
	r.HandOvers /= float64(len(m.flows))
	return r
}

// Compare runs the policies on the same arrivals.
func Compare(ps []Policy, sc Scenario, s Size, seed uint64, flows int) []Result {
	var rs []Result
	limit := 0.0
	for _, p := range ps {
		r := newModel(p, sc, s, seed, flows).run()
		if p.Name == Limit {
			limit = r.P99Wait
		}
		rs = append(rs, r)
	}
	for i := range rs {
		if limit > 0 {
			rs[i].Ratio = rs[i].P99Wait / limit
		}
	}
	return rs
}
