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
	// handoverMargin is kept before the deadline of a drain for the hand-over
	// itself and for callers to resume elsewhere.
	handoverMargin = 2 * time.Second
	// handoverTargets bounds the daemons that are asked for one request.
	handoverTargets = 3
	handoverTimeout = time.Second
	handoverPeriod  = 100 * time.Millisecond
)

// errLeaving is the cause of the end of an attempt whose request is handed over.
const errLeaving = errors.ConstError("daemon is leaving")

// handOverRequests asks the requests that will not be done by the deadline to
// move to other daemons, the most urgent first, until the context ends.
func (d *Daemon) handOverRequests(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil {
		left := time.Until(deadline) - handoverMargin
		late := d.answers.late(time.Now(), left)
		slices.SortFunc(late, func(a, b *answer) int { return cmp.Compare(a.priority, b.priority) })
		for _, a := range late {
			a.leaveOnce.Do(func() { close(a.leave) })
		}
		sleep(ctx, handoverPeriod)
	}
}

// late returns the answers that will not be complete within a time.
func (s *answers) late(now time.Time, left time.Duration) []*answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var late []*answer
	for _, a := range s.byID {
		if !a.durable && a.remaining(now) > left {
			late = append(late, a)
		}
	}
	return late
}

// remaining estimates the time until the answer is complete from its pace so far.
func (a *answer) remaining(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, _ := a.buffer.State()
	generated := int(a.buffer.Last())
	switch {
	case state != stream.Open:
		return 0
	case generated == 0 || a.maxTokens <= generated:
		return time.Hour // Unknown: don't rely on it.
	}
	return now.Sub(a.created) / time.Duration(generated) * time.Duration(a.maxTokens-generated)
}

// handOver gives a request to another daemon, first one in another place of the
// same region. It reports false when none takes it; the request then goes on here.
func (d *Daemon) handOver(ctx context.Context, call *modelCall, a *answer) bool {
	return d.handOverTo(ctx, call, a, d.handoverTargets(call.id), nil)
}

// handOverTo gives a request to the first of the daemons that takes it, with its
// quarantine entries when it is a suspect.
func (d *Daemon) handOverTo(ctx context.Context, call *modelCall, a *answer, targets []membership.Daemon, suspects []message.Suspect) bool {
	a.mu.Lock()
	snapshot := a.buffer.Snapshot()
	a.mu.Unlock()
	h := message.Handover{
		RequestID: call.id, Organisation: call.organisation, Rank: call.rank, Service: call.service.Name,
		Path: call.path(), Body: call.body, Generated: snapshot.Generated, Attempt: snapshot.Attempt,
		Suspects: suspects,
	}
	if before := call.previous; before != nil && before.alive {
		h.Server, h.EngineStream = before.server.ID, before.stream
	}
	for _, target := range targets {
		attempt, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := d.hub.Handover(attempt, target.PeerAddress, h)
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
		a.moved = target.CallerAddress
		if len(suspects) > 0 {
			a.owner = target.ID
		}
		a.wake()
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

// handoverTargets returns the daemons to ask, by distance and rendezvous hash.
func (d *Daemon) handoverTargets(id string) []membership.Daemon {
	v := d.view.Load()
	targets := slices.DeleteFunc(slices.Clone(v.Daemons), func(other membership.Daemon) bool {
		return other.ID == d.Settings.Daemon || other.Draining || !v.reached[other.ID]
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
	return targets[:min(handoverTargets, len(targets))]
}

// ServeHandover takes over a request of a daemon that is leaving. A stream that
// its engine still runs is resumed there, which computes nothing again.
func (d *Daemon) ServeHandover(_ context.Context, h message.Handover) error {
	v := d.view.Load()
	if v.Draining || v.Index == nil {
		return errors.New("this daemon takes no new work")
	}
	organisation := v.Index.OrganisationNamed(h.Organisation)
	if organisation == nil {
		return errors.NotFoundf("organisation %q", h.Organisation)
	}
	c := &caller{id: h.RequestID, view: v, organisation: organisation, received: time.Now()}
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
		call.previous = &previousAttempt{server: server, stream: h.EngineStream, alive: true}
	}
	d.Log.Info("request taken over", "RequestID", call.id, "Generated", len(h.Generated), "Server", h.Server)
	d.answers.start(d.work, a, func(ctx context.Context) *problem.Problem {
		if d.resumeHandedOver(ctx, call, a) {
			return nil
		}
		return d.runModelCall(ctx, call, a)
	})
	return nil
}

// resumeHandedOver goes on with the stream that the engine of a handed-over
// request still runs. It reports whether the answer is complete.
func (d *Daemon) resumeHandedOver(ctx context.Context, call *modelCall, a *answer) bool {
	before := call.previous
	if before == nil {
		return false
	}
	number, prior, ok := a.begin()
	if !ok {
		return false
	}
	err := d.Engine.Resume(ctx, before.server.Address, before.stream, len(prior), func(t engine.Token) error {
		return a.append(number, t)
	})
	if (err == nil || a.complete()) && a.end(number) {
		return true
	}
	a.fail(number)
	before.alive = before.alive && !errors.Is(err, engine.ErrNoStream) && !errors.Is(err, engine.ErrNotStarted)
	d.Log.Info("stream of a request that was taken over broke off", "RequestID", call.id, "Server", before.server.ID)
	return false
}
