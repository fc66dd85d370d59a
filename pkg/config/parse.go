package config

import (
	_ "embed"

	"github.com/juju/errors"

	"apricotbridge/internal/document"
)

//go:embed config.schema.json
var schemaText []byte

var schema = document.MustCompile(schemaText)

// Fault is one fault of a configuration, located in its file.
type Fault = document.Fault

// Check reads a configuration in JSON with comments and returns every fault that
// it finds: of syntax, of the schema, and of what the parts say of each other.
// The configuration is nil when there are faults.
func Check(file string, text []byte) (*Configuration, []Fault) {
	d := document.Read(file, text, schema)
	var c Configuration
	d.Decode(&c)
	if d.Readable() {
		s := semantics{document: d, c: &c}
		s.check()
	}
	if faults := d.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return &c, nil
}

// Parse reads a configuration in JSON with comments. The error lists every fault.
func Parse(text []byte) (*Configuration, error) {
	c, faults := Check("configuration", text)
	if len(faults) > 0 {
		return nil, errors.Trace(document.Error(faults))
	}
	return c, nil
}
