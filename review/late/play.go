package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

const (
	// settleTime is the time between the start of the deployment and the traffic.
	settleTime = 10 * time.Second
	// freezeTime is the largest dose of the pages for a freeze.
	freezeTime = 4 * time.Second
	// stallTime is how long a core does not run once its quota is used up; it is less than
	// a tenth of a second.
	stallTime = 90 * time.Millisecond
	// rollGap is the pause between two planned stops.
	rollGap = 2 * time.Second
	// flowGap is the time between the openings of two flows.
	flowGap = 20 * time.Millisecond
	// reorderTime is the time in which packets at other servers and none at the flow's own
	// break FLOW if they are at least maxStrays.
	reorderTime = 2 * time.Second
	maxStrays   = 3
	// reuseAfter is the time after which an address is used again.
	reuseAfter = 2 * time.Second
	// minFlows is the least number of flows that a case needs.
	minFlows = 10
)

// startAll starts the deployment with a server beside each of some agents, waits until the
// traffic may start, and starts the clients.
func startAll(d *deployment, agents int) ([]*server, *client, error) {
	if err := d.start(agents); err != nil {
		return nil, nil, err
	}
	servers, err := startServers(d)
	if err != nil {
		return nil, nil, err
	}
	c, err := startClient(d)
	return servers, c, err
}

func startServers(d *deployment) ([]*server, error) {
	var servers []*server
	for n, m := range d.sides {
		s, err := startServer(m, fmt.Sprintf("i-%08x", n+1))
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	time.Sleep(settleTime)
	return servers, nil
}

// flows are long flows of clients.
type flows struct {
	d       *deployment
	c       *client
	servers []*server
	// until is when the clients use their flows again, and size the size of the request.
	until  time.Time
	size   int
	begun  int
	wg     sync.WaitGroup
	mu     sync.Mutex
	opened int
	broken bool
}

// open opens flows for a time.
func (fs *flows) open(d time.Duration) { fs.openEvery(flowGap, d) }

// openEvery opens flows for a time, with a gap between two.
func (fs *flows) openEvery(gap, d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(gap) {
		fs.begun++
		fs.wg.Add(1)
		go fs.use(fmt.Sprintf("r%03d", fs.begun))
	}
}

func (fs *flows) use(name string) {
	defer fs.wg.Done()
	f, first, second, sent := fs.c.longFlow(name, fs.until, fs.size)
	fs.d.record.note("%v: first request %s, second request %s", f, first, second)
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if first != served {
		return
	}
	fs.opened++
	if second == reset && fs.wronglyReset(f) || second == expired && fs.misdelivered(f, sent) {
		fs.broken = true
	}
}

// wait waits until all clients are done and reports whether FLOW was broken.
func (fs *flows) wait() (broken bool, err error) {
	fs.wg.Wait()
	fs.d.record.note("%d flows were open before the pause", fs.opened)
	if fs.opened < minFlows {
		return false, errNoFlows
	}
	return fs.broken, nil
}

// holder returns the live server that holds an open flow and has not been disrupted within
// the stable window, with the agent beside it; nil if there is none.
func (fs *flows) holder(f *clientFlow, at time.Time) *server {
	for _, s := range fs.servers {
		if s.holds(f.key()) && s.m.inTouch(at) {
			return s
		}
	}
	return nil
}

// wronglyReset reports whether the reset of an open flow breaks FLOW: its server lives and
// holds it, and the machine that took the packet and sent the reset is in touch.
func (fs *flows) wronglyReset(f *clientFlow) bool {
	holder, sender := fs.holder(f, f.resetAt), fs.d.edgeAt(f.resetBy)
	if holder == nil || sender == nil || !sender.inTouch(f.resetAt) {
		fs.d.record.note("%v was reset by %s; it does not count", f, f.resetBy)
		return false
	}
	fs.d.record.note("%v was reset by %s, which is in touch, while server %s beside %s holds it", f, sender.name, holder.id, holder.m.name)
	return true
}

// misdelivered reports whether enough packets of a request that was not answered reached
// other servers, and none the flow's own, for long enough while the client waited.
func (fs *flows) misdelivered(f *clientFlow, sent time.Time) bool {
	holder := fs.holder(f, sent)
	if holder == nil {
		fs.d.record.note("%v was not answered; it does not count, its server's machine was not in touch", f)
		return false
	}
	var strays, own []time.Time
	for _, s := range fs.servers {
		s.mu.Lock()
		for _, at := range s.arrivals[f.key()] {
			switch {
			case at.Before(sent) || at.Sub(sent) >= fs.d.timeout:
			case s == holder:
				own = append(own, at)
			default:
				strays = append(strays, at)
			}
		}
		s.mu.Unlock()
	}
	last := sent
	for _, t := range own {
		if t.After(last) {
			last = t
		}
	}
	late := 0
	for _, t := range strays {
		if t.After(last) {
			late++
		}
	}
	quiet := sent.Add(fs.d.timeout).Sub(last)
	fs.d.record.note("%v: %d packets at its server %s, which lives; then none for %v, and %d at other servers", f, len(own), holder.id, quiet.Round(time.Millisecond), late)
	return late >= maxStrays && quiet >= reorderTime
}

// playFrozenBalancer freezes one of two balancers of a zone while clients open flows, and
// lets the clients use these flows again when the balancer has been back for some time.
func playFrozenBalancer(d *deployment) (broken bool, err error) {
	servers, c, err := startAll(d, len(d.sides))
	if err != nil {
		return false, err
	}
	if d.trouble {
		go d.edges[0].freeze(freezeTime)
	}
	fs := &flows{d: d, c: c, servers: servers, until: time.Now().Add(freezeTime + stableWindow + time.Second)}
	fs.open(1500 * time.Millisecond)
	return fs.wait()
}

// playRolledAgents stops and starts the agents in turn, as planned, while the flows of the
// clients pause. The next request of each takes three packets.
func playRolledAgents(d *deployment) (broken bool, err error) {
	d.timeout, d.kind = 3*time.Second, "download"
	servers, c, err := startAll(d, len(d.sides))
	if err != nil {
		return false, err
	}
	const opening = 500 * time.Millisecond
	pause := time.Duration(len(d.sides))*rollGap - 500*time.Millisecond
	fs := &flows{d: d, c: c, servers: servers, until: time.Now().Add(opening + pause), size: 3000}
	fs.open(opening)
	if d.trouble {
		for _, m := range d.sides {
			next := time.After(rollGap)
			if err := m.roll(); err != nil {
				return false, err
			}
			<-next
		}
	}
	return fs.wait()
}

// playDelayedHeartbeat uses the address of a server that is gone for a server of another
// service, and stops and starts the agent beside that as planned. A heartbeat of the server
// that is gone, which was held up, arrives after the restart.
func playDelayedHeartbeat(d *deployment) (broken bool, err error) {
	m, other := d.sides[0], d.sides[1]
	m.service, other.service = sheets, sheets
	if err := d.start(3); err != nil {
		return false, err
	}
	gone, err := startServer(m, "i-00000009")
	if err != nil {
		return false, err
	}
	for n, m := range d.sides[1:] {
		if _, err := startServer(m, fmt.Sprintf("i-%08x", n+1)); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	held := gone.nextHeartbeat()
	gone.crash()
	m.stop()
	time.Sleep(reuseAfter)
	m.service = lists
	if err := m.start(); err != nil {
		return false, err
	}
	s, err := startServer(m, "i-00000010")
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	c, err := startClient(d)
	if err != nil {
		return false, err
	}
	served := request(c, d.sheetRoute(), 4*time.Second)
	time.Sleep(time.Second)
	if err := m.roll(); err != nil {
		return false, err
	}
	if d.trouble {
		deliver(d, gone, held)
	}
	n := <-served
	d.record.note("%d requests of %s were served, %d were run by a server of %s", n, sheets, s.ranForeign(), s.service)
	if n < minFlows {
		return false, errNoFlows
	}
	return s.ranForeign() > 0, nil
}

// request sends requests to a route for a time, a flow each, and then sends the number of
// those that were served.
func request(c *client, route netip.AddrPort, d time.Duration) <-chan int {
	result := make(chan int, 1)
	go func() {
		var (
			wg sync.WaitGroup
			n  atomic.Int64
		)
		for i, begin := 0, time.Now(); time.Since(begin) < d; i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("s%03d", i)
				f, o := c.open(route)
				if o == served {
					o = f.request(id, 0)
				}
				if o == served {
					n.Add(1)
					f.write(standin.Fin|standin.Ack, f.seq, f.next, nil)
				}
				c.d.record.note("request %s to %s: %s", id, route, o)
			}()
			time.Sleep(flowGap)
		}
		wg.Wait()
		result <- int(n.Load())
	}()
	return result
}

// playStaleHint lets the agent of one machine stall for less than a tenth of a second at a
// time while clients open flows. Later that machine loses power, and the clients use their
// flows again.
func playStaleHint(d *deployment) (broken bool, err error) {
	servers, c, err := startAll(d, len(d.sides))
	if err != nil {
		return false, err
	}
	const (
		stalls   = 12
		between  = 400 * time.Millisecond
		openTime = 24 * time.Millisecond
		gap      = 4 * time.Millisecond
		downTime = 1200 * time.Millisecond
	)
	m, s := d.sides[0], servers[0]
	powerLoss := time.Now().Add(stalls*(between+stallTime) + time.Second)
	fs := &flows{d: d, c: c, servers: servers, until: powerLoss.Add(downTime)}
	for range stalls {
		woken := make(chan struct{})
		go func() {
			if d.trouble {
				m.stall(stallTime)
			}
			close(woken)
		}()
		time.Sleep(time.Millisecond)
		fs.openEvery(gap, openTime)
		<-woken
		time.Sleep(between)
	}
	time.Sleep(time.Until(powerLoss))
	if d.trouble {
		d.record.note("%s loses power", m.name)
		m.signal(syscall.SIGKILL)
		s.crash()
	}
	other := request(c, d.listRoute(), downTime)
	broken, err = fs.wait()
	<-other
	return broken, err
}

// playOddHeartbeat sends a heartbeat of another writer to an agent while flows pause: its
// service is not one of the deployment.
func playOddHeartbeat(d *deployment) (broken bool, err error) {
	servers, c, err := startAll(d, 2)
	if err != nil {
		return false, err
	}
	fs := &flows{d: d, c: c, servers: servers, until: time.Now().Add(stableWindow + 3*time.Second)}
	fs.open(500 * time.Millisecond)
	time.Sleep(time.Second)
	if d.trouble {
		odd := &server{m: d.sides[0], id: "i-odd", service: "not-named", born: time.Now().UnixMilli()}
		status, err := odd.send(odd.nextHeartbeat())
		d.record.note("a heartbeat of another writer to %s: status %d, error %v", odd.m.name, status, err)
	}
	return fs.wait()
}

// deliver delivers a heartbeat that was held up as soon as the agent can be reached.
func deliver(d *deployment, s *server, body string) {
	for begin := time.Now(); time.Since(begin) < heartbeat; time.Sleep(2 * time.Millisecond) {
		if status, err := s.send(body); err == nil {
			d.record.note("a heartbeat of %s that was held up arrives: status %d", s.id, status)
			return
		}
	}
}
