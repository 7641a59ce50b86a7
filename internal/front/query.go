package front

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// minQueryInterval is the minimum time between two rounds of queries, and
	// timePerQuery the time that each query of a round adds. Flows that are to be
	// searched in between share the next queries. After a power loss all balancers ask
	// all agents: 100 balancers with 250 agents then take a tenth of the processors of
	// the smallest VMs.
	minQueryInterval = 10 * time.Millisecond
	timePerQuery     = 300 * time.Microsecond
	// never is a time that is not reached.
	never = time.Duration(math.MaxInt64)
)

// query asks an agent which of some flows it holds.
type query struct {
	agent    netip.AddrPort
	service  frame.ServiceID
	searches []*search
	deadline time.Duration
}

// queries gathers the flows that agents are to be asked for, and holds the queries
// that are not answered yet.
type queries struct {
	gathered map[netip.AddrPort]*query
	open     map[uint32]*query
	// lastNumber is the number of the last query, nextSend when the next round may
	// be sent.
	lastNumber uint32
	nextSend   time.Duration
	// nextDue is not later than the next round or the first deadline.
	nextDue time.Duration
}

func (q *queries) init() {
	q.gathered, q.open = map[netip.AddrPort]*query{}, map[uint32]*query{}
	q.nextDue = never
}

// add puts a search into the next query to an agent.
func (q *queries) add(now time.Duration, a netip.AddrPort, s frame.ServiceID, o *search) {
	g := q.gathered[a]
	if g == nil {
		g = &query{agent: a, service: s}
		q.gathered[a] = g
	}
	g.searches = append(g.searches, o)
	q.nextDue = min(q.nextDue, max(now, q.nextSend))
}

// sendQueries sends the gathered queries if the next round is due.
func (c *Core) sendQueries(now time.Duration) {
	qs := &c.searches.queries
	if len(qs.gathered) == 0 || now < qs.nextSend {
		return
	}
	qs.nextSend = now + max(minQueryInterval, time.Duration(len(qs.gathered))*timePerQuery)
	gathered := qs.gathered
	qs.gathered = map[netip.AddrPort]*query{}
	for _, a := range slices.SortedFunc(maps.Keys(gathered), netip.AddrPort.Compare) {
		g := gathered[a]
		searched := slices.DeleteFunc(g.searches, func(o *search) bool { return o.done })
		for part := range slices.Chunk(searched, frame.MaxKeys) {
			c.sendQuery(&query{agent: g.agent, service: g.service, searches: part, deadline: now + searchTimeout})
		}
	}
}

func (c *Core) sendQuery(q *query) {
	qs := &c.searches.queries
	qs.lastNumber++
	qs.open[qs.lastNumber] = q
	qs.nextDue = min(qs.nextDue, q.deadline)
	payload := binary.BigEndian.AppendUint32(nil, qs.lastNumber)
	for _, o := range q.searches {
		payload = append(payload, o.key[:]...)
	}
	c.send(&frame.Frame{Kind: frame.Query, Service: q.service, Balancer: c.self.Peer, Payload: payload}, q.agent)
}

// handleHolding handles an agent's answer to a query.
func (c *Core) handleHolding(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	number, answers, ok := f.Holding()
	if !ok {
		c.Counts.Foreign++
		return
	}
	q := c.searches.queries.open[number]
	if q == nil || now >= q.deadline || q.agent != from || len(answers) != len(q.searches) {
		return // The answer is late; the agent is asked again.
	}
	delete(c.searches.queries.open, number)
	for n, o := range q.searches {
		if o.done {
			continue
		}
		switch answers[n] {
		case frame.Held:
			c.foundAgent(now, o, flow.Hint{Agent: from, Service: uint32(f.Service), Confirmed: true}, o.packets)
			continue
		case frame.Opening:
			o.suspects = append(o.suspects, suspect{agent: from, service: q.service, opening: true})
		case frame.Claimed:
			c.foundClaim(now, o, flow.Hint{Agent: from, Service: uint32(f.Service)}, o.packets)
			continue
		case frame.MaybeHeld:
			o.suspects = append(o.suspects, suspect{agent: from, service: q.service})
		case frame.Unlikely:
			o.unlikely = append(o.unlikely, suspect{agent: from, service: q.service})
		case frame.NotKnown:
			o.unaware = append(o.unaware, from)
		case frame.NotHeld:
			c.settle(o, from)
		case frame.Returned:
			o.returned = true
			c.settle(o, from)
		}
		c.endAnswer(now, o)
	}
}

// endAnswer records that an agent has answered for a search, or did not in time.
func (c *Core) endAnswer(now time.Duration, o *search) {
	if o.awaited--; o.awaited == 0 {
		c.visitSuspects(now, o)
	}
}

// checkQueries sends gathered queries that are due, and ends those that were not
// answered in time. Their agents become suspects: they may run a version that does
// not know queries.
func (c *Core) checkQueries(now time.Duration) {
	qs := &c.searches.queries
	if now < qs.nextDue {
		return
	}
	qs.nextDue = never
	c.sendQueries(now)
	if len(qs.gathered) > 0 {
		qs.nextDue = qs.nextSend
	}
	for _, number := range slices.Sorted(maps.Keys(qs.open)) {
		q := qs.open[number]
		if now < q.deadline {
			qs.nextDue = min(qs.nextDue, q.deadline)
			continue
		}
		delete(qs.open, number)
		c.agents.probe(now, q.agent, c)
		for _, o := range q.searches {
			if !o.done {
				o.suspects = append(o.suspects, suspect{agent: q.agent, service: q.service, silent: true})
				o.unaware = append(o.unaware, q.agent)
				c.endAnswer(now, o)
			}
		}
	}
}
