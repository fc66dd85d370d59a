package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
)

// Limits on what callers send.
const (
	maxKeyBytes        = 200
	defaultPlainBytes  = 1 << 20
	defaultModelBytes  = 4 << 20
	retryWithoutConfig = time.Second
)

// caller is an authenticated request.
type caller struct {
	id           string
	view         *View
	organisation *config.Organisation
	received     time.Time
	// forwarded is set for a request that another daemon passed on.
	forwarded bool
}

// callerHandler answers a request or returns the problem to answer.
type callerHandler func(w http.ResponseWriter, r *http.Request, c *caller) *problem.Problem

// callerServer returns the HTTP server for callers.
func (d *Daemon) callerServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/entries", d.open(http.MethodGet, d.serveEntries))
	mux.HandleFunc("/v1/models", d.authenticated(http.MethodGet, d.serveModels))
	mux.HandleFunc("/v1/completions", d.authenticated(http.MethodPost, d.serveCompletion))
	mux.HandleFunc("/v1/chat/completions", d.authenticated(http.MethodPost, d.serveChat))
	mux.HandleFunc("/v1/requests/{id}", d.authenticated(http.MethodGet, d.serveAnswer))
	mux.HandleFunc("/services/{service}/", d.authenticated("", d.servePlain))
	mux.HandleFunc("/", d.open("", func(_ http.ResponseWriter, r *http.Request, _ *caller) *problem.Problem {
		return problem.New(problem.NotFound, "no such path %q", r.URL.Path)
	}))
	d.handler = mux
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: d.Settings.HeaderTimeout.Or(defaultHeaderTimeout),
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// open runs a handler for any caller. It counts the request as active, so that a
// drain waits for it.
func (d *Daemon) open(method string, h callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &caller{id: d.newRequestID(), view: d.view.Load(), received: time.Now()}
		from, forwarded := r.Context().Value(forwardedKey{}).(forwardedFrom)
		if forwarded {
			c.id, c.forwarded = from.requestID, true
		}
		w.Header().Set("X-Request-ID", c.id)
		if c.view.Draining && !forwarded {
			// The caller closes the connection itself, so that its next request does not
			// meet the end of this daemon.
			w.Header().Set("Connection", "close")
		}
		d.active.begin()
		defer d.active.end()
		var p *problem.Problem
		if method != "" && r.Method != method {
			w.Header().Set("Allow", method)
			p = problem.New(problem.MethodNotAllowed, "%s takes %s", r.URL.Path, method)
		} else {
			p = h(w, r, c)
		}
		if p == nil {
			d.metrics.answered("")
			return
		}
		d.metrics.answered(string(p.Kind))
		p.RequestID = c.id
		d.Log.Info("request answered with a problem", "RequestID", c.id, "Kind", p.Kind, "Detail", p.Detail)
		p.Write(w)
	}
}

// authenticated runs a handler for callers of a known organisation.
func (d *Daemon) authenticated(method string, h callerHandler) http.HandlerFunc {
	return d.open(method, func(w http.ResponseWriter, r *http.Request, c *caller) *problem.Problem {
		if c.view.Index == nil {
			p := problem.New(problem.NoCapacity, "no configuration is in force yet")
			p.RetryAfter = retryWithoutConfig
			return p
		}
		if from, ok := r.Context().Value(forwardedKey{}).(forwardedFrom); ok {
			c.organisation = c.view.Index.OrganisationNamed(from.organisation)
			if c.organisation == nil {
				return problem.New(problem.Unauthorized, "organisation %q is not configured here", from.organisation)
			}
			return h(w, r, c)
		}
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			return problem.New(problem.Unauthorized, "header Authorization has no bearer token")
		}
		c.organisation = c.view.Index.Organisation(token)
		if c.organisation == nil {
			return problem.New(problem.Unauthorized, "bearer token is not known")
		}
		return h(w, r, c)
	})
}

func (d *Daemon) newRequestID() string {
	return d.Settings.Daemon + "." + uuid.NewString()
}

// refuseWhileDraining refuses new work with the addresses to use instead.
func (d *Daemon) refuseWhileDraining(c *caller) *problem.Problem {
	if !c.view.Draining {
		return nil
	}
	p := problem.New(problem.Draining, "this entry is leaving")
	p.Entries = d.entries(c.view)
	return p
}

// readBody reads a whole body. Nothing is dispatched before it is complete.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, problem.New(problem.BodyTooLarge, "body is over %d bytes", limit)
	}
	if err != nil {
		return nil, problem.New(problem.BadRequest, "body was not received whole: %v", err)
	}
	return body, nil
}

// entriesBody is the answer of GET /v1/entries.
type entriesBody struct {
	Entries     []string `json:"Entries"`
	KeepSeconds float64  `json:"KeepSeconds"`
}

func (d *Daemon) serveEntries(w http.ResponseWriter, _ *http.Request, c *caller) *problem.Problem {
	writeJSON(w, http.StatusOK, entriesBody{Entries: d.entries(c.view), KeepSeconds: d.entriesKeep().Seconds()})
	return nil
}

// entries returns the addresses that callers should use, in order.
func (d *Daemon) entries(v *View) []string {
	found := make([]string, 0, len(v.Entries))
	for _, e := range v.Entries {
		found = append(found, e.CallerAddress)
	}
	return found
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (d *Daemon) serveModels(w http.ResponseWriter, _ *http.Request, c *caller) *problem.Problem {
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
	_ = json.NewEncoder(w).Encode(value) // A caller that has gone needs no answer.
}
