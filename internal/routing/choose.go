package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// scoreAll is the number of servers up to which all are scored. Above it most
	// loads are unknown, and scoring all would send the calls of all daemons to the few
	// servers that were last reported idle.
	scoreAll = 32
	// samples is the number of servers drawn at random from the head's servers, and
	// again from all servers: the power of two choices.
	samples = 2
	// prefillWeight is the weight of a second of prefill beside a second of waiting.
	// It delays the requests behind it as well as its own.
	prefillWeight = 2.0
)

// candidate is one scored server.
type candidate struct {
	position int
	cached   float64
	score    float64
	reason   string
}

// Choose picks the server for a call. It changes no load; the owner calls Sent when
// it has dispatched the call.
func (r *Router) Choose(now time.Time, call *Call, t *Table, random *rand.Rand) Decision {
	r.sync(t)
	servers := t.services[call.Service]
	if len(servers) == 0 {
		return Decision{Reason: ReasonNoService}
	}
	switch {
	case call.Alone:
		return r.chooseAlone(now, call, t, servers, random)
	case call.Plain:
		return r.choosePlain(now, call, t, servers, random)
	case len(call.Parts) > 0:
		return r.chooseByParts(now, call, t, servers)
	}
	sc := r.scoring(now, call, t)
	// Preferences stay in the region: half the prompts of the design size would
	// need six times the bandwidth of the link. When it has no free slot, scan
	// compares all servers, with the link's cost in the score.
	r.gather(now, call, t, t.near(call), random)
	best, full := none, none
	considered := 0
	for _, c := range r.candidates {
		if sc.eligible(c.position, &Rejected{}) != verdictYes {
			continue
		}
		considered++
		load := sc.load(c.position)
		c.score = sc.score(c.position, c.cached, load).sum()
		if sc.free(c.position, load) {
			best = lower(best, c)
		} else {
			full = lower(full, c)
		}
	}
	if best.position < 0 {
		// A free slot is not held back for affinity: the rest of the service is
		// examined before a full server is chosen.
		return sc.scan(servers, full)
	}
	return sc.decision(best, considered)
}

// none is the absence of a candidate.
var none = candidate{position: -1}

// outdone says that a candidate exists whose score is at most the given part of
// another score.
func (c *candidate) outdone(part float64) bool { return c.position >= 0 && c.score <= part }

func lower(a, b candidate) candidate {
	if a.position < 0 || (b.position >= 0 && b.score < a.score) {
		return b
	}
	return a
}

// gather collects the candidates of a call in r.candidates: servers known to hold a
// part of the prompt, those that the hash prefers, and random ones.
func (r *Router) gather(now time.Time, call *Call, t *Table, servers []int, random *rand.Rand) {
	r.candidates = r.candidates[:0]
	shared := float64(TokensThrough(r.walk(call)))
	home, size := r.findHomes(now, call, t, servers)
	prompt := float64(TokensThrough(len(call.Blocks)))
	for k, i := range home {
		if i >= 0 {
			r.propose(candidate{position: i, cached: max(homeTrust[k]*prompt, groupTrust*shared), reason: ReasonHome})
		}
	}
	for range min(samples, size) {
		i := int(r.ranks[random.IntN(size)] & positionMask)
		r.propose(candidate{position: i, cached: groupTrust * shared, reason: ReasonScore})
	}
	for _, h := range r.holders {
		if st := r.handles[h.handle]; st != nil {
			if i, ok := t.byID[st.id]; ok && t.servers[i].Service == call.Service {
				r.propose(candidate{position: i, cached: h.tokens(now) * st.trust, reason: ReasonCache})
			}
		}
	}
	if len(servers) <= scoreAll {
		for _, i := range servers {
			r.propose(candidate{position: i, reason: ReasonScore})
		}
		return
	}
	for range samples {
		r.propose(candidate{position: servers[random.IntN(len(servers))], reason: ReasonScore})
	}
}

// propose adds a candidate, or raises the cached tokens of one already proposed.
func (r *Router) propose(c candidate) {
	for i := range r.candidates {
		if have := &r.candidates[i]; have.position == c.position {
			if c.cached > have.cached {
				have.cached, have.reason = c.cached, c.reason
			}
			return
		}
	}
	r.candidates = append(r.candidates, c)
}
