package routing

import (
	"math"
	"time"
)

// RateLimit is what one daemon may send to a server that takes a limited rate of calls. The
// zero value means that the server takes any number.
type RateLimit struct {
	Limited bool
	// PerSecond may be 0, which means that this daemon sends no calls.
	PerSecond float64
	// Burst is the number of calls that may be sent at once after a pause.
	Burst float64
}

// tokenBucket keeps the calls to a server within a RateLimit.
type tokenBucket struct {
	limit RateLimit
	// tokens is the number of calls that may be sent as of filledAt. Time before filledAt
	// adds none, nor does time until the first use if it is zero.
	tokens   float64
	filledAt time.Time
}

// setLimit changes the limit. A server that had none gets a full bucket; one from which this
// daemon was excluded gets an empty one, because other daemons have used the rate.
func (b *tokenBucket) setLimit(limit RateLimit) {
	if limit == b.limit {
		return
	}
	if !b.limit.Limited {
		b.tokens = limit.Burst
	}
	b.limit, b.tokens, b.filledAt = limit, min(b.tokens, limit.Burst), time.Time{}
}

// oneToken allows for the rounding of tokens that were added in many small steps.
const oneToken = 1 - 1e-9

// available returns the number of calls that may be sent at a time, which is infinite without
// a limit.
func (b *tokenBucket) available(now time.Time) float64 {
	if !b.limit.Limited {
		return math.Inf(1)
	}
	if b.filledAt.IsZero() {
		b.filledAt = now
	}
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.limit.Burst, b.tokens+b.limit.PerSecond*elapsed.Seconds())
		b.filledAt = now
	}
	return b.tokens
}

// take records a call.
func (b *tokenBucket) take(now time.Time) {
	if b.limit.Limited {
		b.tokens = b.available(now) - 1
	}
}

// takesCalls reports whether a server takes a call of this daemon now.
func (st *serverState) takesCalls(now time.Time) bool {
	return !now.Before(st.pausedUntil) && st.bucket.available(now) >= oneToken
}

// Pause excludes one incarnation of a server from new calls until a time. A pause in force is
// not shortened.
func (r *Router) Pause(until time.Time, server string, incarnation int64) {
	if st := r.states[server]; st != nil && st.incarnation == incarnation && until.After(st.pausedUntil) {
		st.pausedUntil = until
	}
}

// Takes reports whether an incarnation of a server accepts work and has not asked for a pause.
func (r *Router) Takes(now time.Time, t *Table, server Server) bool {
	i, ok := t.byID[server.ID]
	if !ok || t.servers[i].Incarnation != server.Incarnation || !t.servers[i].Accepting {
		return false
	}
	st := r.states[server.ID]
	return st == nil || !now.Before(st.pausedUntil)
}

// LimitedServices returns the services with a server that takes a limited rate of calls.
func (t *Table) LimitedServices() []string { return t.limitedServices }

// Intake is what the servers of a service take from this daemon until a time.
type Intake struct {
	// Bounded is unset if a server takes any number of calls, or if there is no server.
	Bounded bool
	// Calls is the number of calls that are taken until then.
	Calls int
	// Next is when the first call is taken. It is zero if that is not known.
	Next time.Time
	// PerSecond is the sum of the rates.
	PerSecond float64
}

// IntakeUntil returns what the accepting servers of a service take from now until a time.
func (r *Router) IntakeUntil(now, until time.Time, t *Table, service string) Intake {
	r.syncTable(t)
	var in Intake
	calls := 0.0
	for _, i := range t.services[service] {
		if !t.servers[i].Accepting {
			continue
		}
		st := r.tableStates[i]
		next := now
		if next.Before(st.pausedUntil) {
			next = st.pausedUntil
		}
		if limit := st.bucket.limit; !limit.Limited {
			if !next.After(until) {
				return Intake{}
			}
		} else {
			missing := 1 - st.bucket.available(now)
			if limit.PerSecond <= 0 && missing > 0 {
				in.Bounded = true
				continue
			}
			if refilled := now.Add(secondsToDuration(missing / limit.PerSecond)); missing > 0 && refilled.After(next) {
				next = refilled
			}
			if !next.After(until) {
				calls += math.Floor(1 - missing + limit.PerSecond*until.Sub(now).Seconds() + 1 - oneToken)
			}
			in.PerSecond += limit.PerSecond
		}
		in.Bounded = true
		if in.Next.IsZero() || next.Before(in.Next) {
			in.Next = next
		}
	}
	in.Calls = int(min(calls, math.MaxInt32))
	return in
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
