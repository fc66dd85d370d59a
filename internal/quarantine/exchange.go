package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/message"
)

// Entries returns the list for peers, sorted by fingerprint. A fingerprint that
// crashed again after it was cleared has two entries, one of them cleared.
func (l *List) Entries() []message.Suspect {
	suspects := make([]message.Suspect, 0, len(l.entries))
	for f, e := range l.entries {
		for _, cleared := range []bool{false, true} {
			s := message.Suspect{Fingerprint: uint64(f), Cleared: cleared, Last: e.lastCrash}
			for _, c := range e.crashes {
				if c.cleared == cleared {
					s.Crashes = append(s.Crashes, c.server)
				}
			}
			if len(s.Crashes) == 0 {
				continue
			}
			if !cleared {
				s.Alone = min(e.crashesAsSuspect, len(s.Crashes))
			}
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, func(a, b message.Suspect) int {
		switch {
		case a.Fingerprint < b.Fingerprint:
			return -1
		case a.Fingerprint > b.Fingerprint:
			return 1
		case a.Cleared:
			return 1
		}
		return -1
	})
	return suspects
}

// EntriesOf returns the entries of one fingerprint, to forward them with the request.
func (l *List) EntriesOf(fingerprint Fingerprint) []message.Suspect {
	return slices.DeleteFunc(l.Entries(), func(s message.Suspect) bool {
		return s.Fingerprint != uint64(fingerprint)
	})
}

// Merge merges entries of a peer and reports whether the list changed. While the list
// is below its maximum size, merging is commutative and idempotent: crashes are united,
// and a crash is cleared when either side cleared it.
func (l *List) Merge(now time.Time, suspects []message.Suspect) bool {
	l.removeExpired(now)
	before := l.hash
	for _, s := range suspects {
		if len(s.Crashes) == 0 || now.Sub(s.Last) > l.options.Expiry {
			continue
		}
		f := Fingerprint(s.Fingerprint)
		e := l.entries[f]
		if e == nil {
			e = &entry{}
			l.entries[f] = e
		}
		for _, server := range s.Crashes {
			e.addCrash(crash{server: server, cleared: s.Cleared})
		}
		// A peer whose clock is ahead must not delay the expiry of the entry.
		e.lastCrash = later(e.lastCrash, earlier(s.Last, now))
		e.crashesAsSuspect = max(e.crashesAsSuspect, s.Alone)
		l.updateHash(f, e)
	}
	l.evictExcess()
	return l.hash != before
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Hash returns a hash of the list for gossip digests. Equal lists have equal hashes.
func (l *List) Hash() uint64 { return l.hash }

// Len returns the number of entries.
func (l *List) Len() int { return len(l.entries) }

func (l *List) updateHash(f Fingerprint, e *entry) {
	l.hash ^= e.hash
	d := xxhash.New()
	var number [8]byte
	for _, n := range []uint64{uint64(f), uint64(e.lastCrash.UnixNano())} {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = d.Write(number[:])
	}
	for _, c := range e.crashes {
		_, _ = d.WriteString(c.server)
		if c.cleared {
			_, _ = d.WriteString("\x01")
		}
		_, _ = d.WriteString("\x00")
	}
	e.hash = d.Sum64()
	l.hash ^= e.hash
}

func (l *List) expired(now time.Time, e *entry) bool { return now.Sub(e.lastCrash) > l.options.Expiry }

func (l *List) liveEntry(now time.Time, f Fingerprint) *entry {
	if e := l.entries[f]; e != nil && !l.expired(now, e) {
		return e
	}
	return nil
}

// sweepInterval is the shortest time between two searches for expired entries.
const sweepInterval = time.Second

func (l *List) removeExpired(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for f, e := range l.entries {
		if l.expired(now, e) {
			l.remove(f, e)
		}
	}
}

func (l *List) remove(f Fingerprint, e *entry) {
	l.hash ^= e.hash
	delete(l.entries, f)
}

// evictExcess removes entries above the maximum: those with the fewest open crashes
// first, then the oldest, so that a flood of new suspects does not evict a refused one.
func (l *List) evictExcess() {
	over := len(l.entries) - l.options.MaxEntries
	if over <= 0 {
		return
	}
	evictionOrder := make([]Fingerprint, 0, len(l.entries))
	for f := range l.entries {
		evictionOrder = append(evictionOrder, f)
	}
	slices.SortFunc(evictionOrder, func(a, b Fingerprint) int {
		x, y := l.entries[a], l.entries[b]
		if n := x.openCrashes() - y.openCrashes(); n != 0 {
			return n
		}
		if n := x.lastCrash.Compare(y.lastCrash); n != 0 {
			return n
		}
		if a < b {
			return -1
		}
		return 1
	})
	for _, f := range evictionOrder[:over] {
		l.remove(f, l.entries[f])
	}
}
