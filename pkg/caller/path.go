package caller

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// flowSocket is one UDP socket of a flow.
type flowSocket struct {
	conn      *net.UDPConn
	transport *quic.Transport
	// quicPath is nil for the socket on which the flow was opened.
	quicPath *quic.Path
}

func (f *flow) openSocket(v4 bool) (*flowSocket, error) {
	network := "udp6"
	if v4 {
		network = "udp4"
	}
	s, err := net.ListenUDP(network, nil)
	if err != nil {
		return nil, errors.Annotate(err, "opening a UDP socket")
	}
	p := &flowSocket{conn: s, transport: &quic.Transport{Conn: s}}
	f.socketsMu.Lock()
	f.sockets = append(f.sockets, p)
	f.socketsMu.Unlock()
	return p, nil
}

func (s *flowSocket) close() {
	s.transport.Close()
	s.conn.Close()
}

func (f *flow) closeSockets() {
	f.socketsMu.Lock()
	defer f.socketsMu.Unlock()
	for _, p := range f.sockets {
		p.close()
	}
	f.sockets = nil
}

// monitorPath sends pings and migrates or closes the connection as the path
// monitor decides, until the connection ends.
func (f *flow) monitorPath() {
	s := f.client.settings
	f.monitor.init(now(), s.keepAlive, s.minAnswerTimeout, s.giveUpAfter)
	defer context.AfterFunc(f.client.ctx, f.closeCleanly)()
	migrated := make(chan struct{}, 1)
	migrating := false
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-f.conn.Context().Done():
			if migrating {
				<-migrated
			}
			return
		case <-migrated:
			migrating = false
			continue
		case <-t.C:
		}
		f.retireIfIdle()
		st := f.conn.ConnectionStats()
		action, next := f.monitor.step(now(), st.PacketsReceived, st.SmoothedRTT, f.usage())
		switch {
		case action == actPing:
			f.ping()
		case action == actMigrate && !migrating:
			migrating = true
			go func() {
				f.migrate(f.monitor.answerTimeout(st.SmoothedRTT))
				migrated <- struct{}{}
			}()
		case action == actClose:
			f.conn.CloseWithError(codePathSilent, "path is silent")
		}
		t.Reset(next)
	}
}

// codePathSilent is the error code that closes a flow whose path stays silent.
// It is a reserved code outside those of HTTP/3, and such a flow counts as broken.
const codePathSilent = 0x1f*8 + 0x21

// probeTimeoutFactor is the timeout of the probe of a new path, in multiples of
// the answer timeout.
const probeTimeoutFactor = 2

// maxSockets limits the sockets of one flow. The QUIC library ends a connection
// when any socket that it has ever used is closed, so all are kept until the
// flow ends, including those whose path never answered.
const maxSockets = 32

// migrate moves the connection to a new socket if the new path answers. Packets
// that still arrive on the old sockets are accepted.
func (f *flow) migrate(answerTimeout time.Duration) {
	f.socketsMu.Lock()
	atLimit := len(f.sockets) >= maxSockets
	f.socketsMu.Unlock()
	if atLimit {
		return
	}
	f.client.stats.migrationAttempts.Add(1)
	v4 := f.conn.RemoteAddr().(*net.UDPAddr).IP.To4() != nil
	p, err := f.openSocket(v4)
	if err != nil {
		return
	}
	if err := f.switchSocket(p, answerTimeout); err != nil {
		if p.quicPath != nil {
			p.quicPath.Close()
		}
		return
	}
	f.client.stats.migrations.Add(1)
	f.pingUntilAnswered()
}

const (
	// maxSwitchPings is the maximum number of pings on a new path.
	// switchPingWait is the wait after the first ping; it doubles with each.
	maxSwitchPings = 4
	switchPingWait = 20 * time.Millisecond
)

// pingUntilAnswered sends pings until a packet arrives. The server sends on the
// new path only after it has received a non-probing packet there, and a flow
// that only receives would send none for a while. There are several pings
// because the library switches paths concurrently: the first may still leave on
// the old path and would be resent only after a retransmission timeout.
func (f *flow) pingUntilAnswered() {
	before := f.conn.ConnectionStats().PacketsReceived
	t := time.NewTimer(0)
	defer t.Stop()
	for n := range maxSwitchPings {
		select {
		case <-t.C:
		case <-f.conn.Context().Done():
			return
		}
		if f.conn.ConnectionStats().PacketsReceived != before {
			return
		}
		f.ping()
		t.Reset(switchPingWait << n)
	}
}

func (f *flow) switchSocket(p *flowSocket, answerTimeout time.Duration) error {
	q, err := f.conn.AddPath(p.transport)
	if err != nil {
		return errors.Trace(err)
	}
	p.quicPath = q
	ctx, cancel := context.WithTimeout(f.conn.Context(), probeTimeoutFactor*answerTimeout)
	defer cancel()
	if err := q.Probe(ctx); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(q.Switch())
}
