// Package adoption decides which configuration revision is in force at a daemon,
// to which peers it is pushed and from which it is fetched. Revisions only rise
// at each daemon.
package adoption

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// FanOut is the number of peers to which a new revision is pushed. With 4 it
// reaches 63 daemons of a data centre in about 4 hops, and at 1,700 changes of
// 50 KB a day costs each daemon about 4 KB/s.
const FanOut = 4

// Times of the exchange.
const (
	// fetchTimeout is how long a fetch may take before another peer is asked. A
	// configuration of 1 MB takes 270 ms on a link of 30 Mbit/s.
	fetchTimeout = 600 * time.Millisecond
	// fetchSpread spreads fetches from another data centre, so that the first
	// daemon which has the revision pushes it to the others before they fetch it
	// over the slow link as well.
	fetchSpread = 400 * time.Millisecond
	// repushAfter is how long a peer that still shows an older revision is not
	// sent the same one again, because it may be unable to store it.
	repushAfter = 5 * time.Second
	// readRetry and readRetryMax bound the wait between reads that found the
	// key-value service unavailable. 380 daemons at the upper bound are 38 reads/s.
	readRetry    = 500 * time.Millisecond
	readRetryMax = 10 * time.Second
	// confirmSpread spreads the reads that confirm a revision learned from peers:
	// 380 daemons make 38 reads/s of the 2,000 available.
	confirmSpread = 10 * time.Second
	// startWait is how long a daemon that starts waits for the key-value service
	// and its peers before it serves with the highest revision it has.
	startWait = 2 * time.Second
)

// Revision is one revision of the configuration. A digest has the number alone.
type Revision struct {
	Number int64
	Value  []byte
}

// Kind says how a revision was learned.
type Kind int

// The sources of revisions.
const (
	// KeyValue is a read or a watch of the key-value service.
	KeyValue Kind = iota + 1
	// Push is a configuration sent by a peer, asked for or not.
	Push
	// Digest is a number that a peer shows.
	Digest
)

// Source is where a revision comes from. Peer is empty for KeyValue.
type Source struct {
	Kind Kind
	Peer string
}

// Confirmation says what vouches for the revision in force.
type Confirmation int

// The degrees of confirmation, rising.
const (
	// Unconfirmed means that one peer sent it.
	Unconfirmed Confirmation = iota
	// ByPeers means that another peer than its sender shows it as well.
	ByPeers
	// ByKeyValue means that this daemon read it from the key-value service.
	ByKeyValue
)

// String returns the name that operators see.
func (c Confirmation) String() string {
	return [...]string{"Unconfirmed", "ByPeers", "ByKeyValue"}[c]
}

// Verb is what an action asks for.
type Verb int

// The verbs of actions.
const (
	// Adopt puts Revision in force.
	Adopt Verb = iota + 1
	// PushTo sends Revision to Peers.
	PushTo
	// Fetch asks the one peer in Peers for its revision.
	Fetch
	// Alarm tells operators of Reason.
	Alarm
	// Read reads the key from the key-value service and offers the result; Missed
	// reports a failure.
	Read
)

// Action is something for the daemon to do.
type Action struct {
	Verb     Verb
	Revision Revision
	Peers    []string
	Reason   string
}

// Peer is a daemon with a link.
type Peer struct {
	ID string
	// Near says that it is in the same data centre. Revisions are pushed to near
	// peers only, because each data centre has its own relay and the link between
	// regions is slow; digests carry them across when there is no relay.
	Near bool
}

// seen is what this daemon knows of a peer.
type seen struct {
	Peer
	number int64     // The highest revision that it showed.
	pushed int64     // The last revision sent to it.
	at     time.Time // When that was.
	asked  time.Time // When it was last asked; zero for never.
	heard  bool
}

// State decides for one daemon. Exported fields are set before the first call. A
// State has no lock.
type State struct {
	// Parse checks a revision; one that it refuses is not put in force.
	Parse func(value []byte) error
	// Rand spreads reads and fetches.
	Rand *rand.Rand
	// Poll is how often the daemon reads the key-value service although no peer
	// showed a newer revision, so that a data centre whose relay died learns of
	// changes. Half a second for each daemon of the data centre gives two reads a
	// second there, 12 over six data centres. 0 means never.
	Poll time.Duration

	inForce   Revision
	confirmed Confirmation
	sender    string
	// newest is the highest revision held. It is above inForce when it can't be
	// parsed; it is passed on all the same, because others may be able to.
	newest Revision
	known  int64 // The highest number that anyone showed.
	peers  map[string]*seen

	started   time.Time
	stored    bool // Whether the key-value service answered since the start.
	readAt    time.Time
	readWait  time.Duration
	pollAt    time.Time
	reading   bool
	fetching  string
	fetchedAt time.Time
	fetchAt   time.Time // When a fetch is due; zero for none.
	alarmed   string
}

// InForce returns the revision in force, whose number is 0 when there is none,
// and what vouches for it.
func (s *State) InForce() (Revision, Confirmation) { return s.inForce, s.confirmed }

// Shown returns the number for the digest: the highest revision held, so that
// peers do not send one again which this daemon can't parse.
func (s *State) Shown() int64 { return s.newest.Number }

// Held returns the revision to send to a peer that fetches.
func (s *State) Held() Revision { return s.newest }

// Ready tells whether a daemon that started may serve: the key-value service
// answered, or each linked peer did, or the wait is over, and a revision is in
// force.
func (s *State) Ready(now time.Time) bool {
	if s.inForce.Number == 0 || s.started.IsZero() {
		return false
	}
	waiting := len(s.peers) == 0
	for _, p := range s.peers {
		waiting = waiting || !p.heard || p.number > s.inForce.Number && s.newest.Number < p.number
	}
	return s.stored || !waiting || now.Sub(s.started) >= startWait
}

// SetPeers replaces the peers that have a link. A new one is sent a digest by the
// daemon, and its digest is offered here.
func (s *State) SetPeers(peers []Peer) {
	old := s.peers
	s.peers = make(map[string]*seen, len(peers))
	for _, p := range peers {
		k := old[p.ID]
		if k == nil {
			k = &seen{}
		}
		k.Peer = p
		s.peers[p.ID] = k
	}
}

// Offer takes a revision, or the number of one. An answer of the key-value
// service that the key does not exist is a revision with the number 0.
func (s *State) Offer(now time.Time, r Revision, from Source) []Action {
	s.begin(now)
	var actions []Action
	if p := s.peers[from.Peer]; p != nil {
		// A lower number is that of a restart, or of a late digest, which at worst
		// leads to one more push.
		p.number, p.heard = r.Number, true
	}
	switch from.Kind {
	case KeyValue:
		s.stored, s.reading, s.readWait, s.readAt = true, false, 0, time.Time{}
		if r.Number < s.newest.Number {
			s.readAt = now.Add(readRetryMax)
			actions = s.alarm(actions, "key-value service has an older revision than this daemon")
			return append(actions, s.fetch(now)...)
		}
	case Push:
		if s.fetching == from.Peer {
			s.fetching = ""
		}
	case Digest:
		s.known = max(s.known, r.Number)
		if r.Number == s.inForce.Number && from.Peer != s.sender {
			s.confirmed = max(s.confirmed, ByPeers)
		}
		return append(s.repair(now, from.Peer), s.fetch(now)...)
	}
	s.known = max(s.known, r.Number)
	if r.Number > s.newest.Number {
		actions = s.take(now, r, from)
	} else if r.Number == s.newest.Number && r.Number > 0 {
		actions = s.again(r, from)
	}
	return append(actions, s.fetch(now)...)
}

// take handles a revision above the highest one held.
func (s *State) take(now time.Time, r Revision, from Source) []Action {
	r.Value = bytes.Clone(r.Value)
	s.newest = r
	var actions []Action
	if err := s.Parse(r.Value); err != nil {
		actions = s.alarm(nil, "newer revision can't be parsed, the last good one stays in force: "+err.Error())
	} else {
		s.inForce, s.sender, s.alarmed = r, from.Peer, ""
		s.confirmed = Unconfirmed
		if from.Kind == KeyValue {
			s.confirmed = ByKeyValue
		} else {
			s.readAt = now.Add(s.spread(confirmSpread))
		}
		actions = append(actions, Action{Verb: Adopt, Revision: r})
	}
	return append(actions, s.push(now, from.Peer)...)
}

// again handles a revision that is held already.
func (s *State) again(r Revision, from Source) []Action {
	if !bytes.Equal(r.Value, s.newest.Value) {
		return s.alarm(nil, "revision differs from the one with the same number that this daemon holds")
	}
	switch {
	case r.Number != s.inForce.Number:
	case from.Kind == KeyValue:
		s.confirmed = ByKeyValue
	case from.Peer != s.sender:
		s.confirmed = max(s.confirmed, ByPeers)
	}
	return nil
}

// push sends the newest revision to near peers that have not shown it.
func (s *State) push(now time.Time, except string) []Action {
	var to []string
	for id, p := range s.peers {
		if p.Near && id != except && p.number < s.newest.Number {
			to = append(to, id)
		}
	}
	slices.Sort(to)
	s.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	to = to[:min(FanOut, len(to))]
	if len(to) == 0 {
		return nil
	}
	for _, id := range to {
		s.peers[id].pushed, s.peers[id].at = s.newest.Number, now
	}
	return []Action{{Verb: PushTo, Revision: s.newest, Peers: to}}
}

// repair sends the newest revision to a near peer whose digest shows an older
// one. A far peer fetches it, spread over time.
func (s *State) repair(now time.Time, id string) []Action {
	p := s.peers[id]
	if p == nil || !p.Near || p.number >= s.newest.Number || p.pushed == s.newest.Number && now.Sub(p.at) < repushAfter {
		return nil
	}
	p.pushed, p.at = s.newest.Number, now
	return []Action{{Verb: PushTo, Revision: s.newest, Peers: []string{id}}}
}

// fetch asks a peer that showed a higher revision than the newest held. A near
// peer pushes it by itself when the digests meet, so that the spread applies to
// all.
func (s *State) fetch(now time.Time) []Action {
	if s.known <= s.newest.Number {
		s.fetchAt = time.Time{}
		return nil
	}
	if s.fetchAt.IsZero() {
		s.fetchAt = now
		if s.inForce.Number > 0 {
			s.fetchAt = now.Add(s.spread(fetchSpread))
		}
	}
	if now.Before(s.fetchAt) || s.fetching != "" && now.Sub(s.fetchedAt) < fetchTimeout {
		return nil
	}
	var from *seen
	for _, p := range s.peers {
		if p.number > s.newest.Number && (from == nil || better(p, from)) {
			from = p
		}
	}
	if from == nil {
		return nil
	}
	s.fetching, s.fetchedAt, from.asked = from.ID, now, now
	return []Action{{Verb: Fetch, Peers: []string{from.ID}}}
}

// better prefers a peer with a higher revision, then a near one, then the one
// asked longest ago, so that a peer which does not answer is not asked again
// first.
func better(a, b *seen) bool {
	if a.number != b.number {
		return a.number > b.number
	}
	if c := a.asked.Compare(b.asked); c != 0 {
		return c < 0
	}
	if a.Near != b.Near {
		return a.Near
	}
	return cmp.Less(a.ID, b.ID)
}

// Missed notes that a read found the key-value service unavailable.
func (s *State) Missed(now time.Time) []Action {
	s.begin(now)
	s.reading = false
	s.readWait = min(max(2*s.readWait, readRetry), readRetryMax)
	s.readAt = now.Add(s.readWait/2 + s.spread(s.readWait/2))
	return nil
}

// Tick asks for reads and fetches that are due. It is called about every 100 ms.
func (s *State) Tick(now time.Time) []Action {
	s.begin(now)
	var actions []Action
	due := s.confirmed != ByKeyValue && !s.readAt.IsZero() && !now.Before(s.readAt)
	poll := s.Poll > 0 && !now.Before(s.pollAt)
	if !s.reading && (due || poll) {
		s.reading = true
		s.pollAt = now.Add(s.Poll/2 + s.spread(s.Poll))
		actions = append(actions, Action{Verb: Read})
	}
	return append(actions, s.fetch(now)...)
}

// begin makes the first read due at once.
func (s *State) begin(now time.Time) {
	if s.started.IsZero() {
		s.started, s.readAt = now, now
	}
}

func (s *State) spread(d time.Duration) time.Duration {
	return time.Duration(s.Rand.Int64N(int64(d) + 1))
}

// alarm adds an alarm unless it is the one raised last.
func (s *State) alarm(actions []Action, reason string) []Action {
	if reason == s.alarmed {
		return actions
	}
	s.alarmed = reason
	return append(actions, Action{Verb: Alarm, Revision: s.newest, Reason: reason})
}
