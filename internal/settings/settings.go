// Package settings reads the settings of one daemon: its identity, its addresses and
// the addresses of the platform's services. The types are generated from
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

// Fault is a fault in settings, with its position in the file.
type Fault = document.Fault

// Check parses settings in JSON with comments and returns all faults. The settings
// are nil when there are faults.
func Check(file string, text []byte) (*Settings, []Fault) {
	d := document.Read(file, text, schema)
	var s Settings
	d.Decode(&s)
	if d.Parsed() {
		checkSemantics(d, &s)
	}
	if faults := d.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

// Parse parses settings in JSON with comments. The error lists all faults.
func Parse(text []byte) (*Settings, error) {
	s, faults := Check("settings", text)
	if len(faults) > 0 {
		return nil, errors.Trace(document.Error(faults))
	}
	return s, nil
}

// checkSemantics reports faults that the schema cannot express.
func checkSemantics(d *document.Document, s *Settings) {
	caller := checkListenAddress(d, "CallerListen", s.CallerListen)
	peer := checkListenAddress(d, "PeerListen", s.PeerListen)
	checkAdvertisedAddress(d, "CallerAddress", s.CallerAddress, "CallerListen", caller)
	checkAdvertisedAddress(d, "PeerAddress", s.PeerAddress, "PeerListen", peer)
	if s.OperatorListen != "" {
		operator := checkListenAddress(d, "OperatorListen", s.OperatorListen)
		if operator.IsValid() && !operator.Addr().IsLoopback() && s.OperatorToken == "" {
			d.AddFault([]any{"OperatorListen"}, "OperatorToken is required because %s is not a loopback address", operator)
		}
		checkDistinct(d, "OperatorListen", operator, caller, peer)
	}
	checkDistinct(d, "PeerListen", peer, caller)
	for i, address := range s.Peers {
		checkDialAddress(d, []any{"Peers", i}, address)
	}
	checkRemote(d, "KeyValue", &s.KeyValue)
	checkRemote(d, "InstanceList", &s.InstanceList)
	checkRemote(d, "Cloud", s.Cloud)
	for name, span := range map[string]*config.Duration{
		"EntriesKeep": s.EntriesKeep, "DrainTimeout": s.DrainTimeout, "StreamIdle": s.StreamIdle, "HeaderTimeout": s.HeaderTimeout,
		"LedgerLease": s.LedgerLease,
	} {
		checkPositive(d, []any{name}, span)
	}
}

// checkListenAddress checks an address to listen on; its port may be 0.
func checkListenAddress(d *document.Document, field, address string) netip.AddrPort {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		d.AddFault([]any{field}, "address %q is not IP:port", address)
	}
	return a
}

// checkDialAddress checks an address that others connect to.
func checkDialAddress(d *document.Document, path []any, address string) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		d.AddFault(path, "address %q is not IP:port", address)
	case a.Addr().IsUnspecified() || a.Port() == 0:
		d.AddFault(path, "address %q cannot be connected to", address)
	}
}

// checkAdvertisedAddress checks the address that others are to connect to. It may be
// empty if the listen address can be connected to.
func checkAdvertisedAddress(d *document.Document, field, address, listenField string, listening netip.AddrPort) {
	switch {
	case address != "":
		checkDialAddress(d, []any{field}, address)
	case listening.IsValid() && listening.Addr().IsUnspecified():
		d.AddFault([]any{listenField}, "%s is required because others cannot connect to %s", field, listening)
	}
}

// checkDistinct reports an address that another listener already uses.
func checkDistinct(d *document.Document, field string, address netip.AddrPort, others ...netip.AddrPort) {
	for _, other := range others {
		if address.IsValid() && address.Port() != 0 && address == other {
			d.AddFault([]any{field}, "address %s is already listened on", address)
		}
	}
}

// checkRemote checks an outside system; r is nil when it is not configured.
func checkRemote(d *document.Document, field string, r *Remote) {
	if r == nil {
		return
	}
	checkPositive(d, []any{field, "Timeout"}, r.Timeout)
	u, err := url.Parse(r.Address)
	switch {
	case err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "":
		d.AddFault([]any{field, "Address"}, "address %q is not a URL such as http://192.0.2.1:7100", r.Address)
	case u.RawQuery != "" || u.Fragment != "" || strings.HasSuffix(r.Address, "/"):
		d.AddFault([]any{field, "Address"}, "base URL %q must not end with / nor have a query", r.Address)
	}
}

func checkPositive(d *document.Document, path []any, span *config.Duration) {
	if span != nil && *span <= 0 {
		d.AddFault(path, "must be longer than zero")
	}
}
