package admission

import (
	"container/heap"
	"math"
	"time"

	"apricotbridge/pkg/problem"
)

// PeerUsage is what one daemon did for one organisation in one rank of a
// service. Tokens and Requests count from the start of the daemon, so that lost
// and repeated reports do no harm.
type PeerUsage struct {
	Daemon string
	// Daemons is how many daemons a report sums; 0 means one.
	Daemons      int
	Organisation string
	Rank         string
	Service      string
	// Sequence rises with each report, also over restarts of the daemon.
	Sequence int64
	// Tokens of work served.
	Tokens float64
	// Requests offered, and the estimated tokens of their work.
	Requests uint64
	Offered  float64
	// Age of the report.
	Age time.Duration
}

type peerKey struct{ daemon, service, rank, organisation string }

// heard is when a peer's usage was last heard, and how many daemons it sums.
type heard struct {
	at      time.Time
	daemons int
}

type peerCount struct {
	sequence int64
	tokens   float64
	requests uint64
	at       time.Time
}

// Counters appends what this daemon served since its start to buf.
func (q *Queue) Counters(now time.Time, buf []PeerUsage) []PeerUsage {
	q.init()
	for _, p := range q.pools {
		for r := range p.ranks {
			for _, f := range p.ranks[r].flows {
				if f == nil {
					continue
				}
				f.reported = max(f.reported, f.charged)
				buf = append(buf, PeerUsage{
					Daemon: q.Daemon, Organisation: q.orgs[f.org].Name, Rank: q.Ranks[r].Name,
					Service: p.service, Sequence: now.UnixNano(), Tokens: f.reported, Requests: f.offered,
					Offered: f.offeredWork,
				})
			}
		}
	}
	return buf
}

// Merge charges organisations for work that other daemons did for them, so
// that shares hold over all daemons. Without reports each daemon keeps the
// shares of its own work; after a silence only the part of the work that falls
// into StaleAfter is charged.
func (q *Queue) Merge(now time.Time, reports []PeerUsage) {
	q.init()
	for _, u := range reports {
		if u.Daemon != q.Daemon {
			q.mergeOne(now, u)
		}
	}
	for _, u := range reports {
		if at := now.Add(-u.Age); u.Daemon != q.Daemon && at.After(q.daemons[u.Daemon].at) {
			q.daemons[u.Daemon] = heard{at, max(1, u.Daemons)} // A relayed report may be older than a direct one.
		}
	}
	q.forget(now)
	live := 1
	for _, h := range q.daemons {
		if now.Sub(h.at) <= q.StaleAfter {
			live += h.daemons
		}
	}
	for _, p := range q.pools {
		for r := range p.ranks {
			p.ranks[r].limitDebt(q, p.rate()*float64(live)*q.DebtTime.Seconds())
		}
	}
}

// forget removes the counters of daemons that were silent for long, so that
// replaced daemons don't fill the memory.
func (q *Queue) forget(now time.Time) {
	gone := false
	for daemon, h := range q.daemons {
		if now.Sub(h.at) > forgetAfter {
			delete(q.daemons, daemon)
			gone = true
		}
	}
	if !gone {
		return
	}
	for key := range q.peers {
		if _, ok := q.daemons[key.daemon]; !ok {
			delete(q.peers, key)
		}
	}
	for _, org := range q.orgs {
		org.limit.forget(now)
	}
}

func (q *Queue) mergeOne(now time.Time, u PeerUsage) {
	key := peerKey{u.Daemon, u.Service, u.Rank, u.Organisation}
	last, known := q.peers[key]
	if known && u.Sequence <= last.sequence {
		return
	}
	at := now.Add(-u.Age)
	q.peers[key] = peerCount{sequence: u.Sequence, tokens: u.Tokens, requests: u.Requests, at: at}
	if !known {
		// The first report is the base for the next. Its tokens may be those of
		// hours, as reports may hold a part of the counters only.
		return
	}
	tokens, requests := u.Tokens-last.tokens, u.Requests-last.requests
	if u.Tokens < last.tokens || u.Requests < last.requests { // The daemon restarted.
		tokens, requests = u.Tokens, u.Requests
	}
	oi, ri := q.organisation(u.Organisation), q.rank(u.Rank)
	gap := at.Sub(last.at)
	q.orgs[oi].limit.Merge(now, u.Daemon, float64(requests), gap)
	if tokens <= 0 || u.Age > q.StaleAfter {
		return
	}
	if gap > q.StaleAfter {
		tokens *= q.StaleAfter.Seconds() / gap.Seconds()
	}
	f := q.pool(u.Service).flow(q, ri, oi)
	f.tag += tokens / q.orgs[oi].Weight
}

// limitDebt restores the heap after charges and bounds how far an organisation
// is behind the one that is served next.
func (rq *rankQueue) limitDebt(q *Queue, debt float64) {
	base := math.Inf(1)
	for _, f := range rq.flows {
		if f != nil && (f.count > 0 || len(rq.heap) == 0) {
			base = min(base, f.tag)
		}
	}
	limit := max(base, rq.virtual) + max(debt, q.SavedCredit)
	for _, f := range rq.flows {
		if f != nil {
			f.tag = min(f.tag, limit)
		}
	}
	heap.Init(&rq.heap)
}

// Stat is the state of one organisation in one rank of a service.
type Stat struct {
	Service      string
	Rank         string
	Organisation string
	Queued       int
	// OldestWait is how long the first waiting request has waited.
	OldestWait time.Duration
	// MeanWait is a moving mean over started requests.
	MeanWait time.Duration
	// Tokens of work served at this daemon.
	Tokens float64
}

// Stats is a snapshot for metrics and the operator API.
type Stats struct {
	Queued  int
	Running int
	// Recomputed counts tokens of returned requests that are computed again.
	Recomputed uint64
	Refused    map[problem.Kind]uint64
	Flows      []Stat
}

// Stats returns the length and the wait by service, rank and organisation.
func (q *Queue) Stats(now time.Time) Stats {
	q.init()
	s := Stats{Queued: q.queued, Recomputed: q.recomputed, Refused: make(map[problem.Kind]uint64, len(q.refused))}
	for kind, n := range q.refused {
		s.Refused[kind] = n
	}
	for _, p := range q.pools {
		s.Running += p.running
		for r := range p.ranks {
			for _, f := range p.ranks[r].flows {
				if f == nil {
					continue
				}
				row := Stat{
					Service: p.service, Rank: q.Ranks[r].Name, Organisation: q.orgs[f.org].Name,
					Queued: f.count, MeanWait: f.waited.duration(), Tokens: f.charged,
				}
				if f.head != nil {
					row.OldestWait = now.Sub(f.head.queuedAt)
				}
				s.Flows = append(s.Flows, row)
			}
		}
	}
	return s
}
