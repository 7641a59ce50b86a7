package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// smallEdges are the zones of the edge nodes of listaobra-ne.
var smallEdges = []string{"recife", "fortaleza", "salvador", "recife"}

// playReuse: an endpoint of a busy service crashes, and its address goes to an endpoint of
// another service. Rule ROUTE.
func playReuse(p *play) error {
	p.putConfig(3, feedRoute, sheetRoute)
	if err := p.startMachines(smallEdges, []string{"fichas", "fichas", "fichas", "fichas", "listas"}); err != nil {
		return err
	}
	const slots, work = 4, 60 * time.Millisecond
	// The endpoint of listas at the address that was used again must get no packet of the
	// route of fichas.
	ownRoute := func(e string, r route) func(flowKey, string) {
		return func(k flowKey, id string) {
			if k.route != r.addr {
				p.rec.violation("ROUTE: endpoint %s of %s runs request %s of flow %s to %s", e, r.service, id, k.client, k.route)
			}
		}
	}
	taken := func(e string, r route) func(flowKey) {
		return func(k flowKey) {
			if k.route != r.addr {
				p.rec.add("endpoint %s of %s takes the opening packet of flow %s to %s", e, r.service, k.client, k.route)
			}
		}
	}
	var first *endpoint
	for n, o := range p.sides {
		r := sheetRoute
		if o.service == "listas" {
			r = feedRoute
		}
		e, err := p.endpoint(o, endpointConfig{service: o.service, slots: slots, work: work, onRun: ownRoute(o.name, r), onTaken: taken(o.name, r)})
		if err != nil {
			return err
		}
		if n == 0 {
			first = e
		}
	}
	if err := p.waitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		// A fifth more than the sixteen slots can serve.
		p.load(sheetRoute, 320, stop)
	}()
	time.Sleep(5 * time.Second)
	if p.trouble {
		// Crash shortly after a report.
		for at := first.reportedAt(); first.reportedAt().Equal(at); {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		first.crash()
		time.Sleep(reuseAfter)
		if _, err := p.endpoint(p.sides[0], endpointConfig{
			service: "listas", slots: slots, work: work, onRun: ownRoute("reused", feedRoute), onTaken: taken("reused", feedRoute),
		}); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	p.wg.Wait()
	return nil
}

// playMoved: the operator sends a route to another service while flows are open on it, and
// then an edge node is restarted as planned. Rule FLOW.
func playMoved(p *play) error {
	p.putConfig(3, feedRoute, sheetRoute)
	if err := p.startMachines(smallEdges, []string{"listas", "listas", "fichas", "fichas"}); err != nil {
		return err
	}
	for _, o := range p.sides {
		if _, err := p.endpoint(o, endpointConfig{service: o.service, slots: 4, work: 30 * time.Millisecond}); err != nil {
			return err
		}
	}
	if err := p.waitReady(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var flows sync.WaitGroup
	for n := range 90 {
		flows.Add(1)
		go func() {
			defer flows.Done()
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			p.feed(p.clients[n%len(p.clients)], fmt.Sprintf("feed-%d", n), 500*time.Millisecond, stop)
		}()
	}
	time.Sleep(8 * time.Second)
	if p.trouble {
		moved := feedRoute
		moved.service = "fichas"
		p.putConfig(7, moved, sheetRoute)
		time.Sleep(6 * time.Second)
		if err := p.restart(p.edges[0]); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	flows.Wait()
	return nil
}

// feed opens a flow and sends requests on it, with a pause after each answer. A reset that the system sends
// while the flow's endpoint holds it breaks rule FLOW.
func (p *play) feed(c *client, id string, pause time.Duration, stop <-chan struct{}) {
	f, o := c.open(feedRoute.addr)
	if o != served {
		p.rec.add("client: %s: %s", id, o)
		return
	}
	for n := 1; ; n++ {
		answer, o := f.request(fmt.Sprintf("%s-%d", id, n), 3*time.Second)
		p.rec.add("client: %s-%d on %s: %s %q", id, n, f.key.client, o, lastLine(answer))
		if o == reset {
			p.judgeReset(f, id)
		}
		if o != served {
			f.forget()
			return
		}
		select {
		case <-stop:
			f.close()
			return
		case <-time.After(pause):
		}
	}
}

// judgeReset records a violation if an endpoint holds the flow that was reset.
func (p *play) judgeReset(f *clientFlow, id string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, e := range p.endpoints {
		if at, ok := e.holds(f.key); ok {
			p.rec.violation("FLOW: %s on %s via %s is reset by the system; endpoint %s of %s lives and has held it open for %v",
				id, f.key.client, f.lastVia, e.id, e.service, time.Since(at).Round(time.Millisecond))
		}
	}
}

// playClock: an endpoint starts while the time of day of its machine is ahead, and starts
// again after it has jumped back. Rule DRAIN.
func playClock(p *play) error {
	p.putConfig(3, feedRoute, sheetRoute)
	if err := p.startMachines(smallEdges, []string{"listas", "listas", "fichas"}); err != nil {
		return err
	}
	const slots, work, ahead = 4, 30 * time.Millisecond, 2400 * time.Millisecond
	for _, o := range p.sides[1:] {
		if _, err := p.endpoint(o, endpointConfig{service: o.service, slots: slots, work: work}); err != nil {
			return err
		}
	}
	if err := p.waitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	p.wg.Add(2)
	go func() {
		defer p.wg.Done()
		p.load(feedRoute, 60, stop)
	}()
	go func() {
		defer p.wg.Done()
		p.feeds(20, stop)
	}()
	time.Sleep(5 * time.Second)
	var current *endpoint
	begin := func(clock time.Duration) error {
		var e *endpoint
		e, err := p.endpoint(p.sides[0], endpointConfig{
			service: "listas", slots: slots, work: work, clockAhead: clock, onTaken: func(k flowKey) { p.judgeTaken(e, k) },
		})
		current = e
		return err
	}
	if p.trouble {
		// The endpoint is added while the clock of its machine is ahead. The clock
		// jumps back, the endpoint crashes and starts again.
		if err := begin(ahead); err != nil {
			return err
		}
		time.Sleep(time.Second)
		current.crash()
		time.Sleep(100 * time.Millisecond)
	}
	if err := begin(0); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	current.drain()
	if current.acked().IsZero() {
		return fmt.Errorf("%w: the draining was not acknowledged", errNotRun)
	}
	// It goes on serving for the bound and many seconds longer.
	time.Sleep(12 * time.Second)
	current.crash()
	close(stop)
	p.wg.Wait()
	return nil
}

// feeds keeps flows open for many requests. One that ends is opened again.
func (p *play) feeds(count int, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for n := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := 1; ; try++ {
				p.feed(p.clients[n%len(p.clients)], fmt.Sprintf("feed-%d-%d", n, try), 150*time.Millisecond, stop)
				select {
				case <-stop:
					return
				default:
				}
			}
		}()
	}
	wg.Wait()
}

// judgeTaken records a violation if an endpoint takes an opening packet too long after its
// draining was acknowledged. The caller holds the endpoint's lock.
func (p *play) judgeTaken(e *endpoint, k flowKey) {
	if e == nil || e.drainAcked.IsZero() {
		return
	}
	after := time.Since(e.drainAcked)
	// The first copy was sent up to 600 ms before the last one.
	if after > drainBound+time.Second {
		p.rec.violation("DRAIN: endpoint %s takes the opening packet of flow %s %v after its draining was acknowledged",
			e.id, k.client, after.Round(time.Millisecond))
	}
}

// playWatchers: all edge nodes but the last one added in the first zone are lost at once,
// and the operator drops a route. Rule CONFIG.
func playWatchers(p *play) error {
	p.putConfig(3, feedRoute, sheetRoute)
	// The edge machines of listaobra-ne and its spare ones.
	const survivor = 4
	edges := append(slices.Clone(smallEdges), "recife", "fortaleza", "salvador")
	if err := p.startMachines(edges, []string{"listas", "fichas", "listas", "fichas"}); err != nil {
		return err
	}
	for _, o := range p.sides {
		if _, err := p.endpoint(o, endpointConfig{service: o.service, slots: 4, work: 10 * time.Millisecond}); err != nil {
			return err
		}
	}
	if err := p.waitReady(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if p.trouble {
		for n, o := range p.edges {
			if n != survivor {
				p.kill(o)
			}
		}
	}
	time.Sleep(time.Second)
	p.putConfig(7, sheetRoute)
	acked := time.Now()
	for n := 0; time.Since(acked) < 14*time.Second; n++ {
		time.Sleep(100 * time.Millisecond)
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.judgeDropped(p.clients[n%len(p.clients)], fmt.Sprintf("dropped-%d", n), acked)
		}()
	}
	p.wg.Wait()
	return nil
}

// judgeDropped sends a request on the dropped route and records a violation if it is run
// although the client sent it later than the bound after the acknowledgement.
func (p *play) judgeDropped(c *client, id string, acked time.Time) {
	f, o := c.open(feedRoute.addr)
	after := f.opened.Sub(acked).Round(time.Millisecond)
	if o != served {
		p.rec.add("client: %s via %s, sent %v after the acknowledgement: %s", id, f.via, after, o)
		return
	}
	answer, o := f.request(id, time.Second)
	p.rec.add("client: %s via %s, sent %v after the acknowledgement: %s %q", id, f.via, after, o, lastLine(answer))
	if o != served {
		return
	}
	f.close()
	if after > configBound {
		p.rec.violation("CONFIG: %s via %s, sent %v after the acknowledgement, is run with the dropped route", id, f.via, after)
	}
}
