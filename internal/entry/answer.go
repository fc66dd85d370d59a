package entry

import (
	"context"
	"sync"
	"time"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/stream"
	"apricotbridge/pkg/problem"
)

// resumeKept is how long a finished answer can be resumed.
const resumeKept = 60 * time.Second

// answer is the response of one model request. Attempts at backend servers fill
// it one after another, and readers follow it from any event on.
type answer struct {
	id           string
	organisation string
	chat         bool
	model        string
	created      time.Time
	// priority and maxTokens order and bound the hand-over of a drain; a durable
	// answer is the ledger's, which runs it again elsewhere.
	priority  int
	maxTokens int
	durable   bool
	// streamed says that the caller asked for a stream.
	streamed bool
	// leave is closed when the request has to move to another daemon.
	leave     chan struct{}
	leaveOnce sync.Once
	// cancel ends the request when nobody has read its answer for unreadFor.
	cancel context.CancelFunc

	mu     sync.Mutex
	buffer *stream.Buffer
	// finish and usage come with the last event.
	finish string
	usage  *engine.Usage
	// recomputed counts prompt and response tokens that later attempts computed
	// again.
	recomputed int
	problem    *problem.Problem
	// moved is the address of the daemon that continues the answer.
	moved string
	// owner is the daemon that runs a suspect, whose answer is passed on from there.
	owner   string
	changed chan struct{}
	forget  *time.Timer
	readers int
	unread  *time.Timer
}

// unreadFor is how long a request goes on without a reader. It gives a caller that
// was cut off the time to resume at another entry.
const unreadFor = 20 * time.Second

// attach notes a reader; the returned function ends it.
func (a *answer) attach() (detach func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.unread != nil {
		a.unread.Stop()
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		a.watchReaders()
	}
}

// watchReaders ends the request after a while unless a reader comes. The lock is
// held. A durable answer needs no reader.
func (a *answer) watchReaders() {
	if state, _ := a.buffer.State(); a.readers == 0 && !a.durable && state == stream.Open {
		a.unread = time.AfterFunc(unreadFor, a.cancel)
	}
}

func (d *Daemon) newAnswer(call *modelCall) *answer {
	return &answer{
		id: call.id, organisation: call.organisation, model: call.model, chat: call.chat, created: call.received,
		priority: call.priority, maxTokens: call.maxTokens, durable: call.durable, streamed: call.stream,
		leave: make(chan struct{}), buffer: &stream.Buffer{}, changed: make(chan struct{}),
	}
}

// begin starts an attempt and returns its number and the texts generated so far.
func (a *answer) begin() (attempt int, prior []string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last, _ := a.buffer.Attempt()
	_, ok = a.buffer.Begin(last + 1)
	return last + 1, a.buffer.Generated(), ok
}

// append adds a token of an attempt. A token that the buffer does not take ends
// the attempt.
func (a *answer) append(attempt int, t engine.Token) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcome := a.buffer.Append(attempt, int64(t.Number), t.Text)
	switch outcome {
	case stream.Accepted:
	case stream.Repeated:
		return nil
	case stream.Full:
		return errAnswerTooLong
	default:
		return engine.ErrBroken
	}
	if t.Finish != "" {
		a.finish = t.Finish
		if t.Usage != nil {
			usage := *t.Usage // Readers hold it without the lock, so it never changes.
			usage.RecomputedTokens = a.recomputed
			a.usage = &usage
		}
	}
	a.wake()
	return nil
}

// complete reports whether all tokens are there: the engine named the last one, or
// there are as many as were asked for. Another attempt would have nothing to
// generate, whatever happened to the end of the stream.
func (a *answer) complete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finish != "" || a.maxTokens > 0 && a.buffer.Last() >= int64(a.maxTokens)
}

// end completes the answer when the attempt delivered it whole.
func (a *answer) end(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == "" && a.maxTokens > 0 && a.buffer.Last() >= int64(a.maxTokens) {
		a.finish = "length"
	}
	if a.finish == "" || a.buffer.End(attempt, a.buffer.Last()) != stream.Accepted {
		a.buffer.Fail(attempt)
		return false
	}
	a.wake()
	return true
}

// fail ends an attempt without completing the answer.
func (a *answer) fail(attempt int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.Fail(attempt)
}

// recompute counts tokens that an attempt computes again.
func (a *answer) recompute(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recomputed += tokens
}

// abandon ends the answer with a problem. An answer that is whole stays so.
func (a *answer) abandon(p *problem.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state, _ := a.buffer.State(); state == stream.Whole {
		return
	}
	a.buffer.Abandon(string(p.Kind))
	a.problem = p
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// reading is what a reader gets.
type reading struct {
	events []stream.Event
	// whole is set when the last event is among the events or was read before.
	whole   bool
	problem *problem.Problem
	moved   string
	owner   string
	changed <-chan struct{}
}

// read returns the events after the given sequence.
func (a *answer) read(after int64) reading {
	a.mu.Lock()
	defer a.mu.Unlock()
	events, err := a.buffer.Read(after, 0)
	if err != nil {
		return reading{problem: problem.New(problem.BadRequest, "%v", err)}
	}
	state, _ := a.buffer.State()
	return reading{events: events, whole: state == stream.Whole, problem: a.problem, moved: a.moved, owner: a.owner, changed: a.changed}
}

// last returns what the last event of a whole answer carries.
func (a *answer) last() (sequence int64, finish string, usage *engine.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == "" {
		return -1, "", nil
	}
	return a.buffer.Last(), a.finish, a.usage
}

// generated returns how many tokens there are.
func (a *answer) generated() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.buffer.Last())
}

// answers holds the answers that can be resumed and waits for the goroutines
// that produce them.
type answers struct {
	mu      sync.Mutex
	byID    map[string]*answer
	closed  bool
	running sync.WaitGroup
}

func (s *answers) init() { s.byID = map[string]*answer{} }

// find returns the answer of an organisation's request, or nil.
func (s *answers) find(id, organisation string) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.byID[id]; a != nil && a.organisation == organisation {
		return a
	}
	return nil
}

// put registers an answer.
func (s *answers) put(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[a.id] = a
}

// finished forgets an answer some time later.
func (s *answers) finished(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		a.forget = time.AfterFunc(resumeKept, func() { s.remove(a) })
	}
}

// start registers an answer and runs its producer.
func (s *answers) start(ctx context.Context, a *answer, produce func(ctx context.Context) *problem.Problem) {
	s.put(a)
	ctx, a.cancel = context.WithCancel(ctx)
	a.mu.Lock()
	a.watchReaders()
	a.mu.Unlock()
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer a.cancel()
		if p := produce(ctx); p != nil {
			a.abandon(p)
		}
		s.finished(a)
	}()
}

func (s *answers) remove(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[a.id] == a {
		delete(s.byID, a.id)
	}
}

// close waits for the producers and stops the timers.
func (s *answers) close() {
	s.running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, a := range s.byID {
		if a.forget != nil {
			a.forget.Stop()
		}
	}
}
