package relay

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/route"
)

// TestChoice guards against new flows to an evacuated place, also when all other
// endpoints are down, and against a service without another place whose callers
// are not told.
func TestChoice(t *testing.T) {
	const evacuated, up, down, zero = 'e', 'u', 'd', '0'
	for _, c := range []struct {
		endpoints string
		// want lists the indexes of the endpoints in the table.
		want    []int
		refuses bool
	}{
		{"", nil, false},
		{"uu", []int{0, 1}, false},
		{"ud", []int{0}, false},
		{"dd", []int{0, 1}, false},
		{"eu", []int{1}, false},
		{"eedd", []int{2, 3}, false},
		{"ee", nil, true},
		{"e0", nil, true},
		{"00", nil, false},
	} {
		choices := map[ident.ServiceTag]*choice{listas: {}}
		want := map[ident.EndpointID]bool{}
		for i, k := range c.endpoints {
			e := route.Endpoint{ID: ident.EndpointID{Addr: loopback, Instance: ident.Instance(i + 1)}, Weight: 1}
			if k == zero {
				e.Weight = 0
			}
			choices[listas].add(e, k == evacuated, k == up || k == zero)
		}
		for _, i := range c.want {
			want[ident.EndpointID{Addr: loopback, Instance: ident.Instance(i + 1)}] = true
		}
		table := tableOf(choices)
		var h encap.Header
		table.Candidates(listas, randomID(1), &h)
		for _, k := range h.Candidates[:h.Count] {
			if !want[k.Endpoint] {
				t.Errorf("%q: want no flow to endpoint %d", c.endpoints, k.Endpoint.Instance-1)
			}
		}
		if int(h.Count) != len(c.want) || table.Refuses(listas) != c.refuses {
			t.Errorf("%q: want %d endpoints, refused %v, have %d, %v", c.endpoints, len(c.want), c.refuses, h.Count, table.Refuses(listas))
		}
	}
}

// TestRefusedAtOnce guards against callers of a service that is left without a
// place who wait for an answer, and against a refusal when no endpoint is known.
func TestRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	dial := func() error {
		c, err := quic.DialAddr(t.Context(), r.port.conn.Addr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}},
			&quic.Config{HandshakeIdleTimeout: time.Second})
		if err == nil {
			c.CloseWithError(0, "")
		}
		return err
	}
	r.table.Store(tableOf(map[ident.ServiceTag]*choice{listas: {evacuated: 1}}))
	for range 3 {
		begin := time.Now()
		err := dial()
		var refused *quic.TransportError
		if !errors.As(err, &refused) || refused.ErrorCode != quic.ConnectionRefused || time.Since(begin) > 500*time.Millisecond {
			t.Errorf("want the connection refused at once, have %v after %v", err, time.Since(begin))
		}
	}
	if r.sum(evacuated) < 3 || r.sum(noEndpoint, newFlow) != 0 {
		t.Errorf("want each packet counted as evacuated, have %v", r.counts.values())
	}
	r.table.Store(tableOf(nil))
	var refused *quic.TransportError
	if err := dial(); errors.As(err, &refused) || r.sum(noEndpoint) == 0 {
		t.Errorf("no endpoint is known: want no answer, have %v", err)
	}
}

// TestRefusalsEndWithPort guards against a refused service whose address is closed,
// and whose goroutines stay or block the close.
func TestRefusalsEndWithPort(t *testing.T) {
	r := newRig(t)
	r.table.Store(tableOf(map[ident.ServiceTag]*choice{fichas: {evacuated: 1}}))
	u := r.socket()
	before := runtime.NumGoroutine()
	p, err := r.openPort(fichas, loopback)
	r.must(err)
	for i := range 2 * maxRefusals {
		_, err := u.WriteToUDPAddrPort(initial(randomID(uint64(i)), 1200), p.conn.Addr())
		r.must(err)
	}
	await(t, "a packet is refused", func() bool { return r.sum(evacuated) > 0 })
	p.close()
	await(t, "all goroutines of the port ended", func() bool { return runtime.NumGoroutine() <= before })
}

// TestEvacuation checks on several balancers that an evacuation is in force as fast
// as any configuration, survives an outage of the platform and the loss of all other
// endpoints, and is taken back.
func TestEvacuation(t *testing.T) {
	cl := newCluster(t)
	cl.put(1, 24546)
	bs := []*running{cl.balancer(), cl.balancer(), cl.balancer()}
	as := []*fakeAgent{cl.agentAt(bs[0], "recife"), cl.agentAt(bs[0], "recife"), cl.agentAt(bs[0], "fortaleza")}
	cl.eventually(10*time.Second, "three usable endpoints", each(bs, func(b *running) bool { return b.usable() == 3 }))
	evacuate := func(g ident.Generation, places string) {
		t.Helper()
		_, err := cl.platform.PutOnce(t.Context(), plat.KindConfig, "main", func(_ plat.Object, writer string) (any, error) {
			var o map[string]any
			if err := json.Unmarshal(configJSON(writer, g, 24546), &o); err != nil {
				return nil, err
			}
			o["declaration"].(map[string]any)["evacuated"] = json.RawMessage(places)
			return o, nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	tag := ident.TagOf("listas")
	evacuate(2, `["recife"]`)
	d := cl.eventually(2*time.Second, "one endpoint left", each(bs, func(b *running) bool { return b.usable() == 1 }))
	t.Logf("evacuated on 3 balancers after %v", d)
	if each(bs, func(b *running) bool { return b.table.Load().Refuses(tag) })() {
		t.Error("want flows sent to the other place, have them refused")
	}
	as[2].freeze()
	cl.eventually(5*time.Second, "the last endpoint is down", each(bs, func(b *running) bool {
		for _, e := range b.State().Endpoints {
			if e.Usable == (e.Place == "fortaleza") || e.Evacuated != (e.Place == "recife") {
				return false
			}
		}
		return true
	}))
	if !each(bs, func(b *running) bool { return b.usable() == 1 })() {
		t.Error("want no flow into the evacuated place, have some")
	}
	evacuate(3, `["recife", "fortaleza"]`)
	cl.eventually(2*time.Second, "all flows refused", each(bs, func(b *running) bool { return b.usable() == 0 && b.table.Load().Refuses(tag) }))
	evacuate(4, `[]`)
	cl.eventually(2*time.Second, "taken back", each(bs, func(b *running) bool { return b.usable() == 2 && !b.table.Load().Refuses(tag) }))
}
