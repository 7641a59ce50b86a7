package view

import "time"

const (
	// MarkTime is how long a down mark holds after its receipt.
	MarkTime = 3 * time.Second
	// maxMarksPerKey bounds the balancers whose marks on one key are kept; two
	// balancers probe each endpoint, and a few more during changes.
	maxMarksPerKey = 8
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
	Target Key
	// By is the balancer that made the mark.
	By Key
	// Seq orders the marks of one balancer on one target.
	Seq       uint64
	Condition Condition
}

type markState struct {
	seq       uint64
	condition Condition
	expires   time.Duration
}

// Marks holds the down marks of all balancers. Expiry uses only the receiver's
// clock. It is not safe for concurrent use.
type Marks struct {
	byKey map[Key]map[Key]markState
}

// NewMarks returns an empty set of marks.
func NewMarks() *Marks { return &Marks{byKey: map[Key]map[Key]markState{}} }

// Put adopts a mark if it is newer than the one held from the same balancer
// and reports whether it did. A caller forwards only adopted marks.
func (m *Marks) Put(now time.Duration, k Mark) bool {
	by := m.byKey[k.Target]
	old, held := by[k.By]
	if held && k.Seq <= old.seq || k.Condition > Down || !held && len(by) >= maxMarksPerKey {
		return false
	}
	if by == nil {
		if len(m.byKey) >= MaxEntries {
			return false
		}
		by = map[Key]markState{}
		m.byKey[k.Target] = by
	}
	by[k.By] = markState{seq: k.Seq, condition: k.Condition, expires: now + MarkTime}
	return true
}

// Of returns the worst unexpired condition that a balancer other than self reported.
func (m *Marks) Of(now time.Duration, target, self Key) Condition {
	worst := Clear
	for by, s := range m.byKey[target] {
		if by != self && now < s.expires {
			worst = max(worst, s.condition)
		}
	}
	return worst
}

// All returns the worst unexpired condition of every key that a balancer other
// than self has marked.
func (m *Marks) All(now time.Duration, self Key) map[Key]Condition {
	all := map[Key]Condition{}
	for k := range m.byKey {
		if c := m.Of(now, k, self); c != Clear {
			all[k] = c
		}
	}
	return all
}

// Expire removes expired marks and returns the targets that lost a mark.
func (m *Marks) Expire(now time.Duration) []Key {
	var changed []Key
	for target, by := range m.byKey {
		lost := false
		for k, s := range by {
			if now >= s.expires {
				lost = lost || s.condition != Clear
				delete(by, k)
			}
		}
		if lost {
			changed = append(changed, target)
		}
		if len(by) == 0 {
			delete(m.byKey, target)
		}
	}
	return changed
}

// Len returns the number of marked keys.
func (m *Marks) Len() int { return len(m.byKey) }
