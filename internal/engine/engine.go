// Package engine is the client of a model engine: completions as a stream of
// tokens, resume and cancel of streams, load reports, cache events, export and
// import of KV cache, and commands that load a model or change the role. It
// never retries; that is up to its user.
package engine

import (
	"time"

	"github.com/juju/errors"
)

// Errors of a Client.
const (
	// ErrNotStarted reports that the engine did not start the request, so that it
	// can be sent again.
	ErrNotStarted = errors.ConstError("engine did not take the request")
	// ErrBroken reports a stream that ended before its last token, or a request that
	// may have run.
	ErrBroken = errors.ConstError("stream of the engine broke off")
	// ErrRejected reports an invalid request.
	ErrRejected = errors.ConstError("engine rejected the request")
	// ErrFenced reports a command with an old fencing number.
	ErrFenced = errors.ConstError("fencing number is too old")
	// ErrNoStream reports an unknown stream id.
	ErrNoStream = errors.ConstError("engine does not know the stream")
)

// Token is one event of a stream.
type Token struct {
	// Number counts from 1 over all attempts of an answer. A continuation starts
	// after the tokens in Request.PriorTexts.
	Number int
	Text   string
	// Finish is the finish reason of the last token, for example "stop" or "length".
	Finish string
	// Usage is set in the last token.
	Usage *Usage
}

// Usage counts the tokens that a request processed.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// RecomputedTokens were computed again after an earlier attempt had computed them.
	RecomputedTokens int `json:"recomputed_tokens,omitempty"`
}

// Load is a load report as of an earlier time, AsOf.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	// Slots is the number of requests that can run at the same time.
	Slots int `json:"Slots"`
	// CacheTokens is the number of tokens in the prefix cache.
	CacheTokens int       `json:"CacheTokens"`
	Leaving     bool      `json:"Leaving"`
	AsOf        time.Time `json:"AsOf"`
}

// CacheEvent reports that a prompt block was added to or evicted from the prefix
// cache. Events arrive late, and some are missing.
type CacheEvent struct {
	Number int64 `json:"Number"`
	// Block is the hash of the block and all blocks before it.
	Block   uint64    `json:"Block"`
	Evicted bool      `json:"Evicted,omitempty"`
	At      time.Time `json:"At"`
}

// Command sets the desired state of an engine. It is idempotent.
type Command struct {
	// Fence is the fencing number of the sender. An engine may refuse a lower one
	// than it has seen.
	Fence   int64  `json:"Fence"`
	Model   string `json:"Model,omitempty"`
	Adapter string `json:"Adapter,omitempty"`
	Version string `json:"Version,omitempty"`
	Role    string `json:"Role,omitempty"`
}

// Request is a completion request.
type Request struct {
	// StreamID is the id of the stream for resume and cancel.
	StreamID string
	// Body is the caller's OpenAI-compatible body, unchanged.
	Body []byte
	// Chat selects /v1/chat/completions.
	Chat bool
	// Priority is the engine's priority; a lower number runs first.
	Priority int
	// PriorTexts holds the texts of the tokens that earlier attempts generated.
	PriorTexts []string
	// Blocks is the hash chain over the blocks of the prompt.
	Blocks []uint64
	// OnStart, if set, is called with the engine's load at the start of the stream.
	OnStart func(Load)
}
