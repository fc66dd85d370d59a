package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"apricotbridge/internal/message"
	"apricotbridge/internal/rollout"
	"apricotbridge/internal/routing"
)

// rolloutEvidence is what this daemon and its peers observed in rollouts.
type rolloutEvidence struct {
	mu  sync.Mutex
	sum rollout.Evidence
	// sentAt is when a status last had the observations of this daemon; only the goroutine that sends
	// statuses uses it.
	sentAt time.Time
}

func keyOf(s rollout.State, stage int) rollout.Key {
	return rollout.Key{Service: s.Service, Version: s.Version, Stage: stage}
}

// judge returns the verdict on a rollout.
func (e *rolloutEvidence) judge(s rollout.State) rollout.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	var stages [][]rollout.Trial
	for stage := range s.Stage + 1 {
		stages = append(stages, e.sum.Sum(keyOf(s, stage)))
	}
	return rollout.Judge(stages)
}

// trialsInterval is the least time between two statuses with what this daemon observed in rollouts.
const trialsInterval = 300 * time.Millisecond

// ownTrials returns what this daemon observed in rollouts, if a status is to have it.
func (g *Gateway) ownTrials(now time.Time) []message.RolloutEvidence {
	e := &g.evidence
	if now.Sub(e.sentAt) < trialsInterval {
		return nil
	}
	e.sentAt = now
	own := rollout.Source{Place: g.Place, Daemon: g.Daemon, Start: g.start}
	return e.encode(g.view.Load(), func(k rollout.Key) []rollout.Trial { return e.sum.Of(k, own) })
}

// encode returns the counts of the present stages of the rollouts in progress, and of those before.
func (e *rolloutEvidence) encode(v *View, counts func(rollout.Key) []rollout.Trial) []message.RolloutEvidence {
	if v == nil || len(v.rollouts) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []message.RolloutEvidence
	for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
		s := v.rollouts[service].State
		if s.Phase != rollout.InProgress {
			continue
		}
		for stage := max(s.Stage-1, 0); stage <= s.Stage; stage++ {
			m := message.RolloutEvidence{Service: s.Service, Version: s.Version, Stage: stage}
			for _, t := range counts(keyOf(s, stage)) {
				m.Trials = append(m.Trials, message.RolloutTrial{Route: t.Route, Old: encodeSide(t.Old), New: encodeSide(t.New)})
			}
			if len(m.Trials) > 0 {
				list = append(list, m)
			}
		}
	}
	return list
}

// merge replaces the observations of a source by later ones, for the rollouts in progress.
func (e *rolloutEvidence) merge(v *View, from rollout.Source, list []message.RolloutEvidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range list {
		s, ok := v.rolloutInProgress(m.Service)
		if !ok || s.Version != m.Version || m.Stage < 0 || m.Stage > s.Stage+1 {
			continue
		}
		var trials []rollout.Trial
		for _, t := range m.Trials {
			trials = append(trials, rollout.Trial{Route: t.Route, Old: decodeSide(t.Old), New: decodeSide(t.New)})
		}
		e.sum.Replace(keyOf(s, m.Stage), from, trials)
	}
}

// retain drops the observations of rollouts that are over.
func (e *rolloutEvidence) retain(v *View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sum.Retain(func(k rollout.Key) bool {
		s, ok := v.rolloutInProgress(k.Service)
		return ok && s.Version == k.Version
	})
}

func encodeSide(s rollout.Side) message.RolloutSide {
	return message.RolloutSide{Answers: s.Answers, Failed: s.Failed, First: trimZeros(s.First[:]), Pace: trimZeros(s.Pace[:])}
}

func trimZeros(list []int64) []int64 {
	n := len(list)
	for n > 0 && list[n-1] == 0 {
		n--
	}
	return slices.Clone(list[:n])
}

func decodeSide(m message.RolloutSide) rollout.Side {
	s := rollout.Side{Answers: m.Answers, Failed: m.Failed}
	copy(s.First[:], m.First)
	copy(s.Pace[:], m.Pace)
	return s
}

// attemptTrial observes one attempt during a rollout. A nil one observes nothing.
type attemptTrial struct {
	g     *Gateway
	key   rollout.Key
	route string
	fresh bool
	// sentAt is when the attempt was sent, and expected how long its answer or first event should take.
	sentAt   time.Time
	expected time.Duration
	// events counts the events, and firstEvents those that arrived with the first one, at firstAt.
	events, firstEvents int
	firstAt             time.Time
	paced               bool
}

const (
	// expectedBase is the expected time to an answer or a first event without the reading of the prompt, and
	// expectedGap that between two events. Both sides are measured against the same ones, so that only
	// their order of magnitude matters.
	expectedBase = 50 * time.Millisecond
	expectedGap  = 40 * time.Millisecond
	// pacedEvents is the number of events after the first one with which the pace of a stream is recorded.
	pacedEvents = 4
	// lateFirst is the time from which an attempt that ended without a first event counts with the time that it
	// took: servers that are slow enough are given up by their callers.
	lateFirst = time.Second
)

// beginTrial returns the observation of an attempt, or nil if its service has no rollout in progress.
func (s *session) beginTrial(now time.Time, server routing.Server, wait, cached float64) *attemptTrial {
	v := s.g.view.Load()
	state, ok := v.rolloutInProgress(s.service)
	if !ok || v.rollouts[s.service].Servers.New == 0 { // There is nothing to compare yet.
		return nil
	}
	t := &attemptTrial{
		g: s.g, key: keyOf(state, state.Stage), route: s.route.Name, fresh: server.Version == state.Version, sentAt: now, expected: expectedBase,
	}
	if s.engine {
		uncached := max(float64(s.call.PromptTokens)-cached, 0)
		t.expected += time.Duration((wait + uncached/prefillTokensPerSecond) * float64(time.Second))
	}
	return t
}

// record adds to the counts of the attempt's side.
func (t *attemptTrial) record(add func(*rollout.Side)) {
	e := &t.g.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.sum.Observe(t.key, rollout.Source{Place: t.g.Place, Daemon: t.g.Daemon, Start: t.g.start}, t.route)
	if t.fresh {
		add(&counts.New)
	} else {
		add(&counts.Old)
	}
}

// answered records a complete answer that is no stream.
func (t *attemptTrial) answered(now time.Time, failed bool) {
	if t == nil {
		return
	}
	t.record(func(s *rollout.Side) {
		s.Answers++
		if failed {
			s.Failed++
		} else {
			s.First.Add(now.Sub(t.sentAt), t.expected)
		}
	})
}

// arrived records that events of a stream have arrived.
func (t *attemptTrial) arrived(now time.Time, count int) {
	if t == nil {
		return
	}
	t.events += count
	switch later := t.events - t.firstEvents; {
	case t.firstAt.IsZero():
		t.firstAt, t.firstEvents = now, t.events
		t.record(func(s *rollout.Side) { s.First.Add(now.Sub(t.sentAt), t.expected) })
	case !t.paced && later >= pacedEvents:
		t.paced = true
		t.record(func(s *rollout.Side) { s.Pace.Add(now.Sub(t.firstAt)/time.Duration(later), expectedGap) })
	}
}

// streamed records a complete stream.
func (t *attemptTrial) streamed() {
	if t != nil {
		t.record(func(s *rollout.Side) { s.Answers++ })
	}
}

// abandoned records that an attempt ended without an answer. Which side broke the connection is not known, so
// that this is no failure of the server, but its time shows that it was slow.
func (t *attemptTrial) abandoned(now time.Time) {
	if t != nil && t.firstAt.IsZero() && now.Sub(t.sentAt) >= lateFirst {
		t.record(func(s *rollout.Side) { s.First.Add(now.Sub(t.sentAt), t.expected) })
	}
}
