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

// bench holds the files that the agents of a test share, and a balancer.
type bench struct {
	t                 testing.TB
	dir               string
	certFile, keyFile string
	caller            *tls.Config
	keys              *connid.Set
	// front receives the callers' packets, and hop those of the agents.
	front, hop *net.UDPConn
	mu         sync.Mutex
	candidates []ident.EndpointID
	// answers holds probe answers with their state octet.
	answers chan answer
	// replies holds what the agents send to noCaller.
	replies chan []byte
}

// noCaller is the address of a caller that a test itself plays.
var noCaller = netip.MustParseAddrPort("192.0.2.1:1234")

type answer struct {
	header encap.Header
	state  byte
}

func newBench(t testing.TB) *bench {
	b := &bench{t: t, dir: t.TempDir(), answers: make(chan answer, 100), replies: make(chan []byte, 100)}
	ca, err := certs.NewAuthority(time.Hour)
	must(t, err)
	b.certFile, b.keyFile, err = ca.IssueFiles(b.dir, "service")
	must(t, err)
	b.writeKeys(1)
	b.keys, err = config.LoadKeys(filepath.Join(b.dir, "keys.json"))
	must(t, err)
	b.caller = &tls.Config{RootCAs: ca.Pool(), ServerName: "localhost", NextProtos: []string{http3.NextProtoH3}}
	b.front, b.hop = listenUDP(t), listenUDP(t)
	go b.forward()
	go b.back()
	return b
}

func listenUDP(t testing.TB) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(t, err)
	c.SetReadBuffer(socketBuffer)
	t.Cleanup(func() { c.Close() })
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func (b *bench) forward() {
	var (
		buf [maxPacket]byte
		dec connid.Decoder
	)
	for {
		n, from, err := b.front.ReadFromUDPAddrPort(buf[:])
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
		h.Kind, h.Service, h.Balancer, h.Count = encap.NewFlow, ident.TagOf("listas"), addrOf(b.hop), uint8(len(b.candidates))
		for i, c := range b.candidates {
			h.Candidates[i].Endpoint = c
		}
		b.mu.Unlock()
		h.Instance = h.Candidates[0].Endpoint.Instance
		b.send(&h, buf[:n], h.Candidates[0].Endpoint.Addr)
	}
}

func (b *bench) send(h *encap.Header, payload []byte, to netip.AddrPort) {
	p := append(make([]byte, h.Size()), payload...)
	h.Put(b.keys.Current, p)
	b.hop.WriteToUDPAddrPort(p, to)
}

func (b *bench) back() {
	var (
		buf [2 * maxPacket]byte
		h   encap.Header
	)
	for {
		n, _, err := b.hop.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			return
		}
		payload, fault := h.Parse(b.keys, buf[:n])
		switch {
		case fault != encap.FaultNone:
		case h.Kind == encap.Reply && h.Caller == noCaller:
			b.replies <- bytes.Clone(payload)
		case h.Kind == encap.Reply:
			b.front.WriteToUDPAddrPort(payload, h.Caller)
		case h.Kind == encap.ProbeAnswer:
			b.answers <- answer{h, payload[0]}
		}
	}
}

// prepare makes an agent at an address the last candidate.
func (b *bench) prepare(addr, upstreamURL string, s decl.Service) *Agent {
	b.t.Helper()
	a, err := New(&config.Agent{
		Service: "listas", HopAddress: addr, AdminAddress: "127.0.0.1:0", Upstream: upstreamURL,
		CertFile: b.certFile, KeyFile: b.keyFile,
		KeysFile: filepath.Join(b.dir, "keys.json"),
		Platform: config.Platform{URL: "http://127.0.0.1:1", RequestTimeoutMillis: 100},
	}, proc.New("agent", "listas", io.Discard))
	must(b.t, err)
	a.frame.Log = quietLog()
	a.handler.configure(s)
	b.mu.Lock()
	b.candidates = append(b.candidates, a.self)
	b.mu.Unlock()
	return a
}

// agent prepares an agent and starts its QUIC server, without the other duties.
func (b *bench) agent(addr, upstreamURL string, s decl.Service) *Agent {
	b.t.Helper()
	a := b.prepare(addr, upstreamURL, s)
	b.run(a)
	return a
}

// run starts the QUIC server of an agent.
func (b *bench) run(a *Agent) {
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

// client returns a caller with a connection of its own.
func (b *bench) client() *http.Client {
	tr := &http3.Transport{TLSClientConfig: b.caller}
	b.t.Cleanup(func() { tr.Close() })
	return &http.Client{Transport: tr, Timeout: 20 * time.Second}
}

func (b *bench) get(c *http.Client, path string) (int, error) {
	resp, err := c.Get("https://" + addrOf(b.front).String() + path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// writeKeys writes a keys file with the keys 1 and 2.
func (b *bench) writeKeys(current int) {
	b.t.Helper()
	text := fmt.Sprintf(`{"current": %d, "keys": [{"number": 1, "secret": "%064x"}, {"number": 2, "secret": "%064x"}]}`, current, 1, 2)
	must(b.t, os.WriteFile(filepath.Join(b.dir, "keys.json"), []byte(text), 0o600))
}
