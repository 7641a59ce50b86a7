// Package ticket decides on requests that must not run more than once: a ticket
// runs at most one request, and a repetition waits for the answer or gets the
// stored one. It uses no clock and is not safe for concurrent use.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Serial numbers the tickets of one agent in the order of their issue.
type Serial uint64

const (
	ticketBodySize = 4 + 2 + 4 + 8
	macSize        = 16
)

// Issuer encodes and verifies the tickets of one agent.
type Issuer struct {
	self ident.EndpointID
	// key is drawn at each start, because only this instance accepts its
	// tickets.
	key []byte
}

// NewIssuer returns the issuer of an agent with a secret MAC key.
func NewIssuer(self ident.EndpointID, key []byte) *Issuer {
	return &Issuer{self: self, key: key}
}

// Text returns the encoded form of a ticket.
func (is *Issuer) Text(s Serial) string {
	b := make([]byte, ticketBodySize, ticketBodySize+macSize)
	ip := is.self.Addr.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], is.self.Addr.Port())
	binary.BigEndian.PutUint32(b[6:], uint32(is.self.Instance))
	binary.BigEndian.PutUint64(b[10:], uint64(s))
	return base64.RawURLEncoding.EncodeToString(append(b, is.mac(b)...))
}

func (is *Issuer) mac(b []byte) []byte {
	h := hmac.New(sha256.New, is.key)
	h.Write(b)
	return h.Sum(nil)[:macSize]
}

// parse returns the serial of a ticket issued by this instance of the agent.
func (is *Issuer) parse(text string) (Serial, Reason) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) != ticketBodySize+macSize {
		return 0, ReasonMalformed
	}
	ip := is.self.Addr.Addr().As4()
	if [4]byte(b[:4]) != ip || binary.BigEndian.Uint16(b[4:]) != is.self.Addr.Port() {
		return 0, ReasonOtherAgent
	}
	if binary.BigEndian.Uint32(b[6:]) != uint32(is.self.Instance) {
		return 0, ReasonOtherInstance
	}
	if !hmac.Equal(b[ticketBodySize:], is.mac(b[:ticketBodySize])) {
		return 0, ReasonMAC
	}
	return Serial(binary.BigEndian.Uint64(b[10:])), ReasonNone
}
