package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/engine"
)

// PoisonMark in a prompt crashes an engine with Poisonable set.
const PoisonMark = "\x00crash\x00"

// Completion returns the text of token n, counted from 1, for a prompt. It is
// the same at every engine, so that a reader can tell whether an answer is
// whole and its own.
func Completion(prompt string, n int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%d", prompt, n))
	return fmt.Sprintf("w%05x ", h&0xfffff)
}

// PromptTokens returns the stand-in's count of tokens in a text.
func PromptTokens(text string) int { return len(text)/4 + 1 }

// Engine is a stand-in of a model engine: continuous batching over slots, a
// prompt prefix cache, priorities, resume and cancel of streams, and lagging
// load reports. Set the exported fields before the first request.
type Engine struct {
	// Slots is how many streams run at a time.
	Slots int
	// TokenTime is the time between tokens with all slots in use.
	TokenTime time.Duration
	// PrefillTime is the time for one prompt token that is not cached.
	PrefillTime time.Duration
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
	// DropEvents drops each nth cache event; 0 means none.
	DropEvents int
	// ChecksFencing makes the engine refuse commands with an old fencing number.
	ChecksFencing bool
	// Crash is called for a poisonous prompt; nil means such prompts are harmless.
	Crash func()
	// Leaving is what load reports say.
	Leaving func() bool

	mu       sync.Mutex
	running  int
	waiting  []*engineStream
	streams  map[string]*engineStream
	cache    map[uint64]int64
	used     int64
	events   []engine.CacheEvent
	eventNo  int64
	loads    []engine.Load
	fence    int64
	command  engine.Command
	imported map[string]bool
	served   engine.Usage
}

// engineStream is one request. Its tokens are kept for resume until it is
// forgotten.
type engineStream struct {
	id       string
	prompt   string
	limit    int
	prior    int
	priority int
	blocks   []uint64
	start    chan struct{}
	cancel   context.CancelFunc

	mu      sync.Mutex
	tokens  []engine.Token
	done    bool
	changed chan struct{}
}

// blockTokens is the size of a block of the prefix cache.
const blockTokens = 16

// streamKept is how long a finished stream can be resumed.
const streamKept = 30 * time.Second

// body is the part of a request that the stand-in reads.
type completionBody struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens    int      `json:"max_tokens"`
	Priority     int      `json:"priority"`
	PriorTokens  []string `json:"prior_tokens"`
	PromptBlocks []uint64 `json:"prompt_blocks"`
}

// prompt returns the text that the completion depends on.
func (b completionBody) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

// Served returns the tokens that the engine has computed so far.
func (e *Engine) Served() engine.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// Imports returns how many KV caches the engine has taken.
func (e *Engine) Imports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.imported)
}

// Running returns how many streams hold a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// begin admits a request. The stream runs on its own until it is finished or
// cancelled, so that a reader that was cut off can resume.
func (e *Engine) begin(id string, raw []byte) (*engineStream, error) {
	var b completionBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, err
	}
	if b.MaxTokens <= 0 {
		b.MaxTokens = 16
	}
	if strings.Contains(b.prompt(), PoisonMark) && e.Crash != nil {
		e.Crash()
		return nil, engine.ErrBroken
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &engineStream{
		id: id, prompt: b.prompt(), limit: b.MaxTokens, prior: len(b.PriorTokens), priority: b.Priority,
		blocks: b.PromptBlocks, start: make(chan struct{}), cancel: cancel, changed: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams == nil {
		e.streams = map[string]*engineStream{}
		e.cache = map[uint64]int64{}
	}
	if old, ok := e.streams[id]; ok {
		old.cancel()
	}
	e.streams[id] = s
	e.waiting = append(e.waiting, s)
	e.report()
	e.admit()
	go e.run(ctx, s)
	return s, nil
}

// admit starts waiting streams, the lowest priority number first.
func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority < e.waiting[j].priority })
	for e.running < e.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		close(s.start)
	}
}

func (e *Engine) run(ctx context.Context, s *engineStream) {
	defer s.finish()
	select {
	case <-s.start:
	case <-ctx.Done():
		e.drop(s)
		return
	}
	defer e.release(s)
	prefill, usage := e.prefill(s)
	if !pause(ctx, prefill) {
		return
	}
	for n := s.prior + 1; n <= s.limit; n++ {
		if n > s.prior+1 && !pause(ctx, e.tokenTime()) {
			return
		}
		t := engine.Token{Number: n, Text: Completion(s.prompt, n)}
		if n == s.limit {
			usage.CompletionTokens = s.limit
			t.Finish, t.Usage = "length", &usage
		}
		s.append(t)
	}
}

// tokenTime falls with a less than full batch, to two thirds for a single stream.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(e.running) / float64(e.Slots)
	return time.Duration(float64(e.TokenTime) * (2 + share) / 3)
}

// prefill enters the prompt into the cache and returns the time for the tokens
// that were not in it.
func (e *Engine) prefill(s *engineStream) (time.Duration, engine.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := PromptTokens(s.prompt)
	usage := engine.Usage{PromptTokens: tokens, RecomputedTokens: s.prior}
	for _, block := range s.blocks {
		if _, ok := e.cache[block]; !ok {
			break
		}
		usage.CachedTokens += blockTokens
	}
	usage.CachedTokens = min(usage.CachedTokens, tokens)
	if e.imported[s.id] {
		usage.CachedTokens, usage.RecomputedTokens = tokens, 0
	}
	for _, block := range s.blocks {
		e.used++
		if _, ok := e.cache[block]; !ok {
			e.event(block, false)
		}
		e.cache[block] = e.used
	}
	e.evict()
	e.served.PromptTokens += tokens
	e.served.CachedTokens += usage.CachedTokens
	e.served.RecomputedTokens += usage.RecomputedTokens
	return time.Duration(tokens-usage.CachedTokens+usage.RecomputedTokens) * e.PrefillTime, usage
}

func (e *Engine) evict() {
	for len(e.cache)*blockTokens > e.CacheTokens && len(e.cache) > 0 {
		var oldest uint64
		last := int64(-1)
		for block, used := range e.cache {
			if last < 0 || used < last {
				oldest, last = block, used
			}
		}
		delete(e.cache, oldest)
		e.event(oldest, true)
	}
}

func (e *Engine) event(block uint64, evicted bool) {
	const keptEvents = 4096
	e.eventNo++
	if e.DropEvents > 0 && e.eventNo%int64(e.DropEvents) == 0 {
		return
	}
	e.events = append(e.events, engine.CacheEvent{Number: e.eventNo, Block: block, Evicted: evicted, At: time.Now()})
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents:]
	}
}

func (e *Engine) release(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.served.CompletionTokens += len(s.read(0))
	e.report()
	e.admit()
	time.AfterFunc(streamKept, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s {
			delete(e.streams, s.id)
		}
	})
}

func (e *Engine) drop(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	select {
	case <-s.start: // Started between the cancel and the lock.
		e.running--
		e.admit()
	default:
	}
}

// report records the present load for reports that lag.
func (e *Engine) report() {
	const keptLoads = 1024
	e.loads = append(e.loads, e.loadNow())
	if len(e.loads) > keptLoads {
		e.loads = e.loads[len(e.loads)-keptLoads:]
	}
}

func (e *Engine) loadNow() engine.Load {
	return engine.Load{
		Running: e.running, Waiting: len(e.waiting), Slots: e.Slots,
		CacheTokens: len(e.cache) * blockTokens, AsOf: time.Now(),
	}
}

// load returns the report as it stood ReportLag ago. The word that the engine
// leaves does not lag.
func (e *Engine) load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := engine.Load{Slots: e.Slots, AsOf: time.Now().Add(-e.ReportLag)}
	for i := len(e.loads) - 1; i >= 0; i-- {
		if !e.loads[i].AsOf.After(l.AsOf) {
			l = e.loads[i]
			l.AsOf = time.Now().Add(-e.ReportLag)
			break
		}
	}
	l.Leaving = e.Leaving != nil && e.Leaving()
	return l
}

func (e *Engine) find(id string) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (s *engineStream) append(t engine.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, t)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *engineStream) finish() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the tokens after the given number.
func (s *engineStream) read(after int) []engine.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := max(0, after-s.prior)
	return s.tokens[min(i, len(s.tokens)):]
}

func (s *engineStream) state() (done bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done, s.changed
}

// pause reports whether the time passed before the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
