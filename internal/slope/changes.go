package slope

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// calls runs f and reports the platform calls that it caused.
func (s *site) calls(what string, f func() error) error {
	before := s.store.Counts()
	if err := f(); err != nil {
		return err
	}
	for k, n := range s.store.Counts() {
		s.report.add(s.run, "platform "+k+" calls per "+what, float64(n-before[k]))
	}
	return nil
}

// members measures single agents that start.
func (s *site) members(ctx context.Context) error {
	// State dumps of large views would take longer than the change.
	if s.Listed > 0 {
		return nil
	}
	for range changes {
		err := s.calls("membership change", func() error {
			begin := time.Now()
			if err := s.startAgent(ctx, len(s.agents)); err != nil {
				return err
			}
			err := s.settled(ctx, len(s.agents), pollSlow)
			s.report.add(s.run, "new agent usable on all balancers ms", ms(time.Since(begin)))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// configure measures changes of the configuration. Balancers tell by their
// logs that one is in force.
func (s *site) configure(ctx context.Context) error {
	before, err := s.samples()
	if err != nil {
		return err
	}
	for i := range changes {
		g := ident.Generation(i + 2)
		err := s.calls("configuration change", func() error {
			begin := time.Now()
			cpu := s.cpu()
			if err := s.apply(ctx, g); err != nil {
				return err
			}
			var balancers time.Duration
			err := await(ctx, pollFast, "the configuration in force", func() bool {
				if balancers == 0 && s.balancersAt(g) {
					balancers = time.Since(begin)
				}
				return balancers > 0 && s.agentsAt(g)
			})
			s.report.add(s.run, "configuration on all balancers ms", ms(balancers))
			s.report.add(s.run, "configuration on all balancers and agents ms", ms(time.Since(begin)))
			pause(ctx, time.Second)
			s.report.add(s.run, "CPU ms per configuration and balancer, with 1 s idle", 1e3*(s.cpu()-cpu).Seconds()/float64(len(s.balancers)))
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
	s.report.add(s.run, "sent config B per change and balancer", sent/changes/float64(len(after)))
	return nil
}

func (s *site) balancersAt(g ident.Generation) bool {
	for _, b := range s.balancers {
		if b.generation.Load() < uint64(g) {
			return false
		}
	}
	return true
}

func (s *site) agentsAt(g ident.Generation) bool {
	for _, a := range s.agents {
		if a.generation.Load() < uint64(g) {
			return false
		}
	}
	return true
}

// join measures many agents that announce themselves at once.
func (s *site) join(ctx context.Context) error {
	if s.Joining == 0 {
		return nil
	}
	return s.calls(fmt.Sprintf("%d agents at once", s.Joining), func() error {
		want := len(s.agents) + s.Listed + s.Joining
		cpu, begin := s.cpu(), time.Now()
		for range s.Joining {
			if err := s.startAgent(ctx, len(s.agents)+s.Listed); err != nil {
				return err
			}
		}
		err := s.settled(ctx, want, 10*pollSlow)
		s.report.add(s.run, fmt.Sprintf("%d agents usable on all balancers ms", s.Joining), ms(time.Since(begin)))
		s.report.add(s.run, fmt.Sprintf("CPU ms per balancer for %d agents, with state dumps", s.Joining), 1e3*(s.cpu()-cpu).Seconds()/float64(len(s.balancers)))
		return err
	})
}
