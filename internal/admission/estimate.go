package admission

import (
	"math"
	"time"

	"apricotbridge/pkg/problem"
)

const (
	// rateWindow is the time constant of arrival rates: long enough to average
	// over single requests, short enough to follow a flood.
	rateWindow = 5 * time.Second
	// meanWeight is the weight of a new sample in a moving mean.
	meanWeight = 1.0 / 32
	// sumDecay keeps about the last 128 finished requests in a decayed sum.
	sumDecay = 1 - 1.0/128
	// defaultFill is the assumed part of MaxTokens before any request finished.
	defaultFill = 0.5
	// defaultOutput is the assumed output of a request without MaxTokens.
	defaultOutput = 128
	// minimumShare keeps an estimate finite for a rank that has no floor.
	minimumShare = 0.02
	maxWait      = time.Hour
	// minRetryAfter and maxRetryAfter bound the delay that callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// mean is an exponentially weighted moving mean that starts as a plain mean.
type mean struct {
	value float64
	count int
}

func (m *mean) add(v float64) {
	m.count++
	m.value += (v - m.value) * max(1/float64(m.count), meanWeight)
}

func (m *mean) or(fallback float64) float64 {
	if m.count == 0 {
		return fallback
	}
	return m.value
}

// duration reads a mean of seconds.
func (m *mean) duration() time.Duration { return seconds(m.value) }

// decayed is a sum that decays with each addition.
type decayed float64

func (d *decayed) add(v float64) { *d = *d*sumDecay + decayed(v) }

// windowed is a sum that decays with time.
type windowed struct {
	sum float64
	at  time.Time
}

func (w *windowed) add(now time.Time, v float64) { w.sum, w.at = w.value(now)+v, now }

func (w *windowed) value(now time.Time) float64 {
	if w.sum == 0 || !now.After(w.at) {
		return w.sum
	}
	return w.sum * math.Exp(-now.Sub(w.at).Seconds()/rateWindow.Seconds())
}

func (w *windowed) perSecond(now time.Time) float64 { return w.value(now) / rateWindow.Seconds() }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// cost estimates the work of a request from its prompt and from how much of
// the allowed output requests of its rank used lately.
func (p *pool) cost(q *Queue, rank int, r Request) float64 {
	rq := &p.ranks[rank]
	output := rq.output.or(p.output.or(defaultOutput))
	if r.MaxTokens > 0 {
		output = float64(r.MaxTokens) * rq.fill.or(p.fill.or(defaultFill))
	}
	return max(1, float64(r.PromptTokens)*q.PromptWeight+output)
}

// learn updates the estimates with a finished service.
func (p *pool) learn(now time.Time, it *item, u Usage, actual float64) {
	p.work.add(actual)
	p.slotTime.add(now.Sub(it.started).Seconds())
	p.ended.add(1)
	if u.FirstToken > 0 {
		p.firstToken.add(u.FirstToken.Seconds())
	}
	if u.Failed {
		return
	}
	rq := &p.ranks[it.flow.rank]
	rq.output.add(float64(u.OutputTokens))
	p.output.add(float64(u.OutputTokens))
	if it.req.MaxTokens > 0 {
		fill := float64(u.OutputTokens) / float64(it.req.MaxTokens)
		rq.fill.add(fill)
		p.fill.add(fill)
	}
}

// rate is the work that the pool does a second: as the queue is
// work-conserving, all its slots are in use while requests wait.
func (p *pool) rate() float64 {
	if p.slotTime <= 0 {
		return 0
	}
	return float64(p.running) * float64(p.work/p.slotTime)
}

// releaseInterval is the mean time between two releases of a slot.
func (p *pool) releaseInterval() time.Duration {
	if p.ended <= 0 || p.running == 0 {
		return 0
	}
	return seconds(float64(p.slotTime/p.ended) / float64(p.running))
}

// wait estimates the time until a new request would start. It is zero while
// nothing waits, and while no request has finished yet.
func (p *pool) wait(q *Queue, now time.Time, rank, org int) time.Duration {
	rate := p.rate()
	if rate <= 0 || p.queued == 0 {
		return 0
	}
	// Work of more urgent ranks, and the rate at which more of it arrives.
	above, arriving, below := 0.0, 0.0, 0.0
	for r := range p.ranks {
		rq := &p.ranks[r]
		switch {
		case r < rank:
			above += rq.work
			arriving += rq.arrivals.perSecond(now)
		case r > rank && rq.queued > 0:
			below += q.Ranks[r].Floor
		}
	}
	ahead := p.ahead(q, rank, org)
	if above+ahead <= 0 {
		return 0
	}
	byUrgency := max(rate*(1-below)-arriving, rate*minimumShare)
	wait := (above + ahead) / byUrgency
	if floor := q.Ranks[rank].Floor; floor > 0 {
		wait = min(wait, ahead/(floor*rate))
	}
	return seconds(wait)
}

// ahead is the work of its own rank that runs before a new request of the
// organisation: its own, and that of the others up to the same virtual time.
func (p *pool) ahead(q *Queue, rank, org int) float64 {
	rq, f := &p.ranks[rank], p.ranks[rank].flows[org]
	weight := q.orgs[org].Weight
	others := rq.weight
	if f.count > 0 {
		others -= weight
	}
	lead := max(0, f.tag-rq.virtual) + f.work/weight
	return min(rq.work, lead*max(0, others)+f.work)
}

// refuse counts a refusal and works out when the caller may come back.
func (q *Queue) refuse(p *pool, now time.Time, cost float64, kind problem.Kind, reason string, base time.Duration) Decision {
	q.refused[kind]++
	p.refused.add(now, cost)
	return Decision{Kind: kind, Reason: reason, RetryAfter: q.spread(p, now, base), Pool: p.state()}
}

func (p *pool) state() PoolState {
	return PoolState{Waiting: p.queued, Running: p.running, FirstToken: p.firstToken.duration()}
}

// spread delays a caller by base and then by a random part of the time that
// the work refused lately takes, so that callers return no faster than the
// backlog drains.
func (q *Queue) spread(p *pool, now time.Time, base time.Duration) time.Duration {
	base = min(max(base, minRetryAfter), maxRetryAfter)
	width := base
	if rate := p.rate(); rate > 0 {
		width = max(width, min(seconds(p.refused.value(now)/rate), maxRetryAfter))
	}
	return base + time.Duration(q.random.Float64()*float64(width))
}
