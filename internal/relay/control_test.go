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

// TestKilledAgent guards the 2 s within which a killed upstream must get no
// new flows from any balancer, and the removal of its platform object.
func TestKilledAgent(t *testing.T) {
	s := newSite(t)
	s.put(1, 24541)
	bs := []*running{s.balancer(), s.balancer(), s.balancer(), s.balancer()}
	as := []*fakeAgent{s.agent(bs[0]), s.agent(bs[0]), s.agent(bs[0])}
	s.eventually(10*time.Second, "three usable endpoints everywhere", each(bs, func(b *running) bool { return b.usable() == 3 }))
	object, err := json.Marshal(entryObject{Entry: view.Entry{Key: as[0].key, State: view.Serving, Seq: 1, Service: "listas", Place: "recife"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.platform.Put(t.Context(), plat.KindEndpoint, "a0", json.RawMessage(object), 0); err != nil {
		t.Fatal(err)
	}
	as[0].kill()
	d := s.eventually(2*time.Second, "killed agent unusable everywhere", each(bs, func(b *running) bool { return b.usable() == 2 }))
	t.Logf("a killed agent was unusable on 4 balancers after %v", d)
	as[1].freeze()
	d = s.eventually(2*time.Second, "frozen agent unusable everywhere", each(bs, func(b *running) bool { return b.usable() == 1 }))
	t.Logf("a frozen agent was unusable on 4 balancers after %v", d)
	s.eventually(5*time.Second, "object known", each(bs, func(b *running) bool {
		b.views.mu.Lock()
		defer b.views.mu.Unlock()
		return len(b.views.objects[plat.KindEndpoint]) == 1
	}))
	for _, b := range bs {
		now := b.views.now()
		b.views.cleanOnce(t.Context(), now)
		b.views.cleanOnce(t.Context(), now+downLimit-time.Second)
	}
	if l, _ := s.platform.List(t.Context(), plat.KindEndpoint); len(l.Objects) != 1 {
		t.Fatal("object was removed before the process was down for 10 min")
	}
	for _, b := range bs {
		b.views.cleanOnce(t.Context(), b.views.now()+downLimit+time.Second)
	}
	if l, err := s.platform.List(t.Context(), plat.KindEndpoint); err != nil || len(l.Objects) != 0 {
		t.Errorf("want no object after 10 min, have %d, %v", len(l.Objects), err)
	}
	s.eventually(time.Second, "entry gone everywhere", each(bs, func(b *running) bool {
		e, _ := b.views.node.Get(as[0].key)
		return e.State == view.Gone
	}))
}

// TestRegionsApart guards the living endpoints of a region that cannot be
// reached for longer than downLimit: only those of the own region are removed,
// and the others are usable again without a new announcement.
func TestRegionsApart(t *testing.T) {
	s := newSite(t)
	s.put(1, 24531)
	b := s.balancer()
	as := []*fakeAgent{s.agentAt(b, "fortaleza"), s.agentAt(b, "namur-a"), s.agentAt(b, "undeclared")}
	usable := func() (n int) {
		for _, e := range b.State().Endpoints {
			if e.Usable {
				n++
			}
		}
		return n
	}
	s.eventually(10*time.Second, "three usable endpoints", func() bool { return b.generation() == 1 && usable() == 3 })
	seqs := make([]ident.Seq, len(as))
	for i, a := range as {
		e, _ := b.views.node.Get(a.key)
		seqs[i] = e.Seq
		if _, err := s.platform.Put(t.Context(), plat.KindEndpoint, a.key.Hop.String(), entryObject{Entry: e}, 0); err != nil {
			t.Fatal(err)
		}
		a.apart.Store(true)
	}
	s.eventually(5*time.Second, "all down and their objects known", func() bool {
		b.views.mu.Lock()
		known := len(b.views.objects[plat.KindEndpoint])
		b.views.mu.Unlock()
		return known == 3 && usable() == 0
	})
	now := b.views.now()
	b.views.cleanOnce(t.Context(), now)
	b.views.cleanOnce(t.Context(), now+downLimit+time.Second)
	for i, a := range as {
		e, _ := b.views.node.Get(a.key)
		// The owner of a removed entry announces itself anew with a higher seq.
		if removed := e.State == view.Gone || e.Seq > seqs[i]; removed != (i == 0) {
			t.Errorf("endpoint in %s: have state %v, seq %d", e.Place, e.State, e.Seq)
		}
	}
	if l, err := s.platform.List(t.Context(), plat.KindEndpoint); err != nil || len(l.Objects) != 2 {
		t.Errorf("want the two objects of other regions, have %d, %v", len(l.Objects), err)
	}
	as[1].apart.Store(false)
	as[2].apart.Store(false)
	s.eventually(5*time.Second, "usable again", func() bool { return usable() == 2 })
	for i, a := range as[1:] {
		if e, _ := b.views.node.Get(a.key); e.Seq != seqs[i+1] {
			t.Errorf("endpoint in %s was announced anew: want seq %d, have %d", e.Place, seqs[i+1], e.Seq)
		}
	}
}

// TestConfiguration guards R8: a configuration reaches every balancer, also one
// that starts while the platform is down, and is never replaced by an older or
// invalid one, even if the platform itself went back.
func TestConfiguration(t *testing.T) {
	s := newSite(t)
	bs := []*running{s.balancer(), s.balancer()}
	s.eventually(5*time.Second, "balancers known to each other", each(bs, func(b *running) bool { return len(b.State().Balancers) == 2 }))
	s.put(4, 24501)
	d := s.eventually(2*time.Second, "generation 4", each(bs, func(b *running) bool { return b.generation() == 4 }))
	t.Logf("a configuration was in force on 2 balancers after %v", d)
	// A watch reports only the last version of an object, so each one is awaited.
	s.put(3, 24502)
	s.put(5, 0)
	s.eventually(5*time.Second, "invalid one refused", each(bs, func(b *running) bool { return b.configInvalid.Load() == 1 }))
	s.put(4, 24503)
	s.eventually(5*time.Second, "conflict noticed", each(bs, func(b *running) bool { return b.configConflicts.Load() == 1 }))
	if !each(bs, func(b *running) bool { return b.generation() == 4 })() {
		t.Error("an older or invalid configuration was taken")
	}
	s.store.SetFaults(store.Faults{Outage: true})
	bs = append(bs, s.balancer())
	s.eventually(5*time.Second, "configuration from a peer during an outage", func() bool {
		return bs[2].generation() == 4 && bs[2].portOf(ident.TagOf("listas")) != nil
	})
}

// TestFollow guards the calls to the platform: an outage must cause no lists,
// a store that went back must cause one, and there is at most one a second.
func TestFollow(t *testing.T) {
	s := newSite(t)
	s.put(1, 24511)
	s.put(2, 24511)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	applied := make(chan plat.List, 16)
	f := follower{client: s.platform, kind: plat.KindConfig, apply: func(l plat.List) { applied <- l }}
	go f.run(ctx)
	if l := <-applied; l.Version != 2 || len(l.Objects) != 1 {
		t.Fatalf("want a list of version 2 with one object, have %+v", l)
	}
	reads := s.platform.Calls.Reads.Load()
	s.store.SetFaults(store.Faults{Outage: true})
	s.eventually(5*time.Second, "failed calls", func() bool { return s.platform.Calls.Failures.Load() >= 3 })
	s.store.SetFaults(store.Faults{})
	if n := s.platform.Calls.Reads.Load() - reads; n != 0 {
		t.Errorf("want no lists during an outage, have %d", n)
	}
	s.put(3, 24511)
	if l := <-applied; l.Version != 3 {
		t.Errorf("want version 3 after the outage, have %d", l.Version)
	}
	g := follower{client: s.platform, kind: plat.KindConfig, since: 99, relist: time.Now().Add(time.Hour), apply: func(l plat.List) { applied <- l }}
	for range 2 {
		if err := g.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if l := <-applied; l.Version != 3 || g.since != 3 {
		t.Errorf("want a list after the store went back, have version %d", l.Version)
	}
}

// TestFollowEmptyStore guards against missing the first object of a store that
// was empty when it was listed.
func TestFollowEmptyStore(t *testing.T) {
	s := newSite(t)
	var last plat.List
	f := follower{client: s.platform, kind: plat.KindConfig, apply: func(l plat.List) { last = l }}
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.put(1, 24551)
	if err := f.step(t.Context()); err != nil || len(last.Objects) != 1 {
		t.Errorf("want the first object, have %+v, %v", last, err)
	}
}

// TestWatchBurst guards the platform against a watch call for each change of a
// burst: the endpoint watch of a balancer makes about one call a second.
func TestWatchBurst(t *testing.T) {
	s := newSite(t)
	b := s.balancer()
	objects := func() int {
		b.views.mu.Lock()
		defer b.views.mu.Unlock()
		return len(b.views.objects[plat.KindEndpoint])
	}
	const burst = 100
	announce := func(i int) {
		e := view.Entry{
			Key:   view.Key{Hop: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i)}), 7000), Instance: 1},
			State: view.Serving, Seq: 1, Service: "listas",
		}
		if _, err := s.platform.Put(t.Context(), plat.KindEndpoint, e.Key.Hop.String(), entryObject{Entry: e}, 0); err != nil {
			t.Fatal(err)
		}
	}
	announce(0)
	s.eventually(5*time.Second, "first object known", func() bool { return objects() == 1 })
	before, begin := s.store.WatchCalls(string(plat.KindEndpoint)), time.Now()
	for i := 1; i < burst; i++ {
		announce(i)
		time.Sleep(10 * time.Millisecond)
	}
	s.eventually(5*time.Second, "all objects known", func() bool { return objects() == burst })
	calls, took := s.store.WatchCalls(string(plat.KindEndpoint))-before, time.Since(begin)
	t.Logf("%d announcements in %v: %d watch calls", burst, took, calls)
	// A call may be due at the beginning.
	if limit := int(took/watchInterval) + 1; calls > limit {
		t.Errorf("want at most %d watch calls in %v, have %d", limit, took, calls)
	}
}

// TestDrain guards the planned stop of a balancer: it announces itself, keeps
// forwarding while packets arrive, and a second signal cuts.
func TestDrain(t *testing.T) {
	s := newSite(t)
	s.put(1, 24521)
	bs := []*running{s.balancer(), s.balancer()}
	s.eventually(5*time.Second, "balancers known", each(bs, func(b *running) bool {
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
			e, _ := bs[1].views.node.Get(bs[0].views.node.Self().Key)
			return e.State == want
		}
	}
	s.eventually(time.Second, "drain known to the peer", state(view.Draining))
	resp, err := http.Get("http://" + bs[0].views.node.Self().Admin.String() + "/healthz")
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
	d := s.eventually(drainQuiet+2*time.Second, "end known to the peer", state(view.Gone))
	if d < drainQuiet-200*time.Millisecond {
		t.Errorf("ended %v after the last packet, want %v", d, drainQuiet)
	}
	<-bs[0].ended
	if l, err := s.platform.List(t.Context(), plat.KindBalancer); err != nil || len(l.Objects) != 1 {
		t.Errorf("want one balancer object left, have %d, %v", len(l.Objects), err)
	}
	s.store.SetFaults(store.Faults{Outage: true})
	begin := time.Now()
	bs[1].stop()
	bs[1].signal <- os.Interrupt
	<-bs[1].ended
	if d := time.Since(begin); d > goneTimeout+500*time.Millisecond {
		t.Errorf("a cut drain took %v while the platform was down", d)
	}
}

// TestWeights guards the shares: a wrong weight or region misplaces new flows.
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
		if have := w.of(e); have != c.want || w.remote(e.Place) != c.remote {
			t.Errorf("%+v: have weight %v, remote %v", c, have, w.remote(e.Place))
		}
	}
	if newWeights(nil, "recife").remote("x") || newWeights(a.Declaration, "x").remote("recife") {
		t.Error("want nothing remote without a declared own place")
	}
}
