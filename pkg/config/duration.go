package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Duration is a time span, written in configuration files as a string such as
// "1.9s" or "24h".
type Duration time.Duration

// Or returns the duration, or def when d is nil because an optional field was
// omitted.
func (d *Duration) Or(def time.Duration) time.Duration {
	if d == nil {
		return def
	}
	return time.Duration(*d)
}

// String returns the duration as time.Duration formats it.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as a string with one number and one unit, as
// the schema requires, in the largest unit that represents it exactly.
func (d Duration) MarshalJSON() ([]byte, error) {
	span := time.Duration(d)
	for _, unit := range []struct {
		size time.Duration
		name string
	}{{time.Hour, "h"}, {time.Minute, "m"}, {time.Second, "s"}} {
		if span != 0 && span%unit.size == 0 {
			return json.Marshal(fmt.Sprintf("%d%s", span/unit.size, unit.name))
		}
	}
	// Formatting as a float could lose digits, and the schema allows no exponent.
	millis, nanos := span/time.Millisecond, span%time.Millisecond
	text := strings.TrimRight(fmt.Sprintf("%d.%06d", millis, nanos), "0")
	return json.Marshal(strings.TrimSuffix(text, ".") + "ms")
}

// UnmarshalJSON decodes the form that MarshalJSON writes, and any other that
// time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string such as \"1.9s\"", data)
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q is not a number with a unit such as \"1.9s\", or is too long", text)
	}
	*d = Duration(span)
	return nil
}

// Default durations of optional fields.
const (
	DefaultRetention      = 24 * time.Hour
	DefaultServiceTimeout = 30 * time.Second
)
