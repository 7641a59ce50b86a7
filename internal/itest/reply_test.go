package itest

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/fabric"
	"github.com/bramleycourse/bramleycourse/internal/relay"
)

// TestReplyPolicies guards against feeds that break when a balancer is killed, with
// each policy for spreading replies over balancers, and logs the download rates.
func TestReplyPolicies(t *testing.T) {
	for _, policy := range []string{config.ReplyPerCaller, config.ReplyPerPacket} {
		t.Run(policy, func(t *testing.T) {
			s := NewDeployment(NewCluster(t, binary), Declaration(8, "listas"), 3, nil)
			for range 2 {
				s.AddAgent("listas", time.Millisecond, func(a *config.Agent) { a.ReplyPolicy = policy })
			}
			s.WaitReady()
			path := fabric.Faults{Delay: time.Millisecond, Jitter: 500 * time.Microsecond}
			s.Fabrics["listas"].SetFaults(path, path)
			feeds := s.OpenFeeds(s.Client(), "listas", 100, 50*time.Millisecond)
			before := s.replies()
			rate := s.downloadRate(4, 4*time.Second)
			packets := float64(s.replies()-before) / 4
			feeds.ResetSilence()
			b := s.Balancers[0]
			b.Kill()
			s.RemoveBalancer(b)
			time.Sleep(2 * time.Second)
			r := feeds.Report()
			t.Logf("%.1f downloads/s, %.0f reply packets/s, longest silence %v after a killed balancer", rate, packets, r.LongestSilence)
			if rate == 0 || len(r.Faults) > 0 || r.Breaks > 0 {
				t.Errorf("want downloads and no break, have %.1f/s, %d breaks and %v", rate, r.Breaks, r.Faults)
			}
			feeds.Close()
		})
	}
}

// downloadRate downloads sheets of 1 MB on n flows and returns the completed downloads
// per second.
func (s *Deployment) downloadRate(n int, d time.Duration) float64 {
	ctx, cancel := context.WithTimeout(s.T.Context(), d)
	defer cancel()
	var done atomic.Int64
	ended := make(chan struct{})
	for range n {
		client := s.Client()
		go func() {
			defer func() { ended <- struct{}{} }()
			for ctx.Err() == nil {
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.URL("listas", "/sheet?size=1000000"), nil)
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				if k, err := io.Copy(io.Discard, resp.Body); err == nil && k == 1_000_000 {
					done.Add(1)
				}
				resp.Body.Close()
			}
		}()
	}
	for range n {
		<-ended
	}
	return float64(done.Load()) / d.Seconds()
}

// replies returns the number of packets that the balancers sent to callers.
func (s *Deployment) replies() (n uint64) {
	for _, b := range s.Balancers {
		var st relay.State
		s.must(b.State(&st))
		n += st.Counts["replies"]
	}
	return n
}
