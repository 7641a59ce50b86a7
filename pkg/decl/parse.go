package decl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// rootPath is the path that errors about the whole declaration carry.
const rootPath = "declaration"

// Parse decodes and validates the JSON form of a declaration. It rejects
// unknown, repeated and null fields, wrong types and trailing data. Errors are
// of type *FieldError.
func Parse(b []byte) (*Declaration, error) {
	d, err := Decode(b)
	if err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// Decode is Parse without the validation of the values. Problems returns what is
// wrong with them.
func Decode(b []byte) (*Declaration, error) {
	var d Declaration
	c := typeChecker{json.NewDecoder(bytes.NewReader(b))}
	c.UseNumber()
	if err := c.checkValue("", reflect.TypeOf(d)); err != nil {
		return nil, err
	}
	if _, err := c.Token(); !errors.Is(err, io.EOF) {
		return nil, &FieldError{rootPath, fmt.Sprintf("is followed by other data at byte %d", c.InputOffset())}
	}
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, &FieldError{rootPath, err.Error()}
	}
	return &d, nil
}

// JSON returns the canonical, indented JSON form of a declaration.
func (d *Declaration) JSON() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	c := *d
	if c.Places == nil {
		c.Places = []Place{} // a nil slice is encoded as null
	}
	if c.Services == nil {
		c.Services = []Service{}
	}
	return json.MarshalIndent(c, "", "  ")
}

// typeChecker compares JSON tokens with a Go type. The errors of encoding/json
// contain neither the index of list items nor the path of unknown fields.
type typeChecker struct{ *json.Decoder }

func (c typeChecker) nextToken(path string) (json.Token, error) {
	t, err := c.Token()
	switch {
	case err == nil:
		return t, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, &FieldError{pathOrRoot(path), "ends early"}
	}
	return nil, &FieldError{pathOrRoot(path), fmt.Sprintf("is not valid JSON at byte %d: %v", c.InputOffset(), err)}
}

func pathOrRoot(path string) string {
	if path == "" {
		return rootPath
	}
	return path
}

func (c typeChecker) checkValue(path string, want reflect.Type) error {
	t, err := c.nextToken(path)
	if err != nil {
		return err
	}
	ok, kind := false, ""
	switch want.Kind() {
	case reflect.Struct:
		if t == json.Delim('{') {
			return c.checkObject(path, want)
		}
		kind = "an object"
	case reflect.Slice:
		if t == json.Delim('[') {
			return c.checkList(path, want)
		}
		kind = "a list"
	case reflect.String:
		_, ok = t.(string)
		kind = "a string"
	case reflect.Float64:
		n, isNumber := t.(json.Number)
		_, err := n.Float64()
		ok, kind = isNumber && err == nil, "a number"
	default:
		n, isNumber := t.(json.Number)
		_, err := n.Int64()
		ok, kind = isNumber && err == nil, "a whole number"
	}
	if !ok {
		return &FieldError{pathOrRoot(path), "must be " + kind}
	}
	return nil
}

func (c typeChecker) checkObject(path string, want reflect.Type) error {
	seen := map[string]bool{}
	for c.More() {
		t, err := c.nextToken(path)
		if err != nil {
			return err
		}
		name, _ := t.(string)
		field := fieldPath(path, name)
		ft, ok := fieldTypeOf(want, name)
		switch {
		case !ok:
			return &FieldError{field, "is not a known field"}
		case seen[name]:
			return &FieldError{field, "occurs twice"}
		}
		seen[name] = true
		if err := c.checkValue(field, ft); err != nil {
			return err
		}
	}
	_, err := c.nextToken(path)
	return err
}

// fieldPath appends a field to a path and quotes it unless it is a valid name.
func fieldPath(path, name string) string {
	if !validName.MatchString(name) {
		name = strconv.Quote(name)
	}
	return strings.TrimPrefix(path+"."+name, ".")
}

func (c typeChecker) checkList(path string, want reflect.Type) error {
	for i := 0; c.More(); i++ {
		if err := c.checkValue(fmt.Sprintf("%s[%d]", path, i), want.Elem()); err != nil {
			return err
		}
	}
	_, err := c.nextToken(path)
	return err
}

func fieldTypeOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		if tag, _, _ := strings.Cut(f.Tag.Get("json"), ","); tag == name {
			return f.Type, true
		}
	}
	return nil, false
}
