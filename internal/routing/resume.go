package routing

import (
	"fmt"
	"time"
)

// ResumeMethod is how a stream continues after its server is lost or leaving.
type ResumeMethod string

// Methods to continue a stream.
const (
	// ResumeEngine continues at the same engine, which still holds the stream.
	ResumeEngine ResumeMethod = "EngineResume"
	// ResumeImport moves the KV cache to another server.
	ResumeImport ResumeMethod = "CacheImport"
	// ResumeRecompute sends the prompt and the generated text to another server.
	ResumeRecompute ResumeMethod = "Recompute"
)

// ResumeInput describes a stream to continue.
type ResumeInput struct {
	Rank string
	// Tokens is the length of the prompt and the text generated so far.
	Tokens int
	// CachedTokens is the number of Tokens expected in the target's cache.
	CachedTokens float64
	// BytesPerToken is the measured size of the exported KV cache per token.
	BytesPerToken float64
	// ImportSeconds is the measured fixed time of an export and an import.
	ImportSeconds float64
	// EngineAlive is set while the old engine still answers and keeps the stream.
	EngineAlive bool
	// EngineResumeSeconds is the measured time to resume at the old engine.
	EngineResumeSeconds float64
	// TimeToReclaim is the time until the old engine is reclaimed; 0 means no notice of a reclaim.
	TimeToReclaim time.Duration
	// RemainingSeconds is the estimated time until the stream ends.
	RemainingSeconds float64
	// LocalBytesPerSecond is the bandwidth between servers of one region.
	LocalBytesPerSecond float64
	// From and Target are the old and the new server.
	From, Target Server
}

// ResumeDecision describes how a stream continues. Reason is never empty and lists the
// compared costs, and for KV cache sent over the link between regions also the bytes and
// their price.
type ResumeDecision struct {
	Method ResumeMethod
	// Score is the cost in seconds, with prices converted as in Terms.
	Score float64
	// RecomputedTokens is the number of tokens that the target has to compute again.
	RecomputedTokens int
	// LinkBytes is the number of bytes sent over the link between regions.
	LinkBytes int64
	Reason    string
}

// linkImportAdvantage is how many times cheaper than recomputation an import over
// the link between regions has to be. All traffic shares the link, so its measured
// bandwidth may no longer be free when the transfer runs.
const linkImportAdvantage = 4

// DecideResume chooses the method with the lowest cost to continue a stream.
func (r *Router) DecideResume(in ResumeInput, t *Table) ResumeDecision {
	secondsPerPrice := r.secondsPerPrice(in.Rank)
	link, remote := t.Link(in.From.Region, in.Target.Region)
	uncached := max(float64(in.Tokens)-in.CachedTokens, 0)
	recompute := ResumeDecision{Method: ResumeRecompute, RecomputedTokens: int(uncached)}
	recompute.Score = prefillSeconds(in.Target.PrefillTokensPerSecond, uncached)
	recompute.Score += secondsPerPrice * in.Target.PricePerHour / 3600 * recompute.Score
	if remote {
		text := float64(in.Tokens) * BytesPerToken
		recompute.LinkBytes = int64(text)
		recompute.Score += linkSeconds(link, text, secondsPerPrice)
	}
	best := recompute
	best.Reason = fmt.Sprintf("recompute %d tokens: %.3f", best.RecomputedTokens, best.Score)

	if in.EngineAlive && (in.TimeToReclaim == 0 || in.RemainingSeconds+in.EngineResumeSeconds < in.TimeToReclaim.Seconds()) &&
		in.EngineResumeSeconds <= best.Score {
		best = ResumeDecision{Method: ResumeEngine, Score: in.EngineResumeSeconds}
		best.Reason = fmt.Sprintf("engine resume %.3f, not recompute %.3f", best.Score, recompute.Score)
	}
	if !in.EngineAlive || in.BytesPerToken <= 0 {
		return best
	}
	bytes := uncached * in.BytesPerToken
	importCache := ResumeDecision{Method: ResumeImport}
	seconds := in.ImportSeconds
	switch {
	case remote && link.BytesPerSecond > 0:
		importCache.LinkBytes = int64(bytes)
		seconds += link.Delay.Seconds() + bytes/link.BytesPerSecond
	case !remote && in.LocalBytesPerSecond > 0:
		seconds += bytes / in.LocalBytesPerSecond
	default:
		best.Reason += "; no import: bandwidth unknown"
		return best
	}
	importCache.Score = seconds
	if remote {
		importCache.Score += secondsPerPrice * bytes / 1e9 * link.PricePerGigabyte
	}
	switch {
	case in.TimeToReclaim > 0 && seconds > in.TimeToReclaim.Seconds():
		best.Reason += fmt.Sprintf("; no import: %.3f s exceed the notice of %s", seconds, in.TimeToReclaim)
	case importCache.Score >= best.Score:
		best.Reason += fmt.Sprintf("; import %.3f costs more", importCache.Score)
	case remote && importCache.Score*linkImportAdvantage > best.Score:
		best.Reason += fmt.Sprintf("; import over the link %.3f is not %d times cheaper", importCache.Score, linkImportAdvantage)
	case remote:
		importCache.Reason = fmt.Sprintf("import over the link %s-%s: %d bytes, price %.4f, cost %.3f, instead of %s",
			in.From.Region, in.Target.Region, importCache.LinkBytes, bytes/1e9*link.PricePerGigabyte, importCache.Score, best.Reason)
		return importCache
	default:
		importCache.Reason = fmt.Sprintf("import %.3f, instead of %s", importCache.Score, best.Reason)
		return importCache
	}
	return best
}

func linkSeconds(link Link, bytes, secondsPerPrice float64) float64 {
	seconds := link.Delay.Seconds() + secondsPerPrice*bytes/1e9*link.PricePerGigabyte
	if link.BytesPerSecond > 0 {
		seconds += bytes / link.BytesPerSecond
	}
	return seconds
}
