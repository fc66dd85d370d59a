package entry

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotbridge/internal/ledger"
	"apricotbridge/internal/registrar"
	"apricotbridge/internal/service"
	"apricotbridge/pkg/problem"
)

// draftPrefix starts the request ids of durable drafts. The rest encodes the
// organisation and the idempotency key, so that any daemon can compute the draft's
// ledger shard.
const draftPrefix = "draft."

// draftID returns the request id of a durable draft.
func draftID(organisation, key string) string {
	return draftPrefix + base64.RawURLEncoding.EncodeToString([]byte(organisation+"\x00"+key))
}

// parseDraftID is the inverse of draftID.
func parseDraftID(id string) (organisation, key string, ok bool) {
	rest, ok := strings.CutPrefix(id, draftPrefix)
	if !ok {
		return "", "", false
	}
	text, err := base64.RawURLEncoding.DecodeString(rest)
	if err != nil {
		return "", "", false
	}
	return strings.Cut(string(text), "\x00")
}

// storedDraft is the part of a draft that the ledger stores, so that the next holder
// of the shard can run it.
type storedDraft struct {
	Path string
	Rank string
	Body []byte
}

// wantsAsync reports whether the caller sent "Prefer: respond-async" (RFC 7240).
func wantsAsync(r *http.Request) bool {
	for _, value := range r.Header.Values("Prefer") {
		for _, preference := range strings.Split(value, ",") {
			if strings.TrimSpace(preference) == "respond-async" {
				return true
			}
		}
	}
	return false
}

// serveDraft accepts a model call that runs without its caller. It responds with 202
// once the draft is durable.
func (d *Daemon) serveDraft(w http.ResponseWriter, r *http.Request, c *callerRequest, call *modelCall) *problem.Problem {
	reg := d.registrar.Load()
	if reg == nil {
		return ledgerNotStarted()
	}
	key := stringOrDefault(r.Header.Get("Idempotency-Key"), c.id)
	if len(key) > maxIdempotencyKeyBytes {
		return problem.New(problem.KeyTooLong, "Idempotency-Key has %d bytes; the limit is %d", len(key), maxIdempotencyKeyBytes)
	}
	if len(call.body) > ledger.MaxRecordBytes {
		return problem.New(problem.BodyTooLarge, "a durable draft may have %d bytes", ledger.MaxRecordBytes)
	}
	shard := ledger.ShardOf(call.organisation, key, reg.Shards)
	if holder, p := d.shardHolder(r.Context(), reg, shard); p != nil {
		return p
	} else if holder != d.Settings.Daemon {
		return d.forward(w, r, c, holder, call.body, func() { reg.ForgetHolder(shard) })
	}
	request, err := cbor.Marshal(storedDraft{Path: r.URL.Path, Rank: call.rank, Body: call.body})
	if err != nil {
		return problem.New(problem.Internal, "encode draft: %v", err)
	}
	id := draftID(call.organisation, key)
	_, err = reg.Submit(r.Context(), registrar.Submission{
		Organisation: call.organisation, Key: key, Kind: ledger.Draft, Service: call.service.Name,
		RequestID: id, Request: request, Async: true,
	})
	if err != nil {
		return problemFromError(err)
	}
	w.Header().Set("Location", "/v1/requests/"+id)
	writeJSON(w, http.StatusAccepted, acceptedBody{RequestID: id})
	return nil
}

// serveDraftAnswer sends the answer of a draft: from memory while it runs here, and
// from the ledger afterwards.
func (d *Daemon) serveDraftAnswer(w http.ResponseWriter, r *http.Request, c *callerRequest, id string) *problem.Problem {
	organisation, key, ok := parseDraftID(id)
	if !ok || organisation != c.organisation.Name {
		return problem.New(problem.NotFound, "request %q is not known", id)
	}
	reg := d.registrar.Load()
	if reg == nil {
		return ledgerNotStarted()
	}
	shard := ledger.ShardOf(organisation, key, reg.Shards)
	if holder, p := d.shardHolder(r.Context(), reg, shard); p != nil {
		return p
	} else if holder != d.Settings.Daemon {
		return d.forward(w, r, c, holder, nil, func() { reg.ForgetHolder(shard) })
	}
	if a := d.answers.find(id, organisation); a != nil && wantsEvents(r) {
		return d.sendAnswer(w, r, a)
	}
	result, err := reg.Submit(r.Context(), registrar.Submission{
		Organisation: organisation, Key: key, Kind: ledger.Draft, RequestID: id, Join: true,
	})
	if err != nil {
		p := problemFromError(err)
		if p.Kind == problem.OutcomeUnknown || p.Kind == problem.Draining {
			// The shard is being handed off; its next holder runs the draft.
			return ledgerUnavailable(p.Detail)
		}
		return p
	}
	return writeStoredResponse(w, result.Response)
}

func wantsEvents(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept"), "text/event-stream") || r.Header.Get("Last-Event-ID") != ""
}

// dispatchDraft runs a draft for the ledger. Because a draft may run again, failures
// that a later attempt may fix leave the outcome unknown.
func (d *Daemon) dispatchDraft(ctx context.Context, l ledger.Dispatch) ledger.Outcome {
	call, p := d.checkStoredDraft(l)
	if p == nil {
		a := d.newAnswer(call)
		d.answers.add(a)
		p = d.runModelCall(ctx, call, a)
		if p == nil {
			d.answers.removeLater(a)
			return storedOutcome(http.StatusOK, "application/json", completionBody(a, a.read(0).events))
		}
		a.abandon(p)
		d.answers.removeLater(a)
	}
	if row := problem.Of(p.Kind); row.ComeBack || p.Kind == problem.BackendFailed || p.Kind == problem.Internal {
		return ledger.Outcome{Ran: problem.Unknown, Problem: p}
	}
	return storedOutcome(problem.Of(p.Kind).Status, "application/problem+json", p)
}

func storedOutcome(status int, contentType string, body any) ledger.Outcome {
	data, err := json.Marshal(body)
	if err != nil {
		return ledger.Outcome{Ran: problem.Unknown}
	}
	response, err := cbor.Marshal(service.Response{Status: status, Header: http.Header{"Content-Type": {contentType}}, Body: data})
	if err != nil {
		return ledger.Outcome{Ran: problem.Unknown}
	}
	return ledger.Outcome{Ran: problem.HasRun, Response: response}
}

// checkStoredDraft validates a stored draft against the configuration in force.
func (d *Daemon) checkStoredDraft(l ledger.Dispatch) (*modelCall, *problem.Problem) {
	var stored storedDraft
	if err := cbor.Unmarshal(l.Request, &stored); err != nil {
		return nil, problem.New(problem.BadRequest, "stored draft cannot be read: %v", err)
	}
	v := d.view.Load()
	if v.Index == nil {
		return nil, ledgerNotStarted()
	}
	organisation := v.Index.OrganisationByName(l.Organisation)
	if organisation == nil {
		return nil, problem.New(problem.Forbidden, "organisation %q is not configured any more", l.Organisation)
	}
	c := &callerRequest{id: l.RequestID, view: v, organisation: organisation, received: time.Now()}
	r := &http.Request{Header: http.Header{"X-Rank": {stored.Rank}}}
	call, p := checkModelCall(c, r, stored.Body, strings.HasSuffix(stored.Path, "/chat/completions"))
	if p != nil {
		return nil, p
	}
	call.durable = true
	return call, nil
}
