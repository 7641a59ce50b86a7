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
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 3 * time.Second
	// downAfter is how long a balancer must be unreachable before it is marked
	// as down.
	downAfter = time.Second
	// refusalInterval is the minimum time between two reports of refused
	// sessions; without it, anyone who can connect could flood the log.
	refusalInterval = time.Second
)

// dialer is the state of the goroutine that keeps a session to an address.
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
		if n.pendingConns.Add(1) > maxPendingConns {
			n.pendingConns.Add(-1)
			n.refusedSessions.Add(1)
			c.Close()
			continue
		}
		go n.acceptConn(c)
	}
}

func (n *Node) acceptConn(c net.Conn) {
	s, err := accept(c, n.options.TLS, n.traffic, n.selfItem())
	n.pendingConns.Add(-1)
	if err != nil {
		n.reportRefused(c.RemoteAddr().String(), err)
		return
	}
	n.serveSession(s)
}

// reportRefused counts a refused session and reports it at most once per
// refusalInterval.
func (n *Node) reportRefused(addr string, err error) {
	n.refusedSessions.Add(1)
	last, now := n.lastRefusal.Load(), int64(n.now())
	due := last == 0 || time.Duration(now-last) >= refusalInterval
	if due && n.lastRefusal.CompareAndSwap(last, now) && n.options.OnRefused != nil {
		n.options.OnRefused(addr, err)
	}
}

// isCertificateError reports whether a dial failed because this side rejected
// the certificate of the other.
func isCertificateError(err error) bool {
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	return errors.As(err, &unknown) || errors.As(err, &invalid)
}

func (n *Node) selfItem() view.Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// Run keeps the sessions to the chosen peers, exchanges digests and renews marks
// until the context ends; then it closes all sessions.
func (n *Node) Run(ctx context.Context) error {
	manage := time.NewTicker(manageInterval)
	defer manage.Stop()
	exchange := time.NewTicker(exchangeInterval)
	defer exchange.Stop()
	renewal := time.NewTicker(renewInterval)
	defer renewal.Stop()
	n.setClosed(false)
	defer n.closeAll()
	n.recordTick()
	for {
		n.resetAfterPause()
		n.manage(ctx)
		select {
		case <-manage.C:
		case <-exchange.C:
			n.exchange()
		case <-renewal.C:
			n.renewMarks()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// manage starts and stops dialers so that they match wantedAddrs.
func (n *Node) manage(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.managedChanges == n.changes {
		return
	}
	n.managedChanges = n.changes
	wanted := n.wantedAddrs()
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
			go n.keepConnected(ctx, addr, d)
		}
	}
}

// wantedAddrs returns the addresses to keep sessions to. These are the peers
// chosen among all balancers, so that failures and recoveries are detected, and
// the peers chosen among the live balancers. The first maxSeeds seeds are added
// while there are fewer than peersPerBalancer live balancers or no session is
// open. The caller holds the mutex.
func (n *Node) wantedAddrs() map[string]bool {
	addrs := map[view.Key]string{}
	var all, live []view.Key
	for _, i := range n.balancerItems() {
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
	for _, k := range append(choosePeers(n.self.Key, all), choosePeers(n.self.Key, live)...) {
		wanted[addrs[k]] = true
	}
	connected := false
	for _, d := range n.dialers {
		connected = connected || d.connected
	}
	if len(live) < peersPerBalancer || !connected {
		for _, a := range n.options.Seeds[:min(len(n.options.Seeds), maxSeeds)] {
			if !n.selfAddrs[a] {
				wanted[a] = true
			}
		}
	}
	return wanted
}

// keepConnected keeps a session to an address until the context ends.
func (n *Node) keepConnected(ctx context.Context, addr string, d *dialer) {
	backoff := minDialBackoff
	var failing time.Time
	for ctx.Err() == nil {
		s, err := dial(ctx, addr, n.options.TLS, n.traffic, n.selfItem())
		if err == nil {
			backoff, failing = minDialBackoff, time.Time{}
			n.markReachable(addr, s)
			n.serveDialed(ctx, s, d)
		} else if isCertificateError(err) {
			n.reportRefused(addr, err)
		}
		switch {
		case err == nil:
		case failing.IsZero():
			failing = time.Now()
		case time.Since(failing) >= downAfter && ctx.Err() == nil:
			n.markUnreachable(addr)
		}
		wait := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxDialBackoff)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	// This balancer no longer monitors the address, so it withdraws its marks.
	for _, k := range n.balancersAt(addr) {
		n.Mark(view.Mark{Target: k, Condition: view.Clear})
	}
}

// serveDialed serves a dialed session until it or the context ends.
func (n *Node) serveDialed(ctx context.Context, s *session, d *dialer) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	n.setConnected(d, true)
	n.serveSession(s)
	n.setConnected(d, false)
}

func (n *Node) setConnected(d *dialer, v bool) {
	n.mu.Lock()
	d.connected = v
	n.changes++
	n.mu.Unlock()
}

// balancersAt returns the other balancers that are known with a peer address.
func (n *Node) balancersAt(addr string) []view.Key {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ks []view.Key
	for _, i := range n.balancerItems() {
		if i.Peer.String() == addr && i.Key != n.self.Key {
			ks = append(ks, i.Key)
		}
	}
	return ks
}

// markReachable clears the mark of the balancer that was reached at an address.
// Any other balancer known at this address has been replaced, so its entry
// becomes gone. If the address is this balancer's own, it is not dialed as a
// seed any more.
func (n *Node) markReachable(addr string, s *session) {
	if s.remote.Key == n.Self().Key {
		n.mu.Lock()
		n.selfAddrs[addr] = true
		n.changes++
		n.mu.Unlock()
		return
	}
	n.Mark(view.Mark{Target: s.remote.Key, Condition: view.Clear})
	for _, k := range n.balancersAt(addr) {
		if e, ok := n.Get(k); ok && k != s.remote.Key {
			n.SetGone(e)
		}
	}
}

// markUnreachable marks the balancers known at an address as down.
func (n *Node) markUnreachable(addr string) {
	for _, k := range n.balancersAt(addr) {
		n.Mark(view.Mark{Target: k, Condition: view.Down})
	}
	n.viewChanged(degraded)
}

func (n *Node) setClosed(v bool) {
	n.mu.Lock()
	n.closed = v
	n.mu.Unlock()
}

func (n *Node) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for s := range n.sessions {
		s.close()
	}
}

// Flush waits until all queued frames are written or the context ends.
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
		case <-time.After(flushPollInterval):
		case <-ctx.Done():
		}
	}
}
