package routing

import (
	"fmt"
	"time"
)

// Call is one request that needs a server.
type Call struct {
	RequestID string
	Service   string
	Rank      string
	Model     string
	Adapter   string
	// Session groups the turns of one conversation. Without an id from the caller, it may
	// be a hash of the messages up to the user's first one.
	Session string
	// Place and Region locate the daemon that serves the caller.
	Place  string
	Region string
	// Blocks is the result of PromptBlocks.
	Blocks []uint64
	// Parts are the named parts of the prompt in order, for a caller that names them
	// instead of sending text to hash; Blocks is then empty.
	Parts []Part
	// PromptTokens is the length of the prompt; 0 means that it follows from Blocks.
	PromptTokens int
	// ExpectedTokens is the estimated length of the response.
	ExpectedTokens int
	// Excluded lists servers that this request already tried.
	Excluded []string
	// Version, if not nil, is the software version that the server must have.
	Version *string
	// AvoidVersion, if not nil, is the software version that the server must not have.
	AvoidVersion *string
	// RequiresRecord excludes servers whose version is not recorded: another daemon could not conclude from the
	// records at which version the call ran.
	RequiresRecord bool
	// Alone requires a server without other requests, for a suspected request in quarantine.
	Alone bool
	// Plain marks a call to a service without prompts.
	Plain bool
}

// Part is a part of a prompt that other prompts may have in common with it.
type Part struct {
	// Prefix identifies this part together with all parts before it.
	Prefix uint64
	// Tokens is the length of the prompt up to the end of this part.
	Tokens int
}

// accepts reports whether a server has a version that the call may use.
func (c *Call) accepts(s *Server) bool {
	return (c.Version == nil || *c.Version == s.Version) && (c.AvoidVersion == nil || *c.AvoidVersion != s.Version) &&
		(!c.RequiresRecord || s.VersionRecorded)
}

func (c *Call) promptTokens() float64 {
	if c.PromptTokens > 0 {
		return float64(c.PromptTokens)
	}
	return float64(TokensInBlocks(len(c.Blocks)))
}

// Terms are the parts of a score, in seconds. Prices are converted by the delay that the
// call's rank accepts to save one unit of currency.
type Terms struct {
	// Wait is the expected wait for a slot and for prompts queued at the server.
	Wait float64
	// Prefill is the time to compute the prompt tokens that are not expected in the cache.
	Prefill float64
	// Latency is the network round trip to the server.
	Latency float64
	// Price is the price of the server's time for this call.
	Price float64
	// Link is the price and the transfer time of the link between regions.
	Link float64
	// Health is the penalty for recent failures and slow responses.
	Health float64
}

func (t Terms) sum() float64 {
	return t.Wait + t.Prefill + t.Latency + t.Price + t.Link + t.Health
}

// Rejected counts servers that were not eligible, by cause.
type Rejected struct {
	NotAccepting int
	Suspect      int
	Excluded     int
	// OtherVersion counts servers that don't have the required version.
	OtherVersion int
	Unhealthy    int
	// Paused counts servers that asked for a pause.
	Paused int
	// Limited counts servers that have got all calls that their rate allows this daemon.
	Limited int
	// Reserved counts servers that run a call with Alone.
	Reserved int
	// Busy counts servers that run requests and were rejected for a call with Alone.
	Busy int
}

// Reasons of a decision.
const (
	ReasonCache        = "prompt prefix expected in cache"
	ReasonHome         = "preferred by prefix hash"
	ReasonScore        = "lowest score"
	ReasonOutstanding  = "least outstanding requests"
	ReasonAlone        = "empty server for a suspected request"
	ReasonAllFull      = "every eligible server is full"
	ReasonAllUnhealthy = "every eligible server is unhealthy"
	ReasonNoService    = "service has no servers"
	ReasonNoneEligible = "no server is eligible"
	ReasonNoneEmpty    = "no server is empty"
	ReasonPart         = "prompt parts known in cache"
)

// Decision is the outcome of Choose. Server is empty when no server is eligible.
type Decision struct {
	Server string
	// Score is the sum of the terms; the server with the lowest score is chosen.
	Score float64
	Terms Terms
	// Considered counts the servers that were scored.
	Considered int
	Reason     string
	// CachedTokens is the expected number of prompt tokens in the server's cache.
	CachedTokens float64
	// Busyness is how busy the servers of the call's region are with reading prompts, from 0 to 1.
	Busyness float64
	// Rejected is complete only when every server was examined, as is always the case
	// when Server is empty.
	Rejected Rejected
}

// String formats the decision for a log line.
func (d Decision) String() string {
	if d.Server == "" {
		return fmt.Sprintf("no server: %s (not accepting %d, of another version %d, suspect %d, already tried %d, unhealthy %d, reserved %d, busy %d)",
			d.Reason, d.Rejected.NotAccepting, d.Rejected.OtherVersion, d.Rejected.Suspect, d.Rejected.Excluded,
			d.Rejected.Unhealthy, d.Rejected.Reserved, d.Rejected.Busy)
	}
	return fmt.Sprintf("%s: %s, score %.4f (wait %.4f, prefill %.4f, latency %.4f, price %.4f, link %.4f, health %.4f), %d considered",
		d.Server, d.Reason, d.Score, d.Terms.Wait, d.Terms.Prefill, d.Terms.Latency, d.Terms.Price,
		d.Terms.Link, d.Terms.Health, d.Considered)
}

// Load is a server's own report of its load.
type Load struct {
	Running int
	Waiting int
}

// Answer describes a finished response.
type Answer struct {
	// CachedTokens is the number of prompt tokens that the engine took from its cache.
	CachedTokens int
	// CacheUnknown is set when the engine does not report CachedTokens.
	CacheUnknown bool
	// Load is the server's load when it sent the response; nil means not reported.
	Load *Load
}

// CacheEventKind is a kind of change in a server's cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "Stored"
	CacheEvicted CacheEventKind = "Evicted"
	CacheCleared CacheEventKind = "Cleared"
)

// CacheEvent is a hint about a server's cache. Events arrive late and some are lost.
type CacheEvent struct {
	Server      string
	Incarnation int64
	Kind        CacheEventKind
	// Blocks are hashes from PromptBlocks; unused for CacheCleared.
	Blocks []uint64
	// At is the time of the change.
	At time.Time
}
