package view

import "time"

const (
	// MarkTime is how long a balancer's marks hold after it was last heard of.
	MarkTime = 3 * time.Second
	// MaxMarks bounds the marks of all balancers: two on each of MaxEntries.
	MaxMarks = 2 * MaxEntries
)

// Condition is what a balancer found out about a process.
type Condition uint8

// Conditions; a worse one has a higher value.
const (
	// Clear takes an earlier mark of the same balancer back.
	Clear Condition = iota
	// Refusing means that the process answers and takes no new work. Own
	// evidence of life says nothing against it.
	Refusing
	// Down means that the process does not answer.
	Down
)

// String returns the lower-case name of the condition.
func (c Condition) String() string {
	return [...]string{"clear", "refusing", "down"}[min(c, Down)]
}

// Mark says in which condition a balancer found a process.
type Mark struct {
	Target    Key
	Condition Condition
}

// MarkUpdate is a change of the marks of one balancer, or all of them.
type MarkUpdate struct {
	// By is the balancer that made the marks, their origin.
	By Key
	// Version counts the changes of the origin's marks up to this update.
	Version uint64
	// Full says that Marks is the whole list. Otherwise the marks are the last
	// changes before Version, one version each.
	Full  bool
	Marks []Mark
	// Age is the time since the origin was last heard of.
	Age time.Duration
}

// Outcome says what became of an update.
type Outcome uint8

// Outcomes.
const (
	// Known means that the version was held already, or cannot be held.
	Known Outcome = iota
	// Adopted means that the marks changed.
	Adopted
	// Missing means that changes before the update are unknown here, so the
	// whole list is needed.
	Missing
)

// origin holds the marks of one balancer exactly as they were at its version.
type origin struct {
	hash    uint64
	version uint64
	// heard is the local time at which the origin last vouched for its marks,
	// as far as known here.
	heard time.Duration
	marks map[Key]Condition
}

// Marks holds the down marks of all balancers, those of its owner included.
// Expiry uses only the owner's clock. It is not safe for concurrent use.
type Marks struct {
	origins map[Key]*origin
	// byTarget indexes the marks that are not clear by target and origin.
	byTarget map[Key]map[Key]Condition
	total    int
	refused  uint64
}

// NewMarks returns an empty set of marks.
func NewMarks() *Marks {
	return &Marks{origins: map[Key]*origin{}, byTarget: map[Key]map[Key]Condition{}}
}

// Set changes marks of the owner and returns the update for the others. An
// update out of an empty list is a full one, so that a balancer that has
// forgotten the empty list needs no other.
func (m *Marks) Set(now time.Duration, self Key, ks ...Mark) MarkUpdate {
	o := m.origin(self)
	empty := len(o.marks) == 0
	o.version += uint64(len(ks))
	o.heard = now
	for _, k := range ks {
		m.put(self, o, k)
	}
	return MarkUpdate{By: self, Version: o.version, Full: empty, Marks: ks}
}

// Apply adopts an update that is newer than what is held of its origin.
func (m *Marks) Apply(now time.Duration, u MarkUpdate) Outcome {
	if u.Age < 0 || u.Age >= MarkTime || m.total+len(u.Marks) > MaxMarks {
		m.refused++
		return Known
	}
	held := uint64(0)
	if o := m.origins[u.By]; o != nil {
		held = o.version
	}
	if u.Version <= held {
		return Known
	}
	if !u.Full && (uint64(len(u.Marks)) > u.Version || u.Version-uint64(len(u.Marks)) > held) {
		return Missing
	}
	o := m.origin(u.By)
	o.heard = max(o.heard, now-u.Age)
	o.version = u.Version
	marks := u.Marks
	if u.Full {
		m.clear(u.By, o)
	} else {
		marks = marks[uint64(len(marks))-(u.Version-held):]
	}
	for _, k := range marks {
		m.put(u.By, o, k)
	}
	return Adopted
}

func (m *Marks) origin(by Key) *origin {
	o := m.origins[by]
	if o == nil {
		o = &origin{hash: by.Hash(), heard: -MarkTime, marks: map[Key]Condition{}}
		m.origins[by] = o
	}
	return o
}

func (m *Marks) put(by Key, o *origin, k Mark) {
	m.remove(by, o, k.Target)
	if k.Condition == Clear {
		return
	}
	o.marks[k.Target] = k.Condition
	if m.byTarget[k.Target] == nil {
		m.byTarget[k.Target] = map[Key]Condition{}
	}
	m.byTarget[k.Target][by] = k.Condition
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

// Own returns the condition that a balancer reports of a target.
func (m *Marks) Own(target, by Key) Condition { return m.byTarget[target][by] }

// List returns all marks of a balancer.
func (m *Marks) List(by Key) map[Key]Condition {
	if o := m.origins[by]; o != nil {
		return o.marks
	}
	return nil
}

// Of returns the worst unexpired condition that a balancer other than self reported.
func (m *Marks) Of(now time.Duration, target, self Key) Condition {
	worst := Clear
	for by, c := range m.byTarget[target] {
		if by != self && now-m.origins[by].heard < MarkTime {
			worst = max(worst, c)
		}
	}
	return worst
}

// All returns the worst unexpired condition of every key that a balancer other
// than self has marked.
func (m *Marks) All(now time.Duration, self Key) map[Key]Condition {
	all := map[Key]Condition{}
	for k := range m.byTarget {
		if c := m.Of(now, k, self); c != Clear {
			all[k] = c
		}
	}
	return all
}

// Expire removes the marks of balancers that were not heard of for MarkTime,
// but for the owner's, and returns how many marks it removed.
func (m *Marks) Expire(now time.Duration, self Key) int {
	before := m.total
	for by, o := range m.origins {
		if by != self && now-o.heard >= MarkTime {
			m.clear(by, o)
			delete(m.origins, by)
		}
	}
	return before - m.total
}

// Len returns the number of marked keys.
func (m *Marks) Len() int { return len(m.byTarget) }

// Refused returns how many updates were too old or did not fit.
func (m *Marks) Refused() uint64 { return m.refused }
