package itest

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/relay"
)

// issuePeerTLS issues a certificate of the given authority for mutual TLS.
func (c *Cluster) issuePeerTLS(a *certs.Authority, name string) *config.PeerTLS {
	c.T.Helper()
	cert, key, err := a.IssueFiles(c.Dir, name)
	c.must(err)
	ca := filepath.Join(c.Dir, "ca.crt")
	c.must(os.WriteFile(ca, c.Authority.PEM, 0o600))
	return &config.PeerTLS{CertFile: cert, KeyFile: key, CAFile: ca}
}

// sessions returns the names of the balancers that a balancer has sessions with.
func sessions(p *Process) []string {
	var st relay.State
	if p.State(&st) != nil {
		return nil
	}
	var names []string
	for k := range st.Peers.Sessions {
		if name, _, _ := strings.Cut(k, "@"); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// TestPeerTLS guards mutual TLS between processes. A balancer with a certificate of
// another authority gets no session, and its attempts are counted and logged. Once its
// certificate files are replaced, it gets sessions.
func TestPeerTLS(t *testing.T) {
	c := NewCluster(t, binary)
	c.Apply(Declaration(2, "listas"))
	c.StartFabric(1)
	s := &Deployment{Cluster: c, Agents: map[string][]*Process{}}
	good := c.issuePeerTLS(c.Authority, "peer")
	use := func(p *config.PeerTLS) func(*config.Balancer) {
		return func(b *config.Balancer) { b.PeerTLS = p }
	}
	for range 2 {
		s.AddBalancer(use(good))
	}
	s.AddAgent("listas", time.Millisecond, func(a *config.Agent) { a.PeerTLS = good })
	s.WaitReady()
	s.Eventually(5*time.Second, "a session between the balancers", func() bool { return len(sessions(s.Balancers[0])) == 1 })

	other, err := certs.NewAuthority(time.Hour)
	c.must(err)
	bad := c.issuePeerTLS(other, "stranger")
	stranger := c.StartBalancer("stranger", "recife", use(bad))
	s.waitConfigured(stranger)
	for _, b := range s.Balancers {
		s.Eventually(10*time.Second, b.Name+" counts and logs refused sessions", func() bool {
			var st relay.State
			log, err := os.ReadFile(filepath.Join(c.Dir, b.Name+".log"))
			return err == nil && b.State(&st) == nil && st.Peers.Counts["refusedSessions"] >= 2 &&
				bytes.Contains(log, []byte("session refused"))
		})
		if have := sessions(b); len(have) != 1 {
			t.Errorf("%s: want a session with one balancer, have %v", b.Name, have)
		}
	}
	if have := sessions(stranger); len(have) != 0 {
		t.Errorf("want no sessions of the stranger, have %v", have)
	}
	_, _, err = c.Authority.IssueFiles(c.Dir, "stranger")
	c.must(err)
	s.Eventually(20*time.Second, "sessions with the replaced certificate", func() bool { return len(sessions(stranger)) == 2 })
}
