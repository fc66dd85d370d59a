package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"apricotbridge/internal/standin"
	"apricotbridge/pkg/problem"
	"apricotbridge/samples"
)

// reclaimNotice is the time from the notice of a reclaim to its deadline.
const reclaimNotice = 4 * time.Second

// reclaim announces the reclaim of a place and drains its daemons. At the deadline
// it kills the processes that are left in the place, and returns. The function
// during is called while the daemons hand over, with their indexes.
func (f *orderFleet) reclaim(place int, during func(leaving []int)) {
	f.t.Helper()
	var leaving []int
	for i := range f.ids {
		if i%len(f.places) == place {
			leaving = append(leaving, i)
		}
	}
	deadline := time.Now().Add(reclaimNotice)
	for _, id := range []string{f.engines[place].id, fmt.Sprintf("khata-%d", place)} {
		f.sendControl(http.MethodPost, f.instanceListURL+"/instances/"+id+"/leave?within="+reclaimNotice.String(), "")
	}
	for _, i := range leaving {
		f.sendControl(http.MethodPost, "http://"+f.daemon(i).addresses[1]+"/drain?within="+reclaimNotice.String(), "")
	}
	during(leaving)
	time.Sleep(time.Until(deadline))
	f.engines[place].kill()
	for _, i := range leaving {
		p := f.daemon(i)
		_ = p.command.Process.Kill() // The process may have ended.
		_ = p.command.Wait()         // Wait may have been called already.
	}
}

// fetchAll fetches drafts through the given entries and reports those that are
// missing or incomplete.
func fetchAll(t *testing.T, drafts []acceptedDraft, entries ...string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	pending := make(chan acceptedDraft)
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			caller := newProtocolCaller(uint64(i), "counter-token", entries...)
			defer caller.client.CloseIdleConnections()
			for d := range pending {
				text, err := caller.fetch(ctx, d)
				if err != nil {
					t.Errorf("fetch: %v", err)
				} else if text != completionOf(d.prompt, d.tokens) {
					t.Errorf("draft %s has a text of %d bytes, want %d tokens", d.prompt, len(text), d.tokens)
				}
			}
		})
	}
	for _, d := range drafts {
		pending <- d
	}
	close(pending)
	group.Wait()
}

// Guards against an accepted draft or order that is lost, or a stream that is cut
// off, when a data centre is reclaimed under load, and against lost drafts when
// daemons are killed during the hand-over (promise P1 in docs/design.md).
func TestReclaimLosesNoAcceptedWork(t *testing.T) {
	for _, c := range []struct {
		name string
		kill bool
		seed uint64
	}{{"notice", false, 1}, {"deaths during the hand-over", true, 2}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", c.seed)
			f := newOrderFleet(t, samples.Shrestha, 6, map[string]any{"EntriesKeep": "1s"})
			f.startEngines(4 * time.Millisecond)
			f.waitForModel()
			l := f.startLoad(c.seed, loadOptions{callers: 18, longStreamTokens: 1200, sendDrafts: true, allowInterrupted: c.kill})
			time.Sleep(1500 * time.Millisecond)
			f.reclaim(0, func(leaving []int) {
				if !c.kill {
					return
				}
				time.Sleep(200 * time.Millisecond)
				for _, i := range []int{leaving[0], 1} { // A daemon that hands over and one that takes over.
					t.Logf("kill %s, holder of %d shards", f.ids[i], f.heldShards(f.ids[i]))
					_ = f.daemon(i).command.Process.Kill() // The process may have ended.
					_ = f.daemon(i).command.Wait()         // The error reports the signal.
				}
			})
			time.Sleep(time.Second)
			l.finish(t, f.record)
			if t.Failed() {
				for i := range f.ids {
					t.Logf("%s at %s:\n%s", f.ids[i], f.daemon(i).addresses[0], f.daemon(i).output())
				}
			}
			if len(l.acceptedDrafts) < 50 {
				t.Errorf("too few accepted drafts: %d", len(l.acceptedDrafts))
			}
			fetchAll(t, l.acceptedDrafts, f.daemon(2).addresses[0], f.daemon(4).addresses[0], f.daemon(5).addresses[0])
		})
	}
}

// Guards against a draft that is accepted, or refused and yet run, while the
// key-value service is down and the draft can't be made durable (promises P1 and P3
// in docs/design.md).
func TestDraftIsRefusedWithoutKeyValueService(t *testing.T) {
	t.Parallel()
	f := newOrderFleet(t, samples.Shrestha, 2, nil)
	f.startEngines(time.Millisecond)
	f.waitForModel()
	caller := newProtocolCaller(1, "counter-token", f.daemon(0).addresses[0], f.daemon(1).addresses[0])
	defer caller.client.CloseIdleConnections()
	before, err := caller.submitDraft(t.Context(), "before", 20)
	if err != nil {
		t.Fatal(err)
	}
	f.sendControl(http.MethodPost, f.keyValueURL+"/faults", encodeFaults(t, standin.KeyValueFaults{Down: true}))
	for i := range 40 {
		name := fmt.Sprintf("refused-%d", i)
		body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":%q,"max_tokens":5}`, name)
		header := http.Header{"Idempotency-Key": {name}, "Prefer": {"respond-async"}}
		res, err := caller.do(t.Context(), http.MethodPost, f.daemon(i % 2).addresses[0], "/v1/completions", body, header)
		if err != nil {
			t.Fatal(err)
		}
		p, err := problemOf(res)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if p.Kind != problem.LedgerUnavailable {
			t.Errorf("%s: %v, want %s", name, p, problem.LedgerUnavailable)
		}
	}
	f.sendControl(http.MethodPost, f.keyValueURL+"/faults", encodeFaults(t, standin.KeyValueFaults{}))
	after, err := caller.submitDraft(t.Context(), "after", 20)
	if err != nil {
		t.Fatal(err)
	}
	fetchAll(t, []acceptedDraft{before, after}, f.daemon(0).addresses[0], f.daemon(1).addresses[0])
	for i := range 40 {
		if name := fmt.Sprintf("refused-%d", i); f.promptCount(name) > 0 {
			t.Errorf("%s was refused as not run but sent to an engine", name)
		}
	}
}

// Guards against a daemon that exits while callers still use a list of entries that
// names it: a request accepted during the exit would be cut off (promise P1 in
// docs/design.md).
func TestDrainOutlastsListsOfEntries(t *testing.T) {
	t.Parallel()
	const keep = 1500 * time.Millisecond
	f := newOrderFleet(t, samples.Shrestha, 2, map[string]any{"EntriesKeep": keep.String(), "DrainTimeout": "4s"})
	f.startEngines(time.Millisecond)
	f.waitForModel()
	address := f.daemon(0).addresses[0]
	caller := newProtocolCaller(1, "counter-token", address)
	defer caller.client.CloseIdleConnections()
	caller.entry(t.Context())
	fetched := time.Now()
	if err := f.daemon(0).command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(fetched.Add(keep - 100*time.Millisecond)))
	body := `{"model":"sahayak-llm","prompt":"late","max_tokens":5}`
	res, err := caller.do(t.Context(), http.MethodPost, address, "/v1/completions", body, nil)
	if err != nil {
		t.Fatalf("request with a list of entries fetched %v ago: %v", time.Since(fetched), err)
	}
	if p, err := problemOf(res); err != nil || p.Kind != problem.Draining {
		t.Errorf("got %v and %v, want %s", p, err, problem.Draining)
	}
}
