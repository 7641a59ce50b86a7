package node

import (
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/drain"
)

// reloadInterval is how often the settings file is looked at.
const reloadInterval = 2 * time.Second

// Control handles the signals of a process.
type Control struct {
	Signals <-chan os.Signal
	Limits  drain.Limits
	// Check is how often Busy is asked during a stop.
	Check time.Duration
	// Reload returns the addresses of balancers in the settings and whether they
	// have changed; Seeds takes them.
	Reload func() ([]netip.AddrPort, bool)
	Seeds  func([]netip.AddrPort)
	// Leave begins a stop; Busy reports whether there is work left.
	Leave func()
	Busy  func() bool
	Log   *logrus.Entry
}

// Run returns when a stop has ended.
func (c *Control) Run() {
	m := drain.New(c.Limits)
	check := time.NewTicker(reloadInterval)
	defer check.Stop()
	stopping := false
	for {
		select {
		case s := <-c.Signals:
			if s == syscall.SIGHUP {
				c.reload()
				continue
			}
			c.Log.WithFields(logrus.Fields{"event": "signal", "signal": s.String()}).Info("signal to stop")
			if m.Signal(time.Now()) == drain.Abort {
				return
			}
			stopping = true
			c.Leave()
			check.Reset(c.Check)
		case <-check.C:
			if !stopping {
				c.reload()
				continue
			}
			if m.Check(time.Now(), c.Busy()) != drain.None {
				return
			}
		}
	}
}

func (c *Control) reload() {
	if seeds, changed := c.Reload(); changed {
		c.Log.WithField("event", "reload").WithField("seeds", seeds).Info("settings changed")
		c.Seeds(seeds)
	}
}
