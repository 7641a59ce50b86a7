package certs

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/connid"
)

// Keys is the content of a keys file. A rotation takes three steps: Add, Use and Drop.
// Every process must have reloaded the file after each step before the next.
type Keys struct {
	// Current is the number of the key for new connection IDs; it is in Keys.
	Current uint8 `json:"current"`
	// Keys holds one or two accepted keys with different numbers.
	Keys []Key `json:"keys"`
}

// Key is one key of a keys file.
type Key struct {
	// Number is 0 to 6.
	Number uint8 `json:"number"`
	// Secret is 64 hexadecimal digits.
	Secret string `json:"secret"`
}

const (
	// maxKeys is the number of keys that are accepted at a time.
	maxKeys = 2
	// numberCount is the count of key numbers, 0 to 6.
	numberCount = 7
)

// KeysError reports a rotation step that is not possible.
type KeysError struct {
	// Number is the number of the key to add, use or drop.
	Number uint8
	// Reason says why the step is not possible.
	Reason string
}

// Error implements error.
func (e *KeysError) Error() string { return fmt.Sprintf("key %d: %s", e.Number, e.Reason) }

// NewKeys returns keys with one random key, which is the current one.
func NewKeys(number uint8) *Keys {
	return &Keys{Current: number, Keys: []Key{newKey(number)}}
}

func newKey(number uint8) Key {
	secret := make([]byte, connid.SecretSize)
	rand.Read(secret) // never fails on supported systems
	return Key{Number: number, Secret: hex.EncodeToString(secret)}
}

// Add adds a random key and returns its number. The key is accepted, but not yet used
// for new connection IDs.
func (k *Keys) Add() (uint8, error) {
	number := (k.Current + 1) % numberCount
	if len(k.Keys) >= maxKeys {
		return 0, &KeysError{number, "two keys are accepted already; drop one first"}
	}
	k.Keys = append(k.Keys, newKey(number))
	return number, nil
}

// Use makes an accepted key the current one.
func (k *Keys) Use(number uint8) error {
	if k.index(number) < 0 {
		return &KeysError{number, "is not in the file"}
	}
	k.Current = number
	return nil
}

// Drop removes a key. From then on, packets are dropped if the key was used for their
// connection IDs.
func (k *Keys) Drop(number uint8) error {
	i := k.index(number)
	switch {
	case i < 0:
		return &KeysError{number, "is not in the file"}
	case number == k.Current:
		return &KeysError{number, "is the current key; make another one current first"}
	}
	k.Keys = append(k.Keys[:i], k.Keys[i+1:]...)
	return nil
}

// index returns the index of a key in Keys, or -1.
func (k *Keys) index(number uint8) int {
	for i := range k.Keys {
		if k.Keys[i].Number == number {
			return i
		}
	}
	return -1
}

// JSON returns the content of the file.
func (k *Keys) JSON() []byte {
	b, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		panic(err) // numbers and strings are always encoded
	}
	return append(b, '\n')
}

// ReadKeys reads a keys file.
func ReadKeys(file string) (*Keys, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var k Keys
	if err := dec.Decode(&k); err != nil {
		return nil, errors.Annotatef(err, "keys file %s", file)
	}
	if k.index(k.Current) < 0 {
		return nil, errors.Annotatef(&KeysError{k.Current, "is current and not in the file"}, "keys file %s", file)
	}
	return &k, nil
}

// Write replaces a keys file atomically. Only the owner can read the new file.
func (k *Keys) Write(file string) error {
	f, err := os.CreateTemp(filepath.Dir(file), ".keys-*")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(k.JSON())
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(f.Name(), file))
}
