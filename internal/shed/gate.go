package shed

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// reportLifetime is how long a report of an agent counts. The time that a request
	// waits changes within as much.
	reportLifetime = 250 * time.Millisecond
	// maxReports is the number of reports of a service from which on old ones are removed.
	maxReports = 512
	// fullShare is the share of its remaining objective from which on a request finds
	// the service without room. Requests are refused at all of it, and waits vary by a
	// work time between two reports.
	fullShare = 0.5
	// betterShare is the share of its remaining objective in which another agent has to
	// answer a refused request to be asked.
	betterShare = 0.85
	// offerRatio is the number of requests offered for each one that agents take, besides
	// demandShare. The excess shows at once when agents take more.
	offerRatio = 1.1
	// demandShare is the share of the demand that is offered besides. It makes the shares
	// of balancers follow their demand; a multiple of what agents take alone would keep
	// them as they are.
	demandShare = 0.2
	// pressDeviations is the number of standard deviations of a random count, and minPress
	// the number of requests, by which an account is over its fair share if it counts as
	// pressing.
	pressDeviations = 3
	minPress        = 2
	// minOffers is the number of offers in countTime that are always made.
	minOffers = 5
	// minRefused is the number of refusals in countTime from which on a service
	// counts as overloaded.
	minRefused = 3
	// rollInterval is the time between two updates of the counts, and countDecay the
	// factor of an update. countTime, the time that counts average over, follows.
	rollInterval = 250 * time.Millisecond
	countDecay   = 0.75
	// maxCalm is the time without a request after which all counts are forgotten.
	maxCalm = 5 * time.Second
)

// Urgency tells urgent requests from others.
type Urgency int

// Urgencies of requests.
const (
	Normal Urgency = iota
	Urgent
)

// Times are the times in which an agent would answer a new request of each urgency; 0
// if it has room.
type Times [2]time.Duration

// Verdict says what a balancer does with an opening packet.
type Verdict struct {
	// Reject is set if the request is rejected at once.
	Reject bool
	// Pressing is set if the client account is over its fair share.
	Pressing bool
	// Time is the shortest time in which an agent would answer, if Reject is set.
	Time time.Duration
}

// Gate decides which requests a balancer rejects without asking agents. It counts only
// what passes this balancer. It is not safe for concurrent use.
type Gate struct {
	services map[frame.ServiceID]*service
}

// service is what a balancer knows of a service.
type service struct {
	reports map[netip.AddrPort]report
	classes [2]class
}

type report struct {
	at    time.Duration
	times Times
}

// class is the part of a service's requests that have the same urgency.
type class struct {
	// taken and refused count the attempts that agents took, or refused for lack of
	// time. They decay with countDecay.
	taken, refused float64
	// attempts counts all attempts, fresh those that are not known to follow a reset, and
	// resets the resets.
	attempts, fresh, resets float64
	// accounts is nil before the first request.
	accounts *accounts
	// fair is the number of requests of each account that agents take if all accounts
	// have equal shares, in the unit of the counts, and level the number that each one
	// may offer; 0 if all are taken or offered.
	fair, level float64
	// usual is the median of what accounts send. If all send more than their shares,
	// none presses.
	usual float64
	// rolledAt is when the counts last decayed.
	rolledAt time.Duration
}

func (g *Gate) service(id frame.ServiceID) *service {
	if g.services == nil {
		g.services = map[frame.ServiceID]*service{}
	}
	s := g.services[id]
	if s == nil {
		s = &service{reports: map[netip.AddrPort]report{}}
		g.services[id] = s
	}
	return s
}

// Report records the times that an agent reports.
func (g *Gate) Report(now time.Duration, id frame.ServiceID, agent netip.AddrPort, t Times) {
	reports := g.service(id).reports
	if len(reports) >= maxReports {
		maps.DeleteFunc(reports, func(_ netip.AddrPort, r report) bool { return now-r.at > reportLifetime })
	}
	reports[agent] = report{now, t}
}

// Taken records that an agent has taken a request.
func (g *Gate) Taken(now time.Duration, id frame.ServiceID, u Urgency) {
	c := &g.service(id).classes[u]
	c.roll(now)
	c.taken++
}

// Refused records that an agent has refused a request. waited is set if it had taken the
// request before.
func (g *Gate) Refused(now time.Duration, id frame.ServiceID, u Urgency, waited bool) {
	c := &g.service(id).classes[u]
	c.roll(now)
	c.refused++
	if waited {
		c.taken = max(0, c.taken-1)
	}
}

// Reset records that an attempt of a request was reset, by the agents' or its own decision.
func (g *Gate) Reset(id frame.ServiceID, u Urgency, account netip.Addr) {
	if c := &g.service(id).classes[u]; c.accounts != nil {
		c.resets++
		c.accounts.add(account, -retryShare)
	}
}

// newShare returns the share of the attempts not known to follow a reset that are the
// first of a request. Others follow resets by other balancers.
func (c *class) newShare() float64 {
	return min(1, max(1-retryShare, (c.attempts-retryShare*c.resets)/max(c.fresh, 1)))
}

// Least returns the shortest time in which an agent would answer a new request, from
// reports that are not too old; ok is false if there are none.
func (g *Gate) Least(now time.Duration, id frame.ServiceID, u Urgency) (d time.Duration, ok bool) {
	for _, r := range g.service(id).reports {
		if now-r.at <= reportLifetime && (!ok || r.times[u] < d) {
			d, ok = r.times[u], true
		}
	}
	return d, ok
}

// Better returns up to limit agents that would answer the request in time by their latest
// reports, the quickest first. It leaves out those that except reports.
func (g *Gate) Better(now time.Duration, id frame.ServiceID, u Urgency, r Request, limit int, except func(netip.AddrPort) bool) []netip.AddrPort {
	var better []netip.AddrPort
	reports := g.service(id).reports
	for a, p := range reports {
		if now-p.at <= reportLifetime && float64(p.times[u]) < betterShare*float64(r.Objective-r.Age) && !except(a) {
			better = append(better, a)
		}
	}
	slices.SortFunc(better, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(reports[a].times[u], reports[b].times[u]), a.Compare(b))
	})
	return better[:min(limit, len(better))]
}

// Decide decides on the first packet of an attempt. account is the client's address and
// draw a random number of the attempt.
func (g *Gate) Decide(now time.Duration, id frame.ServiceID, u Urgency, account netip.Addr, r Request, draw uint64) Verdict {
	c := &g.service(id).classes[u]
	c.roll(now)
	if c.accounts == nil {
		c.accounts = &accounts{}
	}
	c.attempts++
	if !r.Again {
		c.fresh++
	}
	sent := c.accounts.add(account, 1)
	if c.fair == 0 || sent <= c.fair {
		return Verdict{}
	}
	least, ok := g.Least(now, id, u)
	v := Verdict{Time: least}
	if !ok {
		return v
	}
	share := max(c.fair, c.usual)
	v.Pressing = sent > share+pressDeviations*math.Sqrt(share)+minPress
	full := float64(least) >= fullShare*float64(r.Objective-r.Age)
	level := c.level
	if v.Pressing {
		level = c.fair
	}
	if full && level > 0 && sent > level && !r.Patient() {
		v.Reject = r.Again || float64(draw>>11)/(1<<53) >= level/sent*c.newShare()
	}
	return v
}

// roll lets the counts decay and derives the level of accounts.
func (c *class) roll(now time.Duration) {
	if now-c.rolledAt < rollInterval {
		return
	}
	if now-c.rolledAt > maxCalm {
		*c = class{rolledAt: now}
		return
	}
	c.fair, c.level, c.usual = 0, 0, 0
	if c.accounts != nil && c.refused >= minRefused {
		c.fair, c.usual = c.accounts.level(c.taken+minOffers), c.accounts.median()
		c.level = c.accounts.level(offerRatio*c.taken + demandShare*c.accounts.total() + minOffers)
	}
	for ; now-c.rolledAt >= rollInterval; c.rolledAt += rollInterval {
		c.taken, c.refused = c.taken*countDecay, c.refused*countDecay
		c.attempts, c.fresh, c.resets = c.attempts*countDecay, c.fresh*countDecay, c.resets*countDecay
		if c.accounts != nil {
			c.accounts.decay()
		}
	}
}
