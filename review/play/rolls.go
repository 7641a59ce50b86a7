package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// reorderTime and minMisled are the bounds of part (b) of rule FLOW.
	reorderTime = 2 * time.Second
	minMisled   = 3
	// flowAge is the age at which the clients of a play close a flow; MaxFlowS is 60.
	flowAge = 45 * time.Second
)

// arrival is a packet of an open flow that has reached an endpoint.
type arrival struct {
	at time.Time
	by *endpoint
}

// arrivals records the packets of flows that reach endpoints, and the endpoints at which
// the flows are open. It leaves out the packets that open or close a flow.
type arrivals struct {
	mu     sync.Mutex
	byFlow map[flowKey][]arrival
	owner  map[flowKey]*endpoint
}

func newArrivals() *arrivals {
	return &arrivals{byFlow: map[flowKey][]arrival{}, owner: map[flowKey]*endpoint{}}
}

func (a *arrivals) add(k flowKey, e *endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byFlow[k] = append(a.byFlow[k], arrival{time.Now(), e})
}

// open records that a flow has opened at an endpoint.
func (a *arrivals) open(k flowKey, e *endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owner[k] = e
}

// judge records a violation for each flow of which, for reorderTime, three packets or more
// reached other endpoints and none its own.
func (a *arrivals) judge(p *play) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, own := range a.owner {
		var others []time.Time
		for n, o := range a.byFlow[k] {
			if o.by != own {
				others = append(others, o.at)
			}
			last := n == len(a.byFlow[k])-1
			if o.by != own && !last {
				continue
			}
			end := o.at
			if o.by != own {
				end = time.Now()
			}
			if len(others) >= minMisled && end.Sub(others[0]) >= reorderTime {
				p.rec.violation("FLOW: %d packets of flow %s, open at endpoint %s, reached other endpoints from %.3f on, and none its own for %v",
					len(others), k.client, own.id, others[0].Sub(p.rec.began).Seconds(), end.Sub(others[0]).Round(time.Millisecond))
			}
			others = nil
		}
	}
}

// playRolls: edge nodes and nodes beside endpoints are restarted in turn, both at the same
// time, in a quiet hour. Rule FLOW.
func playRolls(p *play) error {
	p.restartDelay = time.Second
	return p.playQuietHour(1)
}

// playTwice: the same with the platform's usual delay, but each node beside an endpoint is
// restarted once more right after its start. Rule FLOW.
func playTwice(p *play) error { return p.playQuietHour(2) }

// playQuietHour plays a few flows that are mostly idle, while all nodes are restarted in
// turn. Each node beside an endpoint gets the given number of restarts at a time.
func (p *play) playQuietHour(restarts int) error {
	p.putConfig(3, feedRoute, sheetRoute)
	services := []string{"fichas", "fichas", "fichas", "fichas", "fichas", "fichas", "fichas", "listas"}
	if err := p.startMachines(smallEdges, services); err != nil {
		return err
	}
	seen := newArrivals()
	for _, o := range p.sides {
		if _, err := p.endpoint(o, endpointConfig{service: o.service, slots: 4, work: 20 * time.Millisecond, onPacket: seen.add, onOpen: seen.open}); err != nil {
			return err
		}
	}
	if err := p.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	for n := range 112 {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.sheets(p.clients[n%len(p.clients)], n, stop)
		}()
	}
	time.Sleep(6 * time.Second)
	if p.trouble {
		if err := p.rolls(restarts); err != nil {
			return err
		}
	} else {
		time.Sleep(60 * time.Second)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	p.wg.Wait()
	seen.judge(p)
	return nil
}

// rolls restarts all nodes of both classes in turn, several times.
func (p *play) rolls(restarts int) error {
	const rounds, gap = 3, 1200 * time.Millisecond
	results := make(chan error, 2)
	roll := func(class []*process, restarts int) error {
		for range rounds {
			for _, o := range class {
				if err := p.restartTimes(o, restarts); err != nil {
					return err
				}
				time.Sleep(gap)
			}
		}
		return nil
	}
	go func() { results <- roll(p.edges, 1) }()
	go func() { results <- roll(p.sides, restarts) }()
	err := <-results
	if other := <-results; err == nil {
		err = other
	}
	return err
}

// restartTimes restarts a process a number of times, each but the first right after the
// start before.
func (p *play) restartTimes(o *process, restarts int) error {
	for n := range restarts {
		if n > 0 {
			time.Sleep(200 * time.Millisecond)
		}
		if err := p.restart(o); err != nil {
			return err
		}
	}
	return nil
}

// sheets keeps a flow open and sends a request on it every few seconds.
func (p *play) sheets(c *client, number int, stop <-chan struct{}) {
	for try := 1; ; try++ {
		f, o := c.open(sheetRoute.addr)
		p.rec.add("client: flow %d-%d from %s is %s", number, try, f.key.client, o)
		for n := 1; o == served && time.Since(f.opened) < flowAge; n++ {
			id := fmt.Sprintf("sheet-%d-%d-%d", number, try, n)
			var answer string
			answer, o = f.request(id, 3*time.Second)
			p.rec.add("client: %s on %s: %s %q", id, f.key.client, o, lastLine(answer))
			if o == reset {
				p.judgeReset(f, id)
			}
			select {
			case <-stop:
				f.close()
				return
			case <-time.After(8*time.Second + rand.N(4*time.Second)):
			}
		}
		if o == served {
			f.close()
		} else {
			f.forget()
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
