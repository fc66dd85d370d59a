// Package membership derives the state of each backend server and of each daemon from
// signals that may be late, lost, repeated or contradictory. States only advance, so
// daemons that exchange them in any order converge.
package membership

import (
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// State is the state in the lifecycle of an incarnation of a backend server.
type State int

// The states, in lifecycle order.
const (
	// Starting means that the server does not accept requests yet.
	Starting State = iota + 1
	// Serving means that the server accepts requests.
	Serving
	// Leaving means that the server finishes its requests and accepts no new ones.
	Leaving
	// Gone means that the server has ended.
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
	// SuspectUntil is set after connection failures. It is local to this daemon,
	// because a failure may be caused by this daemon's own network.
	SuspectUntil time.Time
	// Changed is when State last advanced at this daemon.
	Changed time.Time
}

// Suspect reports whether the server gets no new requests because of recent
// connection failures.
func (m Member) Suspect(now time.Time) bool { return now.Before(m.SuspectUntil) }

// Usable reports whether the server may get new requests.
func (m Member) Usable(now time.Time) bool { return m.State == Serving && !m.Suspect(now) }

// Message returns the form that is sent to peers.
func (m Member) Message() message.Member {
	return message.Member{
		Server: m.Server, Incarnation: m.Incarnation, State: int(m.State),
		Address: m.Address, Service: m.Service, Place: m.Place, Class: m.Class,
	}
}

// FromMessage converts a member received from a peer.
func FromMessage(m message.Member) (Member, error) {
	s := State(m.State)
	if m.Server == "" || s < Starting || s > Gone {
		return Member{}, errors.Errorf("invalid member %q in state %d", m.Server, m.State)
	}
	return Member{
		Server: m.Server, Incarnation: m.Incarnation, State: s,
		Address: m.Address, Service: m.Service, Place: m.Place, Class: m.Class,
	}, nil
}

// Source is the origin of a signal.
type Source int

// The sources of signals about one server. The instance list has its own type, List,
// because absence from it is also a signal.
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

// Signal is information about one server. ConnectionFailure needs only Server and
// Incarnation. Incarnation 0 means the known incarnation, for notices that contain
// only the instance.
type Signal struct {
	Source Source
	Member Member
}

// List is an answer of the platform's instance list.
type List struct {
	// Taken is the time up to which the list contains all changes: the start of the
	// call minus the lag that the list declares.
	Taken   time.Time
	Members []Member
}

// Change is an advance of a member's state, or a change of its suspicion.
type Change struct {
	Member Member
	// Before is the state before the change, 0 for a new incarnation.
	Before State
	// Share is set when the change is to be sent to peers immediately. Suspicion is
	// not shared.
	Share bool
}
