// Package operations is what the operators' commands do: check files, apply a
// configuration, show the daemons, drain one, and send a request as a caller
// would.
package operations

import (
	"strings"

	"github.com/juju/errors"

	"apricotbridge/internal/document"
	"apricotbridge/internal/settings"
	"apricotbridge/pkg/config"
)

// FileKind says what a file holds.
type FileKind string

// Kinds of files.
const (
	ConfigurationFile FileKind = "configuration"
	SettingsFile      FileKind = "settings"
)

// membersOf tell the kinds apart; no member is in both schemas.
var membersOf = map[FileKind][]string{
	ConfigurationFile: {"Regions", "Links", "Places", "Classes", "Ranks", "Services", "Organisations", "Ledger", "Quarantine"},
	SettingsFile:      {"Daemon", "Region", "Place", "CallerListen", "PeerListen", "OperatorListen", "KeyValue", "InstanceList", "Cloud"},
}

// ErrKind reports a file whose members tell neither kind.
const ErrKind = errors.ConstError("members are neither those of a configuration nor of settings; name the kind")

// ParseFileKind reads the name of a kind; an empty name means that the members
// tell.
func ParseFileKind(name string) (FileKind, error) {
	switch kind := FileKind(name); kind {
	case "", ConfigurationFile, SettingsFile:
		return kind, nil
	}
	return "", errors.Errorf("kind %q is neither %s nor %s", name, ConfigurationFile, SettingsFile)
}

// Check returns the faults of a file of the given kind; an empty kind is
// recognised by the members of the file.
func Check(file string, text []byte, kind FileKind) ([]document.Fault, error) {
	if kind == "" {
		var err error
		if kind, err = recognise(text); err != nil {
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

// recognise returns the kind with more of its members in the text. A text that
// cannot be parsed counts as a configuration, because its faults are the same.
func recognise(text []byte) (FileKind, error) {
	members := document.Members(text)
	if members == nil {
		return ConfigurationFile, nil
	}
	found := map[FileKind]int{}
	for kind, own := range membersOf {
		for _, member := range own {
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
	return "", ErrKind
}

// Faults formats faults one a line.
func Faults(faults []document.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String() + "\n"
	}
	return strings.Join(lines, "")
}
