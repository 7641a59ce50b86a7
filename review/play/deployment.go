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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

// Figures of the small deployment listaobra-ne.
const (
	heartbeatInterval = 770 * time.Millisecond
	stableWindow      = 4 * time.Second
	drainBound        = 3 * time.Second
	configBound       = 3 * time.Second
	reuseAfter        = 2 * time.Second
	metricsPort       = 9180
	// usualRestartDelay is the short delay after which the platform starts a process
	// again, as the bench has it.
	usualRestartDelay = 500 * time.Millisecond
	storeHost         = 250
)

// ports are the ports of a play; they are the same on all machines.
type ports struct{ flow, outbound, app, control, ready, internal, store uint16 }

// deployment holds the processes under test and the stand-in of the store.
type deployment struct {
	dir, binary string
	// a and b are the middle octets of the loopback addresses 127.a.b.0/24 of a play.
	a, b      byte
	ports     ports
	store     *standin.Store
	storeHTTP *http.Server
	rec       *record
	// restartDelay is the time from the end of a process to its next start.
	restartDelay time.Duration
	mu           sync.Mutex
	processes    []*process
}

// machine is one machine of the deployment with the process that runs there.
type machine struct {
	name, zone, role, service string
	host                      byte
}

// process is a balancer or an agent.
type process struct {
	machine
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newDeployment(rec *record, binary string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, binary: binary, rec: rec, store: standin.NewStore(), restartDelay: usualRestartDelay}
	for range 50 {
		d.a, d.b = byte(64+rand.IntN(128)), byte(1+rand.IntN(250))
		first := uint16(20000 + rand.IntN(12000))
		d.ports = ports{first, first + 1, first + 2, first + 3, first + 4, first + 10, first + 40}
		l, err := net.Listen("tcp4", d.addr(storeHost, d.ports.store).String())
		if err != nil {
			continue
		}
		d.storeHTTP = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
		go func() { _ = d.storeHTTP.Serve(l) }()
		return d, nil
	}
	return nil, fmt.Errorf("no free loopback address found")
}

// addr returns an address of a machine.
func (d *deployment) addr(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.a, d.b, host}), port)
}

// writeSettings writes the settings file of a machine, with the fields that the platform
// writes for a small deployment.
func (d *deployment) writeSettings(m machine, path string, seeds []byte) error {
	at := func(port uint16) string { return d.addr(m.host, port).String() }
	class := "edge"
	if m.role == "agent" {
		class = "side"
	}
	var seedAddrs []string
	for _, h := range seeds {
		seedAddrs = append(seedAddrs, d.addr(h, d.ports.control).String())
	}
	lines := []string{
		"NodeName=" + m.name, "Role=" + m.role, "MachineClass=" + class, "Serves=" + class,
		"Ip=" + d.addr(m.host, 0).Addr().String(), "Zone=" + m.zone, "Region=nordeste",
		"Zones.recife=nordeste", "Zones.fortaleza=nordeste", "Zones.salvador=nordeste",
		"Listen.DatagramAddr=" + at(d.ports.flow), "Listen.Ready=" + at(d.ports.ready), "Listen.Control=" + at(d.ports.control),
		fmt.Sprintf("InternalPorts=%d,%d", d.ports.internal, d.ports.internal+15), "Seeds=" + strings.Join(seedAddrs, ","),
		"Bootstrap=true", "Discovery=local", "Entry=announce", "HeartbeatMs=770", "Contracts=base,drain,config,cost,recover,flows,platform",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.StableWindowMs=4000", "Bounds.AckMs=5000", "Bounds.DrainMs=3000",
		"Bounds.GraceS=6", "Bounds.ConfigApplyMs=3000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=12000",
		"Bounds.RecoveryS=12", "Bounds.ReorderMs=2000", "Bounds.MaxFlowS=60", "Hash=steady", "DeploymentMode=agent",
		"platform.Address=" + d.addr(storeHost, d.ports.store).String(), "platform.DeploymentMode=objects",
		"platform.WritesPerS=400", "platform.ReadsPerS=2000", "platform.HistoryS=20", "platform.MaxValueBytes=1048576",
	}
	if m.role == "agent" {
		lines = append(lines, "Listen.outbound="+at(d.ports.outbound), "app="+at(d.ports.app), "Service="+m.service)
	}
	return os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m machine, seeds []byte) (*process, error) {
	p := &process{machine: m, settings: filepath.Join(d.dir, m.name+".conf")}
	if err := d.writeSettings(m, p.settings, seeds); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p, d.launch(p)
}

func (d *deployment) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.binary, p.role, "--metrics-port", fmt.Sprint(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BRAMLEYCOURSE_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	p.cmd, p.ended = cmd, ended
	d.mu.Unlock()
	d.rec.add("process %s started, pid %d", p.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends a process for good, as a loss of its machine does.
func (d *deployment) kill(p *process) {
	d.rec.add("process %s gets SIGKILL", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// restart stops a process as planned and starts it again after the platform's delay.
func (d *deployment) restart(p *process) error {
	d.rec.add("process %s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		d.kill(p)
	}
	d.rec.add("process %s has ended", p.name)
	time.Sleep(d.restartDelay)
	return d.launch(p)
}

// stop ends everything that the play started.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	_ = d.storeHTTP.Close()
	_ = os.RemoveAll(d.dir)
}

// putConfig writes the operator's configuration. The time of the return is that of the
// acknowledgement.
func (d *deployment) putConfig(version int, routes ...route) {
	var rs []string
	for _, r := range routes {
		rs = append(rs, r.json())
	}
	spec := fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"listas","HealthPath":"/health","MaxConns":2000},`+
		`{"Name":"fichas","HealthPath":"/health","MaxConns":2000}],"Limits":{"IdleTimeoutMs":15000}}`, version, strings.Join(rs, ","))
	d.store.Put("config", "main", spec)
	d.rec.add("operator: version %d is acknowledged: %s", version, strings.Join(rs, " "))
}

// route is a route of the operator's configuration.
type route struct {
	name, kind, service           string
	addr                          netip.AddrPort
	timeoutMs, targetMs, priority int
}

func (r route) json() string {
	return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":"/%d/","Type":%q,"TimeoutMs":%d,"TargetLatencyMs":%d,"Priority":%d,"Service":%q,"MaxAttempts":2}`,
		r.name, r.addr.Addr(), r.addr.Port(), r.kind, r.timeoutMs, r.targetMs, r.priority, r.service)
}

// The routes of listaobra-ne. Their addresses stand in packets only; nothing is sent there.
var (
	feedRoute  = route{"feed-precos", "idempotent", "listas", netip.MustParseAddrPort("127.200.0.1:8443"), 1000, 150, 2}
	sheetRoute = route{"ficha-projeto", "download", "fichas", netip.MustParseAddrPort("127.200.0.2:8443"), 3000, 500, 2}
)
