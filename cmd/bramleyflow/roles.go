package main

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/front"
	"github.com/bramleycourse/bramleycourse/internal/hostd"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/platform"
)

// storeTimeout bounds one call to the platform's store, which normally answers
// within a few milliseconds.
const storeTimeout = time.Second

// metricsAddr returns the address of the metrics page; the zero value disables it.
func (c *cli) metricsAddr(s *platform.Settings) netip.AddrPort {
	if c.MetricsPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(s.Hop.Addr(), c.MetricsPort)
}

func newStore(s platform.Settings, log *logrus.Entry) *plat.Client {
	c := plat.New(s.Store, storeTimeout, plat.WithWire(platform.Wire), plat.WithTransport(node.Transport()))
	c.Log = log
	return c
}

func runBalancer(c *cli, out *node.Output, signals <-chan os.Signal) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	log := out.NewLog("balancer", s.Name)
	f, err := front.New(front.Settings{
		Name: s.Name, Place: s.Place, Hop: s.Hop, Ready: s.Ready, Peer: s.Peer, Metrics: c.metricsAddr(&s),
		Bind: c.Bind, Seeds: s.Seeds, FlowLifetime: s.FlowLifetime, ConfigLimit: s.ConfigLimit, StopLimit: s.StopLimit,
		EvacuationLimit: s.EvacuationLimit, RejectEarly: s.Pressure,
	}, platform.Codec, newStore(s, log), front.ConfigObject{Name: platform.ConfigName, Parse: platform.ParseConfig}, out, log)
	if err != nil {
		return err
	}
	return f.Run(signals, seedReloader(c.Settings, s.Seeds, log))
}

func runAgent(c *cli, out *node.Output, signals <-chan os.Signal) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	log := out.NewLog("agent", s.Name)
	a, err := hostd.New(hostd.Settings{
		Name: s.Name, Place: s.Place, Service: s.Service, Hop: s.Hop, Bind: c.Bind, Outbound: s.Outbound,
		Upstream: s.Upstream, Reports: s.Reports, Ready: s.Ready, CallerPort: s.Hop.Port(), Metrics: c.metricsAddr(&s),
		Seeds: s.Seeds, FlowLifetime: s.FlowLifetime, ReportInterval: s.ReportInterval, StopLimit: s.StopLimit,
		EvacuationLimit: s.EvacuationLimit, LearnRoom: s.Pressure || c.LearnRoom, RejectEarly: s.Pressure,
	}, platform.Codec, newStore(s, log), out, log)
	if err != nil {
		return err
	}
	reports := platform.ReportHandler{
		Beat:  a.Report,
		Leave: a.UpstreamDeregistered,
		Refused: func(err error) {
			a.Refused.Note(err)
			log.WithError(err).WithField("event", "badReport").Warn("report refused")
		},
	}
	return a.Run(signals, reports.Handler(), seedReloader(c.Settings, s.Seeds, log))
}

// seedReloader returns a function that rereads the settings file if its modification
// time has changed. It returns the seeds of the file and whether they differ from the
// previous ones. If the file is unchanged or cannot be read, it returns nil and false,
// and the seeds in use stay as they are.
func seedReloader(path string, seeds []netip.AddrPort, log *logrus.Entry) func() ([]netip.AddrPort, bool) {
	var modified time.Time
	if info, err := os.Stat(path); err == nil {
		modified = info.ModTime()
	}
	return func() ([]netip.AddrPort, bool) {
		info, err := os.Stat(path)
		if err != nil || info.ModTime().Equal(modified) {
			return nil, false
		}
		modified = info.ModTime()
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).WithField("event", "badSettings").Error("changed settings ignored")
			return nil, false
		}
		changed := !slices.Equal(s.Seeds, seeds)
		seeds = s.Seeds
		return seeds, changed
	}
}
