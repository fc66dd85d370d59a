// Package document reads JSON with comments against a JSON Schema and reports
// every fault with the line and column at which it was found. It is shared by the
// readers of the configuration and of the settings.
package document

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// maxBytes is the largest value of the key-value service, which holds the
// configuration.
const maxBytes = 1 << 20

// maxFaults bounds the time that a document of the largest size with nothing but
// faults takes, because each fault counts the lines before it.
const maxFaults = 1000

// Fault is one fault of a document. Line and Column count from 1, the column in
// characters. Field is the path of the value, such as Services[1].Name; it is
// empty for the document itself.
type Fault struct {
	File    string `json:"File"`
	Line    int    `json:"Line"`
	Column  int    `json:"Column"`
	Field   string `json:"Field"`
	Message string `json:"Message"`
}

// String returns the fault as file:line:column: field: message.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Message)
}

// Error is a document that has faults.
type Error []Fault

// Error returns one fault a line.
func (e Error) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a document that was read, with its faults.
type Document struct {
	file   string
	text   []byte
	root   *hujson.Value
	faults []Fault
	// faulty are the fields of the faults found so far.
	faulty map[string]bool
}

// Read parses a text, looks for duplicate keys and validates it against the
// schema. A document that is not JSON with comments has that one fault only.
func Read(file string, text []byte, schema *Schema) *Document {
	d := parse(file, text)
	if d.root != nil {
		d.duplicates(d.root, nil)
		schema.validate(d)
	}
	return d
}

// Members returns the names of the members of a text that is an object, or nil
// when it is none or cannot be parsed.
func Members(text []byte) map[string]bool {
	o, ok := valueOf(parse("", text).root).(*hujson.Object)
	if !ok {
		return nil
	}
	found := map[string]bool{}
	for i := range o.Members {
		found[o.Members[i].Name.Value.(hujson.Literal).String()] = true
	}
	return found
}

// parse returns the document with its syntax tree, or with the fault that left it
// without one.
func parse(file string, text []byte) *Document {
	// The parser keeps references to its input.
	d := &Document{file: file, text: bytes.Clone(text), faulty: map[string]bool{}}
	if len(text) > maxBytes {
		d.faults = []Fault{{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("document has %d bytes; the limit is %d", len(text), maxBytes)}}
		return d
	}
	if offset := tooDeep(d.text); offset >= 0 {
		line, column := d.position(offset)
		d.faults = []Fault{{File: file, Line: line, Column: column, Message: fmt.Sprintf("nested deeper than %d levels", maxDepth)}}
		return d
	}
	root, err := hujson.Parse(d.text)
	if err != nil {
		d.syntax(err)
		return d
	}
	d.root = &root
	return d
}

// syntax reports an error of the parser, which has the position in its text
// only.
func (d *Document) syntax(err error) {
	line, column := 1, 1
	// A message without a position is reported at the start of the document.
	_, _ = fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column)
	if cause := errors.Unwrap(err); cause != nil {
		err = cause
	}
	lines := bytes.SplitN(d.text, []byte("\n"), line+1)
	if line <= len(lines) {
		before := lines[line-1]
		column = 1 + utf8.RuneCount(before[:min(column-1, len(before))])
	}
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Column: column, Message: "not valid JSON with comments: " + err.Error()})
}

// duplicates reports keys that occur twice in an object, of which JSON readers
// keep different ones.
func (d *Document) duplicates(v *hujson.Value, path []string) {
	switch v := v.Value.(type) {
	case *hujson.Object:
		first := map[string]int{}
		for i := range v.Members {
			m := &v.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			if offset, ok := first[name]; ok {
				line, _ := d.position(offset)
				d.at(m.Name.StartOffset, child(path, name), "key occurs twice; the first is on line %d", line)
			} else {
				first[name] = m.Name.StartOffset
			}
			d.duplicates(&m.Value, child(path, name))
		}
	case *hujson.Array:
		for i := range v.Elements {
			d.duplicates(&v.Elements[i], child(path, fmt.Sprint(i)))
		}
	}
}

// Report adds a fault at the value that path leads to, or at the innermost value
// on the path that exists. The elements of path are member names and indexes. A
// value that already has a fault gets no second one, because what follows from a
// fault tells nothing new.
func (d *Document) Report(path []any, format string, args ...any) {
	tokens := make([]string, len(path))
	for i, p := range path {
		tokens[i] = fmt.Sprint(p)
	}
	if d.tainted(tokens) {
		return
	}
	d.at(d.offset(tokens), tokens, format, args...)
}

// tainted reports whether the value at path or one around it has a fault. Faults
// of the root, such as a missing member, leave the others usable.
func (d *Document) tainted(path []string) bool {
	for i := 1; i <= len(path); i++ {
		if d.faulty[d.field(path[:i])] {
			return true
		}
	}
	return false
}

func (d *Document) at(offset int, path []string, format string, args ...any) {
	if len(d.faults) == maxFaults {
		return
	}
	line, column := d.position(offset)
	field := d.field(path)
	d.faulty[field] = true
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Column: column, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Faults returns the faults found so far in the order of the text.
func (d *Document) Faults() []Fault {
	sort.SliceStable(d.faults, func(i, j int) bool {
		a, b := d.faults[i], d.faults[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return d.faults
}

func (d *Document) position(offset int) (line, column int) {
	before := d.text[:min(offset, len(d.text))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return 1 + bytes.Count(before, []byte("\n")), 1 + utf8.RuneCount(before[start:])
}

// offset returns where the value at path starts, or the innermost value on the
// path that exists.
func (d *Document) offset(path []string) int {
	v := d.root
	for _, token := range path {
		next := step(v, token)
		if next == nil {
			break
		}
		v = next
	}
	return v.StartOffset
}

// field formats a path, with indexes of arrays in brackets.
func (d *Document) field(path []string) string {
	var b strings.Builder
	v := d.root
	for _, token := range path {
		_, array := valueOf(v).(*hujson.Array)
		switch {
		case array:
			b.WriteString("[" + token + "]")
		case b.Len() > 0:
			b.WriteString("." + token)
		default:
			b.WriteString(token)
		}
		v = step(v, token)
	}
	return b.String()
}

func valueOf(v *hujson.Value) hujson.ValueTrimmed {
	if v == nil {
		return nil
	}
	return v.Value
}

// step returns the member or element of v that token names, or nil.
func step(v *hujson.Value, token string) *hujson.Value {
	switch v := valueOf(v).(type) {
	case *hujson.Object:
		for i := range v.Members {
			if v.Members[i].Name.Value.(hujson.Literal).String() == token {
				return &v.Members[i].Value
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(token); err == nil && i >= 0 && i < len(v.Elements) {
			return &v.Elements[i]
		}
	}
	return nil
}

// child returns a new path, because the paths of siblings must not share memory.
func child(path []string, token string) []string {
	return append(append(make([]string, 0, len(path)+1), path...), token)
}

// Readable reports whether the text is JSON with comments, so that checks of its
// values make sense.
func (d *Document) Readable() bool { return d.root != nil }
