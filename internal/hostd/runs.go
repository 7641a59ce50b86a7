package hostd

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// runID identifies a run of the upstream.
type runID struct {
	id            string
	startedMillis int64
}

func (r *Report) run() runID { return runID{r.ID, r.StartedMillis} }

// endpoint is what the settings promise of an upstream and its reports repeat.
type endpoint struct {
	service ident.ServiceName
	addr    netip.AddrPort
	// place is empty if it is not known.
	place ident.PlaceName
}

func (r *Report) endpoint() endpoint { return endpoint{r.Service, r.Addr, r.Place} }

// differs reports whether two endpoints contradict each other.
func (e endpoint) differs(o endpoint) bool {
	return e.service != o.service || e.addr != o.addr || e.place != o.place && e.place != "" && o.place != ""
}

// known reports whether the settings promise anything that a report can contradict.
func (e endpoint) known() bool { return e.service != "" && e.addr.IsValid() }

const (
	// maxEndedRuns is the number of earlier runs that an agent remembers.
	maxEndedRuns = 8
	// contenderSpacing is the share of the report interval that must lie between two
	// reports of a contender. Late reports of a run that has ended arrive together.
	contenderSpacing = 0.5
	// contendedSilence is the number of report intervals without a report of the
	// current run after which a contender may replace it.
	contendedSilence = 1.5
)

// contender is a run that may be that of the upstream. Its start time is earlier than that
// of the current run: either its reports are late and it has ended, or the clock of the VM
// has jumped back between the two starts. Or its reports are claims, which contradict the
// settings; a claim replaces no contender that agrees with them.
type contender struct {
	run runID
	// seq and at belong to the first report of the run since the last one of the
	// current run.
	seq int64
	at  time.Duration
	// claim is set if its reports are claims.
	claim bool
	// closes is set if the contender serves another service than the current
	// run, or than the settings before the first report. The upstream then gets no new
	// flows until one of them has reported again. Once the current run has reported
	// beside a claim, further claims do this only while it is silent.
	closes bool
}

// verdict is the result of comparing a report with the ones before.
type verdict uint8

const (
	// newest is the verdict on the newest report of the current run.
	newest verdict = iota
	// repeated is the verdict on an earlier report of the current run.
	repeated
	// replacing is the verdict on a report of a run that has replaced the current one.
	replacing
	// doubtful is the verdict on a report of a run that may have ended.
	doubtful
)

// judge compares a report with the ones before. Runs are ordered by their start times
// unless the order is contradicted by what is heard: a run that goes on reporting while
// the current one is silent is the one that is alive.
func (u *upstream) judge(now time.Duration, r *Report) verdict {
	run := r.run()
	switch {
	case !u.reported && u.refusing && run == u.last.run():
		return doubtful // Its deregistration has come first.
	case !u.reported && !u.contradictedBy(r):
		u.confirm()
		return newest
	case !u.reported:
		return u.contend(now, r)
	case run == u.last.run() && (u.gone || u.contradictedBy(r)):
		return doubtful
	case run == u.last.run() && r.Seq <= u.last.Seq:
		return repeated
	case run == u.last.run():
		u.confirm()
		return newest
	case !u.contradictedBy(r) && r.StartedMillis > u.last.StartedMillis && !slices.Contains(u.ended, run):
		return replacing
	}
	return u.contend(now, r)
}

// contradictedBy reports whether a report contradicts the settings and the current run, which may
// have taken over from what the settings promise.
func (u *upstream) contradictedBy(r *Report) bool {
	return u.promised.known() && u.promised.differs(r.endpoint()) && r.endpoint() != u.last.endpoint()
}

// contradictsSettings reports whether the current run is one whose reports contradict the settings.
func (u *upstream) contradictsSettings() bool {
	return u.reported && u.promised.known() && u.promised.differs(u.last.endpoint())
}

// confirm records that the current run has reported, which ends a contender. A claim does
// not end one that agrees with the settings.
func (u *upstream) confirm() {
	k := u.contender
	if k == nil || u.contradictsSettings() && !k.claim {
		return
	}
	u.refuted = u.refuted || k.claim
	u.contender = nil
}

// contend records a report of a contender, and returns the verdict on it. A contender that
// goes on reporting takes over from a run that is silent, or, before the first report, from
// the upstream that the settings promise. One that agrees with the settings takes over from
// a claim at once.
func (u *upstream) contend(now time.Duration, r *Report) verdict {
	run := r.run()
	k := u.contender
	if k == nil || k.run != run {
		claim := u.contradictedBy(r)
		if k == nil || k.claim || !claim {
			u.contender = &contender{
				run: run, seq: r.Seq, at: now, claim: claim,
				closes: r.Service != u.service && (!claim || !u.refuted || u.silent(now)),
			}
		}
		return doubtful
	}
	if r.Seq > k.seq && float64(now-k.at) >= contenderSpacing*float64(u.expected) && (u.silent(now) || u.contradictsSettings() && !k.claim) {
		if !u.reported {
			return newest
		}
		return replacing
	}
	return doubtful
}

// firstSeq returns the Seq of the first report received of the run of a report.
func (u *upstream) firstSeq(r *Report) int64 {
	if k := u.contender; k != nil && k.run == r.run() {
		return k.seq
	}
	return r.Seq
}

// silent reports whether the current run has missed a report or has left. Before the first
// report the time counts from the start of the agent.
func (u *upstream) silent(now time.Duration) bool {
	return u.gone || float64(now-u.reportAt) >= contendedSilence*float64(u.expected)
}

// endRun records that the current run has been replaced.
func (u *upstream) endRun() {
	u.contender, u.refuted = nil, false
	u.ended = append(u.ended, u.last.run())
	if len(u.ended) > maxEndedRuns {
		u.ended = u.ended[1:]
	}
}

// endRun handles that another run of the upstream has replaced the current one, and drops
// the flows of that. It was alive at its last report; a later flow may belong to the new
// process, and is dropped once that returns a packet of it.
func (c *Core) endRun(startedMillis int64) {
	u := &c.upstream
	u.endRun()
	c.resetOutcomes()
	if u.predatesAgent {
		// The new run has all the flows that the agent knows: what was heard of the other
		// one was late. Nor does a claim end a flow.
		return
	}
	dropped := c.table.DropBefore(u.reportAt)
	c.Counts.Ended += uint64(dropped)
	c.Log.WithFields(logrus.Fields{"event": "flowsDropped", "flows": dropped, "born": startedMillis, "bornBefore": u.last.StartedMillis}).Info("flows of the earlier run have ended")
	maps.DeleteFunc(c.openings, func(_ flow.Key, o *opening) bool { return o.at < u.reportAt })
}

// startedWithAgent reports whether an upstream has started at about the same time as the
// agent or later, so that it holds no flow of an earlier run of the agent. This is so if
// firstSeq, the number of the first report received of it, is at most maxFirstSeq and the
// upstream started at most minRestartMillis (400 ms) before the agent, so that an earlier run must
// have ended before. That no report came before says nothing: an upstream takes flows before it
// reports.
func (c *Core) startedWithAgent(firstSeq, startedMillis int64) bool {
	return firstSeq <= maxFirstSeq && startedMillis >= c.self.StartedMillis-minRestartMillis
}

// expireContender forgets a contender that has stopped reporting, and reports whether
// there was one that kept new flows away.
func (u *upstream) expireContender(now time.Duration) bool {
	k := u.contender
	if k == nil || float64(now-k.at) <= reportTimeoutFactor*float64(max(u.expected, defaultReportInterval)) {
		return false
	}
	u.contender = nil
	return k.closes
}

// leaves reports whether the deregistration of a run is that of the upstream, and not a
// late one of a run that has ended, or one of another writer: of other runs than the current
// one it counts only while that is silent. A deregistration may lack the start time.
func (u *upstream) leaves(now time.Duration, run runID) bool {
	last := u.last.run()
	if run.startedMillis <= 0 {
		run.startedMillis = last.startedMillis
	}
	switch {
	case !u.reported, run == last:
		return true
	case !u.silent(now):
		return false
	case u.contender != nil && u.contender.run == run:
		return true
	}
	return run.startedMillis > last.startedMillis && !slices.Contains(u.ended, run)
}
