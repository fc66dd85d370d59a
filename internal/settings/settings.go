// Package settings reads the settings of one daemon: its identity, its addresses
// and the addresses of the platform's services. The types are generated from
// settings.schema.json.
package settings

import (
	_ "embed"
	"net/netip"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"apricotbridge/internal/document"
	"apricotbridge/pkg/config"
)

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --tags json --capitalization ID --struct-name-from-title -p settings -o settings_gen.go settings.schema.json

//go:embed settings.schema.json
var schemaText []byte

var schema = document.MustCompile(schemaText)

// Fault is one fault of settings, located in their file.
type Fault = document.Fault

// Check reads settings in JSON with comments and returns every fault that it
// finds. The settings are nil when there are faults.
func Check(file string, text []byte) (*Settings, []Fault) {
	d := document.Read(file, text, schema)
	var s Settings
	d.Decode(&s)
	if d.Readable() {
		check(d, &s)
	}
	if faults := d.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

// Parse reads settings in JSON with comments. The error lists every fault.
func Parse(text []byte) (*Settings, error) {
	s, faults := Check("settings", text)
	if len(faults) > 0 {
		return nil, errors.Trace(document.Error(faults))
	}
	return s, nil
}

// check reports what the schema cannot express.
func check(d *document.Document, s *Settings) {
	caller := listen(d, "CallerListen", s.CallerListen)
	peer := listen(d, "PeerListen", s.PeerListen)
	told(d, "CallerAddress", s.CallerAddress, "CallerListen", caller)
	told(d, "PeerAddress", s.PeerAddress, "PeerListen", peer)
	if s.OperatorListen != "" {
		operator := listen(d, "OperatorListen", s.OperatorListen)
		if operator.IsValid() && !operator.Addr().IsLoopback() && s.OperatorToken == "" {
			d.Report([]any{"OperatorListen"}, "OperatorToken is required because %s is not a loopback address", operator)
		}
		distinct(d, "OperatorListen", operator, caller, peer)
	}
	distinct(d, "PeerListen", peer, caller)
	for i, address := range s.Peers {
		dialled(d, []any{"Peers", i}, address)
	}
	remote(d, "KeyValue", &s.KeyValue)
	remote(d, "InstanceList", &s.InstanceList)
	remote(d, "Cloud", s.Cloud)
	for name, span := range map[string]*config.Duration{
		"EntriesKeep": s.EntriesKeep, "DrainTimeout": s.DrainTimeout, "StreamIdle": s.StreamIdle, "HeaderTimeout": s.HeaderTimeout,
		"LedgerLease": s.LedgerLease,
	} {
		positive(d, []any{name}, span)
	}
}

// listen checks an address to listen on, whose port may be 0.
func listen(d *document.Document, field, address string) netip.AddrPort {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		d.Report([]any{field}, "address %q is not IP:port", address)
	}
	return a
}

// dialled checks an address that others connect to.
func dialled(d *document.Document, path []any, address string) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		d.Report(path, "address %q is not IP:port", address)
	case a.Addr().IsUnspecified() || a.Port() == 0:
		d.Report(path, "address %q cannot be connected to", address)
	}
}

// told checks the address that others are told, which is the one listened on
// when it is left out.
func told(d *document.Document, field, address, listenField string, listening netip.AddrPort) {
	switch {
	case address != "":
		dialled(d, []any{field}, address)
	case listening.IsValid() && listening.Addr().IsUnspecified():
		d.Report([]any{listenField}, "%s is required because others cannot connect to %s", field, listening)
	}
}

// distinct reports an address that another listener has already.
func distinct(d *document.Document, field string, address netip.AddrPort, others ...netip.AddrPort) {
	for _, other := range others {
		if address.IsValid() && address.Port() != 0 && address == other {
			d.Report([]any{field}, "address %s is already listened on", address)
		}
	}
}

// remote checks an outside system; r is nil when it is left out.
func remote(d *document.Document, field string, r *Remote) {
	if r == nil {
		return
	}
	positive(d, []any{field, "Timeout"}, r.Timeout)
	u, err := url.Parse(r.Address)
	switch {
	case err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "":
		d.Report([]any{field, "Address"}, "address %q is not a URL such as http://192.0.2.1:7100", r.Address)
	case u.RawQuery != "" || u.Fragment != "" || strings.HasSuffix(r.Address, "/"):
		d.Report([]any{field, "Address"}, "base URL %q must not end with / nor have a query", r.Address)
	}
}

func positive(d *document.Document, path []any, span *config.Duration) {
	if span != nil && *span <= 0 {
		d.Report(path, "must be longer than zero")
	}
}
