package routing

import (
	"fmt"
	"time"
)

// ResumeWay is how a stream continues after its server is lost or leaving.
type ResumeWay string

// Ways to continue a stream.
const (
	// ResumeEngine continues at the same engine, which still holds the stream.
	ResumeEngine ResumeWay = "EngineResume"
	// ResumeImport moves the KV cache to another server.
	ResumeImport ResumeWay = "CacheImport"
	// ResumeRecompute sends the prompt and the generated text to another server.
	ResumeRecompute ResumeWay = "Recompute"
)

// ResumeInput describes a stream to continue.
type ResumeInput struct {
	Rank string
	// Tokens is the length of the prompt and the text generated so far.
	Tokens int
	// CachedTokens is the part of Tokens expected in the target's cache.
	CachedTokens float64
	// BytesPerToken is the measured size of the exported KV cache per token.
	BytesPerToken float64
	// ImportSeconds is the measured fixed time of an export and an import.
	ImportSeconds float64
	// EngineAlive is true while the old engine still answers and keeps the stream.
	EngineAlive bool
	// EngineResumeSeconds is the measured time to resume at the old engine.
	EngineResumeSeconds float64
	// Left is the time until the old engine is reclaimed; 0 means no notice.
	Left time.Duration
	// RemainingSeconds is the estimated time until the stream ends.
	RemainingSeconds float64
	// LocalBytesPerSecond is the bandwidth between servers of one region.
	LocalBytesPerSecond float64
	// From and Target are the old and the new server.
	From, Target Server
}

// ResumeDecision says how a stream continues. Reason is never empty, and names the
// costs compared. A decision to send KV cache over the link between regions states
// the bytes and their price in it.
type ResumeDecision struct {
	Way ResumeWay
	// Score is in seconds, with money converted as in Decision.
	Score float64
	// RecomputedTokens is what the target has to compute again.
	RecomputedTokens int
	// LinkBytes is what is sent over the link between regions.
	LinkBytes int64
	Reason    string
}

// linkImportAdvantage is how many times cheaper than recomputation an import over
// the link between regions has to be. The link is shared by all traffic, so that
// its measured bandwidth may be gone by the time the transfer runs.
const linkImportAdvantage = 4

// ResumeCost decides how a stream continues, by the lowest cost.
func (r *Router) ResumeCost(in ResumeInput, t *Table) ResumeDecision {
	worth := r.secondsPerPrice(in.Rank)
	link, remote := t.Link(in.From.Region, in.Target.Region)
	uncached := max(float64(in.Tokens)-in.CachedTokens, 0)
	recompute := ResumeDecision{Way: ResumeRecompute, RecomputedTokens: int(uncached)}
	recompute.Score = prefillSeconds(in.Target.PrefillTokensPerSecond, uncached)
	recompute.Score += worth * in.Target.PricePerHour / 3600 * recompute.Score
	if remote {
		text := float64(in.Tokens) * BytesPerToken
		recompute.LinkBytes = int64(text)
		recompute.Score += linkSeconds(link, text, worth)
	}
	best := recompute
	best.Reason = fmt.Sprintf("recompute %d tokens: %.3f", best.RecomputedTokens, best.Score)

	if in.EngineAlive && (in.Left == 0 || in.RemainingSeconds+in.EngineResumeSeconds < in.Left.Seconds()) &&
		in.EngineResumeSeconds <= best.Score {
		best = ResumeDecision{Way: ResumeEngine, Score: in.EngineResumeSeconds}
		best.Reason = fmt.Sprintf("engine resume %.3f, not recompute %.3f", best.Score, recompute.Score)
	}
	if !in.EngineAlive || in.BytesPerToken <= 0 {
		return best
	}
	bytes := uncached * in.BytesPerToken
	move := ResumeDecision{Way: ResumeImport}
	seconds := in.ImportSeconds
	switch {
	case remote && link.BytesPerSecond > 0:
		move.LinkBytes = int64(bytes)
		seconds += link.Delay.Seconds() + bytes/link.BytesPerSecond
	case !remote && in.LocalBytesPerSecond > 0:
		seconds += bytes / in.LocalBytesPerSecond
	default:
		best.Reason += "; no import: bandwidth unknown"
		return best
	}
	move.Score = seconds
	if remote {
		move.Score += worth * bytes / 1e9 * link.PricePerGigabyte
	}
	switch {
	case in.Left > 0 && seconds > in.Left.Seconds():
		best.Reason += fmt.Sprintf("; no import: %.3f s exceed the notice of %s", seconds, in.Left)
	case move.Score >= best.Score:
		best.Reason += fmt.Sprintf("; import %.3f costs more", move.Score)
	case remote && move.Score*linkImportAdvantage > best.Score:
		best.Reason += fmt.Sprintf("; import over the link %.3f is not %d times cheaper", move.Score, linkImportAdvantage)
	case remote:
		move.Reason = fmt.Sprintf("import over the link %s-%s: %d bytes, price %.4f, cost %.3f, instead of %s",
			in.From.Region, in.Target.Region, move.LinkBytes, bytes/1e9*link.PricePerGigabyte, move.Score, best.Reason)
		return move
	default:
		move.Reason = fmt.Sprintf("import %.3f, instead of %s", move.Score, best.Reason)
		return move
	}
	return best
}

func linkSeconds(link Link, bytes, worth float64) float64 {
	seconds := link.Delay.Seconds() + worth*bytes/1e9*link.PricePerGigabyte
	if link.BytesPerSecond > 0 {
		seconds += bytes / link.BytesPerSecond
	}
	return seconds
}
