package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/message"
)

// Number of links that a daemon opens. Six links with a digest each second stay far
// below 17 KB/s; a full mesh of 380 daemons does not.
const (
	LinksInPlace     = 4
	LinksInRegion    = 1
	LinksOtherRegion = 1
)

// Times for which a daemon is kept, or left out of links and entries.
const (
	// DaemonGrace is how long a daemon may be absent from the key-value service
	// before it is removed. After an outage all leases have expired, and each daemon
	// needs up to 10 s to register again.
	DaemonGrace = 30 * time.Second
	// brokenLinkTimeout is how long a daemon is left out after its link broke, unless
	// a message from it arrives before.
	brokenLinkTimeout = 30 * time.Second
	// removalRetention is how long the removal of a daemon is remembered, so that a
	// peer that still lists the daemon does not add it again.
	removalRetention = 10 * time.Minute
)

// Daemon is one process of a daemon, identified by ID and Start.
type Daemon struct {
	ID            string
	Start         int64
	Place         string
	Region        string
	PeerAddress   string
	CallerAddress string
	// Draining is set when the daemon is leaving. It is never reset for the same
	// Start.
	Draining bool
	// LastMessage is when the last message from this daemon arrived.
	LastMessage time.Time

	missingSince time.Time
	linkBrokenAt time.Time
}

// Message returns the form that is sent to peers.
func (d Daemon) Message() message.Daemon {
	return message.Daemon{
		ID: d.ID, Start: d.Start, Place: d.Place, Region: d.Region,
		PeerAddress: d.PeerAddress, CallerAddress: d.CallerAddress, Draining: d.Draining,
	}
}

// DaemonFromMessage converts a daemon received from a peer.
func DaemonFromMessage(d message.Daemon) Daemon {
	return Daemon{
		ID: d.ID, Start: d.Start, Place: d.Place, Region: d.Region,
		PeerAddress: d.PeerAddress, CallerAddress: d.CallerAddress, Draining: d.Draining,
	}
}

type removal struct {
	start     int64
	removedAt time.Time
}

// Daemons is the set of daemons known to one of them. It includes Self, which is
// never removed. Daemons has no lock.
type Daemons struct {
	// Self is this daemon.
	Self Daemon

	known   map[string]*Daemon
	removed map[string]removal
	version uint64
}

// Version increases with each change of the daemons, except for the times of their
// last messages. The results of Reachable, Links and Entries can also change with time
// alone, when a daemon is no longer left out.
func (s *Daemons) Version() uint64 { return s.version }

func (s *Daemons) init() {
	if s.known != nil {
		return
	}
	self := s.Self
	s.known = map[string]*Daemon{self.ID: &self}
	s.removed = map[string]removal{}
}

// Apply processes a daemon received from itself, the key-value service or a peer. It
// returns true when the daemon is new, restarted or newly draining, so that the
// caller passes it on to peers. Draining is never reset for the same start.
func (s *Daemons) Apply(now time.Time, d Daemon) bool {
	s.init()
	d.LastMessage, d.missingSince, d.linkBrokenAt = time.Time{}, time.Time{}, time.Time{}
	k := s.known[d.ID]
	if k == nil {
		if r, ok := s.removed[d.ID]; d.ID == "" || ok && d.Start <= r.start && now.Sub(r.removedAt) < removalRetention {
			return false
		}
		s.known[d.ID] = &d
		s.version++
		return true
	}
	switch {
	case d.Start < k.Start || d.ID == s.Self.ID && d.Start != k.Start:
		return false
	case d.Start > k.Start:
		*k = d
		s.version++
		return true
	}
	changed := d.Draining && !k.Draining
	if changed {
		k.Draining = true
		s.version++
	}
	return changed
}

// MessageReceived processes a message from a daemon. It returns true when the daemon is
// new, restarted or newly draining, and adds the daemon again if it was removed while
// no messages arrived.
func (s *Daemons) MessageReceived(now time.Time, d Daemon) bool {
	s.init()
	if r, ok := s.removed[d.ID]; ok && r.start <= d.Start {
		delete(s.removed, d.ID)
	}
	changed := s.Apply(now, d)
	if k := s.known[d.ID]; k != nil && k.Start == d.Start {
		if !k.linkBrokenAt.IsZero() {
			s.version++
		}
		k.LastMessage, k.linkBrokenAt, k.missingSince = now, time.Time{}, time.Time{}
	}
	return changed
}

// Drain marks this daemon as draining.
func (s *Daemons) Drain() {
	s.init()
	s.Self.Draining = true
	s.known[s.Self.ID].Draining = true
	s.version++
}

// LinkBroken records that the link to a daemon broke and could not be re-established.
// The daemon is left out for brokenLinkTimeout, unless a message from it arrives before.
func (s *Daemons) LinkBroken(now time.Time, id string) {
	s.init()
	if k := s.known[id]; k != nil && id != s.Self.ID {
		k.linkBrokenAt = now
		s.version++
	}
}

// ApplyList processes the complete list of daemons in the key-value service.
func (s *Daemons) ApplyList(now time.Time, listed []Daemon) {
	s.init()
	present := map[string]bool{}
	for _, d := range listed {
		present[d.ID] = true
		s.Apply(now, d)
	}
	for id, k := range s.known {
		if present[id] {
			k.missingSince = time.Time{}
		} else if k.missingSince.IsZero() {
			k.missingSince = now
		}
	}
	s.Tick(now)
}

// MissingCount returns the number of known daemons that were not in the last list.
func (s *Daemons) MissingCount() int {
	n := 0
	for _, k := range s.known {
		if !k.missingSince.IsZero() {
			n++
		}
	}
	return n
}

// Tick removes the daemons that were absent from the lists and sent no message for
// the grace time. It removes none while the key-value service can't be listed, so
// that an outage does not empty the set.
func (s *Daemons) Tick(now time.Time) {
	s.init()
	for id, k := range s.known {
		if id != s.Self.ID && !k.missingSince.IsZero() && now.Sub(k.missingSince) >= DaemonGrace && now.Sub(k.LastMessage) >= DaemonGrace {
			delete(s.known, id)
			s.version++
			s.removed[id] = removal{start: k.Start, removedAt: now}
		}
	}
	for id, r := range s.removed {
		if now.Sub(r.removedAt) >= removalRetention {
			delete(s.removed, id)
		}
	}
}

// Snapshot returns the daemons ordered by ID.
func (s *Daemons) Snapshot() []Daemon {
	s.init()
	all := make([]Daemon, 0, len(s.known))
	for _, k := range s.known {
		all = append(all, *k)
	}
	slices.SortFunc(all, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// weight returns the rendezvous weight of an item for a key.
func weight(key, item string) uint64 {
	return xxhash.Sum64String(key + "\x00" + item)
}

// sortByWeight sorts daemons by their rendezvous weight for key, in descending order.
func sortByWeight(key string, daemons []Daemon) {
	weights := make(map[string]uint64, len(daemons))
	for _, d := range daemons {
		weights[d.ID] = weight(key, d.ID)
	}
	slices.SortFunc(daemons, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// Reachable reports whether a daemon is known and its link has not broken recently.
func (s *Daemons) Reachable(now time.Time, id string) bool {
	s.init()
	k, ok := s.known[id]
	return ok && (id == s.Self.ID || k.linkBrokenAt.IsZero() || now.Sub(k.linkBrokenAt) >= brokenLinkTimeout)
}

// Links returns the daemons to which this one keeps links.
//
// When all daemons have the same set, the links connect all of them: in each place
// one link goes to the next daemon in the ring of IDs, one link goes to the next
// place in the ring of the region, and one to the next region. The other links in the
// place and the daemon within the next place or region are chosen by rendezvous
// weights, so that a change moves few links. Rendezvous weights alone connected each
// of 2,200 random sets as well, but only the rings guarantee it.
func (s *Daemons) Links(now time.Time) []Daemon {
	s.init()
	var live []Daemon
	for _, d := range s.Snapshot() {
		broken := !d.linkBrokenAt.IsZero() && now.Sub(d.linkBrokenAt) < brokenLinkTimeout
		if d.ID == s.Self.ID || !d.Draining && !broken {
			live = append(live, d)
		}
	}
	self := s.Self
	inPlace := filter(live, func(d Daemon) bool { return d.Region == self.Region && d.Place == self.Place })
	links := ringLinks(self.ID, inPlace, LinksInPlace)

	inRegion := filter(live, func(d Daemon) bool { return d.Region == self.Region })
	place := nextInRing(self.Place, inRegion, func(d Daemon) string { return d.Place })
	links = append(links, highestWeights(self.ID, inRegion, LinksInRegion, func(d Daemon) bool {
		return d.Place == place && place != self.Place
	})...)

	region := nextInRing(self.Region, live, func(d Daemon) string { return d.Region })
	return append(links, highestWeights(self.ID, live, LinksOtherRegion, func(d Daemon) bool {
		return d.Region == region && region != self.Region
	})...)
}

func filter(daemons []Daemon, keep func(Daemon) bool) []Daemon {
	return slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return !keep(d) })
}

// ringLinks returns the next daemon in the ring of IDs and the others with the
// highest weights, n in total.
func ringLinks(self string, daemons []Daemon, n int) []Daemon {
	if len(daemons) < 2 {
		return nil
	}
	index := slices.IndexFunc(daemons, func(d Daemon) bool { return d.ID == self })
	successor := daemons[(index+1)%len(daemons)]
	return append([]Daemon{successor}, highestWeights(self, daemons, n-1, func(d Daemon) bool {
		return d.ID != self && d.ID != successor.ID
	})...)
}

func highestWeights(key string, daemons []Daemon, n int, keep func(Daemon) bool) []Daemon {
	kept := filter(daemons, keep)
	sortByWeight(key, kept)
	return kept[:min(n, len(kept))]
}

// nextInRing returns the value after own in the sorted ring of the values in use.
func nextInRing(own string, daemons []Daemon, value func(Daemon) string) string {
	var values []string
	for _, d := range daemons {
		values = append(values, value(d))
	}
	slices.Sort(values)
	values = slices.Compact(values)
	index, _ := slices.BinarySearch(values, own)
	return values[(index+1)%len(values)]
}

// Entries returns the daemons that a caller should use, in order: first those in the
// given place, then those in its region, then the others. Each group is ordered by
// weights for the caller, which spreads callers over the daemons, also when one of
// them fails. Draining daemons are omitted, and so are daemons that this daemon can't
// reach unless it can reach none.
func (s *Daemons) Entries(now time.Time, place, region, caller string) []Daemon {
	entries := filter(s.Snapshot(), func(d Daemon) bool { return !d.Draining })
	reachable := filter(entries, func(d Daemon) bool { return d.linkBrokenAt.IsZero() || now.Sub(d.linkBrokenAt) >= brokenLinkTimeout })
	if len(reachable) > 0 {
		entries = reachable
	}
	sortByWeight(caller, entries)
	distance := func(d Daemon) int {
		switch {
		case d.Region == region && d.Place == place:
			return 0
		case d.Region == region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(entries, func(a, b Daemon) int { return cmp.Compare(distance(a), distance(b)) })
	return entries
}
