package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

// Ports are the same on all machines of a deployment, as on the platform.
const (
	datagramPort = 18172
	readyPort    = 18167
	controlPort  = 18166
	outboundPort = 18162
	appPort      = 18165
	internalPort = 17720
	storePort    = 18169
	routePort    = 8443
)

// Services of the deployment.
const (
	lists  = "listas"
	sheets = "fichas"
)

const (
	heartbeat       = 770 * time.Millisecond
	readyInterval   = 500 * time.Millisecond
	stableWindow    = 4 * time.Second
	restartDelay    = 500 * time.Millisecond
	graceTime       = 6 * time.Second
	program         = "target/bramleyflow"
	maxStartTime    = 15 * time.Second
	metricsPortFlag = "9180"
)

// deployment is a small deployment: balancers, agents with their servers, and the store.
type deployment struct {
	record  *record
	trouble bool
	dir     string
	net     [3]byte
	// listener is where the store listens.
	listener net.Listener
	store    *http.Server
	edges    []*machine
	sides    []*machine
	router   *router
	// timeout is the time that clients wait for an answer, kind the kind of the requests.
	timeout time.Duration
	kind    string
}

// machine runs one program.
type machine struct {
	d          *deployment
	name, zone string
	role       string
	ip         netip.Addr
	// service is the service of the server beside an agent.
	service string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	// disruptedAt is when the last disruption of the machine ended. While one goes on, the
	// machine is frozen or stopped and sends nothing.
	disruptedAt time.Time
}

func newDeployment(recordPath string, trouble bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "late")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, trouble: trouble, dir: dir, timeout: time.Second, kind: "idempotent"}
	if err := d.takeNetwork(); err != nil {
		return nil, err
	}
	for n, zone := range []string{"recife", "recife", "fortaleza", "salvador"} {
		d.edges = append(d.edges, d.newMachine("edge", "balancer", zone, 10+n))
	}
	for n, zone := range []string{"recife", "recife", "recife", "fortaleza", "fortaleza", "salvador", "salvador"} {
		d.sides = append(d.sides, d.newMachine("side", "agent", zone, 30+n))
	}
	return d, nil
}

// takeNetwork finds a /24 of loopback addresses that no other run uses.
func (d *deployment) takeNetwork() (err error) {
	for range 20 {
		d.net = [3]byte{127, byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
		if d.listener, err = net.Listen("tcp4", netip.AddrPortFrom(d.ip(2), storePort).String()); err == nil {
			return nil
		}
	}
	return err
}

func (d *deployment) newMachine(class, role, zone string, host int) *machine {
	return &machine{d: d, name: fmt.Sprintf("%s-%s-%d", class, zone, host), zone: zone, role: role, ip: d.ip(host), service: lists}
}

func (d *deployment) ip(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{d.net[0], d.net[1], d.net[2], byte(host)})
}

// listRoute and sheetRoute return the addresses of the services for their clients. They are
// no network addresses; packets carry them.
func (d *deployment) listRoute() netip.AddrPort  { return netip.AddrPortFrom(d.ip(201), routePort) }
func (d *deployment) sheetRoute() netip.AddrPort { return netip.AddrPortFrom(d.ip(202), routePort) }

// start starts the store and all programs, with the given number of agents, and waits
// until the balancers are ready.
func (d *deployment) start(agents int) error {
	s := standin.NewStore()
	s.Put("config", "main", d.configuration())
	d.store = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = d.store.Serve(d.listener) }()
	d.sides = d.sides[:agents]
	for _, m := range append(append([]*machine{}, d.edges...), d.sides...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	d.router = newRouter(d)
	for begin := time.Now(); !d.router.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > maxStartTime {
			return fmt.Errorf("balancers are not ready after %v", maxStartTime)
		}
	}
	return nil
}

func (d *deployment) configuration() string {
	const (
		oneRoute = `{"Name":"r-%s","Host":%q,"PathPrefix":"/%d/","Type":%q,"TimeoutMs":%d,"TargetLatencyMs":150,"Priority":2,"Service":%q,"MaxAttempts":2}`
		oneSrv   = `{"Name":%q,"HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false}`
	)
	routeOf := func(service string, a netip.AddrPort) string {
		return fmt.Sprintf(oneRoute, service, a.Addr(), a.Port(), d.kind, d.timeout.Milliseconds(), service)
	}
	return fmt.Sprintf(`{"Version":7,"Routes":[%s,%s],"Services":[%s,%s],"Limits":{"IdleTimeoutMs":15000}}`,
		routeOf(lists, d.listRoute()), routeOf(sheets, d.sheetRoute()), fmt.Sprintf(oneSrv, lists), fmt.Sprintf(oneSrv, sheets))
}

func (m *machine) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

func (m *machine) settings() string {
	d := m.d
	s := fmt.Sprintf("NodeName=%s\nRole=%s\nIp=%s\nZone=%s\nRegion=nordeste\n"+
		"Zones.recife=nordeste\nZones.fortaleza=nordeste\nZones.salvador=nordeste\n"+
		"Listen.DatagramAddr=%s\nListen.Ready=%s\nListen.Control=%s\nInternalPorts=%d,%d\n"+
		"Seeds=%s,%s,%s\nBootstrap=true\nDiscovery=local\nEntry=announce\nHeartbeatMs=%d\n"+
		"Contracts=base,drain,config,cost,recover,flows,platform\n"+
		"Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.StableWindowMs=%d\nBounds.AckMs=5000\nBounds.DrainMs=3000\nBounds.GraceS=6\n"+
		"Bounds.ConfigApplyMs=3000\nBounds.ReorderMs=2000\nBounds.MaxFlowS=60\nHash=steady\nDeploymentMode=agent\n"+
		"platform.Address=%s\nplatform.DeploymentMode=objects\nplatform.WritesPerS=400\nplatform.ReadsPerS=2000\nplatform.HistoryS=20\n",
		m.name, m.role, m.ip, m.zone, m.addr(datagramPort), m.addr(readyPort), m.addr(controlPort), internalPort, internalPort+15,
		d.edges[0].addr(controlPort), d.edges[2].addr(controlPort), d.edges[3].addr(controlPort), heartbeat.Milliseconds(),
		stableWindow.Milliseconds(), netip.AddrPortFrom(d.ip(2), storePort))
	if m.role == "agent" {
		s += fmt.Sprintf("MachineClass=side\nServes=side\nListen.outbound=%s\napp=%s\nService=%s\n", m.addr(outboundPort), m.addr(appPort), m.service)
	} else {
		s += "MachineClass=edge\nServes=edge,control_plane\n"
	}
	return s
}

// start starts the program as the deploy file says.
func (m *machine) start() error {
	path := filepath.Join(m.d.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(program, m.role, "--metrics-port", metricsPortFlag)
	c.Env = []string{"BRAMLEYCOURSE_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH")}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	m.d.record.note("%s starts (process %d)", m.name, c.Process.Pid)
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.exited = c, exited
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// freeze stops the process for a time and continues it.
func (m *machine) freeze(d time.Duration) {
	m.d.record.note("%s freezes", m.name)
	m.signal(syscall.SIGSTOP)
	time.Sleep(d)
	m.signal(syscall.SIGCONT)
	m.mu.Lock()
	m.disruptedAt = time.Now()
	m.mu.Unlock()
	m.d.record.note("%s wakes", m.name)
}

// stall keeps the process from running for a short time.
func (m *machine) stall(d time.Duration) {
	m.signal(syscall.SIGSTOP)
	time.Sleep(d)
	m.signal(syscall.SIGCONT)
}

// stop stops the program as planned.
func (m *machine) stop() {
	m.d.record.note("%s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.d.record.note("%s has ended", m.name)
}

// roll stops the program as planned and starts it again.
func (m *machine) roll() error {
	m.stop()
	time.Sleep(restartDelay)
	m.mu.Lock()
	m.disruptedAt = time.Now()
	m.mu.Unlock()
	return m.start()
}

// inTouch reports whether the machine was not disrupted within the stable window.
func (m *machine) inTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disruptedAt.IsZero() || at.Sub(m.disruptedAt) >= stableWindow
}

// edgeAt returns the balancer that sends from an address, or nil.
func (d *deployment) edgeAt(a netip.Addr) *machine {
	for _, m := range d.edges {
		if m.ip == a {
			return m
		}
	}
	return nil
}

// close ends all processes and removes the folder. LATE_KEEP keeps it.
func (d *deployment) close() {
	if d.router != nil {
		close(d.router.done)
	}
	for _, m := range append(append([]*machine{}, d.edges...), d.sides...) {
		if m.cmd != nil {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	if d.store != nil {
		_ = d.store.Close()
	}
	_ = d.record.file.Close()
	if os.Getenv("LATE_KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
