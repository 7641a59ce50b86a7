// Package lint checks configuration files before they are sent: it keeps the lines of
// their fields, reports findings, and describes how one version differs from another.
package lint

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// maxDepth is the deepest nesting of a file. The formats that are checked need six.
const maxDepth = 64

// Kind is the JSON type of a node.
type Kind string

// Kinds of nodes, in words for messages.
const (
	Object Kind = "an object"
	List   Kind = "a list"
	String Kind = "a string"
	Number Kind = "a number"
	Bool   Kind = "true or false"
	Null   Kind = "null"
)

// Node is a JSON value with its place in the file.
type Node struct {
	// parent is nil for the whole file. name is the name of a field in its path, or
	// the brackets of an item.
	parent *Node
	name   string
	// Line is the line of the value's name, or of its beginning if it has none; the
	// first is 1.
	Line int
	Kind Kind
	// Text is a string without its quotes, or the literal of a number, a Bool or Null.
	Text string
	// Fields holds the fields of an object in the order of the file. Names may repeat.
	Fields []Field
	// Items holds the items of a list.
	Items []*Node
}

// Path returns the path of the value, as in "routes[2].name"; empty for the whole
// file. Package decl writes paths in the same way.
func (n *Node) Path() string {
	var names []string
	for ; n.parent != nil; n = n.parent {
		dot := "."
		if n.name[0] == '[' {
			dot = ""
		}
		names = append(names, dot+n.name)
	}
	slices.Reverse(names)
	return strings.TrimPrefix(strings.Join(names, ""), ".")
}

// Field is a field of an object.
type Field struct {
	Name string
	*Node
}

// Field returns the last field with a name, or nil. The last one is in force if a
// name occurs twice.
func (n *Node) Field(name string) *Node {
	if n == nil {
		return nil
	}
	var found *Node
	for _, f := range n.Fields {
		if f.Name == name {
			found = f.Node
		}
	}
	return found
}

// String returns the value as compact JSON.
func (n *Node) String() string {
	var parts []string
	switch n.Kind {
	case Object:
		for _, f := range n.Fields {
			parts = append(parts, strconv.Quote(f.Name)+":"+f.String())
		}
		return "{" + strings.Join(parts, ",") + "}"
	case List:
		for _, i := range n.Items {
			parts = append(parts, i.String())
		}
		return "[" + strings.Join(parts, ",") + "]"
	case String:
		return strconv.Quote(n.Text)
	}
	return n.Text
}

// Parse decodes a file. If it is not valid JSON, Parse returns what comes before the
// error and a finding.
func Parse(b []byte) (*Node, *Finding) {
	p := parser{Decoder: json.NewDecoder(bytes.NewReader(b)), b: b, line: 1}
	p.UseNumber()
	root := &Node{}
	err := p.value(root, 0)
	if err == nil {
		if _, end := p.Token(); !errors.Is(end, io.EOF) {
			err = p.fail(root, "is followed by other data")
		}
	}
	return root, err
}

// parser builds nodes from the tokens of a file.
type parser struct {
	*json.Decoder
	b []byte
	// line is the line of the offset at.
	line, at int
}

// advance returns the line of an offset. Offsets must not decrease.
func (p *parser) advance(offset int64) int {
	if o := min(int(offset), len(p.b)); o > p.at {
		p.line += bytes.Count(p.b[p.at:o], []byte{'\n'})
		p.at = o
	}
	return p.line
}

func (p *parser) fail(n *Node, message string) *Finding {
	// Errors are about what follows the last token.
	rest := p.b[min(int(p.InputOffset()), len(p.b)):]
	space := len(rest) - len(bytes.TrimLeft(rest, " \t\r\n"))
	return &Finding{Severity: Error, Line: p.advance(p.InputOffset() + int64(space)), Field: n.Path(), Message: message}
}

func (p *parser) next(n *Node) (json.Token, *Finding) {
	t, err := p.Token()
	switch {
	case err == nil:
		return t, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		end := p.advance(int64(len(bytes.TrimRight(p.b, " \t\r\n"))))
		return nil, &Finding{Severity: Error, Line: end, Field: n.Path(), Message: "ends early"}
	}
	return nil, p.fail(n, fmt.Sprintf("is not valid JSON: %v", err))
}

// value decodes the next value into n, whose path is set.
func (p *parser) value(n *Node, depth int) *Finding {
	t, f := p.next(n)
	if f != nil {
		return f
	}
	if n.Line == 0 {
		n.Line = p.advance(p.InputOffset())
	}
	if depth > maxDepth {
		return p.fail(n, fmt.Sprintf("is nested deeper than %d levels", maxDepth))
	}
	switch v := t.(type) {
	case json.Delim:
		if v == '{' {
			n.Kind = Object
			return p.fields(n, depth)
		}
		n.Kind = List
		return p.items(n, depth)
	case string:
		n.Kind, n.Text = String, v
	case json.Number:
		n.Kind, n.Text = Number, v.String()
	case bool:
		n.Kind, n.Text = Bool, strconv.FormatBool(v)
	default:
		n.Kind, n.Text = Null, "null"
	}
	return nil
}

func (p *parser) fields(n *Node, depth int) *Finding {
	for p.More() {
		t, f := p.next(n)
		if f != nil {
			return f
		}
		name, _ := t.(string)
		c := &Node{parent: n, name: pathName(name), Line: p.advance(p.InputOffset())}
		n.Fields = append(n.Fields, Field{name, c})
		if f := p.value(c, depth+1); f != nil {
			return f
		}
	}
	_, f := p.next(n)
	return f
}

func (p *parser) items(n *Node, depth int) *Finding {
	for i := 0; p.More(); i++ {
		c := &Node{parent: n, name: fmt.Sprintf("[%d]", i)}
		n.Items = append(n.Items, c)
		if f := p.value(c, depth+1); f != nil {
			return f
		}
	}
	_, f := p.next(n)
	return f
}

var plainName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// maxNameLength bounds the names in paths, in bytes.
const maxNameLength = 64

// pathName returns the name of a field as it is written in paths: quoted unless it is
// plain.
func pathName(name string) string {
	switch {
	case plainName.MatchString(name):
		return name
	case len(name) > maxNameLength:
		name = name[:maxNameLength]
	}
	return strconv.Quote(name)
}

// LineOf returns the line of a path, or of the innermost value around it that the
// file has. The node is the whole file.
func (n *Node) LineOf(path string) int {
	line := n.Line
	for n != nil && path != "" {
		if n, path = n.step(path); n != nil && n.Line > 0 {
			line = n.Line
		}
	}
	return max(line, 1)
}

// step returns the field or item that a path begins with, nil if there is none, and
// the rest of the path.
func (n *Node) step(path string) (next *Node, rest string) {
	if index, after, ok := strings.Cut(path, "]"); ok && path[0] == '[' {
		i, err := strconv.Atoi(index[1:])
		if err != nil || i < 0 || i >= len(n.Items) {
			return nil, ""
		}
		return n.Items[i], after
	}
	path = strings.TrimPrefix(path, ".")
	longest := 0
	for _, f := range n.Fields {
		name := pathName(f.Name)
		// Names may contain dots.
		after, ok := strings.CutPrefix(path, name)
		if ok && len(name) >= longest && (after == "" || after[0] == '.' || after[0] == '[') {
			next, rest, longest = f.Node, after, len(name)
		}
	}
	return next, rest
}
