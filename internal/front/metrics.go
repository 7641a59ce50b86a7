package front

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/node"
)

// collectMetrics copies the current counters and gauges into m.
func (b *Balancer) collectMetrics(m *node.Metrics) {
	var c Counts
	b.loop.Do(func(time.Duration) {
		c = b.core.Counts
		m.Counter("packetsFromCallers", "Datagrams received from the callers' network.", b.packets)
		m.Counter("sendFailures", "Datagrams that could not be sent.", b.callerSocket.Failed+b.peerSocket.Failed)
		m.Gauge("generation", "Generation of the configuration in force; 0 before the first.", float64(b.core.Rules().Generation()))
		m.Gauge("balancers", "Known balancers, with this one.", float64(1+len(b.core.Peers())))
		m.Gauge("evacuatedPlaces", "Evacuated places.", float64(len(b.core.Evacuations().Places)))
		m.Gauge("hints", "Flows whose agent is known.", float64(b.core.hints.Len()))
		m.Gauge("members", "Runs of balancers and agents that are not known to have ended.", float64(b.core.MemberCount()))
		m.Gauge("agents", "Known agents, whether up or down.", float64(b.core.AgentCount()))
		m.Gauge("isolated", "1 if no agent and fewer than half of the other balancers answer, else 0.", boolGauge(b.core.Isolated()))
		m.Gauge("agentsDown", "Agents that do not answer.", float64(b.core.agents.downCount()))
		m.Gauge("openingsPending", "Opening packets that have been offered and not answered.", float64(len(b.core.pending.byKey)))
	})
	m.Counters(c)
	m.Shared(b.store, b.out)
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
