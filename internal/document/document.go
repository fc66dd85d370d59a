// Package document parses JSON with comments, validates it against a JSON Schema and
// reports every fault with its line and column. The configuration and the settings
// are read with it.
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

// maxBytes bounds a document. The configuration is stored in the key-value service,
// whose values hold at most 1 MiB.
const maxBytes = 1 << 20

// maxFaults bounds the time to check a large document with many faults, because each
// fault counts the lines before it.
const maxFaults = 1000

// Fault is one fault of a document. Line and Column count from 1, Column in Unicode
// code points. Field is the path of the value, such as Services[1].Name; it is empty
// for the document itself.
type Fault struct {
	File    string `json:"File"`
	Line    int    `json:"Line"`
	Column  int    `json:"Column"`
	Field   string `json:"Field"`
	Message string `json:"Message"`
}

// String formats the fault as file:line:column: field: message.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Message)
}

// Error contains the faults of a document.
type Error []Fault

// Error formats the faults, one per line.
func (e Error) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed document with the faults found so far.
type Document struct {
	file string
	text []byte
	// root is the syntax tree; nil when the text could not be parsed.
	root   *hujson.Value
	faults []Fault
	// faultyFields are the formatted paths of the values with a fault.
	faultyFields map[string]bool
}

// Read parses a text, checks it for duplicate keys and validates it against the
// schema. A text that cannot be parsed has only the fault of the parser.
func Read(file string, text []byte, schema *Schema) *Document {
	d := parse(file, text)
	if d.root != nil {
		d.reportDuplicates(d.root, nil)
		schema.validate(d)
	}
	return d
}

// MemberNames returns the member names of a text that is a JSON object, or nil if the
// text is no object or cannot be parsed.
func MemberNames(text []byte) map[string]bool {
	o, ok := valueOf(parse("", text).root).(*hujson.Object)
	if !ok {
		return nil
	}
	names := map[string]bool{}
	for i := range o.Members {
		names[o.Members[i].Name.Value.(hujson.Literal).String()] = true
	}
	return names
}

// parse returns the document with its syntax tree, or without one and with the fault
// that prevented parsing.
func parse(file string, text []byte) *Document {
	// The parser keeps references to its input.
	d := &Document{file: file, text: bytes.Clone(text), faultyFields: map[string]bool{}}
	if len(text) > maxBytes {
		d.faults = []Fault{{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("document has %d bytes; the limit is %d", len(text), maxBytes)}}
		return d
	}
	if offset := depthViolation(d.text); offset >= 0 {
		line, column := d.position(offset)
		d.faults = []Fault{{File: file, Line: line, Column: column, Message: fmt.Sprintf("nested deeper than %d levels", maxDepth)}}
		return d
	}
	root, err := hujson.Parse(d.text)
	if err != nil {
		d.reportSyntaxError(err)
		return d
	}
	d.root = &root
	return d
}

// reportSyntaxError adds a fault for an error of the parser. The parser returns the
// position only in the text of the error.
func (d *Document) reportSyntaxError(err error) {
	line, column := 1, 1
	// An error without a position is reported at the start of the document.
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

// reportDuplicates adds a fault for each key that occurs twice in an object, because
// JSON parsers differ in which one they use.
func (d *Document) reportDuplicates(v *hujson.Value, path []string) {
	switch v := v.Value.(type) {
	case *hujson.Object:
		firstOffsets := map[string]int{}
		for i := range v.Members {
			m := &v.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			if offset, ok := firstOffsets[name]; ok {
				line, _ := d.position(offset)
				d.addFaultAt(m.Name.StartOffset, appendPath(path, name), "key occurs twice; the first is on line %d", line)
			} else {
				firstOffsets[name] = m.Name.StartOffset
			}
			d.reportDuplicates(&m.Value, appendPath(path, name))
		}
	case *hujson.Array:
		for i := range v.Elements {
			d.reportDuplicates(&v.Elements[i], appendPath(path, fmt.Sprint(i)))
		}
	}
}

// AddFault adds a fault at the value with the given path, or at the innermost existing
// value on the path. The elements of path are member names and indexes. A value that
// has a fault, or is within one that has, gets no other, which would only follow from
// the earlier one.
func (d *Document) AddFault(path []any, format string, args ...any) {
	tokens := make([]string, len(path))
	for i, p := range path {
		tokens[i] = fmt.Sprint(p)
	}
	if d.hasFault(tokens) {
		return
	}
	d.addFaultAt(d.valueOffset(tokens), tokens, format, args...)
}

// hasFault reports whether the value at path or one around it has a fault. Faults of
// the root don't count, so that its members are still checked.
func (d *Document) hasFault(path []string) bool {
	for i := 1; i <= len(path); i++ {
		if d.faultyFields[d.formatPath(path[:i])] {
			return true
		}
	}
	return false
}

// addFaultAt adds a fault at an offset in the text, up to maxFaults.
func (d *Document) addFaultAt(offset int, path []string, format string, args ...any) {
	if len(d.faults) == maxFaults {
		return
	}
	line, column := d.position(offset)
	field := d.formatPath(path)
	d.faultyFields[field] = true
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Column: column, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Faults returns the faults found so far, sorted by position.
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

// valueOffset returns the offset of the value at path, or of the innermost existing
// value on the path.
func (d *Document) valueOffset(path []string) int {
	v := d.root
	for _, token := range path {
		next := childValue(v, token)
		if next == nil {
			break
		}
		v = next
	}
	return v.StartOffset
}

// formatPath formats a path such as Services[1].Name.
func (d *Document) formatPath(path []string) string {
	var b strings.Builder
	v := d.root
	for _, token := range path {
		_, isArray := valueOf(v).(*hujson.Array)
		switch {
		case isArray:
			b.WriteString("[" + token + "]")
		case b.Len() > 0:
			b.WriteString("." + token)
		default:
			b.WriteString(token)
		}
		v = childValue(v, token)
	}
	return b.String()
}

func valueOf(v *hujson.Value) hujson.ValueTrimmed {
	if v == nil {
		return nil
	}
	return v.Value
}

// childValue returns the member or element of v with the given name or index, or
// nil.
func childValue(v *hujson.Value, token string) *hujson.Value {
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

// appendPath returns path with token appended, in a new slice, because the paths of
// siblings must not share memory.
func appendPath(path []string, token string) []string {
	return append(append(make([]string, 0, len(path)+1), path...), token)
}

// Parsed reports whether the text was parsed, so that its values can be checked.
func (d *Document) Parsed() bool { return d.root != nil }
