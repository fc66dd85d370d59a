package admission

import (
	"container/heap"
	"math"
	"time"

	"apricotbridge/pkg/problem"
)

// PeerUsage is the work of one daemon for one organisation in one rank of a
// service. Tokens and Requests count from the start of the daemon, so that lost
// and repeated reports don't change the totals.
type PeerUsage struct {
	Daemon string
	// Daemons is the number of daemons that the report sums; 0 means one.
	Daemons      int
	Organisation string
	Rank         string
	Service      string
	// Sequence increases with each report, also over restarts of the daemon.
	Sequence int64
	// Tokens is the work served.
	Tokens float64
	// Requests counts the offered requests, and Offered is their estimated work in tokens.
	Requests uint64
	Offered  float64
	// Age is the age of the report.
	Age time.Duration
}

type peerKey struct{ daemon, service, rank, organisation string }

// peerContact is the time of a peer's last report and the number of daemons that it sums.
type peerContact struct {
	reportedAt time.Time
	daemons    int
}

type peerCounter struct {
	sequence   int64
	tokens     float64
	requests   uint64
	reportedAt time.Time
}

// AppendUsage appends the work that this daemon served since its start to buf.
func (q *Queue) AppendUsage(now time.Time, buf []PeerUsage) []PeerUsage {
	q.initialise()
	for _, p := range q.pools {
		for r := range p.ranks {
			for _, f := range p.ranks[r].flows {
				if f == nil {
					continue
				}
				f.reportedWork = max(f.reportedWork, f.chargedWork)
				buf = append(buf, PeerUsage{
					Daemon: q.Daemon, Organisation: q.orgs[f.org].Name, Rank: q.Ranks[r].Name,
					Service: p.service, Sequence: now.UnixNano(), Tokens: f.reportedWork, Requests: f.offeredRequests,
					Offered: f.offeredWork,
				})
			}
		}
	}
	return buf
}

// MergeUsage charges organisations for their work at other daemons, so that shares hold
// over all daemons. Without reports, each daemon keeps the shares within its own work.
// After a silence, work is charged only in the proportion of StaleAfter to the silence.
func (q *Queue) MergeUsage(now time.Time, reports []PeerUsage) {
	q.initialise()
	for _, u := range reports {
		if u.Daemon != q.Daemon {
			q.mergeReport(now, u)
		}
	}
	for _, u := range reports {
		if at := now.Add(-u.Age); u.Daemon != q.Daemon && at.After(q.peerDaemons[u.Daemon].reportedAt) {
			q.peerDaemons[u.Daemon] = peerContact{at, max(1, u.Daemons)} // A relayed report may be older than a direct one.
		}
	}
	q.removeSilentPeers(now)
	live := 1
	for _, contact := range q.peerDaemons {
		if now.Sub(contact.reportedAt) <= q.StaleAfter {
			live += contact.daemons
		}
	}
	for _, p := range q.pools {
		for r := range p.ranks {
			p.ranks[r].limitDebt(q, p.workPerSecond()*float64(live)*q.DebtTime.Seconds())
		}
	}
}

// removeSilentPeers removes the counters of daemons without reports for peerExpiry,
// so that replaced daemons don't fill the memory.
func (q *Queue) removeSilentPeers(now time.Time) {
	removed := false
	for daemon, contact := range q.peerDaemons {
		if now.Sub(contact.reportedAt) > peerExpiry {
			delete(q.peerDaemons, daemon)
			removed = true
		}
	}
	if !removed {
		return
	}
	for key := range q.peerCounters {
		if _, ok := q.peerDaemons[key.daemon]; !ok {
			delete(q.peerCounters, key)
		}
	}
	for _, org := range q.orgs {
		org.rateLimit.removeSilentPeers(now)
	}
}

func (q *Queue) mergeReport(now time.Time, u PeerUsage) {
	key := peerKey{u.Daemon, u.Service, u.Rank, u.Organisation}
	last, known := q.peerCounters[key]
	if known && u.Sequence <= last.sequence {
		return
	}
	at := now.Add(-u.Age)
	q.peerCounters[key] = peerCounter{sequence: u.Sequence, tokens: u.Tokens, requests: u.Requests, reportedAt: at}
	if !known {
		// The first report is the baseline of the next. Its tokens may cover hours, and a
		// report may contain only some of the counters.
		return
	}
	tokens, requests := u.Tokens-last.tokens, u.Requests-last.requests
	if u.Tokens < last.tokens || u.Requests < last.requests { // The daemon restarted.
		tokens, requests = u.Tokens, u.Requests
	}
	orgIndex, rankIndex := q.organisationIndex(u.Organisation), q.rankIndexOf(u.Rank)
	gap := at.Sub(last.reportedAt)
	q.orgs[orgIndex].rateLimit.MergeDemand(now, u.Daemon, float64(requests), gap)
	if tokens <= 0 || u.Age > q.StaleAfter {
		return
	}
	if gap > q.StaleAfter {
		tokens *= q.StaleAfter.Seconds() / gap.Seconds()
	}
	f := q.poolOf(u.Service).flowOf(q, rankIndex, orgIndex)
	f.startTag += tokens / q.orgs[orgIndex].Weight
}

// limitDebt bounds how far an organisation's start tag exceeds that of the organisation
// served next, and restores the heap after charges.
func (rq *rankQueue) limitDebt(q *Queue, debt float64) {
	base := math.Inf(1)
	for _, f := range rq.flows {
		if f != nil && (f.queued > 0 || len(rq.heap) == 0) {
			base = min(base, f.startTag)
		}
	}
	limit := max(base, rq.virtualTime) + max(debt, q.IdleCredit)
	for _, f := range rq.flows {
		if f != nil {
			f.startTag = min(f.startTag, limit)
		}
	}
	heap.Init(&rq.heap)
}

// FlowStats is the state of one organisation in one rank of a service.
type FlowStats struct {
	Service      string
	Rank         string
	Organisation string
	Queued       int
	// OldestWait is the waiting time of the request at the head of the queue.
	OldestWait time.Duration
	// MeanWait is a moving mean over started requests.
	MeanWait time.Duration
	// Tokens is the work served at this daemon.
	Tokens float64
}

// Stats is a snapshot for metrics and the operator API.
type Stats struct {
	Queued  int
	Running int
	// Recomputed counts the tokens of returned requests that are computed again.
	Recomputed uint64
	Refused    map[problem.Kind]uint64
	Flows      []FlowStats
}

// Stats returns the queue lengths and waits by service, rank and organisation.
func (q *Queue) Stats(now time.Time) Stats {
	q.initialise()
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
				row := FlowStats{
					Service: p.service, Rank: q.Ranks[r].Name, Organisation: q.orgs[f.org].Name,
					Queued: f.queued, MeanWait: f.meanWait.duration(), Tokens: f.chargedWork,
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
