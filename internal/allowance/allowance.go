// Package allowance divides the rate of requests that a backend server names in its answers
// among the daemons that send it requests. It has no sockets and no clock.
//
// The daemons do not report to each other what they send: rates are as low as one request a
// second, so that reports would arrive after the requests that they should prevent. Each
// daemon derives its share from the list of daemons instead. If the rate is too low to give
// every daemon a request now and then, the first few in an order by hash share it.
package allowance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Memory is how long a rate is kept after the last answer that named it. A daemon without
	// a share does not notice by itself that the server no longer names it.
	Memory = 30 * time.Second
	// refreshInterval is the least time between two statements of the same rate that are
	// passed on to other daemons.
	refreshInterval = 5 * time.Second
	// burstTime and minBurst bound the requests that all daemons together may send at once:
	// those of burstTime at the rate, and minBurst.
	burstTime = time.Second
	minBurst  = 2
	// minPerSecond is the rate at which requests are sent to a server that names a lower one
	// or 0, because only an answer shows that it takes more again.
	minPerSecond = 0.25
)

// Incarnation is one start of a server.
type Incarnation struct {
	Server string
	Start  int64
}

// Statement is what one answer of a server says about the requests that it takes.
type Statement struct {
	Incarnation Incarnation
	// Limited is unset if the answer names no rate.
	Limited bool
	// PerSecond is the rate of requests from all daemons together.
	PerSecond float64
	// SentAt is when the request was sent and At when its answer arrived.
	SentAt, At time.Time
}

// Share is what one daemon may send to a server.
type Share struct {
	PerSecond float64
	// Burst is the number of requests that it may send at once, 0 or at least 1.
	Burst float64
}

// Set holds the rates of all servers that name one. The zero value is empty.
type Set struct {
	rates map[Incarnation]*rate
}

type rate struct {
	perSecond float64
	// statedAt is when the last answer with this rate arrived.
	statedAt time.Time
	// sharedAt is statedAt as of the last statement that was news.
	sharedAt time.Time
}

// Note applies a statement. It reports whether the rate changed, and whether the other daemons
// have to learn of the statement.
//
// Answers overtake each other on different connections. A lower rate therefore applies at
// once, a higher one or none only if the request was sent after the last answer that named the
// present rate.
func (s *Set) Note(st Statement) (changed, news bool) {
	r := s.rates[st.Incarnation]
	switch {
	case r == nil && !st.Limited:
		return false, false
	case r == nil:
		if s.rates == nil {
			s.rates = map[Incarnation]*rate{}
		}
		r = &rate{}
		s.rates[st.Incarnation] = r
		changed = true
	case (!st.Limited || st.PerSecond > r.perSecond) && !st.SentAt.After(r.statedAt):
		return false, false
	case !st.Limited:
		delete(s.rates, st.Incarnation)
		return true, true
	default:
		changed = st.PerSecond != r.perSecond
	}
	r.perSecond = st.PerSecond
	if st.At.After(r.statedAt) {
		r.statedAt = st.At
	}
	news = changed || r.statedAt.Sub(r.sharedAt) >= refreshInterval
	if news {
		r.sharedAt = r.statedAt
	}
	return changed, news
}

// Has reports whether a server names a rate.
func (s *Set) Has(i Incarnation) bool { return s.rates[i] != nil }

// Len returns the number of servers that name a rate.
func (s *Set) Len() int { return len(s.rates) }

// Incarnations returns the servers that name a rate.
func (s *Set) Incarnations() map[Incarnation]bool {
	all := make(map[Incarnation]bool, len(s.rates))
	for i := range s.rates {
		all[i] = true
	}
	return all
}

// Statements returns the present rates, for a daemon that does not know them.
func (s *Set) Statements() []Statement {
	list := make([]Statement, 0, len(s.rates))
	for i, r := range s.rates {
		list = append(list, Statement{Incarnation: i, Limited: true, PerSecond: r.perSecond, SentAt: r.statedAt, At: r.statedAt})
	}
	return list
}

// Expire forgets the rates that no answer has named for Memory. It reports whether there were
// any.
func (s *Set) Expire(now time.Time) bool {
	expired := false
	for i, r := range s.rates {
		if now.Sub(r.statedAt) > Memory {
			delete(s.rates, i)
			expired = true
		}
	}
	return expired
}

// Share returns what a daemon may send to a server that names a rate. daemons lists all
// daemons with self; known is unset while the list may lack some, in which case the
// daemon takes the share that it has among many.
func (s *Set) Share(i Incarnation, self string, daemons []string, known bool) Share {
	r := s.rates[i]
	if r == nil {
		return Share{Burst: math.Inf(1), PerSecond: math.Inf(1)}
	}
	perSecond := max(r.perSecond, minPerSecond)
	burst := minBurst + perSecond*burstTime.Seconds()
	sharers := int(min(burst, math.MaxInt32))
	if known && len(daemons) <= sharers {
		sharers = max(len(daemons), 1)
	} else if !isAmongFirst(i.Server, self, daemons, sharers) {
		return Share{}
	}
	return Share{PerSecond: perSecond / float64(sharers), Burst: burst / float64(sharers)}
}

// isAmongFirst reports whether a daemon is one of the first n in an order of the daemons by
// hash, which differs from server to server.
func isAmongFirst(server, self string, daemons []string, n int) bool {
	own, before := orderOf(server, self), 0
	for _, d := range daemons {
		if d != self && orderOf(server, d) < own {
			before++
		}
	}
	return before < n
}

func orderOf(server, daemon string) uint64 { return xxhash.Sum64String(server + "\x00" + daemon) }
