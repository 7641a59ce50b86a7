package caller

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// path is one UDP socket of a flow.
type path struct {
	socket    *net.UDPConn
	transport *quic.Transport
	// path is nil for the socket that the flow was opened on.
	path *quic.Path
}

func (f *flow) openPath(v4 bool) (*path, error) {
	network := "udp6"
	if v4 {
		network = "udp4"
	}
	s, err := net.ListenUDP(network, nil)
	if err != nil {
		return nil, errors.Annotate(err, "opening a UDP socket")
	}
	p := &path{socket: s, transport: &quic.Transport{Conn: s}}
	f.pathMu.Lock()
	f.paths = append(f.paths, p)
	f.pathMu.Unlock()
	return p, nil
}

func (p *path) close() {
	p.transport.Close()
	p.socket.Close()
}

func (f *flow) closePaths() {
	f.pathMu.Lock()
	defer f.pathMu.Unlock()
	for _, p := range f.paths {
		p.close()
	}
	f.paths = nil
}

// watchPath pings, migrates and closes the flow until the connection ends.
func (f *flow) watchPath() {
	s := f.client.settings
	f.watch.init(now(), s.keepAlive, s.silence, s.giveUp)
	defer context.AfterFunc(f.client.ctx, f.shut)()
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
		f.retireUnused()
		st := f.conn.ConnectionStats()
		action, next := f.watch.step(now(), st.PacketsReceived, st.SmoothedRTT, f.use())
		switch {
		case action == actPing:
			f.ping()
		case action == actMigrate && !migrating:
			migrating = true
			go func() {
				f.migrate(f.watch.limit(st.SmoothedRTT))
				migrated <- struct{}{}
			}()
		case action == actClose:
			f.conn.CloseWithError(codeSilent, "path is silent")
		}
		t.Reset(next)
	}
}

// codeSilent closes a flow whose path stays silent; it is not a code of
// HTTP/3 and counts as a broken flow.
const codeSilent = 0x1f*8 + 0x21

// probeTime is the time for a new path to answer, in multiples of the limit of silence.
const probeTime = 2

// maxPaths bounds the sockets of one flow. The QUIC library ends a connection
// when any socket that it has ever used is closed, so all are kept until the
// flow ends, also those whose path never answered.
const maxPaths = 32

// migrate moves the flow to a new socket, if the new path answers. Packets
// that still arrive on the old sockets are accepted.
func (f *flow) migrate(limit time.Duration) {
	f.pathMu.Lock()
	full := len(f.paths) >= maxPaths
	f.pathMu.Unlock()
	if full {
		return
	}
	f.client.stats.migrationAttempts.Add(1)
	v4 := f.conn.RemoteAddr().(*net.UDPAddr).IP.To4() != nil
	p, err := f.openPath(v4)
	if err != nil {
		return
	}
	if err := f.moveTo(p, limit); err != nil {
		if p.path != nil {
			p.path.Close()
		}
		return
	}
	f.client.stats.migrations.Add(1)
	// The server sends on the new path after it has seen a packet that is not
	// a probe. A flow that only listens would send none for a while.
	f.ping()
}

func (f *flow) moveTo(p *path, limit time.Duration) error {
	q, err := f.conn.AddPath(p.transport)
	if err != nil {
		return errors.Trace(err)
	}
	p.path = q
	ctx, cancel := context.WithTimeout(f.conn.Context(), probeTime*limit)
	defer cancel()
	if err := q.Probe(ctx); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(q.Switch())
}
