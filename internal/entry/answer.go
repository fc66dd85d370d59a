package entry

import (
	"context"
	"sync"
	"time"

	"apricotbridge/internal/engine"
	"apricotbridge/pkg/problem"
)

// resumeKept is how long a finished or unread answer can be resumed.
const resumeKept = 60 * time.Second

// answer is the response of one model request. One goroutine appends tokens and
// readers follow from any token on.
type answer struct {
	id           string
	organisation string
	chat         bool
	model        string
	created      time.Time

	mu      sync.Mutex
	tokens  []engine.Token
	done    bool
	problem *problem.Problem
	changed chan struct{}
}

func newAnswer(id, organisation, model string, chat bool, now time.Time) *answer {
	return &answer{id: id, organisation: organisation, model: model, chat: chat, created: now, changed: make(chan struct{})}
}

func (a *answer) append(t engine.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = append(a.tokens, t)
	a.wake()
}

// end closes the answer; a problem says that it is not whole.
func (a *answer) end(p *problem.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.problem = true, p
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// read returns the tokens after the given number, and a channel that is closed
// with the next change.
func (a *answer) read(after int) (tokens []engine.Token, done bool, p *problem.Problem, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens[min(after, len(a.tokens)):], a.done, a.problem, a.changed
}

// generated returns the texts of the tokens so far.
func (a *answer) generated() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	texts := make([]string, len(a.tokens))
	for i, t := range a.tokens {
		texts[i] = t.Text
	}
	return texts
}

// answers holds the answers that can be resumed and waits for their goroutines.
type answers struct {
	mu      sync.Mutex
	byID    map[string]*answer
	running sync.WaitGroup
}

func (s *answers) init() { s.byID = map[string]*answer{} }

func (s *answers) find(id string) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// start registers an answer and runs its producer. The answer is forgotten some
// time after the producer has ended.
func (s *answers) start(ctx context.Context, a *answer, produce func(ctx context.Context) *problem.Problem) {
	s.mu.Lock()
	s.byID[a.id] = a
	s.mu.Unlock()
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		a.end(produce(ctx))
		time.AfterFunc(resumeKept, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.byID, a.id)
		})
	}()
}

func (s *answers) wait() { s.running.Wait() }
