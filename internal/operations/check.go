// Package operations implements the operators' commands: check files, apply a
// configuration, show and drain daemons, explain a request from logs, and send
// requests as a caller.
package operations

import (
	"strings"

	"github.com/juju/errors"

	"apricotbridge/internal/document"
	"apricotbridge/internal/settings"
	"apricotbridge/pkg/config"
)

// FileKind is the kind of content of a file.
type FileKind string

// Kinds of files.
const (
	ConfigurationFile FileKind = "configuration"
	SettingsFile      FileKind = "settings"
)

// schemaMembers are the top-level members of each kind; no member is in both schemas.
var schemaMembers = map[FileKind][]string{
	ConfigurationFile: {"Regions", "Links", "Places", "Classes", "Ranks", "Services", "Organisations", "Ledger", "Quarantine"},
	SettingsFile:      {"Daemon", "Region", "Place", "CallerListen", "PeerListen", "OperatorListen", "KeyValue", "InstanceList", "Cloud"},
}

// ErrUnknownKind reports a file whose kind cannot be detected from its members.
const ErrUnknownKind = errors.ConstError("members match neither a configuration nor settings; name the kind")

// ParseFileKind parses the name of a kind. An empty name gives an empty kind, for
// which Check detects the kind from the members of the file.
func ParseFileKind(name string) (FileKind, error) {
	switch kind := FileKind(name); kind {
	case "", ConfigurationFile, SettingsFile:
		return kind, nil
	}
	return "", errors.Errorf("kind %q is neither %s nor %s", name, ConfigurationFile, SettingsFile)
}

// Check returns the faults of a file of the given kind. An empty kind is detected
// from the members of the file.
func Check(file string, text []byte, kind FileKind) ([]document.Fault, error) {
	if kind == "" {
		var err error
		if kind, err = detectFileKind(text); err != nil {
			return nil, errors.Annotate(err, file)
		}
	}
	if kind == SettingsFile {
		_, faults := settings.Check(file, text)
		return faults, nil
	}
	_, faults := config.Check(file, text)
	return faults, nil
}

// detectFileKind returns the kind with more of its members in the text. A text that
// cannot be parsed counts as a configuration, because both kinds would report the
// same faults.
func detectFileKind(text []byte) (FileKind, error) {
	members := document.MemberNames(text)
	if members == nil {
		return ConfigurationFile, nil
	}
	found := map[FileKind]int{}
	for kind, names := range schemaMembers {
		for _, member := range names {
			if members[member] {
				found[kind]++
			}
		}
	}
	switch {
	case found[ConfigurationFile] > found[SettingsFile]:
		return ConfigurationFile, nil
	case found[SettingsFile] > found[ConfigurationFile]:
		return SettingsFile, nil
	}
	return "", ErrUnknownKind
}

// FormatFaults formats faults, one per line.
func FormatFaults(faults []document.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String() + "\n"
	}
	return strings.Join(lines, "")
}
