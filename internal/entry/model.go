package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/instances"
	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
)

// maxAttempts bounds the attempts of one model request.
const maxAttempts = 4

// modelBody is the part of a completion request that the daemon reads; the
// engine gets the whole body.
type modelBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []modelMessage  `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	N         int             `json:"n"`
	Stream    bool            `json:"stream"`
}

type modelMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// modelCall is a checked completion request.
type modelCall struct {
	id           string
	organisation *config.Organisation
	service      *config.Service
	rank         config.Rank
	priority     int
	body         []byte
	chat         bool
	stream       bool
	model        string
	received     time.Time
}

func (d *Daemon) serveCompletion(w http.ResponseWriter, r *http.Request, c *caller) *problem.Problem {
	return d.serveModelCall(w, r, c, false)
}

func (d *Daemon) serveChat(w http.ResponseWriter, r *http.Request, c *caller) *problem.Problem {
	return d.serveModelCall(w, r, c, true)
}

func (d *Daemon) serveModelCall(w http.ResponseWriter, r *http.Request, c *caller, chat bool) *problem.Problem {
	if p := d.refuseWhileDraining(c); p != nil {
		return p
	}
	body, p := readBody(w, r, defaultModelBytes)
	if p != nil {
		return p
	}
	call, p := checkModelCall(c, r, body, chat)
	if p != nil {
		return p
	}
	a := newAnswer(call.id, call.organisation.Name, call.model, chat, call.received)
	d.answers.start(context.WithoutCancel(r.Context()), a, func(ctx context.Context) *problem.Problem {
		return d.runModelCall(ctx, call, a)
	})
	if call.stream {
		return d.sendStream(w, r, a, 0)
	}
	return d.sendWhole(w, r, a)
}

// checkModelCall checks a completion request. Nothing is dispatched for one that
// is at fault.
func checkModelCall(c *caller, r *http.Request, body []byte, chat bool) (*modelCall, *problem.Problem) {
	var b modelBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, problem.New(problem.BadRequest, "body is not a completion request: %v", err)
	}
	switch {
	case b.Model == "":
		return nil, problem.New(problem.BadRequest, "body has no model")
	case b.N > 1:
		return nil, problem.New(problem.BadRequest, "n is %d; one answer a request is supported", b.N)
	case b.MaxTokens < 0:
		return nil, problem.New(problem.BadRequest, "max_tokens is negative")
	case chat && len(b.Messages) == 0:
		return nil, problem.New(problem.BadRequest, "body has no messages")
	case !chat && len(b.Prompt) == 0:
		return nil, problem.New(problem.BadRequest, "body has no prompt")
	}
	s := c.view.Index.Model(b.Model)
	if s == nil {
		return nil, problem.New(problem.UnknownModel, "model %q is not configured", b.Model)
	}
	call := &modelCall{
		id: c.id, organisation: c.organisation, service: s, body: body, chat: chat,
		stream: b.Stream, model: b.Model, received: c.received,
	}
	var p *problem.Problem
	call.rank, call.priority, p = rankOf(c, r, s)
	return call, p
}

// rankOf returns the rank that a request asks for, or the default of its service.
func rankOf(c *caller, r *http.Request, s *config.Service) (config.Rank, int, *problem.Problem) {
	if !allows(c.organisation.Services, s.Name) {
		return config.Rank{}, 0, problem.New(problem.Forbidden, "organisation %q may not use service %q", c.organisation.Name, s.Name)
	}
	name := orString(r.Header.Get("X-Rank"), s.DefaultRank)
	rank, i, ok := c.view.Index.Rank(name)
	if !ok {
		return rank, 0, problem.New(problem.BadRequest, "rank %q is not configured", name)
	}
	if !allows(c.organisation.Ranks, name) {
		return rank, 0, problem.New(problem.Forbidden, "organisation %q may not ask for rank %q", c.organisation.Name, name)
	}
	return rank, i, nil
}

// runModelCall produces the answer: it runs attempts until one is whole. Each
// attempt goes on after the tokens of those before it.
func (d *Daemon) runModelCall(ctx context.Context, call *modelCall, a *answer) *problem.Problem {
	tried := map[string]bool{}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		server, ok := d.route(call.id, call.service.Name, attempt, tried)
		if !ok {
			return noCapacity(call.service.Name)
		}
		tried[server.ID] = true
		err := d.attempt(ctx, call, a, server)
		if err == nil {
			return nil
		}
		if errors.Is(err, engine.ErrRejected) {
			return problem.New(problem.BadRequest, "backend server rejected the request: %v", err)
		}
		d.Log.Info("attempt failed", "RequestID", call.id, "Attempt", attempt, "Server", server.ID, "Error", err.Error())
	}
	return problem.New(problem.BackendFailed, "%d attempts failed", maxAttempts)
}

func (d *Daemon) attempt(ctx context.Context, call *modelCall, a *answer, server instances.Instance) error {
	d.flights.begin(server.ID)
	defer d.flights.end(server.ID)
	return d.Engine.Stream(ctx, server.Address, engine.Request{
		Stream: call.id, Body: call.body, Chat: call.chat, Priority: call.priority, Prior: a.generated(),
	}, func(t engine.Token) error {
		a.append(t)
		return nil
	})
}

func noCapacity(service string) *problem.Problem {
	p := problem.New(problem.NoCapacity, "no backend server of %q can take the request", service)
	p.RetryAfter = time.Second
	return p
}

// sendWhole waits for the whole answer and sends it as one JSON body.
func (d *Daemon) sendWhole(w http.ResponseWriter, r *http.Request, a *answer) *problem.Problem {
	for {
		tokens, done, p, changed := a.read(0)
		if done && p != nil {
			return p
		}
		if done {
			writeJSON(w, http.StatusOK, wholeBody(a, tokens))
			return nil
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return problem.New(problem.Internal, "caller went away")
		}
	}
}

// completion is an OpenAI-compatible answer, whole or a chunk.
type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index   int            `json:"index"`
	Text    *string        `json:"text,omitempty"`
	Message *modelMessage  `json:"message,omitempty"`
	Delta   *choiceContent `json:"delta,omitempty"`
	Finish  *string        `json:"finish_reason"`
}

type choiceContent struct {
	Content string `json:"content"`
}

func wholeBody(a *answer, tokens []engine.Token) completion {
	var text strings.Builder
	for _, t := range tokens {
		text.WriteString(t.Text)
	}
	last := tokens[len(tokens)-1]
	all := text.String()
	c := completion{ID: a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.model, Usage: last.Usage}
	ch := choice{Finish: &last.Finish}
	if a.chat {
		c.Object = "chat.completion"
		ch.Message = &modelMessage{Role: "assistant", Content: all}
	} else {
		ch.Text = &all
	}
	c.Choices = []choice{ch}
	return c
}

func chunkBody(a *answer, t engine.Token) completion {
	c := completion{ID: a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.model, Usage: t.Usage}
	ch := choice{}
	if t.Finish != "" {
		ch.Finish = &t.Finish
	}
	if a.chat {
		c.Object = "chat.completion.chunk"
		ch.Delta = &choiceContent{Content: t.Text}
	} else {
		ch.Text = &t.Text
	}
	c.Choices = []choice{ch}
	return c
}
