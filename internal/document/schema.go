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

// durationPattern is the pattern of durations in the schemas.
const durationPattern = `^[0-9]+(\.[0-9]+)?(ms|s|m|h)$`

// Schema is a compiled JSON Schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles a schema that is embedded in the program. It panics if the
// schema is invalid.
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

// validate adds a fault for each violation of the schema.
func (s *Schema) validate(d *Document) {
	standardJSON := d.root.Clone()
	standardJSON.Standardize()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(standardJSON.Pack()))
	if err != nil {
		d.addFaultAt(0, nil, "not valid JSON: %v", err)
		return
	}
	var violation *jsonschema.ValidationError
	if errors.As(s.compiled.Validate(value), &violation) {
		d.reportViolations(violation, message.NewPrinter(language.English))
	}
}

// reportViolations adds a fault for each leaf of a tree of violations. The path of a
// missing or unknown member includes its name.
func (d *Document) reportViolations(v *jsonschema.ValidationError, p *message.Printer) {
	for _, cause := range v.Causes {
		d.reportViolations(cause, p)
	}
	if len(v.Causes) > 0 {
		return
	}
	switch k := v.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			d.addFaultAt(d.valueOffset(v.InstanceLocation), appendPath(v.InstanceLocation, name), "is required")
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			d.addFaultAt(d.nameOffset(v.InstanceLocation, name), appendPath(v.InstanceLocation, name), "unknown field")
		}
	default:
		d.addFaultAt(d.valueOffset(v.InstanceLocation), v.InstanceLocation, "%s", violationMessage(k, p))
	}
}

// violationMessage describes a violation. Kinds without a message of their own get
// that of the schema library.
func violationMessage(violation jsonschema.ErrorKind, p *message.Printer) string {
	switch k := violation.(type) {
	case *kind.Pattern:
		if k.Want == durationPattern {
			return fmt.Sprintf("%q is not a time span such as \"1.9s\"", k.Got)
		}
		// The message omits the value, which may be a credential, such as a token in
		// place of its hash, because daemons log the faults of a configuration.
		return "does not match the pattern " + k.Want
	case *kind.Minimum:
		return "must be at least " + k.Want.RatString()
	case *kind.ExclusiveMinimum:
		return "must be more than " + k.Want.RatString()
	case *kind.Maximum:
		return "must be at most " + k.Want.RatString()
	}
	return violation.LocalizedString(p)
}

// nameOffset returns the offset of the name of a member.
func (d *Document) nameOffset(path []string, name string) int {
	v := d.root
	for _, token := range path {
		v = childValue(v, token)
	}
	if o, ok := valueOf(v).(*hujson.Object); ok {
		for i := range o.Members {
			if o.Members[i].Name.Value.(hujson.Literal).String() == name {
				return o.Members[i].Name.StartOffset
			}
		}
	}
	return d.valueOffset(path)
}

// Decode decodes the document into a pointer to a struct. A value that does not fit
// its field, such as an integer out of range, is a fault and leaves the field
// unchanged. Unlike json.Unmarshal, it reports all such values.
func (d *Document) Decode(target any) {
	if d.root != nil {
		d.decode(d.root, reflect.ValueOf(target).Elem(), nil)
	}
}

func (d *Document) decode(v *hujson.Value, target reflect.Value, path []string) {
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		if target.Kind() != reflect.Struct {
			return // The schema reports the wrong type.
		}
		for i := range value.Members {
			name := value.Members[i].Name.Value.(hujson.Literal).String()
			if field, ok := structField(target, name); ok {
				d.decode(&value.Members[i].Value, field, appendPath(path, name))
			}
		}
	case *hujson.Array:
		if target.Kind() != reflect.Slice {
			return // The schema reports the wrong type.
		}
		target.Set(reflect.MakeSlice(target.Type(), len(value.Elements), len(value.Elements)))
		for i := range value.Elements {
			d.decode(&value.Elements[i], target.Index(i), appendPath(path, fmt.Sprint(i)))
		}
	case hujson.Literal:
		if err := json.Unmarshal(value, target.Addr().Interface()); err != nil && !d.hasFault(path) {
			d.addFaultAt(v.StartOffset, path, "%s", strings.TrimPrefix(err.Error(), "json: "))
		}
	}
}

// structField returns the field of a generated struct with the given member name.
func structField(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}
