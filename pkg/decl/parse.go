package decl

import (
	"bytes"
	"encoding/json"
)

// Parse decodes and validates the JSON form of a declaration. Unknown fields are errors.
func Parse(b []byte) (*Declaration, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var d Declaration
	if err := dec.Decode(&d); err != nil {
		return nil, err
	}
	return &d, d.Validate()
}

// JSON returns the indented JSON form of a declaration.
func (d *Declaration) JSON() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return json.MarshalIndent(d, "", "  ")
}
