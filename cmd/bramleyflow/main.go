// Command bramleyflow runs the balancer and the agent for datagram flows on the
// users' platform. It is separate from bramleycourse so that small VMs do not load
// the dependencies that only its HTTP/3 roles need.
package main

import (
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bramleycourse/bramleycourse/internal/node"
)

type cli struct {
	Settings string `help:"Settings file." env:"BRAMLEYCOURSE_NODE_FILE" default:"/etc/bramleycourse/settings.conf" type:"path"`
	// MetricsPort is a port of the hop address.
	MetricsPort uint16     `help:"Port of the metrics page; 0 for none." default:"0"`
	Bind        netip.Addr `help:"Address to bind the datagram sockets to, where the addresses of the settings are translated on the way."`
	// LearnRoom switches the measurement on where the settings do not.
	LearnRoom bool     `help:"Measure how many requests the upstream takes well at once, and use that in place of its slots."`
	Balancer  struct{} `cmd:"" help:"Run a balancer."`
	Agent     struct{} `cmd:"" help:"Run the agent beside an upstream."`
	Check     checkCmd `cmd:"" help:"Check a configuration before it is sent, and show what differs."`
}

// logFlushTimeout bounds how long the process waits on exit for the last log lines
// to be written.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("bramleyflow"), kong.Description("Balancer and agent of datagram flows."), kong.UsageOnError())
	if strings.HasPrefix(k.Command(), "check") {
		k.FatalIfErrorf(c.Check.run(c.Settings, os.Stdout))
		return
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	out := node.NewOutput(os.Stdout)
	var err error
	switch k.Command() {
	case "balancer":
		err = runBalancer(&c, out, signals)
	case "agent":
		err = runAgent(&c, out, signals)
	}
	out.Close(logFlushTimeout)
	k.FatalIfErrorf(err)
}
