// Package itest runs bramleycourse processes behind the fabric stand-in and injects
// faults. Only its own tests use it.
package itest

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/fabric"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/internal/stub"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// Cluster is a set of bramleycourse processes and their stand-ins.
type Cluster struct {
	T *testing.T
	// Binary is the path of the bramleycourse binary.
	Binary string
	// Dir holds settings, certificates and logs.
	Dir string
	// Store is the platform stand-in behind PlatformURL.
	Store       *store.Store
	PlatformURL string
	// Fabrics maps service names to the fabric stand-ins.
	Fabrics   map[string]*fabric.Fabric
	Authority *certs.Authority

	keysFile          string
	certFile, keyFile string
	declaration       *decl.Declaration
	balancers         map[string]*Process
}

// Process is one bramleycourse process.
type Process struct {
	Name string
	// Admin is the address of the admin server.
	Admin string
	// CallerIP is the IP at which a balancer receives packets from callers.
	CallerIP string
	// Peer is the peer address of a balancer.
	Peer string
	// Hop is the hop address of a balancer or an agent.
	Hop string
	// Stub is the upstream stand-in of an agent.
	Stub *stub.Upstream

	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	err     error
	stubSrv *httptest.Server
}

// NewCluster starts the platform stand-in and writes certificates and keys.
func NewCluster(t *testing.T, binary string) *Cluster {
	c := &Cluster{
		T: t, Binary: binary, Dir: t.TempDir(),
		Store:     store.New(),
		Fabrics:   map[string]*fabric.Fabric{},
		balancers: map[string]*Process{},
	}
	s := httptest.NewServer(c.Store)
	t.Cleanup(s.Close)
	c.PlatformURL = s.URL
	var err error
	c.Authority, err = certs.NewAuthority(time.Hour)
	c.must(err)
	c.certFile, c.keyFile, err = c.Authority.IssueFiles(c.Dir, "service")
	c.must(err)
	c.keysFile = filepath.Join(c.Dir, "keys.json")
	c.must(os.WriteFile(c.keysFile, certs.KeysFile(1), 0o600))
	return c
}

func (c *Cluster) must(err error) {
	c.T.Helper()
	if err != nil {
		c.T.Fatal(err)
	}
}

// Apply puts a declaration in force with the apply command.
func (c *Cluster) Apply(d *decl.Declaration) {
	c.T.Helper()
	b, err := d.JSON()
	c.must(err)
	file := filepath.Join(c.Dir, "declaration.json")
	c.must(os.WriteFile(file, b, 0o600))
	out, err := exec.Command(c.Binary, "apply", "--platform", c.PlatformURL, file).CombinedOutput()
	if err != nil {
		c.T.Fatalf("apply: %v: %s", err, out)
	}
	c.declaration = d
}

// StartFabric starts a fabric stand-in for every declared service.
func (c *Cluster) StartFabric(seed uint64) {
	c.T.Helper()
	for _, s := range c.declaration.Services {
		f, err := fabric.New(netip.MustParseAddrPort(loopbackIP(1)+":0"), seed)
		c.must(err)
		go f.Run(c.T.Context())
		c.Fabrics[s.Name] = f
	}
}

// SetFabricTargets makes the fabrics spray packets over the given balancers.
func (c *Cluster) SetFabricTargets(ps ...*Process) {
	for _, s := range c.declaration.Services {
		port := netip.MustParseAddrPort(s.Address).Port()
		var targets []netip.AddrPort
		for _, p := range ps {
			targets = append(targets, netip.AddrPortFrom(netip.MustParseAddr(p.CallerIP), port))
		}
		c.Fabrics[s.Name].SetTargets(targets...)
	}
}

// StartBalancer starts a balancer that has the earlier ones as peers.
func (c *Cluster) StartBalancer(name, place string, change ...func(*config.Balancer)) *Process {
	c.T.Helper()
	n := len(c.balancers) + 1
	p := &Process{
		Name: name, Admin: nextAddr(), Peer: nextAddr(), Hop: nextAddr(),
		CallerIP: loopbackIP(n + 1),
	}
	s := &config.Balancer{
		Name: name, Place: place, CallerIP: p.CallerIP,
		HopAddress: p.Hop, PeerAddress: p.Peer, AdminAddress: p.Admin,
		ConfigName:    c.declaration.Name,
		AgentNetworks: []string{"127.0.0.0/8"},
		KeysFile:      c.keysFile,
		Platform:      config.Platform{URL: c.PlatformURL},
	}
	for _, b := range c.balancers {
		s.Peers = append(s.Peers, b.Peer)
	}
	for _, f := range change {
		f(s)
	}
	c.balancers[name] = p
	c.start(p, "balancer", s)
	return p
}

// StartAgent starts an agent and its upstream stand-in.
func (c *Cluster) StartAgent(name, service, place string, work time.Duration, change ...func(*config.Agent)) *Process {
	c.T.Helper()
	u := stub.New(service, work)
	srv := httptest.NewServer(u)
	c.T.Cleanup(srv.Close)
	p := &Process{Name: name, Admin: nextAddr(), Hop: nextAddr(), Stub: u, stubSrv: srv}
	s := &config.Agent{
		Service: service, Place: place,
		HopAddress: p.Hop, AdminAddress: p.Admin, Upstream: srv.URL,
		CertFile: c.certFile, KeyFile: c.keyFile, KeysFile: c.keysFile,
		Platform: config.Platform{URL: c.PlatformURL},
	}
	for _, b := range c.balancers {
		s.Balancers = append(s.Balancers, b.Peer)
	}
	for _, f := range change {
		f(s)
	}
	c.start(p, "agent", s)
	return p
}

func (c *Cluster) start(p *Process, role string, settings any) {
	c.T.Helper()
	b, err := json.Marshal(settings)
	c.must(err)
	file := filepath.Join(c.Dir, p.Name+".json")
	c.must(os.WriteFile(file, b, 0o600))
	log, err := os.Create(filepath.Join(c.Dir, p.Name+".log"))
	c.must(err)
	p.t = c.T
	p.cmd = exec.Command(c.Binary, role, file)
	p.cmd.Stderr = log
	p.exited = make(chan struct{})
	c.must(p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		close(p.exited)
	}()
	c.T.Cleanup(func() {
		p.Kill()
		if c.T.Failed() {
			b, _ := os.ReadFile(log.Name())
			c.T.Logf("log of %s:\n%s", p.Name, tail(b))
		}
	})
}

// logTailBytes is how much of a process's log a failed test prints.
const logTailBytes = 4000

func tail(b []byte) []byte {
	return b[max(0, len(b)-logTailBytes):]
}

// Terminate sends SIGTERM, which starts a graceful stop.
func (p *Process) Terminate() { p.cmd.Process.Signal(syscall.SIGTERM) }

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() { p.cmd.Process.Signal(syscall.SIGCONT) }

// WaitExit waits for the process to exit. It fails the test if that takes longer
// than the limit or the exit status is not zero.
func (p *Process) WaitExit(limit time.Duration) {
	p.t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			p.t.Errorf("%s exited with %v", p.Name, p.err)
		}
	case <-time.After(limit):
		p.t.Errorf("%s did not exit within %v", p.Name, limit)
	}
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// State decodes the state dump of the process into v.
func (p *Process) State(v any) error {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + p.Admin + "/state")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// CallerTLS returns the TLS configuration of a caller.
func (c *Cluster) CallerTLS() *tls.Config {
	return &tls.Config{RootCAs: c.Authority.Pool(), ServerName: "localhost"}
}

// Eventually waits until the condition holds and fails the test if it does not hold
// within the limit.
func (c *Cluster) Eventually(limit time.Duration, what string, ok func() bool) {
	c.T.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.T.Fatalf("not within %v: %s", limit, what)
}

// loopbackIP returns an IP of the /24 that is derived from the process ID, so that
// test runs on the same machine do not receive each other's packets.
func loopbackIP(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/254%254, 1+pid%254, host)
}

// firstPort is the lower end of the ports of the processes. They are below the
// ephemeral ports of Linux (from 32768), so that no other socket gets a port before
// its process binds it.
const firstPort = 10_000

// assignedPorts counts the ports assigned so far.
var assignedPorts atomic.Uint32

// nextAddr returns an address that no other process of this test run uses.
func nextAddr() string {
	return fmt.Sprintf("%s:%d", loopbackIP(1), firstPort+assignedPorts.Add(1))
}
