package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCheckLocates guards against faults that are missed or reported at the wrong
// position.
func TestCheckLocates(t *testing.T) {
	for file, want := range map[string][]string{
		"valid.jsonc": nil,
		"schema.jsonc": {
			`1:1: Daemon: is required`,
			`1:1: Region: is required`,
			`2:3: Deamon: unknown field`,
			`7:63: KeyValue.Timeout: got number, want string`,
		},
		"addresses.jsonc": {
			`5:19: CallerListen: address "localhost:7001" is not IP:port`,
			`6:17: PeerListen: PeerAddress is required because others cannot connect to 0.0.0.0:7002`,
			`8:27: KeyValue.Address: address "127.0.0.1:7100" is not a URL such as http://192.0.2.1:7100`,
			`9:31: InstanceList.Address: base URL "http://127.0.0.1:7101/" must not end with / nor have a query`,
			`10:13: Peers[0]: address "192.0.2.1:0" cannot be connected to`,
		},
		"operator-token.jsonc": {
			`7:21: OperatorListen: OperatorToken is required because 192.0.2.1:7003 is not a loopback address`,
		},
		"shared-address.jsonc": {
			`6:17: StreamIdle: must be longer than zero`,
			`7:17: PeerListen: address 127.0.0.1:7001 is already listened on`,
		},
	} {
		t.Run(file, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", file))
			if err != nil {
				t.Fatal(err)
			}
			s, faults := Check(file, text)
			if (s == nil) != (len(faults) > 0) {
				t.Errorf("settings are nil: %v, with %d faults", s == nil, len(faults))
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

// FuzzCheck guards against panics and against faults without a position in the text.
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
		s, faults := Check("fuzz", text)
		if (s == nil) != (len(faults) > 0) {
			t.Errorf("settings are nil: %v, with %d faults", s == nil, len(faults))
		}
		lines := 1 + strings.Count(string(text), "\n")
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Column < 1 || fault.Message == "" {
				t.Errorf("fault %+v is outside the text of %d lines", fault, lines)
			}
		}
	})
}
