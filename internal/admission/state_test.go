package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotbridge/pkg/problem"
)

// queueModel compares the queue with a simple model of the state of each request.
type queueModel struct {
	queue   *Queue
	now     time.Time
	lastID  int
	waiting map[string]Request
	running map[string]Request
	// returned counts requests passed to Return, which may exceed the bounds.
	returned int
}

var (
	services      = []string{"model", "orders"}
	organisations = []string{"a", "b", "c", "unknown"}
)

func (m *queueModel) expired(r Request) bool {
	return r.Attempts == 0 && m.now.After(r.Deadline)
}

func pickID(t *rapid.T, from map[string]Request) string {
	ids := make([]string, 0, len(from))
	for id := range from {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("none")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *queueModel) Offer(t *rapid.T) {
	m.lastID++
	r := Request{
		ID: fmt.Sprint(m.lastID), Organisation: rapid.SampledFrom(organisations).Draw(t, "organisation"),
		Rank: rapid.SampledFrom(testRanks).Draw(t, "rank").Name, Service: rapid.SampledFrom(services).Draw(t, "service"),
		PromptTokens: rapid.IntRange(0, 5000).Draw(t, "prompt"), MaxTokens: rapid.IntRange(0, 1000).Draw(t, "max"),
		Arrived: m.now, Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second),
	}
	queued := m.queue.Len()
	d := m.queue.Offer(m.now, r)
	switch {
	case d.Queued && d.Kind == "":
		m.waiting[r.ID] = r
	case d.Queued || d.Reason == "" || d.RetryAfter < minRetryAfter || d.RetryAfter > 2*maxRetryAfter:
		t.Fatalf("invalid refusal: %+v", d)
	case d.Kind != problem.Overloaded && d.Kind != problem.DeadlineUnreachable:
		t.Fatalf("refused with %s", d.Kind)
	case queued == 0 && d.Reason != "request limit of the organisation":
		t.Fatalf("refused by an empty queue: %+v", d)
	}
	m.takeDropped(t)
}

func (m *queueModel) Next(t *rapid.T) {
	free := rapid.SampledFrom([][]string{services, services[:1], services[1:], {"other"}, nil}).Draw(t, "free")
	r, ok := m.queue.Next(m.now, Capacity{Services: free})
	if ok {
		w, known := m.waiting[r.ID]
		if !known || !slices.Contains(free, r.Service) || m.expired(w) {
			t.Fatalf("returned %+v, waiting %v", r, known)
		}
		delete(m.waiting, r.ID)
		m.running[r.ID] = r
	}
	m.takeDropped(t)
	if ok {
		return
	}
	for _, w := range m.waiting {
		if slices.Contains(free, w.Service) && !m.expired(w) {
			t.Fatalf("found nothing, but %+v waits", w)
		}
	}
}

func (m *queueModel) Done(t *rapid.T) {
	id := pickID(t, m.running)
	u := Usage{ID: id, PromptTokens: rapid.IntRange(0, 5000).Draw(t, "prompt"), OutputTokens: rapid.IntRange(0, 1000).Draw(t, "output"), FirstToken: time.Second}
	if !m.queue.Done(m.now, u) || m.queue.Done(m.now, u) {
		t.Fatalf("Done of %s", id)
	}
	delete(m.running, id)
}

func (m *queueModel) Return(t *rapid.T) {
	id := pickID(t, m.running)
	output := rapid.IntRange(0, 100).Draw(t, "output")
	if !m.queue.Return(m.now, Usage{ID: id, OutputTokens: output}) {
		t.Fatalf("Return of %s", id)
	}
	r := m.running[id]
	r.Attempts++
	delete(m.running, id)
	m.waiting[id] = r
	m.returned++
}

func (m *queueModel) Cancel(t *rapid.T) {
	id := pickID(t, m.waiting)
	if !m.queue.Cancel(m.now, id) || m.queue.Cancel(m.now, id) {
		t.Fatalf("Cancel of %s", id)
	}
	delete(m.waiting, id)
}

func (m *queueModel) Preempt(t *rapid.T) {
	var running []Running
	for id := range m.running {
		running = append(running, Running{ID: id, Recompute: len(id)})
	}
	if v, ok := m.queue.Preempt(m.now, running); ok {
		if _, known := m.running[v.ID]; !known {
			t.Fatalf("preempts %+v", v)
		}
	}
}

func (m *queueModel) Merge(t *rapid.T) {
	u := PeerUsage{
		Daemon: rapid.SampledFrom([]string{"p1", "p2", "me"}).Draw(t, "daemon"), Organisation: rapid.SampledFrom(organisations).Draw(t, "organisation"),
		Rank: rapid.SampledFrom(testRanks).Draw(t, "rank").Name, Service: rapid.SampledFrom(services).Draw(t, "service"),
		Sequence: rapid.Int64Range(1, 20).Draw(t, "sequence"), Tokens: rapid.Float64Range(0, 1e6).Draw(t, "tokens"),
		Requests: uint64(rapid.IntRange(0, 1000).Draw(t, "requests")), Age: time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second,
	}
	m.queue.MergeUsage(m.now, []PeerUsage{u})
}

func (m *queueModel) Configure(t *rapid.T) {
	ranks := slices.Clone(testRanks[:rapid.IntRange(1, 3).Draw(t, "ranks")])
	m.queue.Configure(ranks, []Organisation{{Name: "a", Weight: 3, MaxQueued: 4}, {Name: "b", RequestsPerSecond: 5}})
	m.returned = 1 << 20 // A smaller MaxQueued applies to new requests only.
}

func (m *queueModel) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "milliseconds")) * time.Millisecond)
}

// takeDropped checks that each dropped request is reported once, with a reason, and
// never ran, because the refusal reports it as not run.
func (m *queueModel) takeDropped(t *rapid.T) {
	for _, d := range m.queue.Dropped(m.now, nil) {
		r, ok := m.waiting[d.Request.ID]
		if !ok || d.Reason == "" || d.RetryAfter <= 0 || r.Attempts > 0 {
			t.Fatalf("dropped %+v, waiting %v", d, ok)
		}
		if d.Kind == problem.DeadlineUnreachable && !m.expired(r) {
			t.Fatalf("dropped before its deadline: %+v", d)
		}
		delete(m.waiting, d.Request.ID)
	}
}

func (m *queueModel) Check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) {
		t.Fatalf("%d requests wait, the model has %d", m.queue.Len(), len(m.waiting))
	}
	s := m.queue.Stats(m.now)
	if s.Running != len(m.running) || s.Queued > m.queue.MaxQueued+m.returned && m.returned < 1<<20 {
		t.Fatalf("stats %+v", s)
	}
	perOrganisation, total := map[string]int{}, 0
	for _, row := range s.Flows {
		perOrganisation[row.Organisation] += row.Queued
		total += row.Queued
	}
	if total != s.Queued || perOrganisation["a"] > 5+m.returned {
		t.Fatalf("stats %+v", s)
	}
	for _, p := range m.queue.pools {
		for r, rq := range p.ranks {
			if rq.queued < 0 || rq.queuedWork < -1e-6 || rq.queued == 0 && rq.floorCredit > 0 {
				t.Fatalf("pool %s rank %d: queued %d, work %v, credit %v", p.service, r, rq.queued, rq.queuedWork, rq.floorCredit)
			}
		}
	}
}

// TestQueueModel guards against requests that are lost, returned twice, kept
// while capacity is free, or refused without reason, and against exceeded bounds.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			queue: &Queue{
				Daemon: "me", Ranks: slices.Clone(testRanks), MaxQueued: 12,
				Organisations: []Organisation{{Name: "a", MaxQueued: 5}, {Name: "b", RequestsPerSecond: 5}},
			},
			now: testStart, waiting: map[string]Request{}, running: map[string]Request{},
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestFloors guards against a rank that gets less than its floor of the work
// at any time during a flood, whatever the sizes of the requests.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{Ranks: testRanks}
		id, total := 0, 0.0
		largest := rapid.IntRange(1, 2000).Draw(t, "largest")
		served := map[string]float64{}
		offer := func(rank string) {
			id++
			q.Offer(testStart, Request{ID: fmt.Sprint(id), Organisation: "a", Rank: rank, Service: "model", MaxTokens: rapid.IntRange(1, largest).Draw(t, "max")})
		}
		for range 3 {
			for _, r := range testRanks {
				offer(r.Name)
			}
		}
		for range 200 {
			r, _ := q.Next(testStart, modelCapacity)
			output := rapid.IntRange(1, r.MaxTokens).Draw(t, "output")
			q.Done(testStart, Usage{ID: r.ID, OutputTokens: output})
			served[r.Rank] += float64(output)
			total += float64(output)
			offer(r.Rank)
			for _, k := range testRanks {
				if served[k.Name] < k.Floor*total-float64(largest) {
					t.Fatalf("rank %s has %v of %v tokens", k.Name, served[k.Name], total)
				}
			}
		}
	})
}

// TestShares guards against organisations whose work per weight drifts apart
// while both have waiting requests.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.2, 5).Draw(t, "weight")
		q := &Queue{Ranks: testRanks[2:], IdleCredit: 1, Organisations: []Organisation{{Name: "a", Weight: weight}, {Name: "b", Weight: 1}}}
		const largest = 1000.0
		served := map[string]float64{}
		for i := range 300 {
			for _, o := range organisations[:2] {
				q.Offer(testStart, Request{ID: fmt.Sprint(o, i), Organisation: o, Service: "model", MaxTokens: rapid.IntRange(1, largest).Draw(t, "max")})
			}
			r, _ := q.Next(testStart, modelCapacity)
			output := rapid.IntRange(1, r.MaxTokens).Draw(t, "output")
			q.Done(testStart, Usage{ID: r.ID, OutputTokens: output})
			served[r.Organisation] += float64(output)
			lead := served["a"]/weight - served["b"]
			// One request each, and the difference in idle credit.
			if bound := (largest + 1) * (1 + 1/weight); lead > bound || lead < -bound {
				t.Fatalf("lead %v with weight %v: %v", lead, weight, served)
			}
		}
	})
}
