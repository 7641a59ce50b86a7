package config

import (
	"encoding/json"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Object is the platform object of a configuration.
type Object struct {
	// Generation orders the accepted configurations of one name; the first is 1.
	Generation ident.Generation `json:"generation"`
	// Writer is the token of the write, which tells a lost answer from a lost race.
	Writer string `json:"writer"`
	// Declaration is the JSON form of a declaration.
	Declaration json.RawMessage `json:"declaration"`
}
