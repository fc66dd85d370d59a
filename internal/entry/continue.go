package entry

import (
	"context"
	"sync"
	"time"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/routing"
)

// previousAttempt is an attempt that did not finish.
type previousAttempt struct {
	server routing.Server
	stream string
	// alive says that its engine still answers and keeps the stream.
	alive     bool
	cancelled bool
}

// transfers holds what exports and imports of KV cache have cost so far.
type transfers struct {
	mu            sync.Mutex
	bytesPerToken float64
	seconds       float64
}

// Estimates before the first transfer, and the weight of each later one.
const (
	firstBytesPerToken = 128 << 10
	firstSeconds       = 0.05
	transferWeight     = 0.2
	// localBytesPerSecond is a tenth of a 10 Gbit/s link, which a server shares.
	localBytesPerSecond = 125e6
)

func (t *transfers) estimate() (bytesPerToken, seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytesPerToken == 0 {
		return firstBytesPerToken, firstSeconds
	}
	return t.bytesPerToken, t.seconds
}

func (t *transfers) learn(bytes, tokens int, took time.Duration) {
	per, seconds := t.estimate()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytesPerToken = per + transferWeight*(float64(bytes)/float64(max(1, tokens))-per)
	t.seconds = seconds + transferWeight*(took.Seconds()-seconds)
}

// continueFrom prepares an attempt that goes on after one at another server: by
// import of its KV cache where that is cheaper, and otherwise by recomputation.
func (d *Daemon) continueFrom(ctx context.Context, call *modelCall, a *answer, w *dispatch.Work, target routing.Server, stream string) {
	before := call.previous
	tokens := w.Request.PromptTokens + a.generated()
	if before == nil || a.generated() == 0 {
		return
	}
	per, seconds := d.transfers.estimate()
	in := routing.ResumeInput{
		Rank: call.rank, Tokens: tokens, BytesPerToken: per, ImportSeconds: seconds,
		// A stream that was stopped does not go on at its engine.
		EngineResumeSeconds: time.Hour.Seconds(),
		EngineAlive:         before.alive && before.server.ID != target.ID,
		Left:                d.left(before.server), LocalBytesPerSecond: localBytesPerSecond,
		From: before.server, Target: target,
	}
	decision := d.dispatcher.Continue(in)
	d.Log.Info("continuation decision", "RequestID", call.id, "From", before.server.ID, "Server", target.ID, "Way", string(decision.Way),
		"Tokens", tokens, "RecomputedTokens", decision.RecomputedTokens, "LinkBytes", decision.LinkBytes, "Reason", decision.Reason)
	if decision.Way == routing.ResumeImport && d.moveCache(ctx, call, before, target, stream, tokens) {
		return
	}
	a.recompute(tokens)
}

// moveCache exports the KV cache of an attempt and imports it for the next one.
func (d *Daemon) moveCache(ctx context.Context, call *modelCall, before *previousAttempt, target routing.Server, stream string, tokens int) bool {
	began := time.Now()
	cache, err := d.Engine.Export(ctx, before.server.Address, before.stream)
	if err == nil {
		err = d.Engine.Import(ctx, target.Address, stream, cache)
	}
	if err != nil {
		d.Log.Info("KV cache not moved; it is recomputed", "RequestID", call.id, "Error", err.Error())
		return false
	}
	d.transfers.learn(len(cache), tokens, time.Since(began))
	return true
}

// left returns the time until a leaving server ends; 0 means unknown.
func (d *Daemon) left(s routing.Server) time.Duration {
	if end, ok := d.view.Load().ends[s.ID]; ok {
		return max(time.Millisecond, time.Until(end))
	}
	return 0
}

// cancelPrevious ends the last attempt at its engine, which would run on for a
// resume.
func (d *Daemon) cancelPrevious(call *modelCall) {
	before := call.previous
	if before == nil || before.cancelled {
		return
	}
	before.cancelled = true
	d.answers.running.Add(1)
	go func() {
		defer d.answers.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		_ = d.Engine.Cancel(ctx, before.server.Address, before.stream) // An engine that is gone has ended it.
	}()
}
