// Package connid encodes the address of an agent into QUIC connection IDs and
// decodes it again. It parses the version-independent part of QUIC headers and the
// packet types of version 1.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

const (
	// SecretSize is the length of a key's secret in octets.
	SecretSize = 32
	// maxKeyNumber leaves 7 unused; the QUIC-LB draft reserves it for unroutable
	// IDs.
	maxKeyNumber = 6
	// maxKeys is low because each key increases the probability that a
	// client-chosen ID decodes.
	maxKeys = 2
)

// Key holds the keys that are derived from one secret.
type Key struct {
	// Number is in the range 0 to 6 and unique within a Set.
	Number uint8
	// ResetKey is used to derive stateless reset tokens.
	ResetKey [32]byte
	// HopKey is the key of the hop header's MAC, as two 64-bit halves.
	HopKey [2]uint64

	block cipher.Block // encrypts connection IDs
}

// NewKey derives a key from a secret of SecretSize octets.
func NewKey(number uint8, secret []byte) (*Key, error) {
	if number > maxKeyNumber {
		return nil, fmt.Errorf("key number %d is greater than %d", number, maxKeyNumber)
	}
	if len(secret) != SecretSize {
		return nil, fmt.Errorf("secret of key %d has %d octets, want %d", number, len(secret), SecretSize)
	}
	derive := func(label string, n int) ([]byte, error) {
		return hkdf.Key(sha256.New, secret, nil, "bramleycourse "+label, n)
	}
	id, err := derive("connection id", 16)
	if err != nil {
		return nil, err
	}
	hop, err := derive("hop", 16)
	if err != nil {
		return nil, err
	}
	reset, err := derive("stateless reset", 32)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(id)
	if err != nil {
		return nil, err
	}
	k := &Key{Number: number, block: block}
	k.HopKey = [2]uint64{binary.LittleEndian.Uint64(hop), binary.LittleEndian.Uint64(hop[8:])}
	copy(k.ResetKey[:], reset)
	return k, nil
}

// Set is an immutable set of the accepted keys.
type Set struct {
	// Current is the key for new connection IDs. It is never nil.
	Current *Key

	byNumber [maxKeyNumber + 1]*Key
}

// NewSet builds a set of keys. current is the number of the key for new IDs.
func NewSet(current uint8, keys ...*Key) (*Set, error) {
	if len(keys) > maxKeys {
		return nil, fmt.Errorf("%d keys given, at most %d are allowed", len(keys), maxKeys)
	}
	var s Set
	for _, k := range keys {
		if s.byNumber[k.Number] != nil {
			return nil, fmt.Errorf("key number %d occurs twice", k.Number)
		}
		s.byNumber[k.Number] = k
	}
	if int(current) >= len(s.byNumber) || s.byNumber[current] == nil {
		return nil, fmt.Errorf("current key %d is not in the set of keys", current)
	}
	s.Current = s.byNumber[current]
	return &s, nil
}

// Key returns the key with the given number, or nil.
func (s *Set) Key(number uint8) *Key {
	if int(number) >= len(s.byNumber) {
		return nil
	}
	return s.byNumber[number]
}

// UnknownKey reports whether id has the format that Encode produces but names a
// key that is not in the set, for example one that was removed.
func (s *Set) UnknownKey(id []byte) bool {
	return len(id) == Size && id[0]&lengthMask == blockSize && s.Key(id[0]>>keyShift) == nil
}
