package node

import (
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/drain"
)

// reloadInterval is how often the settings file is checked for changes.
const reloadInterval = 2 * time.Second

// Control handles the signals of a process: SIGHUP checks the settings file for
// changes, any other signal begins a drain, and the next one ends it. The file is also
// checked every reloadInterval until a drain begins. Of its settings, only the
// addresses of balancers are taken over.
type Control struct {
	Signals <-chan os.Signal
	Limits  drain.Limits
	// Check is the interval between calls of Busy during a drain.
	Check time.Duration
	// Reload returns the addresses of balancers in the settings and whether they
	// have changed. Seeds is called with them if so.
	Reload func() ([]netip.AddrPort, bool)
	Seeds  func([]netip.AddrPort)
	// Leave begins a drain; Busy reports whether there is work left.
	Leave func()
	Busy  func() bool
	Log   *logrus.Entry
}

// Run handles signals and returns when a drain has ended.
func (c *Control) Run() {
	m := drain.New(c.Limits)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	draining := false
	for {
		select {
		case s := <-c.Signals:
			if s == syscall.SIGHUP {
				c.reload()
				continue
			}
			c.Log.WithFields(logrus.Fields{"event": "signal", "signal": s.String()}).Info("received a signal to stop")
			if m.Signal(time.Now()) == drain.Abort {
				return
			}
			draining = true
			c.Leave()
			ticker.Reset(c.Check)
		case <-ticker.C:
			if !draining {
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
		c.Log.WithField("event", "reload").WithField("seeds", seeds).Info("settings reloaded")
		c.Seeds(seeds)
	}
}
