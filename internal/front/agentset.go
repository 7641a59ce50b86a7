package front

import (
	"iter"
	"math/bits"
	"time"
)

// agentSet is a set of agents by their index.
type agentSet []uint64

func (s *agentSet) add(index int) {
	for len(*s) <= index/64 {
		*s = append(*s, 0)
	}
	(*s)[index/64] |= 1 << (index % 64)
}

func (s agentSet) has(index int) bool { return index/64 < len(s) && s[index/64]&(1<<(index%64)) != 0 }

// word returns a word of the set that may lie behind its end.
func (s agentSet) word(n int) uint64 {
	if n < len(s) {
		return s[n]
	}
	return 0
}

// without returns the indexes in s that are not in o.
func (s agentSet) without(o agentSet) iter.Seq[int] {
	return func(yield func(int) bool) {
		for n := range s {
			for left := s[n] &^ o.word(n); left != 0; left &= left - 1 {
				if !yield(64*n + bits.TrailingZeros64(left)) {
					return
				}
			}
		}
	}
}

// countWithout returns the number of indexes in s that are not in o.
func (s agentSet) countWithout(o agentSet) int {
	n := 0
	for i := range s {
		n += bits.OnesCount64(s[i] &^ o.word(i))
	}
	return n
}

// freedIndex is the index of an agent that was removed at a time.
type freedIndex struct {
	index int
	at    time.Duration
}

// newIndex returns an index for an agent.
func (t *agentTable) newIndex(now time.Duration) int {
	if len(t.freed) > 0 && now-t.freed[0].at > 2*searchLifetime {
		f := t.freed[0]
		t.freed = t.freed[1:]
		return f.index
	}
	t.lastIndex++
	return t.lastIndex
}
