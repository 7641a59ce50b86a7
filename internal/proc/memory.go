package proc

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	memoryInterval = time.Second
	// maxGCPercent is the default of the Go runtime.
	maxGCPercent = 100
	// minGCPercent bounds the processor time that collection takes. With 2,000
	// feeds an agent used 128 µs for each event at 10 and 119 µs at 20.
	minGCPercent = 10
)

// KeepMemory returns a duty that lowers the garbage collector target as memory
// use comes near a budget in octets. A memory limit of the runtime is no
// substitute: when what is live exceeds it, the collector runs all the time.
func KeepMemory(budget uint64) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		t := time.NewTicker(memoryInterval)
		defer t.Stop()
		samples := []metrics.Sample{
			{Name: "/gc/heap/live:bytes"},
			{Name: "/memory/classes/heap/stacks:bytes"},
			{Name: "/memory/classes/metadata/other:bytes"},
		}
		for {
			metrics.Read(samples)
			live := samples[0].Value.Uint64()
			other := samples[1].Value.Uint64() + samples[2].Value.Uint64()
			debug.SetGCPercent(gcPercent(budget, live, other))
			select {
			case <-t.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// gcPercent returns the collector target at which the heap stays in what the
// budget leaves beside the other memory.
func gcPercent(budget, live, other uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	if budget <= live+other {
		return minGCPercent
	}
	room := (budget - live - other) * 100 / live
	return int(min(max(room, minGCPercent), maxGCPercent))
}
