package gateway

import (
	"net/http"
	"time"

	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
)

// Call holds what the gateway reads from the headers of a caller's request.
type Call struct {
	// ID identifies the request. A caller that retries sends a new ID.
	ID string
	// Key is the credential of the caller.
	Key string
	// Timeout is how long the caller waits; 0 means not stated.
	Timeout time.Duration
	// PromptTokens is the length of the prompt and MaxTokens the limit of the response; 0
	// means not stated.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the response; 0
	// means not stated.
	ExpectedTokens int
	// Parts divide the prompt at the ends of prefixes that other prompts may share.
	Parts []routing.Part
	// SharedParts identifies the parts that other prompts may share, each by itself.
	SharedParts []quarantine.Fingerprint
	// LastEventID is the id of the last event that the caller received of an earlier
	// stream; empty means none.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of that stream; empty means not
	// stated.
	Resumes string
}

// Tokens returns the size of the request in tokens; 0 means not stated.
func (c *Call) Tokens() int { return c.PromptTokens + c.MaxTokens }

// ForwardInfo holds what the gateway adds to the headers of a request to a backend server.
type ForwardInfo struct {
	// Server is the id of the server to which the request is sent.
	Server string
	// Organisation is the customer to which the caller belongs; empty for public
	// routes.
	Organisation string
	// Remaining is the time that remains for the answer.
	Remaining time.Duration
	// Rank is the priority of the request at an engine; 0 is the most urgent.
	Rank int
	// Engine means that the server is an engine, which schedules by rank.
	Engine bool
	// LastEventID is the id of the last event that the caller received; empty means none.
	LastEventID string
}

// Protocol translates between the gateway and the headers of a platform. The platform's
// adapter implements it.
type Protocol interface {
	// Decode reads the headers of a caller's request.
	Decode(h http.Header) (Call, error)
	// Encode returns the headers for a backend server.
	Encode(h http.Header, info ForwardInfo) http.Header
	// Response returns the headers for the caller.
	Response(h http.Header) http.Header
}

// defaultOutputTokens is the assumed length of a response if the caller states none.
const defaultOutputTokens = 128

// expectedOutputTokens returns the estimated length of the response in tokens.
func (c *Call) expectedOutputTokens() int {
	switch {
	case c.ExpectedTokens > 0 && (c.MaxTokens == 0 || c.ExpectedTokens < c.MaxTokens):
		return c.ExpectedTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultOutputTokens
}
