package caller

import "time"

// usage is what a flow carries. It determines how soon a quiet path is pinged.
type usage int

const (
	usageIdle usage = iota
	usageRequest
	usageFeed
)

type action int

const (
	actNone action = iota
	// actPing makes the server send a packet.
	actPing
	// actMigrate moves the connection to a new socket.
	actMigrate
	// actClose closes the flow.
	actClose
)

const (
	// answerTimeoutRTTs is the time without an answer to a ping after which a
	// path counts as silent, in smoothed round-trip times.
	answerTimeoutRTTs = 4
	// keepAliveGrace is the time allowed for the answer to a keep-alive packet
	// of the QUIC library before a ping is sent.
	keepAliveGrace = time.Second
	// maxMigrationInterval limits the wait between two migration attempts,
	// unless the probe of a new path takes longer.
	maxMigrationInterval = 5 * time.Second
	// Intervals between the steps of a monitor. A step notices packets late by
	// up to its interval, so maxFeedPing plus feedStep must stay below 1 s.
	idleStep = 500 * time.Millisecond
	feedStep = 100 * time.Millisecond
	busyStep = 50 * time.Millisecond
	// A feed is pinged after feedGapFactor times the smoothed gap between
	// packets, within minFeedPing and maxFeedPing. Answers to pings count as
	// packets, so the gap of a feed without events grows until a ping is sent
	// every maxFeedPing.
	feedGapFactor = 4
	minFeedPing   = 300 * time.Millisecond
	maxFeedPing   = 800 * time.Millisecond
	// gapSmoothing is the inverse weight of the latest gap in the smoothed gap.
	gapSmoothing = 8
)

// pathMonitor decides when a path is silent: when a ping is not answered within
// the answer timeout. The lack of packets alone may be due to a slow upstream.
type pathMonitor struct {
	keepAlive, minAnswerTimeout, giveUpAfter time.Duration

	packetsReceived uint64
	lastReceived    time.Time
	// smoothedGap is the smoothed time between packets, averaged over each step.
	smoothedGap time.Duration
	// firstPing is the time of the first ping since the last packet, or zero.
	firstPing time.Time
	// migrations counts migration attempts since the last packet. nextMigration
	// is the earliest time of the next.
	migrations    int
	nextMigration time.Time
}

func (m *pathMonitor) init(now time.Time, keepAlive, minAnswerTimeout, giveUpAfter time.Duration) {
	*m = pathMonitor{keepAlive: keepAlive, minAnswerTimeout: minAnswerTimeout, giveUpAfter: giveUpAfter, lastReceived: now, smoothedGap: maxFeedPing}
}

// answerTimeout is the time without an answer to a ping after which the path
// counts as silent.
func (m *pathMonitor) answerTimeout(rtt time.Duration) time.Duration {
	return max(answerTimeoutRTTs*rtt, m.minAnswerTimeout)
}

// step takes the total number of packets received and returns the action due
// and the time until the next step.
func (m *pathMonitor) step(now time.Time, received uint64, rtt time.Duration, u usage) (action, time.Duration) {
	if received != m.packetsReceived {
		gap := now.Sub(m.lastReceived) / time.Duration(received-m.packetsReceived)
		m.smoothedGap += (gap - m.smoothedGap) / gapSmoothing
		m.packetsReceived = received
		m.lastReceived = now
		m.firstPing = time.Time{}
		m.migrations = 0
	}
	a := m.decide(now, rtt, u)
	return a, m.nextStep(u)
}

func (m *pathMonitor) nextStep(u usage) time.Duration {
	switch {
	case !m.firstPing.IsZero() || u == usageRequest:
		return busyStep
	case u == usageFeed:
		return feedStep
	default:
		return idleStep
	}
}

func (m *pathMonitor) decide(now time.Time, rtt time.Duration, u usage) action {
	sinceLastPacket := now.Sub(m.lastReceived)
	answerTimeout := m.answerTimeout(rtt)
	switch {
	case !m.firstPing.IsZero() && now.Sub(m.firstPing) >= m.giveUpAfter:
		return actClose
	case m.firstPing.IsZero() && sinceLastPacket >= m.pingAfter(answerTimeout, u):
		m.firstPing = now
		return actPing
	case m.firstPing.IsZero() || now.Sub(m.firstPing) < answerTimeout:
		return actNone
	case m.migrations > 0 && now.Before(m.nextMigration):
		return actNone
	}
	// The first wait is as long as the probe of the new path.
	m.nextMigration = now.Add(max(probeTimeoutFactor*answerTimeout, min(probeTimeoutFactor*answerTimeout<<min(m.migrations, 8), maxMigrationInterval)))
	m.migrations++
	return actMigrate
}

// pingAfter returns the time without a packet after which a ping is due.
func (m *pathMonitor) pingAfter(answerTimeout time.Duration, u usage) time.Duration {
	switch u {
	case usageRequest:
		return answerTimeout / 2
	case usageFeed:
		return min(max(feedGapFactor*m.smoothedGap, minFeedPing), maxFeedPing)
	default:
		return m.keepAlive + keepAliveGrace
	}
}
