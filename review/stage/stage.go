// Package stage runs a small deployment for the cases of the review: the programs of the
// deploy file as separate processes, and stand-ins of the platform's store, of upstreams and
// of callers, each VM on a loopback address of its own.
package stage

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

// Ports of the processes; they are the same on all VMs.
const (
	FlowPort     = 18472
	OutboundPort = 18462
	AppPort      = 18465
	ControlPort  = 18466
	readyPort    = 18467
	metricsPort  = 9180
	internalPort = 17920
	storePort    = 18469
)

// Host numbers of the first VM of each kind, and of the address of the routes.
const (
	balancerHost = 1
	agentHost    = 60
	routeHost    = 150
	callerHost   = 200
	storeHost    = 250
)

// HeartbeatInterval is the time between two reports of an upstream.
const HeartbeatInterval = 770 * time.Millisecond

// Statuses with which a case exits.
const (
	Held = iota
	Broken
	CouldNotRun
)

// Stage is a running deployment.
type Stage struct {
	// Store is the stand-in of the platform's store.
	Store *standin.Store
	// Balancers and Agents are the processes under test.
	Balancers, Agents []*Process
	// Work is the time that an upstream takes for a request; set before the start.
	Work time.Duration

	dir     string
	net     [2]byte
	trouble bool
	begin   time.Time
	server  *http.Server

	mu     sync.Mutex
	record *os.File
	broken []string
}

// Process is a balancer or an agent, with its upstream if it has one.
type Process struct {
	// Name is the name of the VM, Service that of the upstream beside an agent.
	Name, Service string
	// Upstream is the upstream beside an agent.
	Upstream *standin.Upstream

	stage    *Stage
	host     int
	role     string
	settings string
	health   *http.Server
	cmd      *exec.Cmd
	ended    chan struct{}
}

// New opens the record of a case, in the folder that the first argument of the program
// names, and starts the store.
func New() (*Stage, error) {
	if len(os.Args) != 2 {
		return nil, fmt.Errorf("usage: %s FOLDER", os.Args[0])
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &Stage{
		Store: standin.NewStore(), net: [2]byte{byte(1 + pid>>8%120), byte(pid)}, begin: time.Now(),
		trouble: os.Getenv("TROUBLE") != "0", record: record, Work: 30 * time.Millisecond,
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", s.Addr(storeHost, storePort).String())
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	s.Logf("the disruption is played: %v", s.trouble)
	return s, nil
}

// Trouble reports whether the disruption is to be played.
func (s *Stage) Trouble() bool { return s.trouble }

// Addr returns an address of a VM.
func (s *Stage) Addr(host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.net[0], s.net[1], byte(host)}), port)
}

// Route returns the address of a route. Packets carry it in their headers.
func (s *Stage) Route(port uint16) netip.AddrPort { return s.Addr(routeHost, port) }

// CallerAddr returns the address of a VM of callers.
func (s *Stage) CallerAddr(n int) netip.AddrPort { return s.Addr(callerHost+n, FlowPort) }

// HopAddr returns the address at which a balancer receives the packets of callers.
func (s *Stage) HopAddr(n int) netip.AddrPort { return s.Addr(balancerHost+n, FlowPort) }

// Logf writes a line with the time since the start to the record.
func (s *Stage) Logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%9.4f %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Breakf records that the rule was broken.
func (s *Stage) Breakf(format string, args ...any) {
	s.Logf("BROKEN: "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// Configure writes a configuration as the operator does.
func (s *Stage) Configure(spec string) {
	s.Store.Put("config", "main", spec)
	s.Logf("the operator's configuration is acknowledged: %s", spec)
}

// RouteSpec returns a route of a configuration.
func (s *Stage) RouteSpec(name string, port uint16, service, kind string) string {
	return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":"/%d/","Type":%q,"TimeoutMs":3000,"TargetLatencyMs":500,"Priority":2,"Service":%q,"MaxAttempts":2}`,
		name, s.Route(port).Addr(), port, kind, service)
}

// ConfigSpec returns a configuration.
func (s *Stage) ConfigSpec(version int, routes ...string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[],"Limits":{"IdleTimeoutMs":15000}}`, version, strings.Join(routes, ","))
}

// StartBalancers starts a number of balancers.
func (s *Stage) StartBalancers(n int) error {
	for i := range n {
		p, err := s.newProcess("balancer", balancerHost+i, "")
		if err != nil {
			return err
		}
		s.Balancers = append(s.Balancers, p)
	}
	return nil
}

// StartAgents starts an agent for each of the named services, and an upstream beside it.
func (s *Stage) StartAgents(services ...string) error {
	for _, service := range services {
		p, err := s.newProcess("agent", agentHost+len(s.Agents), service)
		if err != nil {
			return err
		}
		s.Agents = append(s.Agents, p)
		if err := p.StartUpstream(fmt.Sprintf("u-%d", len(s.Agents))); err != nil {
			return err
		}
	}
	return nil
}

// StartUpstream starts the upstream beside an agent.
func (p *Process) StartUpstream(id string) error {
	s := p.stage
	u, err := standin.StartUpstream(standin.UpstreamConfig{
		ID: id, Service: p.Service, Addr: p.App(), Outbound: s.Addr(p.host, OutboundPort), Reports: p.Control(),
		Slots: 4, Work: s.Work, ReportInterval: HeartbeatInterval, DrainLimit: 3 * time.Second,
		OnViolation: func(invariant, detail string) { s.Logf("%s: %s", invariant, detail) },
		RecentFault: func() bool { return true },
	})
	if err != nil {
		return err
	}
	p.Upstream = u
	if err := p.serveHealth(); err != nil {
		return err
	}
	s.Logf("upstream %s of %s starts beside %s", id, p.Service, p.Name)
	return nil
}

// serveHealth answers health checks of the upstream.
func (p *Process) serveHealth() error {
	if p.health != nil {
		return nil
	}
	l, err := net.Listen("tcp4", p.App().String())
	if err != nil {
		return err
	}
	p.health = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = p.health.Serve(l) }()
	return nil
}

// App returns the address at which the upstream beside an agent receives packets.
func (p *Process) App() netip.AddrPort { return p.stage.Addr(p.host, AppPort) }

// Control returns the address at which an agent receives reports.
func (p *Process) Control() netip.AddrPort { return p.stage.Addr(p.host, ControlPort) }

func (s *Stage) newProcess(role string, host int, service string) (*Process, error) {
	p := &Process{Name: fmt.Sprintf("%s-%d", role, host), Service: service, stage: s, host: host, role: role}
	p.settings = filepath.Join(s.dir, p.Name+".conf")
	if err := os.WriteFile(p.settings, []byte(s.settingsOf(p)), 0o644); err != nil {
		return nil, err
	}
	return p, p.Start()
}

func (s *Stage) settingsOf(p *Process) string {
	seeds := []string{s.Addr(balancerHost, ControlPort).String(), s.Addr(balancerHost+1, ControlPort).String(), s.Addr(balancerHost+2, ControlPort).String()}
	vm := func(port uint16) string { return s.Addr(p.host, port).String() }
	lines := []string{
		"NodeName=" + p.Name, "Zone=recife", "Region=nordeste", "Zones.recife=nordeste", "Ip=" + s.Addr(p.host, 0).Addr().String(),
		"Listen.DatagramAddr=" + vm(FlowPort), "Listen.Ready=" + vm(readyPort), "Listen.Control=" + vm(ControlPort),
		fmt.Sprintf("InternalPorts=%d,%d", internalPort, internalPort+15), "Seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("HeartbeatMs=%d", HeartbeatInterval.Milliseconds()), "Contracts=base,drain,config,cost,recover,flows,platform",
		"Bounds.StableWindowMs=4000", "Bounds.DrainMs=3000", "Bounds.GraceS=6", "Bounds.ConfigApplyMs=3000", "Bounds.ReorderMs=2000", "Bounds.MaxFlowS=60",
		"Hash=steady", "DeploymentMode=agent", "platform.Address=" + s.Addr(storeHost, storePort).String(), "platform.DeploymentMode=objects",
	}
	if p.role == "agent" {
		lines = append(lines, "Listen.outbound="+vm(OutboundPort), "app="+vm(AppPort), "Service="+p.Service)
	}
	return strings.Join(lines, "\n") + "\n"
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.stage.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/bramleyflow", p.role, "--metrics-port", fmt.Sprint(metricsPort))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BRAMLEYCOURSE_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.stage.Logf("%s starts", p.Name)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.stage.Logf("%s gets %s", p.Name, s)
	_ = p.cmd.Process.Signal(s) // It may have ended already.
}

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Restart stops the process as planned, and starts it again after a pause.
func (p *Process) Restart(pause time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		p.Signal(syscall.SIGKILL)
		<-p.ended
	}
	p.stage.Logf("%s has ended", p.Name)
	time.Sleep(pause)
	return p.Start()
}

// Ready waits until a balancer is ready.
func (p *Process) Ready(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		r, err := client.Get("http://" + p.stage.Addr(p.host, readyPort).String() + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.Name, limit)
}

// Close ends all processes and returns the status to exit with. An error means that the case
// could not run. The logs of the processes are kept if KEEP names a folder for them.
func (s *Stage) Close(err error) int {
	for _, p := range append(append([]*Process(nil), s.Balancers...), s.Agents...) {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if p.Upstream != nil {
			p.Upstream.Crash()
			_ = p.health.Close()
		}
	}
	_ = s.server.Close()
	status := Held
	switch {
	case err != nil:
		s.Logf("the case could not run: %v", err)
		status = CouldNotRun
	case len(s.broken) > 0:
		status = Broken
	}
	s.Logf("broken %d times, exit status %d", len(s.broken), status)
	_ = s.record.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(s.dir, keep)
	} else {
		_ = os.RemoveAll(s.dir)
	}
	return status
}
