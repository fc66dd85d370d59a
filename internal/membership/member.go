// Package membership derives the state of each backend server and of each daemon
// from signals that are late, lost, repeated and contradictory. States only
// advance, so that daemons which exchange them in any order converge.
package membership

import (
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// State is how far an incarnation of a backend server is in its life.
type State int

// The states, in the order in which an incarnation passes them.
const (
	// Starting takes no work yet.
	Starting State = iota + 1
	// Serving takes work.
	Serving
	// Leaving finishes what it has and takes no new work.
	Leaving
	// Gone has ended.
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	if s < Starting || s > Gone {
		return "Unknown"
	}
	return [...]string{"Starting", "Serving", "Leaving", "Gone"}[s-Starting]
}

// Member is one incarnation of a backend server: the instance and its start
// number. A restarted instance has a higher number and is a new member.
type Member struct {
	Server      string
	Incarnation int64
	State       State
	Address     string
	Service     string
	Place       string
	Class       string
	// SuspectUntil is set by connection failures. It is known to this daemon
	// only, because a failure may be that of its own network.
	SuspectUntil time.Time
	// Changed is when State last advanced at this daemon.
	Changed time.Time
}

// Suspect tells whether recent connection failures keep new work away.
func (m Member) Suspect(now time.Time) bool { return now.Before(m.SuspectUntil) }

// Usable tells whether the server may get new work.
func (m Member) Usable(now time.Time) bool { return m.State == Serving && !m.Suspect(now) }

// Message returns the member as sent to peers.
func (m Member) Message() message.Member {
	return message.Member{
		Server: m.Server, Incarnation: m.Incarnation, State: int(m.State),
		Address: m.Address, Service: m.Service, Place: m.Place, Class: m.Class,
	}
}

// FromMessage returns the member that a peer sent.
func FromMessage(m message.Member) (Member, error) {
	s := State(m.State)
	if m.Server == "" || s < Starting || s > Gone {
		return Member{}, errors.Errorf("member %q has state %d", m.Server, m.State)
	}
	return Member{
		Server: m.Server, Incarnation: m.Incarnation, State: s,
		Address: m.Address, Service: m.Service, Place: m.Place, Class: m.Class,
	}, nil
}

// Source says where a signal comes from.
type Source int

// The sources of signals about one server. The instance list has its own type,
// List, because absence from it counts too.
const (
	// Notice is a reclaim notice.
	Notice Source = iota
	// Engine is the server's own report or a successful response.
	Engine
	// Peer is another daemon.
	Peer
	// ConnectionFailure is a failed or broken connection to the server.
	ConnectionFailure
)

// Signal is one statement about one server. ConnectionFailure needs only Server
// and Incarnation. Incarnation 0 means the one known, for notices that name the
// instance alone.
type Signal struct {
	Source Source
	Member Member
}

// List is an answer of the instance list.
type List struct {
	// Taken is a time from which on the list may miss changes: the start of the
	// call less the lag that the list declares.
	Taken   time.Time
	Members []Member
}

// Change is an advance of a member, or of its suspicion.
type Change struct {
	Member Member
	// Before is the state before the change, 0 for a new incarnation.
	Before State
	// Share says that peers have to be told at once. Suspicion is not shared.
	Share bool
}
