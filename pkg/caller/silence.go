package caller

import "time"

// use says what a flow carries; it decides how soon silence matters.
type use int

const (
	useNone use = iota
	useRequest
	useFeed
)

type action int

const (
	actNone action = iota
	// actPing asks the server for a packet.
	actPing
	// actMigrate moves the flow to a new socket.
	actMigrate
	// actClose gives the flow up.
	actClose
)

const (
	// silentRTTs is the number of smoothed round trips without an answer after
	// which a path counts as silent.
	silentRTTs = 4
	// keepAliveGrace is the time that the answer to a keep-alive of the QUIC
	// library may take before a ping follows.
	keepAliveGrace = time.Second
	// maxMigrateWait bounds the wait between two migrations.
	maxMigrateWait = 5 * time.Second
	// Intervals between the steps of a flow. A step notices packets late by up
	// to its interval, so maxFeedPing and feedStep together stay within a second.
	idleStep = 500 * time.Millisecond
	feedStep = 100 * time.Millisecond
	busyStep = 50 * time.Millisecond
	// An open feed waits for a packet for feedGaps times the usual gap between
	// packets before it asks for one. Answers to pings count as packets, so the
	// gap of a feed without events grows until it pings each maxFeedPing.
	feedGaps    = 4
	minFeedPing = 300 * time.Millisecond
	maxFeedPing = 800 * time.Millisecond
	// gapWeight is the inverse weight of the latest gap in the smoothed one.
	gapWeight = 8
)

// silence decides when a path is silent. A path is silent when a ping is not
// answered within the limit, because silence alone may be a slow upstream.
type silence struct {
	keepAlive, floor, giveUp time.Duration

	received     uint64
	lastReceived time.Time
	// gap is the smoothed time between packets, averaged over each step.
	gap time.Duration
	// pinged is the time of the first ping since the last packet, or zero.
	pinged time.Time
	// migrations counts those since the last packet, nextMigration is the
	// earliest time of another.
	migrations    int
	nextMigration time.Time
}

func (s *silence) init(now time.Time, keepAlive, floor, giveUp time.Duration) {
	*s = silence{keepAlive: keepAlive, floor: floor, giveUp: giveUp, lastReceived: now, gap: maxFeedPing}
}

// limit is the longest time without an answer to a ping.
func (s *silence) limit(rtt time.Duration) time.Duration { return max(silentRTTs*rtt, s.floor) }

// step takes the number of packets received so far and returns what to do and
// when to step again.
func (s *silence) step(now time.Time, received uint64, rtt time.Duration, u use) (action, time.Duration) {
	if received != s.received {
		gap := now.Sub(s.lastReceived) / time.Duration(received-s.received)
		s.gap += (gap - s.gap) / gapWeight
		s.received = received
		s.lastReceived = now
		s.pinged = time.Time{}
		s.migrations = 0
	}
	a := s.decide(now, rtt, u)
	return a, s.interval(u)
}

func (s *silence) interval(u use) time.Duration {
	switch {
	case !s.pinged.IsZero() || u == useRequest:
		return busyStep
	case u == useFeed:
		return feedStep
	default:
		return idleStep
	}
}

func (s *silence) decide(now time.Time, rtt time.Duration, u use) action {
	quiet := now.Sub(s.lastReceived)
	limit := s.limit(rtt)
	switch {
	case !s.pinged.IsZero() && now.Sub(s.pinged) >= s.giveUp:
		return actClose
	case s.pinged.IsZero() && quiet >= s.pingAfter(limit, u):
		s.pinged = now
		return actPing
	case s.pinged.IsZero() || now.Sub(s.pinged) < limit:
		return actNone
	case s.migrations > 0 && now.Before(s.nextMigration):
		return actNone
	}
	// The first wait is as long as the probe of the new path.
	s.nextMigration = now.Add(max(probeTime*limit, min(probeTime*limit<<min(s.migrations, 8), maxMigrateWait)))
	s.migrations++
	return actMigrate
}

// pingAfter is the time without a packet after which a ping is due.
func (s *silence) pingAfter(limit time.Duration, u use) time.Duration {
	switch u {
	case useRequest:
		return limit / 2
	case useFeed:
		return min(max(feedGaps*s.gap, minFeedPing), maxFeedPing)
	default:
		return s.keepAlive + keepAliveGrace
	}
}
