package bench

import (
	"container/heap"
	"slices"
	"time"
)

// EngineModel describes a model engine with continuous batching. In one step
// it generates one token for each decoding sequence and computes at most one
// chunk of prompt tokens. The model has no memory bandwidth or context length
// term, so a step takes the same time for short and long sequences.
type EngineModel struct {
	Slots int
	// StepBase is the time of a step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is added for each decoding sequence.
	StepPerSequence time.Duration
	// PrefillTokensPerSecond is the rate of prompt computation in a step.
	PrefillTokensPerSecond float64
	// ChunkTokens bounds the prompt tokens in one step, and with them the time
	// that a long prompt adds between the tokens of the others.
	ChunkTokens int
}

// usualEngine keeps every step under 29 ms: 10 ms + 8 * 0.6 ms + 256/20000 s is
// 27.6 ms.
var usualEngine = EngineModel{
	Slots: 8, StepBase: 10 * time.Millisecond, StepPerSequence: 600 * time.Microsecond,
	PrefillTokensPerSecond: 20_000, ChunkTokens: 256,
}

// Sequence is one request in a batch. Times are since the start of the run.
type Sequence struct {
	ID string
	// Prompt is the number of tokens to compute before the first token.
	Prompt int
	// Output is the number of tokens to generate.
	Output int

	Computed   int
	Generated  int
	Started    time.Duration
	FirstToken time.Duration
	LastToken  time.Duration
}

// BetweenTokens is the mean time between the tokens.
func (s *Sequence) BetweenTokens() time.Duration {
	if s.Generated < 2 {
		return 0
	}
	return (s.LastToken - s.FirstToken) / time.Duration(s.Generated-1)
}

// Engine is one engine of the model.
type Engine struct {
	Model EngineModel
	batch []*Sequence
	// ends is the end of the step in progress; stepping says that there is one.
	stepping bool
	chunk    int
	prefill  *Sequence
	members  []*Sequence // sequences that the step in progress decodes
}

// Free returns the number of unused slots.
func (e *Engine) Free() int { return e.Model.Slots - len(e.batch) }

// Add puts a sequence into the batch; it joins with the next step.
func (e *Engine) Add(now time.Duration, s *Sequence) {
	s.Started = now
	e.batch = append(e.batch, s)
}

// Remove takes a sequence out of the batch before its end.
func (e *Engine) Remove(s *Sequence) {
	keep := func(list []*Sequence) []*Sequence {
		return slices.DeleteFunc(list, func(o *Sequence) bool { return o == s })
	}
	e.batch, e.members = keep(e.batch), keep(e.members)
	if e.prefill == s {
		e.prefill = nil
	}
}

// Begin starts a step and returns how long it takes. It reports false when a
// step is in progress or the batch is empty.
func (e *Engine) Begin() (time.Duration, bool) {
	if e.stepping || len(e.batch) == 0 {
		return 0, false
	}
	e.stepping, e.chunk, e.prefill, e.members = true, 0, nil, e.members[:0]
	for _, s := range e.batch {
		switch {
		case s.Computed >= s.Prompt:
			e.members = append(e.members, s)
		case e.prefill == nil:
			e.prefill, e.chunk = s, min(e.Model.ChunkTokens, s.Prompt-s.Computed)
		}
	}
	took := e.Model.StepBase + time.Duration(len(e.members))*e.Model.StepPerSequence
	return took + time.Duration(float64(e.chunk)/e.Model.PrefillTokensPerSecond*float64(time.Second)), true
}

// End ends the step in progress and appends the finished sequences to buf.
func (e *Engine) End(now time.Duration, buf []*Sequence) []*Sequence {
	e.stepping = false
	if s := e.prefill; s != nil {
		s.Computed += e.chunk
		if s.Computed >= s.Prompt { // The last chunk yields the first token.
			e.members = append(e.members, s)
		}
	}
	for _, s := range e.members {
		s.Generated++
		s.LastToken = now
		if s.Generated == 1 {
			s.FirstToken = now
		}
		if s.Generated >= s.Output {
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
	count  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// at adds an event; events of the same time run in the order of their addition.
func (t *timeline) at(when time.Duration, run func()) {
	t.count++
	heap.Push(&t.events, event{at: when, order: t.count, run: run})
}

// until runs the events up to the given time. After each instant it calls idle
// with the time until the next event.
func (t *timeline) until(end time.Duration, idle func(span time.Duration)) {
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
	return h[i].order < h[j].order
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
