package trial

import "container/heap"

// event is a function that runs at a model time. Events at the same time run in the
// order of seq.
type event struct {
	at  float64
	seq int
	run func()
}

// events is a heap of the scheduled events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// schedule runs a function after d units of model time.
func (m *model) schedule(d float64, run func()) {
	m.lastSeq++
	heap.Push(&m.events, event{m.now + d, m.lastSeq, run})
}
