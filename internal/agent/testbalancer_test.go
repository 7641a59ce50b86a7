package agent

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// testBalancer is a minimal balancer in front of the agents of a test. It also
// holds the certificates and keys that the agents share.
type testBalancer struct {
	t                 testing.TB
	dir               string
	certFile, keyFile string
	callerTLS         *tls.Config
	keys              *connid.Set
	// callerConn receives the callers' packets and agentConn those of the
	// agents.
	callerConn, agentConn *net.UDPConn
	mu                    sync.Mutex
	candidates            []ident.EndpointID
	// probeAnswers receives the probe answers of the agents.
	probeAnswers chan probeAnswer
	// replies receives what the agents send to testCaller.
	replies chan []byte
}

// testCaller is the address of a caller whose packets the test itself sends.
var testCaller = netip.MustParseAddrPort("192.0.2.1:1234")

type probeAnswer struct {
	header encap.Header
	state  byte
}

func newTestBalancer(t testing.TB) *testBalancer {
	b := &testBalancer{t: t, dir: t.TempDir(), probeAnswers: make(chan probeAnswer, 100), replies: make(chan []byte, 100)}
	ca, err := certs.NewAuthority(time.Hour)
	must(t, err)
	b.certFile, b.keyFile, err = ca.IssueFiles(b.dir, "service")
	must(t, err)
	b.writeKeys(1)
	b.keys, err = config.LoadKeys(filepath.Join(b.dir, "keys.json"))
	must(t, err)
	b.callerTLS = &tls.Config{RootCAs: ca.Pool(), ServerName: "localhost", NextProtos: []string{http3.NextProtoH3}}
	b.callerConn, b.agentConn = listenUDP(t), listenUDP(t)
	go b.forwardPackets()
	go b.returnReplies()
	return b
}

func listenUDP(t testing.TB) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(t, err)
	c.SetReadBuffer(socketBufferSize)
	t.Cleanup(func() { c.Close() })
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func (b *testBalancer) forwardPackets() {
	var (
		buf [maxPacketSize]byte
		dec connid.Decoder
	)
	for {
		n, from, err := b.callerConn.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			return
		}
		q, ok := connid.ParseHeader(buf[:n])
		if !ok {
			continue
		}
		h := encap.Header{Kind: encap.Established, Caller: from}
		if t, ok := dec.Decode(b.keys, q.ID); ok {
			h.Service, h.Instance = t.Service, t.Endpoint.Instance
			b.send(&h, buf[:n], t.Endpoint.Addr)
			continue
		}
		b.mu.Lock()
		h.Kind, h.Service, h.Balancer, h.Count = encap.NewFlow, ident.TagOf("listas"), addrOf(b.agentConn), uint8(len(b.candidates))
		for i, c := range b.candidates {
			h.Candidates[i].Endpoint = c
		}
		b.mu.Unlock()
		h.Instance = h.Candidates[0].Endpoint.Instance
		b.send(&h, buf[:n], h.Candidates[0].Endpoint.Addr)
	}
}

func (b *testBalancer) send(h *encap.Header, payload []byte, to netip.AddrPort) {
	p := append(make([]byte, h.Size()), payload...)
	h.Put(b.keys.Current, p)
	b.agentConn.WriteToUDPAddrPort(p, to)
}

func (b *testBalancer) returnReplies() {
	var (
		buf [2 * maxPacketSize]byte
		h   encap.Header
	)
	for {
		n, _, err := b.agentConn.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			return
		}
		payload, reason := h.Parse(b.keys, buf[:n])
		switch {
		case reason != encap.FaultNone:
		case h.Kind == encap.Reply && h.Caller == testCaller:
			b.replies <- bytes.Clone(payload)
		case h.Kind == encap.Reply:
			b.callerConn.WriteToUDPAddrPort(payload, h.Caller)
		case h.Kind == encap.ProbeAnswer:
			b.probeAnswers <- probeAnswer{h, payload[0]}
		}
	}
}

// newAgent creates an agent at an address and appends it to the candidates.
func (b *testBalancer) newAgent(addr, upstreamURL string, s decl.Service) *Agent {
	b.t.Helper()
	a, err := New(&config.Agent{
		Service: "listas", HopAddress: addr, AdminAddress: "127.0.0.1:0", Upstream: upstreamURL,
		CertFile: b.certFile, KeyFile: b.keyFile,
		KeysFile: filepath.Join(b.dir, "keys.json"),
		Platform: config.Platform{URL: "http://127.0.0.1:1", RequestTimeoutMillis: 100},
	}, proc.New("agent", "listas", io.Discard))
	must(b.t, err)
	a.process.Log = discardLog()
	a.handler.configure(s)
	b.mu.Lock()
	b.candidates = append(b.candidates, a.self)
	b.mu.Unlock()
	return a
}

// startAgent creates an agent and starts its QUIC server, but none of its other
// tasks.
func (b *testBalancer) startAgent(addr, upstreamURL string, s decl.Service) *Agent {
	b.t.Helper()
	a := b.newAgent(addr, upstreamURL, s)
	b.serve(a)
	return a
}

// serve starts the QUIC server of an agent.
func (b *testBalancer) serve(a *Agent) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		a.serve(ctx)
		close(ended)
	}()
	b.t.Cleanup(func() {
		stop()
		<-ended
	})
}

// client returns a caller with its own connection.
func (b *testBalancer) client() *http.Client {
	tr := &http3.Transport{TLSClientConfig: b.callerTLS}
	b.t.Cleanup(func() { tr.Close() })
	return &http.Client{Transport: tr, Timeout: 20 * time.Second}
}

func (b *testBalancer) get(c *http.Client, path string) (int, error) {
	resp, err := c.Get("https://" + addrOf(b.callerConn).String() + path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// writeKeys writes a keys file with the keys 1 and 2.
func (b *testBalancer) writeKeys(current int) {
	b.t.Helper()
	text := fmt.Sprintf(`{"current": %d, "keys": [{"number": 1, "secret": "%064x"}, {"number": 2, "secret": "%064x"}]}`, current, 1, 2)
	must(b.t, os.WriteFile(filepath.Join(b.dir, "keys.json"), []byte(text), 0o600))
}
