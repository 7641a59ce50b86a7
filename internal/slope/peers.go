package slope

import (
	"context"
	"fmt"
	"maps"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Peers is a measurement of the session layer of many balancers in this process.
type Peers struct {
	// Nodes and Endpoints are the sizes of the view.
	Nodes, Endpoints int
	// Services is the size of the configuration.
	Services int
	// Marks is the number of endpoints that two balancers each mark down.
	Marks int
	// Window is the length of the idle measurement.
	Window time.Duration
}

const (
	pollFast = 2 * time.Millisecond
	pollSlow = 20 * time.Millisecond
	patience = 30 * time.Second
	changes  = 5
)

// nodeGroup is the set of running nodes.
type nodeGroup struct {
	Peers
	run    string
	report Report
	addrs  addresses
	nodes  []*peer.Node
}

// Run starts the nodes and measures; all nodes end with the context.
func (p Peers) Run(ctx context.Context, report Report) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := nodeGroup{
		Peers: p, report: report, addrs: newAddresses(),
		run: fmt.Sprintf("peers nodes=%d endpoints=%d services=%d", p.Nodes, p.Endpoints, p.Services),
	}
	before := heap()
	if err := c.start(ctx); err != nil {
		return err
	}
	// What an earlier run left behind may be collected meanwhile.
	if after := heap(); after > before {
		report.add(c.run, "heap and stacks per node B", float64(after-before)/float64(p.Nodes))
	}
	for _, f := range []func(context.Context) error{c.idle, c.members, c.configure, c.marks} {
		if err := f(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *nodeGroup) start(ctx context.Context) error {
	var all []view.Item
	for i := range c.Nodes {
		all = append(all, view.Item{Entry: c.balancer(i)})
	}
	for i := range c.Endpoints {
		all = append(all, view.Item{Entry: c.addrs.entry(i, c.Services)})
	}
	for i := range c.Nodes {
		l, err := net.Listen("tcp4", all[i].Peer.String())
		if err != nil {
			return err
		}
		n := node(all[i].Entry)
		n.Merge(all...)
		c.nodes = append(c.nodes, n)
		go n.Serve(ctx, l)
	}
	for _, n := range c.nodes {
		go n.Run(ctx)
	}
	err := await(ctx, pollSlow, "three sessions of each node and equal views", func() bool {
		for _, n := range c.nodes {
			if len(n.State().Sessions) < min(3, c.Nodes-1) {
				return false
			}
		}
		return c.equal()
	})
	return err
}

// node returns a node that passes on a configuration after relay's checks.
func node(self view.Entry) *peer.Node {
	var n *peer.Node
	n = peer.NewNode(peer.NodeOptions{Self: self, OnConfig: func(value []byte) {
		if a, err := config.ParseAccepted(configName, value); err == nil {
			n.SetConfig(a.Generation, a.Value)
		}
	}})
	return n
}

func (c *nodeGroup) balancer(i int) view.Entry {
	return view.Entry{
		Key:   view.Key{Name: fmt.Sprintf("b%d", i), Hop: c.addrs.balancer(i, hopPort), Instance: ident.Instance(i + 1)},
		State: view.Serving, Seq: 1, Place: place(i),
		Peer: c.addrs.balancer(i, peerPort), Admin: c.addrs.balancer(i, adminPort),
	}
}

func (c *nodeGroup) equal() bool {
	root := c.nodes[0].Root()
	for _, n := range c.nodes {
		if n.Root() != root {
			return false
		}
	}
	return true
}

// traffic sums the octets of all nodes.
func (c *nodeGroup) traffic() peer.Traffic {
	t := peer.Traffic{Sent: map[string]uint64{}, Received: map[string]uint64{}}
	for _, n := range c.nodes {
		add(&t, n.State().Traffic)
	}
	return t
}

func add(t *peer.Traffic, o peer.Traffic) {
	for k, n := range o.Sent {
		t.Sent[k] += n
	}
	for k, n := range o.Received {
		t.Received[k] += n
	}
	t.WireSent += o.WireSent
	t.WireReceived += o.WireReceived
}

// rates measures octets and processor time over the window.
func (c *nodeGroup) rates(ctx context.Context, run string) {
	before, cpu, begin := c.traffic(), processorTime(), time.Now()
	pause(ctx, c.Window)
	cpu = processorTime() - cpu
	after, took := c.traffic(), time.Since(begin)
	sent, was := maps.Clone(after.Sent), maps.Clone(before.Sent)
	sent["wire"], was["wire"] = after.WireSent, before.WireSent
	c.report.octets(run, "sent", was, sent, c.Nodes, took)
	c.report.add(run, "CPU ms/s per node", 1e3*cpu.Seconds()/took.Seconds()/float64(c.Nodes))
}

func (c *nodeGroup) idle(ctx context.Context) error {
	c.rates(ctx, c.run+" idle")
	return nil
}

// members measures single new endpoints: the time until all views hold each,
// and the octets of entries sent.
func (c *nodeGroup) members(ctx context.Context) error {
	before := c.traffic()
	for i := range changes {
		e := c.addrs.entry(c.Endpoints+i, c.Services)
		origin := c.nodes[i%c.Nodes]
		begin := time.Now()
		origin.Merge(view.Item{Entry: e})
		if err := await(ctx, pollFast, "an endpoint in all views", func() bool { return c.holds(e) }); err != nil {
			return err
		}
		c.report.add(c.run, "membership change in all views ms", ms(time.Since(begin)))
	}
	after := c.traffic()
	c.report.add(c.run, "sent entries B per change and node", float64(after.Sent["entries"]-before.Sent["entries"])/changes/float64(c.Nodes))
	return nil
}

func (c *nodeGroup) holds(e view.Entry) bool {
	for _, n := range c.nodes {
		if _, ok := n.Get(e.Key); !ok {
			return false
		}
	}
	return true
}

// configure measures a configuration that one node receives first.
func (c *nodeGroup) configure(ctx context.Context) error {
	before := c.traffic()
	for i := range changes {
		g := ident.Generation(i + 1)
		value, err := configValue(g, c.Services, "slope")
		if err != nil {
			return err
		}
		begin := time.Now()
		c.nodes[i%c.Nodes].SetConfig(g, value)
		if err := await(ctx, pollFast, "a configuration at all nodes", func() bool { return c.at(g) }); err != nil {
			return err
		}
		c.report.add(c.run, "configuration at all nodes ms", ms(time.Since(begin)))
		c.report.add(c.run, "configuration B", float64(len(value)))
	}
	after := c.traffic()
	c.report.add(c.run, "sent config B per change and node", float64(after.Sent["config"]-before.Sent["config"])/changes/float64(c.Nodes))
	return nil
}

func (c *nodeGroup) at(g ident.Generation) bool {
	for _, n := range c.nodes {
		if n.Generation() != g {
			return false
		}
	}
	return true
}

// marks measures endpoints that two nodes each hold to be down, as after the
// loss of a place.
func (c *nodeGroup) marks(ctx context.Context) error {
	if c.Marks == 0 {
		return nil
	}
	before, begin := c.traffic(), time.Now()
	found := make([][]view.Mark, c.Nodes) // by each node in one turn of its prober
	for i := range 2 * c.Marks {
		k := c.addrs.entry(i/2, c.Services).Key
		found[i%c.Nodes] = append(found[i%c.Nodes], view.Mark{Target: k, Condition: view.Down})
	}
	for i, n := range c.nodes {
		n.Mark(found[i]...)
	}
	last := c.addrs.entry(c.Marks-1, c.Services).Key
	err := await(ctx, pollFast, "the last mark at all nodes", func() bool {
		for i, n := range c.nodes {
			own := i == 2*(c.Marks-1)%c.Nodes || i == (2*(c.Marks-1)+1)%c.Nodes
			if !own && n.MarkOf(last) != view.Down {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	run := fmt.Sprintf("%s marks=%d", c.run, c.Marks)
	c.report.add(run, "marks at all nodes ms", ms(time.Since(begin)))
	sent := c.traffic().Sent["marks"] - before.Sent["marks"]
	c.report.add(run, "sent marks B per node until then", float64(sent)/float64(c.Nodes))
	c.rates(ctx, run)
	slow := uint64(0)
	for _, n := range c.nodes {
		slow += n.State().Counts["slowSessions"]
	}
	c.report.add(run, "sessions ended because a queue overflowed", float64(slow))
	return nil
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// heap returns the octets of live objects and stacks of this process.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
