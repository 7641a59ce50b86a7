package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// TestKilledAgent checks that within 2 s after an agent is killed or freezes no
// balancer sends it new flows, and that the platform object of a killed agent is
// removed after downLimit and not before.
func TestKilledAgent(t *testing.T) {
	cl := newCluster(t)
	cl.put(1, 24541)
	bs := []*running{cl.balancer(), cl.balancer(), cl.balancer(), cl.balancer()}
	as := []*fakeAgent{cl.agent(bs[0]), cl.agent(bs[0]), cl.agent(bs[0])}
	cl.eventually(10*time.Second, "three usable endpoints everywhere", each(bs, func(b *running) bool { return b.usable() == 3 }))
	object, err := json.Marshal(entryObject{Entry: view.Entry{Key: as[0].key, State: view.Serving, Seq: 1, Service: "listas", Place: "recife"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := cl.platform.Put(t.Context(), plat.KindEndpoint, "a0", json.RawMessage(object), 0); err != nil {
		t.Fatal(err)
	}
	as[0].kill()
	d := cl.eventually(2*time.Second, "killed agent unusable everywhere", each(bs, func(b *running) bool { return b.usable() == 2 }))
	t.Logf("a killed agent was unusable on 4 balancers after %v", d)
	as[1].freeze()
	d = cl.eventually(2*time.Second, "frozen agent unusable everywhere", each(bs, func(b *running) bool { return b.usable() == 1 }))
	t.Logf("a frozen agent was unusable on 4 balancers after %v", d)
	cl.eventually(5*time.Second, "object known", each(bs, func(b *running) bool {
		b.members.mu.Lock()
		defer b.members.mu.Unlock()
		return len(b.members.objects[plat.KindEndpoint]) == 1
	}))
	for _, b := range bs {
		now := b.members.now()
		b.members.cleanOnce(t.Context(), now)
		b.members.cleanOnce(t.Context(), now+downLimit-time.Second)
	}
	if l, _ := cl.platform.List(t.Context(), plat.KindEndpoint); len(l.Objects) != 1 {
		t.Fatal("object was removed before the process was down for 10 min")
	}
	for _, b := range bs {
		b.members.cleanOnce(t.Context(), b.members.now()+downLimit+time.Second)
	}
	if l, err := cl.platform.List(t.Context(), plat.KindEndpoint); err != nil || len(l.Objects) != 0 {
		t.Errorf("want no object after 10 min, have %d, %v", len(l.Objects), err)
	}
	cl.eventually(time.Second, "entry gone everywhere", each(bs, func(b *running) bool {
		e, _ := b.members.node.Get(as[0].key)
		return e.State == view.Gone
	}))
}

// TestRegionsApart guards against removing live endpoints of another region that
// is unreachable for longer than downLimit. Only endpoints of the balancer's own
// region are removed; the others become usable again without a new announcement.
func TestRegionsApart(t *testing.T) {
	cl := newCluster(t)
	cl.put(1, 24531)
	b := cl.balancer()
	as := []*fakeAgent{cl.agentAt(b, "fortaleza"), cl.agentAt(b, "namur-a"), cl.agentAt(b, "undeclared")}
	usable := func() (n int) {
		for _, e := range b.State().Endpoints {
			if e.Usable {
				n++
			}
		}
		return n
	}
	cl.eventually(10*time.Second, "three usable endpoints", func() bool { return b.generation() == 1 && usable() == 3 })
	seqs := make([]ident.Seq, len(as))
	for i, a := range as {
		e, _ := b.members.node.Get(a.key)
		seqs[i] = e.Seq
		if _, err := cl.platform.Put(t.Context(), plat.KindEndpoint, a.key.Hop.String(), entryObject{Entry: e}, 0); err != nil {
			t.Fatal(err)
		}
		a.unreachable.Store(true)
	}
	cl.eventually(5*time.Second, "all endpoints down and their objects known", func() bool {
		b.members.mu.Lock()
		known := len(b.members.objects[plat.KindEndpoint])
		b.members.mu.Unlock()
		return known == 3 && usable() == 0
	})
	now := b.members.now()
	b.members.cleanOnce(t.Context(), now)
	b.members.cleanOnce(t.Context(), now+downLimit+time.Second)
	for i, a := range as {
		e, _ := b.members.node.Get(a.key)
		// The owner of a removed entry announces itself again with a higher Seq.
		if removed := e.State == view.Gone || e.Seq > seqs[i]; removed != (i == 0) {
			t.Errorf("endpoint in %s: have state %v, seq %d", e.Place, e.State, e.Seq)
		}
	}
	if l, err := cl.platform.List(t.Context(), plat.KindEndpoint); err != nil || len(l.Objects) != 2 {
		t.Errorf("want the two objects of other regions, have %d, %v", len(l.Objects), err)
	}
	as[1].unreachable.Store(false)
	as[2].unreachable.Store(false)
	cl.eventually(5*time.Second, "usable again", func() bool { return usable() == 2 })
	for i, a := range as[1:] {
		if e, _ := b.members.node.Get(a.key); e.Seq != seqs[i+1] {
			t.Errorf("endpoint in %s was announced again: want seq %d, have %d", e.Place, seqs[i+1], e.Seq)
		}
	}
}

// TestConfiguration checks requirement R8: a configuration reaches every
// balancer, including one that starts during a platform outage, and is never
// replaced by an older or invalid one, even if the platform returns an older
// state.
func TestConfiguration(t *testing.T) {
	cl := newCluster(t)
	bs := []*running{cl.balancer(), cl.balancer()}
	cl.eventually(5*time.Second, "balancers known to each other", each(bs, func(b *running) bool { return len(b.State().Balancers) == 2 }))
	cl.put(4, 24501)
	d := cl.eventually(2*time.Second, "generation 4", each(bs, func(b *running) bool { return b.generation() == 4 }))
	t.Logf("a configuration was in force on 2 balancers after %v", d)
	// A watch reports only the last version of an object, so the test waits for
	// the effect of each one.
	cl.put(3, 24502)
	cl.put(5, 0)
	cl.eventually(5*time.Second, "invalid configuration refused", each(bs, func(b *running) bool { return b.configInvalid.Load() == 1 }))
	cl.put(4, 24503)
	cl.eventually(5*time.Second, "generation conflict counted", each(bs, func(b *running) bool { return b.configConflicts.Load() == 1 }))
	if !each(bs, func(b *running) bool { return b.generation() == 4 })() {
		t.Error("an older or invalid configuration was accepted")
	}
	cl.store.SetFaults(store.Faults{Outage: true})
	bs = append(bs, cl.balancer())
	cl.eventually(5*time.Second, "configuration from a peer during an outage", func() bool {
		return bs[2].generation() == 4 && bs[2].portOf(ident.TagOf("listas")) != nil
	})
}

// TestWatcher guards against needless list calls to the platform: an outage must
// cause none, and a store that was restored to an older version must cause one.
func TestWatcher(t *testing.T) {
	cl := newCluster(t)
	cl.put(1, 24511)
	cl.put(2, 24511)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	applied := make(chan plat.List, 16)
	f := watcher{client: cl.platform, kind: plat.KindConfig, apply: func(l plat.List) { applied <- l }}
	go f.run(ctx)
	if l := <-applied; l.Version != 2 || len(l.Objects) != 1 {
		t.Fatalf("want a list of version 2 with one object, have %+v", l)
	}
	reads := cl.platform.Calls.Reads.Load()
	cl.store.SetFaults(store.Faults{Outage: true})
	cl.eventually(5*time.Second, "failed calls", func() bool { return cl.platform.Calls.Failures.Load() >= 3 })
	cl.store.SetFaults(store.Faults{})
	if n := cl.platform.Calls.Reads.Load() - reads; n != 0 {
		t.Errorf("want no lists during an outage, have %d", n)
	}
	cl.put(3, 24511)
	if l := <-applied; l.Version != 3 {
		t.Errorf("want version 3 after the outage, have %d", l.Version)
	}
	g := watcher{client: cl.platform, kind: plat.KindConfig, since: 99, nextRelist: time.Now().Add(time.Hour), apply: func(l plat.List) { applied <- l }}
	for range 2 {
		if err := g.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if l := <-applied; l.Version != 3 || g.since != 3 {
		t.Errorf("want a list after the store was restored to an older version, have version %d", l.Version)
	}
}

// TestWatcherEmptyStore guards against missing the first object that is written
// to a store that was empty when it was listed.
func TestWatcherEmptyStore(t *testing.T) {
	cl := newCluster(t)
	var last plat.List
	f := watcher{client: cl.platform, kind: plat.KindConfig, apply: func(l plat.List) { last = l }}
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	cl.put(1, 24551)
	if err := f.step(t.Context()); err != nil || len(last.Objects) != 1 {
		t.Errorf("want the first object, have %+v, %v", last, err)
	}
}

// TestWatchBurst guards against one watch call for each change of a burst: the
// endpoint watch of a balancer makes at most about one call per second.
func TestWatchBurst(t *testing.T) {
	cl := newCluster(t)
	b := cl.balancer()
	objects := func() int {
		b.members.mu.Lock()
		defer b.members.mu.Unlock()
		return len(b.members.objects[plat.KindEndpoint])
	}
	const burst = 100
	announce := func(i int) {
		e := view.Entry{
			Key:   view.Key{Hop: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i)}), 7000), Instance: 1},
			State: view.Serving, Seq: 1, Service: "listas",
		}
		if _, err := cl.platform.Put(t.Context(), plat.KindEndpoint, e.Key.Hop.String(), entryObject{Entry: e}, 0); err != nil {
			t.Fatal(err)
		}
	}
	announce(0)
	cl.eventually(5*time.Second, "first object known", func() bool { return objects() == 1 })
	before, begin := cl.store.WatchCalls(string(plat.KindEndpoint)), time.Now()
	for i := 1; i < burst; i++ {
		announce(i)
		time.Sleep(10 * time.Millisecond)
	}
	cl.eventually(5*time.Second, "all objects known", func() bool { return objects() == burst })
	calls, took := cl.store.WatchCalls(string(plat.KindEndpoint))-before, time.Since(begin)
	t.Logf("%d announcements in %v: %d watch calls", burst, took, calls)
	// The first call may come right at the beginning.
	if limit := int(took/watchInterval) + 1; calls > limit {
		t.Errorf("want at most %d watch calls in %v, have %d", limit, took, calls)
	}
}

// TestDrain checks the planned stop of a balancer: it announces that it drains,
// keeps running while packets arrive from callers, and a second signal ends the
// drain at once.
func TestDrain(t *testing.T) {
	cl := newCluster(t)
	cl.put(1, 24521)
	bs := []*running{cl.balancer(), cl.balancer()}
	cl.eventually(5*time.Second, "balancers known", each(bs, func(b *running) bool {
		return len(b.State().Balancers) == 2 && b.portOf(ident.TagOf("listas")) != nil
	}))
	c, err := net.Dial("udp4", "127.0.7.1:24521")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	bs[0].stop()
	state := func(want view.State) func() bool {
		return func() bool {
			e, _ := bs[1].members.node.Get(bs[0].members.node.Self().Key)
			return e.State == want
		}
	}
	cl.eventually(time.Second, "drain known to the peer", state(view.Draining))
	resp, err := http.Get("http://" + bs[0].members.node.Self().Admin.String() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	if resp.Body.Close(); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("want status 503 during the drain, have %d", resp.StatusCode)
	}
	for begin := time.Now(); time.Since(begin) < drainQuiet+500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		c.Write([]byte("x"))
		select {
		case <-bs[0].ended:
			t.Fatal("balancer ended while packets arrived")
		default:
		}
	}
	d := cl.eventually(drainQuiet+2*time.Second, "end known to the peer", state(view.Gone))
	if d < drainQuiet-200*time.Millisecond {
		t.Errorf("ended %v after the last packet, want %v", d, drainQuiet)
	}
	<-bs[0].ended
	if l, err := cl.platform.List(t.Context(), plat.KindBalancer); err != nil || len(l.Objects) != 1 {
		t.Errorf("want one balancer object left, have %d, %v", len(l.Objects), err)
	}
	cl.store.SetFaults(store.Faults{Outage: true})
	begin := time.Now()
	bs[1].stop()
	bs[1].signal <- os.Interrupt
	<-bs[1].ended
	if d := time.Since(begin); d > announceGoneTimeout+500*time.Millisecond {
		t.Errorf("a drain ended by a second signal took %v while the platform was down", d)
	}
}

// TestWeights checks the weights and regions derived from a declaration. A wrong
// one sends new flows to the wrong endpoints.
func TestWeights(t *testing.T) {
	a, err := config.ParseAccepted("main", []byte(`{"generation": 1, "writer": "", "declaration": {"name": "main",
		"places": [{"name": "recife", "region": "nordeste"}, {"name": "namur-a", "region": "wallonia"}],
		"services": [{"name": "listas", "address": "127.0.0.1:4433", "limits": {},
			"shares": [{"place": "recife", "weight": 3}, {"group": "new", "weight": 0.5}, {"group": "off", "weight": 0}]}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	w := newWeights(a.Declaration, "recife")
	for _, c := range []struct {
		service, place, group string
		want                  float64
		remote                bool
	}{
		{"listas", "recife", "", 3, false},
		{"listas", "recife", "new", 1.5, false},
		{"listas", "namur-a", "new", 0.5, true},
		{"listas", "namur-a", "off", 0, true},
		{"fichas", "recife", "new", 1, false},
	} {
		e := view.Entry{Service: ident.ServiceName(c.service), Place: ident.PlaceName(c.place), Group: ident.GroupName(c.group)}
		if have := w.endpointWeight(e); have != c.want || w.remote(e.Place) != c.remote {
			t.Errorf("%+v: have weight %v, remote %v", c, have, w.remote(e.Place))
		}
	}
	if newWeights(nil, "recife").remote("x") || newWeights(a.Declaration, "x").remote("recife") {
		t.Error("want nothing remote if the balancer's own place is not declared")
	}
}
