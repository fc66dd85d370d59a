package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// durationPattern is the pattern that the schemas use for time spans.
const durationPattern = `^[0-9]+(\.[0-9]+)?(ms|s|m|h)$`

// Schema is a compiled JSON Schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles a schema that is part of the program.
func MustCompile(text []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("embedded schema is not JSON: %v", err))
	}
	const url = "schema.json"
	c := jsonschema.NewCompiler()
	if err := c.AddResource(url, doc); err != nil {
		panic(fmt.Sprintf("embedded schema cannot be added: %v", err))
	}
	return &Schema{compiled: c.MustCompile(url)}
}

// validate reports the violations of the schema.
func (s *Schema) validate(d *Document) {
	standard := d.root.Clone()
	standard.Standardize()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(standard.Pack()))
	if err != nil {
		d.at(0, nil, "not valid JSON: %v", err)
		return
	}
	var violation *jsonschema.ValidationError
	if errors.As(s.compiled.Validate(value), &violation) {
		d.violation(violation, message.NewPrinter(language.English))
	}
}

// violation reports the leaves of a tree of violations. A missing or unknown
// member is reported under its own name.
func (d *Document) violation(v *jsonschema.ValidationError, p *message.Printer) {
	for _, cause := range v.Causes {
		d.violation(cause, p)
	}
	if len(v.Causes) > 0 {
		return
	}
	switch k := v.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			d.at(d.offset(v.InstanceLocation), child(v.InstanceLocation, name), "is required")
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			d.at(d.nameOffset(v.InstanceLocation, name), child(v.InstanceLocation, name), "unknown field")
		}
	default:
		d.at(d.offset(v.InstanceLocation), v.InstanceLocation, "%s", explain(k, p))
	}
}

// explain words a violation. The library's own words stand where they tell what
// to write instead.
func explain(violated jsonschema.ErrorKind, p *message.Printer) string {
	switch k := violated.(type) {
	case *kind.Pattern:
		if k.Want == durationPattern {
			return fmt.Sprintf("%q is not a time span such as \"1.9s\"", k.Got)
		}
		// The value is left out because it may be a credential, such as a token where
		// its hash belongs, and daemons log the faults of a configuration.
		return "does not match the pattern " + k.Want
	case *kind.Minimum:
		return "must be at least " + k.Want.RatString()
	case *kind.ExclusiveMinimum:
		return "must be more than " + k.Want.RatString()
	case *kind.Maximum:
		return "must be at most " + k.Want.RatString()
	}
	return violated.LocalizedString(p)
}

// nameOffset returns where the name of a member starts.
func (d *Document) nameOffset(path []string, name string) int {
	v := d.root
	for _, token := range path {
		v = step(v, token)
	}
	if o, ok := valueOf(v).(*hujson.Object); ok {
		for i := range o.Members {
			if o.Members[i].Name.Value.(hujson.Literal).String() == name {
				return o.Members[i].Name.StartOffset
			}
		}
	}
	return d.offset(path)
}

// Decode reads the document into a pointer to a struct. A value that does not fit
// its field, such as an integer out of range, is a fault and leaves the field as
// it was; json.Unmarshal would locate only the first of these.
func (d *Document) Decode(into any) {
	if d.root != nil {
		d.decode(d.root, reflect.ValueOf(into).Elem(), nil)
	}
}

func (d *Document) decode(v *hujson.Value, into reflect.Value, path []string) {
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		if into.Kind() != reflect.Struct {
			return // The schema has reported it.
		}
		for i := range value.Members {
			name := value.Members[i].Name.Value.(hujson.Literal).String()
			if field, ok := fieldOf(into, name); ok {
				d.decode(&value.Members[i].Value, field, child(path, name))
			}
		}
	case *hujson.Array:
		if into.Kind() != reflect.Slice {
			return // The schema has reported it.
		}
		into.Set(reflect.MakeSlice(into.Type(), len(value.Elements), len(value.Elements)))
		for i := range value.Elements {
			d.decode(&value.Elements[i], into.Index(i), child(path, fmt.Sprint(i)))
		}
	case hujson.Literal:
		if err := json.Unmarshal(value, into.Addr().Interface()); err != nil && !d.tainted(path) {
			d.at(v.StartOffset, path, "%s", strings.TrimPrefix(err.Error(), "json: "))
		}
	}
}

// fieldOf returns the field of a generated struct that a member is read into.
func fieldOf(into reflect.Value, name string) (reflect.Value, bool) {
	for i := range into.NumField() {
		tag, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}
