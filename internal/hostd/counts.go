package hostd

// Counts holds event counters. Metric names are derived from the names of the fields,
// except that of Evacuated, because agent_evacuated is a gauge. Their help texts are in
// the tags.
type Counts struct {
	Taken        uint64 `help:"Opening packets passed to the upstream as new flows."`
	Forwarded    uint64 `help:"Opening packets passed to another candidate."`
	Refused      uint64 `help:"Opening packets returned to their balancers."`
	Foreign      uint64 `help:"Datagrams that could not be decoded or were not expected."`
	WrongService uint64 `help:"Opening packets for a service other than that of the upstream."`
	Missed       uint64 `help:"Packets of flows that the agent does not hold."`
	Returned     uint64 `help:"Packets that the upstream did not accept."`
	Recovered    uint64 `help:"Flows added to the table again because the upstream sent a packet."`
	Inherited    uint64 `help:"Flows taken over from the run of the agent before."`
	Tried        uint64 `help:"Packets passed to the upstream on trial."`
	Claimed      uint64 `help:"Flows taken for the upstream's because it did not return a packet on trial."`
	Reset        uint64 `help:"Flows reset because the upstream has lost them."`
	Reopened     uint64 `help:"Open flows dropped because the upstream has opened another one from the same address."`
	Copies       uint64 `help:"Copies of opening packets of flows that were open already."`
	Ended        uint64 `help:"Flows dropped because another run of the upstream has replaced the one that held them."`
	Unanswered   uint64 `help:"Opening packets that the upstream did not answer in time."`
	Full         uint64 `help:"Opening packets refused because the flow table was full."`
	EarlyRefused uint64 `help:"Opening packets refused at once because the request would not be served in time."`
	Held         uint64 `help:"Opening packets put into the queue."`
	Doubted      uint64 `help:"Reports of the upstream that were ignored because they are not newer."`
	Broken       uint64 `help:"Requests answered by a reset or with an unusual response time."`
	ColdHeld     uint64 `help:"Opening packets put into the queue because of the rate of a cold upstream."`
	ColdPassed   uint64 `help:"Opening packets passed on because their turn at a cold upstream does not come in time."`
	Evacuated    uint64 `metric:"evacuations" help:"Times that the agent learned that its place is evacuated."`
	HandedBack   uint64 `help:"Opening packets that waited when the place was evacuated, returned to their balancers."`
	Remeasured   uint64 `help:"Offers for which a slow upstream was not compared with others, to measure it again."`
}
