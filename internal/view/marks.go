package view

import "time"

const (
	// MarkTTL is how long a balancer's marks stay valid without a renewal.
	MarkTTL = 3 * time.Second
	// MaxMarks limits the total number of marks: two on each of MaxEntries.
	MaxMarks = 2 * MaxEntries
)

// Condition is the health of a process as observed by one balancer.
type Condition uint8

// Conditions; a worse one has a higher value.
const (
	// Clear withdraws an earlier mark of the same balancer.
	Clear Condition = iota
	// Refusing means that the process answers but takes no new work. Unlike
	// Down, it is not overridden by packets received from the process.
	Refusing
	// Down means that the process does not answer.
	Down
)

// String returns the lower-case name of the condition.
func (c Condition) String() string {
	return [...]string{"clear", "refusing", "down"}[min(c, Down)]
}

// Mark is a balancer's report on the condition of another process.
type Mark struct {
	Target    Key
	Condition Condition
}

// MarkUpdate carries the latest changes to one balancer's marks, or all of its
// marks.
type MarkUpdate struct {
	// By is the balancer that set the marks, called their origin.
	By Key
	// Version counts the origin's changes up to and including this update.
	Version uint64
	// Full means that Marks holds all marks of the origin. Otherwise it holds
	// the last changes up to Version; each change raises the version by one.
	Full  bool
	Marks []Mark
	// Age is the time since the origin last renewed its marks.
	Age time.Duration
}

// Outcome is the result of Marks.Apply.
type Outcome uint8

// Outcomes of Marks.Apply.
const (
	// Ignored means that the update is not newer than the marks held, has
	// expired, or exceeds MaxMarks.
	Ignored Outcome = iota
	// Applied means that the update was stored.
	Applied
	// NeedsFull means that earlier changes are missing, so that a full update
	// is needed.
	NeedsFull
)

// origin holds the marks of one balancer as of version.
type origin struct {
	hash    uint64
	version uint64
	// renewedAt is the local time of the origin's last known renewal.
	renewedAt time.Duration
	marks     map[Key]Condition
}

// Marks holds the marks of all balancers, including those set by this balancer,
// its owner. Expiry uses only the local clock. It is not safe for concurrent
// use.
type Marks struct {
	origins map[Key]*origin
	// byTarget indexes the marks by target, then by origin. It holds no Clear.
	byTarget map[Key]map[Key]Condition
	// total is the number of marks of all origins.
	total int
	// refused counts the updates whose Age was negative or at least MarkTTL, and
	// those that would have exceeded MaxMarks.
	refused uint64
}

// NewMarks returns an empty set of marks.
func NewMarks() *Marks {
	return &Marks{origins: map[Key]*origin{}, byTarget: map[Key]map[Key]Condition{}}
}

// Set changes marks of the owner and returns the update to send to the other
// balancers. If the owner had no marks, the update is a full one, because other
// balancers may have dropped its empty list and its version.
func (m *Marks) Set(now time.Duration, self Key, ks ...Mark) MarkUpdate {
	o := m.origin(self)
	empty := len(o.marks) == 0
	o.version += uint64(len(ks))
	o.renewedAt = now
	for _, k := range ks {
		m.put(self, o, k)
	}
	return MarkUpdate{By: self, Version: o.version, Full: empty, Marks: ks}
}

// Apply stores an update if it is newer than the marks held of its origin.
func (m *Marks) Apply(now time.Duration, u MarkUpdate) Outcome {
	if u.Age < 0 || u.Age >= MarkTTL || m.total+len(u.Marks) > MaxMarks {
		m.refused++
		return Ignored
	}
	heldVersion := uint64(0)
	if o := m.origins[u.By]; o != nil {
		heldVersion = o.version
	}
	if u.Version <= heldVersion {
		return Ignored
	}
	if !u.Full && (uint64(len(u.Marks)) > u.Version || u.Version-uint64(len(u.Marks)) > heldVersion) {
		return NeedsFull
	}
	o := m.origin(u.By)
	o.renewedAt = max(o.renewedAt, now-u.Age)
	o.version = u.Version
	marks := u.Marks
	if u.Full {
		m.clear(u.By, o)
	} else {
		marks = marks[uint64(len(marks))-(u.Version-heldVersion):]
	}
	for _, k := range marks {
		m.put(u.By, o, k)
	}
	return Applied
}

func (m *Marks) origin(by Key) *origin {
	o := m.origins[by]
	if o == nil {
		o = &origin{hash: by.Hash(), renewedAt: -MarkTTL, marks: map[Key]Condition{}}
		m.origins[by] = o
	}
	return o
}

func (m *Marks) put(by Key, o *origin, mark Mark) {
	m.remove(by, o, mark.Target)
	if mark.Condition == Clear {
		return
	}
	o.marks[mark.Target] = mark.Condition
	if m.byTarget[mark.Target] == nil {
		m.byTarget[mark.Target] = map[Key]Condition{}
	}
	m.byTarget[mark.Target][by] = mark.Condition
	m.total++
}

func (m *Marks) remove(by Key, o *origin, target Key) {
	if _, ok := o.marks[target]; !ok {
		return
	}
	delete(o.marks, target)
	delete(m.byTarget[target], by)
	if len(m.byTarget[target]) == 0 {
		delete(m.byTarget, target)
	}
	m.total--
}

func (m *Marks) clear(by Key, o *origin) {
	for target := range o.marks {
		m.remove(by, o, target)
	}
}

// ReportedBy returns the condition of target that the balancer by reports.
func (m *Marks) ReportedBy(target, by Key) Condition { return m.byTarget[target][by] }

// List returns all marks of a balancer.
func (m *Marks) List(by Key) map[Key]Condition {
	if o := m.origins[by]; o != nil {
		return o.marks
	}
	return nil
}

// Worst returns the worst unexpired condition of target that balancers other
// than self report.
func (m *Marks) Worst(now time.Duration, target, self Key) Condition {
	worst := Clear
	for by, c := range m.byTarget[target] {
		if by != self && now-m.origins[by].renewedAt < MarkTTL {
			worst = max(worst, c)
		}
	}
	return worst
}

// All returns the result of Worst for every target that is not Clear.
func (m *Marks) All(now time.Duration, self Key) map[Key]Condition {
	all := map[Key]Condition{}
	for k := range m.byTarget {
		if c := m.Worst(now, k, self); c != Clear {
			all[k] = c
		}
	}
	return all
}

// Expire removes the marks of balancers other than self that were not renewed
// for MarkTTL, and returns the number of marks removed.
func (m *Marks) Expire(now time.Duration, self Key) int {
	before := m.total
	for by, o := range m.origins {
		if by != self && now-o.renewedAt >= MarkTTL {
			m.clear(by, o)
			delete(m.origins, by)
		}
	}
	return before - m.total
}

// Len returns the number of targets with at least one mark.
func (m *Marks) Len() int { return len(m.byTarget) }

// Refused returns the number of updates that were too old or exceeded MaxMarks.
func (m *Marks) Refused() uint64 { return m.refused }
