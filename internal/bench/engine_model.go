package bench

import (
	"container/heap"
	"slices"
	"time"
)

// BatchEngineConfig has the parameters of a model engine with continuous batching. In one
// step it generates one token for each decoding sequence and computes at most one chunk of
// prompt tokens. Memory bandwidth and context length are not modelled, so a step takes the
// same time for short and long sequences.
type BatchEngineConfig struct {
	Slots int
	// StepBase is the time of a step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is added for each decoding sequence.
	StepPerSequence time.Duration
	// PrefillTokensPerSecond is the rate of prompt computation in a step.
	PrefillTokensPerSecond float64
	// ChunkTokens bounds the prompt tokens in one step, and with them the time that a long
	// prompt adds between the tokens of other sequences.
	ChunkTokens int
}

// usualEngineConfig keeps every step under 29 ms: 10 ms + 8 * 0.6 ms + 256/20000 s is
// 27.6 ms.
var usualEngineConfig = BatchEngineConfig{
	Slots: 8, StepBase: 10 * time.Millisecond, StepPerSequence: 600 * time.Microsecond,
	PrefillTokensPerSecond: 20_000, ChunkTokens: 256,
}

// Sequence is one request in a batch. Times are since the start of the run.
type Sequence struct {
	ID string
	// PromptTokens is the number of tokens to compute before the first token.
	PromptTokens int
	// OutputTokens is the number of tokens to generate.
	OutputTokens int

	ComputedTokens  int
	GeneratedTokens int
	Started         time.Duration
	FirstToken      time.Duration
	LastToken       time.Duration
}

// BetweenTokens is the mean time between the tokens.
func (s *Sequence) BetweenTokens() time.Duration {
	if s.GeneratedTokens < 2 {
		return 0
	}
	return (s.LastToken - s.FirstToken) / time.Duration(s.GeneratedTokens-1)
}

// BatchEngine is a model engine with its batch.
type BatchEngine struct {
	Config BatchEngineConfig
	batch  []*Sequence
	// stepping is set while a step is in progress.
	stepping         bool
	stepPromptTokens int
	prefilling       *Sequence
	decoding         []*Sequence // sequences that the step in progress decodes
}

// Free returns the number of unused slots.
func (e *BatchEngine) Free() int { return e.Config.Slots - len(e.batch) }

// Add adds a sequence to the batch, which joins at the next step.
func (e *BatchEngine) Add(now time.Duration, s *Sequence) {
	s.Started = now
	e.batch = append(e.batch, s)
}

// Remove removes an unfinished sequence from the batch.
func (e *BatchEngine) Remove(s *Sequence) {
	without := func(list []*Sequence) []*Sequence {
		return slices.DeleteFunc(list, func(o *Sequence) bool { return o == s })
	}
	e.batch, e.decoding = without(e.batch), without(e.decoding)
	if e.prefilling == s {
		e.prefilling = nil
	}
}

// Begin starts a step and returns how long it takes. It reports false when a
// step is in progress or the batch is empty.
func (e *BatchEngine) Begin() (time.Duration, bool) {
	if e.stepping || len(e.batch) == 0 {
		return 0, false
	}
	e.stepping, e.stepPromptTokens, e.prefilling, e.decoding = true, 0, nil, e.decoding[:0]
	for _, s := range e.batch {
		switch {
		case s.ComputedTokens >= s.PromptTokens:
			e.decoding = append(e.decoding, s)
		case e.prefilling == nil:
			e.prefilling, e.stepPromptTokens = s, min(e.Config.ChunkTokens, s.PromptTokens-s.ComputedTokens)
		}
	}
	duration := e.Config.StepBase + time.Duration(len(e.decoding))*e.Config.StepPerSequence
	return duration + time.Duration(float64(e.stepPromptTokens)/e.Config.PrefillTokensPerSecond*float64(time.Second)), true
}

// End ends the step in progress and appends the finished sequences to buf.
func (e *BatchEngine) End(now time.Duration, buf []*Sequence) []*Sequence {
	e.stepping = false
	if s := e.prefilling; s != nil {
		s.ComputedTokens += e.stepPromptTokens
		if s.ComputedTokens >= s.PromptTokens { // The last chunk yields the first token.
			e.decoding = append(e.decoding, s)
		}
	}
	for _, s := range e.decoding {
		s.GeneratedTokens++
		s.LastToken = now
		if s.GeneratedTokens == 1 {
			s.FirstToken = now
		}
		if s.GeneratedTokens >= s.OutputTokens {
			buf = append(buf, s)
		}
	}
	for _, s := range buf {
		e.Remove(s)
	}
	return buf
}

// timeline runs events in the order of their simulated time.
type timeline struct {
	now    time.Duration
	events eventHeap
	added  int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// schedule adds an event; events of the same time run in the order of their addition.
func (t *timeline) schedule(when time.Duration, run func()) {
	t.added++
	heap.Push(&t.events, event{at: when, seq: t.added, run: run})
}

// runUntil runs the events up to the given time. After the events of each instant it calls
// idle with the time until the next event.
func (t *timeline) runUntil(end time.Duration, idle func(span time.Duration)) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
		if idle != nil && len(t.events) > 0 && t.events[0].at > t.now {
			idle(min(t.events[0].at, end) - t.now)
		}
	}
	t.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
