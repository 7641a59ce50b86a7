package trial

import "slices"

// Result holds the measurements of one policy.
type Result struct {
	Policy string `json:"policy"`
	// P99Wait is the 99th percentile of the wait for a slot, in units of the
	// mean service time.
	P99Wait float64 `json:"p99Wait"`
	// Ratio is P99Wait relative to that of IdealPolicy with the same arrivals.
	Ratio float64 `json:"ratio"`
	// MeanWait is the mean wait for a slot, in the same units.
	MeanWait float64 `json:"meanWait"`
	// Imbalance is the mean over time of max/mean of the load of the agents.
	Imbalance float64 `json:"imbalance"`
	// FlowImbalance is the mean over time of max/mean of the open flows of the
	// agents, after warmupTime.
	FlowImbalance float64 `json:"flowImbalance"`
	// RequestImbalance is the mean over windows of length requestWindow of max/mean
	// of the requests that arrived at the agents.
	RequestImbalance float64 `json:"requestImbalance"`
	// HandOvers is the number of times per flow that an agent passed it on.
	HandOvers float64 `json:"handOvers"`
	// LostPackets counts the first packets that were sent to frozen agents.
	LostPackets int `json:"vanished,omitempty"`
}

const (
	// warmupTime is the time in units before flows and requests are sampled. Flows
	// of the long scenarios stay open for about 420 units, so they are in their
	// steady state by then.
	warmupTime = 1000
	// requestWindow is the time in units over which requests are counted. It is
	// shorter than the lifetime of most flows, so that a lasting excess of flows
	// at an agent shows.
	requestWindow = 200
)

// historySteps is the number of load samples per unit of time.
const historySteps = 10

// history keeps the load samples of the last unit of time.
type history struct {
	past [][]float64
}

func (h *history) push(loads []float64) {
	h.past = append(h.past, loads)
	if len(h.past) > historySteps {
		h.past = h.past[1:]
	}
}

// oldest returns the load of an agent in the oldest sample, or 0 without samples.
func (h *history) oldest(i int) float64 {
	if len(h.past) == 0 {
		return 0
	}
	return h.past[0][i]
}

// sampleLoads samples the loads periodically while flows arrive.
func (m *model) sampleLoads() {
	loads := make([]float64, len(m.agents))
	sum := 0.0
	for i, a := range m.agents {
		loads[i] = a.depth()
		sum += loads[i]
	}
	m.history.push(loads)
	if sum > 0 {
		m.imbalanceSum += slices.Max(loads) / (sum / float64(len(loads)))
		m.imbalanceSamples++
	}
	m.sampleFlows()
	if m.now < m.flows[len(m.flows)-1].at {
		m.schedule(1.0/historySteps, m.sampleLoads)
	}
}

// maxOverMean returns max/mean, or 0 if all values are zero.
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

// sampleFlows samples the open flows and, at the end of a window, the requests.
func (m *model) sampleFlows() {
	if m.now < warmupTime {
		return
	}
	var flows, requests []float64
	for _, a := range m.agents {
		flows = append(flows, float64(a.flows))
		requests = append(requests, float64(a.requests))
	}
	if v := maxOverMean(flows); v > 0 {
		m.flowImbalanceSum += v
		m.flowSamples++
	}
	if m.now < m.windowEnd {
		return
	}
	m.windowEnd = m.now + requestWindow
	for _, a := range m.agents {
		a.requests = 0
	}
	if m.windowEnd > warmupTime+requestWindow {
		m.requestImbalanceSum += maxOverMean(requests)
		m.windows++
	}
}

// finish computes the result from the samples.
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
	r.Imbalance = m.imbalanceSum / float64(m.imbalanceSamples)
	r.FlowImbalance = m.flowImbalanceSum / float64(max(m.flowSamples, 1))
	r.RequestImbalance = m.requestImbalanceSum / float64(max(m.windows, 1))
	r.HandOvers /= float64(len(m.flows))
	return r
}

// Compare runs the policies with the same arrivals.
func Compare(ps []Policy, sc Scenario, s Size, seed uint64, flows int) []Result {
	var rs []Result
	ideal := 0.0
	for _, p := range ps {
		r := newModel(p, sc, s, seed, flows).run()
		if p.Name == IdealPolicy {
			ideal = r.P99Wait
		}
		rs = append(rs, r)
	}
	for i := range rs {
		if ideal > 0 {
			rs[i].Ratio = rs[i].P99Wait / ideal
		}
	}
	return rs
}
