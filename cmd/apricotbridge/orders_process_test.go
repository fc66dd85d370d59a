package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/ledger"
	"apricotbridge/internal/standin"
	"apricotbridge/pkg/problem"
	"apricotbridge/samples"
)

const (
	// shardLease is the lease of a ledger shard. It is shorter than the default of
	// 30 s, so that it lapses while its holder is frozen.
	shardLease = 2 * time.Second
	// freezeDuration is how long a daemon is stopped by SIGSTOP.
	freezeDuration = 3 * time.Second
	// submissionTimeout bounds one submission. The caller then sends the key to a
	// random daemon.
	submissionTimeout = 4 * time.Second
)

// orderFleet is a set of daemons in front of order service stand-ins that share a
// record of their runs.
type orderFleet struct {
	*processes
	t      *testing.T
	record *orderRecord

	mu      sync.Mutex
	daemons []*process
	// ids holds the ids of daemons, index by index.
	ids []string
	// places are pairs of a place and its region.
	places  [][2]string
	engines []*recordingEngine
}

// newOrderFleet starts three order service stand-ins and n daemons, and waits until
// each daemon accepts orders.
func newOrderFleet(t *testing.T, configuration []byte, n int, settings map[string]any) *orderFleet {
	t.Helper()
	f := &orderFleet{processes: newProcesses(t, configuration), t: t, record: &orderRecord{latency: 20 * time.Millisecond}}
	f.extraSettings = map[string]any{"LedgerLease": shardLease.String()}
	maps.Copy(f.extraSettings, settings)
	f.places = [][2]string{{"asan", "bagmati"}, {"bhaktapur", "bagmati"}, {"lakeside", "gandaki"}}
	for i, place := range f.places {
		s := httptest.NewServer(f.record)
		t.Cleanup(s.Close)
		f.register(instances.Instance{
			ID: fmt.Sprintf("khata-%d", i), Service: "khata-app", Place: place[0], Region: place[1], Class: "small",
			Address: s.Listener.Addr().String(), Incarnation: time.Now().UnixNano(),
		})
	}
	for i := range n {
		place := f.places[i%len(f.places)]
		id := fmt.Sprintf("daemon-%d", i)
		f.ids, f.daemons = append(f.ids, id), append(f.daemons, f.serve(id, place[0], place[1]))
	}
	for i := range n {
		f.waitForOrder(i)
	}
	return f
}

// register registers an instance in the instance list.
func (p *processes) register(i instances.Instance) {
	p.t.Helper()
	data, err := json.Marshal(i)
	if err != nil {
		p.t.Fatal(err)
	}
	p.sendControl(http.MethodPut, p.instanceListURL+"/instances", string(data))
}

// sendControl sends a control request to a stand-in or a daemon and requires
// status 200.
func (p *processes) sendControl(method, url, body string) {
	p.t.Helper()
	req, err := http.NewRequestWithContext(p.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		p.t.Fatalf("%s %s: status %d", method, url, res.StatusCode)
	}
}

func (f *orderFleet) daemon(i int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// waitForOrder waits until a daemon runs a new order. The keys of these orders start
// with "wait-", so that checks of the history can leave them out.
func (f *orderFleet) waitForOrder(i int) {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	n := 0
	eventually(f.t, fmt.Sprintf("order at daemon %d", i), func() bool {
		n++
		ctx, cancel := context.WithTimeout(f.t.Context(), submissionTimeout)
		defer cancel()
		id := fmt.Sprintf("wait-%d-%d-%d", i, n, time.Now().UnixNano())
		s := submit(ctx, client, f.daemon(i).addresses[0], "counter-token", "/services/khata-app/orders", id, id, "wait")
		return s.run != nil
	})
}

// waitForModel waits until each daemon serves the model.
func (f *orderFleet) waitForModel() {
	f.t.Helper()
	for i := range f.ids {
		eventually(f.t, "model at a daemon", func() bool {
			body := `{"model":"sahayak-llm","prompt":"p","max_tokens":1}`
			status, _, err := httpCall(f.t.Context(), f.daemon(i).addresses[0], "counter-token", http.MethodPost, "/v1/completions", "", body)
			return err == nil && status == http.StatusOK
		})
	}
}

// heldShards returns the number of ledger shards that a daemon holds.
func (f *orderFleet) heldShards(id string) int {
	store := &keyvalue.Client{Address: f.keyValueURL, Timeout: time.Second}
	n := 0
	for shard := range 16 {
		e, err := store.Get(f.t.Context(), ledger.TailKey(shard))
		if err != nil {
			continue
		}
		if tail, err := ledger.DecodeTail(e.Value); err == nil && tail.Holder == id {
			n++
		}
	}
	return n
}

// runCallers runs n callers that send orders until stop is closed, and returns their
// submissions.
func (f *orderFleet) runCallers(seed uint64, n int, stop <-chan struct{}) []submission {
	var mu sync.Mutex
	var history []submission
	var keys []string
	var group sync.WaitGroup
	for c := range n {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			key := ""
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				if key == "" && len(keys) > 0 && random.IntN(4) == 0 {
					key = keys[max(0, len(keys)-1-random.IntN(20))] // Reuses a recent key of any caller.
				} else if key == "" {
					key = fmt.Sprintf("order-%d-%d", c, i)
					keys = append(keys, key)
				}
				mu.Unlock()
				body := "body of " + key
				if random.IntN(20) == 0 {
					body = "another " + body
				}
				ctx, cancel := context.WithTimeout(context.Background(), submissionTimeout)
				address := f.daemon(random.IntN(len(f.ids))).addresses[0]
				s := submit(ctx, client, address, "counter-token", "/services/khata-app/orders", fmt.Sprintf("%d-%d", c, i), key, body)
				cancel()
				mu.Lock()
				history = append(history, s)
				mu.Unlock()
				if s.run != nil || random.IntN(10) == 0 {
					key = "" // Otherwise the key is sent again to a random daemon.
				}
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	return history
}

// injectFailure injects one failure, at a random daemon or at the key-value service,
// and waits until it is over. It returns the index of the daemon.
func (f *orderFleet) injectFailure(kind string, random *rand.Rand) (i int) {
	f.t.Helper()
	i = random.IntN(len(f.ids))
	p := f.daemon(i)
	switch kind {
	case "kill":
		f.t.Logf("kill %s, holder of %d shards", f.ids[i], f.heldShards(f.ids[i]))
		_ = p.command.Process.Kill() // The process is running.
		_ = p.command.Wait()         // The error reports the signal.
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		place := f.places[i%len(f.places)]
		next := f.serve(f.ids[i], place[0], place[1])
		f.mu.Lock()
		f.daemons[i] = next
		f.mu.Unlock()
	case "freeze":
		f.t.Logf("freeze %s, holder of %d shards", f.ids[i], f.heldShards(f.ids[i]))
		_ = p.command.Process.Signal(syscall.SIGSTOP) // The process is running.
		time.Sleep(freezeDuration)
		_ = p.command.Process.Signal(syscall.SIGCONT) // The process is stopped.
	case "outage":
		f.injectKeyValueFaults(standin.KeyValueFaults{Down: true}, 1500*time.Millisecond)
	case "slow":
		f.injectKeyValueFaults(standin.KeyValueFaults{Latency: 400 * time.Millisecond}, 1500*time.Millisecond)
	case "lost answers":
		f.injectKeyValueFaults(standin.KeyValueFaults{LoseAnswers: 0.4}, 2*time.Second)
	case "outage and kill":
		f.sendControl(http.MethodPost, f.keyValueURL+"/faults", encodeFaults(f.t, standin.KeyValueFaults{Down: true}))
		i = f.injectFailure("kill", random)
		f.sendControl(http.MethodPost, f.keyValueURL+"/faults", encodeFaults(f.t, standin.KeyValueFaults{LoseAnswers: 0.2}))
	}
	return i
}

// injectKeyValueFaults injects faults into the key-value service for the given time.
func (f *orderFleet) injectKeyValueFaults(faults standin.KeyValueFaults, span time.Duration) {
	f.sendControl(http.MethodPost, f.keyValueURL+"/faults", encodeFaults(f.t, faults))
	time.Sleep(span)
	f.sendControl(http.MethodPost, f.keyValueURL+"/faults", encodeFaults(f.t, standin.KeyValueFaults{}))
}

// Guards against an order that runs twice or that runs although it is reported as
// not run. Holders of ledger shards are killed or frozen beyond their lease, and the
// key-value service fails or loses answers (promises P3 and P4 in docs/design.md).
func TestOrdersRunAtMostOnceThroughFailures(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			f := newOrderFleet(t, samples.Shrestha, 4, nil)
			stop := make(chan struct{})
			histories := make(chan []submission, 1)
			go func() { histories <- f.runCallers(seed, 8, stop) }()
			random := rand.New(rand.NewPCG(seed, 99))
			plan := []string{"kill", "freeze", "outage", "slow", "lost answers", "kill", "freeze", "outage and kill"}
			random.Shuffle(len(plan), func(i, j int) { plan[i], plan[j] = plan[j], plan[i] })
			for _, kind := range plan {
				t.Log(kind)
				f.injectFailure(kind, random)
				time.Sleep(300 * time.Millisecond)
			}
			f.sendControl(http.MethodPost, f.keyValueURL+"/faults", encodeFaults(t, standin.KeyValueFaults{}))
			close(stop)
			history := <-histories
			for i := range f.ids {
				f.waitForOrder(i)
			}
			checkHistory(t, history, f.record.all())
		})
	}
}

// checkHistory checks a history and logs its counts. Too few answered orders, or no
// failed submission, also fail the test.
func checkHistory(t *testing.T, history []submission, runs []orderRun) {
	t.Helper()
	counts := map[string]int{}
	keys, answered := map[string]bool{}, map[string]bool{}
	for _, s := range history {
		keys[s.key] = true
		switch {
		case s.run != nil:
			counts["answered"]++
			answered[s.key] = true
		case s.problemKind != "":
			counts[string(s.problemKind)]++
		default:
			counts["no answer"]++
		}
	}
	t.Logf("%d submissions of %d keys, %d keys answered, %d runs: %v", len(history), len(keys), len(answered), len(runs), counts)
	if len(answered) < 50 || counts["no answer"]+counts[string(problem.OutcomeUnknown)]+counts[string(problem.LedgerUnavailable)] == 0 {
		t.Error("too few answered orders, or no failed submission")
	}
	var checked []orderRun
	for _, run := range runs {
		if !strings.HasPrefix(run.Key, "wait-") {
			checked = append(checked, run)
		}
	}
	if ok, faults := checkOrders(t, history, checked); !ok {
		t.Errorf("the history is not linearizable:\n%s", strings.Join(faults, "\n"))
	}
}

// Guards against a checkOrders that accepts any history. Requests to a service with
// Repeat "Always" bypass the ledger, so repeated keys run twice and must be detected.
func TestOrdersWithoutLedgerAreCaught(t *testing.T) {
	t.Parallel()
	broken := bytes.Replace(samples.Shrestha, []byte(`"Repeat": "Never", "LookupPath": "/orders/{Key}"`), []byte(`"Repeat": "Always"`), 1)
	if bytes.Equal(broken, samples.Shrestha) {
		t.Fatal("the sample has no order service to change")
	}
	f := newOrderFleet(t, broken, 2, nil)
	stop := make(chan struct{})
	histories := make(chan []submission, 1)
	go func() { histories <- f.runCallers(1, 4, stop) }()
	time.Sleep(time.Second)
	close(stop)
	var checked []orderRun
	for _, run := range f.record.all() {
		if !strings.HasPrefix(run.Key, "wait-") {
			checked = append(checked, run)
		}
	}
	if ok, _ := checkOrders(t, <-histories, checked); ok {
		t.Error("checkOrders accepts orders that ran twice without the ledger")
	}
}
