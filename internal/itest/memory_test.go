package itest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// memoryFeeds is the number of open feeds of one upstream at the target size.
	memoryFeeds = 2000
	// maxResidentBytes is the target for an agent with 2,000 connections: 256 MiB.
	maxResidentBytes = 256 << 20
	// clockTick is the unit of CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
)

// TestFeedMemory guards the resident memory of an agent with as many feeds as an
// upstream may have, and logs its CPU time per event.
func TestFeedMemory(t *testing.T) {
	c := NewCluster(t, binary)
	d := Declaration(4, "listas")
	d.Services[0].Limits.Connections = 2 * memoryFeeds
	s := NewDeployment(c, d, 1, map[string]int{"listas": 1})
	feeds := s.OpenFeeds(s.Client(), "listas", memoryFeeds, 500*time.Millisecond)
	p := s.Agents["listas"][0].cmd.Process.Pid
	before, used := feeds.Report().Events, cpuTime(t, p)
	var resident uint64
	for range 10 {
		time.Sleep(time.Second)
		resident = max(resident, residentBytes(t, p))
	}
	r := feeds.Report()
	events, cpu := r.Events-before, cpuTime(t, p)-used
	t.Logf("GOGC %q: %d bytes resident, %d events, %v of CPU time, %v per event",
		os.Getenv("GOGC"), resident, events, cpu, cpu/time.Duration(max(events, 1)))
	if resident > maxResidentBytes {
		t.Errorf("want at most %d bytes resident, have %d", maxResidentBytes, resident)
	}
	if len(r.Faults) > 0 || r.Breaks > 0 || events < memoryFeeds {
		t.Errorf("want events of every feed and no break, have %d, %d breaks and %v", events, r.Breaks, r.Faults)
	}
	feeds.Close()
}

// residentBytes returns the current resident memory of a process.
func residentBytes(t *testing.T, pid int) uint64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	n, err := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n << 10
}

// cpuTime returns the user and system CPU time of a process.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The first field after the name in parentheses is the third of proc(5), so f[11]
	// and f[12] are utime and stime.
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * clockTick
}
