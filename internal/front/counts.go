package front

// Counts holds the event counters of a balancer. Metric names are derived from the
// names of the fields, their help texts are in the tags.
type Counts struct {
	Opened           uint64 `help:"Callers' opening packets, including copies."`
	Carried          uint64 `help:"Callers' packets that do not open a flow."`
	CarriedOn        uint64 `help:"Packets handed to another balancer or agent, which hears the agent of their flow."`
	Foreign          uint64 `help:"Datagrams that could not be decoded or were not expected."`
	NoRoute          uint64 `help:"Packets without a route or service."`
	NoUpstream       uint64 `help:"New flows rejected because no agent takes them or an agent rejected them."`
	EarlyRejected    uint64 `help:"First packets of attempts rejected without an offer, because agents take fewer requests."`
	OfferedElsewhere uint64 `help:"Refused openings offered to agents that had reported less load."`
	Pressed          uint64 `help:"Opening packets of client accounts over their share."`
	Retried          uint64 `help:"Offers repeated after a timeout."`
	GivenUp          uint64 `help:"Packets dropped: too many openings or searches, or no retry left."`
	Refused          uint64 `help:"Refused frames from agents."`
	Missed           uint64 `help:"Missed frames from agents."`
	Queried          uint64 `help:"Rounds of queries for a flow."`
	Walked           uint64 `help:"Walks started."`
	Lost             uint64 `help:"Flows that no agent was found to hold."`
	Unconfirmed      uint64 `help:"Resets put off because another balancer knows other agents, or none has answered."`
	Reset            uint64 `help:"Flows reset because their agent is down or no agent holds them."`
	Substituted      uint64 `help:"Times that no watcher of the configuration, or of evacuations, was heard for too long."`
	SkippedServices  uint64 `help:"Services of a configuration whose warm-up is out of range."`
	Evacuations      uint64 `help:"Changes of the evacuated places."`
	OddEvacuations   uint64 `help:"Objects read that evacuate nothing because they name no place."`
}
