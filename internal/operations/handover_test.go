package operations

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"apricotbridge/internal/demo"
	"apricotbridge/internal/entry"
	"apricotbridge/internal/standin"
	"apricotbridge/pkg/caller"
)

// TestStreamThroughDrain guards against a stream that loses or repeats text when its
// daemon is drained: the daemon hands the stream over, and the client library resumes
// it at the other daemon.
func TestStreamThroughDrain(t *testing.T) {
	p, err := demo.NewPlatform(t.Context(), logr.Discard(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.Apply(t.Context(), sampleConfiguration(t, "drain")); err != nil {
		t.Fatal(err)
	}
	var daemons []*entry.Daemon
	for i, place := range []string{"asan", "bhaktapur"} {
		e := &standin.Engine{Slots: 4, TokenTime: 5 * time.Millisecond, CacheTokens: 1 << 16}
		b := demo.Backend{ID: fmt.Sprintf("engine-%d", i), Service: "sahayak-llm", Place: place, Region: "bagmati", Class: "accelerator-8"}
		if err := p.StartEngine(b, e); err != nil {
			t.Fatal(err)
		}
		d, err := p.StartDaemon(fmt.Sprintf("daemon-%d", i), place, "bagmati")
		if err != nil {
			t.Fatal(err)
		}
		daemons = append(daemons, d)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	q := caller.Prompt{Model: "sahayak-llm", Prompt: "a long dossier", MaxTokens: 1}
	for _, d := range daemons {
		c := &caller.Client{Entries: []string{d.CallerAddress()}, Token: "counter-token"}
		defer c.Close()
		// Until a daemon has a configuration and servers, it refuses requests without
		// running them.
		for err = errors.New("no request sent yet"); err != nil && ctx.Err() == nil; _, err = c.Complete(ctx, q) {
		}
	}
	c := &caller.Client{Entries: []string{daemons[0].CallerAddress()}, Token: "counter-token", Seed: 1}
	defer c.Close()
	q.MaxTokens = 600
	complete, err := c.Complete(ctx, q)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := c.Stream(ctx, q)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	api := &OperatorClient{Timeout: 5 * time.Second}
	var got strings.Builder
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(token.Text)
		if token.Number == 30 {
			// The stream takes longer than this drain, so that it is handed over.
			if _, err := api.Drain(ctx, daemons[0].OperatorAddress(), 2500*time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got.String() != complete.Text || stream.Resumed() == 0 {
		t.Errorf("after %d resumes the stream has %d bytes, the whole answer %d", stream.Resumed(), got.Len(), len(complete.Text))
	}
	if err := p.StopDaemon("daemon-0"); err != nil {
		t.Errorf("the drained daemon ends with %v", err)
	}
}
