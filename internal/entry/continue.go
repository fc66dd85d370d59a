package entry

import (
	"context"
	"sync"
	"time"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/routing"
)

// previousAttempt is an earlier attempt that did not finish.
type previousAttempt struct {
	server   routing.Server
	streamID string
	// streamAlive is set while the engine still answers and keeps the stream.
	streamAlive bool
	cancelled   bool
}

// transferCosts keeps moving averages of the cost of KV cache transfers between
// engines.
type transferCosts struct {
	mu            sync.Mutex
	bytesPerToken float64
	seconds       float64
}

// Estimates used before the first transfer, and the weight of each new measurement.
const (
	initialBytesPerToken   = 128 << 10
	initialTransferSeconds = 0.05
	transferSmoothing      = 0.2
	// localBytesPerSecond is a tenth of a 10 Gbit/s link, because a server shares its
	// link.
	localBytesPerSecond = 125e6
)

func (t *transferCosts) estimate() (bytesPerToken, seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytesPerToken == 0 {
		return initialBytesPerToken, initialTransferSeconds
	}
	return t.bytesPerToken, t.seconds
}

func (t *transferCosts) record(bytes, tokens int, took time.Duration) {
	bytesPerToken, seconds := t.estimate()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytesPerToken = bytesPerToken + transferSmoothing*(float64(bytes)/float64(max(1, tokens))-bytesPerToken)
	t.seconds = seconds + transferSmoothing*(took.Seconds()-seconds)
}

// prepareContinuation prepares an attempt that continues the tokens of one at another
// server. It imports the KV cache where that is cheaper than recomputing it.
func (d *Daemon) prepareContinuation(ctx context.Context, call *modelCall, a *answer, w *dispatch.Work, target routing.Server, streamID string) {
	previous := call.previous
	tokens := w.Request.PromptTokens + a.generatedTokens()
	if previous == nil || a.generatedTokens() == 0 {
		return
	}
	bytesPerToken, seconds := d.transfers.estimate()
	in := routing.ResumeInput{
		Rank: call.rank, Tokens: tokens, BytesPerToken: bytesPerToken, ImportSeconds: seconds,
		// A stopped stream can't be resumed at its engine; an hour rules that out.
		EngineResumeSeconds: time.Hour.Seconds(),
		EngineAlive:         previous.streamAlive && previous.server.ID != target.ID,
		TimeToReclaim:       d.serverTimeLeft(previous.server), LocalBytesPerSecond: localBytesPerSecond,
		From: previous.server, Target: target,
	}
	decision := d.dispatcher.DecideResume(in)
	d.Log.Info("continuation decision", "RequestID", call.id, "From", previous.server.ID, "Server", target.ID, "Way", string(decision.Method),
		"Tokens", tokens, "RecomputedTokens", decision.RecomputedTokens, "LinkBytes", decision.LinkBytes, "Reason", decision.Reason)
	if decision.Method == routing.ResumeImport && d.transferCache(ctx, call, previous, target, streamID, tokens) {
		return
	}
	a.addRecomputed(tokens)
}

// transferCache exports the KV cache of the previous attempt and imports it at the
// target. It reports whether both succeeded.
func (d *Daemon) transferCache(ctx context.Context, call *modelCall, previous *previousAttempt, target routing.Server, streamID string, tokens int) bool {
	start := time.Now()
	cache, err := d.Engine.Export(ctx, previous.server.Address, previous.streamID)
	if err == nil {
		err = d.Engine.Import(ctx, target.Address, streamID, cache)
	}
	if err != nil {
		d.Log.Info("KV cache transfer failed; recomputing", "RequestID", call.id, "Error", err.Error())
		return false
	}
	d.transfers.record(len(cache), tokens, time.Since(start))
	return true
}

// serverTimeLeft returns the time until a leaving server ends; 0 means unknown.
func (d *Daemon) serverTimeLeft(s routing.Server) time.Duration {
	if end, ok := d.view.Load().serverDeadlines[s.ID]; ok {
		return max(time.Millisecond, time.Until(end))
	}
	return 0
}

// cancelPreviousStream cancels the previous attempt at its engine, which would
// otherwise keep generating for a resume.
func (d *Daemon) cancelPreviousStream(call *modelCall) {
	previous := call.previous
	if previous == nil || previous.cancelled {
		return
	}
	previous.cancelled = true
	d.answers.running.Add(1)
	go func() {
		defer d.answers.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		_ = d.Engine.Cancel(ctx, previous.server.Address, previous.streamID) // On failure the engine is down and the stream with it.
	}()
}
