package queue

import (
	"math"
	"time"
)

const (
	// spareFlows is the number of flows admitted beyond the slots, so that the next
	// request has already arrived when a slot becomes free.
	spareFlows = 1
	// maxSpareShare limits the flows admitted beyond the slots, as a share of the slots;
	// it is the number for urgent requests. Requests on open flows go straight to the
	// upstream's own queue. Without spare flows, urgent requests on new flows would wait
	// for all of them. Each full set of spare flows makes a request wait for one more
	// work time where no order applies.
	maxSpareShare = 0.8
)

// Urgency says which room beyond its slots an upstream has for a request.
type Urgency int

const (
	// Late requests have missed their objective. They get slots that are free now,
	// but no place ahead of a request that may still arrive in time.
	Late Urgency = iota
	// Normal requests are in time.
	Normal
	// UrgentInTime requests are in time and urgent.
	UrgentInTime
)

// UrgencyOf returns the urgency of a request in time.
func UrgencyOf(priority uint8) Urgency {
	if Urgent(priority) {
		return UrgentInTime
	}
	return Normal
}

// Urgency returns the urgency of a waiting packet.
func (i *Item) Urgency() Urgency {
	if i.late {
		return Late
	}
	return UrgencyOf(i.Priority)
}

// HasRoom reports whether an upstream may get another flow while it has busy ones. A
// flow occupies a slot only when its request arrives, one handshake after the
// admission. The limit therefore includes the flows expected to be in their handshake.
// Otherwise slots would stay idle while packets wait.
func HasRoom(slots, busy int, u Urgency, s ServiceTimes) bool {
	slots = max(1, slots)
	spare := max(spareFlows, int(maxSpareShare*float64(slots)))
	switch u {
	case Late:
		spare = 0
	case Normal:
		inHandshake := float64(slots) * float64(s.Handshake) / float64(max(s.Work, time.Millisecond))
		spare = min(spareFlows+int(math.Ceil(inHandshake)), spare)
	}
	return busy < slots+spare
}
