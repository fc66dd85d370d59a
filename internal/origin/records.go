package origin

import (
	"maps"
	"slices"
)

// Record is the durable record of the versions of a service, as of a revision of the store in an era.
type Record struct {
	Era, Revision int64
	Versions      []string
}

func (r Record) before(other Record) bool {
	return r.Era < other.Era || r.Era == other.Era && r.Revision < other.Revision
}

// Records holds the latest record of each service. Streams begin only at recorded versions. A daemon that reads
// a record therefore learns every version at which streams of the service can have begun until then, whatever it
// has missed. It is not safe for concurrent use.
type Records struct {
	services map[string]Record
	// absent has the latest record during which a version had no server. The version may have been removed
	// since, so that only a later record shows that it is recorded.
	absent map[[2]string]Record
}

// Note records a record and reports whether it is newer than the one that was known.
func (r *Records) Note(service string, record Record) bool {
	if r.services == nil {
		r.services = map[string]Record{}
	}
	if known, ok := r.services[service]; ok && !known.before(record) {
		return false
	}
	r.services[service] = record
	return true
}

// Of returns the record of a service. It is empty if none is known.
func (r *Records) Of(service string) Record { return r.services[service] }

// NoteServers records which versions the servers of a service have now.
func (r *Records) NoteServers(service string, versions []string) {
	record := r.services[service]
	for _, v := range record.Versions {
		if slices.Contains(versions, v) {
			continue
		}
		if r.absent == nil {
			r.absent = map[[2]string]Record{}
		}
		r.absent[[2]string{service, v}] = record
	}
}

// Has reports whether a version of a service is recorded, and has been since it last had no server.
func (r *Records) Has(service, version string) bool {
	record := r.services[service]
	if !slices.Contains(record.Versions, version) {
		return false
	}
	absent, ok := r.absent[[2]string{service, version}]
	return !ok || absent.before(record)
}

// All returns all records by service.
func (r *Records) All() map[string]Record { return maps.Clone(r.services) }

// OnlyVersion returns the version at which the streams of a service began of which nothing else is known: the
// only one that is recorded, unless a server of another was seen lately. The record has to be read after the
// stream began.
func OnlyVersion(record Record, seen []string) (string, bool) {
	if len(record.Versions) != 1 {
		return "", false
	}
	for _, v := range seen {
		if v != record.Versions[0] {
			return "", false
		}
	}
	return record.Versions[0], true
}
