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

// TestOrder checks the order in which waiting packets are served, and that packets
// which cannot meet their deadline expire at once.
func TestOrder(t *testing.T) {
	const ms = time.Millisecond
	times := ServiceTimes{Work: 40 * ms, Handshake: 10 * ms}
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
			if e := q.Put(now, &i, times); e != nil {
				out = append(out, fmt.Sprintf("evicted %d", e.Key[0]))
			}
		}
		if d.HasArg("until") {
			d.ScanArgs(t, "until", &at)
			now = time.Duration(at) * ms
		}
		for _, i := range q.Expired(now, times) {
			out = append(out, fmt.Sprintf("expired %d %s", i.Key[0], i.Expired))
		}
		for i := q.Next(now, times, always); i != nil; i = q.Next(now, times, always) {
			out = append(out, fmt.Sprintf("next %d", i.Key[0]))
		}
		return strings.Join(out, "\n")
	})
}

// always lets the upstream take each packet.
func always(*Item) bool { return true }

// TestCountInTime checks that late packets are not counted. New packets are served
// before them, so they must not add to the depth that placement compares.
func TestCountInTime(t *testing.T) {
	const ms = time.Millisecond
	times := ServiceTimes{Work: 40 * ms, Handshake: 10 * ms}
	q := New(8)
	for n := range 3 {
		q.Put(0, &Item{Key: key(n), Began: -time.Duration(n) * 100 * ms, Objective: 250 * ms, Deadline: 1500 * ms}, times)
	}
	for _, c := range []struct {
		now  time.Duration
		want int
	}{{0, 2}, {100 * ms, 1}, {200 * ms, 0}} {
		if have := q.CountInTime(c.now, times); have != c.want {
			t.Errorf("after %v: want %d packets in time, have %d", c.now, c.want, have)
		}
	}
}

// TestPatient checks that a request whose deadline leaves time for another attempt waits
// for the whole of this one, and others for a part of their objective.
func TestPatient(t *testing.T) {
	const ms = time.Millisecond
	times := ServiceTimes{Work: 40 * ms, Handshake: 10 * ms}
	q := New(8)
	for n, patient := range []bool{false, true} {
		q.Put(0, &Item{Key: key(n), Objective: 250 * ms, Deadline: 10 * time.Second, Patient: patient}, times)
	}
	for _, c := range []struct {
		now  time.Duration
		want int
	}{{100 * ms, 0}, {200 * ms, 1}, {1300 * ms, 0}, {1400 * ms, 1}} {
		if have := len(q.Expired(c.now, times)); have != c.want {
			t.Errorf("after %v: want %d expired, have %d", c.now, c.want, have)
		}
	}
}

// TestByObjective checks the order in overload if the queue only gets what it can serve:
// the packet whose objective ends first, which the newest one is without that.
func TestByObjective(t *testing.T) {
	const ms = time.Millisecond
	times := ServiceTimes{Work: 40 * ms, Handshake: 10 * ms}
	for _, byObjective := range []bool{false, true} {
		q := New(8)
		q.ByObjective = byObjective
		for n, i := range []Item{{Began: -400 * ms, Objective: 250 * ms}, {Began: -30 * ms, Objective: 800 * ms}, {Objective: 250 * ms}, {Objective: 800 * ms}} {
			i.Key, i.Deadline = key(n), 1500*ms
			q.Put(0, &i, times)
		}
		for end, want := range map[time.Duration]int{200 * ms: 0, 300 * ms: 1, time.Second: 3} {
			if have := q.CountAhead(0, times, 0, end); have != want {
				t.Errorf("want %d requests before one whose objective ends in %v, have %d", want, end, have)
			}
		}
		if have := q.Next(0, times, always).Key == key(2); have != byObjective {
			t.Errorf("by objective %v: that which ends first is served first: %v", byObjective, have)
		}
	}
}

// burstResult counts the requests of a simulated burst by their outcome.
type burstResult struct{ requests, inTime, late, failed int }

// simulate simulates a burst at one upstream. Requests arrive at the given multiple of
// its capacity from 1 to 3 s, and at 0.7 of its capacity before and after. Without
// objectives the queue serves them first come, first served until their deadline.
func simulate(seed uint64, burst float64, useObjective bool) burstResult {
	const (
		slots     = 3
		work      = 40 * time.Millisecond
		objective = 250 * time.Millisecond
		deadline  = 1500 * time.Millisecond
		step      = time.Millisecond
		length    = 6 * time.Second
	)
	r := rand.New(rand.NewPCG(seed, 1))
	times := ServiceTimes{Work: work, Handshake: 10 * time.Millisecond}
	q := New(1 << 20)
	var free [slots]time.Duration
	var result burstResult
	for now := time.Duration(0); now < length; now += step {
		load := 0.7
		if now >= time.Second && now < 3*time.Second {
			load = burst
		}
		for expected := load * slots * float64(step) / float64(work); expected > 0; expected-- {
			if r.Float64() < expected {
				result.requests++
				i := Item{Key: key(result.requests), Began: now, Attempt: now, Deadline: deadline}
				if useObjective {
					i.Objective = objective
				}
				q.Put(now, &i, times)
			}
		}
		result.failed += len(q.Expired(now, times))
		for n := range free {
			if free[n] > now {
				continue
			}
			i := q.Next(now, times, always)
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

// TestBurst simulates a burst of 1.5 times the capacity. First come, first served would
// make most requests late. The queue must serve at least three quarters of what the
// capacity allows in time, and no fewer than first come, first served at a load below
// the capacity.
func TestBurst(t *testing.T) {
	for seed := range uint64(8) {
		have := simulate(seed, 1.5, true)
		fifo := simulate(seed, 1.5, false)
		// The capacity is too small for a third of the requests of the burst.
		excess := int(0.5 * 2 * 3 / 0.04)
		if want := (have.requests - excess) * 3 / 4; have.inTime < want {
			t.Errorf("seed %d: want %d of %d in time, have %+v", seed, want, have.requests, have)
		}
		if have.inTime <= fifo.inTime {
			t.Errorf("seed %d: want more in time than first come, first served, have %+v and %+v", seed, have, fifo)
		}
		if calm, base := simulate(seed, 0.7, true), simulate(seed, 0.7, false); calm.inTime < base.inTime {
			t.Errorf("seed %d: load below the capacity: want at least %+v, have %+v", seed, base, calm)
		}
	}
}
