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

// Keys is the content of a keys file. It is rotated in three steps, each of
// which every process must have reread before the next: Add, Use, Drop.
type Keys struct {
	// Current is the number of the key for new connection IDs; it is in Keys.
	Current uint8 `json:"current"`
	// Keys holds one or two accepted keys with different numbers.
	Keys []Secret `json:"keys"`
}

// Secret is one key of a keys file.
type Secret struct {
	// Number is 0 to 6.
	Number uint8 `json:"number"`
	// Secret is 64 hexadecimal digits.
	Secret string `json:"secret"`
}

const (
	// maxAccepted is the number of keys that are accepted at a time.
	maxAccepted = 2
	// numbers is the number of key numbers.
	numbers = 7
)

// KeysError reports a step of a rotation that is not possible.
type KeysError struct {
	// Number is the key that the step is about.
	Number uint8
	// Reason says why the step is not possible.
	Reason string
}

// Error implements error.
func (e *KeysError) Error() string { return fmt.Sprintf("key %d: %s", e.Number, e.Reason) }

// NewKeys returns keys with one random key, the current one.
func NewKeys(number uint8) *Keys {
	return &Keys{Current: number, Keys: []Secret{newSecret(number)}}
}

func newSecret(number uint8) Secret {
	secret := make([]byte, connid.SecretSize)
	rand.Read(secret) // never fails on supported systems
	return Secret{Number: number, Secret: hex.EncodeToString(secret)}
}

// Add adds a random key that is accepted and not yet used, and returns its number.
func (k *Keys) Add() (uint8, error) {
	number := (k.Current + 1) % numbers
	if len(k.Keys) >= maxAccepted {
		return 0, &KeysError{number, "two keys are accepted already; drop one first"}
	}
	k.Keys = append(k.Keys, newSecret(number))
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

// Drop removes a key. Packets with connection IDs of it are dropped from then on.
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

// Write replaces a keys file in one step, readable by its owner only.
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
