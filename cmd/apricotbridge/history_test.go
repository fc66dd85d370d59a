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
// service, which attributes each run to the submission that caused it.
const submissionHeader = "X-Submission"

// orderRun is one run of an order, as recorded by the order service.
type orderRun struct {
	Key  string
	Body string
	// Submission is the id of the submission that caused the run.
	Submission string
	// Number counts the runs of all orders, from 1.
	Number int
	At     time.Time `json:"-"`
}

// orderRecord is the database that the order service stand-ins of a test share.
type orderRecord struct {
	mu   sync.Mutex
	runs []orderRun
	// latency is the duration of one order.
	latency time.Duration
}

// ServeHTTP runs an order, looks up the run of a key, or serves the catalogue.
func (o *orderRecord) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isLookup := strings.CutPrefix(r.URL.Path, "/orders/")
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/orders":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The client closed the connection.
		}
		run := orderRun{Key: r.Header.Get("Idempotency-Key"), Body: string(body), Submission: r.Header.Get(submissionHeader), At: time.Now()}
		o.mu.Lock()
		run.Number = len(o.runs) + 1
		o.runs = append(o.runs, run)
		o.mu.Unlock()
		time.Sleep(o.latency)
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(run) // The client may have closed the connection.
	case isLookup:
		for _, run := range o.all() {
			if run.Key == key {
				_ = json.NewEncoder(w).Encode(run) // The client may have closed the connection.
				return
			}
		}
		http.NotFound(w, r)
	default:
		_, _ = io.WriteString(w, "{}") // The client may have closed the connection.
	}
}

func (o *orderRecord) all() []orderRun {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]orderRun(nil), o.runs...)
}

// submission is one request for an order with its outcome.
type submission struct {
	id, key, body string
	// sentAt and endedAt are when the request was sent and when its outcome was known.
	sentAt, endedAt time.Time
	// run is the run that the answer reports, or nil.
	run *orderRun
	// problemKind and ran are the members of a problem. Without an answer, ran is
	// Unknown.
	problemKind problem.Kind
	ran         problem.Ran
}

// submit sends an order and returns its outcome.
func submit(ctx context.Context, client *http.Client, address, token, path, id, key, body string) (s submission) {
	s = submission{id: id, key: key, body: body, sentAt: time.Now(), ran: problem.Unknown}
	defer func() { s.endedAt = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	req.GetBody = nil // Prevents net/http from repeating the order.
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
		s.problemKind, s.ran = p.Kind, p.Ran
	}
	return s
}

// observation is a submission with the runs that the service recorded for it.
type observation struct {
	submission
	runs []orderRun
}

// runRegister models each key as a register that is written at most once, by the
// run of its order. The state is the number of the run, or 0 before it.
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
		return fmt.Sprintf("%s %s %q: %s %s, runs %v, answer %v", o.id, o.key, o.body, o.problemKind, o.ran, o.runs, o.run)
	},
}

// checkOrders reports whether the history is linearizable with at most one run of
// each key. The faults describe all submissions of the keys that are not.
func checkOrders(t *testing.T, history []submission, runs []orderRun) (ok bool, faults []string) {
	t.Helper()
	bySubmission := map[string][]orderRun{}
	for _, run := range runs {
		bySubmission[run.Submission] = append(bySubmission[run.Submission], run)
	}
	var operations []porcupine.Operation
	for i, s := range history {
		o := observation{s, bySubmission[s.id]}
		delete(bySubmission, s.id)
		end := s.endedAt
		for _, run := range o.runs {
			if run.At.After(end) { // The caller timed out before the run.
				end = run.At
			}
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: o, Call: s.sentAt.UnixNano(), Return: end.UnixNano()})
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

// Guards against a checkOrders that accepts a history with a second run, a run that
// was reported as not run, or an answer without its run.
func TestCheckOrdersRefutesBrokenHistories(t *testing.T) {
	start := time.Now()
	at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second) }
	run := func(number int, submission, body string) orderRun {
		return orderRun{Key: "k", Body: body, Submission: submission, Number: number, At: at(1)}
	}
	sent := func(id, body string, i int, ran problem.Ran, answer *orderRun) submission {
		return submission{id: id, key: "k", body: body, sentAt: at(i), endedAt: at(i + 2), ran: ran, run: answer}
	}
	first, second := run(1, "a", "x"), run(2, "b", "x")
	for _, c := range []struct {
		name    string
		history []submission
		runs    []orderRun
		want    bool
	}{
		{"joined", []submission{sent("a", "x", 0, problem.HasRun, &first), sent("b", "x", 1, problem.HasRun, &first)}, []orderRun{first}, true},
		{"unknown and run", []submission{sent("a", "x", 0, problem.Unknown, nil)}, []orderRun{first}, true},
		{"refused, then run by another", []submission{sent("b", "x", 0, problem.NotRun, nil), sent("a", "x", 0, problem.Unknown, nil)}, []orderRun{first}, true},
		{"two runs of a key", []submission{sent("a", "x", 0, problem.Unknown, nil), sent("b", "x", 0, problem.HasRun, &second)}, []orderRun{first, second}, false},
		{"two runs of a submission", []submission{sent("a", "x", 0, problem.Unknown, nil)}, []orderRun{first, first}, false},
		{"run despite NotRun", []submission{sent("a", "x", 0, problem.NotRun, nil)}, []orderRun{first}, false},
		{"two bodies", []submission{sent("a", "x", 0, problem.HasRun, &first), sent("b", "y", 0, problem.Unknown, nil)}, []orderRun{first, run(2, "b", "y")}, false},
		{"answer without a run", []submission{sent("a", "x", 0, problem.HasRun, &first)}, nil, false},
		{"answer before the run", []submission{sent("b", "x", 0, problem.HasRun, &first), sent("a", "x", 5, problem.HasRun, &first)}, []orderRun{first}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, faults := checkOrders(t, c.history, c.runs); got != c.want {
				t.Errorf("accepted: %v, want %v: %v", got, c.want, faults)
			}
		})
	}
}

var _ http.Handler = (*orderRecord)(nil)

// encodeFaults encodes faults as the body of POST /faults of the key-value stand-in.
func encodeFaults(t *testing.T, f standin.KeyValueFaults) string {
	t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
