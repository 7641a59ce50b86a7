package itest

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/load"
	"github.com/bramleycourse/bramleycourse/internal/stub"
)

const (
	overloadAgents = 2
	overloadSlots  = 4
	overloadWork   = 20 * time.Millisecond
	// overloadCapacity is the theoretical capacity in requests per second.
	overloadCapacity = float64(overloadAgents*overloadSlots) / 0.020

	baseCallers, surgeCallers = 8, 24
	// The load is 3 times the capacity for surgeSeconds, then 0.5 times for
	// recoverySeconds.
	surgeSeconds, recoverySeconds = 6, 6
	// goodputSeconds is the last part of the surge, in which goodput is measured.
	goodputSeconds = 4
	capacityTime   = 2 * time.Second
	// settleSeconds is the time after the surge during which requests may still fail.
	settleSeconds = 3
	maxAgentBytes = 256 << 20
)

// TestOverload guards goodput under overload and recovery after it. The base load is
// half the capacity, to which a surge adds 2.5 times the capacity.
func TestOverload(t *testing.T) {
	d := Declaration(overloadSlots, "listas")
	s := NewDeployment(NewCluster(t, binary), d, 2, map[string]int{"listas": overloadAgents})
	var stubs []string
	for _, a := range s.Agents["listas"] {
		a.Stub.SetSettings(stub.Settings{WorkMillis: float64(overloadWork.Milliseconds())})
		stubs = append(stubs, a.stubSrv.URL)
	}
	capacity := measureCapacity(stubs)
	surges := make(chan *load.Result, 1)
	go func() { surges <- s.runLoad(stubs, surgeCallers, 2.5*overloadCapacity, surgeSeconds, 1) }()
	base := s.runLoad(stubs, baseCallers, 0.5*overloadCapacity, surgeSeconds+recoverySeconds, 2)
	surge := <-surges
	if base == nil || surge == nil {
		t.FailNow()
	}
	checkGoodput(t, base, surge, (capacity+measureCapacity(stubs))/2)
	checkRecovery(t, base)
	for name, r := range map[string]*load.Result{"base": base, "surge": surge} {
		t.Logf("%s: requests %d, answered %d, not run %d, late %d, unknown %d, retries %d, flows %d",
			name, r.Requests, r.Services["listas"].Latency[load.Short].Count, r.NotRun, r.Late, r.Unknown, r.Retries, r.Flows)
		if r.Failed() || r.Unknown != 0 || r.Overruns != 0 {
			t.Errorf("%s: want every request answered, refused as not run or late, have %+v", name, r)
		}
	}
	checkRetries(t, base, baseCallers, surgeSeconds+recoverySeconds)
	checkRetries(t, surge, surgeCallers, surgeSeconds)
	for _, a := range s.Agents["listas"] {
		n := peakResidentBytes(t, a)
		t.Logf("%s: %d MB resident", a.Name, n>>20)
		if n > maxAgentBytes {
			t.Errorf("%s: want at most %d bytes resident, have %d", a.Name, maxAgentBytes, n)
		}
	}
}

// measureCapacity measures the requests per second that the upstreams serve without
// bramleycourse, with one direct caller per slot.
func measureCapacity(stubs []string) float64 {
	var (
		all      sync.WaitGroup
		answered atomic.Int64
	)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(capacityTime)
	for i := range overloadAgents * overloadSlots {
		all.Go(func() {
			for time.Now().Before(end) {
				resp, err := client.Get(stubs[i%len(stubs)] + "/short")
				if err == nil {
					resp.Body.Close()
					answered.Add(1)
				}
			}
		})
	}
	all.Wait()
	return float64(answered.Load()) / capacityTime.Seconds()
}

// runLoad sends short requests at a fixed rate (open loop), each with a deadline of
// one second.
func (s *Deployment) runLoad(stubs []string, callers int, rate float64, seconds int, seed uint64) *load.Result {
	r, err := load.Run(s.T.Context(), load.Config{
		Targets:  []load.Target{{Service: "listas", Addr: s.Fabrics["listas"].Addr(), Mix: load.Mix{Shorts: callers, ShortRate: rate}}},
		Duration: time.Duration(seconds) * time.Second, Timeout: time.Second,
		Seed: seed, TLS: s.CallerTLS(), Stubs: stubs,
	})
	if err != nil {
		s.T.Error(err)
	}
	return r
}

// checkGoodput compares goodput with the capacity measured in the same run, because
// 20 ms of work take longer on a busy machine. It leaves out the first two seconds,
// in which the queues fill.
func checkGoodput(t *testing.T, base, surge *load.Result, capacity float64) {
	t.Helper()
	answered := 0
	for i := surgeSeconds - goodputSeconds; i < surgeSeconds; i++ {
		t.Logf("second %d: base %+v, surge %+v", i, base.Seconds[i], surge.Seconds[i])
		answered += base.Seconds[i].Answered + surge.Seconds[i].Answered
	}
	goodput := float64(answered) / goodputSeconds
	t.Logf("goodput %.0f/s of %.0f/s measured without bramleycourse and %.0f/s in theory", goodput, capacity, overloadCapacity)
	if goodput < 0.9*capacity {
		t.Errorf("want a goodput of at least 0.9 of the capacity, have %.3f", goodput/capacity)
	}
}

func checkRecovery(t *testing.T, base *load.Result) {
	for i, v := range base.Seconds[surgeSeconds:] {
		t.Logf("second %d after the surge: %+v", i, v)
		if i >= settleSeconds && v.NotRun+v.Unknown+v.Late > 0 {
			t.Errorf("want no failure from second %d after the surge, have %+v in second %d", settleSeconds, v, i)
		}
	}
}

// checkRetries checks that the retries are within the default budget of the callers:
// 10% of the requests, plus one per second and a burst of 10 for each caller.
func checkRetries(t *testing.T, r *load.Result, callers, seconds int) {
	limit := r.Requests/10 + callers*(seconds+1+10)
	if r.Retries > uint64(limit) {
		t.Errorf("want at most %d retries, have %d", limit, r.Retries)
	}
}

// peakResidentBytes returns the highest resident memory of a process so far.
func peakResidentBytes(t *testing.T, p *Process) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	var kB int
	if _, err := fmt.Sscan(rest, &kB); err != nil {
		t.Fatalf("peak resident memory of %s: %v", p.Name, err)
	}
	return kB << 10
}
