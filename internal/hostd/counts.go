package hostd

// Counts holds event counters. The names of the fields become the names of metrics.
//
//   - Taken: opening packets passed to the upstream as new flows
//   - Forwarded: opening packets passed to another candidate
//   - Refused: opening packets returned to their balancers
//   - Foreign: datagrams that could not be decoded or were not expected
//   - WrongService: opening packets for a service other than that of the upstream
//   - Missed: packets of flows that the agent does not hold
//   - Returned: packets that the upstream did not accept
//   - Recovered: flows added to the table again because the upstream sent a packet
//   - Tried: packets passed to the upstream on trial
//   - Reset: flows reset because the upstream has lost them
//   - Unanswered: opening packets without an answer within openingTimeout
//   - Full: opening packets refused because the flow table was full
//   - Held: opening packets put into the queue
//   - Doubted: reports of the upstream that were ignored because they are not newer
//   - EarlyRefused: opening packets refused at once because the request would not be served
//     in time
//   - ColdHeld: opening packets put into the queue because of the rate of a cold upstream
//   - ColdPassed: opening packets passed on because their turn at a cold upstream does
//     not come in time
//   - Broken: requests answered by a reset or with an unusual response time
//   - Evacuated: times that the agent learned that its place is evacuated
//   - HandedBack: opening packets that waited when the place was evacuated, returned to
//     their balancers
//   - Remeasured: offers for which a slow upstream was not compared with others, to
//     measure it again
type Counts struct {
	Taken, Forwarded, Refused, Foreign, WrongService, Missed, Returned, Recovered, Tried, Reset, Unanswered, Full, Held, Doubted, Broken uint64
	ColdHeld, ColdPassed, EarlyRefused, Evacuated, HandedBack, Remeasured                                                                uint64
}
