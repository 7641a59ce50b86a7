package itest

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/agent"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/relay"
)

// malformedPackets returns packets that every process must refuse: random bytes,
// and recorded packets that are truncated or have one byte changed.
func malformedPackets(rng *rand.Rand, recorded [][]byte) [][]byte {
	var ps [][]byte
	for range 3000 {
		p := make([]byte, rng.IntN(1500))
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		ps = append(ps, p)
	}
	for _, r := range recorded {
		truncated := r[:rng.IntN(len(r)+1)]
		changed := append([]byte{}, r...)
		changed[rng.IntN(min(len(changed), 40))] ^= byte(1 + rng.IntN(255))
		ps = append(ps, truncated, changed)
	}
	return ps
}

// TestBadInput guards against malformed, truncated and changed packets, oversized
// headers and bodies, and a second agent on an address in use. None of them reaches
// an upstream, memory stays bounded and valid requests are served.
func TestBadInput(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 1, map[string]int{"listas": 1})
	b, a := s.Balancers[0], s.Agents["listas"][0]
	f := s.Fabrics["listas"]
	f.Record(1000)
	s.sendOnNewFlows(500 * time.Millisecond)
	var recorded [][]byte
	for _, p := range f.Recorded() {
		recorded = append(recorded, p.Payload)
	}
	served := a.Stub.Counts().Requests
	rng := rand.New(rand.NewPCG(1, 2))
	for _, to := range []string{s.serviceAddr(Declaration(4, "listas"), "listas", b).String(), b.Hop, a.Hop} {
		conn, err := net.Dial("udp4", to)
		s.must(err)
		for _, p := range malformedPackets(rng, recorded) {
			conn.Write(p)
		}
		conn.Close()
	}
	s.Eventually(10*time.Second, "refusals are counted", func() bool {
		var bs relay.State
		var as agent.State
		if b.State(&bs) != nil || a.State(&as) != nil {
			return false
		}
		refused := uint64(0)
		for _, n := range as.Refused {
			refused += n
		}
		return bs.Counts["malformed"] > 0 && bs.Counts["unknownID"] > 0 && bs.Counts["hopVersion"] > 0 && refused > 0
	})
	if n := a.Stub.Counts().Requests; n != served {
		t.Errorf("want no request from malformed packets at the upstream, have %d", n-served)
	}
	s.sendOversized()
	s.startSecondAgent(a)
	for _, p := range []*Process{a, b} {
		if n := residentBytes(t, p.cmd.Process.Pid); n > maxResidentBytes {
			t.Errorf("%s: want at most %d bytes resident, have %d", p.Name, maxResidentBytes, n)
		}
	}
	if done, failed := s.sendOnNewFlows(500 * time.Millisecond); done == 0 || failed > 0 {
		t.Errorf("requests after bad input: %d done, %d failed", done, failed)
	}
}

// sendOversized sends a request with a body that is too large and one with a header
// that is too large; neither may reach the upstream.
func (s *Deployment) sendOversized() {
	s.T.Helper()
	stub := s.Agents["listas"][0].Stub
	served := stub.Counts().Requests
	tr := s.plainTransport()
	defer tr.Close()
	client := http.Client{Transport: tr, Timeout: 10 * time.Second}
	resp, err := client.Post(s.URL("listas", "/echo"), "text/plain", strings.NewReader(strings.Repeat("x", 3<<20)))
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(hdrs.Outcome) != hdrs.NotRun {
			s.T.Errorf("large body: status %d, outcome %q", resp.StatusCode, resp.Header.Get(hdrs.Outcome))
		}
	}
	req, _ := http.NewRequest(http.MethodGet, s.URL("listas", "/echo"), nil)
	req.Header.Set("X-Large", strings.Repeat("y", 2<<20))
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close()
		if resp.StatusCode < 400 {
			s.T.Errorf("large header: status %d", resp.StatusCode)
		}
	}
	if n := stub.Counts().Requests; n != served {
		s.T.Errorf("want no oversized request at the upstream, have %d", n-served)
	}
}

// startSecondAgent starts an agent on the hop address of a running one; the second
// must exit with an error and must not affect the first.
func (s *Deployment) startSecondAgent(first *Process) {
	s.T.Helper()
	second := s.StartAgent("second", "listas", "recife", time.Millisecond, func(a *config.Agent) { a.HopAddress = first.Hop })
	select {
	case <-second.Exited():
		if second.err == nil {
			s.T.Error("a second agent on an address in use exited without an error")
		}
	case <-time.After(10 * time.Second):
		s.T.Error("a second agent on an address in use did not exit")
	}
}
