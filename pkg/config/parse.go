package config

import (
	_ "embed"

	"github.com/juju/errors"

	"apricotbridge/internal/document"
)

//go:embed config.schema.json
var schemaText []byte

var schema = document.MustCompile(schemaText)

// Fault is one fault in a configuration, with its position in the file.
type Fault = document.Fault

// Check parses a configuration in JSON with comments and returns all faults: of
// syntax, of the schema, and of references and rules between its parts. The
// configuration is nil when there are faults.
func Check(file string, text []byte) (*Configuration, []Fault) {
	d := document.Read(file, text, schema)
	var c Configuration
	d.Decode(&c)
	if d.Parsed() {
		s := semanticChecker{source: d, c: &c}
		s.check()
	}
	if faults := d.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return &c, nil
}

// Parse parses a configuration in JSON with comments. The error lists every
// fault.
func Parse(text []byte) (*Configuration, error) {
	c, faults := Check("configuration", text)
	if len(faults) > 0 {
		return nil, errors.Trace(document.Error(faults))
	}
	return c, nil
}
