// Package field reads JSON documents that another writer may have sent or left in the platform's
// store. Each field that is read must be there, of its type and in its range; otherwise the
// document is refused as a whole, with a reason that is counted.
package field

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// Reason says why a document is refused.
type Reason uint8

// Reasons.
const (
	// Malformed documents are not JSON objects.
	Malformed Reason = iota
	Missing
	WrongType
	OutOfRange
	reasons
)

// String returns the reason in words.
func (r Reason) String() string {
	return [reasons]string{"is no JSON object", "is missing", "is of another type", "is out of range"}[r]
}

// Error says why a document is refused.
type Error struct {
	// Document names the document, Field the field by its path; empty if the document as a
	// whole is refused.
	Document, Field string
	Reason          Reason
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s %s", e.Document, e.Reason)
	}
	return fmt.Sprintf("%s: %s %s", e.Document, e.Field, e.Reason)
}

// Refusals counts refused documents by reason. It is safe for concurrent use.
type Refusals struct{ counts [reasons]atomic.Uint64 }

// Note counts a document if it was refused with an Error.
func (r *Refusals) Note(err error) {
	var e *Error
	if errors.As(err, &e) {
		r.counts[e.Reason].Add(1)
	}
}

// Count returns the number of documents that were refused for a reason.
func (r *Refusals) Count(why Reason) uint64 { return r.counts[why].Load() }

// maxText is the maximum length of a text in bytes. Names are passed on in datagrams.
const maxText = 255

// Reader reads the fields of a document. The first problem that a method finds is the result of
// Err; the values that the methods return afterwards are not to be used.
type Reader struct {
	document, path string
	fields         map[string]json.RawMessage
	// err is shared with the readers of inner objects.
	err *error
}

// Read returns a reader of a document. Names of fields are case-sensitive, and fields that are not
// read may hold anything.
func Read(document string, b []byte) *Reader {
	r := &Reader{document: document, err: new(error)}
	if json.Unmarshal(b, &r.fields) != nil || r.fields == nil {
		r.fail("", Malformed)
	}
	return r
}

// Err returns the error of the first field that could not be read; nil if there is none.
func (r *Reader) Err() error { return *r.err }

// Refuse refuses the document because a value is out of range.
func (r *Reader) Refuse(name string) { r.fail(name, OutOfRange) }

func (r *Reader) fail(name string, why Reason) {
	if *r.err == nil {
		*r.err = &Error{Document: r.document, Field: r.path + name, Reason: why}
	}
}

// Has reports whether a field is there and not null.
func (r *Reader) Has(name string) bool {
	raw, ok := r.fields[name]
	return ok && string(raw) != "null"
}

// Raw returns the bytes of a field; nil if it is missing or null.
func (r *Reader) Raw(name string) json.RawMessage {
	if !r.Has(name) {
		return nil
	}
	return r.fields[name]
}

// decode decodes a field that must be there, and reports whether it could.
func (r *Reader) decode(name string, v any) bool {
	switch {
	case !r.Has(name):
		r.fail(name, Missing)
	case json.Unmarshal(r.fields[name], v) != nil:
		r.fail(name, WrongType)
	default:
		return true
	}
	return false
}

// Text returns a text that is not empty.
func (r *Reader) Text(name string) (s string) {
	if r.decode(name, &s) && (s == "" || len(s) > maxText) {
		r.fail(name, OutOfRange)
	}
	return s
}

// Word returns one of some words.
func (r *Reader) Word(name string, words ...string) (s string) {
	if r.decode(name, &s) && !slices.Contains(words, s) {
		r.fail(name, OutOfRange)
	}
	return s
}

// Whole returns a whole number within bounds.
func (r *Reader) Whole(name string, least, most int64) int64 {
	var n json.Number
	if !r.decode(name, &n) {
		return 0
	}
	if string(r.fields[name])[0] == '"' {
		r.fail(name, WrongType)
		return 0
	}
	v, err := strconv.ParseInt(n.String(), 10, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange):
		r.fail(name, WrongType)
	case err != nil || v < least || v > most:
		r.fail(name, OutOfRange)
	}
	return v
}

// Number returns a number within bounds.
func (r *Reader) Number(name string, least, most float64) (v float64) {
	var n json.Number
	if !r.decode(name, &n) {
		return 0
	}
	if string(r.fields[name])[0] == '"' {
		r.fail(name, WrongType)
		return 0
	}
	v, err := n.Float64()
	if err != nil || !(v >= least && v <= most) {
		r.fail(name, OutOfRange)
	}
	return v
}

// Addr returns an IPv4 address with a port to which datagrams can be sent.
func (r *Reader) Addr(name string) (a netip.AddrPort) {
	var s string
	if !r.decode(name, &s) {
		return a
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		r.fail(name, OutOfRange)
	}
	return a
}

// Object returns a reader of an inner object; one without fields if there is none.
func (r *Reader) Object(name string) *Reader {
	in := &Reader{document: r.document, path: r.path + name + ".", err: r.err}
	if r.Has(name) {
		r.decode(name, &in.fields)
	}
	return in
}

// Objects returns readers of the objects in a list.
func (r *Reader) Objects(name string) []*Reader {
	var list []json.RawMessage
	if !r.decode(name, &list) {
		return nil
	}
	var rs []*Reader
	for n, raw := range list {
		in := &Reader{document: r.document, path: fmt.Sprintf("%s%s[%d].", r.path, name, n), err: r.err}
		if json.Unmarshal(raw, &in.fields) != nil || in.fields == nil {
			r.fail(fmt.Sprintf("%s[%d]", name, n), WrongType)
		}
		rs = append(rs, in)
	}
	return rs
}
