package hostd

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Beat is a report of the upstream about itself.
type Beat struct {
	// ID names the upstream; it may be used again by a later start.
	ID string
	// Born is the time of the upstream's start in Unix milliseconds. Together
	// with Seq it orders the reports.
	Born int64
	Seq  int64
	// Service is the service that the upstream serves.
	Service ident.ServiceName
	// Addr is the address that the upstream takes packets at.
	Addr netip.AddrPort
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving is set when the upstream wants no new flows.
	Leaving bool
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
}

const (
	// coldFactor is the share of its slots that a cold upstream counts with.
	coldFactor = 0.6
	// silentBeats is after how many missing reports an upstream counts as dead.
	silentBeats = 2.5
	// stallTime is after what time without an answer to an opening packet an
	// upstream gets no more of them: it answers within a millisecond, busy or not.
	stallTime = 50 * time.Millisecond
	// silentTime is after what time without an answer it counts as dead.
	silentTime = 300 * time.Millisecond
	// presumedSlots is the number of slots before the first report: that of the
	// smallest upstreams.
	presumedSlots = 2
	// restartMillis is the least time between the end of an agent's run and the
	// start of the next one, in milliseconds.
	restartMillis = 400
	// maxFirstSeq is the number of a report that may be the first one to arrive:
	// the agent may start a little later than its upstream.
	maxFirstSeq = 3
	// absentSlack is the time that a first report may take on top of a quarter more
	// than its interval.
	absentSlack = 100 * time.Millisecond
	// defaultBeat is the interval of reports until two were seen.
	defaultBeat = time.Second
)

// upstream is what the agent knows of its upstream.
type upstream struct {
	service  ident.ServiceName
	known    bool
	gone     bool
	last     Beat
	beatAt   time.Duration
	interval time.Duration
	coldTill time.Duration
	// spoke is when the upstream last sent a packet; 0 if it has not.
	spoke time.Duration
	// asked is when the upstream got an opening packet after which it has sent
	// nothing; 0 if there is none.
	asked time.Duration
	// refusing is set if a connection was refused before the first report, unlisted
	// if the platform's list does not have the agent either, listAsked once it was
	// looked at.
	refusing, unlisted, listAsked bool
	// started is when the agent started, expected the interval of reports in the
	// settings.
	started, expected time.Duration
	// down is set while the upstream seems to be dead, absent once it is taken not
	// to be there at all; both end with its next sign of life.
	down, absent bool
	// old is set if the first report was not the upstream's first one: it ran
	// before the agent did.
	old bool
}

func (u *upstream) id() frame.ServiceID { return frame.IDOf(u.service) }

// accepts reports whether the upstream takes new flows. Until its first report
// it is presumed to: most agents start beside an upstream that runs already, and
// an opening packet that stays unanswered goes to another agent.
func (u *upstream) accepts() bool {
	return u.service != "" && !u.gone && !u.down && !u.refusing && !u.last.Leaving
}

// alive reports whether the upstream has shown that it runs.
func (u *upstream) alive() bool { return !u.gone && !u.down && (u.known || u.spoke > 0) }

// outlived reports whether the upstream lives and may hold flows of an earlier
// run of the agent.
func (u *upstream) outlived() bool {
	if u.gone || u.down {
		return false
	}
	return u.old || !u.known && u.spoke > 0
}

// fresh reports whether the upstream holds no flows of an earlier run of the
// agent for certain.
func (u *upstream) fresh() bool { return u.gone || u.absent || u.known && !u.old }

// stalled reports whether the upstream does not answer opening packets.
func (u *upstream) stalled(now time.Duration) bool { return u.asked > 0 && now-u.asked >= stallTime }

// ask notes that the upstream gets an opening packet.
func (u *upstream) ask(now time.Duration) {
	if u.asked == 0 {
		u.asked = now
	}
}

// concurrency returns how many requests the upstream works on at once.
func (u *upstream) concurrency() int {
	if !u.known {
		return presumedSlots
	}
	return u.last.Slots
}

// slots returns the same as a measure of its speed: a cold upstream counts less.
func (u *upstream) slots(now time.Duration) float64 {
	n := float64(u.concurrency())
	if now < u.coldTill {
		n *= coldFactor
	}
	return n
}

// heard notes a packet of the upstream and reports whether it seemed dead before.
func (u *upstream) heard(now time.Duration) bool {
	wasDown := u.down
	wasDown = wasDown || u.refusing
	u.spoke, u.asked, u.down, u.absent, u.refusing = now, 0, false, false, false
	return wasDown
}

// check finds out whether the upstream still lives and reports a change.
func (u *upstream) check(now time.Duration, log *logrus.Entry) bool {
	if u.gone || u.absent {
		return false
	}
	overdue := float64(now-u.beatAt) > silentBeats*float64(max(u.interval, defaultBeat)) && now-u.spoke > u.interval
	silent := u.asked > 0 && now-u.asked >= silentTime
	waited := u.unlisted || now-u.started >= u.expected*5/4+absentSlack
	dead := u.down || u.refusing || overdue || silent
	switch {
	case dead && waited && !u.known && u.spoke == 0:
		u.down, u.absent = true, true
	case !u.down && (overdue || silent):
		u.down = true
	default:
		return false
	}
	log.WithFields(logrus.Fields{
		"event": "upstreamDown", "upstream": u.last.ID, "sinceReport": now - u.beatAt, "absent": u.absent,
		"sincePacket": now - u.spoke, "unansweredOpening": silent, "refused": u.refusing, "unlisted": u.unlisted,
	}).Warn("upstream does not answer")
	return true
}

// state returns the state for the view. An upstream that never showed itself and
// does not answer holds no flows, so its agent counts as gone.
func (u *upstream) state() view.State {
	switch {
	case u.gone, u.absent:
		return view.Gone
	case u.accepts():
		return view.Serving
	}
	return view.Draining
}

// older reports whether a report was sent before the last one.
func (u *upstream) older(b *Beat) bool {
	if !u.known || b.Born != u.last.Born {
		return u.known && b.Born < u.last.Born
	}
	return b.Seq <= u.last.Seq
}

// OnBeat takes a report of the upstream. Late reports change nothing.
func (c *Core) OnBeat(now time.Duration, b Beat) {
	u := &c.upstream
	if u.older(&b) {
		c.Log.WithFields(logrus.Fields{
			"event": "lateReport", "upstream": b.ID, "born": b.Born, "seq": b.Seq,
			"knownBorn": u.last.Born, "knownSeq": u.last.Seq,
		}).Info("late report ignored")
		return
	}
	before, beforeService := u.state(), u.service
	restarted := u.known && b.Born != u.last.Born
	if !u.known {
		u.old = !c.startedWith(&b)
	}
	if restarted {
		// The flows of the earlier start are gone with it.
		c.table.Clear()
		clear(c.openings)
		u.old = false
		c.forgive()
	}
	if u.known && !restarted && u.beatAt > 0 {
		u.interval = now - u.beatAt
	}
	wasKnown := u.known
	u.refusing = false
	u.known, u.gone, u.down, u.absent, u.last, u.beatAt, u.service = true, false, false, false, b, now, b.Service
	u.asked = 0
	u.coldTill = now + b.Cold
	if b.Cold <= 0 {
		u.coldTill = 0
	}
	if beforeService != u.service || !wasKnown {
		c.Enlist(u.service)
	}
	if !wasKnown || restarted || before != u.state() || beforeService != u.service {
		c.Log.WithFields(logrus.Fields{
			"event": "upstream", "upstream": b.ID, "service": b.Service, "state": u.state(), "before": before,
			"born": b.Born, "seq": b.Seq, "slots": b.Slots, "restarted": restarted, "outlived": u.old,
		}).Info("upstream reported")
		c.changed(now)
	}
}

// startedWith reports whether the upstream has started with the agent, so that
// it holds no flow of an earlier run: its first report has just come, or it was
// born so short a time before the agent that no earlier run can have met it.
func (c *Core) startedWith(b *Beat) bool {
	return b.Seq <= 1 || b.Seq <= maxFirstSeq && b.Born >= c.self.StartedMillis-restartMillis
}

// NoUpstream takes the finding that a connection to the upstream was refused. It
// gets no new flows then, but it may live and hold flows: only an upstream that
// does not report in its interval either is taken for absent.
func (c *Core) NoUpstream(now time.Duration) {
	u := &c.upstream
	if u.known || u.spoke > 0 || u.down {
		return
	}
	u.refusing = true
	c.Log.WithField("event", "noUpstream").Info("connection to the upstream refused")
	c.changed(now)
}

// Unlisted takes the finding that the platform's list does not have the agent. An
// agent enters itself with the first report of its upstream and stays until the
// upstream leaves, so an upstream that refuses connections too is not there.
func (c *Core) Unlisted(now time.Duration) {
	c.upstream.unlisted = true
	if c.upstream.check(now, c.Log) {
		c.changed(now)
	}
}

// OnLeave takes the word of the upstream with the given name that it is gone.
func (c *Core) OnLeave(now time.Duration, id string, born int64) {
	u := &c.upstream
	if u.known && (u.last.ID != id || born > 0 && born < u.last.Born) {
		c.Log.WithFields(logrus.Fields{"event": "lateLeave", "upstream": id, "known": u.last.ID}).Info("late sign-off ignored")
		return
	}
	if u.gone {
		return
	}
	u.known, u.gone = true, true
	c.Enlist("")
	c.Log.WithFields(logrus.Fields{"event": "upstreamGone", "upstream": id}).Info("upstream has left")
	c.changed(now)
}
