package entry

import (
	"net/http"
	"strings"

	"github.com/juju/errors"

	"apricotbridge/internal/service"
	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
)

// hopHeaders belong to one connection (RFC 9110, section 7.6.1) or to the
// caller's credential and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "X-Rank",
}

// servePlain passes a call to a plain service.
func (d *Daemon) servePlain(w http.ResponseWriter, r *http.Request, c *caller) *problem.Problem {
	if p := d.refuseWhileDraining(c); p != nil {
		return p
	}
	s := c.view.Index.Service(r.PathValue("service"))
	if s == nil || s.Kind != config.ServiceKindPlain {
		return problem.New(problem.UnknownService, "service %q is not configured", r.PathValue("service"))
	}
	if _, _, p := rankOf(c, r, s); p != nil {
		return p
	}
	if key := r.Header.Get("Idempotency-Key"); len(key) > maxKeyBytes {
		return problem.New(problem.KeyTooLong, "Idempotency-Key has %d bytes; the limit is %d", len(key), maxKeyBytes)
	}
	limit := int64(defaultPlainBytes)
	if s.BodyLimitBytes > 0 {
		limit = int64(s.BodyLimitBytes)
	}
	body, p := readBody(w, r, limit)
	if p != nil {
		return p
	}
	call := service.Call{
		Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), "/services/"+s.Name),
		Header: passedHeaders(r.Header), Body: body, Timeout: serviceTimeout(s),
	}
	a, p := d.callPlain(r, c, s, call)
	if p != nil {
		return p
	}
	writeAnswer(w, a)
	return nil
}

func passedHeaders(h http.Header) http.Header {
	passed := h.Clone()
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

// callPlain runs a call at one backend server. A second server is tried only
// when the first certainly did not get the call.
func (d *Daemon) callPlain(r *http.Request, c *caller, s *config.Service, call service.Call) (*service.Answer, *problem.Problem) {
	tried := map[string]bool{}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		server, ok := d.route(c.id, s.Name, attempt, tried)
		if !ok {
			return nil, noCapacity(s.Name)
		}
		tried[server.ID] = true
		d.flights.begin(server.ID)
		a, err := d.Order.Do(r.Context(), server.Address, call)
		d.flights.end(server.ID)
		switch {
		case err == nil:
			return a, nil
		case errors.Is(err, service.ErrNotStarted):
			d.Log.Info("attempt failed", "RequestID", c.id, "Attempt", attempt, "Server", server.ID, "Error", err.Error())
			continue
		case errors.Is(err, service.ErrTooLarge):
			return nil, problem.New(problem.BackendFailed, "%v", err)
		}
		return nil, problem.New(problem.OutcomeUnknown, "backend server did not answer: %v", err)
	}
	return nil, noCapacity(s.Name)
}

func writeAnswer(w http.ResponseWriter, a *service.Answer) {
	for name, values := range passedHeaders(a.Header) {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // A caller that has gone needs no answer.
}
