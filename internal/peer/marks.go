package peer

import (
	"fmt"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// vouchInterval is the time between two vouches. Marks expire after 3 s,
	// and a vouch waits for the next one at every balancer that it passes: with
	// 440 balancers and 6 sessions each, that is up to 4 times.
	vouchInterval = 500 * time.Millisecond
	// maxOrigins bounds the balancers in one frame about marks.
	maxOrigins = 4096
	// pauseLimit is the longest time without a turn of Run that is no pause of
	// the process; the other balancers end a session after about 4 s.
	pauseLimit = 2 * time.Second
	// ageMargin is added to ages that are sent, for the time on the way.
	ageMargin = 20 * time.Millisecond
)

// Mark sets what this balancer itself found out about processes, all of it in
// one message: the loss of a place would otherwise fill the queues of sessions.
func (n *Node) Mark(ms ...view.Mark) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mark(ms...)
}

// mark is Mark for callers that hold the mutex.
func (n *Node) mark(ms ...view.Mark) {
	var changed []view.Mark
	// A target may occur twice, with the later condition the valid one.
	latest := map[view.Key]view.Condition{}
	for _, m := range ms {
		c, ok := latest[m.Target]
		if !ok {
			c = n.marks.ReportedBy(m.Target, n.self.Key)
		}
		if c != m.Condition {
			changed = append(changed, m)
		}
		latest[m.Target] = m.Condition
	}
	if len(changed) == 0 {
		return
	}
	n.changes++
	n.sendMarks(n.marks.Set(n.now(), n.self.Key, changed...), nil)
}

// MarkOf returns the worst condition that other balancers report of a process.
func (n *Node) MarkOf(k view.Key) view.Condition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.marks.Worst(n.now(), k, n.self.Key)
}

// sendMarks sends an update to all balancers but from; the caller holds the mutex.
func (n *Node) sendMarks(u view.MarkUpdate, from *session) {
	p := marksFrame(u, false)
	for s := range n.sessions {
		if s != from && s.remote.Key.IsBalancer() {
			s.send(p)
		}
	}
}

// vouch keeps the marks held here alive at the other balancers and removes
// those that expired; called once per vouchInterval.
func (n *Node) vouch() {
	n.mu.Lock()
	for k := range n.marks.List(n.self.Key) {
		if e, ok := n.view.Get(k); !ok || e.State == view.Gone {
			n.mark(view.Mark{Target: k, Condition: view.Clear})
		}
	}
	expired := n.marks.Expire(n.now(), n.self.Key)
	n.changes += uint64(expired)
	if v := n.marks.Renewal(n.now(), n.self.Key); len(v.Ages) > 0 {
		p := encode(&Frame{Body: &Frame_Vouch{&Vouch{Hash: v.Hash, Ages: v.Ages}}})
		for s := range n.sessions {
			if s.remote.Key.IsBalancer() {
				s.send(p)
			}
		}
	}
	n.mu.Unlock()
	n.viewChanged(changedIf(expired > 0))
}

// paused reports whether the process has been paused and Run has not noticed
// yet. What waits to be read then may have been sent long ago, by balancers
// that have ended since. The caller holds the mutex.
func (n *Node) paused() bool { return n.alive > 0 && n.now()-n.alive > pauseLimit }

func (n *Node) setAlive() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.alive = n.now()
}

// resume forgets the marks of others after a pause and meets them anew.
func (n *Node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused() {
		n.marks.Expire(n.now()+view.MarkTTL, n.self.Key)
		n.changes++
		n.pauses.Add(1)
		for s := range n.sessions {
			if s.remote.Key.IsBalancer() {
				s.close()
			}
		}
	}
	n.alive = n.now()
}

func (n *Node) handleVouch(s *session, v *Vouch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.paused() && !n.marks.Renew(n.now(), n.self.Key, view.Renewal{Hash: v.GetHash(), Ages: v.GetAges()}) {
		s.send(wantedFrame(nil))
	}
}

func (n *Node) handleMarksWanted(s *session, w *MarksWanted) error {
	if len(w.GetOrigins()) > maxOrigins {
		return &FrameError{"marksWanted", "has too many origins"}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(w.GetOrigins()) > 0 {
		for _, u := range n.marks.FullUpdates(n.now(), w.GetOrigins()) {
			s.send(marksFrame(u, true))
		}
		return nil
	}
	m := &MarkVersions{}
	for _, v := range n.marks.Versions(n.now()) {
		if len(m.Versions) == maxOrigins {
			break
		}
		m.Versions = append(m.Versions, &MarkVersion{Origin: v.Origin, Version: v.Version, AgeMillis: putAge(v.Age)})
	}
	s.send(encode(&Frame{Body: &Frame_MarkVersions{m}}))
	return nil
}

func (n *Node) handleMarkVersions(s *session, m *MarkVersions) error {
	if len(m.GetVersions()) > maxOrigins {
		return &FrameError{"markVersions", "has too many origins"}
	}
	var vs []view.MarkVersion
	for _, v := range m.GetVersions() {
		vs = append(vs, view.MarkVersion{Origin: v.GetOrigin(), Version: v.GetVersion(), Age: getAge(v.GetAgeMillis())})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused() {
		return nil
	}
	if wanted := n.marks.Compare(n.now(), n.self.Key, vs); len(wanted) > 0 {
		s.send(wantedFrame(wanted))
	}
	return nil
}

func (n *Node) handleMarks(s *session, m *Marks) error {
	u, err := getMarks(m)
	if err != nil {
		return err
	}
	n.mu.Lock()
	if e, ok := n.view.Get(u.By); !ok || e.State == view.Gone || u.By == n.self.Key || n.paused() {
		n.mu.Unlock()
		return nil
	}
	outcome := n.marks.Apply(n.now(), u)
	switch outcome {
	case view.Applied:
		n.changes++
		if !m.GetAnswer() {
			n.marksForwarded.Add(uint64(len(u.Marks)))
			n.sendMarks(u, s)
		}
	case view.NeedsFull:
		s.send(wantedFrame([]uint64{u.By.Hash()}))
	}
	n.mu.Unlock()
	if outcome == view.Applied {
		n.viewChanged(marksChange(u.Marks))
	}
	return nil
}

func marksChange(ms []view.Mark) change {
	for _, m := range ms {
		if m.Condition != view.Clear {
			return worse
		}
	}
	return changed
}

func wantedFrame(origins []uint64) packet {
	return encode(&Frame{Body: &Frame_MarksWanted{&MarksWanted{Origins: origins}}})
}

func putAge(d time.Duration) uint32 { return uint32((d + ageMargin).Milliseconds()) }

func getAge(millis uint32) time.Duration { return time.Duration(millis) * time.Millisecond }

func marksFrame(u view.MarkUpdate, answer bool) packet {
	m := &Marks{By: putKey(u.By), Version: u.Version, Full: u.Full, AgeMillis: putAge(u.Age), Answer: answer}
	for _, k := range u.Marks {
		m.Marks = append(m.Marks, &Mark{Target: putKey(k.Target), Condition: uint32(k.Condition)})
	}
	return encode(&Frame{Body: &Frame_Marks{m}})
}

func getMarks(m *Marks) (view.MarkUpdate, error) {
	by, err := getKey(m.GetBy())
	if err != nil {
		return view.MarkUpdate{}, err
	}
	if !by.IsBalancer() {
		return view.MarkUpdate{}, &FrameError{"marks", "come from no balancer"}
	}
	u := view.MarkUpdate{By: by, Version: m.GetVersion(), Full: m.GetFull(), Age: getAge(m.GetAgeMillis())}
	for _, k := range m.GetMarks() {
		target, err := getKey(k.GetTarget())
		if err != nil {
			return u, err
		}
		if k.GetCondition() > uint32(view.Down) {
			return u, &FrameError{"marks", fmt.Sprintf("condition %d is unknown", k.GetCondition())}
		}
		u.Marks = append(u.Marks, view.Mark{Target: target, Condition: view.Condition(k.GetCondition())})
	}
	return u, nil
}
