package entry

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"apricotbridge/internal/adoption"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/settings"
)

// ControlBench drives the control state of one daemon without goroutines or peer
// links, so that benchmarks can measure the cost of each kind of event.
type ControlBench struct{ c *controlState }

// NewControlBench returns a control state with a configuration in force.
func NewControlBench(s *settings.Settings, now time.Time, configuration []byte) (*ControlBench, error) {
	d := New(s, logr.Discard())
	d.hub = d.newHub(nil)
	d.dispatcher = d.newDispatcher()
	d.view.Store(&View{})
	c := newControlState(d)
	c.offerRevision(now, adoption.Revision{Number: 1, Value: configuration}, adoption.Source{Kind: adoption.KeyValue})
	if c.view.Index == nil {
		return nil, errors.NotValidf("configuration: %s", c.view.Alarm)
	}
	return &ControlBench{c: c}, nil
}

// ApplyInstanceList applies a response of the instance list.
func (m *ControlBench) ApplyInstanceList(now time.Time, l instances.List) {
	m.c.applyInstanceList(now, now, l)
}

// ApplyRegistrations applies a list of registrations.
func (m *ControlBench) ApplyRegistrations(now time.Time, listed []membership.Daemon) {
	m.c.daemons.ApplyList(now, listed)
}

// Publish publishes the view, as the daemon does after each event.
func (m *ControlBench) Publish(now time.Time) { m.c.publish(now) }

// Rebuild publishes the view with a rebuilt routing table.
func (m *ControlBench) Rebuild(now time.Time) {
	m.c.tableStale = true
	m.c.publish(now)
}

// Tick does the time-driven work, except for messages to peers.
func (m *ControlBench) Tick(now time.Time) {
	m.c.handleMemberChanges(now, m.c.members.Tick(now))
	m.c.daemons.Tick(now)
	m.c.publish(now)
	m.c.d.dispatcher.Tick(now)
}

// CountLinks returns the number of peers that the daemon would link to.
func (m *ControlBench) CountLinks(now time.Time) int { return len(m.c.daemons.Links(now)) }

// HandleDigest handles the digest of a peer with an equal member list.
func (m *ControlBench) HandleDigest(now time.Time, from membership.Daemon) {
	m.c.handleDigest(now, message.Hello{
		Daemon: from.ID, Start: from.Start, Place: from.Place, Region: from.Region,
		PeerAddress: from.PeerAddress, CallerAddress: from.CallerAddress,
	}, message.Digest{Revision: 1, Members: m.c.members.Hash(), Quarantine: m.c.d.dispatcher.SuspectsHash()})
}

// MergeMembers merges member states from a peer.
func (m *ControlBench) MergeMembers(now time.Time, members message.Members) {
	m.c.mergeMembers(now, members)
}

// MergeUsage merges a usage report of a peer.
func (m *ControlBench) MergeUsage(now time.Time, from string, u message.Usage) {
	m.c.mergeUsage(now, from, u)
}

// Status returns the status of the operator API.
func (m *ControlBench) Status() Status { return m.c.d.status() }
