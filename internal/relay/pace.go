package relay

import "time"

const (
	// rebuildInterval is the least time between two routing tables, but for
	// changes that make something unusable.
	rebuildInterval = 20 * time.Millisecond
	// rebuildShare stretches rebuildInterval to this multiple of the time that
	// the last rebuild took, 14 to 34 ms at the target size, so that a storm of
	// changes takes at most a tenth of a core.
	rebuildShare = 10
	// urgentShare is the multiple after changes that make something unusable;
	// a storm of them takes at most a quarter of a core.
	urgentShare = 3
)

// pace decides when the routing table is rebuilt.
type pace struct {
	// ended is when the last rebuild ended, and took its duration.
	ended time.Time
	took  time.Duration
	// wanted is true when a change waits; due is when it is taken over.
	wanted bool
	due    time.Time
}

// ask reports a change that the next rebuild must take over.
func (p *pace) ask(urgent bool) {
	wait := max(rebuildInterval, rebuildShare*p.took)
	if urgent {
		wait = urgentShare * p.took
	}
	due := p.ended.Add(wait)
	if !p.wanted || due.Before(p.due) {
		p.wanted, p.due = true, due
	}
}

// rebuilt records a rebuild.
func (p *pace) rebuilt(begin, end time.Time) {
	*p = pace{ended: end, took: end.Sub(begin)}
}
