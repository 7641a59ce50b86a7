package queue

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

func key(n int) flow.Key { return flow.Key{0: byte(n), 1: byte(n >> 8), 2: byte(n >> 16)} }

// TestOrder guards the order in which waiting callers are served, and that
// packets which cannot meet their deadline leave at once.
func TestOrder(t *testing.T) {
	const ms = time.Millisecond
	pace := Pace{Work: 40 * ms, Handshake: 10 * ms}
	datadriven.RunTest(t, "testdata/order", func(t *testing.T, d *datadriven.TestData) string {
		var limit, at int
		d.ScanArgs(t, "limit", &limit)
		d.ScanArgs(t, "at", &at)
		q := New(limit)
		now := time.Duration(at) * ms
		var out []string
		for n, line := range strings.Split(d.Input, "\n") {
			var began, attempt, objective, deadline int
			var priority uint8
			if _, err := fmt.Sscanf(line, "began=%d attempt=%d objective=%d deadline=%d priority=%d",
				&began, &attempt, &objective, &deadline, &priority); err != nil {
				t.Fatalf("line %q: %v", line, err)
			}
			i := Item{
				Key: key(n + 1), Began: time.Duration(began) * ms, Attempt: time.Duration(attempt) * ms,
				Objective: time.Duration(objective) * ms, Deadline: time.Duration(deadline) * ms, Priority: priority,
			}
			if e := q.Put(now, &i, pace); e != nil {
				out = append(out, fmt.Sprintf("evicted %d", e.Key[0]))
			}
		}
		if d.HasArg("until") {
			d.ScanArgs(t, "until", &at)
			now = time.Duration(at) * ms
		}
		for _, i := range q.Expired(now, pace) {
			out = append(out, fmt.Sprintf("expired %d %s", i.Key[0], i.Expired))
		}
		for i := q.Next(now, pace, false); i != nil; i = q.Next(now, pace, false) {
			out = append(out, fmt.Sprintf("next %d", i.Key[0]))
		}
		return strings.Join(out, "\n")
	})
}

// TestInTime guards placement: packets that are late already do not keep a new one
// waiting, so they are no part of the depth.
func TestInTime(t *testing.T) {
	const ms = time.Millisecond
	pace := Pace{Work: 40 * ms, Handshake: 10 * ms}
	q := New(8)
	for n := range 3 {
		q.Put(0, &Item{Key: key(n), Began: -time.Duration(n) * 100 * ms, Objective: 250 * ms, Deadline: 1500 * ms}, pace)
	}
	for _, c := range []struct {
		now  time.Duration
		want int
	}{{0, 2}, {100 * ms, 1}, {200 * ms, 0}} {
		if have := q.InTime(c.now, pace); have != c.want {
			t.Errorf("after %v: want %d packets in time, have %d", c.now, c.want, have)
		}
	}
}

// played is what callers got in a play.
type played struct{ asked, inTime, late, failed int }

// play plays a burst on one upstream: requests arrive at the given multiple of
// its capacity from 1 to 3 s, and at 0.7 of it before and after. A queue that is
// not told the objective serves them first come, first served until their deadline.
func play(seed uint64, burst float64, told bool) played {
	const (
		slots     = 3
		work      = 40 * time.Millisecond
		objective = 250 * time.Millisecond
		deadline  = 1500 * time.Millisecond
		step      = time.Millisecond
		length    = 6 * time.Second
	)
	r := rand.New(rand.NewPCG(seed, 1))
	pace := Pace{Work: work, Handshake: 10 * time.Millisecond}
	q := New(1 << 20)
	var free [slots]time.Duration
	var result played
	for now := time.Duration(0); now < length; now += step {
		load := 0.7
		if now >= time.Second && now < 3*time.Second {
			load = burst
		}
		for expected := load * slots * float64(step) / float64(work); expected > 0; expected-- {
			if r.Float64() < expected {
				result.asked++
				i := Item{Key: key(result.asked), Began: now, Attempt: now, Deadline: deadline}
				if told {
					i.Objective = objective
				}
				q.Put(now, &i, pace)
			}
		}
		result.failed += len(q.Expired(now, pace))
		for n := range free {
			if free[n] > now {
				continue
			}
			i := q.Next(now, pace, false)
			if i == nil {
				break
			}
			took := time.Duration(float64(work) * (0.5 + r.Float64()))
			free[n] = now + took
			switch total := now + took - i.Began; {
			case total <= objective:
				result.inTime++
			case total <= deadline:
				result.late++
			default:
				result.failed++
			}
		}
	}
	return result
}

// TestBurst plays a burst of 1.5 times the capacity. First come, first served
// makes most requests late; the queue must serve the callers of the burst at
// least three quarters as well as the capacity allows, and nobody worse in a
// load that fits.
func TestBurst(t *testing.T) {
	for seed := range uint64(8) {
		have := play(seed, 1.5, true)
		first := play(seed, 1.5, false)
		// During the burst a third of the requests cannot be served in time.
		excess := int(0.5 * 2 * 3 / 0.04)
		if want := (have.asked - excess) * 3 / 4; have.inTime < want {
			t.Errorf("seed %d: want %d of %d in time, have %+v", seed, want, have.asked, have)
		}
		if have.inTime <= first.inTime {
			t.Errorf("seed %d: want more in time than first come, first served, have %+v and %+v", seed, have, first)
		}
		if calm, base := play(seed, 0.7, true), play(seed, 0.7, false); calm.inTime < base.inTime {
			t.Errorf("seed %d: a load that fits: want %+v, have %+v", seed, base, calm)
		}
	}
}
