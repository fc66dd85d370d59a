package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotbridge/pkg/problem"
)

var testStart = time.Unix(1_000_000, 0)

var testRanks = []Rank{
	{Name: "urgent", FirstToken: 2 * time.Second, Deadline: 5 * time.Second, Floor: 0.1, Worth: 10},
	{Name: "normal", FirstToken: 5 * time.Second, Deadline: 30 * time.Second, Floor: 0.1, Worth: 3},
	{Name: "batch", Floor: 0.1, Worth: 1},
}

var modelCapacity = Capacity{Services: []string{"model"}}

func testRequest(id, organisation, rank string) Request {
	return Request{ID: id, Organisation: organisation, Rank: rank, Service: "model", MaxTokens: 100}
}

// warmQueue returns a queue in which 8 requests of one second and 100 tokens have
// finished and the given number of requests is in service.
func warmQueue(t *testing.T, q *Queue, inService int) *Queue {
	t.Helper()
	if q.Ranks == nil {
		q.Ranks = testRanks
	}
	for i := range 8 + inService {
		id := "warm-" + strconv.Itoa(i)
		if d := q.Offer(testStart, testRequest(id, "warm", "batch")); !d.Queued {
			t.Fatalf("warm-up refused: %+v", d)
		}
		if _, ok := q.Next(testStart, modelCapacity); !ok {
			t.Fatal("warm-up got no request")
		}
		if i < 8 {
			q.Done(testStart.Add(time.Second), Usage{ID: id, OutputTokens: 100, FirstToken: 100 * time.Millisecond})
		}
	}
	return q
}

func nextID(t *testing.T, q *Queue, now time.Time) string {
	t.Helper()
	r, ok := q.Next(now, modelCapacity)
	if !ok {
		t.Fatal("Next found nothing")
	}
	return r.ID
}

// TestOfferRefusals guards against a refusal without its kind, reason or
// delay, and against a queue that exceeds a bound.
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
		{name: "room", offer: testRequest("x", "a", "urgent")},
		{
			name: "organisation full", queue: Queue{Organisations: limited},
			waiting: []Request{testRequest("1", "a", "batch"), testRequest("2", "a", "batch")},
			offer:   testRequest("x", "a", "batch"), kind: problem.Overloaded, reason: "queue of the organisation is full",
		},
		{
			name: "daemon full", queue: Queue{MaxQueued: 1}, waiting: []Request{testRequest("1", "b", "urgent")},
			offer: testRequest("x", "a", "urgent"), kind: problem.Overloaded, reason: "queue of the daemon is full",
		},
		{
			name: "rate", queue: Queue{Organisations: limited}, waiting: []Request{testRequest("1", "r", "urgent")},
			offer: testRequest("x", "r", "urgent"), kind: problem.Overloaded, reason: "request limit of the organisation",
		},
		{
			name: "id in use", waiting: []Request{testRequest("x", "a", "urgent")},
			offer: testRequest("x", "a", "urgent"), kind: problem.Internal, reason: "request id already in use",
		},
		{
			name: "deadline passed", offer: Request{ID: "x", Service: "model", Rank: "urgent", Arrived: testStart.Add(-time.Minute)},
			kind: problem.DeadlineUnreachable, reason: "estimated first token after the deadline",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := warmQueue(t, &c.queue, 1)
			for _, r := range c.waiting {
				if d := q.Offer(testStart, r); !d.Queued {
					t.Fatalf("%s refused: %+v", r.ID, d)
				}
			}
			d := q.Offer(testStart, c.offer)
			if d.Queued != (c.kind == "") || d.Kind != c.kind || d.Reason != c.reason {
				t.Errorf("got %+v", d)
			}
			if c.kind != "" && c.kind != problem.Internal && d.RetryAfter < minRetryAfter {
				t.Errorf("RetryAfter is %v", d.RetryAfter)
			}
		})
	}
}

// TestEarlyRefusal guards against queueing a request that can't start before its
// deadline because of the backlog, and against refusing one that can.
func TestEarlyRefusal(t *testing.T) {
	q := warmQueue(t, &Queue{}, 4) // 400 tokens a second
	accepted := 0
	for i := range 100 {
		if q.Offer(testStart, testRequest(strconv.Itoa(i), "a", "urgent")).Queued {
			accepted++
		}
	}
	// 5 s less the time to the first token, at 4 requests of 100 tokens a second.
	if accepted < 18 || accepted > 21 {
		t.Errorf("accepted %d requests", accepted)
	}
	if d := q.Offer(testStart, testRequest("late", "a", "urgent")); d.Pool.Waiting != accepted || d.Pool.Running != 4 || d.Pool.FirstToken <= 0 {
		t.Errorf("a refusal has the wrong pool state: %+v", d.Pool)
	}
	if d := q.Offer(testStart, testRequest("b", "b", "urgent")); !d.Queued {
		t.Errorf("another organisation waits for its own work only, got %+v", d)
	}
}

// TestRetryAfterSpread guards against refused callers that retry all at once.
func TestRetryAfterSpread(t *testing.T) {
	q := warmQueue(t, &Queue{MaxQueued: 1}, 4)
	q.Offer(testStart, testRequest("first", "a", "batch"))
	buckets := map[time.Duration]int{}
	for i := range 1000 {
		d := q.Offer(testStart, testRequest(strconv.Itoa(i), "a", "batch"))
		buckets[d.RetryAfter/(10*time.Second)]++
	}
	// 1000 requests at 4 a second take 250 s, which maxRetryAfter cuts to 60 s.
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
			[]Request{testRequest("b", "a", "batch"), testRequest("n", "a", "normal"), testRequest("u1", "a", "urgent"), testRequest("u2", "a", "urgent")},
			[]string{"u1", "n", "b", "u2"},
		},
		{
			"a small caller behind a burst",
			[]Request{testRequest("l1", "large", "normal"), testRequest("l2", "large", "normal"), testRequest("l3", "large", "normal"), testRequest("s", "small", "normal")},
			[]string{"l1", "s", "l2", "l3"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &Queue{Ranks: testRanks}
			for _, r := range c.offer {
				q.Offer(testStart, r)
			}
			var got []string
			for range c.want {
				got = append(got, nextID(t, q, testStart))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDisplace guards against low ranks that fill the queue for urgent ones,
// and against a displaced request that Dropped doesn't return.
func TestDisplace(t *testing.T) {
	q := &Queue{Ranks: testRanks, MaxQueued: 2}
	q.Offer(testStart, testRequest("old", "a", "batch"))
	q.Offer(testStart, testRequest("new", "a", "batch"))
	if d := q.Offer(testStart, testRequest("u", "b", "urgent")); !d.Queued {
		t.Fatalf("urgent refused: %+v", d)
	}
	dropped := q.Dropped(testStart, nil)
	if len(dropped) != 1 || dropped[0].Request.ID != "new" || dropped[0].Kind != problem.Overloaded || dropped[0].RetryAfter <= 0 {
		t.Errorf("dropped %+v", dropped)
	}
	if len(q.Dropped(testStart, nil)) != 0 {
		t.Error("dropped twice")
	}
}

// TestDisplaceAfterAttempt guards against reporting a request as not run although
// it was in service.
func TestDisplaceAfterAttempt(t *testing.T) {
	q := &Queue{Ranks: testRanks, MaxQueued: 1}
	q.Offer(testStart, testRequest("ran", "a", "batch"))
	nextID(t, q, testStart)
	q.Return(testStart, Usage{ID: "ran"})
	if d := q.Offer(testStart, testRequest("u", "b", "urgent")); d.Kind != problem.Overloaded {
		t.Errorf("got %+v", d)
	}
	if dropped := q.Dropped(testStart, nil); len(dropped) != 0 {
		t.Errorf("dropped %+v", dropped)
	}
}

// TestAcceptedBefore guards against refusing a request that another daemon
// accepted and handed over: no bound, limit or deadline applies to it.
func TestAcceptedBefore(t *testing.T) {
	q := warmQueue(t, &Queue{
		MaxQueued:     1,
		Organisations: []Organisation{{Name: "a", MaxQueued: 1, RequestsPerSecond: 0.001}},
	}, 1)
	if d := q.Offer(testStart, testRequest("full", "a", "batch")); !d.Queued {
		t.Fatalf("got %+v", d)
	}
	accepted := testRequest("moved", "a", "normal")
	accepted.Accepted, accepted.Arrived = true, testStart.Add(-time.Minute)
	if d := q.Offer(testStart, accepted); !d.Queued {
		t.Errorf("got %+v", d)
	}
	// Urgent requests displace the new request, but not the accepted one.
	if d := q.Offer(testStart, testRequest("u0", "b", "urgent")); !d.Queued {
		t.Errorf("got %+v", d)
	}
	if d := q.Offer(testStart, testRequest("u1", "b", "urgent")); d.Kind != problem.Overloaded {
		t.Errorf("got %+v", d)
	}
	now := testStart.Add(time.Minute)
	for _, d := range q.Dropped(now, nil) {
		if d.Request.ID == "moved" {
			t.Errorf("dropped %+v", d)
		}
	}
	if id := nextID(t, q, now); id != "moved" {
		t.Errorf("got %s", id)
	}
}

// TestExpired guards against serving a request after its deadline, also
// between two scans of the queue.
func TestExpired(t *testing.T) {
	q := &Queue{Ranks: testRanks}
	for i, deadline := range []time.Duration{5 * time.Second, 5*time.Second + 10*time.Millisecond} {
		r := testRequest("u"+strconv.Itoa(i), "a", "urgent")
		r.Deadline = testStart.Add(deadline)
		q.Offer(testStart, r)
	}
	q.Offer(testStart, testRequest("b", "a", "batch"))
	now := testStart.Add(5*time.Second + time.Millisecond)
	if d := q.Dropped(now, nil); len(d) != 1 || d[0].Request.ID != "u0" || d[0].Kind != problem.DeadlineUnreachable {
		t.Errorf("dropped %+v", d)
	}
	now = now.Add(20 * time.Millisecond)
	if id := nextID(t, q, now); id != "b" {
		t.Errorf("got %s", id)
	}
	if d := q.Dropped(now, nil); len(d) != 1 || d[0].Request.ID != "u1" {
		t.Errorf("dropped %+v", d)
	}
}

// TestIdleCredit guards against an organisation that keeps all others waiting
// after a long idle time.
func TestIdleCredit(t *testing.T) {
	q := &Queue{Ranks: testRanks[2:], IdleCredit: 500}
	q.Offer(testStart, testRequest("first", "idle", "batch"))
	nextID(t, q, testStart)
	q.Done(testStart, Usage{ID: "first", OutputTokens: 100})
	for i := range 1000 {
		q.Offer(testStart, testRequest(strconv.Itoa(i), "busy", "batch"))
		q.Done(testStart, Usage{ID: nextID(t, q, testStart), OutputTokens: 100})
	}
	q.Offer(testStart, testRequest("busy", "busy", "batch"))
	for i := range 50 {
		q.Offer(testStart, testRequest("burst-"+strconv.Itoa(i), "idle", "batch"))
	}
	ahead := 0
	for nextID(t, q, testStart) != "busy" {
		ahead++
	}
	// 5 for the credit, 1 for the last request of the busy organisation, 1 for equal tags.
	if ahead < 5 || ahead > 7 {
		t.Errorf("%d requests of 100 tokens went ahead with a credit of 500", ahead)
	}
}

// TestDoneCorrects guards against shares by estimated work: an organisation whose
// requests turn out longer must be served less often.
func TestDoneCorrects(t *testing.T) {
	q := &Queue{Ranks: testRanks[2:]}
	for i := range 100 {
		q.Offer(testStart, testRequest("long-"+strconv.Itoa(i), "long", "batch"))
		q.Offer(testStart, testRequest("short-"+strconv.Itoa(i), "short", "batch"))
	}
	served := map[string]int{}
	for range 60 {
		r, _ := q.Next(testStart, modelCapacity)
		u := Usage{ID: r.ID, OutputTokens: 20}
		if r.Organisation == "long" {
			u.OutputTokens = 100
		}
		served[r.Organisation] += u.OutputTokens
		q.Done(testStart, u)
	}
	if d := served["long"] - served["short"]; d < -100 || d > 100 {
		t.Errorf("served tokens %v", served)
	}
}

// TestReturn guards against a resumed request that loses its position, its count
// of generated tokens, or the count of recomputed tokens.
func TestReturn(t *testing.T) {
	q := &Queue{Ranks: testRanks}
	q.Offer(testStart, testRequest("1", "a", "batch"))
	q.Offer(testStart, testRequest("2", "a", "batch"))
	nextID(t, q, testStart)
	if !q.Return(testStart, Usage{ID: "1", PromptTokens: 10, OutputTokens: 30}) || q.Return(testStart, Usage{ID: "1"}) {
		t.Fatal("Return must accept a request in service once")
	}
	r, _ := q.Next(testStart, modelCapacity)
	if r.ID != "1" || r.PromptTokens != 30 || r.MaxTokens != 70 || r.Generated != 30 || q.Stats(testStart).Recomputed != 40 {
		t.Errorf("got %+v, recomputed %d", r, q.Stats(testStart).Recomputed)
	}
}

// TestConfigure guards against losing requests in a change of configuration.
func TestConfigure(t *testing.T) {
	q := &Queue{Ranks: testRanks}
	for _, rank := range []string{"batch", "normal", "urgent"} {
		q.Offer(testStart, testRequest(rank, "a", rank))
	}
	nextID(t, q, testStart)
	q.Configure([]Rank{testRanks[1], testRanks[0]}, []Organisation{{Name: "a", Weight: 2}})
	if !q.Done(testStart, Usage{ID: "urgent"}) {
		t.Error("the running request is unknown")
	}
	if got := []string{nextID(t, q, testStart), nextID(t, q, testStart)}; !cmp.Equal(got, []string{"normal", "batch"}) {
		t.Errorf("got %v", got)
	}
}

func peerUsage(daemon string, sequence int64, tokens float64, age time.Duration) []PeerUsage {
	return []PeerUsage{{Daemon: daemon, Organisation: "a", Rank: "batch", Service: "model", Sequence: sequence, Tokens: tokens, Age: age}}
}

// TestMerge guards against charging work twice, or work that is too old or from before
// the first report.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports [][]PeerUsage
		charged float64
	}{
		{"first contact", [][]PeerUsage{peerUsage("p", 1, 500, 0)}, 0},
		{"first report of a counter", [][]PeerUsage{{{Daemon: "p", Organisation: "b", Rank: "batch", Service: "model", Sequence: 1}}, peerUsage("p", 2, 500, 0)}, 0},
		{"difference", [][]PeerUsage{peerUsage("p", 1, 500, 0), peerUsage("p", 2, 700, 0)}, 200},
		{"repeated", [][]PeerUsage{peerUsage("p", 1, 500, 0), peerUsage("p", 2, 700, 0), peerUsage("p", 2, 700, 0)}, 200},
		{"out of order", [][]PeerUsage{peerUsage("p", 1, 500, 0), peerUsage("p", 3, 700, 0), peerUsage("p", 2, 600, 0)}, 200},
		{"restarted", [][]PeerUsage{peerUsage("p", 1, 500, 0), peerUsage("p", 2, 80, 0)}, 80},
		{"stale", [][]PeerUsage{peerUsage("p", 1, 500, 0), peerUsage("p", 2, 700, time.Minute)}, 0},
		{"own", [][]PeerUsage{peerUsage("me", 1, 500, 0), peerUsage("me", 2, 700, 0)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &Queue{Daemon: "me", Ranks: testRanks}
			q.Offer(testStart, testRequest("1", "a", "batch"))
			f := q.pools[0].ranks[2].flows[0]
			before := f.startTag
			for _, reports := range c.reports {
				q.MergeUsage(testStart, reports)
			}
			if got := f.startTag - before; got != c.charged {
				t.Errorf("charged %v, not %v", got, c.charged)
			}
		})
	}
	q := &Queue{Daemon: "me", Ranks: testRanks}
	q.Offer(testStart, testRequest("1", "a", "batch"))
	q.Offer(testStart, testRequest("2", "b", "batch"))
	q.MergeUsage(testStart, peerUsage("p", 1, 0, 0))
	q.MergeUsage(testStart.Add(time.Hour), peerUsage("p", 2, 1e9, 0))
	flows := q.pools[0].ranks[2].flows
	if lead := flows[0].startTag - flows[1].startTag; lead > 2*DefaultIdleCredit {
		t.Errorf("charged %v after an hour of silence", lead)
	}
}

// TestRemoveSilentPeers guards against memory that grows with each replaced daemon.
func TestRemoveSilentPeers(t *testing.T) {
	q := &Queue{Daemon: "me", Ranks: testRanks}
	for i := range 100 {
		now := testStart.Add(time.Duration(i) * time.Minute)
		for sequence := range int64(2) {
			q.MergeUsage(now, peerUsage("p"+strconv.Itoa(i), sequence+1, float64(sequence), 0))
		}
	}
	if n := len(q.peerCounters) + len(q.peerDaemons) + len(q.orgs[0].rateLimit.peerDemands); n > 3*7 {
		t.Errorf("%d entries of 100 daemons remain", n)
	}
}

// TestCounters guards against counters that decrease when an estimate is corrected.
func TestCounters(t *testing.T) {
	q := &Queue{Daemon: "me", Ranks: testRanks}
	q.Offer(testStart, testRequest("1", "a", "batch"))
	nextID(t, q, testStart)
	before := q.AppendUsage(testStart, nil)
	q.Done(testStart, Usage{ID: "1", OutputTokens: 2})
	after := q.AppendUsage(testStart.Add(time.Second), nil)
	if len(after) != 1 || after[0].Tokens < before[0].Tokens || after[0].Sequence <= before[0].Sequence || after[0].Requests != 1 {
		t.Errorf("before %+v after %+v", before, after)
	}
}
