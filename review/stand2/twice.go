package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// eventTime is the time between two events of a stream.
	eventTime = 50 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 60
	// preemption is how long the preempted runs of the busy server rest. Clients wait for four times the objective
	// (1 s) between two events.
	preemption = 2600 * time.Millisecond
	// allowedOverlap is the time for which two servers may work on a request (rule TWICE).
	allowedOverlap = 400 * time.Millisecond
)

// run is one run of a request at a server.
type run struct {
	server       string
	from         int
	began, ended time.Time
	// lastWork is when the run made its last event.
	lastWork time.Time
}

// engines is a service of model servers with the runs of their requests.
type engines struct {
	rec  *recorder
	mu   sync.Mutex
	runs map[string][]*run
	// resting has the time until which a preempted run rests.
	resting map[*run]time.Time
}

func (e *engines) begin(id string, r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id] = append(e.runs[id], r)
}

func (e *engines) worked(r *run, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.lastWork = time.Now()
	if ended {
		r.ended = r.lastWork
	}
}

// rest waits while a run is preempted.
func (e *engines) rest(r *run) {
	e.mu.Lock()
	until := e.resting[r]
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// preempt lets the newer half of the runs at a server rest, and returns their number.
func (e *engines) preempt(server string, until time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var active []*run
	for _, runs := range e.runs {
		for _, r := range runs {
			if r.server == server && r.ended.IsZero() {
				active = append(active, r)
			}
		}
	}
	slices.SortFunc(active, func(a, b *run) int { return b.began.Compare(a.began) })
	active = active[:(len(active)+1)/2]
	for _, r := range active {
		e.resting[r] = until
	}
	return len(active)
}

// stream answers a request with its events. It works on to the end when its connection has closed: most servers
// drop a request then, this one does not.
func (e *engines) stream(s *server) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // A broken body ends the request below.
		id := r.Header.Get("X-Apricotbridge-Attempt-Id")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none.
		this := &run{server: s.id, from: from, began: time.Now()}
		e.begin(id, this)
		e.rec.note("server %s begins %s after event %d", s.id, id, from)
		h := w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("X-Apricotbridge-Server-Signature", s.signature(id))
		h.Set("X-Apricotbridge-Weight-Versions", "1")
		w.WriteHeader(http.StatusOK)
		open := true
		total := outputTokens(r)
		for n := from + 1; n <= total; n++ {
			time.Sleep(eventTime)
			e.rest(this)
			if open {
				_, err := io.WriteString(w, event(id, s.id, n))
				if err == nil {
					err = http.NewResponseController(w).Flush()
				}
				if err != nil || r.Context().Err() != nil {
					open = false
					e.rec.note("server %s: connection of %s has closed at event %d", s.id, id, n)
				}
			}
			e.worked(this, n == total)
		}
		e.rec.note("server %s ends %s", s.id, id)
	}
}

// streamConfiguration has a route of streams that may be resumed, like the first kind of request of the site.
func streamConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "draft", "hostname": "h.example", "prefix": "/draft/", "type": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000, "priority": 1,
			"backend": "llm", "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResumption": true, "targetGapMs": 300,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthCheckPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"capacity": 64, "kvCapacityTokens": 631747},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "t1", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "token", "uncachedTokens": 200, "ratePerS": 4000000, "burst": 4000000,
		}},
	}
}

// runTwice plays the case.
func runTwice(c *config) (broken bool, err error) {
	e := &engines{rec: c.rec, runs: map[string][]*run{}, resting: map[*run]time.Time{}}
	var servers []*server
	for i, zone := range []string{"kuressaare", "orissaare", "kuressaare"} {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zone, capacity: 64, engine: true, version: "v1", store: c.store}
		s.handle = e.stream(s)
		if err := s.start(16); err != nil {
			return false, err
		}
		defer s.exit()
		servers = append(servers, s)
	}
	c.store.put("op/config", streamConfiguration())
	if err := c.startGateways("kuressaare", "orissaare"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var sent, whole, failed atomic.Int64
	wg.Go(func() {
		t := time.NewTicker(time.Second / 50)
		defer t.Stop()
		for n := 0; time.Since(c.rec.started) < 24*time.Second; n++ {
			<-t.C
			g := c.gateways[n%len(c.gateways)]
			wg.Go(func() {
				sent.Add(1)
				if err := readStream(ctx, g.callers, fmt.Sprintf("%016x", n+1), n); err != nil {
					failed.Add(1)
					c.rec.note("client: %016x %v", n+1, err)
					return
				}
				whole.Add(1)
			})
		}
	})
	if c.trouble {
		for range 2 {
			time.Sleep(7 * time.Second)
			busy := servers[0]
			busy.accepting.Store(false)
			n := e.preempt(busy.id, time.Now().Add(preemption))
			c.rec.note("server %s preempts %d runs and accepts no connections for %v", busy.id, n, preemption)
			time.Sleep(preemption)
			busy.accepting.Store(true)
			c.rec.note("server %s goes on", busy.id)
		}
	}
	wg.Wait()
	time.Sleep(4 * time.Second) // Runs without a connection end.
	e.mu.Lock()
	defer e.mu.Unlock()
	overlaps := 0
	for id, runs := range e.runs {
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			if over := before.lastWork.Sub(after.began); over > allowedOverlap {
				overlaps++
				c.rec.note("TWICE: %s goes on at %s at %.3f s after event %d; %s worked on it until %.3f s", id, after.server, c.rec.since(after.began), after.from, before.server, c.rec.since(before.lastWork))
			}
		}
	}
	c.rec.note("%d streams sent, %d whole, %d failed; %d went on at another server while the one before worked on for over %v", sent.Load(), whole.Load(), failed.Load(), overlaps, allowedOverlap)
	return overlaps > 0, nil
}

var streamClient = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
}}

// openStream sends a request and returns its answer, which has status 200.
func openStream(ctx context.Context, address, id string, n int) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/draft/2f", strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"X-Apricotbridge-Attempt-Id": id, "X-Apricotbridge-Deadline-Ms": "12000", "X-Apricotbridge-Key": "key-1", "X-Apricotbridge-Model": "m",
		"X-Apricotbridge-Token-Usage": fmt.Sprintf("400,%d", streamEvents), "X-Apricotbridge-Prompt-Prefix": fmt.Sprintf("%x:300,%x:100", 1000+n%40, 100000+n),
	} {
		req.Header.Set(name, value)
	}
	res, err := streamClient.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body) // For the record only.
		_ = res.Body.Close()
		return nil, fmt.Errorf("status %d %.200s", res.StatusCode, body)
	}
	return res, nil
}

// readStream sends a request and reads its events.
func readStream(ctx context.Context, address, id string, n int) error {
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	res, err := openStream(ctx, address, id, n)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	last := 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			k, err := strconv.Atoi(v)
			if err != nil || k != last+1 {
				return fmt.Errorf("event %q after %d", v, last)
			}
			last = k
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("after event %d: %w", last, err)
	}
	if last != streamEvents {
		return errors.New("ended early")
	}
	return nil
}
