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

// modelBody is the part of a completion request that the daemon reads. Engines
// receive the original body.
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

// modelCall is a validated completion request.
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
	streaming    bool
	model        string
	received     time.Time
	// durable is set for a draft that was accepted with 202.
	durable bool
	// accepted is set for a request that another daemon accepted and handed over.
	accepted bool
	// suspect is set for a request that was handed over to run in quarantine here.
	suspect bool
	// previous is the attempt before the current one.
	previous *previousAttempt
}

func (d *Daemon) serveCompletion(w http.ResponseWriter, r *http.Request, c *callerRequest) *problem.Problem {
	return d.serveModelCall(w, r, c, false)
}

func (d *Daemon) serveChat(w http.ResponseWriter, r *http.Request, c *callerRequest) *problem.Problem {
	return d.serveModelCall(w, r, c, true)
}

func (d *Daemon) serveModelCall(w http.ResponseWriter, r *http.Request, c *callerRequest, chat bool) *problem.Problem {
	if p := d.refuseWhileDraining(c); p != nil {
		return p
	}
	body, p := readBody(w, r, modelBodyLimit)
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
	if call.streaming {
		return d.sendStream(w, r, a, 0)
	}
	return d.sendCompleteAnswer(w, r, a)
}

// startModelCall runs a request independently of the caller's connection, so that a
// disconnected caller can resume.
func (d *Daemon) startModelCall(call *modelCall) *answer {
	a := d.newAnswer(call)
	d.answers.start(d.requestContext, a, func(ctx context.Context) *problem.Problem { return d.runModelCall(ctx, call, a) })
	return a
}

// checkModelCall validates a completion request. Invalid requests are never
// dispatched.
func checkModelCall(c *callerRequest, r *http.Request, body []byte, chat bool) (*modelCall, *problem.Problem) {
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
	s := c.view.Index.ModelService(b.Model)
	if s == nil {
		return nil, problem.New(problem.UnknownModel, "model %q is not configured", b.Model)
	}
	call := &modelCall{
		id: c.id, organisation: c.organisation.Name, service: s, body: body, chat: chat, prompt: b.promptText(),
		session: b.sessionKey(), maxTokens: b.MaxTokens, streaming: b.Stream, model: b.Model, received: c.received,
	}
	var p *problem.Problem
	call.rank, call.priority, p = rankOf(c, r, s)
	return call, p
}

// promptText returns the prompt as one text, for hashing and token counts.
func (b modelBody) promptText() string {
	if len(b.Messages) == 0 {
		return string(b.Prompt)
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

// sessionKey groups the turns of one conversation by a hash of the messages up to the
// first user message, which all turns share.
func (b modelBody) sessionKey() string {
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

// rankOf returns the rank that a request asks for, or the default of its service, and
// its priority.
func rankOf(c *callerRequest, r *http.Request, s *config.Service) (name string, priority int, p *problem.Problem) {
	if !allows(c.organisation.Services, s.Name) {
		return "", 0, problem.New(problem.Forbidden, "organisation %q may not use service %q", c.organisation.Name, s.Name)
	}
	name = stringOrDefault(r.Header.Get("X-Rank"), s.DefaultRank)
	priority, ok := c.view.Index.RankPosition(name)
	if !ok {
		return "", 0, problem.New(problem.BadRequest, "rank %q is not configured", name)
	}
	if !allows(c.organisation.Ranks, name) {
		return "", 0, problem.New(problem.Forbidden, "organisation %q may not ask for rank %q", c.organisation.Name, name)
	}
	return name, priority, nil
}

// sendCompleteAnswer waits for the complete answer and sends it as one JSON body.
func (d *Daemon) sendCompleteAnswer(w http.ResponseWriter, r *http.Request, a *answer) *problem.Problem {
	defer a.addReader()()
	for {
		result := a.read(0)
		switch {
		case result.problem != nil:
			return result.problem
		case result.quarantineOwner != "" && d.relayAnswer(w, r, a, result.quarantineOwner, 0, false):
			return nil
		case result.movedTo != "":
			w.Header().Set("Location", "http://"+result.movedTo+"/v1/requests/"+a.id)
			writeJSON(w, http.StatusAccepted, acceptedBody{RequestID: a.id, Entry: result.movedTo})
			return nil
		case result.complete:
			writeJSON(w, http.StatusOK, completionBody(a, result.events))
			return nil
		}
		select {
		case <-result.changed:
		case <-r.Context().Done():
			return nil // A disconnected caller may fetch the answer by its id.
		}
	}
}

// acceptedBody is the response to a request that runs without its caller or moved to
// another entry.
type acceptedBody struct {
	RequestID string `json:"RequestID"`
	Entry     string `json:"Entry,omitempty"`
}

// completion is an OpenAI-compatible completion, or a chunk of one.
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

func completionBody(a *answer, events []stream.Event) completion {
	var text strings.Builder
	for _, e := range events {
		text.WriteString(e.Text)
	}
	content := text.String()
	_, finish, usage := a.lastEvent()
	c := completion{ID: a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.model, Usage: usage}
	ch := choice{Finish: &finish}
	if a.chat {
		c.Object = "chat.completion"
		ch.Message = &modelMessage{Role: "assistant", Content: content}
	} else {
		ch.Text = &content
	}
	c.Choices = []choice{ch}
	return c
}

func chunkBody(a *answer, e stream.Event) completion {
	c := completion{ID: a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.model}
	ch := choice{}
	if last, finish, usage := a.lastEvent(); e.Sequence == last {
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
