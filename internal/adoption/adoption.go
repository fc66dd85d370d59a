// Package adoption decides which configuration revision is in force at a daemon, to
// which peers it is pushed and from which peer it is fetched. The revision in force
// at a daemon never decreases.
package adoption

import (
	"bytes"
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// FanOut is the number of peers to which a new revision is pushed. With 4 it reaches
// 63 daemons of a data centre in about 4 hops; with 1,700 changes of 50 KB a day each
// daemon sends about 4 KB/s.
const FanOut = 4

// Time limits of the exchange of revisions.
const (
	// fetchTimeout is how long a fetch may take before another peer is tried. A
	// configuration of 1 MB takes 270 ms on a link of 30 Mbit/s.
	fetchTimeout = 600 * time.Millisecond
	// maxFetchDelay limits the random delay of a fetch. The first daemon that fetched
	// a revision over a slow link from another data centre pushes it to its
	// neighbours before they fetch it over this link as well.
	maxFetchDelay = 400 * time.Millisecond
	// repushInterval is the minimum time between two pushes of the same revision to a
	// peer whose digest shows an older one. The peer may be unable to store it.
	repushInterval = 5 * time.Second
	// minReadBackoff and maxReadBackoff limit the backoff after a failed read of the
	// key-value service. At the upper limit 380 daemons make 38 reads/s.
	minReadBackoff = 500 * time.Millisecond
	maxReadBackoff = 10 * time.Second
	// maxConfirmDelay limits the random delay of the read that confirms a revision
	// received from a peer: 380 daemons make 38 of the 2,000 reads/s that are
	// available.
	maxConfirmDelay = 10 * time.Second
	// maxStartWait is how long a starting daemon waits for the key-value service and
	// its peers before it serves with the highest revision that it has.
	maxStartWait = 2 * time.Second
)

// Revision is a revision of the configuration. In a digest it has only the Number.
type Revision struct {
	Number int64
	Value  []byte
}

// SourceKind is the way in which a revision was received.
type SourceKind int

// The sources of revisions.
const (
	// KeyValue is a read or a watch of the key-value service.
	KeyValue SourceKind = iota + 1
	// Push is a configuration sent by a peer, on its own or in response to a fetch.
	Push
	// Digest is the number of the highest revision that a peer holds.
	Digest
)

// Source is the origin of a revision. Peer is empty for KeyValue.
type Source struct {
	Kind SourceKind
	Peer string
	// InForce is the number in force at the sender of a Digest; 0 means that of the
	// revision.
	InForce int64
}

// Confirmation is the degree to which the revision in force is confirmed.
type Confirmation int

// The degrees of confirmation, in ascending order.
const (
	// Unconfirmed means that the revision came from one peer only.
	Unconfirmed Confirmation = iota
	// ByPeers means that a peer other than the sender holds it as well.
	ByPeers
	// ByKeyValue means that this daemon read the revision from the key-value service.
	ByKeyValue
)

// String returns the name that is displayed to operators.
func (c Confirmation) String() string {
	return [...]string{"Unconfirmed", "ByPeers", "ByKeyValue"}[c]
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions.
const (
	// Adopt puts Revision in force.
	Adopt ActionKind = iota + 1
	// PushTo sends Revision to Peers.
	PushTo
	// Fetch requests the revision of the peer in Peers, which has one element.
	Fetch
	// Alarm reports Reason to operators.
	Alarm
	// Read reads the key from the key-value service. The daemon passes the result to
	// Offer, or calls ReadFailed if the read failed.
	Read
)

// Action is an action that the daemon performs.
type Action struct {
	Kind     ActionKind
	Revision Revision
	Peers    []string
	Reason   string
}

// Peer is a daemon with a link.
type Peer struct {
	ID string
	// SamePlace is set when the peer is in the same data centre. Revisions are pushed
	// only to such peers, because each data centre has its own relay, a daemon that
	// watches the key-value service, and the link between regions is slow. If there
	// is no relay, revisions cross regions by digests and fetches.
	SamePlace bool
}

// peerState is the state of a peer with a link.
type peerState struct {
	Peer
	shownRevision  int64     // The revision in its last message.
	shownInForce   int64     // The revision in force, by its last digest.
	pushedRevision int64     // The last revision that was pushed to it.
	pushedAt       time.Time // When pushedRevision was pushed.
	fetchedAt      time.Time // When a fetch from it was last started; zero for never.
	hasAnswered    bool
}

// State is the adoption state of one daemon. Exported fields are set before the first
// call. A State has no lock.
type State struct {
	// Parse validates a revision. A revision for which it returns an error is not put
	// in force.
	Parse func(value []byte) error
	// Rand provides the random delays of reads and fetches.
	Rand *rand.Rand
	// Poll is the mean interval between reads of the key-value service that are made
	// even if no peer holds a newer revision, so that a data centre without a working
	// relay detects changes. Half a second for each daemon of the data centre results
	// in two reads a second per data centre, 12 in six data centres. 0 means never.
	Poll time.Duration

	inForce       Revision
	confirmed     Confirmation
	inForceSender string
	// newest is the highest revision held. It is above inForce when it can't be
	// parsed; it is still sent to peers, because they may be able to parse it.
	newest       Revision
	unparsable   map[int64]bool // The revisions above inForce that can't be parsed.
	highestShown int64          // The highest number received from any source.
	peers        map[string]*peerState

	started          time.Time
	keyValueAnswered bool // Whether the key-value service has answered since the start.
	nextRead         time.Time
	readBackoff      time.Duration
	nextPoll         time.Time
	readInFlight     bool
	fetchingFrom     string
	fetchStarted     time.Time
	fetchDue         time.Time // When the next fetch is due; zero for none.
	lastAlarm        string
}

// InForce returns the revision in force and its confirmation. The number is 0 when no
// revision is in force.
func (s *State) InForce() (Revision, Confirmation) { return s.inForce, s.confirmed }

// DigestRevision returns the number for the digest. It is that of the highest revision
// held, so that peers do not resend a revision that this daemon can't parse.
func (s *State) DigestRevision() int64 { return s.newest.Number }

// NewestRevision returns the highest revision held.
func (s *State) NewestRevision() Revision { return s.newest }

// Missing returns the revisions to send to a peer that fetches, in ascending order,
// given the highest one that the peer holds and the one in force there. The one in
// force here may be missing although the peer holds a higher one that can't be
// parsed.
func (s *State) Missing(held, inForce int64) []Revision {
	var missing []Revision
	if s.inForce.Number > inForce && s.inForce.Number != s.newest.Number {
		missing = append(missing, s.inForce)
	}
	if s.newest.Number > held {
		missing = append(missing, s.newest)
	}
	return missing
}

// Ready reports whether a starting daemon may serve: a revision is in force, and
// either the key-value service has answered, or there are linked peers, all have
// answered and no higher revision is missing, or maxStartWait has passed.
func (s *State) Ready(now time.Time) bool {
	if s.inForce.Number == 0 || s.started.IsZero() {
		return false
	}
	waitingForPeers := len(s.peers) == 0
	for _, p := range s.peers {
		waitingForPeers = waitingForPeers || !p.hasAnswered || p.shownRevision > s.inForce.Number && s.newest.Number < p.shownRevision
	}
	return s.keyValueAnswered || !waitingForPeers || now.Sub(s.started) >= maxStartWait
}

// SetPeers replaces the peers that have a link. The daemon sends a digest to each new
// peer and passes the digest of that peer to Offer.
func (s *State) SetPeers(peers []Peer) {
	old := s.peers
	s.peers = make(map[string]*peerState, len(peers))
	for _, p := range peers {
		state := old[p.ID]
		if state == nil {
			state = &peerState{}
		}
		state.Peer = p
		s.peers[p.ID] = state
	}
}

// Offer processes a revision, or the number of one in a digest. When the key-value
// service has no such key, the revision has the number 0.
func (s *State) Offer(now time.Time, r Revision, from Source) []Action {
	s.recordStart(now)
	var actions []Action
	if p := s.peers[from.Peer]; p != nil {
		// A lower number comes from a restarted peer or a delayed digest. The latter
		// causes at most one unnecessary push.
		p.shownRevision, p.hasAnswered = r.Number, true
	}
	switch from.Kind {
	case KeyValue:
		s.keyValueAnswered, s.readInFlight, s.readBackoff, s.nextRead = true, false, 0, time.Time{}
		if r.Number < s.newest.Number {
			s.nextRead = now.Add(maxReadBackoff)
			actions = s.raiseAlarm(actions, "key-value service has an older revision than this daemon")
			return append(actions, s.fetchIfBehind(now)...)
		}
	case Push:
		if s.fetchingFrom == from.Peer {
			s.fetchingFrom = ""
		}
	case Digest:
		if p := s.peers[from.Peer]; p != nil {
			p.shownInForce = cmp.Or(from.InForce, r.Number)
		}
		s.highestShown = max(s.highestShown, r.Number)
		if r.Number == s.inForce.Number && from.Peer != s.inForceSender {
			s.confirmed = max(s.confirmed, ByPeers)
		}
		return append(s.pushToBehind(now, from.Peer), s.fetchIfBehind(now)...)
	}
	s.highestShown = max(s.highestShown, r.Number)
	if r.Number > s.newest.Number {
		actions = s.holdNewer(now, r, from)
	} else if r.Number == s.newest.Number && r.Number > 0 {
		actions = s.confirmHeld(r, from)
	} else if r.Number > s.inForce.Number {
		actions = s.adoptBelowNewest(now, r, from)
	}
	return append(actions, s.fetchIfBehind(now)...)
}

// holdNewer stores a revision above the highest one held and puts it in force if it
// can be parsed.
func (s *State) holdNewer(now time.Time, r Revision, from Source) []Action {
	r.Value = bytes.Clone(r.Value)
	s.newest = r
	var actions []Action
	if err := s.Parse(r.Value); err != nil {
		s.noteUnparsable(r.Number)
		actions = s.raiseAlarm(nil, "newer revision can't be parsed, the last good one stays in force: "+err.Error())
	} else {
		s.lastAlarm = ""
		actions = s.adopt(now, r, from)
	}
	return append(actions, s.pushNewest(now, from.Peer)...)
}

// adoptBelowNewest puts a revision from a peer in force although a higher one is held,
// which can't be parsed. The alarm about the higher one remains.
func (s *State) adoptBelowNewest(now time.Time, r Revision, from Source) []Action {
	r.Value = bytes.Clone(r.Value)
	if s.Parse(r.Value) != nil {
		s.noteUnparsable(r.Number)
		return nil
	}
	actions := s.adopt(now, r, from)
	if s.lastAlarm != "" {
		actions = append(actions, Action{Kind: Alarm, Revision: s.newest, Reason: s.lastAlarm})
	}
	return actions
}

// adopt puts a revision in force.
func (s *State) adopt(now time.Time, r Revision, from Source) []Action {
	s.inForce, s.inForceSender, s.confirmed = r, from.Peer, Unconfirmed
	if from.Kind == KeyValue {
		s.confirmed = ByKeyValue
	} else {
		s.nextRead = now.Add(s.randomDelay(maxConfirmDelay))
	}
	maps.DeleteFunc(s.unparsable, func(number int64, _ bool) bool { return number < r.Number })
	return []Action{{Kind: Adopt, Revision: r}}
}

func (s *State) noteUnparsable(number int64) {
	if s.unparsable == nil {
		s.unparsable = map[int64]bool{}
	}
	s.unparsable[number] = true
}

// confirmHeld updates the confirmation after a revision that is already held was
// received again.
func (s *State) confirmHeld(r Revision, from Source) []Action {
	if !bytes.Equal(r.Value, s.newest.Value) {
		return s.raiseAlarm(nil, "revision differs from the one with the same number that this daemon holds")
	}
	switch {
	case r.Number != s.inForce.Number:
	case from.Kind == KeyValue:
		s.confirmed = ByKeyValue
	case from.Peer != s.inForceSender:
		s.confirmed = max(s.confirmed, ByPeers)
	}
	return nil
}

// pushNewest sends the newest revision to FanOut random peers in the same data centre
// that have not shown it, except to its sender.
func (s *State) pushNewest(now time.Time, except string) []Action {
	var targets []string
	for id, p := range s.peers {
		if p.SamePlace && id != except && p.shownRevision < s.newest.Number {
			targets = append(targets, id)
		}
	}
	slices.Sort(targets)
	s.Rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(FanOut, len(targets))]
	if len(targets) == 0 {
		return nil
	}
	for _, id := range targets {
		s.peers[id].pushedRevision, s.peers[id].pushedAt = s.newest.Number, now
	}
	return []Action{{Kind: PushTo, Revision: s.newest, Peers: targets}}
}

// pushToBehind sends the newest revision to a peer in the same data centre whose
// digest shows an older one. A peer elsewhere fetches it after a random delay.
func (s *State) pushToBehind(now time.Time, id string) []Action {
	p := s.peers[id]
	if p == nil || !p.SamePlace || p.shownRevision >= s.newest.Number || p.pushedRevision == s.newest.Number && now.Sub(p.pushedAt) < repushInterval {
		return nil
	}
	p.pushedRevision, p.pushedAt = s.newest.Number, now
	return []Action{{Kind: PushTo, Revision: s.newest, Peers: []string{id}}}
}

// hasMissing reports whether a peer has shown a higher revision than the newest held,
// or has one in force that is above the one in force here and may be parsed.
func (s *State) hasMissing(p *peerState) bool {
	return p.shownRevision > s.newest.Number || p.shownInForce > s.inForce.Number && !s.unparsable[p.shownInForce]
}

// fetchIfBehind requests the revisions that are missing here from a peer. The random
// delay applies to peers in the same data centre as well, because they push the
// newest revision without a fetch when they receive the digest of this daemon.
func (s *State) fetchIfBehind(now time.Time) []Action {
	behind := s.highestShown > s.newest.Number
	for _, p := range s.peers {
		behind = behind || s.hasMissing(p)
	}
	if !behind {
		s.fetchDue = time.Time{}
		return nil
	}
	if s.fetchDue.IsZero() {
		s.fetchDue = now
		if s.inForce.Number > 0 {
			s.fetchDue = now.Add(s.randomDelay(maxFetchDelay))
		}
	}
	if now.Before(s.fetchDue) || s.fetchingFrom != "" && now.Sub(s.fetchStarted) < fetchTimeout {
		return nil
	}
	var source *peerState
	for _, p := range s.peers {
		if s.hasMissing(p) && (source == nil || preferredSource(p, source)) {
			source = p
		}
	}
	if source == nil {
		return nil
	}
	s.fetchingFrom, s.fetchStarted, source.fetchedAt = source.ID, now, now
	return []Action{{Kind: Fetch, Peers: []string{source.ID}}}
}

// preferredSource reports whether a is fetched from before b: the one with the higher
// revision, then the one whose last fetch is longest ago, so that a peer that does
// not answer is not retried first, then one in the same data centre.
func preferredSource(a, b *peerState) bool {
	if a.shownRevision != b.shownRevision {
		return a.shownRevision > b.shownRevision
	}
	if c := a.fetchedAt.Compare(b.fetchedAt); c != 0 {
		return c < 0
	}
	if a.SamePlace != b.SamePlace {
		return a.SamePlace
	}
	return cmp.Less(a.ID, b.ID)
}

// ReadFailed processes a failed read of the key-value service.
func (s *State) ReadFailed(now time.Time) []Action {
	s.recordStart(now)
	s.readInFlight = false
	s.readBackoff = min(max(2*s.readBackoff, minReadBackoff), maxReadBackoff)
	s.nextRead = now.Add(s.readBackoff/2 + s.randomDelay(s.readBackoff/2))
	return nil
}

// Tick returns the reads and fetches that are due. It is called about every 100 ms.
func (s *State) Tick(now time.Time) []Action {
	s.recordStart(now)
	var actions []Action
	confirmDue := s.confirmed != ByKeyValue && !s.nextRead.IsZero() && !now.Before(s.nextRead)
	pollDue := s.Poll > 0 && !now.Before(s.nextPoll)
	if !s.readInFlight && (confirmDue || pollDue) {
		s.readInFlight = true
		s.nextPoll = now.Add(s.Poll/2 + s.randomDelay(s.Poll))
		actions = append(actions, Action{Kind: Read})
	}
	return append(actions, s.fetchIfBehind(now)...)
}

// recordStart sets the start time at the first call and makes the first read due.
func (s *State) recordStart(now time.Time) {
	if s.started.IsZero() {
		s.started, s.nextRead = now, now
	}
}

func (s *State) randomDelay(d time.Duration) time.Duration {
	return time.Duration(s.Rand.Int64N(int64(d) + 1))
}

// raiseAlarm adds an alarm unless it has the same reason as the previous one.
func (s *State) raiseAlarm(actions []Action, reason string) []Action {
	if reason == s.lastAlarm {
		return actions
	}
	s.lastAlarm = reason
	return append(actions, Action{Kind: Alarm, Revision: s.newest, Reason: reason})
}
