package ticket

import (
	"container/list"
	"time"
)

// Answer is a stored answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Trailer holds the fields that follow the body.
	Trailer map[string][]string
}

// entryOverhead approximates the memory that an answer takes besides its text.
const entryOverhead = 256

func (a *Answer) size() int {
	return entryOverhead + len(a.Body) + fieldsSize(a.Header) + fieldsSize(a.Trailer)
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
	// Tickets is the number of tickets that are unused, running or stored.
	Tickets int
	// AnswerBytes is the size up to which an answer is stored.
	AnswerBytes int
	// TotalBytes is the size of all stored answers.
	TotalBytes int
	// Unused is the time after which an unused ticket is forgotten.
	Unused time.Duration
	// Keep is the time for which an answer or a refusal is kept.
	Keep time.Duration
}

// DefaultLimits returns the limits of the design.
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
	// Run means that the request runs now, for the only time.
	Run Action = iota + 1
	// Wait means that the request is running; its end decides.
	Wait
	// Replay means that the stored answer is given.
	Replay
	// NotRun means that the ticket was used up by a refusal.
	NotRun
	// Unknown means that the request may have run and its answer is not stored.
	Unknown
)

// Decision is what Begin decides.
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

// entry is one ticket. A ticket that is not in the Store's map was forgotten.
type entry struct {
	serial Serial
	state  state
	// ends is when the entry is forgotten; zero while it runs.
	ends   time.Time
	answer *Answer
	reason Reason
	// request is that of the first use.
	request Hash
	// place is the entry's element in Store.idle or Store.ended; nil while it runs.
	place *list.Element
}

// Store holds the tickets of one agent.
type Store struct {
	issuer *Issuer
	limits Limits
	last   Serial
	known  map[Serial]*entry
	// idle holds unused tickets and ended the stored and refused ones, both
	// ordered by the time at which they are forgotten.
	idle, ended list.List
	bytes       int
}

// NewStore returns an empty Store.
func NewStore(m *Issuer, l Limits) *Store {
	return &Store{issuer: m, limits: l, known: map[Serial]*entry{}}
}

// Issue returns a new ticket, or the reason why there is none.
func (b *Store) Issue(now time.Time) (string, Reason) {
	b.expire(now)
	if len(b.known) >= b.limits.Tickets {
		return "", ReasonTickets
	}
	if b.bytes >= b.limits.TotalBytes {
		return "", ReasonBytes
	}
	b.last++
	e := &entry{serial: b.last, ends: now.Add(b.limits.Unused)}
	e.place = b.idle.PushBack(e)
	b.known[e.serial] = e
	return b.issuer.Text(e.serial), ReasonNone
}

// Begin decides about a request with the given ticket. Its first use binds the
// ticket to the request: another one neither runs nor gets the answer.
func (b *Store) Begin(now time.Time, text string, request Hash) Decision {
	b.expire(now)
	s, reason := b.issuer.read(text)
	if reason != ReasonNone {
		return Decision{Action: Unknown, Reason: reason}
	}
	e := b.known[s]
	if e == nil {
		return Decision{Action: Unknown, Reason: ReasonForgotten}
	}
	switch {
	case e.state == unused:
		b.idle.Remove(e.place)
		e.state, e.place, e.ends, e.request = begun, nil, time.Time{}, request
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

// Call records that the upstream is called for a begun ticket. From here on
// the ticket can no longer be refused.
func (b *Store) Call(s Serial) {
	if e := b.known[s]; e != nil && e.state == begun {
		e.state = called
	}
}

// Refuse uses up a begun ticket without a run. It returns false if the
// upstream was called; then the outcome is unknown and the ticket is forgotten.
func (b *Store) Refuse(now time.Time, s Serial, r Reason) bool {
	e := b.known[s]
	if e == nil || e.state != begun {
		b.Lose(s)
		return false
	}
	e.state, e.reason = refused, r
	b.end(now, e)
	return true
}

// Finish stores the answer of a called ticket if it fits, and returns whether it did.
func (b *Store) Finish(now time.Time, s Serial, a *Answer) bool {
	e := b.known[s]
	if e == nil || e.state != called {
		return false
	}
	b.expire(now)
	n := a.size()
	if n > b.limits.AnswerBytes || b.bytes+n > b.limits.TotalBytes {
		delete(b.known, s)
		return false
	}
	e.state, e.answer = stored, a
	b.bytes += n
	b.end(now, e)
	return true
}

// Lose forgets a running ticket whose outcome is unknown.
func (b *Store) Lose(s Serial) {
	if e := b.known[s]; e != nil && (e.state == begun || e.state == called) {
		delete(b.known, s)
	}
}

func (b *Store) end(now time.Time, e *entry) {
	e.ends = now.Add(b.limits.Keep)
	e.place = b.ended.PushBack(e)
}

// expire forgets what is older than its limit.
func (b *Store) expire(now time.Time) {
	for _, l := range []*list.List{&b.idle, &b.ended} {
		for l.Len() > 0 {
			e := l.Front().Value.(*entry)
			if now.Before(e.ends) {
				break
			}
			l.Remove(e.place)
			delete(b.known, e.serial)
			if e.answer != nil {
				b.bytes -= e.answer.size()
			}
		}
	}
}

// Size is the fill of a Store.
type Size struct {
	Tickets int `json:"tickets"`
	Bytes   int `json:"bytes"`
}

// Size returns the fill of the Store.
func (b *Store) Size() Size { return Size{Tickets: len(b.known), Bytes: b.bytes} }
