package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/message"
)

// Numbers of links that a daemon opens. Six links with a digest each second stay
// far under 17 KB/s, which a full mesh of 380 daemons does not.
const (
	LinksInPlace     = 4
	LinksInRegion    = 1
	LinksOtherRegion = 1
)

// Times after which a daemon is left out.
const (
	// DaemonGrace is how long a daemon stays absent from the key-value service
	// before it is removed. After an outage all leases have lapsed, and each daemon
	// needs up to 10 s to register again.
	DaemonGrace = 30 * time.Second
	// brokenFor is how long a daemon whose links broke is left out, unless it is
	// heard before.
	brokenFor = 30 * time.Second
	// removedFor is how long a removed daemon is remembered, so that a peer which
	// still has it does not bring it back.
	removedFor = 10 * time.Minute
)

// Daemon is one start of a daemon.
type Daemon struct {
	ID            string
	Start         int64
	Place         string
	Region        string
	PeerAddress   string
	CallerAddress string
	// Draining says that it leaves. It stays set for this start.
	Draining bool
	// Heard is when this daemon last had a message from it.
	Heard time.Time

	missing time.Time
	broken  time.Time
}

// Message returns the daemon as sent to peers.
func (d Daemon) Message() message.Daemon {
	return message.Daemon{
		ID: d.ID, Start: d.Start, Place: d.Place, Region: d.Region,
		PeerAddress: d.PeerAddress, CallerAddress: d.CallerAddress, Draining: d.Draining,
	}
}

// DaemonFromMessage returns the daemon that a peer sent.
func DaemonFromMessage(d message.Daemon) Daemon {
	return Daemon{
		ID: d.ID, Start: d.Start, Place: d.Place, Region: d.Region,
		PeerAddress: d.PeerAddress, CallerAddress: d.CallerAddress, Draining: d.Draining,
	}
}

type removal struct {
	start int64
	at    time.Time
}

// Daemons is the set of daemons as one of them knows it. It includes Self, which
// is never removed. Daemons has no lock.
type Daemons struct {
	// Self is this daemon.
	Self Daemon

	known   map[string]*Daemon
	removed map[string]removal
	version uint64
}

// Version rises with each change of the daemons except the times at which they were
// heard. Reached, Links and Entries change with time as well, when a daemon that was
// left out is tried again.
func (s *Daemons) Version() uint64 { return s.version }

func (s *Daemons) init() {
	if s.known != nil {
		return
	}
	self := s.Self
	s.known = map[string]*Daemon{self.ID: &self}
	s.removed = map[string]removal{}
}

// Apply learns a daemon from its own messages, the key-value service or a peer.
// It returns true when the daemon is new, restarted or newly draining, which is
// passed on to peers. Draining is never taken back for the same start.
func (s *Daemons) Apply(now time.Time, d Daemon) bool {
	s.init()
	d.Heard, d.missing, d.broken = time.Time{}, time.Time{}, time.Time{}
	k := s.known[d.ID]
	if k == nil {
		if r, ok := s.removed[d.ID]; d.ID == "" || ok && d.Start <= r.start && now.Sub(r.at) < removedFor {
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

// Heard notes a message from a daemon. It returns true when the daemon is newly
// draining, and brings back one that was removed while it could not be heard.
func (s *Daemons) Heard(now time.Time, d Daemon) bool {
	s.init()
	if r, ok := s.removed[d.ID]; ok && r.start <= d.Start {
		delete(s.removed, d.ID)
	}
	changed := s.Apply(now, d)
	if k := s.known[d.ID]; k != nil && k.Start == d.Start {
		if !k.broken.IsZero() {
			s.version++
		}
		k.Heard, k.broken, k.missing = now, time.Time{}, time.Time{}
	}
	return changed
}

// Drain marks this daemon as leaving.
func (s *Daemons) Drain() {
	s.init()
	s.Self.Draining = true
	s.known[s.Self.ID].Draining = true
	s.version++
}

// Broken notes that the link to a daemon broke and a new one failed. The daemon
// is left out for a while, unless it is heard before.
func (s *Daemons) Broken(now time.Time, id string) {
	s.init()
	if k := s.known[id]; k != nil && id != s.Self.ID {
		k.broken = now
		s.version++
	}
}

// List takes the complete list of daemons in the key-value service.
func (s *Daemons) List(now time.Time, listed []Daemon) {
	s.init()
	present := map[string]bool{}
	for _, d := range listed {
		present[d.ID] = true
		s.Apply(now, d)
	}
	for id, k := range s.known {
		if present[id] {
			k.missing = time.Time{}
		} else if k.missing.IsZero() {
			k.missing = now
		}
	}
	s.Tick(now)
}

// Missing returns how many known daemons the last list lacked.
func (s *Daemons) Missing() int {
	n := 0
	for _, k := range s.known {
		if !k.missing.IsZero() {
			n++
		}
	}
	return n
}

// Tick removes the daemons that stayed absent and unheard for the grace time. It
// removes none while the key-value service can't be listed, so that an outage
// does not empty the set.
func (s *Daemons) Tick(now time.Time) {
	s.init()
	for id, k := range s.known {
		if id != s.Self.ID && !k.missing.IsZero() && now.Sub(k.missing) >= DaemonGrace && now.Sub(k.Heard) >= DaemonGrace {
			delete(s.known, id)
			s.version++
			s.removed[id] = removal{start: k.Start, at: now}
		}
	}
	for id, r := range s.removed {
		if now.Sub(r.at) >= removedFor {
			delete(s.removed, id)
		}
	}
}

// Snapshot returns the daemons ordered by id.
func (s *Daemons) Snapshot() []Daemon {
	s.init()
	all := make([]Daemon, 0, len(s.known))
	for _, k := range s.known {
		all = append(all, *k)
	}
	slices.SortFunc(all, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// weight is the rendezvous weight of an item for a key.
func weight(key, item string) uint64 {
	return xxhash.Sum64String(key + "\x00" + item)
}

// byWeight sorts daemons by their rendezvous weight for key, the highest first.
func byWeight(key string, daemons []Daemon) {
	weights := make(map[string]uint64, len(daemons))
	for _, d := range daemons {
		weights[d.ID] = weight(key, d.ID)
	}
	slices.SortFunc(daemons, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// Reached tells whether a daemon is known and its links have not broken of late.
func (s *Daemons) Reached(now time.Time, id string) bool {
	s.init()
	k, ok := s.known[id]
	return ok && (id == s.Self.ID || k.broken.IsZero() || now.Sub(k.broken) >= brokenFor)
}

// Links returns the daemons to which this one keeps links.
//
// When all daemons know the same set, the links connect it: in each place one
// link goes to the next daemon in a ring, one link goes to the next place in the
// ring of the region, and one to the next region. The other links in the place
// and the choice within the next place or region follow rendezvous weights, so
// that a change moves few links. Rendezvous weights alone connected each of 2,200
// random sets as well; the rings make it certain.
func (s *Daemons) Links(now time.Time) []Daemon {
	s.init()
	var live []Daemon
	for _, d := range s.Snapshot() {
		broken := !d.broken.IsZero() && now.Sub(d.broken) < brokenFor
		if d.ID == s.Self.ID || !d.Draining && !broken {
			live = append(live, d)
		}
	}
	self := s.Self
	inPlace := filter(live, func(d Daemon) bool { return d.Region == self.Region && d.Place == self.Place })
	links := ringLinks(self.ID, inPlace, LinksInPlace)

	inRegion := filter(live, func(d Daemon) bool { return d.Region == self.Region })
	place := next(self.Place, inRegion, func(d Daemon) string { return d.Place })
	links = append(links, best(self.ID, inRegion, LinksInRegion, func(d Daemon) bool {
		return d.Place == place && place != self.Place
	})...)

	region := next(self.Region, live, func(d Daemon) string { return d.Region })
	return append(links, best(self.ID, live, LinksOtherRegion, func(d Daemon) bool {
		return d.Region == region && region != self.Region
	})...)
}

func filter(daemons []Daemon, keep func(Daemon) bool) []Daemon {
	return slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return !keep(d) })
}

// ringLinks returns the next daemon in the ring of ids and the best others.
func ringLinks(self string, daemons []Daemon, n int) []Daemon {
	if len(daemons) < 2 {
		return nil
	}
	at := slices.IndexFunc(daemons, func(d Daemon) bool { return d.ID == self })
	successor := daemons[(at+1)%len(daemons)]
	return append([]Daemon{successor}, best(self, daemons, n-1, func(d Daemon) bool {
		return d.ID != self && d.ID != successor.ID
	})...)
}

func best(key string, daemons []Daemon, n int, keep func(Daemon) bool) []Daemon {
	kept := filter(daemons, keep)
	byWeight(key, kept)
	return kept[:min(n, len(kept))]
}

// next returns the value that follows own in the ring of the values in use.
func next(own string, daemons []Daemon, value func(Daemon) string) string {
	var values []string
	for _, d := range daemons {
		values = append(values, value(d))
	}
	slices.Sort(values)
	values = slices.Compact(values)
	at, _ := slices.BinarySearch(values, own)
	return values[(at+1)%len(values)]
}

// Entries returns the daemons that a caller should use, in order: those of the
// given place first, then those of its region, then the others. Within each group
// the order is the caller's own, so that callers spread over the daemons and over
// the rest when one fails. Leaving daemons are absent, and so are those that this
// daemon can't reach, unless no other is left.
func (s *Daemons) Entries(now time.Time, place, region, caller string) []Daemon {
	entries := filter(s.Snapshot(), func(d Daemon) bool { return !d.Draining })
	reached := filter(entries, func(d Daemon) bool { return d.broken.IsZero() || now.Sub(d.broken) >= brokenFor })
	if len(reached) > 0 {
		entries = reached
	}
	byWeight(caller, entries)
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
