package lease

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/keyvalue"
)

const (
	// A holder stops after 9/10 of the lease, which allows for clocks whose rates
	// differ by up to a tenth.
	holdNumerator, holdDenominator = 9, 10
	// A renewal is due after a third of the lease, so that two may fail.
	renewalsPerLease = 3
	// pollsPerLease sets how often a candidate reads the key.
	pollsPerLease = 2
	// retriesPerLease sets the wait after a call that failed.
	retriesPerLease = 15
)

// flight is the one call in flight.
type flight struct {
	id      uint64
	value   Value
	encoded []byte
	sent    time.Time
	// reading says that the call is a read: a poll, or the read-back of a write.
	reading, writing bool
}

// Duty is the state machine of one duty at one daemon. It is used by one
// goroutine.
type Duty struct {
	config Config
	nextID uint64
	now    time.Time
	out    []Action
	flight *flight
	// current is the value that was last seen, at revision, unchanged since since.
	current  Value
	revision int64
	since    time.Time
	seen     bool
	next     time.Time
	holding  bool
	// renewed is when the last renewal that succeeded was sent.
	renewed time.Time
	// othersUntil is when the lease of the holder before this one has ended.
	othersUntil time.Time
	ordersFrom  time.Time
	resigning   bool
	resigned    bool
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

// Holds reports whether the duty is certainly held at a time. It counts from when
// the last successful renewal was sent, since the service may have taken it then.
func (d *Duty) Holds(now time.Time) bool {
	return d.holding && !d.resigning && now.Before(d.renewed.Add(d.config.Lease*holdNumerator/holdDenominator))
}

// Fence returns the fencing number of the holding; 0 means none.
func (d *Duty) Fence() uint64 {
	if !d.holding {
		return 0
	}
	return d.current.Fence
}

// MayOrder reports whether orders may be given to engines that ignore fencing
// numbers.
func (d *Duty) MayOrder(now time.Time) bool { return d.Holds(now) && !now.Before(d.ordersFrom) }

// Step applies one event and returns the actions to perform.
func (d *Duty) Step(now time.Time, ev Event) []Action {
	d.now, d.out = now, nil
	if d.holding && !d.resigning && !d.Holds(now) {
		d.lose("lease lapsed")
	}
	switch ev := ev.(type) {
	case Resign:
		if d.holding && !d.resigning {
			d.do(Lost{Reason: "resigned"})
		}
		d.resigning, d.next = true, now
	case Committed:
		if f := d.answered(ev.ID); f != nil && f.writing {
			d.took(f, ev.Revision)
		}
	case CommitConflict:
		if f := d.answered(ev.ID); f != nil && f.writing {
			d.compare(f, ev.Current)
		}
	case CommitUnknown:
		if f := d.answered(ev.ID); f != nil && f.writing {
			f.id, f.reading = d.id(), true
			d.flight = f
			d.do(Read{ID: f.id, Key: Key(d.config.Name)})
		}
	case CommitRefused:
		if f := d.answered(ev.ID); f != nil {
			d.retry()
		}
	case ReadBack:
		d.readBack(ev)
	case Tick:
	}
	d.advance()
	return d.out
}

func (d *Duty) do(a Action) { d.out = append(d.out, a) }

func (d *Duty) id() uint64 {
	d.nextID++
	return d.nextID
}

// spread returns a time within the last quarter of a span, so that daemons do not
// call at the same moment.
func (d *Duty) spread(span time.Duration) time.Duration {
	return span*3/4 + time.Duration(d.config.Rand.Float64()*float64(span/4))
}

func (d *Duty) retry() { d.next = d.now.Add(d.spread(d.config.Lease / retriesPerLease)) }

// answered returns the call in flight when id is its number.
func (d *Duty) answered(id uint64) *flight {
	f := d.flight
	if f == nil || f.id != id {
		return nil
	}
	d.flight = nil
	return f
}

func (d *Duty) lose(reason string) {
	d.holding = false
	d.do(Lost{Reason: reason})
}

// advance makes the call that is due.
func (d *Duty) advance() {
	if d.flight != nil || d.resigned || d.now.Before(d.next) {
		return
	}
	switch {
	case d.resigning && !d.holding:
		d.resigned = true
		d.do(Resigned{})
	case d.resigning:
		v := d.current
		v.Holder, v.Incarnation = "", 0
		d.write(v)
	case d.holding:
		v := d.current
		v.Renewal++
		d.write(v)
	default:
		d.flight = &flight{id: d.id(), reading: true}
		d.do(Read{ID: d.flight.id, Key: Key(d.config.Name)})
	}
}

func (d *Duty) write(v Value) {
	encoded, err := json.Marshal(v)
	if err != nil { // A struct of strings and numbers always encodes.
		panic(fmt.Sprintf("lease: encode duty: %v", err))
	}
	d.flight = &flight{id: d.id(), value: v, encoded: encoded, sent: d.now, writing: true}
	d.do(Write{ID: d.flight.id, Key: Key(d.config.Name), Value: encoded, Revision: d.revision})
}

// see notes the value of the key.
func (d *Duty) see(v Value, revision int64) {
	if !d.seen || revision != d.revision {
		d.seen, d.since = true, d.now
	}
	if d.current.Holder != "" && !d.mine(d.current) && d.mine(v) {
		// The other holder may have renewed just before the claim took effect.
		d.othersUntil = d.now.Add(d.config.Lease)
	}
	d.current, d.revision = v, revision
}

func (d *Duty) mine(v Value) bool {
	return v.Holder == d.config.Holder && v.Incarnation == d.config.Incarnation
}

// took applies a write that took effect.
func (d *Duty) took(f *flight, revision int64) {
	before := d.current
	d.see(f.value, revision)
	switch {
	case f.value.Holder == "":
		d.holding = false
	case d.holding:
		d.renewed = f.sent
		d.next = f.sent.Add(d.spread(d.config.Lease / renewalsPerLease))
	case before.Fence == f.value.Fence:
		// A renewal of a holding that has lapsed meanwhile; the duty is claimed again
		// with the next fencing number.
		d.retry()
	default:
		d.renewed = f.sent
		d.holding = true
		d.next = f.sent.Add(d.spread(d.config.Lease / renewalsPerLease))
		d.ordersFrom = d.earliest(before)
		if !d.Holds(d.now) {
			d.holding = false // The answer came after the lease.
			return
		}
		if !d.resigning {
			d.do(Acquired{Fence: d.current.Fence, OrdersFrom: d.ordersFrom})
		}
	}
}

// earliest returns when no order of an earlier holding is in force any more.
func (d *Duty) earliest(before Value) time.Time {
	if before.Fence == 0 {
		return d.now
	}
	from := d.now
	if d.othersUntil.After(from) {
		from = d.othersUntil
	}
	return from.Add(d.config.OrderLifetime)
}

// compare resolves a write by the value that is stored.
func (d *Duty) compare(f *flight, stored keyvalue.Entry) {
	v, err := decode(stored)
	switch {
	case err != nil:
		d.retry()
		return
	case stored.Revision != 0 && v == f.value:
		d.took(f, stored.Revision)
		return
	}
	if d.holding && stored.Revision != d.revision && (!d.mine(v) || v.Fence != d.current.Fence) {
		d.holding = false
		if !d.resigning {
			d.do(Lost{Reason: "duty taken over by " + v.Holder})
		}
	}
	// An earlier attempt of this holder may have taken effect late: the next renewal
	// starts from its revision, and the lease is not extended by it.
	d.see(v, stored.Revision)
	d.retry()
}

func (d *Duty) readBack(ev ReadBack) {
	f := d.answered(ev.ID)
	switch {
	case f == nil || !f.reading:
		return
	case ev.Failed:
		d.retry()
		return
	case f.writing:
		d.compare(f, ev.Entry)
		return
	}
	v, err := decode(ev.Entry)
	if err != nil {
		d.retry()
		return
	}
	d.see(v, ev.Entry.Revision)
	if d.resigning {
		return
	}
	if v.Holder != "" && !d.mine(v) && d.now.Sub(d.since) < d.config.Lease {
		wait := d.spread(d.config.Lease / pollsPerLease)
		d.next = d.now.Add(min(wait, d.since.Add(d.config.Lease).Sub(d.now)))
		return
	}
	d.write(Value{Holder: d.config.Holder, Incarnation: d.config.Incarnation, Fence: v.Fence + 1})
}
