package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/google/uuid"

	"apricotbridge/pkg/problem"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt is a request to a model. It is sent to the chat API when it has
// messages.
type Prompt struct {
	Model     string
	Prompt    string
	Messages  []Message
	MaxTokens int
	// More has further members of the request body, such as temperature.
	More map[string]any
	// Key is the idempotency key; it may be empty.
	Key string
	// Rank is the requested rank; empty means the default rank of the service.
	Rank string
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	RecomputedTokens int `json:"recomputed_tokens,omitempty"`
}

// Completion is the whole response of a model.
type Completion struct {
	ID     string
	Model  string
	Text   string
	Finish string
	Usage  Usage
}

// chunk is a whole completion or an event of a stream, as JSON.
type chunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Text    string  `json:"text"`
		Message Message `json:"message"`
		Delta   Message `json:"delta"`
		Finish  string  `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// completion converts the chunk. At most one of the three places for the text
// is set.
func (k chunk) completion() Completion {
	c := Completion{ID: k.ID, Model: k.Model}
	if len(k.Choices) > 0 {
		first := k.Choices[0]
		c.Text, c.Finish = first.Text+first.Message.Content+first.Delta.Content, first.Finish
	}
	if k.Usage != nil {
		c.Usage = *k.Usage
	}
	return c
}

// request returns the HTTP request for a prompt. It may be retried when the
// outcome of an attempt is unknown, because a model has no side effects.
func (q Prompt) request(stream bool) (request, error) {
	body := map[string]any{}
	for name, value := range q.More {
		body[name] = value
	}
	body["model"] = q.Model
	path := "/v1/completions"
	if len(q.Messages) > 0 {
		path = "/v1/chat/completions"
		body["messages"] = q.Messages
	} else {
		body["prompt"] = q.Prompt
	}
	if q.MaxTokens > 0 {
		body["max_tokens"] = q.MaxTokens
	}
	if stream {
		body["stream"] = true
	}
	data, err := json.Marshal(body)
	if err != nil {
		return request{}, problem.New(problem.BadRequest, "prompt cannot be encoded: %v", err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	setKeyAndRank(header, q.Key, q.Rank)
	return request{method: http.MethodPost, path: path, header: header, body: data, retryUnknown: true}, nil
}

// Complete sends a prompt and returns the whole response. The error is a
// *problem.Problem.
func (c *Client) Complete(ctx context.Context, q Prompt) (*Completion, error) {
	r, err := q.request(false)
	if err != nil {
		return nil, err
	}
	a, err := c.sendAndRead(ctx, r)
	if err != nil {
		return nil, err
	}
	if a.Status == http.StatusAccepted { // Another entry continues the request.
		id, entry := a.accepted()
		return c.await(ctx, id, entry)
	}
	return a.completion()
}

// completion decodes the response as a completion.
func (a *Answer) completion() (*Completion, error) {
	var k chunk
	if err := json.Unmarshal(a.Body, &k); err != nil || a.Status != http.StatusOK {
		p := problem.New(problem.BackendFailed, "answer with status %d is not a completion", a.Status)
		p.RequestID = a.RequestID
		return nil, p
	}
	done := k.completion()
	return &done, nil
}

// accepted returns the id of a request that was accepted but has not finished
// (status 202), and the entry that runs it if the response names one.
func (a *Answer) accepted() (id, entry string) {
	if location, err := url.Parse(a.Header.Get("Location")); err == nil {
		entry = location.Host
		id = strings.TrimPrefix(location.Path, "/v1/requests/")
	}
	var named struct {
		RequestID string `json:"RequestID"`
		Entry     string `json:"Entry"`
	}
	if json.Unmarshal(a.Body, &named) == nil {
		if named.RequestID != "" {
			id = named.RequestID
		}
		if named.Entry != "" {
			entry = named.Entry
		}
	}
	return id, entry
}

// Draft is a request that runs on without its caller.
type Draft struct {
	// ID identifies the request in Await and Follow, at any entry.
	ID string
	// Completion is set when the response was available at once.
	Completion *Completion
}

// Submit sends a prompt whose completion is fetched later. A prompt without an
// idempotency key gets one, so that retries do not run it again.
func (c *Client) Submit(ctx context.Context, q Prompt) (*Draft, error) {
	if q.Key == "" {
		q.Key = uuid.NewString()
	}
	r, err := q.request(false)
	if err != nil {
		return nil, err
	}
	r.header.Set("Prefer", "respond-async")
	a, err := c.sendAndRead(ctx, r)
	if err != nil {
		return nil, err
	}
	if a.Status == http.StatusAccepted {
		id, _ := a.accepted()
		return &Draft{ID: id}, nil
	}
	done, err := a.completion()
	if err != nil {
		return nil, err
	}
	return &Draft{ID: done.ID, Completion: done}, nil
}

// Await waits for the completion of an earlier request of this organisation.
func (c *Client) Await(ctx context.Context, id string) (*Completion, error) {
	return c.await(ctx, id, "")
}

func (c *Client) await(ctx context.Context, id, entry string) (*Completion, error) {
	for {
		res, err := c.fetch(ctx, id, entry, http.Header{"Accept": {"application/json"}})
		if err != nil {
			return nil, err
		}
		a, p := readAnswer(res, entry)
		switch {
		case p != nil && (ctx.Err() != nil || !c.budget.withdraw()):
			return nil, p
		case p != nil:
			continue
		case a.Status == http.StatusAccepted:
			_, entry = a.accepted()
			if err := c.sleep(ctx, acceptedPause); err != nil {
				p := problem.New(problem.OutcomeUnknown, "request goes on: %v", err)
				p.RequestID = id
				return nil, p
			}
			continue
		}
		return a.completion()
	}
}
