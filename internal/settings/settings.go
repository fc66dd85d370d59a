// Package settings reads the settings of one daemon: its identity, its addresses
// and the addresses of the platform's services. The types are generated from
// settings.schema.json.
package settings

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --tags json --capitalization ID --struct-name-from-title -p settings -o settings_gen.go settings.schema.json

// Parse reads settings in JSON with comments.
func Parse(text []byte) (*Settings, error) {
	standard, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		return nil, errors.Annotate(err, "settings are not valid JSON with comments")
	}
	var s Settings
	if err := json.Unmarshal(standard, &s); err != nil {
		return nil, errors.Annotate(err, "settings do not match the schema")
	}
	return &s, nil
}
