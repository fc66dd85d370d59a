package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/stream"
	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
)

// modelBody is the part of a completion request that the daemon reads; the
// engine gets the whole body.
type modelBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []modelMessage  `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	N         int             `json:"n"`
	User      string          `json:"user"`
	Stream    bool            `json:"stream"`
}

type modelMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// modelCall is a checked completion request.
type modelCall struct {
	id           string
	organisation string
	service      *config.Service
	rank         string
	priority     int
	body         []byte
	prompt       string
	session      string
	maxTokens    int
	chat         bool
	stream       bool
	model        string
	received     time.Time
	// durable is set for a draft that was accepted with 202.
	durable bool
	// accepted is set for a request that another daemon accepted and handed over.
	accepted bool
	// suspect is set for a request that was handed over to run in quarantine here.
	suspect bool
	// previous is the attempt before the present one.
	previous *previousAttempt
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
	if wantsAsync(r) {
		return d.serveDraft(w, r, c, call)
	}
	a := d.startModelCall(call)
	if call.stream {
		return d.sendStream(w, r, a, 0)
	}
	return d.sendWhole(w, r, a)
}

// startModelCall runs a request on its own, so that a caller which was cut off
// can resume.
func (d *Daemon) startModelCall(call *modelCall) *answer {
	a := d.newAnswer(call)
	d.answers.start(d.work, a, func(ctx context.Context) *problem.Problem { return d.runModelCall(ctx, call, a) })
	return a
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
		id: c.id, organisation: c.organisation.Name, service: s, body: body, chat: chat, prompt: b.text(),
		session: b.session(), maxTokens: b.MaxTokens, stream: b.Stream, model: b.Model, received: c.received,
	}
	var p *problem.Problem
	call.rank, call.priority, p = rankOf(c, r, s)
	return call, p
}

// text returns the prompt as one text, for hashes and the count of tokens.
func (b modelBody) text() string {
	if len(b.Messages) == 0 {
		return string(b.Prompt)
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

// session groups the turns of one conversation by the messages up to the first
// one of the user, which all turns share.
func (b modelBody) session() string {
	if b.User != "" {
		return b.User
	}
	h := xxhash.New()
	for _, m := range b.Messages {
		_, _ = h.WriteString(m.Role + ": " + m.Content + "\n") // Never fails.
		if m.Role == "user" {
			break
		}
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

// rankOf returns the rank that a request asks for, or the default of its service.
func rankOf(c *caller, r *http.Request, s *config.Service) (name string, priority int, p *problem.Problem) {
	if !allows(c.organisation.Services, s.Name) {
		return "", 0, problem.New(problem.Forbidden, "organisation %q may not use service %q", c.organisation.Name, s.Name)
	}
	name = orString(r.Header.Get("X-Rank"), s.DefaultRank)
	priority, ok := c.view.Index.Rank(name)
	if !ok {
		return "", 0, problem.New(problem.BadRequest, "rank %q is not configured", name)
	}
	if !allows(c.organisation.Ranks, name) {
		return "", 0, problem.New(problem.Forbidden, "organisation %q may not ask for rank %q", c.organisation.Name, name)
	}
	return name, priority, nil
}

// sendWhole waits for the complete answer and sends it as one JSON body.
func (d *Daemon) sendWhole(w http.ResponseWriter, r *http.Request, a *answer) *problem.Problem {
	defer a.attach()()
	for {
		got := a.read(0)
		switch {
		case got.problem != nil:
			return got.problem
		case got.owner != "" && d.relay(w, r, a, got.owner, 0, false):
			return nil
		case got.moved != "":
			w.Header().Set("Location", "http://"+got.moved+"/v1/requests/"+a.id)
			writeJSON(w, http.StatusAccepted, acceptedBody{RequestID: a.id, Entry: got.moved})
			return nil
		case got.whole:
			writeJSON(w, http.StatusOK, wholeBody(a, got.events))
			return nil
		}
		select {
		case <-got.changed:
		case <-r.Context().Done():
			return nil // The caller is gone and may fetch the answer by its id.
		}
	}
}

// acceptedBody is the answer to a request that goes on without its caller.
type acceptedBody struct {
	RequestID string `json:"RequestID"`
	Entry     string `json:"Entry,omitempty"`
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

func wholeBody(a *answer, events []stream.Event) completion {
	var text strings.Builder
	for _, e := range events {
		text.WriteString(e.Text)
	}
	all := text.String()
	_, finish, usage := a.last()
	c := completion{ID: a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.model, Usage: usage}
	ch := choice{Finish: &finish}
	if a.chat {
		c.Object = "chat.completion"
		ch.Message = &modelMessage{Role: "assistant", Content: all}
	} else {
		ch.Text = &all
	}
	c.Choices = []choice{ch}
	return c
}

func chunkBody(a *answer, e stream.Event) completion {
	c := completion{ID: a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.model}
	ch := choice{}
	if last, finish, usage := a.last(); e.Sequence == last {
		ch.Finish, c.Usage = &finish, usage
	}
	if a.chat {
		c.Object = "chat.completion.chunk"
		ch.Delta = &choiceContent{Content: e.Text}
	} else {
		ch.Text = &e.Text
	}
	c.Choices = []choice{ch}
	return c
}
