package main

import (
	"fmt"
	"sync"
	"time"
)

// Host numbers of the first machine of each kind.
const (
	edgeHost   = 1
	sideHost   = 60
	clientHost = 100
	// clientsPerZone is the number of client machines in each zone, as on listaobra-ne.
	clientsPerZone = 33
)

// play is a deployment with its endpoints and clients.
type play struct {
	*deployment
	routers *routers
	trouble bool

	edges, sides []*process
	clients      []*client
	wg           sync.WaitGroup

	lock      sync.Mutex
	endpoints []*endpoint
	nextID    int
}

func (p *play) close() {
	close(p.routers.done)
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, e := range p.endpoints {
		e.crash()
	}
	for _, c := range p.clients {
		_ = c.conn.Close()
	}
}

// startMachines starts an edge node in each of the zones and a side node for each of the
// services, and client machines in each zone.
func (p *play) startMachines(edgeZones, services []string) error {
	perZone := map[string]int{}
	seeds := []byte{edgeHost, edgeHost + 1, edgeHost + 2}
	for n, zone := range edgeZones {
		perZone[zone]++
		m := machine{name: fmt.Sprintf("edge-%s-%d", zone, perZone[zone]), zone: zone, role: "balancer", host: byte(edgeHost + n)}
		o, err := p.start(m, seeds)
		if err != nil {
			return err
		}
		p.edges = append(p.edges, o)
		p.routers.add(m)
	}
	zones := []string{"recife", "fortaleza", "salvador"}
	for n, service := range services {
		zone := zones[n%len(zones)]
		m := machine{name: fmt.Sprintf("side-%s-%d", zone, n/len(zones)+1), zone: zone, role: "agent", service: service, host: byte(sideHost + n)}
		o, err := p.start(m, seeds)
		if err != nil {
			return err
		}
		p.sides = append(p.sides, o)
	}
	for n := range clientsPerZone * len(zones) {
		c, err := startClient(p.deployment, p.routers, zones[n%len(zones)], byte(clientHost+n))
		if err != nil {
			return err
		}
		p.clients = append(p.clients, c)
	}
	return nil
}

// waitReady waits until all edge nodes are in rotation.
func (p *play) waitReady() error {
	for range 100 {
		if p.routers.ready() == len(p.edges) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: %d of %d edge nodes are in rotation", errNotRun, p.routers.ready(), len(p.edges))
}

// endpoint starts an endpoint beside a side node.
func (p *play) endpoint(o *process, c endpointConfig) (*endpoint, error) {
	p.lock.Lock()
	p.nextID++
	if c.id == "" {
		c.id = fmt.Sprintf("i-%s-%d", o.name, p.nextID)
	}
	p.lock.Unlock()
	c.addr, c.outbound, c.control = p.addr(o.host, p.ports.app), p.addr(o.host, p.ports.outbound), p.addr(o.host, p.ports.control)
	e, err := startEndpoint(p.rec, c)
	if err != nil {
		return nil, err
	}
	p.lock.Lock()
	p.endpoints = append(p.endpoints, e)
	p.lock.Unlock()
	return e, nil
}

// load sends requests, each on a flow of its own, at a steady rate until stop is closed. A
// request that fails is tried up to two more times on new flows, within its deadline.
func (p *play) load(r route, perSecond float64, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		c := p.clients[n%len(p.clients)]
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.attempts(c, r, fmt.Sprintf("%s-%d", r.name, n))
		}()
	}
}

func (p *play) attempts(c *client, r route, id string) {
	end := time.Now().Add(time.Duration(r.timeoutMs) * time.Millisecond)
	for try := 1; try <= 3 && time.Now().Before(end); try++ {
		tried := fmt.Sprintf("%s-%d", id, try)
		f, o := c.open(r.addr)
		if o != served {
			p.rec.add("client: %s via %s: %s", tried, f.via, o)
			continue
		}
		answer, o := f.request(tried, time.Until(end))
		p.rec.add("client: %s on %s via %s: %s %q", tried, f.key.client, f.via, o, lastLine(answer))
		if o == served {
			f.close()
			return
		}
		f.forget()
	}
}

func lastLine(answer string) string {
	for n := len(answer) - 1; n >= 0; n-- {
		if answer[n] == '\n' {
			return answer[n+1:]
		}
	}
	return answer
}
