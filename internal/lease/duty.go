package lease

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/keyvalue"
)

const (
	// A holder stops after 9/10 of the lease, which tolerates clock rates that differ
	// by up to a tenth.
	holdNumerator, holdDenominator = 9, 10
	// A renewal is due after a third of the lease, so that two renewals may fail.
	renewalsPerLease = 3
	// pollsPerLease is how often within a lease a candidate reads the key.
	pollsPerLease = 2
	// retriesPerLease is how often within a lease a failed call is repeated.
	retriesPerLease = 15
	// fencesPerEra is the distance between the first fencing numbers of two eras of the
	// service. A copy has an older fencing number than the one last given out, and nothing
	// says by how much.
	fencesPerEra = 1 << 20
)

// call is a call to the key-value service. A Duty has at most one in flight.
type call struct {
	id      uint64
	value   Value
	encoded []byte
	sentAt  time.Time
	// reading is set for a poll and for the read-back of a write, writing for a write
	// and its read-back.
	reading, writing bool
}

// Duty is the state machine of one duty at one daemon. It is used by one
// goroutine.
type Duty struct {
	config   Config
	nextID   uint64
	now      time.Time
	actions  []Action
	inFlight *call
	// current is the last value that was read or written, at revision, unchanged
	// since unchangedSince.
	current        Value
	revision       int64
	unchangedSince time.Time
	hasRead        bool
	nextCall       time.Time
	// failures is the number of failed calls in a row while the duty is not held.
	failures int
	holding  bool
	// renewedAt is when the last successful renewal or claim was sent.
	renewedAt time.Time
	// previousLeaseEnd is the latest end of the lease of the previous holder.
	previousLeaseEnd time.Time
	ordersFrom       time.Time
	resigning        bool
	resigned         bool
	// othersGivenUp is the last GivenUp of another daemon. givenUp is the fencing number that
	// this daemon has given up, and givenUpAt when it did.
	othersGivenUp GivenUp
	givenUp       uint64
	givenUpAt     time.Time
	// era is the latest era of the service; 0 means not known.
	era int64
	// claimFrom is when the lease of a holder has ended that a restored entry does not name.
	claimFrom time.Time
	// unconfirmed means that the holder has not read the entry since the service came back
	// from a copy.
	unconfirmed bool
}

// New returns a Duty that is not held.
func New(config Config) *Duty {
	if config.Lease <= 0 {
		config.Lease = DefaultLease
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(config.Incarnation, 5))
	}
	return &Duty{config: config}
}

// Holds reports whether the duty is certainly held at a time. The lease counts from
// the time at which the last successful renewal was sent, because the service may
// have applied it then.
func (d *Duty) Holds(now time.Time) bool {
	return d.holding && !d.resigning && now.Before(d.renewedAt.Add(d.config.Lease*holdNumerator/holdDenominator))
}

// Fence returns the fencing number of this holder; 0 means that the duty is not held.
func (d *Duty) Fence() uint64 {
	if !d.holding {
		return 0
	}
	return d.current.Fence
}

// GivenUp returns the last fencing number under which this daemon has acted and no longer will;
// 0 means none.
func (d *Duty) GivenUp() uint64 { return d.givenUp }

// RenewalOverdue reports whether the duty is held and half of its lease has passed without a
// renewal.
func (d *Duty) RenewalOverdue(now time.Time) bool {
	return d.Holds(now) && now.Sub(d.renewedAt) > d.config.Lease/2
}

// MayOrder reports whether orders may be given to engines that ignore fencing
// numbers.
func (d *Duty) MayOrder(now time.Time) bool { return d.Holds(now) && !now.Before(d.ordersFrom) }

// Step applies one event and returns the actions to perform.
func (d *Duty) Step(now time.Time, ev Event) []Action {
	d.now, d.actions = now, nil
	if d.holding && !d.resigning && !d.Holds(now) {
		d.loseDuty("lease lapsed")
	}
	switch ev := ev.(type) {
	case GivenUp:
		d.othersGivenUp = ev
		// The candidates do not call at the same moment.
		d.nextCall = now.Add(d.withJitter(d.config.Lease / retriesPerLease))
	case Restored:
		d.noteEra(ev.Era)
	case Resign:
		if d.holding && !d.resigning {
			d.noteGivenUp()
			d.emit(Lost{Reason: "resigned"})
		}
		d.resigning, d.nextCall = true, now
	case Committed:
		if c := d.takeInFlight(ev.ID); c != nil && c.writing {
			d.applyWrite(c, ev.Revision)
		}
	case CommitConflict:
		if c := d.takeInFlight(ev.ID); c != nil && c.writing {
			d.resolveWrite(c, ev.Current)
		}
	case CommitUnknown:
		if c := d.takeInFlight(ev.ID); c != nil && c.writing {
			c.id, c.reading = d.newID(), true
			d.inFlight = c
			d.emit(Read{ID: c.id, Key: Key(d.config.Name)})
		}
	case CommitRefused:
		if c := d.takeInFlight(ev.ID); c != nil {
			d.scheduleRetry()
		}
	case ReadBack:
		d.handleReadBack(ev)
	case Tick:
	}
	d.advance()
	return d.actions
}

func (d *Duty) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Duty) newID() uint64 {
	d.nextID++
	return d.nextID
}

// withJitter returns a random duration in the last quarter of span, so that daemons
// do not call at the same time.
func (d *Duty) withJitter(span time.Duration) time.Duration {
	return span*3/4 + time.Duration(d.config.Rand.Float64()*float64(span/4))
}

// scheduleRetry schedules the call after a failed one. A holder has to renew soon, while the
// calls of many candidates would only load a service in trouble.
func (d *Duty) scheduleRetry() {
	wait := d.config.Lease / retriesPerLease
	if !d.holding {
		wait = min(wait<<min(d.failures, 10), d.config.Lease/pollsPerLease)
		d.failures++
	}
	d.nextCall = d.now.Add(d.withJitter(wait))
}

// takeInFlight clears and returns the call in flight if it has this ID.
func (d *Duty) takeInFlight(id uint64) *call {
	c := d.inFlight
	if c == nil || c.id != id {
		return nil
	}
	d.inFlight = nil
	return c
}

// noteGivenUp records that this daemon does not act under its fencing number any more.
func (d *Duty) noteGivenUp() { d.givenUp, d.givenUpAt = d.current.Fence, d.now }

// hasGivenUp reports whether the holder of a value has stated that it no longer acts.
func (d *Duty) hasGivenUp(v Value) bool {
	return v.Holder != "" && d.othersGivenUp == GivenUp{v.Holder, v.Incarnation, v.Fence}
}

// noteEra records an era of the service. In a new one, neither the revision that was read nor
// the result of the call in flight says anything about the entry.
func (d *Duty) noteEra(era int64) {
	if era <= d.era {
		return
	}
	restored := d.era > 0
	d.era = era
	if restored {
		d.claimFrom = d.now.Add(d.config.Lease)
		d.inFlight, d.hasRead, d.unconfirmed, d.nextCall = nil, false, d.holding, d.now
	}
}

// firstFence returns the lowest fencing number that no holder of an earlier era has had.
func (d *Duty) firstFence() uint64 {
	return uint64(d.era)*fencesPerEra + 1 //nolint:gosec // Eras are not negative.
}

func (d *Duty) loseDuty(reason string) {
	d.noteGivenUp()
	d.holding = false
	d.emit(Lost{Reason: reason})
}

// advance starts the next call when it is due.
func (d *Duty) advance() {
	if d.inFlight != nil || d.resigned || d.now.Before(d.nextCall) {
		return
	}
	switch {
	case d.resigning && !d.holding:
		d.resigned = true
		d.emit(Resigned{})
	case d.resigning:
		v := d.current
		v.Holder, v.Incarnation = "", 0
		d.sendWrite(v)
	case d.holding && !d.unconfirmed:
		v := d.current
		v.Renewal++
		d.sendWrite(v)
	default:
		d.inFlight = &call{id: d.newID(), reading: true}
		d.emit(Read{ID: d.inFlight.id, Key: Key(d.config.Name)})
	}
}

func (d *Duty) sendWrite(v Value) {
	encoded, err := json.Marshal(v)
	if err != nil { // A struct of strings and numbers always encodes.
		panic(fmt.Sprintf("lease: encode duty: %v", err))
	}
	d.inFlight = &call{id: d.newID(), value: v, encoded: encoded, sentAt: d.now, writing: true}
	d.emit(Write{ID: d.inFlight.id, Key: Key(d.config.Name), Value: encoded, Revision: d.revision})
}

// recordValue stores the value and the revision of the key.
func (d *Duty) recordValue(v Value, revision int64) {
	if d.current.Holder != "" && !d.isOwn(d.current) && d.isOwn(v) && !d.hasGivenUp(d.current) {
		// The claim took effect at the revision that was known, so that the other holder has not
		// renewed since that was first seen.
		d.previousLeaseEnd = d.unchangedSince.Add(d.config.Lease)
	}
	if !d.hasRead || revision != d.revision {
		d.hasRead, d.unchangedSince = true, d.now
	}
	d.current, d.revision = v, revision
}

func (d *Duty) isOwn(v Value) bool {
	return v.Holder == d.config.Holder && v.Incarnation == d.config.Incarnation
}

// applyWrite updates the state after a write took effect.
func (d *Duty) applyWrite(c *call, revision int64) {
	previous := d.current
	d.recordValue(c.value, revision)
	switch {
	case c.value.Holder == "":
		d.holding = false
	case d.holding:
		d.renewedAt = c.sentAt
		d.nextCall = c.sentAt.Add(d.withJitter(d.config.Lease / renewalsPerLease))
	case previous.Fence == c.value.Fence:
		// The lease ended before this renewal was confirmed; the duty is claimed
		// again with the next fencing number.
		d.scheduleRetry()
	default:
		d.renewedAt = c.sentAt
		d.holding = true
		d.nextCall = c.sentAt.Add(d.withJitter(d.config.Lease / renewalsPerLease))
		d.ordersFrom = d.earliestOrders(previous)
		if !d.Holds(d.now) {
			d.holding = false // The answer arrived after the end of the lease.
			return
		}
		if !d.resigning {
			d.emit(Acquired{Fence: d.current.Fence, OrdersFrom: d.ordersFrom})
		}
	}
}

// earliestOrders returns the time from which on no order of an earlier holder is in
// force.
func (d *Duty) earliestOrders(previous Value) time.Time {
	if previous.Fence == 0 && d.claimFrom.IsZero() {
		return d.now
	}
	earliest := d.now
	for _, end := range []time.Time{d.previousLeaseEnd, d.claimFrom} {
		if end.After(earliest) {
			earliest = end
		}
	}
	return earliest.Add(d.config.OrderLifetime)
}

// resolveWrite compares the stored value with a write to find out whether the write
// took effect.
func (d *Duty) resolveWrite(c *call, stored keyvalue.Entry) {
	v, err := decode(stored)
	switch {
	case err != nil:
		d.scheduleRetry()
		return
	case stored.Revision != 0 && v == c.value:
		d.applyWrite(c, stored.Revision)
		return
	}
	if d.holding && stored.Revision != d.revision && (!d.isOwn(v) || v.Fence != d.current.Fence) {
		d.holding = false
		if !d.resigning {
			d.emit(Lost{Reason: "duty taken over by " + v.Holder})
		}
	}
	// An earlier attempt of this holder may have taken effect late: the next renewal
	// uses its revision, but it does not extend the lease.
	d.recordValue(v, stored.Revision)
	d.scheduleRetry()
}

func (d *Duty) handleReadBack(ev ReadBack) {
	c := d.takeInFlight(ev.ID)
	switch {
	case c == nil || !c.reading:
		return
	case ev.Failed:
		d.scheduleRetry()
		return
	case c.writing:
		d.resolveWrite(c, ev.Entry)
		return
	}
	v, err := decode(ev.Entry)
	if err != nil {
		d.scheduleRetry()
		return
	}
	if d.holding && d.unconfirmed && (!d.isOwn(v) || v.Fence != d.current.Fence) {
		d.loseDuty("the service came back from a copy")
	}
	d.unconfirmed = false
	if !d.hasRead && v.Fence > 0 && v.Fence < d.firstFence() && d.claimFrom.IsZero() {
		// The entry may be a copy that was restored before this daemon started.
		d.claimFrom = d.now.Add(d.config.Lease)
	}
	d.recordValue(v, ev.Entry.Revision)
	d.failures = 0
	if d.resigning || d.holding {
		return
	}
	if !d.givenUpAt.IsZero() && d.now.Sub(d.givenUpAt) < d.config.Lease {
		// Another daemon may act meanwhile; the duty does not come back to this one so soon.
		d.nextCall = d.givenUpAt.Add(d.config.Lease)
		return
	}
	if v.Holder != "" && !d.isOwn(v) && !d.hasGivenUp(v) && d.now.Sub(d.unchangedSince) < d.config.Lease {
		wait := d.withJitter(d.config.Lease / pollsPerLease)
		d.nextCall = d.now.Add(min(wait, d.unchangedSince.Add(d.config.Lease).Sub(d.now)))
		return
	}
	if d.now.Before(d.claimFrom) {
		d.nextCall = d.claimFrom
		return
	}
	d.sendWrite(Value{Holder: d.config.Holder, Incarnation: d.config.Incarnation, Fence: max(v.Fence+1, d.firstFence())})
}
