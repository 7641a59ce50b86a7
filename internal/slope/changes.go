package slope

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// countCalls runs f and reports the platform calls made meanwhile.
func (s *cluster) countCalls(what string, f func() error) error {
	before := s.store.Counts()
	if err := f(); err != nil {
		return err
	}
	for k, n := range s.store.Counts() {
		s.report.add(s.run, "platform "+k+" calls per "+what, float64(n-before[k]))
	}
	return nil
}

// measureJoins measures the start of single agents.
func (s *cluster) measureJoins(ctx context.Context) error {
	// State dumps of the large views with listed endpoints would take longer than
	// the change.
	if s.Listed > 0 {
		return nil
	}
	for range changeCount {
		err := s.countCalls("membership change", func() error {
			begin := time.Now()
			if err := s.startAgent(ctx, len(s.agents)); err != nil {
				return err
			}
			err := s.waitUsable(ctx, len(s.agents), pollSlow)
			s.report.add(s.run, "new agent usable on all balancers ms", millis(time.Since(begin)))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureConfig measures changes of the configuration. The logs of the balancers
// tell which configuration is in force.
func (s *cluster) measureConfig(ctx context.Context) error {
	before, err := s.samples()
	if err != nil {
		return err
	}
	for i := range changeCount {
		g := ident.Generation(i + 2)
		err := s.countCalls("configuration change", func() error {
			begin := time.Now()
			cpu := s.cpuTime()
			if err := s.applyConfig(ctx, g); err != nil {
				return err
			}
			var balancers time.Duration
			err := waitUntil(ctx, pollFast, "the configuration in force", func() bool {
				if balancers == 0 && s.balancersHave(g) {
					balancers = time.Since(begin)
				}
				return balancers > 0 && s.agentsHave(g)
			})
			s.report.add(s.run, "configuration on all balancers ms", millis(balancers))
			s.report.add(s.run, "configuration on all balancers and agents ms", millis(time.Since(begin)))
			sleep(ctx, time.Second)
			s.report.add(s.run, "CPU ms per configuration and balancer, with 1 s idle", 1e3*(s.cpuTime()-cpu).Seconds()/float64(len(s.balancers)))
			return err
		})
		if err != nil {
			return err
		}
	}
	after, err := s.samples()
	if err != nil {
		return err
	}
	sent := 0.0
	for i := range after {
		sent += float64(after[i].state.Peers.Traffic.Sent["config"] - before[i].state.Peers.Traffic.Sent["config"])
	}
	s.report.add(s.run, "sent config B per change and balancer", sent/changeCount/float64(len(after)))
	return nil
}

// balancersHave reports whether all balancers have a generation or a later one in
// force.
func (s *cluster) balancersHave(g ident.Generation) bool {
	for _, b := range s.balancers {
		if b.generation.Load() < uint64(g) {
			return false
		}
	}
	return true
}

// agentsHave reports whether all agents have received a generation or a later one.
func (s *cluster) agentsHave(g ident.Generation) bool {
	for _, a := range s.agents {
		if a.generation.Load() < uint64(g) {
			return false
		}
	}
	return true
}

// measureMassJoin measures many agents that start at the same time.
func (s *cluster) measureMassJoin(ctx context.Context) error {
	if s.Joining == 0 {
		return nil
	}
	return s.countCalls(fmt.Sprintf("%d agents at once", s.Joining), func() error {
		want := len(s.agents) + s.Listed + s.Joining
		cpu, begin := s.cpuTime(), time.Now()
		for range s.Joining {
			if err := s.startAgent(ctx, len(s.agents)+s.Listed); err != nil {
				return err
			}
		}
		err := s.waitUsable(ctx, want, 10*pollSlow)
		s.report.add(s.run, fmt.Sprintf("%d agents usable on all balancers ms", s.Joining), millis(time.Since(begin)))
		s.report.add(s.run, fmt.Sprintf("CPU ms per balancer for %d agents, with state dumps", s.Joining), 1e3*(s.cpuTime()-cpu).Seconds()/float64(len(s.balancers)))
		return err
	})
}
