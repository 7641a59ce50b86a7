package main

import (
	"encoding/json"
	"io"
)

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
