// Package ticket decides about requests that may not be repeated: each ticket
// runs at most once, and a repetition waits for the answer or gets the stored
// one. It holds no clock and is not safe for concurrent use.
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
	bodySize = 4 + 2 + 4 + 8
	macSize  = 16
)

// Issuer writes and reads the text form of the tickets of one agent.
type Issuer struct {
	self ident.EndpointID
	// key is drawn at each start, because only this run accepts its tickets.
	key []byte
}

// NewIssuer returns the issuer of an agent; key is secret.
func NewIssuer(self ident.EndpointID, key []byte) *Issuer {
	return &Issuer{self: self, key: key}
}

// Text returns the text form of a ticket.
func (m *Issuer) Text(s Serial) string {
	b := make([]byte, bodySize, bodySize+macSize)
	ip := m.self.Addr.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], m.self.Addr.Port())
	binary.BigEndian.PutUint32(b[6:], uint32(m.self.Instance))
	binary.BigEndian.PutUint64(b[10:], uint64(s))
	return base64.RawURLEncoding.EncodeToString(append(b, m.mac(b)...))
}

func (m *Issuer) mac(b []byte) []byte {
	h := hmac.New(sha256.New, m.key)
	h.Write(b)
	return h.Sum(nil)[:macSize]
}

// read returns the serial of a ticket of this run of the agent.
func (m *Issuer) read(text string) (Serial, Reason) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) != bodySize+macSize {
		return 0, ReasonMalformed
	}
	ip := m.self.Addr.Addr().As4()
	if [4]byte(b[:4]) != ip || binary.BigEndian.Uint16(b[4:]) != m.self.Addr.Port() {
		return 0, ReasonOtherAgent
	}
	if binary.BigEndian.Uint32(b[6:]) != uint32(m.self.Instance) {
		return 0, ReasonOtherInstance
	}
	if !hmac.Equal(b[bodySize:], m.mac(b[:bodySize])) {
		return 0, ReasonMAC
	}
	return Serial(binary.BigEndian.Uint64(b[10:])), ReasonNone
}
