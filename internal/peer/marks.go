package peer

import (
	"fmt"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// renewInterval is the time between two renewals of marks. Each balancer on
	// the way passes a renewal on only with its own next one. With 440 balancers
	// and 6 sessions each, a renewal is passed on up to 4 times. Marks expire
	// after 3 s.
	renewInterval = 500 * time.Millisecond
	// maxFrameOrigins is the maximum number of origins in one frame about marks.
	maxFrameOrigins = 4096
	// maxTickGap is the time between two iterations of the loop in Run above
	// which the gap is treated as a pause of the process. It is less than the 4 s
	// after which other balancers end the session of a paused process.
	maxTickGap = 2 * time.Second
	// ageMargin is added to the ages that are sent, for the network delay.
	ageMargin = 20 * time.Millisecond
)

// Mark sets this balancer's marks on other processes and sends the changes in
// one message. With one message for each mark, the loss of a place would
// overflow the send queues of the sessions.
func (n *Node) Mark(ms ...view.Mark) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setMarks(ms...)
}

// setMarks is Mark for callers that hold the mutex.
func (n *Node) setMarks(ms ...view.Mark) {
	var changed []view.Mark
	// If a target occurs more than once, the last condition counts.
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

// sendMarks sends an update to all connected balancers except from; the caller
// holds the mutex.
func (n *Node) sendMarks(u view.MarkUpdate, from *session) {
	frame := marksFrame(u, false)
	for s := range n.sessions {
		if s != from && s.remote.Key.IsBalancer() {
			s.send(frame)
		}
	}
}

// renewMarks renews the marks at the connected balancers, removes expired ones,
// and withdraws this balancer's marks on processes that are gone; called once
// per renewInterval.
func (n *Node) renewMarks() {
	n.mu.Lock()
	for k := range n.marks.List(n.self.Key) {
		if e, ok := n.view.Get(k); !ok || e.State == view.Gone {
			n.setMarks(view.Mark{Target: k, Condition: view.Clear})
		}
	}
	expired := n.marks.Expire(n.now(), n.self.Key)
	n.changes += uint64(expired)
	if v := n.marks.Renewal(n.now(), n.self.Key); len(v.Ages) > 0 {
		p := encodeFrame(&Frame{Body: &Frame_Vouch{&Vouch{Hash: v.Hash, Ages: v.Ages}}})
		for s := range n.sessions {
			if s.remote.Key.IsBalancer() {
				s.send(p)
			}
		}
	}
	n.mu.Unlock()
	n.viewChanged(changedIf(expired > 0))
}

// paused reports whether the process has been paused and Run has not handled it
// yet. Until then, received marks and renewals are ignored: they may have been
// sent long ago, by balancers that have ended since. The caller holds the mutex.
func (n *Node) paused() bool { return n.lastTick > 0 && n.now()-n.lastTick > maxTickGap }

func (n *Node) recordTick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastTick = n.now()
}

// resetAfterPause drops the marks of other balancers after a pause, because they
// may be outdated, and closes the sessions to balancers; the dialers open new
// ones.
func (n *Node) resetAfterPause() {
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
	n.lastTick = n.now()
}

func (n *Node) handleVouch(s *session, v *Vouch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.paused() && !n.marks.Renew(n.now(), n.self.Key, view.Renewal{Hash: v.GetHash(), Ages: v.GetAges()}) {
		s.send(marksWantedFrame(nil))
	}
}

func (n *Node) handleMarksWanted(s *session, w *MarksWanted) error {
	if len(w.GetOrigins()) > maxFrameOrigins {
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
		if len(m.Versions) == maxFrameOrigins {
			break
		}
		m.Versions = append(m.Versions, &MarkVersion{Origin: v.Origin, Version: v.Version, AgeMillis: encodeAge(v.Age)})
	}
	s.send(encodeFrame(&Frame{Body: &Frame_MarkVersions{m}}))
	return nil
}

func (n *Node) handleMarkVersions(s *session, m *MarkVersions) error {
	if len(m.GetVersions()) > maxFrameOrigins {
		return &FrameError{"markVersions", "has too many origins"}
	}
	var vs []view.MarkVersion
	for _, v := range m.GetVersions() {
		vs = append(vs, view.MarkVersion{Origin: v.GetOrigin(), Version: v.GetVersion(), Age: decodeAge(v.GetAgeMillis())})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused() {
		return nil
	}
	if wanted := n.marks.Compare(n.now(), n.self.Key, vs); len(wanted) > 0 {
		s.send(marksWantedFrame(wanted))
	}
	return nil
}

func (n *Node) handleMarks(s *session, m *Marks) error {
	u, err := decodeMarks(m)
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
		s.send(marksWantedFrame([]uint64{u.By.Hash()}))
	}
	n.mu.Unlock()
	if outcome == view.Applied {
		n.viewChanged(marksChange(u.Marks))
	}
	return nil
}

// marksChange returns degraded unless all marks are Clear.
func marksChange(ms []view.Mark) change {
	for _, m := range ms {
		if m.Condition != view.Clear {
			return degraded
		}
	}
	return changed
}

func marksWantedFrame(origins []uint64) packet {
	return encodeFrame(&Frame{Body: &Frame_MarksWanted{&MarksWanted{Origins: origins}}})
}

func encodeAge(d time.Duration) uint32 { return uint32((d + ageMargin).Milliseconds()) }

func decodeAge(millis uint32) time.Duration { return time.Duration(millis) * time.Millisecond }

func marksFrame(u view.MarkUpdate, answer bool) packet {
	m := &Marks{By: encodeKey(u.By), Version: u.Version, Full: u.Full, AgeMillis: encodeAge(u.Age), Answer: answer}
	for _, k := range u.Marks {
		m.Marks = append(m.Marks, &Mark{Target: encodeKey(k.Target), Condition: uint32(k.Condition)})
	}
	return encodeFrame(&Frame{Body: &Frame_Marks{m}})
}

func decodeMarks(m *Marks) (view.MarkUpdate, error) {
	by, err := decodeKey(m.GetBy())
	if err != nil {
		return view.MarkUpdate{}, err
	}
	if !by.IsBalancer() {
		return view.MarkUpdate{}, &FrameError{"marks", "origin is not a balancer"}
	}
	u := view.MarkUpdate{By: by, Version: m.GetVersion(), Full: m.GetFull(), Age: decodeAge(m.GetAgeMillis())}
	for _, k := range m.GetMarks() {
		target, err := decodeKey(k.GetTarget())
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
