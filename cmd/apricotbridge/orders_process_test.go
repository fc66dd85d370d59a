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
	// orderLease replaces the 30 s of a ledger shard, so that freezes outlast it.
	orderLease = 2 * time.Second
	freezeTime = 3 * time.Second
	// orderPatience is how long a caller waits before it sends the key elsewhere.
	orderPatience = 4 * time.Second
)

// orderFleet is a set of daemons in front of order stand-ins that share a record.
type orderFleet struct {
	*processes
	t      *testing.T
	record *orderRecord

	mu      sync.Mutex
	daemons []*process
	ids     []string
	places  [][2]string
	engines []*fleetEngine
}

// newOrderFleet starts n daemons and three order stand-ins.
func newOrderFleet(t *testing.T, configuration []byte, n int, settings map[string]any) *orderFleet {
	t.Helper()
	f := &orderFleet{processes: newProcesses(t, configuration), t: t, record: &orderRecord{latency: 20 * time.Millisecond}}
	f.more = map[string]any{"LedgerLease": orderLease.String()}
	maps.Copy(f.more, settings)
	f.places = [][2]string{{"asan", "bagmati"}, {"bhaktapur", "bagmati"}, {"lakeside", "gandaki"}}
	for i, place := range f.places {
		s := httptest.NewServer(f.record)
		t.Cleanup(s.Close)
		f.enter(instances.Instance{
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
		f.waitOrder(i)
	}
	return f
}

// enter puts an instance on the list.
func (p *processes) enter(i instances.Instance) {
	p.t.Helper()
	data, err := json.Marshal(i)
	if err != nil {
		p.t.Fatal(err)
	}
	p.control(http.MethodPut, p.list+"/instances", string(data))
}

// control calls a stand-in.
func (p *processes) control(method, url, body string) {
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

// waitOrder waits until a daemon takes a new order.
func (f *orderFleet) waitOrder(i int) {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	n := 0
	eventually(f.t, fmt.Sprintf("order at daemon %d", i), func() bool {
		n++
		ctx, cancel := context.WithTimeout(f.t.Context(), orderPatience)
		defer cancel()
		id := fmt.Sprintf("wait-%d-%d-%d", i, n, time.Now().UnixNano())
		s := submit(ctx, client, f.daemon(i).addresses[0], "counter-token", "/services/khata-app/orders", id, id, "wait")
		return s.run != nil
	})
}

// waitModel waits until each daemon serves the model.
func (f *orderFleet) waitModel() {
	f.t.Helper()
	for i := range f.ids {
		eventually(f.t, "model at a daemon", func() bool {
			body := `{"model":"sahayak-llm","prompt":"p","max_tokens":1}`
			status, _, err := call(f.t.Context(), f.daemon(i).addresses[0], "counter-token", http.MethodPost, "/v1/completions", "", body)
			return err == nil && status == http.StatusOK
		})
	}
}

// holds counts the ledger shards that a daemon holds.
func (f *orderFleet) holds(id string) int {
	store := &keyvalue.Client{Address: f.kv, Timeout: time.Second}
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

// callers send orders until stop is closed and return what they were told.
func (f *orderFleet) callers(seed uint64, n int, stop <-chan struct{}) []submitted {
	var mu sync.Mutex
	var history []submitted
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
					key = keys[max(0, len(keys)-1-random.IntN(20))] // A recent key of any caller.
				} else if key == "" {
					key = fmt.Sprintf("order-%d-%d", c, i)
					keys = append(keys, key)
				}
				mu.Unlock()
				body := "body of " + key
				if random.IntN(20) == 0 {
					body = "another " + body
				}
				ctx, cancel := context.WithTimeout(context.Background(), orderPatience)
				address := f.daemon(random.IntN(len(f.ids))).addresses[0]
				s := submit(ctx, client, address, "counter-token", "/services/khata-app/orders", fmt.Sprintf("%d-%d", c, i), key, body)
				cancel()
				mu.Lock()
				history = append(history, s)
				mu.Unlock()
				if s.run != nil || random.IntN(10) == 0 {
					key = "" // Otherwise the same key is sent again elsewhere.
				}
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	return history
}

// disturb brings about one failure at a random daemon, which it returns, and waits
// until it is over.
func (f *orderFleet) disturb(what string, random *rand.Rand) (i int) {
	f.t.Helper()
	i = random.IntN(len(f.ids))
	p := f.daemon(i)
	switch what {
	case "kill":
		f.t.Logf("kill %s, holder of %d shards", f.ids[i], f.holds(f.ids[i]))
		_ = p.command.Process.Kill() // It runs.
		_ = p.command.Wait()         // It reports the signal.
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		place := f.places[i%len(f.places)]
		next := f.serve(f.ids[i], place[0], place[1])
		f.mu.Lock()
		f.daemons[i] = next
		f.mu.Unlock()
	case "freeze":
		f.t.Logf("freeze %s, holder of %d shards", f.ids[i], f.holds(f.ids[i]))
		_ = p.command.Process.Signal(syscall.SIGSTOP) // It runs.
		time.Sleep(freezeTime)
		_ = p.command.Process.Signal(syscall.SIGCONT) // It is stopped.
	case "outage":
		f.faults(standin.Faults{Down: true}, 1500*time.Millisecond)
	case "slow":
		f.faults(standin.Faults{Latency: 400 * time.Millisecond}, 1500*time.Millisecond)
	case "lost answers":
		f.faults(standin.Faults{LoseAnswers: 0.4}, 2*time.Second)
	case "outage and kill":
		f.control(http.MethodPost, f.kv+"/faults", faultsOf(f.t, standin.Faults{Down: true}))
		i = f.disturb("kill", random)
		f.control(http.MethodPost, f.kv+"/faults", faultsOf(f.t, standin.Faults{LoseAnswers: 0.2}))
	}
	return i
}

func (f *orderFleet) faults(faults standin.Faults, span time.Duration) {
	f.control(http.MethodPost, f.kv+"/faults", faultsOf(f.t, faults))
	time.Sleep(span)
	f.control(http.MethodPost, f.kv+"/faults", faultsOf(f.t, standin.Faults{}))
}

// Guards P3 and P4 against an order that runs twice or that ran after it was
// reported as not run, when daemons that hold ledger shards are killed or frozen
// past their lease and the key-value service fails or loses answers.
func TestOrdersRunAtMostOnceThroughFailures(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			f := newOrderFleet(t, samples.Shrestha, 4, nil)
			stop := make(chan struct{})
			histories := make(chan []submitted, 1)
			go func() { histories <- f.callers(seed, 8, stop) }()
			random := rand.New(rand.NewPCG(seed, 99))
			plan := []string{"kill", "freeze", "outage", "slow", "lost answers", "kill", "freeze", "outage and kill"}
			random.Shuffle(len(plan), func(i, j int) { plan[i], plan[j] = plan[j], plan[i] })
			for _, what := range plan {
				t.Log(what)
				f.disturb(what, random)
				time.Sleep(300 * time.Millisecond)
			}
			f.control(http.MethodPost, f.kv+"/faults", faultsOf(t, standin.Faults{}))
			close(stop)
			history := <-histories
			for i := range f.ids {
				f.waitOrder(i)
			}
			verdict(t, history, f.record.all())
		})
	}
}

// verdict checks a history and prints its figures. It fails a run that proves
// little because few orders were answered.
func verdict(t *testing.T, history []submitted, runs []orderRun) {
	t.Helper()
	counts := map[string]int{}
	keys, answered := map[string]bool{}, map[string]bool{}
	for _, s := range history {
		keys[s.key] = true
		switch {
		case s.run != nil:
			counts["answered"]++
			answered[s.key] = true
		case s.kind != "":
			counts[string(s.kind)]++
		default:
			counts["no answer"]++
		}
	}
	t.Logf("%d submissions of %d keys, %d keys answered, %d runs: %v", len(history), len(keys), len(answered), len(runs), counts)
	if len(answered) < 50 || counts["no answer"]+counts[string(problem.OutcomeUnknown)]+counts[string(problem.LedgerUnavailable)] == 0 {
		t.Error("the run has too few answers or no failure to prove anything")
	}
	var checked []orderRun
	for _, run := range runs {
		if !strings.HasPrefix(run.Key, "wait-") {
			checked = append(checked, run)
		}
	}
	if ok, faults := checkOrders(t, history, checked); !ok {
		t.Errorf("the history breaks the promise:\n%s", strings.Join(faults, "\n"))
	}
}

// Guards the check of orders: without the ledger, which a service that may always
// be repeated does not use, keys that are sent again run twice.
func TestOrdersWithoutLedgerAreCaught(t *testing.T) {
	t.Parallel()
	broken := bytes.Replace(samples.Shrestha, []byte(`"Repeat": "Never", "LookupPath": "/orders/{Key}"`), []byte(`"Repeat": "Always"`), 1)
	if bytes.Equal(broken, samples.Shrestha) {
		t.Fatal("the sample has no order service to change")
	}
	f := newOrderFleet(t, broken, 2, nil)
	stop := make(chan struct{})
	histories := make(chan []submitted, 1)
	go func() { histories <- f.callers(1, 4, stop) }()
	time.Sleep(time.Second)
	close(stop)
	var checked []orderRun
	for _, run := range f.record.all() {
		if !strings.HasPrefix(run.Key, "wait-") {
			checked = append(checked, run)
		}
	}
	if ok, _ := checkOrders(t, <-histories, checked); ok {
		t.Error("the check passes orders that ran without the ledger")
	}
}
