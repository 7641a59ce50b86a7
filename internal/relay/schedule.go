package relay

import "time"

const (
	// minRebuildInterval is the least time between two rebuilds of the routing
	// table. It does not apply to changes that make something unusable.
	minRebuildInterval = 20 * time.Millisecond
	// rebuildDelayFactor is the least delay as a multiple of the duration of
	// the last rebuild, which is 14 to 34 ms at the target size. It limits
	// continuous changes to a tenth of a core.
	rebuildDelayFactor = 10
	// urgentDelayFactor is the multiple for changes that make something
	// unusable. It limits such changes to a quarter of a core.
	urgentDelayFactor = 3
)

// rebuildSchedule schedules the rebuilds of the routing table.
type rebuildSchedule struct {
	// ended is when the last rebuild ended; duration is how long it took.
	ended    time.Time
	duration time.Duration
	// pending is true if a rebuild is pending; due is when it may run.
	pending bool
	due     time.Time
}

// request schedules a rebuild for a change.
func (s *rebuildSchedule) request(urgent bool) {
	wait := max(minRebuildInterval, rebuildDelayFactor*s.duration)
	if urgent {
		wait = urgentDelayFactor * s.duration
	}
	due := s.ended.Add(wait)
	if !s.pending || due.Before(s.due) {
		s.pending, s.due = true, due
	}
}

// finished records a rebuild.
func (s *rebuildSchedule) finished(begin, end time.Time) {
	*s = rebuildSchedule{ended: end, duration: end.Sub(begin)}
}
