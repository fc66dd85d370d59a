// Package origin keeps at which software version streams began. A caller may take a stream up that
// broke off, at any daemon, but only servers of the same version can continue it. Daemons share what
// they know. The package has no sockets, goroutines or clock.
package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream identifies a stream by the id of the request that brought its first event.
type Stream uint64

// StreamOf returns the stream that began with the request of an id.
func StreamOf(requestID string) Stream { return Stream(xxhash.Sum64String(requestID)) }

// Set holds the versions of streams. It is not safe for concurrent use.
type Set struct {
	// Memory is how long a stream is remembered.
	Memory time.Duration
	// MostStreams bounds the streams that are remembered. The oldest are forgotten first.
	MostStreams int

	streams map[Stream]record
	// order lists the streams by the time at which they were noted.
	order []noted
}

type record struct {
	version string
	notedAt time.Time
}

type noted struct {
	stream Stream
	at     time.Time
}

// Note records the version of a stream and reports whether it was unknown. The first version that is
// noted stays.
func (s *Set) Note(now time.Time, stream Stream, version string) bool {
	if s.streams == nil {
		s.streams = map[Stream]record{}
	}
	if _, ok := s.Version(now, stream); ok {
		return false
	}
	s.streams[stream] = record{version, now}
	s.order = append(s.order, noted{stream, now})
	s.forget(now)
	return true
}

// Version returns the version of a stream, if it is known.
func (s *Set) Version(now time.Time, stream Stream) (string, bool) {
	r, ok := s.streams[stream]
	if !ok || now.Sub(r.notedAt) > s.Memory {
		return "", false
	}
	return r.version, true
}

// ByVersion returns the remembered streams of each version.
func (s *Set) ByVersion(now time.Time) map[string][]Stream {
	s.forget(now)
	byVersion := map[string][]Stream{}
	for stream, r := range s.streams {
		byVersion[r.version] = append(byVersion[r.version], stream)
	}
	return byVersion
}

// forget drops the streams that are too old or too many.
func (s *Set) forget(now time.Time) {
	for len(s.order) > 0 && (now.Sub(s.order[0].at) > s.Memory || len(s.order) > s.MostStreams) {
		oldest := s.order[0]
		s.order = s.order[1:]
		if s.streams[oldest.stream].notedAt.Equal(oldest.at) {
			delete(s.streams, oldest.stream)
		}
	}
}

// Versions holds the software versions of the servers of each service, and when they were last seen.
// It is not safe for concurrent use.
type Versions struct {
	// Memory is how long a version is remembered after its last server has gone.
	Memory time.Duration

	seen map[string]map[string]time.Time
}

// Note records that a service has a server of a version.
func (v *Versions) Note(now time.Time, service, version string) {
	if v.seen == nil {
		v.seen = map[string]map[string]time.Time{}
	}
	if v.seen[service] == nil {
		v.seen[service] = map[string]time.Time{}
	}
	v.seen[service][version] = now
}

// Services returns the services of which a version was noted.
func (v *Versions) Services() []string { return slices.Collect(maps.Keys(v.seen)) }

// Of returns the versions of a service within Memory.
func (v *Versions) Of(now time.Time, service string) []string {
	var list []string
	for version, at := range v.seen[service] {
		if now.Sub(at) <= v.Memory {
			list = append(list, version)
		}
	}
	return list
}
