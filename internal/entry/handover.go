package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/stream"
	"apricotbridge/pkg/problem"
)

const (
	// handoverMargin is reserved before the deadline of a drain for the hand-over
	// itself and for callers to resume elsewhere.
	handoverMargin = 2 * time.Second
	// maxHandoverTargets bounds the daemons that are tried for one request.
	maxHandoverTargets = 3
	handoverTimeout    = time.Second
	handoverPeriod     = 100 * time.Millisecond
	// handoverRetryDelay is the time between two hand-overs of a request. Each one
	// interrupts the running attempt.
	handoverRetryDelay = 500 * time.Millisecond
)

// errDaemonLeaving is the cancellation cause of an attempt whose request is handed
// over.
const errDaemonLeaving = errors.ConstError("daemon is leaving")

// handOverRequests requests the hand-over of all requests that will not finish before
// the deadline, the most urgent first, until the context is cancelled.
func (d *Daemon) handOverRequests(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil {
		now := time.Now()
		unfinished := d.answers.notDoneWithin(now, deadline.Sub(now)-handoverMargin)
		slices.SortFunc(unfinished, func(a, b *answer) int { return cmp.Compare(a.priority, b.priority) })
		for _, a := range unfinished {
			if len(d.handoverTargets(a.id)) > 0 {
				a.requestHandOver(now)
			}
		}
		sleep(ctx, handoverPeriod)
	}
}

// requestHandOver asks for the hand-over of the request, unless the last one was
// within handoverRetryDelay.
func (a *answer) requestHandOver(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.nextHandOver) {
		return
	}
	a.nextHandOver = now.Add(handoverRetryDelay)
	select {
	case a.handOverRequested <- struct{}{}:
	default: // The last request has not been followed yet.
	}
}

// postponeHandOver allows the next hand-over after handoverRetryDelay.
func (a *answer) postponeHandOver(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextHandOver = now.Add(handoverRetryDelay)
	select {
	case <-a.handOverRequested: // Requested while the last hand-over was tried.
	default:
	}
}

// notDoneWithin returns the answers that will not be complete within timeLeft.
func (s *answers) notDoneWithin(now time.Time, timeLeft time.Duration) []*answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unfinished []*answer
	for _, a := range s.byID {
		if !a.durable && a.estimateRemaining(now) > timeLeft {
			unfinished = append(unfinished, a)
		}
	}
	return unfinished
}

// estimateRemaining estimates the time until the answer is complete from its rate so
// far.
func (a *answer) estimateRemaining(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, _ := a.buffer.State()
	generated := int(a.buffer.Last())
	switch {
	case state != stream.Open:
		return 0
	case generated == 0 || a.maxTokens <= generated:
		return time.Hour // Unknown, so assume that it is long.
	}
	return now.Sub(a.created) / time.Duration(generated) * time.Duration(a.maxTokens-generated)
}

// handOver moves a request to another daemon, preferably one in another place of the
// same region. It reports false when no daemon accepts the request, which then
// continues here.
func (d *Daemon) handOver(ctx context.Context, call *modelCall, a *answer) bool {
	return d.handOverTo(ctx, call, a, d.handoverTargets(call.id), nil)
}

// handOverTo moves a request to the first of targets that accepts it. suspects are
// the quarantine entries of a suspect request.
func (d *Daemon) handOverTo(ctx context.Context, call *modelCall, a *answer, targets []membership.Daemon, suspects []message.Suspect) bool {
	a.mu.Lock()
	snapshot := a.buffer.Snapshot()
	a.mu.Unlock()
	h := message.Handover{
		RequestID: call.id, Organisation: call.organisation, Rank: call.rank, Service: call.service.Name,
		Path: call.path(), Body: call.body, Generated: snapshot.Generated, Attempt: snapshot.Attempt,
		Suspects: suspects,
	}
	if previous := call.previous; previous != nil && previous.streamAlive {
		h.Server, h.EngineStream = previous.server.ID, previous.streamID
	}
	for _, target := range targets {
		attemptCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := d.hub.Handover(attemptCtx, target.PeerAddress, h)
		cancel()
		if err != nil {
			d.Log.Info("hand-over not accepted", "RequestID", call.id, "Peer", target.ID, "Error", err.Error())
			continue
		}
		d.Log.Info("request handed over", "RequestID", call.id, "Peer", target.ID, "PeerPlace", target.Place, "Generated", len(h.Generated))
		if call.previous != nil {
			call.previous.cancelled = true // The other daemon resumes the stream.
		}
		a.mu.Lock()
		a.movedTo = target.CallerAddress
		if len(suspects) > 0 {
			a.quarantineOwner = target.ID
		}
		a.notifyReaders()
		a.mu.Unlock()
		return true
	}
	a.mu.Lock()
	a.buffer.Reopen()
	a.mu.Unlock()
	return false
}

func (c *modelCall) path() string {
	if c.chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// handoverTargets returns the daemons to try, by distance and rendezvous hash.
func (d *Daemon) handoverTargets(id string) []membership.Daemon {
	v := d.view.Load()
	targets := slices.DeleteFunc(slices.Clone(v.Daemons), func(other membership.Daemon) bool {
		return other.ID == d.Settings.Daemon || other.Draining || !v.reachable[other.ID]
	})
	distance := func(other membership.Daemon) int {
		switch {
		case other.Region == d.Settings.Region && other.Place != d.Settings.Place:
			return 0
		case other.Region == d.Settings.Region:
			return 1
		}
		return 2
	}
	weight := func(other membership.Daemon) uint64 { return xxhash.Sum64String(id + "\x00" + other.ID) }
	slices.SortFunc(targets, func(a, b membership.Daemon) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(weight(b), weight(a)))
	})
	return targets[:min(maxHandoverTargets, len(targets))]
}

// ServeHandover accepts a request of a daemon that is leaving. A stream that its
// engine still runs is resumed there without recomputation.
func (d *Daemon) ServeHandover(_ context.Context, h message.Handover) error {
	v := d.view.Load()
	if v.Draining || v.Index == nil {
		return errors.New("this daemon takes no new work")
	}
	organisation := v.Index.OrganisationByName(h.Organisation)
	if organisation == nil {
		return errors.NotFoundf("organisation %q", h.Organisation)
	}
	c := &callerRequest{id: h.RequestID, view: v, organisation: organisation, received: time.Now()}
	r := &http.Request{Header: http.Header{"X-Rank": {h.Rank}}}
	call, p := checkModelCall(c, r, h.Body, strings.HasSuffix(h.Path, "/chat/completions"))
	if p != nil {
		return p
	}
	buffer, err := stream.Restore(stream.Snapshot{Attempt: h.Attempt, Generated: h.Generated}, 0)
	if err != nil {
		return err
	}
	if len(h.Suspects) > 0 {
		d.dispatcher.MergeSuspects(time.Now(), h.Suspects)
		call.suspect = true
	}
	call.accepted = true
	a := d.newAnswer(call)
	a.buffer = buffer
	if server, ok := v.Table.Server(h.Server); ok && h.EngineStream != "" {
		call.previous = &previousAttempt{server: server, streamID: h.EngineStream, streamAlive: true}
	}
	d.Log.Info("request taken over", "RequestID", call.id, "Generated", len(h.Generated), "Server", h.Server)
	d.answers.start(d.requestContext, a, func(ctx context.Context) *problem.Problem {
		if d.resumeHandedOver(ctx, call, a) {
			return nil
		}
		return d.runModelCall(ctx, call, a)
	})
	return nil
}

// resumeHandedOver resumes the stream of a handed-over request at its engine. It
// reports whether the request is finished at this daemon: the answer is complete, or
// another daemon has taken the request over in turn.
func (d *Daemon) resumeHandedOver(ctx context.Context, call *modelCall, a *answer) bool {
	if call.previous == nil {
		return false
	}
	m := &modelRun{d: d, call: call, answer: a, stop: make(chan bool, 1)}
	for {
		err := m.resumePrevious(ctx)
		if !errors.Is(err, errDaemonLeaving) {
			return err == nil
		}
		if m.handOver(ctx) {
			return true
		}
	}
}

// resumePrevious resumes the stream of the previous attempt at its engine. It returns
// nil when the answer is complete, and errDaemonLeaving when the request has to move
// to another daemon.
func (m *modelRun) resumePrevious(ctx context.Context) error {
	ctx, end := m.watchStop(ctx)
	defer end()
	previous := m.call.previous
	number, prior, ok := m.answer.beginAttempt()
	if !ok {
		return errors.Annotate(errAttemptStopped, "answer accepts no further attempt")
	}
	err := m.d.Engine.Resume(ctx, previous.server.Address, previous.streamID, len(prior), func(t engine.Token) error {
		return m.answer.appendToken(number, t)
	})
	if (err == nil || m.answer.hasAllTokens()) && m.answer.completeAttempt(number) {
		return nil
	}
	m.answer.failAttempt(number)
	if errors.Is(context.Cause(ctx), errDaemonLeaving) {
		return errDaemonLeaving
	}
	if err == nil {
		err = errors.Annotate(engine.ErrBroken, "answer is not complete")
	}
	previous.streamAlive = previous.streamAlive && !errors.Is(err, engine.ErrNoStream) && !errors.Is(err, engine.ErrNotStarted)
	m.d.Log.Info("stream of a request that was taken over broke off", "RequestID", m.call.id, "Server", previous.server.ID, "Error", err.Error())
	return err
}
