package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"apricotbridge/internal/logs"
	"apricotbridge/internal/message"
	"apricotbridge/internal/origin"
	"apricotbridge/internal/route"
	"apricotbridge/pkg/problem"
)

const (
	// minStreamMemory is the least time for which the versions of streams are remembered. Streams last up to 15 s
	// (platform specification), and a caller may take one up until its own time has passed.
	minStreamMemory = 30 * time.Second
	// maxBegunStreams bounds the streams that are remembered; a place of the largest deployment begins
	// about 600 a second.
	maxBegunStreams = 1 << 17
)

// begunStreams is what this daemon knows of the versions at which streams began.
type begunStreams struct {
	mu       sync.Mutex
	streams  origin.Set
	versions origin.Versions
	// own has those of streams that began at this daemon.
	own origin.Set
	// near and far hold the streams that were not yet sent to peers in this place and in other places.
	// Where all daemons are linked, far is not used.
	near, far []origin.Stream
	// startedAt is when this daemon started, and suppliedAt when a peer sent all streams that it knew; zero
	// means not yet.
	startedAt, suppliedAt time.Time
	// recordsRead means that versions has those that the services had before this daemon started.
	recordsRead bool
	// unrecorded counts the streams that were noted since the record in the store was written: for a record of
	// all (true), and of those that began here (false).
	unrecorded map[bool]int
}

func newBegunStreams(now time.Time) *begunStreams {
	b := &begunStreams{startedAt: now, unrecorded: map[bool]int{}}
	b.streams.MostStreams, b.own.MostStreams = maxBegunStreams, maxBegunStreams
	b.setMemory(minStreamMemory)
	return b
}

func (b *begunStreams) setMemory(memory time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams.Memory, b.own.Memory, b.versions.Memory = memory, memory, memory
}

// streamMemory is how long the version of a stream may be asked for: the stream itself and the caller
// that takes it up have up to the longest time of a route.
func streamMemory(routes []route.Route) time.Duration {
	longest := time.Duration(0)
	for i := range routes {
		if routes[i].Stream {
			longest = max(longest, routes[i].Timeout)
		}
	}
	return max(2*longest, minStreamMemory)
}

// noteServers records the versions of the present servers.
func (b *begunStreams) noteServers(now time.Time, c *control) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range c.fleet.Members() {
		b.versions.Note(now, m.Service, m.Version)
	}
}

// noteVersions records versions that a service had.
func (b *begunStreams) noteVersions(now time.Time, service string, versions []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range versions {
		b.versions.Note(now, service, v)
	}
}

// noteRecordsRead records that the records of versions in the store were read.
func (b *begunStreams) noteRecordsRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordsRead = true
}

// versionsOfServices returns the versions of each service, sorted.
func (b *begunStreams) versionsOfServices(now time.Time) map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	services := map[string][]string{}
	for _, service := range b.versions.Services() {
		if list := b.versions.Of(now, service); len(list) > 0 {
			slices.Sort(list)
			services[service] = list
		}
	}
	return services
}

// note records that a stream began here, for peers too. forward means that this daemon is the delegate of
// its place.
func (b *begunStreams) note(now time.Time, stream origin.Stream, version string, forward bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.streams.Note(now, stream, version) {
		return
	}
	b.own.Note(now, stream, version)
	b.unrecorded[true]++
	b.unrecorded[false]++
	b.near = append(b.near, stream)
	if forward {
		b.far = append(b.far, stream)
	}
}

// merge records the streams of a peer. What is new is forwarded, by the delegate of a place, from its place to
// the others and the other way round.
func (b *begunStreams) merge(now time.Time, groups []message.BegunStreams, fromOwnPlace, forward bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range groups {
		for _, id := range g.Streams {
			stream := origin.Stream(id)
			if !b.streams.Note(now, stream, g.Version) {
				continue
			}
			b.unrecorded[true]++
			switch {
			case !forward:
			case fromOwnPlace:
				b.far = append(b.far, stream)
			default:
				b.near = append(b.near, stream)
			}
		}
	}
}

// take returns the streams for a status, once.
func (b *begunStreams) take(now time.Time, scope statusScope) []message.BegunStreams {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := &b.near
	if scope == farPeers {
		news = &b.far
	}
	byVersion := map[string][]origin.Stream{}
	for _, stream := range *news {
		if version, ok := b.streams.Version(now, stream); ok {
			byVersion[version] = append(byVersion[version], stream)
		}
	}
	*news = nil
	return encodeBegun(byVersion)
}

// all returns the streams that this daemon knows, if it started long ago or was supplied by a peer.
func (b *begunStreams) all(now time.Time) ([]message.BegunStreams, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.complete(now) {
		return nil, false
	}
	return encodeBegun(b.streams.ByVersion(now)), true
}

// ambiguous reports whether a service has, or had until lately, several versions.
func (b *begunStreams) ambiguous(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range b.versions.Services() {
		if len(b.versions.Of(now, service)) > 1 {
			return true
		}
	}
	return false
}

// toRecord returns the streams that began here, or all, if some are not recorded, and what to pass to
// noteRecorded once they are.
func (b *begunStreams) toRecord(now time.Time, all bool) (streams []message.BegunStreams, unrecorded int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.unrecorded[all] == 0:
	case all:
		streams = encodeBegun(b.streams.ByVersion(now))
	default:
		streams = encodeBegun(b.own.ByVersion(now))
	}
	return streams, b.unrecorded[all]
}

func (b *begunStreams) noteRecorded(all bool, recorded int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unrecorded[all] -= recorded
}

// isComplete reports whether this daemon needs no supply of the streams of its peers.
func (b *begunStreams) isComplete(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete(now)
}

func (b *begunStreams) complete(now time.Time) bool {
	return !b.suppliedAt.IsZero() || now.Sub(b.startedAt) >= b.streams.Memory
}

// mergeAll merges all streams of a peer.
func (b *begunStreams) mergeAll(now time.Time, groups []message.BegunStreams) {
	b.merge(now, groups, false, false)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suppliedAt = now
}

// versionBasis is what the version of a stream was concluded from.
type versionBasis string

const (
	// basisStream means that the stream itself is known.
	basisStream versionBasis = "Stream"
	// basisOnlyVersion means that the service has one version.
	basisOnlyVersion versionBasis = "OnlyVersion"
	// basisNone means that the version is not known.
	basisNone versionBasis = "None"
)

// versionOf returns the version at which a stream of a service began. A stream that is not known began at the
// only version of the service, if there has been no other for as long as a stream may be taken up.
func (b *begunStreams) versionOf(now time.Time, stream origin.Stream, service string) (string, versionBasis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version, ok := b.streams.Version(now, stream); ok {
		return version, basisStream
	}
	known := b.recordsRead || now.Sub(b.startedAt) >= b.versions.Memory
	if versions := b.versions.Of(now, service); known && len(versions) == 1 {
		return versions[0], basisOnlyVersion
	}
	return "", basisNone
}

func encodeBegun(byVersion map[string][]origin.Stream) []message.BegunStreams {
	var groups []message.BegunStreams
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		g := message.BegunStreams{Version: version}
		for _, stream := range byVersion[version] {
			g.Streams = append(g.Streams, uint64(stream))
		}
		groups = append(groups, g)
	}
	return groups
}

// forwardsBegun reports whether this daemon forwards between its place and others.
func (g *Gateway) forwardsBegun() bool {
	v := g.view.Load()
	return v.byPlace() && v.Delegate
}

// requireVersion sets the version that the servers of a stream must have that the caller takes up. If it
// is not known, the request is refused: servers of another version would write what does not fit.
func (s *session) requireVersion() *problem.Problem {
	s.began = s.call.ID
	if !s.route.Stream || s.call.LastEventID == "" && s.call.Resumes == "" {
		return nil
	}
	if s.call.Resumes != "" {
		s.began = s.call.Resumes
	}
	version, basis := s.g.begun.versionOf(s.received, origin.StreamOf(s.began), s.service)
	s.logTakeUp(version, basis)
	if basis == basisNone {
		p := problem.New(problem.NoCapacity, "version at which stream %q began is not known", s.began)
		p.RetryAfter = jitter(unknownVersionRetryAfter)
		return p
	}
	s.version = &version
	return nil
}

func (s *session) logTakeUp(version string, basis versionBasis) {
	s.g.requestMetrics.recordTakeUp(basis)
	s.g.Log.Info("stream taken up", logs.RequestID, s.call.ID, "Began", s.began, "LastEvent", s.call.LastEventID, "Service", s.service,
		"Version", version, "Basis", basis, "Known", s.g.begun.versionsOfServices(s.received)[s.service], "ServersAge", s.g.serversAge(s.received).Milliseconds())
}

// unknownVersionRetryAfter is the Retry-After of a stream whose version is not known here. Another daemon may
// know it, or a peer may still send it.
const unknownVersionRetryAfter = 500 * time.Millisecond
