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

// Peers measures the session layer of many balancers in this process.
type Peers struct {
	// Nodes and Endpoints are the numbers of balancers and endpoints in the view.
	Nodes, Endpoints int
	// Services is the number of services in the configuration.
	Services int
	// Marks is the number of endpoints that are marked down, each by two balancers.
	Marks int
	// Window is the length of the idle measurement.
	Window time.Duration
}

const (
	pollFast    = 2 * time.Millisecond
	pollSlow    = 20 * time.Millisecond
	waitTimeout = 30 * time.Second
	changeCount = 5
)

// nodeGroup is a group of running nodes.
type nodeGroup struct {
	Peers
	run    string
	report Report
	addrs  addresses
	nodes  []*peer.Node
}

// Run starts the nodes, takes all measurements and stops the nodes.
func (p Peers) Run(ctx context.Context, report Report) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := nodeGroup{
		Peers: p, report: report, addrs: newAddresses(),
		run: fmt.Sprintf("peers nodes=%d endpoints=%d services=%d", p.Nodes, p.Endpoints, p.Services),
	}
	before := heapBytes()
	if err := c.start(ctx); err != nil {
		return err
	}
	// The heap can shrink if garbage of an earlier run is collected meanwhile.
	if after := heapBytes(); after > before {
		report.add(c.run, "heap and stacks per node B", float64(after-before)/float64(p.Nodes))
	}
	for _, f := range []func(context.Context) error{c.measureIdle, c.measureJoins, c.measureConfig, c.measureMarks} {
		if err := f(ctx); err != nil {
			return err
		}
	}
	return nil
}

// start starts the nodes with a complete view and waits until their views agree.
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
		n := newNode(all[i].Entry)
		n.Merge(all...)
		c.nodes = append(c.nodes, n)
		go n.Serve(ctx, l)
	}
	for _, n := range c.nodes {
		go n.Run(ctx)
	}
	err := waitUntil(ctx, pollSlow, "three sessions of each node and equal views", func() bool {
		for _, n := range c.nodes {
			if len(n.State().Sessions) < min(3, c.Nodes-1) {
				return false
			}
		}
		return c.viewsEqual()
	})
	return err
}

// newNode returns a node that forwards a configuration after the same checks as
// package relay.
func newNode(self view.Entry) *peer.Node {
	var n *peer.Node
	n = peer.NewNode(peer.NodeOptions{Self: self, OnConfig: func(value []byte) {
		if a, err := config.ParseAccepted(configName, value); err == nil {
			n.SetConfig(a.Generation, a.Value)
		}
	}})
	return n
}

// balancer returns the entry of balancer i.
func (c *nodeGroup) balancer(i int) view.Entry {
	return view.Entry{
		Key:   view.Key{Name: fmt.Sprintf("b%d", i), Hop: c.addrs.balancer(i, hopPort), Instance: ident.Instance(i + 1)},
		State: view.Serving, Seq: 1, Place: placeName(i),
		Peer: c.addrs.balancer(i, peerPort), Admin: c.addrs.balancer(i, adminPort),
	}
}

// viewsEqual reports whether the views of all nodes are equal.
func (c *nodeGroup) viewsEqual() bool {
	root := c.nodes[0].Root()
	for _, n := range c.nodes {
		if n.Root() != root {
			return false
		}
	}
	return true
}

// traffic returns the total bytes sent and received by all nodes.
func (c *nodeGroup) traffic() peer.Traffic {
	t := peer.Traffic{Sent: map[string]uint64{}, Received: map[string]uint64{}}
	for _, n := range c.nodes {
		addTraffic(&t, n.State().Traffic)
	}
	return t
}

func addTraffic(t *peer.Traffic, o peer.Traffic) {
	for k, n := range o.Sent {
		t.Sent[k] += n
	}
	for k, n := range o.Received {
		t.Received[k] += n
	}
	t.WireSent += o.WireSent
	t.WireReceived += o.WireReceived
}

// measureRates measures traffic and CPU time over the window.
func (c *nodeGroup) measureRates(ctx context.Context, run string) {
	before, cpu, begin := c.traffic(), ownCPUTime(), time.Now()
	sleep(ctx, c.Window)
	cpu = ownCPUTime() - cpu
	after, took := c.traffic(), time.Since(begin)
	sent, was := maps.Clone(after.Sent), maps.Clone(before.Sent)
	sent["wire"], was["wire"] = after.WireSent, before.WireSent
	c.report.byteRates(run, "sent", was, sent, c.Nodes, took)
	c.report.add(run, "CPU ms/s per node", 1e3*cpu.Seconds()/took.Seconds()/float64(c.Nodes))
}

func (c *nodeGroup) measureIdle(ctx context.Context) error {
	c.measureRates(ctx, c.run+" idle")
	return nil
}

// measureJoins measures the addition of single endpoints: the time until each is in
// all views, and the bytes of entries sent.
func (c *nodeGroup) measureJoins(ctx context.Context) error {
	before := c.traffic()
	for i := range changeCount {
		e := c.addrs.entry(c.Endpoints+i, c.Services)
		origin := c.nodes[i%c.Nodes]
		begin := time.Now()
		origin.Merge(view.Item{Entry: e})
		if err := waitUntil(ctx, pollFast, "an endpoint in all views", func() bool { return c.allHold(e) }); err != nil {
			return err
		}
		c.report.add(c.run, "membership change in all views ms", millis(time.Since(begin)))
	}
	after := c.traffic()
	c.report.add(c.run, "sent entries B per change and node", float64(after.Sent["entries"]-before.Sent["entries"])/changeCount/float64(c.Nodes))
	return nil
}

// allHold reports whether an entry is in all views.
func (c *nodeGroup) allHold(e view.Entry) bool {
	for _, n := range c.nodes {
		if _, ok := n.Get(e.Key); !ok {
			return false
		}
	}
	return true
}

// measureConfig measures how a configuration spreads from the node that receives it
// first.
func (c *nodeGroup) measureConfig(ctx context.Context) error {
	before := c.traffic()
	for i := range changeCount {
		g := ident.Generation(i + 1)
		value, err := configValue(g, c.Services, "slope")
		if err != nil {
			return err
		}
		begin := time.Now()
		c.nodes[i%c.Nodes].SetConfig(g, value)
		if err := waitUntil(ctx, pollFast, "a configuration at all nodes", func() bool { return c.allAt(g) }); err != nil {
			return err
		}
		c.report.add(c.run, "configuration at all nodes ms", millis(time.Since(begin)))
		c.report.add(c.run, "configuration B", float64(len(value)))
	}
	after := c.traffic()
	c.report.add(c.run, "sent config B per change and node", float64(after.Sent["config"]-before.Sent["config"])/changeCount/float64(c.Nodes))
	return nil
}

// allAt reports whether all nodes have the given generation.
func (c *nodeGroup) allAt(g ident.Generation) bool {
	for _, n := range c.nodes {
		if n.Generation() != g {
			return false
		}
	}
	return true
}

// measureMarks measures how marks spread when many endpoints are each marked down by
// two nodes, as after the loss of a place.
func (c *nodeGroup) measureMarks(ctx context.Context) error {
	if c.Marks == 0 {
		return nil
	}
	before, begin := c.traffic(), time.Now()
	found := make([][]view.Mark, c.Nodes) // marks by node, as found in one round of its prober
	for i := range 2 * c.Marks {
		k := c.addrs.entry(i/2, c.Services).Key
		found[i%c.Nodes] = append(found[i%c.Nodes], view.Mark{Target: k, Condition: view.Down})
	}
	for i, n := range c.nodes {
		n.Mark(found[i]...)
	}
	last := c.addrs.entry(c.Marks-1, c.Services).Key
	err := waitUntil(ctx, pollFast, "the last mark at all nodes", func() bool {
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
	c.report.add(run, "marks at all nodes ms", millis(time.Since(begin)))
	sent := c.traffic().Sent["marks"] - before.Sent["marks"]
	c.report.add(run, "sent marks B per node until then", float64(sent)/float64(c.Nodes))
	c.measureRates(ctx, run)
	slow := uint64(0)
	for _, n := range c.nodes {
		slow += n.State().Counts["slowSessions"]
	}
	c.report.add(run, "sessions ended because a queue overflowed", float64(slow))
	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// heapBytes returns the size of the live objects and stacks of this process.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// ownCPUTime returns the CPU time of this process.
func ownCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
