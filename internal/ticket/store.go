package ticket

import (
	"container/list"
	"time"
)

// Answer is an answer to repeat for further requests with the same ticket.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Trailer holds the trailer fields.
	Trailer map[string][]string
}

// answerOverhead approximates the memory in bytes that an answer takes besides
// its texts.
const answerOverhead = 256

func (a *Answer) size() int {
	return answerOverhead + len(a.Body) + fieldsSize(a.Header) + fieldsSize(a.Trailer)
}

func fieldsSize(h map[string][]string) int {
	n := 0
	for k, vs := range h {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Hash identifies the request that a ticket is used for.
type Hash [32]byte

// Limits bounds what a Store holds.
type Limits struct {
	// Tickets is the largest number of unused, running and stored tickets.
	Tickets int
	// AnswerBytes is the size up to which an answer is stored. The size includes
	// the body, header, trailer and answerOverhead.
	AnswerBytes int
	// TotalBytes is the size up to which answers are stored in all.
	TotalBytes int
	// Unused is the time after which an unused ticket expires.
	Unused time.Duration
	// Keep is the time for which an answer or a refusal is stored.
	Keep time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		Tickets:     20000,
		AnswerBytes: 64 << 10,
		TotalBytes:  32 << 20,
		Unused:      time.Minute,
		Keep:        time.Minute,
	}
}

// Reason says why a ticket was refused or its outcome is unknown.
type Reason string

// Reasons.
const (
	ReasonNone          Reason = ""
	ReasonMalformed     Reason = "ticket malformed"
	ReasonOtherAgent    Reason = "ticket of another agent"
	ReasonOtherInstance Reason = "ticket of another instance"
	ReasonMAC           Reason = "ticket MAC wrong"
	ReasonForgotten     Reason = "ticket no longer stored"
	ReasonOtherRequest  Reason = "ticket of another request"
	ReasonTickets       Reason = "too many tickets"
	ReasonBytes         Reason = "stored answers at their limit"
)

// Action says what to do with a request that carries a ticket.
type Action uint8

// Actions.
const (
	// Run means that the request is to run now; it is the ticket's only run.
	Run Action = iota + 1
	// Wait means that the request is running; the repetition waits for its
	// result.
	Wait
	// Replay means that the stored answer is sent.
	Replay
	// NotRun means that the ticket was refused, so the request does not run.
	NotRun
	// Unknown means that the store can't tell whether the request has run: the
	// ticket is invalid, no longer stored or was used for another request.
	Unknown
)

// Decision is the result of Store.Begin.
type Decision struct {
	Action Action
	// Serial is valid for Run and Wait.
	Serial Serial
	// Answer is set for Replay.
	Answer *Answer
	// Reason is set for NotRun and Unknown.
	Reason Reason
}

type state uint8

const (
	unused state = iota
	begun
	called
	stored
	refused
)

// entry is the state of one ticket. Tickets that have no entry are forgotten or
// were never issued.
type entry struct {
	serial Serial
	state  state
	// expires is when the entry is removed; zero while the ticket runs.
	expires time.Time
	answer  *Answer
	reason  Reason
	// request is the hash of the request of the first use.
	request Hash
	// element is the entry's element in Store.unusedList or Store.endedList;
	// nil while the ticket runs.
	element *list.Element
}

// Store holds the tickets of one agent.
type Store struct {
	issuer  *Issuer
	limits  Limits
	last    Serial
	entries map[Serial]*entry
	// unusedList holds the unused tickets and endedList the stored and refused
	// ones, both ordered by expiry.
	unusedList, endedList list.List
	storedBytes           int
}

// NewStore returns an empty Store.
func NewStore(issuer *Issuer, l Limits) *Store {
	return &Store{issuer: issuer, limits: l, entries: map[Serial]*entry{}}
}

// Issue returns a new ticket, or the reason why none is issued.
func (st *Store) Issue(now time.Time) (string, Reason) {
	st.expireTickets(now)
	if len(st.entries) >= st.limits.Tickets {
		return "", ReasonTickets
	}
	if st.storedBytes >= st.limits.TotalBytes {
		return "", ReasonBytes
	}
	st.last++
	e := &entry{serial: st.last, expires: now.Add(st.limits.Unused)}
	e.element = st.unusedList.PushBack(e)
	st.entries[e.serial] = e
	return st.issuer.Text(e.serial), ReasonNone
}

// Begin decides on a request with the given ticket. The first use binds the
// ticket to its request: another request with this ticket neither runs nor gets
// the answer.
func (st *Store) Begin(now time.Time, text string, request Hash) Decision {
	st.expireTickets(now)
	s, reason := st.issuer.parse(text)
	if reason != ReasonNone {
		return Decision{Action: Unknown, Reason: reason}
	}
	e := st.entries[s]
	if e == nil {
		return Decision{Action: Unknown, Reason: ReasonForgotten}
	}
	switch {
	case e.state == unused:
		st.unusedList.Remove(e.element)
		e.state, e.element, e.expires, e.request = begun, nil, time.Time{}, request
		return Decision{Action: Run, Serial: s}
	case e.state == refused:
		return Decision{Action: NotRun, Reason: e.reason}
	case e.request != request:
		return Decision{Action: Unknown, Reason: ReasonOtherRequest}
	case e.state == stored:
		return Decision{Action: Replay, Answer: e.answer}
	default:
		return Decision{Action: Wait, Serial: s}
	}
}

// MarkCalled records that the upstream is called for a begun ticket. From then
// on the ticket can no longer be refused.
func (st *Store) MarkCalled(s Serial) {
	if e := st.entries[s]; e != nil && e.state == begun {
		e.state = called
	}
}

// Refuse marks a begun ticket as refused without a run. It returns false if the
// upstream was called; then the outcome is unknown and the ticket is forgotten.
func (st *Store) Refuse(now time.Time, s Serial, r Reason) bool {
	e := st.entries[s]
	if e == nil || e.state != begun {
		st.Forget(s)
		return false
	}
	e.state, e.reason = refused, r
	st.retain(now, e)
	return true
}

// Finish stores the answer of a called ticket and reports whether it did. An
// answer that exceeds the limits is not stored and its ticket is forgotten.
func (st *Store) Finish(now time.Time, s Serial, a *Answer) bool {
	e := st.entries[s]
	if e == nil || e.state != called {
		return false
	}
	st.expireTickets(now)
	n := a.size()
	if n > st.limits.AnswerBytes || st.storedBytes+n > st.limits.TotalBytes {
		delete(st.entries, s)
		return false
	}
	e.state, e.answer = stored, a
	st.storedBytes += n
	st.retain(now, e)
	return true
}

// Forget removes a running ticket whose outcome is unknown.
func (st *Store) Forget(s Serial) {
	if e := st.entries[s]; e != nil && (e.state == begun || e.state == called) {
		delete(st.entries, s)
	}
}

func (st *Store) retain(now time.Time, e *entry) {
	e.expires = now.Add(st.limits.Keep)
	e.element = st.endedList.PushBack(e)
}

// expireTickets removes the tickets that have expired.
func (st *Store) expireTickets(now time.Time) {
	for _, l := range []*list.List{&st.unusedList, &st.endedList} {
		for l.Len() > 0 {
			e := l.Front().Value.(*entry)
			if now.Before(e.expires) {
				break
			}
			l.Remove(e.element)
			delete(st.entries, e.serial)
			if e.answer != nil {
				st.storedBytes -= e.answer.size()
			}
		}
	}
}

// Size is the number of tickets in a Store and the size of its stored answers.
type Size struct {
	Tickets int `json:"tickets"`
	Bytes   int `json:"bytes"`
}

// Size returns the current size of the Store.
func (st *Store) Size() Size { return Size{Tickets: len(st.entries), Bytes: st.storedBytes} }
