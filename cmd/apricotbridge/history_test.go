package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"apricotbridge/internal/standin"
	"apricotbridge/pkg/problem"
)

// submissionHeader carries the id of a submission through a daemon to the order
// service, so that a run is attributed to the submission that caused it.
const submissionHeader = "X-Submission"

// orderRun is one run of an order as the service recorded it.
type orderRun struct {
	Key        string
	Body       string
	Submission string
	Number     int
	At         time.Time `json:"-"`
}

// orderRecord is the database that the order stand-ins of a test share.
type orderRecord struct {
	mu   sync.Mutex
	runs []orderRun
	// latency is the time that an order takes.
	latency time.Duration
}

// ServeHTTP runs an order, finds the run of a key and serves the catalogue.
func (o *orderRecord) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isLookup := strings.CutPrefix(r.URL.Path, "/orders/")
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/orders":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The caller is gone.
		}
		run := orderRun{Key: r.Header.Get("Idempotency-Key"), Body: string(body), Submission: r.Header.Get(submissionHeader), At: time.Now()}
		o.mu.Lock()
		run.Number = len(o.runs) + 1
		o.runs = append(o.runs, run)
		o.mu.Unlock()
		time.Sleep(o.latency)
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(run) // A caller that has gone needs no answer.
	case isLookup:
		for _, run := range o.all() {
			if run.Key == key {
				_ = json.NewEncoder(w).Encode(run) // A caller that has gone needs no answer.
				return
			}
		}
		http.NotFound(w, r)
	default:
		_, _ = io.WriteString(w, "{}") // A caller that has gone needs no answer.
	}
}

func (o *orderRecord) all() []orderRun {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]orderRun(nil), o.runs...)
}

// submitted is one submission of an order with what its caller was told.
type submitted struct {
	id, key, body string
	call, end     time.Time
	// run is the run that the answer reports; nil without such an answer.
	run *orderRun
	// kind and ran are those of a problem; ran is Unknown when no answer came.
	kind problem.Kind
	ran  problem.Ran
}

// submit sends an order and returns what became of it.
func submit(ctx context.Context, client *http.Client, address, token, path, id, key, body string) (s submitted) {
	s = submitted{id: id, key: key, body: body, call: time.Now(), ran: problem.Unknown}
	defer func() { s.end = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	req.GetBody = nil // Keeps net/http from sending the order again by itself.
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header["Idempotency-Key"] = []string{key}
	req.Header.Set(submissionHeader, id)
	res, err := client.Do(req)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return s
	}
	if res.StatusCode == http.StatusCreated || res.StatusCode == http.StatusOK {
		var run orderRun
		if json.Unmarshal(data, &run) == nil {
			s.run, s.ran = &run, problem.HasRun
		}
		return s
	}
	var p struct {
		Kind problem.Kind
		Ran  problem.Ran
	}
	if json.Unmarshal(data, &p) == nil && p.Ran != "" {
		s.kind, s.ran = p.Kind, p.Ran
	}
	return s
}

// observation joins a submission with the runs that the service attributes to it.
type observation struct {
	submitted
	runs []orderRun
}

// runRegister models the runs of one key: a register that is written at most once.
// The state is the number of the run, 0 for none.
var runRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(observation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		o, number := input.(observation), state.(int)
		if len(o.runs) > 0 {
			if number != 0 || len(o.runs) > 1 || o.ran == problem.NotRun || o.runs[0].Body != o.body {
				return false, number
			}
			number = o.runs[0].Number
		}
		if o.run != nil && (o.run.Number != number || o.run.Body != o.body) {
			return false, number
		}
		return true, number
	},
	DescribeOperation: func(input, _ any) string {
		o := input.(observation)
		return fmt.Sprintf("%s %s %q: %s %s, runs %v, answer %v", o.id, o.key, o.body, o.kind, o.ran, o.runs, o.run)
	},
}

// checkOrders reports whether the answers agree with the runs. The keys at fault
// are described.
func checkOrders(t *testing.T, history []submitted, runs []orderRun) (ok bool, faults []string) {
	t.Helper()
	bySubmission := map[string][]orderRun{}
	for _, run := range runs {
		bySubmission[run.Submission] = append(bySubmission[run.Submission], run)
	}
	var operations []porcupine.Operation
	for i, s := range history {
		o := observation{s, bySubmission[s.id]}
		delete(bySubmission, s.id)
		end := s.end
		for _, run := range o.runs {
			if run.At.After(end) { // The run of a submission that its caller gave up on.
				end = run.At
			}
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: o, Call: s.call.UnixNano(), Return: end.UnixNano()})
	}
	for id := range bySubmission {
		faults = append(faults, fmt.Sprintf("run of submission %q, which was not sent", id))
	}
	for _, part := range runRegister.Partition(operations) {
		if porcupine.CheckOperations(runRegister, part) {
			continue
		}
		for _, op := range part {
			faults = append(faults, runRegister.DescribeOperation(op.Input, nil))
		}
	}
	return len(faults) == 0, faults
}

// Guards against a check that passes histories with a broken promise.
func TestCheckOrdersRefutesBrokenHistories(t *testing.T) {
	start := time.Now()
	at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second) }
	run := func(number int, submission, body string) orderRun {
		return orderRun{Key: "k", Body: body, Submission: submission, Number: number, At: at(1)}
	}
	sent := func(id, body string, i int, ran problem.Ran, answer *orderRun) submitted {
		return submitted{id: id, key: "k", body: body, call: at(i), end: at(i + 2), ran: ran, run: answer}
	}
	first, second := run(1, "a", "x"), run(2, "b", "x")
	for _, c := range []struct {
		name    string
		history []submitted
		runs    []orderRun
		want    bool
	}{
		{"joined", []submitted{sent("a", "x", 0, problem.HasRun, &first), sent("b", "x", 1, problem.HasRun, &first)}, []orderRun{first}, true},
		{"unknown and run", []submitted{sent("a", "x", 0, problem.Unknown, nil)}, []orderRun{first}, true},
		{"refused, then run by another", []submitted{sent("b", "x", 0, problem.NotRun, nil), sent("a", "x", 0, problem.Unknown, nil)}, []orderRun{first}, true},
		{"two runs of a key", []submitted{sent("a", "x", 0, problem.Unknown, nil), sent("b", "x", 0, problem.HasRun, &second)}, []orderRun{first, second}, false},
		{"two runs of a submission", []submitted{sent("a", "x", 0, problem.Unknown, nil)}, []orderRun{first, first}, false},
		{"not run but run", []submitted{sent("a", "x", 0, problem.NotRun, nil)}, []orderRun{first}, false},
		{"two bodies", []submitted{sent("a", "x", 0, problem.HasRun, &first), sent("b", "y", 0, problem.Unknown, nil)}, []orderRun{first, run(2, "b", "y")}, false},
		{"answer of no run", []submitted{sent("a", "x", 0, problem.HasRun, &first)}, nil, false},
		{"answer before the run", []submitted{sent("b", "x", 0, problem.HasRun, &first), sent("a", "x", 5, problem.HasRun, &first)}, []orderRun{first}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, faults := checkOrders(t, c.history, c.runs); got != c.want {
				t.Errorf("holds: %v, want %v: %v", got, c.want, faults)
			}
		})
	}
}

var _ http.Handler = (*orderRecord)(nil)

// faultsOf returns the body of POST /faults for the key-value stand-in.
func faultsOf(t *testing.T, f standin.Faults) string {
	t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
