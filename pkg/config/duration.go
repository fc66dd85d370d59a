package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Duration is a time span that configuration files write as a string such as
// "1.9s" or "24h".
type Duration time.Duration

// Or returns the time span, or def when d is nil, which is how an optional
// field that was left out is read.
func (d *Duration) Or(def time.Duration) time.Duration {
	if d == nil {
		return def
	}
	return time.Duration(*d)
}

// String returns the form that configuration files use.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the span as a string in the unit that keeps it exact and
// short, because the schema takes one number and one unit.
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
	// A float would lose digits, and its exponent is not in the schema.
	whole, rest := span/time.Millisecond, span%time.Millisecond
	text := strings.TrimRight(fmt.Sprintf("%d.%06d", whole, rest), "0")
	return json.Marshal(strings.TrimSuffix(text, ".") + "ms")
}

// UnmarshalJSON reads the form that MarshalJSON writes.
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

// Defaults of time spans that a configuration may leave out.
const (
	DefaultRetention      = 24 * time.Hour
	DefaultServiceTimeout = 30 * time.Second
)
