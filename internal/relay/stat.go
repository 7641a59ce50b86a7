package relay

import "sync/atomic"

// agentStat is what the data path observes of one agent. Times are in
// nanoseconds since the Unix epoch; zero means never.
type agentStat struct {
	// lastHeard is when a packet of the agent arrived.
	lastHeard atomic.Int64
	// unanswered is when the oldest new flow was sent that no packet of the
	// agent has followed; zero when there is none.
	unanswered atomic.Int64
}
