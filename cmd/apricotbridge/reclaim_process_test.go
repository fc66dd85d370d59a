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

// noticeTime is the notice of a reclaim in these tests.
const noticeTime = 4 * time.Second

// reclaim gives notice to a place and kills what is left there when it is over.
// It returns then. during is called while the daemons hand over.
func (f *orderFleet) reclaim(place int, during func(leaving []int)) {
	f.t.Helper()
	var leaving []int
	for i := range f.ids {
		if i%len(f.places) == place {
			leaving = append(leaving, i)
		}
	}
	end := time.Now().Add(noticeTime)
	for _, id := range []string{f.engines[place].id, fmt.Sprintf("khata-%d", place)} {
		f.control(http.MethodPost, f.list+"/instances/"+id+"/leave?within="+noticeTime.String(), "")
	}
	for _, i := range leaving {
		f.control(http.MethodPost, "http://"+f.daemon(i).addresses[1]+"/drain?within="+noticeTime.String(), "")
	}
	during(leaving)
	time.Sleep(time.Until(end))
	f.engines[place].kill()
	for _, i := range leaving {
		p := f.daemon(i)
		_ = p.command.Process.Kill() // It may have ended.
		_ = p.command.Wait()         // The same.
	}
}

// fetchAll fetches drafts through the given entries and reports those that are
// not whole.
func fetchAll(t *testing.T, drafts []draft, entries ...string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	work := make(chan draft)
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			caller := newFollower(uint64(i), "counter-token", entries...)
			defer caller.client.CloseIdleConnections()
			for d := range work {
				text, err := caller.fetch(ctx, d)
				if err != nil {
					t.Errorf("not fetched: %v", err)
				} else if text != completionOf(d.prompt, d.tokens) {
					t.Errorf("draft %s has a text of %d bytes, want %d tokens", d.prompt, len(text), d.tokens)
				}
			}
		})
	}
	for _, d := range drafts {
		work <- d
	}
	close(work)
	group.Wait()
}

// Guards P1 against an accepted draft or order that is lost, and a stream that is
// cut off, when a data centre is reclaimed under load; and against lost drafts
// when daemons die during the hand-over or without notice.
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
			f.waitModel()
			l := f.startLoad(c.seed, loadOptions{callers: 18, long: 1200, drafts: true, lossy: c.kill})
			time.Sleep(1500 * time.Millisecond)
			f.reclaim(0, func(leaving []int) {
				if !c.kill {
					return
				}
				time.Sleep(200 * time.Millisecond)
				for _, i := range []int{leaving[0], 1} { // One that hands over and one that takes over.
					t.Logf("kill %s, holder of %d shards", f.ids[i], f.holds(f.ids[i]))
					_ = f.daemon(i).command.Process.Kill() // It may have ended.
					_ = f.daemon(i).command.Wait()         // It reports the signal.
				}
			})
			time.Sleep(time.Second)
			l.finish(t, f.record)
			if t.Failed() {
				for i := range f.ids {
					t.Logf("%s at %s:\n%s", f.ids[i], f.daemon(i).addresses[0], f.daemon(i).output())
				}
			}
			if len(l.drafts) < 50 {
				t.Errorf("the run proves little: %d drafts", len(l.drafts))
			}
			fetchAll(t, l.drafts, f.daemon(2).addresses[0], f.daemon(4).addresses[0], f.daemon(5).addresses[0])
		})
	}
}

// Guards P1 and P3 against a draft that is accepted, or refused and run all the
// same, while it can't be made durable.
func TestDraftIsRefusedWithoutKeyValueService(t *testing.T) {
	t.Parallel()
	f := newOrderFleet(t, samples.Shrestha, 2, nil)
	f.startEngines(time.Millisecond)
	f.waitModel()
	caller := newFollower(1, "counter-token", f.daemon(0).addresses[0], f.daemon(1).addresses[0])
	defer caller.client.CloseIdleConnections()
	before, err := caller.draft(t.Context(), "before", 20)
	if err != nil {
		t.Fatal(err)
	}
	f.control(http.MethodPost, f.kv+"/faults", faultsOf(t, standin.Faults{Down: true}))
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
	f.control(http.MethodPost, f.kv+"/faults", faultsOf(t, standin.Faults{}))
	after, err := caller.draft(t.Context(), "after", 20)
	if err != nil {
		t.Fatal(err)
	}
	fetchAll(t, []draft{before, after}, f.daemon(0).addresses[0], f.daemon(1).addresses[0])
	for i := range 40 {
		if name := fmt.Sprintf("refused-%d", i); f.seen(name) > 0 {
			t.Errorf("%s was refused as not run and sent to an engine", name)
		}
	}
}

// Guards P1 against a daemon that ends its drain while callers still use a list of
// entries that names it: a request that it accepts while it closes is cut off.
func TestDrainOutlastsListsOfEntries(t *testing.T) {
	t.Parallel()
	const keep = 1500 * time.Millisecond
	f := newOrderFleet(t, samples.Shrestha, 2, map[string]any{"EntriesKeep": keep.String(), "DrainTimeout": "4s"})
	f.startEngines(time.Millisecond)
	f.waitModel()
	address := f.daemon(0).addresses[0]
	caller := newFollower(1, "counter-token", address)
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
		t.Fatalf("a caller with a list of %v: %v", time.Since(fetched), err)
	}
	if p, err := problemOf(res); err != nil || p.Kind != problem.Draining {
		t.Errorf("got %v and %v, want %s", p, err, problem.Draining)
	}
}
