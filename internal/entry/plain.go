package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
	"apricotbridge/internal/service"
	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
)

// strippedHeaders belong to one connection (RFC 9110, section 7.6.1) or are addressed
// to the daemon. They are not sent on.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "X-Rank",
}

// servePlain sends a call to a plain service.
func (d *Daemon) servePlain(w http.ResponseWriter, r *http.Request, c *callerRequest) *problem.Problem {
	if p := d.refuseWhileDraining(c); p != nil {
		return p
	}
	s := c.view.Index.Service(r.PathValue("service"))
	if s == nil || s.Kind != config.ServiceKindPlain {
		return problem.New(problem.UnknownService, "service %q is not configured", r.PathValue("service"))
	}
	rank, _, p := rankOf(c, r, s)
	if p != nil {
		return p
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKeyBytes {
		return problem.New(problem.KeyTooLong, "Idempotency-Key has %d bytes; the limit is %d", len(key), maxIdempotencyKeyBytes)
	}
	limit := int64(defaultPlainBodyLimit)
	if s.BodyLimitBytes > 0 {
		limit = int64(s.BodyLimitBytes)
	}
	body, p := readBody(w, r, limit)
	if p != nil {
		return p
	}
	q := plainCall{
		id: c.id, organisation: c.organisation.Name, rank: rank, service: s, received: c.received, key: key,
		repeatable: repeatable(s, r.Method, key),
		call: service.Call{
			Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), "/services/"+s.Name),
			Header: endToEndHeaders(r.Header), Body: body, Timeout: serviceTimeout(s),
		},
	}
	if !q.repeatable && key != "" {
		return d.serveOrder(w, r, c, q)
	}
	a, p := d.callPlain(r.Context(), q)
	if p != nil {
		return p
	}
	writeServiceResponse(w, a)
	return nil
}

// plainCall is a validated call of a plain service.
type plainCall struct {
	id           string
	organisation string
	rank         string
	service      *config.Service
	received     time.Time
	key          string
	repeatable   bool
	call         service.Call
}

// fingerprint distinguishes this call from others.
func (q plainCall) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.organisation, q.service.Name, []byte(q.call.Method+" "+q.call.Path+"\n"+q.key+"\n"), q.call.Body)
}

// repeatable reports whether a call may be sent again after it may have run: safe
// methods (RFC 9110), services configured as repeatable, and keyed calls of services
// that recognise the key.
func repeatable(s *config.Service, method, key string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return s.Repeat == config.ServiceRepeatAlways || s.Repeat == config.ServiceRepeatByKey && key != ""
}

func endToEndHeaders(h http.Header) http.Header {
	kept := h.Clone()
	for _, name := range strippedHeaders {
		kept.Del(name)
	}
	return kept
}

// callPlain runs a call at one backend server. It tries another server only when the
// previous one certainly did not receive the call, or when the call is repeatable.
func (d *Daemon) callPlain(ctx context.Context, q plainCall) (*service.Response, *problem.Problem) {
	w := &dispatch.Work{
		Request: admission.Request{
			ID: q.id, Organisation: q.organisation, Rank: q.rank, Service: q.service.Name, Arrived: q.received,
		},
		Call: routing.Call{
			RequestID: q.id, Service: q.service.Name, Rank: q.rank, Place: d.Settings.Place,
			Region: d.Settings.Region, Plain: true,
		},
		Fingerprint: q.fingerprint(),
	}
	if p := d.dispatcher.Submit(time.Now(), w); p != nil {
		return nil, p
	}
	client := d.Order
	if q.repeatable {
		client = d.Service
	}
	for attempt := 1; ; attempt++ {
		grant, err := d.awaitGrant(ctx, w, nil)
		if err != nil {
			return nil, problem.New(problem.NoCapacity, "the caller went away before the call was sent")
		}
		if grant.Problem != nil {
			return nil, grant.Problem
		}
		d.logRouting(q.id, q.service.Name, attempt, grant)
		a, err := client.Do(ctx, grant.Server.Address, q.call)
		if err == nil {
			d.dispatcher.Finish(time.Now(), q.id, admission.Usage{ID: q.id, OutputTokens: 1}, routing.Answer{})
			return a, nil
		}
		d.Log.Info("attempt ended early", "RequestID", q.id, "Server", grant.Server.ID, "Error", err.Error())
		if p := d.handlePlainFailure(ctx, q, grant.Server, err, attempt); p != nil {
			return nil, p
		}
	}
}

// handlePlainFailure returns the problem that ends a call after a failed attempt, or
// nil when the call is queued for another attempt.
func (d *Daemon) handlePlainFailure(ctx context.Context, q plainCall, server routing.Server, err error, attempt int) *problem.Problem {
	now := time.Now()
	if ctx.Err() == nil {
		d.reportSuspect(server)
	}
	notStarted := errors.Is(err, service.ErrNotStarted)
	if errors.Is(err, service.ErrTooLarge) || !notStarted && !q.repeatable || attempt >= maxAttempts {
		d.dispatcher.Cancel(now, q.id)
	}
	switch {
	case errors.Is(err, service.ErrTooLarge):
		return problem.New(problem.BackendFailed, "%v", err)
	case !notStarted && !q.repeatable:
		return problem.New(problem.OutcomeUnknown, "backend server did not answer: %v", err)
	case attempt >= maxAttempts:
		return problem.New(problem.BackendFailed, "%d attempts failed", attempt)
	}
	ending := dispatch.Broken
	if notStarted {
		ending = dispatch.NotStarted
	}
	return d.dispatcher.Retry(now, q.id, ending)
}

func writeServiceResponse(w http.ResponseWriter, a *service.Response) {
	for name, values := range endToEndHeaders(a.Header) {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // Write errors mean that the caller disconnected.
}
