// Package frame encodes the datagrams that balancers and agents of datagram flows
// exchange: encapsulated packets of callers, and control messages.
package frame

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Kind is the type of a datagram.
type Kind uint8

// Kinds of datagrams. Those from Offer to Refused carry a caller's packet as payload.
const (
	// Offer carries an opening packet along a list of candidate agents until one
	// takes it.
	Offer Kind = iota + 1
	// Placed carries an opening packet to the agent that was chosen for it. The agent
	// takes it if it can.
	Placed
	// Data carries a packet to the agent that probably holds its flow.
	Data
	// Walk carries a packet along a list of agents to find the one that holds its
	// flow.
	Walk
	// Missed returns a packet to the balancer because the agent does not hold its
	// flow, or because no agent of a walk does.
	Missed
	// Refused returns an opening packet that no candidate has taken, or that one
	// agent rejects: it is full, its upstream no longer takes flows, or the packet
	// expired in its queue.
	Refused
	// Taken tells a balancer that the sender holds a flow. The payload is the key of
	// the flow.
	Taken
	// Ping requests a Pong.
	Ping
	// Pong answers a Ping. It has no payload.
	Pong
	// Announce carries the entry of an agent. It is answered by Entries.
	Announce
	// Digest carries a digest of a balancer's view.
	Digest
	// Entries carries entries of a view.
	Entries
	// Generation carries the generation of the configuration that a balancer uses.
	// The payload is eight bytes.
	Generation
	// Rejected reports that the opening of a flow was answered with a reset. The
	// payload is the key of the flow and the age of the request in milliseconds.
	Rejected
	// Query asks an agent which of some flows it holds. The payload is the number of
	// the query and the keys of the flows.
	Query
	// Holding answers a Query. The payload is the number of the query and a Holds for
	// each key.
	Holding
	// Trial carries a packet to an agent that has answered Unlikely. The agent passes
	// it to the upstream; it is not answered unless the upstream holds the flow.
	Trial
	// Evacuations carries the evacuated places, to balancers and to agents. The payload is
	// JSON.
	Evacuations
	// Era carries the latest era of the platform's store that the sender knows, to a
	// balancer or agent that knows an earlier one. The payload is eight bytes.
	Era
	// Unheard asks a balancer whether it hears some agents that the sender does not hear. The
	// payload is their addresses, six bytes each.
	Unheard
	// Heard answers Unheard. The payload is each address that the sender can tell of, and a
	// byte that is 1 if it hears the agent and 0 if it does not either.
	Heard
	// Carry hands a caller's packet to a balancer that hears an agent which the sender does
	// not hear.
	Carry
	// Confirm asks a balancer whether it knows the same agents as the sender, which is about
	// to reset a flow that all of them have denied. The payload is the hash of the agents'
	// addresses and instances, eight bytes, and the key of the flow.
	Confirm
	// Confirmed answers Confirm. The payload is the hash of the agents that the sender knows, 0
	// if it may not know all of them, and the key of the flow.
	Confirmed
	// Flows carries a part of the list of the flows of an agent that stops to balancers, and
	// from them to the next run of the agent. The payload is that of a FlowList.
	Flows

	lastKind = Flows
)

// Holds is an agent's answer whether it holds a flow.
type Holds uint8

const (
	// NotHeld means that neither the agent nor its upstream holds the flow.
	NotHeld Holds = iota
	// Held means that the flow is open and in the agent's table.
	Held
	// MaybeHeld means that the upstream may hold the flow although it is not in the
	// agent's table. A walk lets the agent try.
	MaybeHeld
	// Unlikely is MaybeHeld from an agent whose upstream has not reported yet and refuses
	// connections or should have reported: most likely there is no upstream. A Trial lets
	// the agent try.
	Unlikely
	// NotKnown means that the agent has started and has not heard from its upstream.
	NotKnown
	// Opening means that the upstream got the opening packet. The flow may be open at
	// another one. Earlier versions answer Held, and ask again if they get this answer.
	Opening
	// Claimed means that the upstream did not return a packet of the flow, and has not
	// sent one either. Most likely it holds the flow.
	Claimed
	// Returned is NotHeld from an agent whose upstream has got a packet of the flow on trial
	// and has returned it. Earlier versions ask again if they get this answer.
	Returned
)

// MaxKeys is the maximum number of flows in a Query. The datagram fits into a packet
// of 1,232 bytes.
const MaxKeys = 100

// numberSize is the length of a query's number in bytes.
const numberSize = 4

// Query returns the number and the keys of a Query; ok is false if it is malformed.
func (f *Frame) Query() (number uint32, keys []flow.Key, ok bool) {
	const size = len(flow.Key{})
	n := len(f.Payload) - numberSize
	if n < 0 || n%size != 0 || n/size > MaxKeys {
		return 0, nil, false
	}
	for b := f.Payload[numberSize:]; len(b) > 0; b = b[size:] {
		keys = append(keys, flow.Key(b))
	}
	return binary.BigEndian.Uint32(f.Payload), keys, true
}

// Holding returns the number and the answers of a Holding; ok is false if it is
// malformed.
func (f *Frame) Holding() (number uint32, answers []Holds, ok bool) {
	n := len(f.Payload) - numberSize
	if n < 0 || n > MaxKeys {
		return 0, nil, false
	}
	for _, b := range f.Payload[numberSize:] {
		answers = append(answers, Holds(b))
	}
	return binary.BigEndian.Uint32(f.Payload), answers, true
}

// HoldingPayload returns the payload of the Holding that answers a query.
func HoldingPayload(number uint32, answers []Holds) []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, numberSize+len(answers)), number)
	for _, h := range answers {
		b = append(b, byte(h))
	}
	return b
}

// ServiceID identifies a service in datagrams.
type ServiceID uint32

// ServiceIDOf derives the identifier of a service from its name, so that all processes
// agree on it without configuration.
func ServiceIDOf(n ident.ServiceName) ServiceID { return ServiceID(xxhash.Sum64String(string(n))) }

// Depth is the load of an agent in 1/64 of its slots.
type Depth uint16

const (
	// DepthFull is the depth of an agent with all slots busy.
	DepthFull Depth = 64
	// DepthClosed is the depth of an agent that takes no flows.
	DepthClosed Depth = 1<<16 - 1
)

// Candidate is an agent in the list of an Offer or a Walk.
type Candidate struct {
	// Addr is the agent's hop address; always IPv4.
	Addr netip.AddrPort
	// Depth is the load that the agent reported; valid once the packet has passed
	// the agent.
	Depth Depth
}

const (
	flagHinted = 1
	flagUnsure = 2
	flagTried  = 4
	// flagWaits announces times on Taken and Refused, see Frame.Waits.
	flagWaits = 16
	// flagAnswered and flagOpen are used on Taken. Earlier versions ignore them.
	flagAnswered = 8
	flagOpen     = 32

	// Offer and Placed have flags of their own. Earlier versions ignore all of them on
	// these kinds.
	flagPressing = 1
	// resetsShift is the position of the two bits with the number of resets.
	resetsShift = 1
	maxResets   = 3
	// flagCold announces ColdRate and Warmup. The rate takes the place of TrialsLeft, and
	// the warm-up the upper four bits of the flags.
	flagCold = 8
	// coldShift is the position of the warm-up in the flags.
	coldShift = 4

	version = 0xB1
	// headerSize is the length of the fixed part of the header in bytes: version,
	// kind, position, count, trials, flags, service, balancer, objective, timeout,
	// age and priority.
	headerSize    = 4 + 2 + 4 + 6 + 2 + 2 + 2 + 1
	candidateSize = 4 + 2 + 2
	// MaxCandidates is the maximum number of agents in a list.
	MaxCandidates = 64
	// MaxHeaderSize is the maximum length of a header in bytes.
	MaxHeaderSize = headerSize + MaxCandidates*candidateSize
	// MaxSize is the maximum length of a datagram in bytes. A caller's packet has up
	// to 1,232 bytes.
	MaxSize = MaxHeaderSize + 1300
)

// Frame is a decoded datagram.
type Frame struct {
	Kind Kind
	// Position is the index of the receiver in Candidates.
	Position int
	// TrialsLeft is the number of agents that may still pass the packet to their
	// upstream although the flow is not in their table. They may have lost the table in a
	// restart. In Offer, Placed, Refused and Rejected it is the number of resets that the
	// request has had, if the balancer rejects early.
	TrialsLeft uint8
	// Hinted is set on Data if the agent had told the balancer that it holds the flow.
	Hinted bool
	// Unsure is set by an agent whose upstream may hold the flow although it is not
	// in the agent's table. On Taken, the upstream seems to hold it because it did not
	// return a packet on trial.
	Unsure bool
	// Tried is set by an agent that has passed the packet to its upstream, which
	// returned it.
	Tried bool
	// Waits is set on Taken and Refused if ObjectiveMillis and TimeoutMillis hold the
	// time in which the sender would answer a new request that is not urgent, and one
	// that is; zero if it has room.
	Waits bool
	// Open is set on Taken if the flow is open at the sender, and Answered if First is the
	// first sequence number of the upstream; it takes the place of Balancer.
	Open, Answered bool
	First          uint32
	// Pressing is set on Offer and Placed if the caller's client account sends more than
	// its share while the service is overloaded.
	Pressing bool
	Service  ServiceID
	// ColdRate is the number of requests per second that a cold upstream of the service
	// bears, and Warmup the time for which it is cold. They are carried by Offer and
	// Placed only, where ColdRate is 0 if there is no limit. They are encoded roughly:
	// rates are rounded down by up to 6%, and warm-ups up to the next power of two.
	ColdRate float64
	Warmup   time.Duration
	// Balancer is the address to send replies to.
	Balancer netip.AddrPort
	// ObjectiveMillis and TimeoutMillis are the latency objective and the timeout of
	// the requests of the flow; zero if unknown; see Waits. Priority is their priority; 0 is
	// the highest.
	ObjectiveMillis, TimeoutMillis uint16
	// AgeMillis is the time from the start of the request to this attempt or, if an
	// agent rejects a packet from its queue, to the rejection.
	AgeMillis  uint16
	Priority   uint8
	Candidates []Candidate
	Payload    []byte
}

// Append appends the encoded datagram to b and returns the result. Addresses other than
// IPv4 are encoded as zero.
func (f *Frame) Append(b []byte) []byte {
	var flags byte
	if f.Hinted {
		flags |= flagHinted
	}
	if f.Unsure {
		flags |= flagUnsure
	}
	if f.Tried {
		flags |= flagTried
	}
	if f.Waits {
		flags |= flagWaits
	}
	trials, balancer := f.TrialsLeft, f.Balancer
	switch {
	case f.Kind.opens():
		flags, trials = f.openingFields()
	case f.Kind == Taken:
		flags |= f.takenFlags()
		balancer = f.takenAddr()
	}
	b = append(b, version, byte(f.Kind), byte(f.Position), byte(len(f.Candidates)), trials, flags)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Service))
	b = appendAddr(b, balancer)
	b = binary.BigEndian.AppendUint16(b, f.ObjectiveMillis)
	b = binary.BigEndian.AppendUint16(b, f.TimeoutMillis)
	b = binary.BigEndian.AppendUint16(b, f.AgeMillis)
	b = append(b, f.Priority)
	for _, c := range f.Candidates {
		b = appendAddr(b, c.Addr)
		b = binary.BigEndian.AppendUint16(b, uint16(c.Depth))
	}
	return append(b, f.Payload...)
}

// Parse decodes a datagram into f. It reuses the slice Candidates, and Payload refers
// to b. It reports false if the datagram is malformed.
func (f *Frame) Parse(b []byte) bool {
	if len(b) < headerSize || b[0] != version || b[1] == 0 || Kind(b[1]) > lastKind {
		return false
	}
	n := int(b[3])
	if n > MaxCandidates || len(b) < headerSize+n*candidateSize || n > 0 && int(b[2]) >= n {
		return false
	}
	f.Kind, f.Position, f.TrialsLeft, f.Hinted = Kind(b[1]), int(b[2]), b[4], b[5]&flagHinted != 0
	f.Unsure, f.Tried = b[5]&flagUnsure != 0, b[5]&flagTried != 0
	f.Waits, f.Pressing, f.ColdRate, f.Warmup = b[5]&flagWaits != 0, false, 0, 0
	if f.Kind.opens() {
		f.parseOpeningFields(b[5], b[4])
	}
	f.Service = ServiceID(binary.BigEndian.Uint32(b[6:]))
	f.Balancer = parseAddr(b[10:])
	f.parseTakenFields(b[5])
	f.ObjectiveMillis, f.TimeoutMillis = binary.BigEndian.Uint16(b[16:]), binary.BigEndian.Uint16(b[18:])
	f.AgeMillis, f.Priority = binary.BigEndian.Uint16(b[20:]), b[22]
	f.Candidates = f.Candidates[:0]
	b = b[headerSize:]
	for range n {
		f.Candidates = append(f.Candidates, Candidate{parseAddr(b), Depth(binary.BigEndian.Uint16(b[6:]))})
		b = b[candidateSize:]
	}
	f.Payload = b
	return true
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func parseAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}
