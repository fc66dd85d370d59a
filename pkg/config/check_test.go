package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCheckFaultPositions guards against faults that are missed, reported at the wrong
// position, or reported again for their consequences.
func TestCheckFaultPositions(t *testing.T) {
	for file, want := range map[string][]string{
		"valid.jsonc":  nil,
		"syntax.jsonc": {`4:3: not valid JSON with comments: invalid character '"' after object value (expecting ',' or '}')`},
		"schema.jsonc": {
			`4:55: Links[0].Delay: "12" is not a time span such as "1.9s"`,
			`7:45: Places[1].Regoin: unknown field`,
			`9:50: Classes[0].Slots: got string, want integer`,
			`12:5: Ranks[1].Deadline: is required`,
			`16:34: Services[1].Kind: value must be one of 'Model', 'Plain'`,
			`19:34: Organisations[0].Weight: must be more than 0`,
		},
		"duplicate-key.jsonc": {
			`7:45: Places[1].Region: key occurs twice; the first is on line 7`,
			`23:3: Ledger: key occurs twice; the first is on line 22`,
		},
		"dangling-names.jsonc": {
			`7:36: Places[1].Region: region "hiiu" does not exist`,
			`15:59: Services[0].DefaultRank: rank "drafts" does not exist`,
			`15:114: Services[0].Places[1]: place "tallinn" does not exist`,
			`15:125: Services[0].Places[2]: place "kuressaare" is listed twice`,
			`19:47: Organisations[0].Ranks[0]: rank "urgent" does not exist`,
			`19:71: Organisations[0].Services[0]: service "tellimused" does not exist`,
		},
		"duplicate-names.jsonc": {
			`7:14: Places[1].Name: name "kuressaare" is already used by Places[0]`,
			`12:14: Ranks[1].Name: name "order" is already used by Ranks[0]`,
			`15:66: Services[0].Models[1]: model "dossier" is already named by Services[0].Models[0]`,
			`20:14: Organisations[1].Name: name "export" is already used by Organisations[0]`,
		},
		"targets.jsonc": {
			`11:37: Ranks[0].FirstToken: target 6s is longer than the deadline 5s`,
			`11:60: Ranks[0].BetweenTokens: target 100µs cannot be met: the fastest class takes 357.142µs for a token`,
			`12:37: Ranks[1].FirstToken: must be longer than zero`,
			`12:60: Ranks[1].BetweenTokens: must be longer than zero`,
		},
		"floors.jsonc": {`12:71: Ranks[1].Floor: floors add up to 1.1, which is over 1`},
		// The fault must not contain the token that stands in place of its hash,
		// because faults are logged.
		"tokens.jsonc": {
			`20:56: Organisations[1].TokenHashes[0]: token hash is already used by organisation "export"`,
			`21:54: Organisations[2].TokenHashes[0]: does not match the pattern ^[0-9a-f]{64}$`,
		},
		"orders.jsonc": {
			`16:100: Services[1].LookupPath: path "/orders/key" must start with / and contain {Key}`,
			`22:27: Ledger.Retention: retention 30s is not longer than the timeout 30s of Services[1], whose calls must not be repeated`,
		},
		"links.jsonc": {
			`6:5: Links[1]: regions "harju" and "saare" are already joined by Links[0]`,
			`7:29: Links[2].To: link joins region "saare" to itself`,
			`8:14: Links[3].From: region "hiiu" does not exist`,
		},
		"limits.jsonc": {
			`16:14: Services[1].Name: name "tel/limus" cannot be a segment of the path /services/NAME/`,
			`22:24: Ledger.Shards: must be at most 1024`,
			`22:42: Ledger.Retention: duration "99999999999h" is not a number with a unit such as "1.9s", or is too long`,
			`23:29: Quarantine.Crashes: limit 9 lets one request crash more than 3 backend servers`,
			`23:42: Quarantine.Expiry: must be longer than zero`,
		},
	} {
		t.Run(file, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", file))
			if err != nil {
				t.Fatal(err)
			}
			c, faults := Check(file, text)
			if (c == nil) != (len(faults) > 0) {
				t.Errorf("configuration is nil: %v, with %d faults", c == nil, len(faults))
			}
			var got []string
			for _, f := range faults {
				got = append(got, strings.TrimPrefix(f.String(), file+":"))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCheckHostileInput guards against inputs that crash the process: the parser is
// recursive, and a deeply nested value of the largest size that the key-value
// service stores overflowed its stack.
func TestCheckHostileInput(t *testing.T) {
	for _, text := range []string{
		strings.Repeat("[", 1<<20), strings.Repeat(`{"":`, 1<<18), strings.Repeat(" ", 1<<20+1), "", "/*", `"\`,
		strings.Repeat(`"a":1,`, 1<<17), "{" + strings.Repeat(`"a":1,`, 1<<17) + "}", "null", "[null]",
	} {
		if _, faults := Check("hostile", []byte(text)); len(faults) == 0 {
			t.Errorf("%.20q has no faults", text)
		}
	}
}

// TestDurationMarshalJSON guards against durations in a form that the schema rejects
// or that lose precision.
func TestDurationMarshalJSON(t *testing.T) {
	for span, want := range map[time.Duration]string{
		0: `"0ms"`, time.Nanosecond: `"0.000001ms"`, 24 * time.Hour: `"24h"`, 90 * time.Second: `"90s"`,
		1000000500 * time.Microsecond: `"1000000.5ms"`, 1<<62 + 1: `"4611686018427.387905ms"`,
	} {
		got, err := json.Marshal(Duration(span))
		if err != nil || string(got) != want {
			t.Errorf("%v is written as %s, %v; want %s", span, got, err, want)
		}
	}
}

// FuzzCheck guards against panics, faults with a position outside the text, and
// accepted configurations that are rejected or changed after encoding.
func FuzzCheck(f *testing.F) {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) == 0 {
		f.Fatalf("no seeds: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, faults := Check("fuzz", text)
		lines := 1 + strings.Count(string(text), "\n")
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Column < 1 || fault.Message == "" {
				t.Errorf("fault %+v is outside the text of %d lines", fault, lines)
			}
		}
		if c == nil {
			if len(faults) == 0 {
				t.Error("no configuration and no faults")
			}
			return
		}
		encoded, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		reread, faults := Check("encoded", encoded)
		if len(faults) > 0 {
			t.Fatalf("rejected after encoding: %v\n%s", faults, encoded)
		}
		if diff := cmp.Diff(c, reread); diff != "" {
			t.Errorf("changed by encoding (-original +reread):\n%s", diff)
		}
	})
}
