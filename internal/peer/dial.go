package peer

import (
	"context"
	"crypto/x509"
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	manageInterval = 200 * time.Millisecond
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// downAfter is how long a balancer must be unreachable before it is marked.
	downAfter = time.Second
	// refusalInterval bounds the reports of refused sessions; anyone can connect.
	refusalInterval = time.Second
)

// dialer keeps one session to an address.
type dialer struct {
	cancel context.CancelFunc
	// connected is guarded by the node's mutex.
	connected bool
}

// Serve accepts sessions until the context ends.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		if n.pending.Add(1) > maxPending {
			n.pending.Add(-1)
			n.refusedSessions.Add(1)
			c.Close()
			continue
		}
		go n.acceptConn(c)
	}
}

func (n *Node) acceptConn(c net.Conn) {
	s, err := accept(c, n.o.TLS, n.traffic, n.hello())
	n.pending.Add(-1)
	if err != nil {
		n.refused(c.RemoteAddr().String(), err)
		return
	}
	n.run(s)
}

// refused counts and reports a session that was refused.
func (n *Node) refused(addr string, err error) {
	n.refusedSessions.Add(1)
	last, now := n.lastRefusal.Load(), int64(n.now())
	due := last == 0 || time.Duration(now-last) >= refusalInterval
	if due && n.lastRefusal.CompareAndSwap(last, now) && n.o.OnRefused != nil {
		n.o.OnRefused(addr, err)
	}
}

// refusedByUs reports whether a dial failed because of the other side's certificate.
func refusedByUs(err error) bool {
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	return errors.As(err, &unknown) || errors.As(err, &invalid)
}

func (n *Node) hello() view.Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// Run keeps the sessions to the chosen peers and exchanges digests until the
// context ends; then it closes all sessions.
func (n *Node) Run(ctx context.Context) error {
	manage := time.NewTicker(manageInterval)
	defer manage.Stop()
	exchange := time.NewTicker(exchangeInterval)
	defer exchange.Stop()
	vouch := time.NewTicker(vouchInterval)
	defer vouch.Stop()
	defer n.closeAll()
	n.setAlive()
	for {
		n.resume()
		n.manage(ctx)
		select {
		case <-manage.C:
		case <-exchange.C:
			n.exchange()
		case <-vouch.C:
			n.vouch()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// manage starts and stops dialers so that they match the chosen peers.
func (n *Node) manage(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.managed == n.changes {
		return
	}
	n.managed = n.changes
	wanted := n.wanted()
	for addr, d := range n.dialers {
		if !wanted[addr] {
			d.cancel()
			delete(n.dialers, addr)
		}
	}
	for addr := range wanted {
		if n.dialers[addr] == nil {
			ctx, cancel := context.WithCancel(ctx)
			d := &dialer{cancel: cancel}
			n.dialers[addr] = d
			go n.keep(ctx, addr, d)
		}
	}
}

// wanted returns the addresses to keep sessions to: the peers chosen among all
// balancers, so that each failed one is noticed and met again, those chosen
// among the live ones, and seeds while too few balancers are known.
func (n *Node) wanted() map[string]bool {
	addrs := map[view.Key]string{}
	var all, live []view.Key
	for _, i := range n.balancers() {
		if i.Key == n.self.Key {
			continue
		}
		addrs[i.Key] = i.Peer.String()
		all = append(all, i.Key)
		if n.marks.ReportedBy(i.Key, n.self.Key) == view.Clear && n.marks.Worst(n.now(), i.Key, n.self.Key) == view.Clear {
			live = append(live, i.Key)
		}
	}
	wanted := map[string]bool{}
	for _, k := range append(Choose(n.self.Key, all), Choose(n.self.Key, live)...) {
		wanted[addrs[k]] = true
	}
	connected := false
	for _, d := range n.dialers {
		connected = connected || d.connected
	}
	if len(live) < peersPerBalancer || !connected {
		for _, a := range n.o.Seeds[:min(len(n.o.Seeds), maxSeeds)] {
			if !n.selfAddrs[a] {
				wanted[a] = true
			}
		}
	}
	return wanted
}

// keep dials an address again and again until the context ends.
func (n *Node) keep(ctx context.Context, addr string, d *dialer) {
	backoff := minBackoff
	var failing time.Time
	for ctx.Err() == nil {
		s, err := dial(ctx, addr, n.o.TLS, n.traffic, n.hello())
		if err == nil {
			backoff, failing = minBackoff, time.Time{}
			n.reached(addr, s)
			n.hold(ctx, s, d)
		} else if refusedByUs(err) {
			n.refused(addr, err)
		}
		switch {
		case err == nil:
		case failing.IsZero():
			failing = time.Now()
		case time.Since(failing) >= downAfter && ctx.Err() == nil:
			n.unreachable(addr)
		}
		wait := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	// A balancer that is no longer watched from here must not keep its mark.
	for _, k := range n.at(addr) {
		n.Mark(view.Mark{Target: k, Condition: view.Clear})
	}
}

// hold serves a session until it or the context ends.
func (n *Node) hold(ctx context.Context, s *session, d *dialer) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	n.setConnected(d, true)
	n.run(s)
	n.setConnected(d, false)
}

func (n *Node) setConnected(d *dialer, v bool) {
	n.mu.Lock()
	d.connected = v
	n.changes++
	n.mu.Unlock()
}

// at returns the balancers that were announced with a peer address.
func (n *Node) at(addr string) []view.Key {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ks []view.Key
	for _, i := range n.balancers() {
		if i.Peer.String() == addr && i.Key != n.self.Key {
			ks = append(ks, i.Key)
		}
	}
	return ks
}

// reached clears the mark of the balancer at an address. Another balancer that
// was announced there has been replaced and is gone.
func (n *Node) reached(addr string, s *session) {
	if s.remote.Key == n.Self().Key {
		n.mu.Lock()
		n.selfAddrs[addr] = true
		n.changes++
		n.mu.Unlock()
		return
	}
	n.Mark(view.Mark{Target: s.remote.Key, Condition: view.Clear})
	for _, k := range n.at(addr) {
		if e, ok := n.Get(k); ok && k != s.remote.Key {
			n.SetGone(e)
		}
	}
}

func (n *Node) unreachable(addr string) {
	for _, k := range n.at(addr) {
		n.Mark(view.Mark{Target: k, Condition: view.Down})
	}
	n.viewChanged(worse)
}

func (n *Node) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sessions {
		s.close()
	}
}

// Flush waits until all queued messages are written or the context ends.
func (n *Node) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		waiting := 0
		for s := range n.sessions {
			waiting += s.unsent()
		}
		n.mu.Unlock()
		if waiting == 0 {
			return
		}
		select {
		case <-time.After(flushPoll):
		case <-ctx.Done():
		}
	}
}
