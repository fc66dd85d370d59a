package operations

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"

	"github.com/juju/errors"

	"apricotbridge/pkg/caller"
	"apricotbridge/pkg/problem"
)

// Request is a request sent as a caller: a prompt if Model is set, and otherwise a
// call of Service.
type Request struct {
	Model, Prompt string
	MaxTokens     int
	Stream, Async bool

	Service, Method, Path, Data string

	Key, Rank string
	// JSON prints the outcome as one JSON object instead of only the answer.
	JSON bool
}

// Validate reports flags that can't be combined.
func (q Request) Validate() error {
	switch {
	case (q.Model == "") == (q.Service == ""):
		return errors.New("either --model or --service is needed")
	case q.Service != "" && (q.Prompt != "" || q.Stream || q.Async || q.MaxTokens != 0):
		return errors.New("--prompt, --max-tokens, --stream and --async go with --model")
	case q.Model != "" && q.Data != "":
		return errors.New("--data goes with --service")
	case q.Stream && q.Async:
		return errors.New("--stream and --async exclude each other")
	}
	return nil
}

// outcome is the JSON form of the result of a request.
type outcome struct {
	RequestID string           `json:"RequestID,omitempty"`
	Entry     string           `json:"Entry,omitempty"`
	Status    int              `json:"Status,omitempty"`
	Body      string           `json:"Body,omitempty"`
	Text      string           `json:"Text,omitempty"`
	Finish    string           `json:"Finish,omitempty"`
	Tokens    int64            `json:"Tokens,omitempty"`
	Resumed   int              `json:"Resumed,omitempty"`
	Usage     *caller.Usage    `json:"Usage,omitempty"`
	Problem   *problem.Problem `json:"Problem,omitempty"`
}

// Send sends the request and writes its answer. If the error is a *problem.Problem
// after which the same request may be sent again, it also matches ErrUnavailable.
func Send(ctx context.Context, c *caller.Client, q Request, w io.Writer) error {
	var o outcome
	err := q.send(ctx, c, w, &o)
	var p *problem.Problem
	if errors.As(err, &p) {
		o.Problem = p
		if o.RequestID == "" {
			o.RequestID = p.RequestID
		}
	}
	if q.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if encodeErr := e.Encode(o); encodeErr != nil {
			return errors.Annotate(encodeErr, "write the outcome")
		}
	}
	if p != nil && problem.Of(p.Kind).ComeBack {
		return &retryableError{p}
	}
	return err
}

// retryableError is a problem after which the same request may be sent again.
type retryableError struct{ *problem.Problem }

// Unwrap returns the problem.
func (e *retryableError) Unwrap() error { return e.Problem }

// Is makes the error match ErrUnavailable.
func (e *retryableError) Is(target error) bool { return target == ErrUnavailable }

func (q Request) send(ctx context.Context, c *caller.Client, w io.Writer, o *outcome) error {
	prompt := caller.Prompt{Model: q.Model, Prompt: q.Prompt, MaxTokens: q.MaxTokens, Key: q.Key, Rank: q.Rank}
	switch {
	case q.Service != "":
		return q.call(ctx, c, w, o)
	case q.Stream:
		return q.stream(ctx, c, prompt, w, o)
	}
	var completion *caller.Completion
	var err error
	if q.Async {
		var draft *caller.Draft
		if draft, err = c.Submit(ctx, prompt); err != nil {
			return err
		}
		o.RequestID = draft.ID
		q.print(w, "accepted as request "+draft.ID+"\n")
		if completion = draft.Completion; completion == nil {
			completion, err = c.Await(ctx, draft.ID)
		}
	} else {
		completion, err = c.Complete(ctx, prompt)
	}
	if err != nil {
		return err
	}
	o.RequestID, o.Text, o.Finish, o.Usage, o.Tokens = completion.ID, completion.Text, completion.Finish, &completion.Usage, int64(completion.Usage.CompletionTokens)
	q.print(w, completion.Text+"\n")
	return nil
}

// print writes text unless the outcome is printed as JSON.
func (q Request) print(w io.Writer, text string) {
	if !q.JSON {
		fmt.Fprint(w, text)
	}
}

func (q Request) stream(ctx context.Context, c *caller.Client, prompt caller.Prompt, w io.Writer, o *outcome) error {
	s, err := c.Stream(ctx, prompt)
	if err != nil {
		return err
	}
	defer s.Close()
	o.RequestID = s.RequestID()
	for {
		t, err := s.Next()
		o.Resumed = s.Resumed()
		if errors.Is(err, io.EOF) {
			q.print(w, "\n")
			return nil
		}
		if err != nil {
			return err
		}
		o.Text += t.Text
		o.Tokens = t.Number
		if t.Finish != "" {
			o.Finish, o.Usage = t.Finish, t.Usage
		}
		q.print(w, t.Text)
	}
}

func (q Request) call(ctx context.Context, c *caller.Client, w io.Writer, o *outcome) error {
	method := q.Method
	if method == "" {
		method = http.MethodGet
		if q.Data != "" {
			method = http.MethodPost
		}
	}
	call := caller.Call{Service: q.Service, Method: method, Path: q.Path, Body: []byte(q.Data), Key: q.Key, Rank: q.Rank, Header: http.Header{}}
	if json.Valid(call.Body) {
		call.Header.Set("Content-Type", "application/json")
	}
	a, err := c.Call(ctx, call)
	if err != nil {
		return err
	}
	o.RequestID, o.Entry, o.Status, o.Body = a.RequestID, a.Entry, a.Status, string(a.Body)
	if q.JSON {
		return nil
	}
	fmt.Fprintf(w, "%d %s\n", a.Status, http.StatusText(a.Status))
	names := make([]string, 0, len(a.Header))
	for name := range a.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s: %s\n", name, a.Header.Get(name))
	}
	fmt.Fprintf(w, "\n%s\n", a.Body)
	return nil
}
