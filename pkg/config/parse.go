package config

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Parse reads a configuration in JSON with comments.
func Parse(text []byte) (*Configuration, error) {
	standard, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		return nil, errors.Annotate(err, "configuration is not valid JSON with comments")
	}
	var c Configuration
	if err := json.Unmarshal(standard, &c); err != nil {
		return nil, errors.Annotate(err, "configuration does not match the schema")
	}
	return &c, nil
}
