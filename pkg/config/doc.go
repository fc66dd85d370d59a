// Package config defines the operators' configuration: regions, places, ranks,
// services and organisations, and the rules for orders. The types are generated
// from config.schema.json, which is also published for other languages.
package config

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --tags json --capitalization ID --struct-name-from-title -p config -o config_gen.go config.schema.json
