package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// Object is a configuration as it is stored on the platform.
type Object struct {
	// Generation orders the accepted configurations of one name; the first is 1.
	Generation ident.Generation `json:"generation"`
	// Writer identifies the write, so that a writer whose response was lost can
	// tell its own write from that of another.
	Writer string `json:"writer"`
	// Declaration is the JSON form of a declaration.
	Declaration json.RawMessage `json:"declaration"`
}

// Accepted is a validated configuration object.
type Accepted struct {
	Generation  ident.Generation  `json:"generation"`
	Declaration *decl.Declaration `json:"declaration"`
	// Value is the compact JSON of the object, so that configurations that differ only
	// in white space have equal values.
	Value []byte `json:"-"`
}

// ParseAccepted decodes and validates a configuration object. Any error rejects the
// whole object. Errors about a value name the field; syntax errors, and unknown fields
// outside the declaration, are reported as the JSON decoder's own errors. An empty
// name accepts declarations of any name.
func ParseAccepted(name string, value []byte) (*Accepted, error) {
	var o Object
	if err := decodeStrict(value, &o); err != nil {
		return nil, err
	}
	if o.Generation == 0 {
		return nil, &FieldError{"generation", "must be greater than 0"}
	}
	d, err := decl.Parse(o.Declaration)
	if err != nil {
		return nil, errors.Annotatef(err, "declaration")
	}
	if name != "" && d.Name != name {
		return nil, &FieldError{"declaration.name", "is not " + name}
	}
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return nil, errors.Trace(err)
	}
	return &Accepted{Generation: o.Generation, Declaration: d, Value: b.Bytes()}, nil
}

// ForService returns the JSON of a configuration object whose declaration contains
// only the places and the given service. If the service is not declared, the list of
// services is empty.
func ForService(a *Accepted, service ident.ServiceName) ([]byte, error) {
	d := *a.Declaration
	d.Services = []decl.Service{}
	for _, s := range a.Declaration.Services {
		if s.Name == string(service) {
			d.Services = append(d.Services, s)
		}
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Trace(err)
	}
	value, err := json.Marshal(Object{Generation: a.Generation, Declaration: raw})
	return value, errors.Trace(err)
}

// decodeStrict decodes one JSON value. Unknown fields and trailing data are errors.
func decodeStrict(b []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return typeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{"(end)", "there is data after the JSON value"}
	}
	return nil
}

// typeError turns an error about a value of the wrong type into a FieldError.
func typeError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) && t.Field != "" {
		return &FieldError{t.Field, "has a JSON " + t.Value + " where " + t.Type.String() + " is expected"}
	}
	return err
}
