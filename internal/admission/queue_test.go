package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotbridge/pkg/problem"
)

var start = time.Unix(1_000_000, 0)

var testRanks = []Rank{
	{Name: "urgent", FirstToken: 2 * time.Second, Deadline: 5 * time.Second, Floor: 0.1, Worth: 10},
	{Name: "normal", FirstToken: 5 * time.Second, Deadline: 30 * time.Second, Floor: 0.1, Worth: 3},
	{Name: "batch", Floor: 0.1, Worth: 1},
}

var model = Capacity{Services: []string{"model"}}

func request(id, organisation, rank string) Request {
	return Request{ID: id, Organisation: organisation, Rank: rank, Service: "model", MaxTokens: 100}
}

// learned returns a queue that finished requests of one second and 100 tokens
// and has the given number in service.
func learned(t *testing.T, q *Queue, inService int) *Queue {
	t.Helper()
	if q.Ranks == nil {
		q.Ranks = testRanks
	}
	for i := range 8 + inService {
		id := "warm-" + strconv.Itoa(i)
		if d := q.Offer(start, request(id, "warm", "batch")); !d.Queued {
			t.Fatalf("warm-up refused: %+v", d)
		}
		if _, ok := q.Next(start, model); !ok {
			t.Fatal("warm-up got no request")
		}
		if i < 8 {
			q.Done(start.Add(time.Second), Usage{ID: id, OutputTokens: 100, FirstToken: 100 * time.Millisecond})
		}
	}
	return q
}

func next(t *testing.T, q *Queue, now time.Time) string {
	t.Helper()
	r, ok := q.Next(now, model)
	if !ok {
		t.Fatal("Next found nothing")
	}
	return r.ID
}

// TestOfferRefusals guards against a refusal without its kind, reason or a
// delay, and against a queue that grows over a bound.
func TestOfferRefusals(t *testing.T) {
	limited := []Organisation{{Name: "a", MaxQueued: 2}, {Name: "r", RequestsPerSecond: 1}}
	for _, c := range []struct {
		name    string
		queue   Queue
		waiting []Request
		offer   Request
		kind    problem.Kind
		reason  string
	}{
		{name: "room", offer: request("x", "a", "urgent")},
		{
			name: "organisation full", queue: Queue{Organisations: limited},
			waiting: []Request{request("1", "a", "batch"), request("2", "a", "batch")},
			offer:   request("x", "a", "batch"), kind: problem.Overloaded, reason: "queue of the organisation is full",
		},
		{
			name: "daemon full", queue: Queue{MaxQueued: 1}, waiting: []Request{request("1", "b", "urgent")},
			offer: request("x", "a", "urgent"), kind: problem.Overloaded, reason: "queue of the daemon is full",
		},
		{
			name: "rate", queue: Queue{Organisations: limited}, waiting: []Request{request("1", "r", "urgent")},
			offer: request("x", "r", "urgent"), kind: problem.Overloaded, reason: "request limit of the organisation",
		},
		{
			name: "id in use", waiting: []Request{request("x", "a", "urgent")},
			offer: request("x", "a", "urgent"), kind: problem.Internal, reason: "request id already in use",
		},
		{
			name: "deadline passed", offer: Request{ID: "x", Service: "model", Rank: "urgent", Arrived: start.Add(-time.Minute)},
			kind: problem.DeadlineUnreachable, reason: "estimated first token after the deadline",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := learned(t, &c.queue, 1)
			for _, r := range c.waiting {
				if d := q.Offer(start, r); !d.Queued {
					t.Fatalf("%s refused: %+v", r.ID, d)
				}
			}
			d := q.Offer(start, c.offer)
			if d.Queued != (c.kind == "") || d.Kind != c.kind || d.Reason != c.reason {
				t.Errorf("got %+v", d)
			}
			if c.kind != "" && c.kind != problem.Internal && d.RetryAfter < minRetryAfter {
				t.Errorf("RetryAfter is %v", d.RetryAfter)
			}
		})
	}
}

// TestEarlyRefusal guards against queueing a request that its backlog keeps
// beyond the deadline, and against refusing one that still makes it.
func TestEarlyRefusal(t *testing.T) {
	q := learned(t, &Queue{}, 4) // 400 tokens a second
	accepted := 0
	for i := range 100 {
		if q.Offer(start, request(strconv.Itoa(i), "a", "urgent")).Queued {
			accepted++
		}
	}
	// 5 s less the first token, at the 4 requests a second of 100 tokens.
	if accepted < 18 || accepted > 21 {
		t.Errorf("accepted %d requests", accepted)
	}
	if d := q.Offer(start, request("late", "a", "urgent")); d.Pool.Waiting != accepted || d.Pool.Running != 4 || d.Pool.FirstToken <= 0 {
		t.Errorf("a refusal does not tell what it was decided by: %+v", d.Pool)
	}
	if d := q.Offer(start, request("b", "b", "urgent")); !d.Queued {
		t.Errorf("another organisation waits for its own work only, got %+v", d)
	}
}

// TestRetryAfterSpread guards against refused callers that return together.
func TestRetryAfterSpread(t *testing.T) {
	q := learned(t, &Queue{MaxQueued: 1}, 4)
	q.Offer(start, request("first", "a", "batch"))
	buckets := map[time.Duration]int{}
	for i := range 1000 {
		d := q.Offer(start, request(strconv.Itoa(i), "a", "batch"))
		buckets[d.RetryAfter/(10*time.Second)]++
	}
	// 1000 requests at 4 a second take 250 s, which the bound cuts to 60 s.
	for bucket := range time.Duration(6) {
		if n := buckets[bucket]; n < 100 || n > 350 {
			t.Errorf("%d of 1000 return after %d0 s", n, bucket)
		}
	}
}

// TestOrder guards against a wrong order of ranks and organisations.
func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		offer []Request
		want  []string
	}{
		{
			"urgent first, then the floors",
			[]Request{request("b", "a", "batch"), request("n", "a", "normal"), request("u1", "a", "urgent"), request("u2", "a", "urgent")},
			[]string{"u1", "n", "b", "u2"},
		},
		{
			"a small caller behind a burst",
			[]Request{request("l1", "large", "normal"), request("l2", "large", "normal"), request("l3", "large", "normal"), request("s", "small", "normal")},
			[]string{"l1", "s", "l2", "l3"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &Queue{Ranks: testRanks}
			for _, r := range c.offer {
				q.Offer(start, r)
			}
			var got []string
			for range c.want {
				got = append(got, next(t, q, start))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDisplace guards against low ranks that fill the queue for urgent ones,
// and against a displaced request that nobody is told of.
func TestDisplace(t *testing.T) {
	q := &Queue{Ranks: testRanks, MaxQueued: 2}
	q.Offer(start, request("old", "a", "batch"))
	q.Offer(start, request("new", "a", "batch"))
	if d := q.Offer(start, request("u", "b", "urgent")); !d.Queued {
		t.Fatalf("urgent refused: %+v", d)
	}
	dropped := q.Dropped(start, nil)
	if len(dropped) != 1 || dropped[0].Request.ID != "new" || dropped[0].Kind != problem.Overloaded || dropped[0].RetryAfter <= 0 {
		t.Errorf("dropped %+v", dropped)
	}
	if len(q.Dropped(start, nil)) != 0 {
		t.Error("dropped twice")
	}
}

// TestDisplaceAfterAttempt guards against reporting a request as not run that
// was in service.
func TestDisplaceAfterAttempt(t *testing.T) {
	q := &Queue{Ranks: testRanks, MaxQueued: 1}
	q.Offer(start, request("ran", "a", "batch"))
	next(t, q, start)
	q.Return(start, Usage{ID: "ran"})
	if d := q.Offer(start, request("u", "b", "urgent")); d.Kind != problem.Overloaded {
		t.Errorf("got %+v", d)
	}
	if dropped := q.Dropped(start, nil); len(dropped) != 0 {
		t.Errorf("dropped %+v", dropped)
	}
}

// TestAcceptedBefore guards against refusing a request that another daemon
// accepted and handed over: no bound, limit or deadline applies to it again.
func TestAcceptedBefore(t *testing.T) {
	q := learned(t, &Queue{
		MaxQueued:     1,
		Organisations: []Organisation{{Name: "a", MaxQueued: 1, RequestsPerSecond: 0.001}},
	}, 1)
	if d := q.Offer(start, request("full", "a", "batch")); !d.Queued {
		t.Fatalf("got %+v", d)
	}
	accepted := request("moved", "a", "normal")
	accepted.Accepted, accepted.Arrived = true, start.Add(-time.Minute)
	if d := q.Offer(start, accepted); !d.Queued {
		t.Errorf("got %+v", d)
	}
	// More urgent requests displace the new one, and then no other.
	if d := q.Offer(start, request("u0", "b", "urgent")); !d.Queued {
		t.Errorf("got %+v", d)
	}
	if d := q.Offer(start, request("u1", "b", "urgent")); d.Kind != problem.Overloaded {
		t.Errorf("got %+v", d)
	}
	now := start.Add(time.Minute)
	for _, d := range q.Dropped(now, nil) {
		if d.Request.ID == "moved" {
			t.Errorf("dropped %+v", d)
		}
	}
	if id := next(t, q, now); id != "moved" {
		t.Errorf("got %s", id)
	}
}

// TestExpired guards against serving a request after its deadline, also
// between two scans of the queue.
func TestExpired(t *testing.T) {
	q := &Queue{Ranks: testRanks}
	for i, deadline := range []time.Duration{5 * time.Second, 5*time.Second + 10*time.Millisecond} {
		r := request("u"+strconv.Itoa(i), "a", "urgent")
		r.Deadline = start.Add(deadline)
		q.Offer(start, r)
	}
	q.Offer(start, request("b", "a", "batch"))
	now := start.Add(5*time.Second + time.Millisecond)
	if d := q.Dropped(now, nil); len(d) != 1 || d[0].Request.ID != "u0" || d[0].Kind != problem.DeadlineUnreachable {
		t.Errorf("dropped %+v", d)
	}
	now = now.Add(20 * time.Millisecond)
	if id := next(t, q, now); id != "b" {
		t.Errorf("got %s", id)
	}
	if d := q.Dropped(now, nil); len(d) != 1 || d[0].Request.ID != "u1" {
		t.Errorf("dropped %+v", d)
	}
}

// TestSavedCredit guards against an organisation that was idle for long and
// then keeps all others waiting.
func TestSavedCredit(t *testing.T) {
	q := &Queue{Ranks: testRanks[2:], SavedCredit: 500}
	q.Offer(start, request("first", "idle", "batch"))
	next(t, q, start)
	q.Done(start, Usage{ID: "first", OutputTokens: 100})
	for i := range 1000 {
		q.Offer(start, request(strconv.Itoa(i), "busy", "batch"))
		q.Done(start, Usage{ID: next(t, q, start), OutputTokens: 100})
	}
	q.Offer(start, request("busy", "busy", "batch"))
	for i := range 50 {
		q.Offer(start, request("burst-"+strconv.Itoa(i), "idle", "batch"))
	}
	ahead := 0
	for next(t, q, start) != "busy" {
		ahead++
	}
	// 5 for the credit, 1 for the last request of the other, 1 for equal tags.
	if ahead < 5 || ahead > 7 {
		t.Errorf("%d requests of 100 tokens went ahead with a credit of 500", ahead)
	}
}

// TestDoneCorrects guards against shares by estimate: an organisation whose
// requests turn out long is served less often.
func TestDoneCorrects(t *testing.T) {
	q := &Queue{Ranks: testRanks[2:]}
	for i := range 100 {
		q.Offer(start, request("long-"+strconv.Itoa(i), "long", "batch"))
		q.Offer(start, request("short-"+strconv.Itoa(i), "short", "batch"))
	}
	served := map[string]int{}
	for range 60 {
		r, _ := q.Next(start, model)
		u := Usage{ID: r.ID, OutputTokens: 20}
		if r.Organisation == "long" {
			u.OutputTokens = 100
		}
		served[r.Organisation] += u.OutputTokens
		q.Done(start, u)
	}
	if d := served["long"] - served["short"]; d < -100 || d > 100 {
		t.Errorf("served tokens %v", served)
	}
}

// TestReturn guards against a resumed request that loses its place, its count
// of generated tokens, or its recomputed tokens.
func TestReturn(t *testing.T) {
	q := &Queue{Ranks: testRanks}
	q.Offer(start, request("1", "a", "batch"))
	q.Offer(start, request("2", "a", "batch"))
	next(t, q, start)
	if !q.Return(start, Usage{ID: "1", PromptTokens: 10, OutputTokens: 30}) || q.Return(start, Usage{ID: "1"}) {
		t.Fatal("Return must accept a request in service once")
	}
	r, _ := q.Next(start, model)
	if r.ID != "1" || r.PromptTokens != 30 || r.MaxTokens != 70 || r.Generated != 30 || q.Stats(start).Recomputed != 40 {
		t.Errorf("got %+v, recomputed %d", r, q.Stats(start).Recomputed)
	}
}

// TestConfigure guards against requests lost in a change of configuration.
func TestConfigure(t *testing.T) {
	q := &Queue{Ranks: testRanks}
	for _, rank := range []string{"batch", "normal", "urgent"} {
		q.Offer(start, request(rank, "a", rank))
	}
	next(t, q, start)
	q.Configure([]Rank{testRanks[1], testRanks[0]}, []Organisation{{Name: "a", Weight: 2}})
	if !q.Done(start, Usage{ID: "urgent"}) {
		t.Error("the running request is unknown")
	}
	if got := []string{next(t, q, start), next(t, q, start)}; !cmp.Equal(got, []string{"normal", "batch"}) {
		t.Errorf("got %v", got)
	}
}

func usage(daemon string, sequence int64, tokens float64, age time.Duration) []PeerUsage {
	return []PeerUsage{{Daemon: daemon, Organisation: "a", Rank: "batch", Service: "model", Sequence: sequence, Tokens: tokens, Age: age}}
}

// TestMerge guards against charging work twice, old work, or work from before
// the first contact.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports [][]PeerUsage
		charged float64
	}{
		{"first contact", [][]PeerUsage{usage("p", 1, 500, 0)}, 0},
		{"first report of a counter", [][]PeerUsage{{{Daemon: "p", Organisation: "b", Rank: "batch", Service: "model", Sequence: 1}}, usage("p", 2, 500, 0)}, 0},
		{"difference", [][]PeerUsage{usage("p", 1, 500, 0), usage("p", 2, 700, 0)}, 200},
		{"repeated", [][]PeerUsage{usage("p", 1, 500, 0), usage("p", 2, 700, 0), usage("p", 2, 700, 0)}, 200},
		{"out of order", [][]PeerUsage{usage("p", 1, 500, 0), usage("p", 3, 700, 0), usage("p", 2, 600, 0)}, 200},
		{"restarted", [][]PeerUsage{usage("p", 1, 500, 0), usage("p", 2, 80, 0)}, 80},
		{"stale", [][]PeerUsage{usage("p", 1, 500, 0), usage("p", 2, 700, time.Minute)}, 0},
		{"own", [][]PeerUsage{usage("me", 1, 500, 0), usage("me", 2, 700, 0)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &Queue{Daemon: "me", Ranks: testRanks}
			q.Offer(start, request("1", "a", "batch"))
			f := q.pools[0].ranks[2].flows[0]
			before := f.tag
			for _, reports := range c.reports {
				q.Merge(start, reports)
			}
			if got := f.tag - before; got != c.charged {
				t.Errorf("charged %v, not %v", got, c.charged)
			}
		})
	}
	q := &Queue{Daemon: "me", Ranks: testRanks}
	q.Offer(start, request("1", "a", "batch"))
	q.Offer(start, request("2", "b", "batch"))
	q.Merge(start, usage("p", 1, 0, 0))
	q.Merge(start.Add(time.Hour), usage("p", 2, 1e9, 0))
	flows := q.pools[0].ranks[2].flows
	if lead := flows[0].tag - flows[1].tag; lead > 2*DefaultSavedCredit {
		t.Errorf("charged %v after an hour of silence", lead)
	}
}

// TestForget guards against memory that grows with each replaced daemon.
func TestForget(t *testing.T) {
	q := &Queue{Daemon: "me", Ranks: testRanks}
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Minute)
		for sequence := range int64(2) {
			q.Merge(now, usage("p"+strconv.Itoa(i), sequence+1, float64(sequence), 0))
		}
	}
	if n := len(q.peers) + len(q.daemons) + len(q.orgs[0].limit.peers); n > 3*7 {
		t.Errorf("%d entries of 100 daemons remain", n)
	}
}

// TestCounters guards against counters that fall when an estimate is corrected.
func TestCounters(t *testing.T) {
	q := &Queue{Daemon: "me", Ranks: testRanks}
	q.Offer(start, request("1", "a", "batch"))
	next(t, q, start)
	before := q.Counters(start, nil)
	q.Done(start, Usage{ID: "1", OutputTokens: 2})
	after := q.Counters(start.Add(time.Second), nil)
	if len(after) != 1 || after[0].Tokens < before[0].Tokens || after[0].Sequence <= before[0].Sequence || after[0].Requests != 1 {
		t.Errorf("before %+v after %+v", before, after)
	}
}
