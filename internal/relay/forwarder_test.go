package relay

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

const packetSize = 300

// receive reads one packet from a socket.
func (r *rig) receive(c *net.UDPConn) ([]byte, netip.AddrPort) {
	r.t.Helper()
	p := make([]byte, 2*maxPacket)
	n, from, err := c.ReadFromUDPAddrPort(p)
	r.must(err)
	return p[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}

// TestCallerToAgent guards against packets that reach an agent of another
// service or network, are lost during a key rotation, or are refused without
// being counted.
func TestCallerToAgent(t *testing.T) {
	r := newRig(t)
	r.writeKeys(1, 1, 2)
	r.keys.Poll()
	encode := func(service ident.ServiceTag, addr netip.AddrPort) [connid.Size]byte {
		id := ident.EndpointID{Addr: addr, Instance: r.id.Instance}
		return r.keys.Load().Encode(connid.Target{Endpoint: id, Service: service}, 1)
	}
	underKey1 := encode(listas, r.id.Addr)
	foreign := encode(listas, netip.MustParseAddrPort("192.0.2.1:4433"))
	damaged := underKey1
	damaged[5] ^= 1
	caller := r.socket()
	for _, c := range []struct {
		name   string
		before func()
		packet []byte
		want   outcome
	}{
		{"established", nil, short(underKey1, packetSize), established},
		{"largest packet", nil, short(underKey1, 1437), established},
		{"too long", nil, short(underKey1, 1438), tooLong},
		{"longer than the buffer", nil, short(underKey1, maxPacket+100), tooLong},
		{"too long, Initial", nil, initial(randomID(1), 1437), tooLong},
		{"other service", nil, short(encode(fichas, r.id.Addr), packetSize), wrongService},
		{"other service, Initial", nil, initial(ptr(encode(fichas, r.id.Addr)), packetSize), wrongService},
		{"other network", nil, short(foreign, packetSize), foreignNetwork},
		{"other network, Initial", nil, initial(foreign[:], packetSize), newFlow},
		{"wrong check", nil, short(damaged, packetSize), unknownID},
		{"wrong check, Initial", nil, initial(damaged[:], packetSize), newFlow},
		{"new flow", nil, initial(randomID(1), packetSize), newFlow},
		{"ID too short", nil, initial(randomID(1)[:7], packetSize), unknownID},
		{"empty", nil, nil, malformed},
		{"rotated, old key", func() { r.writeKeys(2, 1, 2) }, short(underKey1, packetSize), established},
		{"old key removed", func() { r.writeKeys(2, 2, 3) }, short(underKey1, packetSize), unknownKey},
		{"no endpoint", func() { r.table.Store(route.NewTable(nil)) }, initial(randomID(1), packetSize), noEndpoint},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.before != nil {
				c.before()
				r.keys.Poll()
			}
			counted := r.sum(c.want)
			_, err := caller.WriteToUDPAddrPort(c.packet, r.port.conn.Addr())
			r.must(err)
			await(t, "count of "+outcomeNames[c.want], func() bool { return r.sum(c.want) == counted+1 })
			if c.want.refused() {
				return
			}
			p, _ := r.receive(r.agent)
			var h encap.Header
			payload, reason := h.Parse(r.keys.Load(), p)
			if reason != encap.FaultNone {
				t.Fatalf("hop header: %v", reason)
			}
			if !bytes.Equal(payload, c.packet) {
				t.Errorf("payload: want %x, have %x", c.packet, payload)
			}
			if h.Service != listas || h.Instance != r.id.Instance || h.Caller != addrOf(caller) {
				t.Errorf("hop header: have %+v", h)
			}
			if opening := c.want == newFlow; (h.Kind == encap.NewFlow) != opening || opening && h.Balancer != r.hopAddr {
				t.Errorf("hop header: have kind %d and balancer %v", h.Kind, h.Balancer)
			}
		})
	}
	if n := r.sum(sendFailed, receiveFailed); n != 0 {
		t.Errorf("failed calls: want 0, have %d", n)
	}
}

func ptr(id [connid.Size]byte) []byte { return id[:] }

// TestAgentToCaller guards against replies from the wrong source address,
// against refusals that are not counted, and against probe answers and pings
// that are ignored.
func TestAgentToCaller(t *testing.T) {
	r := newRig(t)
	caller := r.socket()
	head := func(k encap.Kind, s ident.ServiceTag, to netip.AddrPort) encap.Header {
		return encap.Header{Kind: k, Service: s, Instance: r.id.Instance, Caller: to}
	}
	to := addrOf(caller)
	good := r.hopPacket(head(encap.Reply, listas, to), []byte("reply to a caller"))
	alter := func(i int, v byte) []byte {
		p := bytes.Clone(good)
		p[i] = v
		return p
	}
	replyTo := func(a string) []byte {
		return r.hopPacket(head(encap.Reply, listas, netip.MustParseAddrPort(a)), []byte("reply"))
	}
	probed := r.hopPacket(head(encap.ProbeAnswer, listas, netip.AddrPort{}), []byte{stateDraining})
	for _, c := range []struct {
		name   string
		packet []byte
		want   outcome
	}{
		{"reply", good, reply},
		{"largest reply", r.hopPacket(head(encap.Reply, listas, to), make([]byte, maxPacket)), reply},
		{"reply too long", r.hopPacket(head(encap.Reply, listas, to), make([]byte, maxPacket+1)), replyTooLong},
		{"longer than the buffer", make([]byte, 2*maxPacket), replyTooLong},
		{"reply without payload", r.hopPacket(head(encap.Reply, listas, to), nil), hopTruncated},
		{"multicast", replyTo("224.0.0.1:5"), replyAddress},
		{"broadcast", replyTo("255.255.255.255:5"), replyAddress},
		{"unspecified", replyTo("0.0.0.0:5"), replyAddress},
		{"port zero", replyTo("127.0.0.1:0"), replyAddress},
		{"IPv6", replyTo("[2001:db8::1]:5"), replyAddress},
		{"no such port", r.hopPacket(head(encap.Reply, fichas, to), []byte("reply")), noSuchPort},
		{"truncated", good[:20], hopTruncated},
		{"version", alter(0, 9), hopVersion},
		{"unknown kind", alter(1, 99), hopKind},
		{"candidate list", alter(1, byte(encap.NewFlow)), hopList},
		{"kind for agents", r.hopPacket(head(encap.Probe, listas, to), nil), hopKind},
		{"unknown key", alter(2, 5), hopKey},
		{"check", alter(30, good[30]^1), hopCheck},
		{"probe answer", probed, probeAnswer},
		{"probe answer without state", r.hopPacket(head(encap.ProbeAnswer, listas, netip.AddrPort{}), nil), hopTruncated},
		{"ping", r.hopPacket(head(encap.Ping, listas, netip.AddrPort{}), nil), ping},
	} {
		t.Run(c.name, func(t *testing.T) {
			counted := r.sum(c.want)
			_, err := r.agent.WriteToUDPAddrPort(c.packet, r.hopAddr)
			r.must(err)
			await(t, "count of "+outcomeNames[c.want], func() bool { return r.sum(c.want) == counted+1 })
			switch c.want {
			case reply:
				have, from := r.receive(caller)
				if want := c.packet[len(c.packet)-len(have):]; from != r.port.conn.Addr() || !bytes.Equal(have, want) {
					t.Errorf("reply: want %d octets from %v, have %d from %v", len(want), r.port.conn.Addr(), len(have), from)
				}
			case probeAnswer:
				want := probeEvent{From: r.id.Addr, Service: listas, Instance: r.id.Instance, State: stateDraining}
				if have := <-r.probeEvents.Items(); have != want {
					t.Errorf("event: want %+v, have %+v", want, have)
				}
			case ping:
				r.checkPong(stateServing)
			}
		})
	}
	r.draining.Store(true)
	r.agent.WriteToUDPAddrPort(r.hopPacket(head(encap.Ping, listas, netip.AddrPort{}), nil), r.hopAddr)
	r.checkPong(stateDraining)
	for range maxProbeEvents + 1 {
		r.agent.WriteToUDPAddrPort(probed, r.hopAddr)
	}
	await(t, "count of event overflows", func() bool { return r.sum(eventOverflow) == 1 })
}

func (r *rig) checkPong(want byte) {
	r.t.Helper()
	p, from := r.receive(r.agent)
	var h encap.Header
	payload, reason := h.Parse(r.keys.Load(), p)
	if reason != encap.FaultNone || h.Kind != encap.Pong || h.Service != listas || h.Instance != r.id.Instance {
		r.t.Errorf("pong: have fault %q, header %+v", reason, h)
	}
	if from != r.hopAddr || !bytes.Equal(payload, []byte{want}) {
		r.t.Errorf("pong: want state %d from %v, have %x from %v", want, r.hopAddr, payload, from)
	}
}

// TestAgentStat checks that the data path updates the liveness record of an
// agent only for valid packets, and that it handles agents missing from the
// view.
func TestAgentStat(t *testing.T) {
	r := newRig(t)
	caller := r.socket()
	s := r.stat(r.id.Addr)
	begin := time.Now().UnixNano()
	for i := range uint64(2) {
		caller.WriteToUDPAddrPort(initial(randomID(i), packetSize), r.port.conn.Addr())
		r.receive(r.agent)
	}
	since := s.unanswered.Load()
	if now := time.Now().UnixNano(); since < begin || since > now || s.lastHeard.Load() != 0 {
		t.Errorf("after a new flow: want unanswered in %d..%d and never heard, have %d and %d", begin, now, since, s.lastHeard.Load())
	}
	caller.WriteToUDPAddrPort(initial(randomID(9), packetSize), r.port.conn.Addr())
	r.receive(r.agent)
	if have := s.unanswered.Load(); have != since {
		t.Errorf("after another new flow: want the time of the oldest, %d, have %d", since, have)
	}
	r.sendProbe(r.id, listas)
	p, from := r.receive(r.agent)
	var h encap.Header
	if _, reason := h.Parse(r.keys.Load(), p); reason != encap.FaultNone || h.Kind != encap.Probe || h.Service != listas || h.Instance != r.id.Instance || from != r.hopAddr {
		t.Errorf("probe: have fault %q, header %+v, from %v", reason, h, from)
	}
	forged := r.hopPacket(encap.Header{Kind: encap.Ping, Service: listas}, nil)
	forged[20] ^= 1
	r.agent.WriteToUDPAddrPort(forged, r.hopAddr)
	await(t, "refused packet", func() bool { return r.sum(hopCheck) == 1 })
	if s.lastHeard.Load() != 0 {
		t.Error("a packet with a wrong MAC updated lastHeard")
	}
	ping := r.hopPacket(encap.Header{Kind: encap.Ping, Service: listas, Instance: r.id.Instance}, nil)
	r.agent.WriteToUDPAddrPort(ping, r.hopAddr)
	await(t, "update of lastHeard", func() bool { return s.lastHeard.Load() >= since && s.unanswered.Load() == 0 })
	r.checkPong(stateServing)
	r.stats.Store(nil)
	r.agent.WriteToUDPAddrPort(ping, r.hopAddr)
	r.checkPong(stateServing)
}

// TestPortsSwapped checks requirement R2 across configuration changes: when two
// services swap addresses under load, no packet or reply may be handled as one
// of the service that had the address before. The readers of closed ports must
// end.
func TestPortsSwapped(t *testing.T) {
	const swaps = 20
	r := newRig(t)
	agents := map[ident.ServiceTag]*net.UDPConn{}
	endpoints := map[ident.ServiceTag][]route.Endpoint{}
	names := []string{"listas", "fichas"}
	var tags [2]ident.ServiceTag
	for i, n := range names {
		tags[i] = ident.TagOf(ident.ServiceName(n))
		agents[tags[i]] = r.socket()
		endpoints[tags[i]] = []route.Endpoint{{ID: ident.EndpointID{Addr: addrOf(agents[tags[i]]), Instance: 1}, Weight: 1}}
	}
	r.table.Store(route.NewTable(endpoints))
	var free [2]netip.AddrPort
	for i := range free {
		c, err := listen(loopback)
		r.must(err)
		free[i] = c.Addr()
		c.Close()
	}
	caller := r.socket()
	var goroutines int
	for k := range swaps {
		d := &decl.Declaration{}
		for i, n := range names {
			d.Services = append(d.Services, decl.Service{Name: n, Address: free[(i+k)%2].String()})
		}
		// These packets are queued in the sockets or in flight when the ports
		// close.
		for i := range 200 {
			caller.WriteToUDPAddrPort(initial([]byte(fmt.Sprintf("old%05d", k)), packetSize), free[i%2])
		}
		r.conf.Store(&config.Accepted{Declaration: d})
		r.openPorts()
		for i, tag := range tags {
			marker := []byte(fmt.Sprintf("new%d%04d", i, k))
			caller.WriteToUDPAddrPort(initial(marker, packetSize), free[(i+k)%2])
			for found := false; !found; {
				p, _ := r.receive(agents[tag])
				var h encap.Header
				payload, reason := h.Parse(r.keys.Load(), p)
				q, _ := connid.ParseHeader(payload)
				if reason != encap.FaultNone || h.Service != tag || bytes.HasPrefix(q.ID, []byte("new")) && !bytes.Equal(q.ID, marker) {
					t.Fatalf("packet for service %d: have fault %q, service %d, ID %q", tag, reason, h.Service, q.ID)
				}
				found = bytes.Equal(q.ID, marker)
			}
			reply := r.hopPacket(encap.Header{Kind: encap.Reply, Service: tag, Instance: 1, Caller: addrOf(caller)}, marker)
			agents[tag].WriteToUDPAddrPort(reply, r.hopAddr)
			if have, from := r.receive(caller); from != free[(i+k)%2] || !bytes.Equal(have, marker) {
				t.Fatalf("reply of service %d: want %q from %v, have %q from %v", tag, marker, free[(i+k)%2], have, from)
			}
		}
		if n := runtime.NumGoroutine(); k == 0 {
			goroutines = n
		} else if n > goroutines {
			t.Errorf("goroutines after swap %d: want at most %d, have %d", k, goroutines, n)
		}
	}
}
