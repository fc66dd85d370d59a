package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/standin"
	"apricotbridge/pkg/caller"
	"apricotbridge/pkg/problem"
)

// Ranks of the sample configuration.
const (
	rankOrder = "order"
	rankReply = "reply"
	rankDraft = "draft"
)

// worker is a caller that sends requests of one rank, one after another.
type worker struct {
	name, rank, organisation string
	client                   *caller.Client
	random                   *rand.Rand
}

// workers returns the callers of a run: 6 send orders, 8 replies and 4 drafts.
func workers() []*worker {
	var all []*worker
	for _, organisation := range []string{"summit-hotels", "summit-hotels", "trek-agency", "lodge-union", "village-shops", "counter"} {
		all = append(all, &worker{rank: rankOrder, organisation: organisation})
	}
	for _, organisation := range []string{"summit-hotels", "summit-hotels", "summit-hotels", "trek-agency", "trek-agency", "lodge-union", "village-shops", "counter"} {
		all = append(all, &worker{rank: rankReply, organisation: organisation})
	}
	for _, organisation := range []string{"summit-hotels", "trek-agency", "lodge-union", "counter"} {
		all = append(all, &worker{rank: rankDraft, organisation: organisation})
	}
	return all
}

// sendUntil sends requests until the context sending ends, and waits for the
// last response until the context finishing ends.
func (w *worker) sendUntil(sending, finishing context.Context, r *recorder) {
	for n := 0; sending.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", w.name, n)
		r.countRequest(w.rank)
		switch w.rank {
		case rankOrder:
			w.sendOrder(finishing, id, r)
		case rankReply:
			w.streamReply(finishing, id, r)
		case rankDraft:
			w.submitDraft(finishing, id, r)
		}
		select {
		case <-time.After(time.Duration(20+w.random.IntN(80)) * time.Millisecond):
		case <-sending.Done():
		}
	}
}

// sendOrder sends an order. One order in ten is sent twice at the same time,
// like the retry of a caller that is uncertain of the outcome.
func (w *worker) sendOrder(ctx context.Context, key string, r *recorder) {
	q := caller.Call{Service: "khata-app", Method: "POST", Path: "/orders", Key: key, Body: []byte(`{"Order":"` + key + `"}`)}
	sends := 1
	if w.random.IntN(10) == 0 {
		sends = 2
	}
	began := time.Now()
	results := make(chan error, sends)
	for range sends {
		go func() {
			a, err := w.client.Call(ctx, q)
			if err == nil {
				err = checkOrder(a, key)
			}
			results <- err
		}()
	}
	var errs []error
	for range sends {
		errs = append(errs, <-results)
	}
	r.recordOrder(key, began, orderOutcome(errs))
}

// orderOutcome combines the results of all sends of an order. A NotRun problem
// describes only its own send, so any other result takes precedence.
func orderOutcome(errs []error) error {
	var result error
	for _, err := range errs {
		switch {
		case errors.Is(err, errWrongAnswer):
			return err
		case err == nil:
			return nil
		case result == nil || notRun(result):
			result = err
		}
	}
	return result
}

func checkOrder(a *caller.Answer, key string) error {
	var run standin.Run
	if err := json.Unmarshal(a.Body, &run); err != nil || a.Status != 201 || run.Key != key {
		return errors.Annotatef(errWrongAnswer, "order %s got status %d and the run of %q", key, a.Status, run.Key)
	}
	return nil
}

// errWrongAnswer reports a response that does not belong to the request or is
// incomplete.
const errWrongAnswer = errors.ConstError("wrong or incomplete answer")

func (w *worker) streamReply(ctx context.Context, name string, r *recorder) {
	content := fmt.Sprintf("When does parcel %s arrive at the lodge?", name)
	tokens := 10 + w.random.IntN(60)
	began := time.Now()
	s, err := w.client.Stream(ctx, caller.Prompt{
		Model: "sahayak-llm", Messages: []caller.Message{{Role: "user", Content: content}}, MaxTokens: tokens,
	})
	if err != nil {
		r.recordResult(rankReply, 0, err)
		return
	}
	defer func() { _ = s.Close() }()
	var text strings.Builder
	firstToken := time.Duration(0)
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.recordResult(rankReply, firstToken, err)
			return
		}
		if firstToken == 0 {
			firstToken = time.Since(began)
		}
		text.WriteString(t.Text)
	}
	r.recordResult(rankReply, firstToken, checkText(name, text.String(), "user: "+content+"\n", tokens))
}

func (w *worker) submitDraft(ctx context.Context, name string, r *recorder) {
	prompt := fmt.Sprintf("Batch dossier %s", name)
	tokens := 100 + w.random.IntN(300)
	began := time.Now()
	d, err := w.client.Submit(ctx, caller.Prompt{Model: "sahayak-llm", Prompt: prompt, MaxTokens: tokens, Rank: rankDraft})
	if err != nil {
		r.recordResult(rankDraft, 0, err)
		return
	}
	c, err := w.client.Await(ctx, d.ID)
	if err != nil {
		r.recordLostDraft(err)
		return
	}
	r.recordResult(rankDraft, time.Since(began), checkText(name, c.Text, prompt, tokens))
}

// checkText checks that a response is the complete text for its prompt.
func checkText(name, text, prompt string, tokens int) error {
	var want strings.Builder
	for n := 1; n <= tokens; n++ {
		want.WriteString(standin.TokenText(prompt, n))
	}
	if text != want.String() {
		return errors.Annotatef(errWrongAnswer, "%s got %d bytes, want %d", name, len(text), want.Len())
	}
	return nil
}

// notRun reports whether a request was certainly not run.
func notRun(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && problem.Of(p.Kind).Ran == problem.NotRun
}
