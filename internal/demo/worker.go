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

// worker is one caller that sends one request after another.
type worker struct {
	name, rank, organisation string
	client                   *caller.Client
	random                   *rand.Rand
}

// workers returns the mix of callers: many orders, some replies, a few drafts.
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

// run sends requests until sending ends, and waits for the last answer until
// finishing ends.
func (w *worker) run(sending, finishing context.Context, r *recorder) {
	for n := 0; sending.Err() == nil; n++ {
		name := fmt.Sprintf("%s-%d", w.name, n)
		r.asked(w.rank)
		switch w.rank {
		case rankOrder:
			w.order(finishing, name, r)
		case rankReply:
			w.reply(finishing, name, r)
		case rankDraft:
			w.draft(finishing, name, r)
		}
		select {
		case <-time.After(time.Duration(20+w.random.IntN(80)) * time.Millisecond):
		case <-sending.Done():
		}
	}
}

// order sends an order, and now and then the same one twice at the same time, as
// a caller that is in doubt would.
func (w *worker) order(ctx context.Context, key string, r *recorder) {
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
	r.order(key, began, outcome(errs))
}

// outcome returns what is known of an order from the answers to all sends of it:
// one that says NotRun speaks of its own send only.
func outcome(errs []error) error {
	var found error
	for _, err := range errs {
		switch {
		case errors.Is(err, errMixed):
			return err
		case err == nil:
			return nil
		case found == nil || notRun(found):
			found = err
		}
	}
	return found
}

func checkOrder(a *caller.Answer, key string) error {
	var run standin.Run
	if err := json.Unmarshal(a.Body, &run); err != nil || a.Status != 201 || run.Key != key {
		return errors.Annotatef(errMixed, "order %s got status %d and the run of %q", key, a.Status, run.Key)
	}
	return nil
}

// errMixed reports an answer that is not the one to the request.
const errMixed = errors.ConstError("answer of another request")

func (w *worker) reply(ctx context.Context, name string, r *recorder) {
	content := fmt.Sprintf("When does parcel %s arrive at the lodge?", name)
	tokens := 10 + w.random.IntN(60)
	began := time.Now()
	s, err := w.client.Stream(ctx, caller.Prompt{
		Model: "sahayak-llm", Messages: []caller.Message{{Role: "user", Content: content}}, MaxTokens: tokens,
	})
	if err != nil {
		r.done(rankReply, 0, err)
		return
	}
	defer func() { _ = s.Close() }()
	var text strings.Builder
	first := time.Duration(0)
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.done(rankReply, first, err)
			return
		}
		if first == 0 {
			first = time.Since(began)
		}
		text.WriteString(t.Text)
	}
	r.done(rankReply, first, compare(name, text.String(), "user: "+content+"\n", tokens))
}

func (w *worker) draft(ctx context.Context, name string, r *recorder) {
	prompt := fmt.Sprintf("Batch dossier %s", name)
	tokens := 100 + w.random.IntN(300)
	began := time.Now()
	d, err := w.client.Submit(ctx, caller.Prompt{Model: "sahayak-llm", Prompt: prompt, MaxTokens: tokens, Rank: rankDraft})
	if err != nil {
		r.done(rankDraft, 0, err)
		return
	}
	c, err := w.client.Await(ctx, d.ID)
	if err != nil {
		r.lostDraft(err)
		return
	}
	r.done(rankDraft, time.Since(began), compare(name, c.Text, prompt, tokens))
}

// compare checks that an answer is the complete one to its own prompt.
func compare(name, text, prompt string, tokens int) error {
	var want strings.Builder
	for n := 1; n <= tokens; n++ {
		want.WriteString(standin.Completion(prompt, n))
	}
	if text != want.String() {
		return errors.Annotatef(errMixed, "%s got %d bytes, want %d", name, len(text), want.Len())
	}
	return nil
}

// notRun reports whether a request was certainly not run.
func notRun(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && problem.Of(p.Kind).Ran == problem.NotRun
}
