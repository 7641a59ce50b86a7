package trial

import (
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/queue"
	"github.com/bramleycourse/bramleycourse/internal/shed"
)

// pressureAccounts is the number of client accounts of a load.
const pressureAccounts = 200

// pressureService is the only service.
const pressureService = frame.ServiceID(1)

// Pressures returns loads of 1.2, 1.6 and 2.4 times the capacity, with and without early
// rejection.
func Pressures() []Outage {
	var os []Outage
	for _, s := range []Size{{12, 3}, {40, 3}} {
		for _, share := range []float64{1.2, 1.6, 2.4} {
			for _, early := range []bool{false, true} {
				os = append(os, Outage{
					Upstreams: s.Endpoints, Slots: s.Slots, Share: share, Work: 43 * time.Millisecond, ColdFactor: 1,
					Objective: 250 * time.Millisecond, Timeout: 1500 * time.Millisecond, UrgentShare: 0.22,
					Steady: true, Early: early,
				})
			}
		}
	}
	return os
}

func (t *outageTry) urgency() shed.Urgency {
	if queue.Urgent(t.request.priority) {
		return shed.Urgent
	}
	return shed.Normal
}

// account returns the client account of an attempt.
func (t *outageTry) account() netip.Addr {
	return netip.AddrFrom4([4]byte{100, 64, 0, byte(t.request.caller % pressureAccounts)})
}

// rejection returns what is known of the request of an attempt.
func (m *outageModel) rejection(t *outageTry) shed.Request {
	return shed.Request{Objective: m.Objective, Deadline: m.Timeout, Age: m.now - t.request.began, Again: t.request.attempt > 1}
}

// rejectsEarly rejects an attempt as a balancer does, without asking an agent.
func (m *outageModel) rejectsEarly(t *outageTry, attempt time.Duration) bool {
	if !m.Early || m.now-attempt > outageDelay {
		return false
	}
	v := m.gate.Decide(m.now, pressureService, t.urgency(), t.account(), m.rejection(t), t.key.Hash())
	t.pressing = v.Pressing
	if v.Reject {
		m.tellRejected(t)
	}
	return v.Reject
}

// tellRejected tells the caller of a rejection; it tries again at once.
func (m *outageModel) tellRejected(t *outageTry) {
	m.gate.Reset(pressureService, t.urgency(), t.account())
	m.at(m.now+outageDelay, func() {
		if !t.over {
			t.over = true
			m.begin(t.request)
		}
	})
}

// shedLoad returns the load of an agent as a new request sees it.
func (m *outageModel) shedLoad(a *outageAgent, priority uint8, end time.Duration) shed.Load {
	s := m.times(a)
	urgent := a.arrivals[shed.Urgent].Rate(m.now)
	l := shed.Load{
		Ahead: a.waiting.CountAhead(m.now, s, priority, end), Waiting: a.waiting.CountInTime(m.now, s),
		Busy: a.busy, Spent: s.Handshake + s.Work, Left: a.departures.Rate(m.now), Lead: s.LeadTime(), Arriving: urgent + a.arrivals[shed.Normal].Rate(m.now),
	}
	if !queue.Urgent(priority) {
		l.Before = urgent
	}
	return l
}

// refusesEarly decides on an attempt as the agent does that is to take it.
func (m *outageModel) refusesEarly(a *outageAgent, t *outageTry, attempt time.Duration) bool {
	if !m.Early {
		return false
	}
	first := m.now-attempt <= outageDelay
	if first && t.request.attempt == 1 {
		a.arrivals[t.urgency()].Add(m.now)
	}
	r := m.rejection(t)
	r.Pressing = t.pressing
	refused := first && !queue.HasRoom(m.Slots, a.busy, queue.UrgencyOf(t.request.priority), m.times(a)) && m.shedLoad(a, t.request.priority, t.request.began+m.Objective).Refuses(r)
	m.report(a)
	if !refused {
		m.gate.Taken(m.now, pressureService, t.urgency())
		return false
	}
	m.gate.Refused(m.now, pressureService, t.urgency(), false)
	if !t.elsewhere && m.offerElsewhere(a, t, attempt) {
		return true
	}
	m.tellRejected(t)
	return true
}

// report passes the times of an agent to the balancer.
func (m *outageModel) report(a *outageAgent) {
	var times shed.Times
	for u, priority := range [...]uint8{shed.Normal: 255, shed.Urgent: 0} {
		if !queue.HasRoom(m.Slots, a.busy, queue.UrgencyOf(priority), m.times(a)) {
			times[u] = m.shedLoad(a, priority, m.now+m.Objective).Time()
		}
	}
	m.gate.Report(m.now, pressureService, a.addr, times)
}

// offerElsewhere offers a refused attempt to agents that had reported less load.
func (m *outageModel) offerElsewhere(refused *outageAgent, t *outageTry, attempt time.Duration) bool {
	f := &frame.Frame{Kind: frame.Offer}
	byAddr := map[netip.AddrPort]*outageAgent{}
	for _, a := range m.agents {
		byAddr[a.addr] = a
	}
	for _, a := range m.gate.Better(m.now, pressureService, t.urgency(), m.rejection(t), outageCandidates, func(a netip.AddrPort) bool { return a == refused.addr }) {
		f.Candidates = append(f.Candidates, frame.Candidate{Addr: a})
	}
	t.elsewhere = true
	m.place(f, byAddr, func(a *outageAgent) { m.take(a, t, attempt) })
	return len(f.Candidates) > 0
}

// noteRejected records that an agent has rejected an attempt that it had taken.
func (m *outageModel) noteRejected(t *outageTry) {
	if m.Early {
		m.gate.Refused(m.now, pressureService, t.urgency(), true)
		m.gate.Reset(pressureService, t.urgency(), t.account())
	}
}
