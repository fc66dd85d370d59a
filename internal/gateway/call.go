package gateway

import (
	"net/http"
	"time"

	"apricotbridge/internal/routing"
)

// Call is what the headers of a caller's request say.
type Call struct {
	// ID names the request. Each attempt of a caller has its own.
	ID string
	// Key is the credential of the caller.
	Key string
	// Deadline is how long the caller waits; 0 means not stated.
	Deadline time.Duration
	// PromptTokens and MaxTokens are the length of the prompt and the limit of the
	// response; 0 means not stated.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the response; 0
	// means not stated.
	ExpectedTokens int
	// Parts are the named parts of the prompt.
	Parts []routing.Part
	// LastEvent is the id of the last event that the caller has of an earlier
	// stream; empty means that it has none.
	LastEvent string
}

// Tokens is the size of the request in tokens; 0 means not stated.
func (c *Call) Tokens() int { return c.PromptTokens + c.MaxTokens }

// Sending is what the gateway adds when it sends a request to a backend server.
type Sending struct {
	// Server is the id of the server that is meant.
	Server string
	// Organisation is the customer to which the caller belongs; empty for public
	// routes.
	Organisation string
	// Left is how long the answer is waited for.
	Left time.Duration
	// Rank orders requests at an engine; 0 is the most urgent.
	Rank int
	// Model says that the server is an engine, which knows ranks.
	Model bool
	// LastEvent is the id of the last event that the caller has; empty means none.
	LastEvent string
}

// Protocol translates headers. The adapter of a platform implements it.
type Protocol interface {
	// Decode reads the headers of a caller's request.
	Decode(h http.Header) (Call, error)
	// Encode returns the headers for a backend server.
	Encode(h http.Header, s Sending) http.Header
	// Response returns the headers for the caller.
	Response(h http.Header) http.Header
}

// defaultOutput is the expected length of a response whose length is not stated.
const defaultOutput = 128

// expected returns the estimated length of the response in tokens.
func (c *Call) expected() int {
	switch {
	case c.ExpectedTokens > 0 && (c.MaxTokens == 0 || c.ExpectedTokens < c.MaxTokens):
		return c.ExpectedTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultOutput
}
