package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"github.com/bramleycourse/bramleycourse/internal/connid"
)

// keysFile is the JSON form of a keys file.
type keysFile struct {
	Current uint8      `json:"current"`
	Keys    []keyEntry `json:"keys"`
}

type keyEntry struct {
	Number uint8 `json:"number"`
	// Secret is in hexadecimal.
	Secret string `json:"secret"`
}

// LoadKeys reads and validates a keys file.
func LoadKeys(path string) (*connid.Set, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseKeys(b)
}

func parseKeys(b []byte) (*connid.Set, error) {
	var f keysFile
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, err
	}
	var keys []*connid.Key
	for i, entry := range f.Keys {
		secret, err := hex.DecodeString(entry.Secret)
		if err != nil {
			return nil, &FieldError{fmt.Sprintf("keys[%d].secret", i), "is not hexadecimal"}
		}
		k, err := connid.NewKey(entry.Number, secret)
		if err != nil {
			return nil, &FieldError{fmt.Sprintf("keys[%d]", i), err.Error()}
		}
		keys = append(keys, k)
	}
	s, err := connid.NewSet(f.Current, keys...)
	if err != nil {
		return nil, &FieldError{"keys", err.Error()}
	}
	return s, nil
}
