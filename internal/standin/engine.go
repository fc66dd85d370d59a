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

// PoisonMark in a prompt crashes an engine with Crash set.
const PoisonMark = "\x00crash\x00"

// TokenText returns the text of token n, counted from 1, of the response to a
// prompt. It is the same on every engine, so that a reader can detect text that
// is missing or belongs to another request.
func TokenText(prompt string, n int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%d", prompt, n))
	return fmt.Sprintf("w%05x ", h&0xfffff)
}

// CountTokens returns the number of tokens in a text, as the stand-in counts
// them.
func CountTokens(text string) int { return len(text)/4 + 1 }

// Engine is a stand-in for a model engine: continuous batching over slots, a
// prompt prefix cache, priorities, resuming and cancelling streams, and delayed
// load reports. Set the exported fields before the first request.
type Engine struct {
	// Slots is the number of streams that run concurrently.
	Slots int
	// TokenTime is the time between the tokens of a stream with all slots in use.
	TokenTime time.Duration
	// PrefillTime is the prefill time of one prompt token that is not cached.
	PrefillTime time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
	// DropEvents drops every nth cache event; 0 means none.
	DropEvents int
	// ChecksFencing makes the engine refuse commands with an old fencing number.
	ChecksFencing bool
	// Crash is called for a prompt with PoisonMark; nil means that such prompts are
	// harmless.
	Crash func()
	// Leaving returns the Leaving flag of load reports; nil means false.
	Leaving func() bool

	mu              sync.Mutex
	running         int
	waiting         []*engineStream
	streamByID      map[string]*engineStream
	cacheLastUse    map[uint64]int64
	useCounter      int64
	eventLog        []engine.CacheEvent
	lastEventNumber int64
	loadHistory     []engine.Load
	fence           int64
	command         engine.Command
	importedStreams map[string]bool
	served          engine.Usage
}

// engineStream is one request. Its tokens are kept for streamRetention after it
// ends, so that readers can resume.
type engineStream struct {
	id          string
	prompt      string
	maxTokens   int
	priorTokens int
	priority    int
	blocks      []uint64
	started     chan struct{}
	cancel      context.CancelFunc

	mu      sync.Mutex
	tokens  []engine.Token
	done    bool
	changed chan struct{}
}

// blockTokens is the size in tokens of a block of the prefix cache.
const blockTokens = 16

// streamRetention is how long a stream that has ended can be resumed.
const streamRetention = 30 * time.Second

// completionBody has the fields of a request that the stand-in uses.
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

// prompt returns the text that determines the completion.
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

// TokenCounts returns the token counts of all requests so far.
func (e *Engine) TokenCounts() engine.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// ImportedCaches returns the number of imported KV caches.
func (e *Engine) ImportedCaches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.importedStreams)
}

// Running returns the number of streams that hold a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// begin queues a request. The stream runs until it is finished or cancelled,
// even without a reader, so that a disconnected reader can resume.
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
		id: id, prompt: b.prompt(), maxTokens: b.MaxTokens, priorTokens: len(b.PriorTokens), priority: b.Priority,
		blocks: b.PromptBlocks, started: make(chan struct{}), cancel: cancel, changed: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streamByID == nil {
		e.streamByID = map[string]*engineStream{}
		e.cacheLastUse = map[uint64]int64{}
	}
	if old, ok := e.streamByID[id]; ok {
		old.cancel()
	}
	e.streamByID[id] = s
	e.waiting = append(e.waiting, s)
	e.recordLoad()
	e.admit()
	go e.run(ctx, s)
	return s, nil
}

// admit starts waiting streams while slots are free, those with the lowest
// priority number before others.
func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority < e.waiting[j].priority })
	for e.running < e.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		close(s.started)
	}
}

func (e *Engine) run(ctx context.Context, s *engineStream) {
	defer s.finish()
	select {
	case <-s.started:
	case <-ctx.Done():
		e.removeUnstarted(s)
		return
	}
	defer e.release(s)
	prefill, usage := e.prefill(s)
	if !sleep(ctx, prefill) {
		return
	}
	for n := s.priorTokens + 1; n <= s.maxTokens; n++ {
		if n > s.priorTokens+1 && !sleep(ctx, e.tokenTime()) {
			return
		}
		t := engine.Token{Number: n, Text: TokenText(s.prompt, n)}
		if n == s.maxTokens {
			usage.CompletionTokens = s.maxTokens
			t.Finish, t.Usage = "length", &usage
		}
		s.append(t)
	}
}

// tokenTime returns the time between tokens. It decreases with free slots, to
// about two thirds of TokenTime for a single stream.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(e.running) / float64(e.Slots)
	return time.Duration(float64(e.TokenTime) * (2 + share) / 3)
}

// prefill adds the prompt to the cache and returns the prefill time of its
// uncached tokens.
func (e *Engine) prefill(s *engineStream) (time.Duration, engine.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := CountTokens(s.prompt)
	usage := engine.Usage{PromptTokens: tokens, RecomputedTokens: s.priorTokens}
	for _, block := range s.blocks {
		if _, ok := e.cacheLastUse[block]; !ok {
			break
		}
		usage.CachedTokens += blockTokens
	}
	usage.CachedTokens = min(usage.CachedTokens, tokens)
	if e.importedStreams[s.id] {
		usage.CachedTokens, usage.RecomputedTokens = tokens, 0
	}
	for _, block := range s.blocks {
		e.useCounter++
		if _, ok := e.cacheLastUse[block]; !ok {
			e.recordCacheEvent(block, false)
		}
		e.cacheLastUse[block] = e.useCounter
	}
	e.evict()
	e.served.PromptTokens += tokens
	e.served.CachedTokens += usage.CachedTokens
	e.served.RecomputedTokens += usage.RecomputedTokens
	return time.Duration(tokens-usage.CachedTokens+usage.RecomputedTokens) * e.PrefillTime, usage
}

func (e *Engine) evict() {
	for len(e.cacheLastUse)*blockTokens > e.CacheTokens && len(e.cacheLastUse) > 0 {
		var oldest uint64
		last := int64(-1)
		for block, used := range e.cacheLastUse {
			if last < 0 || used < last {
				oldest, last = block, used
			}
		}
		delete(e.cacheLastUse, oldest)
		e.recordCacheEvent(oldest, true)
	}
}

func (e *Engine) recordCacheEvent(block uint64, evicted bool) {
	const keptEvents = 4096
	e.lastEventNumber++
	if e.DropEvents > 0 && e.lastEventNumber%int64(e.DropEvents) == 0 {
		return
	}
	e.eventLog = append(e.eventLog, engine.CacheEvent{Number: e.lastEventNumber, Block: block, Evicted: evicted, At: time.Now()})
	if len(e.eventLog) > keptEvents {
		e.eventLog = e.eventLog[len(e.eventLog)-keptEvents:]
	}
}

func (e *Engine) release(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.served.CompletionTokens += len(s.tokensAfter(0))
	e.recordLoad()
	e.admit()
	time.AfterFunc(streamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streamByID[s.id] == s {
			delete(e.streamByID, s.id)
		}
	})
}

func (e *Engine) removeUnstarted(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	select {
	case <-s.started: // The stream started after it was cancelled, before the lock was taken.
		e.running--
		e.admit()
	default:
	}
}

// recordLoad appends the current load to the history, from which load reports
// are delayed.
func (e *Engine) recordLoad() {
	const keptLoads = 1024
	e.loadHistory = append(e.loadHistory, e.currentLoad())
	if len(e.loadHistory) > keptLoads {
		e.loadHistory = e.loadHistory[len(e.loadHistory)-keptLoads:]
	}
}

func (e *Engine) currentLoad() engine.Load {
	return engine.Load{
		Running: e.running, Waiting: len(e.waiting), Slots: e.Slots,
		CacheTokens: len(e.cacheLastUse) * blockTokens, AsOf: time.Now(),
	}
}

// laggedLoad returns the load as it was ReportLag ago. Only the Leaving flag is
// current.
func (e *Engine) laggedLoad() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := engine.Load{Slots: e.Slots, AsOf: time.Now().Add(-e.ReportLag)}
	for i := len(e.loadHistory) - 1; i >= 0; i-- {
		if !e.loadHistory[i].AsOf.After(l.AsOf) {
			l = e.loadHistory[i]
			l.AsOf = time.Now().Add(-e.ReportLag)
			break
		}
	}
	l.Leaving = e.Leaving != nil && e.Leaving()
	return l
}

func (e *Engine) findStream(id string) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streamByID[id]
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

// tokensAfter returns the tokens after the given number.
func (s *engineStream) tokensAfter(after int) []engine.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := max(0, after-s.priorTokens)
	return s.tokens[min(i, len(s.tokens)):]
}

func (s *engineStream) status() (done bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done, s.changed
}

// sleep waits for d and reports whether the context is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
