package admission

import (
	"math"
	"time"

	"apricotbridge/pkg/problem"
)

const (
	// rateDecay is the time constant of arrival rates: long enough to average over
	// single requests, short enough to follow a flood of requests.
	rateDecay = 5 * time.Second
	// minSampleWeight is the weight of a new sample in a moving mean after 32 samples.
	minSampleWeight = 1.0 / 32
	// sumDecay keeps about the last 128 finished requests in a sampleDecayedSum.
	sumDecay = 1 - 1.0/128
	// defaultOutputRatio is the assumed share of MaxTokens before any request finished.
	defaultOutputRatio = 0.5
	// defaultOutputTokens is the assumed output of a request without MaxTokens.
	defaultOutputTokens = 128
	// minRankShare keeps the estimated wait of a rank without a floor finite.
	minRankShare = 0.02
	maxWait      = time.Hour
	// minRetryAfter and maxRetryAfter bound the base of RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// movingMean is an exponentially weighted moving mean that starts as a plain mean.
type movingMean struct {
	value float64
	count int
}

func (m *movingMean) add(v float64) {
	m.count++
	m.value += (v - m.value) * max(1/float64(m.count), minSampleWeight)
}

func (m *movingMean) valueOr(fallback float64) float64 {
	if m.count == 0 {
		return fallback
	}
	return m.value
}

// duration converts a mean of seconds.
func (m *movingMean) duration() time.Duration { return seconds(m.value) }

// sampleDecayedSum is a sum that decays with each addition.
type sampleDecayedSum float64

func (d *sampleDecayedSum) add(v float64) { *d = *d*sumDecay + sampleDecayedSum(v) }

// timeDecayedSum is a sum that decays with time.
type timeDecayedSum struct {
	sum       float64
	updatedAt time.Time
}

func (s *timeDecayedSum) add(now time.Time, v float64) { s.sum, s.updatedAt = s.value(now)+v, now }

func (s *timeDecayedSum) value(now time.Time) float64 {
	if s.sum == 0 || !now.After(s.updatedAt) {
		return s.sum
	}
	return s.sum * math.Exp(-now.Sub(s.updatedAt).Seconds()/rateDecay.Seconds())
}

func (s *timeDecayedSum) perSecond(now time.Time) float64 { return s.value(now) / rateDecay.Seconds() }

// seconds converts s to a duration of at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// estimateWork estimates the work of a request from its prompt and from the share of
// MaxTokens that recent requests of its rank generated.
func (p *pool) estimateWork(q *Queue, rank int, r Request) float64 {
	rq := &p.ranks[rank]
	output := rq.outputTokens.valueOr(p.outputTokens.valueOr(defaultOutputTokens))
	if r.MaxTokens > 0 {
		output = float64(r.MaxTokens) * rq.outputRatio.valueOr(p.outputRatio.valueOr(defaultOutputRatio))
	}
	return max(1, float64(r.PromptTokens)*q.PromptWeight+output)
}

// updateEstimates adds the samples of an ended request.
func (p *pool) updateEstimates(now time.Time, it *item, u Usage, actual float64) {
	p.endedWork.add(actual)
	p.slotSeconds.add(now.Sub(it.startedAt).Seconds())
	p.endedRequests.add(1)
	if u.FirstToken > 0 {
		p.firstToken.add(u.FirstToken.Seconds())
	}
	if u.Failed {
		return
	}
	rq := &p.ranks[it.flow.rank]
	rq.outputTokens.add(float64(u.OutputTokens))
	p.outputTokens.add(float64(u.OutputTokens))
	if it.request.MaxTokens > 0 {
		ratio := float64(u.OutputTokens) / float64(it.request.MaxTokens)
		rq.outputRatio.add(ratio)
		p.outputRatio.add(ratio)
	}
}

// workPerSecond is the work that the pool does a second. The queue is
// work-conserving, so all slots are in use while requests wait.
func (p *pool) workPerSecond() float64 {
	if p.slotSeconds <= 0 {
		return 0
	}
	return float64(p.running) * float64(p.endedWork/p.slotSeconds)
}

// releaseInterval is the mean time between two releases of a slot.
func (p *pool) releaseInterval() time.Duration {
	if p.endedRequests <= 0 || p.running == 0 {
		return 0
	}
	return seconds(float64(p.slotSeconds/p.endedRequests) / float64(p.running))
}

// estimateWait estimates the time until a new request would start. It is zero while
// no request waits, and until the first request has finished.
func (p *pool) estimateWait(q *Queue, now time.Time, rank, org int) time.Duration {
	rate := p.workPerSecond()
	if rate <= 0 || p.queued == 0 {
		return 0
	}
	// Queued work of more urgent ranks, the arrival rate of such work, and the sum of
	// the floors of less urgent ranks.
	above, arriving, below := 0.0, 0.0, 0.0
	for r := range p.ranks {
		rq := &p.ranks[r]
		switch {
		case r < rank:
			above += rq.queuedWork
			arriving += rq.arrivingWork.perSecond(now)
		case r > rank && rq.queued > 0:
			below += q.Ranks[r].Floor
		}
	}
	ahead := p.workAhead(q, rank, org)
	if above+ahead <= 0 {
		return 0
	}
	availableRate := max(rate*(1-below)-arriving, rate*minRankShare)
	wait := (above + ahead) / availableRate
	if floor := q.Ranks[rank].Floor; floor > 0 {
		wait = min(wait, ahead/(floor*rate))
	}
	return seconds(wait)
}

// workAhead is the work of the same rank that runs before a new request of the
// organisation: its own, and that of other organisations up to the same virtual time.
func (p *pool) workAhead(q *Queue, rank, org int) float64 {
	rq, f := &p.ranks[rank], p.ranks[rank].flows[org]
	weight := q.orgs[org].Weight
	others := rq.queuedWeight
	if f.queued > 0 {
		others -= weight
	}
	lead := max(0, f.startTag-rq.virtualTime) + f.queuedWork/weight
	return min(rq.queuedWork, lead*max(0, others)+f.queuedWork)
}

// refuse counts a refusal and computes RetryAfter.
func (q *Queue) refuse(p *pool, now time.Time, work float64, kind problem.Kind, reason string, base time.Duration) Decision {
	q.refused[kind]++
	p.refusedWork.add(now, work)
	return Decision{Kind: kind, Reason: reason, RetryAfter: q.retryAfter(p, now, base), Pool: p.state()}
}

func (p *pool) state() PoolState {
	return PoolState{Waiting: p.queued, Running: p.running, FirstToken: p.firstToken.duration()}
}

// retryAfter returns base plus a random part of the time that the recently refused
// work takes, so that callers return no faster than the backlog drains.
func (q *Queue) retryAfter(p *pool, now time.Time, base time.Duration) time.Duration {
	base = min(max(base, minRetryAfter), maxRetryAfter)
	width := base
	if rate := p.workPerSecond(); rate > 0 {
		width = max(width, min(seconds(p.refusedWork.value(now)/rate), maxRetryAfter))
	}
	return base + time.Duration(q.random.Float64()*float64(width))
}
