package hostd

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/gauge"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/ramp"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Report holds a periodic report of the upstream about itself.
type Report struct {
	// ID is the name of the upstream. A restarted upstream may use it again.
	ID string
	// StartedMillis is the start time of the upstream in Unix milliseconds, by the clock
	// of the VM, which may jump. Seq orders the reports of one run.
	StartedMillis int64
	Seq           int64
	// Service is the service that the upstream serves.
	Service ident.ServiceName
	// Addr is the address at which the upstream receives packets.
	Addr netip.AddrPort
	// Place is the place of the VM.
	Place ident.PlaceName
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Draining is set while the upstream drains and accepts no new flows.
	Draining bool
	// Warmup is the remaining warm-up time, in which the upstream is slower.
	Warmup time.Duration
}

const (
	// warmupFactor is the factor by which the number of an upstream's slots is
	// multiplied during its warm-up, as a measure of its capacity.
	warmupFactor = 0.6
	// reportTimeoutFactor is the number of report intervals without a report after
	// which an upstream counts as down, unless it has sent a packet within the time
	// between the latest two reports. A report interval is that time, but at least
	// defaultReportInterval.
	reportTimeoutFactor = 2.5
	// stallTimeout is the time without an answer to an opening packet after which an
	// upstream gets no more of them. A working upstream answers within a millisecond
	// even if it is busy.
	stallTimeout = 50 * time.Millisecond
	// downTimeout is the time without an answer to an opening packet after which an
	// upstream counts as down.
	downTimeout = 300 * time.Millisecond
	// defaultSlots is the number of slots assumed before the first report. The
	// smallest upstreams have as many.
	defaultSlots = 2
	// minRestartMillis is the minimum time between the end of an agent's run and the
	// start of the next one, in milliseconds.
	minRestartMillis = 400
	// maxFirstSeq is the highest sequence number of a first received report that
	// still fits an upstream that started with the agent: the agent may start a
	// little later and miss some reports.
	maxFirstSeq = 3
	// firstReportSlack is the time that the agent waits for a first report beyond
	// 5/4 of the report interval.
	firstReportSlack = 100 * time.Millisecond
	// defaultReportInterval is the minimum report interval assumed when overdue
	// reports are detected, also before two reports have arrived. It is no minimum
	// for the time since the upstream's last packet.
	defaultReportInterval = time.Second
)

// upstream holds what the agent knows about its upstream.
type upstream struct {
	service ident.ServiceName
	// promised is what the settings say.
	promised endpoint
	// reported is set by the first report, gone by a deregistration after it.
	reported bool
	gone     bool
	// last is the latest report, received at reportAt; interval is the time between
	// the latest two.
	last     Report
	reportAt time.Duration
	interval time.Duration
	// ended are the latest runs that were replaced. contender is a run that may have
	// replaced the current one; nil if there is none. refuted is set once the current
	// run has reported beside a claim.
	ended     []runID
	contender *contender
	refuted   bool
	// warmupUntil is the end of the warm-up; 0 if there is none.
	warmupUntil time.Duration
	// ramp limits the requests while the upstream is cold. warmth is its state that was
	// logged last.
	ramp   ramp.Limiter
	warmth ramp.State
	// lastPacketAt is when the upstream last sent a packet; 0 if it has not.
	lastPacketAt time.Duration
	// unansweredSince is when the upstream got the first opening packet after which
	// it has sent nothing; 0 if there is none.
	unansweredSince time.Duration
	// refusing is set if a connection was refused, or a deregistration came, before the
	// first report. unlisted is set if the platform's list does not contain the agent, and
	// listChecked once that check has been started.
	refusing, unlisted, listChecked bool
	// triedAt is when a packet was first passed on trial to an upstream that refuses
	// connections; 0 if none was, or if it has sent a packet since.
	triedAt time.Duration
	// started is when the agent started. expected is the report interval from the
	// settings.
	started, expected time.Duration
	// down is set while the upstream seems to have failed, and absent once there
	// seems to be no upstream at all. The next packet or report clears both.
	down, absent bool
	// predatesAgent is set if the upstream may have been running before the agent
	// started: the Seq of the first report received of its run was above maxFirstSeq, or
	// the upstream had started more than minRestartMillis (400 ms) before the agent, or it
	// was a claim.
	predatesAgent bool
	// inherited is set once all flows that the upstream held when the earlier run of the agent
	// stopped are in the table.
	inherited bool
}

func (u *upstream) id() frame.ServiceID { return frame.ServiceIDOf(u.service) }

// accepts reports whether the upstream takes new flows. Until its first report it is
// assumed to: most agents start next to a running upstream, and an opening packet
// that stays unanswered goes to another agent.
func (u *upstream) accepts() bool {
	contended := u.contender != nil && u.contender.closes
	return u.service != "" && !u.gone && !u.down && !u.refusing && !u.last.Draining && !contended
}

// hasEnded reports whether the upstream has left, does not exist, or does not answer opening
// packets any more. One whose reports are missing may run: their connection may have failed.
// One that this run of the agent has not heard of may hold flows of an earlier run.
func (u *upstream) hasEnded(now time.Duration) bool {
	return u.gone || u.absent || u.down && u.unanswered(now) && (u.reported || u.lastPacketAt > 0)
}

// unanswered reports whether the upstream has not answered opening packets for so long that
// it counts as down.
func (u *upstream) unanswered(now time.Duration) bool {
	return u.unansweredSince > 0 && now-u.unansweredSince >= downTimeout
}

// mayHoldOldFlows reports whether the upstream is running and may hold flows of an
// earlier run of the agent.
func (u *upstream) mayHoldOldFlows() bool {
	if u.gone || u.down || u.inherited {
		return false
	}
	return u.predatesAgent || !u.reported && u.lastPacketAt > 0
}

// hasNoOldFlows reports whether the upstream certainly holds no flows of an
// earlier run of the agent that the table lacks.
func (u *upstream) hasNoOldFlows() bool {
	return u.gone || u.absent || u.inherited || u.reported && !u.predatesAgent
}

// stalled reports whether the upstream does not answer opening packets.
func (u *upstream) stalled(now time.Duration) bool {
	return u.unansweredSince > 0 && now-u.unansweredSince >= stallTimeout
}

// noteOpening records that the upstream gets an opening packet.
func (u *upstream) noteOpening(now time.Duration) {
	if u.unansweredSince == 0 {
		u.unansweredSince = now
	}
}

// noteReturned records a packet that the upstream has returned. One of an open flow is no
// answer to the opening packets that went unanswered before: the upstream may have
// crashed, and another one with an unknown service returns the packets of its flows.
func (u *upstream) noteReturned(now time.Duration, opens bool) {
	if opens || !u.stalled(now) {
		u.unansweredSince = 0
	}
}

// noteTrial records that the upstream gets a packet on trial.
func (u *upstream) noteTrial(now time.Duration) {
	if u.triedAt == 0 {
		u.triedAt = now
	}
}

// trialSilent reports whether an upstream that refuses connections, or was never heard, has
// not answered a packet on trial either.
func (u *upstream) trialSilent(now time.Duration) bool {
	return (u.refusing || u.unheard()) && u.triedAt > 0 && now-u.triedAt >= silentTrialTimeout
}

// unheard reports whether the upstream is down and has sent nothing since the agent started. It
// may run and hold flows nevertheless: its reports may fail.
func (u *upstream) unheard() bool { return u.down && !u.reported && u.lastPacketAt == 0 }

// concurrency returns the number of requests that the upstream processes concurrently.
func (u *upstream) concurrency() int {
	if !u.reported {
		return defaultSlots
	}
	return u.last.Slots
}

// slots returns the number of slots as a measure of the capacity, which is lower during
// the warm-up.
func (u *upstream) slots(now time.Duration) float64 {
	n := float64(u.concurrency())
	if now < u.warmupUntil {
		n *= warmupFactor
	}
	return n
}

// notePacket records a packet of the upstream and reports whether the upstream seemed
// down or refusing before.
func (u *upstream) notePacket(now time.Duration) bool {
	wasDown := u.down
	wasDown = wasDown || u.refusing
	if wasDown {
		u.expectCold(now)
	}
	u.lastPacketAt, u.unansweredSince, u.down, u.absent, u.refusing, u.triedAt = now, 0, false, false, false, 0
	return wasDown
}

// noSignOfLife reports whether the upstream has sent nothing since the agent started although
// it would have done so by now: it was asked by a connection, an opening packet or a packet on
// trial.
func (u *upstream) noSignOfLife(now time.Duration) bool {
	asked := u.refusing || u.unansweredSince > 0
	waited := u.unlisted || u.trialSilent(now) || asked && now-u.started >= u.expected*5/4+firstReportSlack
	return waited && !u.reported && u.lastPacketAt == 0
}

// checkAlive updates down and absent and reports whether one of them has changed.
func (u *upstream) checkAlive(now time.Duration, log *logrus.Entry) bool {
	if u.gone || u.absent {
		return false
	}
	overdue := float64(now-u.reportAt) > reportTimeoutFactor*float64(max(u.interval, defaultReportInterval)) && now-u.lastPacketAt > u.interval
	silent := u.unanswered(now)
	dead := u.down || u.refusing || overdue || silent
	switch {
	case dead && u.noSignOfLife(now):
		u.down, u.absent = true, true
	case !u.down && (overdue || silent):
		u.down = true
	default:
		return false
	}
	log.WithFields(logrus.Fields{
		"event": "upstreamDown", "upstream": u.last.ID, "sinceReport": now - u.reportAt, "absent": u.absent,
		"sincePacket": now - u.lastPacketAt, "unansweredOpening": silent, "refused": u.refusing, "unlisted": u.unlisted,
	}).Warn("upstream does not answer")
	return true
}

// state returns the state to announce. An upstream that has never sent anything and
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

// OnReport handles a report of the upstream and reports whether it is acknowledged.
// Earlier reports of the current run are ignored. A report of a run that may have ended, or
// that contradicts the settings, is ignored too, and not acknowledged, since the agent does
// not act on it.
func (c *Core) OnReport(now time.Duration, r Report) (acknowledged bool) {
	u := &c.upstream
	stateBefore := u.state()
	v := u.judge(now, &r)
	if v == repeated || v == doubtful {
		c.Counts.Doubted++
		c.Log.WithFields(logrus.Fields{
			"event": "lateReport", "upstream": r.ID, "born": r.StartedMillis, "seq": r.Seq, "service": r.Service, "addr": r.Addr, "acknowledged": v == repeated,
			"knownUpstream": u.last.ID, "knownBorn": u.last.StartedMillis, "knownSeq": u.last.Seq, "knownAge": now - u.reportAt,
		}).Info("outdated report ignored")
		if u.state() != stateBefore {
			c.announceChange(now)
		}
		return v == repeated
	}
	c.applyReport(now, r, v == replacing, stateBefore)
	return true
}

// applyReport records a report of the upstream. restarted is set if it is the first one
// of a run that has replaced another.
func (c *Core) applyReport(now time.Duration, r Report, restarted bool, before view.State) {
	u := &c.upstream
	beforeService := u.service
	if !u.reported || restarted {
		c.beginRun(&r, restarted)
	}
	if u.reported && !restarted && u.reportAt > 0 {
		u.interval = now - u.reportAt
	}
	wasReported, wasGone := u.reported, u.gone
	if !wasReported {
		u.contender = nil
	}
	c.changeService(now, r.Service)
	u.refusing = false
	u.reported, u.gone, u.down, u.absent, u.last, u.reportAt = true, false, false, false, r, now
	u.unansweredSince = 0
	c.noteWarmup(now, r.Warmup)
	if beforeService != u.service || !wasReported || wasGone {
		c.UpdateListing(u.service)
	}
	if !wasReported || restarted || before != u.state() || beforeService != u.service {
		c.Log.WithFields(logrus.Fields{
			"event": "upstream", "upstream": r.ID, "service": r.Service, "state": u.state(), "before": before,
			"born": r.StartedMillis, "seq": r.Seq, "slots": r.Slots, "restarted": restarted, "outlived": u.predatesAgent,
		}).Info("upstream reported")
		c.announceChange(now)
	}
}

// beginRun records the first report of a run of the upstream.
func (c *Core) beginRun(r *Report, restarted bool) {
	u := &c.upstream
	u.predatesAgent = u.contradictedBy(r) || !c.startedWithAgent(u.firstSeq(r), r.StartedMillis)
	if !u.reported {
		c.checkInherited(r.StartedMillis)
	}
	if restarted {
		u.inherited = false
		c.endRun(r.StartedMillis)
	}
}

// noteWarmup records how much longer the upstream is slow after its start.
func (c *Core) noteWarmup(now, left time.Duration) {
	c.upstream.ramp.Report(now, left)
	c.noteWarmth(now)
	c.upstream.warmupUntil = now + left
	if left <= 0 {
		c.upstream.warmupUntil = 0
	}
}

// changeService discards what belongs to another service than the given one, which the
// upstream serves.
func (c *Core) changeService(now time.Duration, n ident.ServiceName) {
	u := &c.upstream
	if n == u.service {
		return
	}
	c.rejectWaiting(now, "serviceChanged", c.waiting.Clear()...)
	c.learning.gauge = gauge.Gauge{}
	u.ramp = ramp.New(now, max(u.expected, defaultReportInterval))
	u.service = n
}

// NoUpstream handles the result that a connection to the upstream was refused. The
// upstream then gets no new flows. It may still run and hold flows, so it counts as
// absent only if it does not report within the report interval either.
func (c *Core) NoUpstream(now time.Duration) {
	u := &c.upstream
	if u.reported || u.lastPacketAt > 0 || u.down {
		return
	}
	u.refusing = true
	c.Log.WithField("event", "noUpstream").Info("connection to the upstream refused")
	c.announceChange(now)
}

// Unlisted handles the result that the platform's list does not contain the agent. An
// agent is listed from the first report of its upstream until the upstream leaves, so
// an upstream that also refuses connections does not exist.
func (c *Core) Unlisted(now time.Duration) {
	c.upstream.unlisted = true
	if c.upstream.checkAlive(now, c.Log) {
		c.announceChange(now)
	}
}
