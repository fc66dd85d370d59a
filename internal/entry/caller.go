package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"apricotbridge/internal/budget"
	"apricotbridge/internal/intake"
	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
)

// Limits on requests of callers, and the retry delay while no configuration is in
// force.
const (
	maxIdempotencyKeyBytes  = 200
	defaultPlainBodyLimit   = 1 << 20
	modelBodyLimit          = 4 << 20
	retryAfterWithoutConfig = time.Second
)

// callerRequest is the context of one request. organisation is nil before
// authentication.
type callerRequest struct {
	id           string
	view         *View
	organisation *config.Organisation
	received     time.Time
	// forwarded is set for a request that another daemon forwarded.
	forwarded bool
}

// callerHandler answers a request, or returns the problem to answer with.
type callerHandler func(w http.ResponseWriter, r *http.Request, c *callerRequest) *problem.Problem

// callerServer returns the HTTP server for callers.
func (d *Daemon) callerServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/entries", d.unauthenticated(http.MethodGet, d.serveEntries))
	mux.HandleFunc("/v1/models", d.authenticated(http.MethodGet, d.serveModels))
	mux.HandleFunc("/v1/completions", d.authenticated(http.MethodPost, d.serveCompletion))
	mux.HandleFunc("/v1/chat/completions", d.authenticated(http.MethodPost, d.serveChat))
	mux.HandleFunc("/v1/requests/{id}", d.authenticated(http.MethodGet, d.serveAnswer))
	mux.HandleFunc("/services/{service}/", d.authenticated("", d.servePlain))
	mux.HandleFunc("/", d.unauthenticated("", func(_ http.ResponseWriter, r *http.Request, _ *callerRequest) *problem.Problem {
		return problem.New(problem.NotFound, "no such path %q", r.URL.Path)
	}))
	d.handler = mux
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: d.Settings.HeaderTimeout.Or(defaultHeaderTimeout),
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// unauthenticated wraps a handler that needs no authentication. It counts the request
// as active, so that a drain waits for it.
func (d *Daemon) unauthenticated(method string, h callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &callerRequest{id: d.newRequestID(), view: d.view.Load(), received: time.Now()}
		from, forwarded := r.Context().Value(forwardedContextKey{}).(forwardedIdentity)
		if forwarded {
			c.id, c.forwarded = from.requestID, true
		}
		w.Header().Set("X-Request-ID", c.id)
		if c.view.Draining && !forwarded {
			// Callers close the connection themselves, so that their next request is
			// not cut off when this daemon exits.
			w.Header().Set("Connection", "close")
		}
		d.activeRequests.begin()
		defer d.activeRequests.end()
		var p *problem.Problem
		if method != "" && r.Method != method {
			w.Header().Set("Allow", method)
			p = problem.New(problem.MethodNotAllowed, "%s takes %s", r.URL.Path, method)
		} else {
			p = h(w, r, c)
		}
		if p == nil {
			d.metrics.countAnswer("")
			return
		}
		d.metrics.countAnswer(string(p.Kind))
		p.RequestID = c.id
		d.Log.Info("request answered with a problem", "RequestID", c.id, "Kind", p.Kind, "Detail", p.Detail)
		p.Write(w)
	}
}

// authenticated wraps a handler that needs a known organisation.
func (d *Daemon) authenticated(method string, h callerHandler) http.HandlerFunc {
	return d.unauthenticated(method, func(w http.ResponseWriter, r *http.Request, c *callerRequest) *problem.Problem {
		if c.view.Index == nil {
			p := problem.New(problem.NoCapacity, "no configuration is in force yet")
			p.RetryAfter = retryAfterWithoutConfig
			return p
		}
		if from, ok := r.Context().Value(forwardedContextKey{}).(forwardedIdentity); ok {
			c.organisation = c.view.Index.OrganisationByName(from.organisation)
			if c.organisation == nil {
				return problem.New(problem.Unauthorized, "organisation %q is not configured here", from.organisation)
			}
			return h(w, r, c)
		}
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			return problem.New(problem.Unauthorized, "header Authorization has no bearer token")
		}
		c.organisation = c.view.Index.OrganisationByToken(token)
		if c.organisation == nil {
			return problem.New(problem.Unauthorized, "bearer token is not known")
		}
		return h(w, r, c)
	})
}

func (d *Daemon) newRequestID() string {
	return d.Settings.Daemon + "." + uuid.NewString()
}

// refuseWhileDraining refuses new requests while draining and names the entries to
// use instead.
func (d *Daemon) refuseWhileDraining(c *callerRequest) *problem.Problem {
	if !c.view.Draining {
		return nil
	}
	p := problem.New(problem.Draining, "this entry is leaving")
	p.Entries = d.entryAddresses(c.view)
	return p
}

// readBody reads the complete body. Requests with an incomplete body are never
// dispatched.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Problem) {
	client := intake.Of(r)
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(maxBodyTime)) // Fails for requests that a peer forwards.
	body, err := client.ReadBody(r.Body.Read, r.ContentLength, limit)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return nil, problem.New(problem.BodyTooLarge, "body is over %d bytes", limit)
	case errors.Is(err, budget.ErrGivenUp):
		return nil, problem.New(problem.NoCapacity, "too many bodies are being received")
	case !errors.Is(err, io.EOF):
		return nil, problem.New(problem.BadRequest, "body was not received whole: %v", err)
	}
	_ = rc.SetReadDeadline(time.Time{}) // As above.
	client.Received()
	return body, nil
}

// maxBodyTime bounds the time in which a body arrives. The longest targets of ranks are shorter.
const maxBodyTime = time.Minute

// entriesBody is the response of GET /v1/entries.
type entriesBody struct {
	Entries     []string `json:"Entries"`
	KeepSeconds float64  `json:"KeepSeconds"`
}

func (d *Daemon) serveEntries(w http.ResponseWriter, _ *http.Request, c *callerRequest) *problem.Problem {
	writeJSON(w, http.StatusOK, entriesBody{Entries: d.entryAddresses(c.view), KeepSeconds: d.entriesKeep().Seconds()})
	return nil
}

// entryAddresses returns the caller addresses of the entries to use, in order of
// preference.
func (d *Daemon) entryAddresses(v *View) []string {
	addresses := make([]string, 0, len(v.Entries))
	for _, e := range v.Entries {
		addresses = append(addresses, e.CallerAddress)
	}
	return addresses
}

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (d *Daemon) serveModels(w http.ResponseWriter, _ *http.Request, c *callerRequest) *problem.Problem {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, s := range c.view.Index.Config.Services {
		if s.Kind != config.ServiceKindModel || !allows(c.organisation.Services, s.Name) {
			continue
		}
		for _, name := range append([]string{s.Name}, s.Models...) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: s.Name})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // Write errors mean that the caller disconnected.
}
