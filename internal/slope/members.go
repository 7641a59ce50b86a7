package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// maxSeeds bounds the number of balancers that a process knows at its start.
const maxSeeds = 8

// balancer is a balancer process.
type balancer struct {
	admin string
	cmd   *exec.Cmd
	ended chan struct{}
	// generation is the latest one in force according to the log.
	generation atomic.Uint64
}

// seedAddrs returns the peer addresses that a new process is configured with.
func (s *cluster) seedAddrs() []string {
	var ps []string
	for i := range min(len(s.balancers), maxSeeds) {
		ps = append(ps, s.addrs.balancer(i, peerPort).String())
	}
	return ps
}

// startBalancer starts a process with its own settings file.
func (s *cluster) startBalancer() error {
	i := len(s.balancers)
	set := config.Balancer{
		Name: fmt.Sprintf("b%d", i), Place: string(placeName(i)), CallerIP: s.addrs.at(0, i).String(),
		HopAddress:   s.addrs.balancer(i, hopPort).String(),
		PeerAddress:  s.addrs.balancer(i, peerPort).String(),
		AdminAddress: s.addrs.balancer(i, adminPort).String(),
		ConfigName:   configName, Peers: s.seedAddrs(), AgentNetworks: []string{"127.0.0.0/8"},
		KeysFile: s.keysFile, Platform: config.Platform{URL: s.url},
	}
	v, err := json.Marshal(set)
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, set.Name+".json")
	if err := os.WriteFile(file, v, 0o600); err != nil {
		return err
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	b := &balancer{admin: set.AdminAddress, cmd: exec.Command(binary, "balancer", file), ended: make(chan struct{})}
	log, err := b.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	s.balancers = append(s.balancers, b)
	go b.readLog(log)
	return nil
}

var configInForce = regexp.MustCompile(`configuration in force.*generation=(\d+)`)

// readLog reads the log of the process until it ends.
func (b *balancer) readLog(log io.Reader) {
	defer close(b.ended)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if m := configInForce.FindStringSubmatch(lines.Text()); m != nil {
			g, _ := strconv.ParseUint(m[1], 10, 64)
			b.generation.Store(g)
		}
	}
}

// kill kills the process and waits for it.
func (b *balancer) kill() {
	b.cmd.Process.Kill()
	<-b.ended
	b.cmd.Wait()
}

// cpuTime returns the total CPU time of all balancers.
func (s *cluster) cpuTime() time.Duration {
	var sum time.Duration
	for _, b := range s.balancers {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", b.cmd.Process.Pid))
		for _, f := range files {
			v, _ := os.ReadFile(f)
			ran, _, _ := strings.Cut(string(v), " ")
			ns, _ := strconv.ParseInt(ran, 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// residentBytes returns the total resident set size of all balancers.
func (s *cluster) residentBytes() float64 {
	sum := 0.0
	for _, b := range s.balancers {
		v, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
		for line := range strings.Lines(string(v)) {
			if f := strings.Fields(line); f[0] == "VmRSS:" {
				kib, _ := strconv.ParseFloat(f[1], 64)
				sum += kib * 1024
			}
		}
	}
	return sum
}

// agent is a simulated agent. Its generation is the latest one received.
type agent struct{ generation atomic.Uint64 }

// startAgent starts a simulated agent that keeps sessions and a platform object and
// answers probes, until the context ends.
func (s *cluster) startAgent(ctx context.Context, i int) error {
	e := s.addrs.entry(i, s.Services)
	if err := s.answerProbes(ctx, e); err != nil {
		return err
	}
	a := &agent{}
	p := peer.NewClient(peer.ClientOptions{Self: e, Seeds: s.seedAddrs(), OnConfig: func(value []byte) {
		var o struct{ Generation ident.Generation }
		if json.Unmarshal(value, &o) == nil {
			a.generation.Store(max(a.generation.Load(), uint64(o.Generation)))
		}
	}})
	go p.Run(ctx)
	k := plat.NewKeeper(s.client, plat.KindEndpoint, fmt.Sprintf("a%d", i))
	k.Set(func(writer string) any { return endpointObject{e, writer} })
	go k.Run(ctx)
	s.agents = append(s.agents, a)
	return nil
}

// endpointObject is the platform object of an agent.
type endpointObject struct {
	view.Entry
	Writer string `json:"writer"`
}

// answerProbes answers probes at the address of an endpoint until the context ends.
func (s *cluster) answerProbes(ctx context.Context, e view.Entry) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.Key.Hop))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { c.Close() })
	reply := encap.Header{Kind: encap.ProbeAnswer, Service: ident.TagOf(e.Service), Instance: e.Key.Instance}
	go func() {
		var buf [256]byte
		for {
			n, from, err := c.ReadFromUDPAddrPort(buf[:])
			if err != nil {
				return
			}
			var h encap.Header
			if _, fault := h.Parse(s.keys, buf[:n]); fault != encap.FaultNone || h.Kind != encap.Probe {
				continue
			}
			s.probes.Add(1)
			p := make([]byte, reply.Size()+1)
			reply.Put(s.keys.Current, p)
			c.WriteToUDPAddrPort(p, from)
		}
	}()
	return nil
}
