package entry

import (
	"context"
	"sync"
	"time"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/stream"
	"apricotbridge/pkg/problem"
)

// resumeWindow is how long callers can resume a finished answer.
const resumeWindow = 60 * time.Second

// answer is the response of one model request. Successive attempts at backend servers
// append tokens; readers follow it from any event.
type answer struct {
	id           string
	organisation string
	chat         bool
	model        string
	created      time.Time
	// priority orders the hand-overs of a drain, and maxTokens estimates the time
	// left. A durable answer is not handed over, because the ledger runs it again
	// elsewhere.
	priority  int
	maxTokens int
	durable   bool
	// streaming is set when the caller asked for a stream.
	streaming bool
	// handOverRequested holds a value when the request has to move to another daemon.
	handOverRequested chan struct{}
	// cancel ends the request when nobody has read its answer for unreadTimeout.
	cancel context.CancelFunc

	mu     sync.Mutex
	buffer *stream.Buffer
	// finish is the finish reason. The last event sets it and usage.
	finish string
	usage  *engine.Usage
	// recomputedTokens counts prompt and response tokens that later attempts
	// recomputed.
	recomputedTokens int
	problem          *problem.Problem
	// movedTo is the caller address of the daemon that continues the answer.
	movedTo string
	// nextHandOver is the earliest time of the next hand-over.
	nextHandOver time.Time
	// quarantineOwner is the id of the daemon that runs a suspect request in
	// quarantine; the answer is relayed from there.
	quarantineOwner string
	changed         chan struct{}
	expiryTimer     *time.Timer
	readers         int
	unreadTimer     *time.Timer
}

// unreadTimeout is how long a request runs without a reader. It gives a disconnected
// caller time to resume at another entry.
const unreadTimeout = 20 * time.Second

// addReader registers a reader and returns the function that removes it.
func (a *answer) addReader() (remove func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.unreadTimer != nil {
		a.unreadTimer.Stop()
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		a.startUnreadTimer()
	}
}

// startUnreadTimer cancels the request after unreadTimeout unless a reader arrives.
// Durable answers need no reader. a.mu must be held.
func (a *answer) startUnreadTimer() {
	if state, _ := a.buffer.State(); a.readers == 0 && !a.durable && state == stream.Open {
		a.unreadTimer = time.AfterFunc(unreadTimeout, a.cancel)
	}
}

func (d *Daemon) newAnswer(call *modelCall) *answer {
	return &answer{
		id: call.id, organisation: call.organisation, model: call.model, chat: call.chat, created: call.received,
		priority: call.priority, maxTokens: call.maxTokens, durable: call.durable, streaming: call.streaming,
		handOverRequested: make(chan struct{}, 1), buffer: &stream.Buffer{}, changed: make(chan struct{}),
	}
}

// beginAttempt starts an attempt and returns its number and the texts generated so
// far.
func (a *answer) beginAttempt() (attempt int, prior []string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last, _ := a.buffer.Attempt()
	_, ok = a.buffer.Begin(last + 1)
	return last + 1, a.buffer.Generated(), ok
}

// appendToken adds a token of an attempt. The attempt ends when the buffer rejects
// the token.
func (a *answer) appendToken(attempt int, t engine.Token) error {
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
			usage := *t.Usage // A copy, because readers use it without the lock.
			usage.RecomputedTokens = a.recomputedTokens
			a.usage = &usage
		}
	}
	a.notifyReaders()
	return nil
}

// hasAllTokens reports whether the answer needs no further attempt: the engine marked
// its last token, or maxTokens tokens were generated. It can be true although the
// stream broke before its end.
func (a *answer) hasAllTokens() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finish != "" || a.maxTokens > 0 && a.buffer.Last() >= int64(a.maxTokens)
}

// completeAttempt completes the answer if it has all its tokens, and otherwise fails
// the attempt.
func (a *answer) completeAttempt(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == "" && a.maxTokens > 0 && a.buffer.Last() >= int64(a.maxTokens) {
		a.finish = "length"
	}
	if a.finish == "" || a.buffer.End(attempt, a.buffer.Last()) != stream.Accepted {
		a.buffer.Fail(attempt)
		return false
	}
	a.notifyReaders()
	return true
}

// failAttempt ends an attempt without completing the answer.
func (a *answer) failAttempt(attempt int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.Fail(attempt)
}

// addRecomputed counts tokens that an attempt recomputes.
func (a *answer) addRecomputed(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recomputedTokens += tokens
}

// abandon ends the answer with a problem, unless it is already complete.
func (a *answer) abandon(p *problem.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state, _ := a.buffer.State(); state == stream.Whole {
		return
	}
	a.buffer.Abandon(string(p.Kind))
	a.problem = p
	a.notifyReaders()
}

func (a *answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// readResult is a snapshot of an answer for a reader.
type readResult struct {
	events []stream.Event
	// complete is set when events reaches the last event, or the reader already had
	// it.
	complete        bool
	problem         *problem.Problem
	movedTo         string
	quarantineOwner string
	changed         <-chan struct{}
}

// read returns the events after the given sequence number.
func (a *answer) read(after int64) readResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	events, err := a.buffer.Read(after, 0)
	if err != nil {
		return readResult{problem: problem.New(problem.BadRequest, "%v", err)}
	}
	state, _ := a.buffer.State()
	return readResult{events: events, complete: state == stream.Whole, problem: a.problem, movedTo: a.movedTo, quarantineOwner: a.quarantineOwner, changed: a.changed}
}

// lastEvent returns the sequence, finish reason and usage of the last event, and
// sequence -1 while the last token is missing.
func (a *answer) lastEvent() (sequence int64, finish string, usage *engine.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == "" {
		return -1, "", nil
	}
	return a.buffer.Last(), a.finish, a.usage
}

// generatedTokens returns the number of tokens generated so far.
func (a *answer) generatedTokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.buffer.Last())
}

// answers indexes the answers that can be resumed and tracks the goroutines that
// produce them.
type answers struct {
	mu      sync.Mutex
	byID    map[string]*answer
	closed  bool
	running sync.WaitGroup
}

func (s *answers) init() { s.byID = map[string]*answer{} }

// find returns the answer to a request of an organisation, or nil.
func (s *answers) find(id, organisation string) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.byID[id]; a != nil && a.organisation == organisation {
		return a
	}
	return nil
}

// add registers an answer.
func (s *answers) add(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[a.id] = a
}

// removeLater removes a finished answer after resumeWindow.
func (s *answers) removeLater(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		a.expiryTimer = time.AfterFunc(resumeWindow, func() { s.remove(a) })
	}
}

// start registers an answer and runs its producer.
func (s *answers) start(ctx context.Context, a *answer, produce func(ctx context.Context) *problem.Problem) {
	s.add(a)
	ctx, a.cancel = context.WithCancel(ctx)
	a.mu.Lock()
	a.startUnreadTimer()
	a.mu.Unlock()
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer a.cancel()
		if p := produce(ctx); p != nil {
			a.abandon(p)
		}
		s.removeLater(a)
	}()
}

func (s *answers) remove(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[a.id] == a {
		delete(s.byID, a.id)
	}
}

// close waits for the producers and stops the expiry timers.
func (s *answers) close() {
	s.running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, a := range s.byID {
		if a.expiryTimer != nil {
			a.expiryTimer.Stop()
		}
	}
}
