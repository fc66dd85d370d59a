package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"apricotbridge/internal/message"
	"apricotbridge/internal/origin"
	"apricotbridge/internal/route"
)

const (
	// minStreamMemory is the least time for which the versions of streams are remembered. Streams last up to 15 s
	// (platform specification), and a caller may take one up until its own time has passed.
	minStreamMemory = 30 * time.Second
	// maxBegunStreams bounds the streams that are remembered; a place of the largest deployment begins
	// about 600 a second.
	maxBegunStreams = 1 << 17
	// maxListGap is the longest time between two lists of servers in which a daemon follows them. They are read
	// every 0.7 to 1.3 s. A version whose servers came and left in between was seen by others only.
	maxListGap = 2 * time.Second
)

// begunStreams is what this daemon knows of the versions at which streams began.
type begunStreams struct {
	mu       sync.Mutex
	streams  origin.Set
	versions origin.Versions
	// present has the versions of the servers that are listed now, by service.
	present map[string][]string
	// own has those of streams that began at this daemon.
	own origin.Set
	// near and far hold the streams for peers in this place and in other places. Where all daemons are linked,
	// far is not used.
	near, far origin.Log
	// startedAt is when this daemon started, and suppliedAt when a peer sent all streams that it knew; zero
	// means not yet.
	startedAt, suppliedAt time.Time
	// records has the versions that are recorded in the store.
	records origin.Records
	// era is the latest era of the store, and restoredAt when it was noted, unless it is the first.
	era        int64
	restoredAt time.Time
	// listedAt is as of when the servers were last listed, and followedSince since when there was no gap of more
	// than maxListGap.
	listedAt, followedSince time.Time
	// unrecorded counts the streams that were noted since the record in the store was written: for a record of
	// all (true), and of those that began here (false).
	unrecorded map[bool]int
}

func newBegunStreams(now time.Time) *begunStreams {
	b := &begunStreams{startedAt: now, unrecorded: map[bool]int{}}
	b.streams.MostStreams, b.own.MostStreams = maxBegunStreams, maxBegunStreams
	b.near.MostStreams, b.far.MostStreams = maxBegunStreams, maxBegunStreams
	b.setMemory(minStreamMemory)
	return b
}

func (b *begunStreams) setMemory(memory time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams.Memory, b.own.Memory, b.versions.Memory = memory, memory, memory+maxListGap
	b.near.Memory, b.far.Memory = memory, memory
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
	if !c.serversListed {
		return
	}
	b.present = map[string][]string{}
	for _, m := range c.fleet.Members() {
		b.versions.Note(now, m.Service, m.Version)
		if !slices.Contains(b.present[m.Service], m.Version) {
			b.present[m.Service] = append(b.present[m.Service], m.Version)
		}
	}
	for _, service := range b.versions.Services() {
		b.records.NoteServers(service, b.present[service])
	}
}

// noteListed notes as of when the servers were listed.
func (b *begunStreams) noteListed(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at.Sub(b.listedAt) > maxListGap {
		b.followedSince = at
	}
	b.listedAt = at
}

// knowsGone reports whether the versions that were not seen within the memory are gone: a daemon that missed a
// list may have missed that servers of a version came back.
func (b *begunStreams) knowsGone(now time.Time) bool {
	return now.Sub(b.listedAt) <= maxListGap && now.Sub(b.followedSince) >= b.versions.Memory
}

// noteRecord notes the record of the versions of a service and reports whether it is newer than the one that was
// known. Its versions count as seen now: this daemon may have missed their servers.
func (b *begunStreams) noteRecord(now time.Time, service string, r origin.Record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.records.Note(service, r) {
		return false
	}
	for _, v := range r.Versions {
		b.versions.Note(now, service, v)
	}
	return true
}

// noteEra records an era of the store. After the first, a new one means that the store came back from a copy.
func (b *begunStreams) noteEra(now time.Time, era int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if era <= b.era {
		return
	}
	if b.era > 0 {
		b.restoredAt = now
	}
	b.era = era
}

// lacksRestored reports whether the records may lack versions that the daemons which know them record again after
// a restore of the store.
func (b *begunStreams) lacksRestored(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.justRestored(now)
}

func (b *begunStreams) justRestored(now time.Time) bool {
	return !b.restoredAt.IsZero() && now.Sub(b.restoredAt) < restoredDaemonsWait
}

// allRecords returns the known records by service.
func (b *begunStreams) allRecords() map[string]origin.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records.All()
}

// recordedServices returns the services of which a record is known.
func (b *begunStreams) recordedServices() []string {
	return slices.Collect(maps.Keys(b.allRecords()))
}

// isRecorded reports whether a version of a service is recorded in the store.
func (b *begunStreams) isRecorded(service, version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records.Has(service, version)
}

// lacksRecord reports whether a listed server has a version that is not recorded.
func (b *begunStreams) lacksRecord() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.present {
		if b.lacksRecordOf(service) {
			return true
		}
	}
	return false
}

func (b *begunStreams) lacksRecordOf(service string) bool {
	return slices.ContainsFunc(b.present[service], func(v string) bool { return !b.records.Has(service, v) })
}

// versionsToRecord is the next record of a service, which replaces the one of a revision.
type versionsToRecord struct {
	revision int64
	versions []string
}

// versionsToRecord returns the records that lack a version of a listed server or, after a restore of the store, one
// that a service had until lately. With removal, they keep those versions and no others, if it is known that the
// others are gone.
func (b *begunStreams) versionsToRecord(now time.Time, removal bool) map[string]versionsToRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	services := map[string]versionsToRecord{}
	for _, service := range b.versions.Services() {
		record := b.records.Of(service)
		next := slices.Clone(b.present[service])
		removes := removal && b.knowsGone(now)
		if removes || b.justRestored(now) {
			next = append(next, b.versions.Of(now, service)...)
		}
		if !removes {
			next = append(next, record.Versions...)
		}
		slices.Sort(next)
		next = slices.Compact(next)
		if len(next) > 0 && (!slices.Equal(record.Versions, next) || b.lacksRecordOf(service)) {
			services[service] = versionsToRecord{record.Revision, next}
		}
	}
	return services
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
	b.near.Add(now, stream)
	if forward {
		b.far.Add(now, stream)
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
				b.far.Add(now, stream)
			default:
				b.near.Add(now, stream)
			}
		}
	}
}

// take returns the streams for a status, once.
func (b *begunStreams) take(now time.Time, scope statusScope) []message.BegunStreams {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.encode(now, b.log(scope).Take(now))
}

// missed returns the streams that a peer whose link has just opened may have missed: all that were taken for
// statuses, and those that will be. What was sent on a link shortly before it broke may be lost too.
func (b *begunStreams) missed(now time.Time, scope statusScope) []message.BegunStreams {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.encode(now, b.log(scope).All(now))
}

func (b *begunStreams) log(scope statusScope) *origin.Log {
	if scope == farPeers {
		return &b.far
	}
	return &b.near
}

func (b *begunStreams) encode(now time.Time, streams []origin.Stream) []message.BegunStreams {
	byVersion := map[string][]origin.Stream{}
	for _, stream := range streams {
		if version, ok := b.streams.Version(now, stream); ok {
			byVersion[version] = append(byVersion[version], stream)
		}
	}
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

// versionOf returns the version at which a stream began, if the stream is known.
func (b *begunStreams) versionOf(now time.Time, stream origin.Stream) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.streams.Version(now, stream)
}

// onlyVersionOf returns the only version of a service, according to a record that was just read.
func (b *begunStreams) onlyVersionOf(now time.Time, service string, r origin.Record) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return origin.OnlyVersion(r, b.versions.Of(now, service))
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
