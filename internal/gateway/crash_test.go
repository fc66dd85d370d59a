package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotbridge/internal/fleet"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
	"apricotbridge/pkg/problem"
)

const (
	// crashSeed seeds the choice of daemons.
	crashSeed = 1
	// crashGateways is the number of daemons in tests of crashing servers.
	crashGateways = 6
	// crashDowntime is how long a crashed server is away.
	crashDowntime = 2 * time.Second
	// evidenceBound is the time after the last tolerated crash from which at most
	// maxLateSends requests may still reach a server (deployment bounds: contact of 4 s,
	// three requests).
	evidenceBound = 4 * time.Second
	maxLateSends  = 3
	// minSoundShare is the least share of the service before the crashes that other
	// requests must get afterwards.
	minSoundShare = 0.98
)

// crashingServers are backend servers that crash when they begin to answer a poisonous
// request, and come back at the same address under another id.
type crashingServers struct {
	env       *testEnv
	service   string
	poisonous func(*http.Request) bool
	answer    http.HandlerFunc
	// begins writes the start of the answer to a poisonous request; nil means none.
	begins http.HandlerFunc

	mu      sync.Mutex
	crashes []time.Time
	// poisonousSends are the times at which poisonous requests reached a server.
	poisonousSends []time.Time
	running        map[*http.Server]bool
	closed         bool
	pending        sync.WaitGroup
}

// close stops all servers and waits for their goroutines.
func (c *crashingServers) close() {
	c.mu.Lock()
	c.closed = true
	for server := range c.running {
		_ = server.Close() // Ends the listener and all connections.
	}
	c.mu.Unlock()
	c.pending.Wait()
}

// start starts one incarnation of a server. An empty address means any.
func (c *crashingServers) start(name string, incarnation int64, address string) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		c.env.t.Errorf("server %s: %v", name, err)
		return
	}
	id := fmt.Sprintf("%s-%d", name, incarnation)
	server := &http.Server{ReadHeaderTimeout: time.Second}
	crash := sync.OnceFunc(func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		delete(c.running, server)
		c.mu.Unlock()
		_ = server.Close() // Ends the listener and all connections.
		c.pending.Go(func() {
			time.Sleep(crashDowntime)
			c.env.store.remove("servers/" + id)
			c.start(name, incarnation+1, listener.Addr().String())
		})
	})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if !c.poisonous(r) {
			c.answer(w, r)
			return
		}
		c.mu.Lock()
		c.poisonousSends = append(c.poisonousSends, time.Now())
		c.mu.Unlock()
		if c.begins != nil {
			c.begins(w, r)
		}
		time.Sleep(30 * time.Millisecond)
		crash()
	})
	c.pending.Go(func() { _ = server.Serve(listener) }) // Ends with the listener.
	if c.running == nil {
		c.running = map[*http.Server]bool{}
	}
	c.running[server] = true
	c.env.store.set("servers/"+id, fleet.Server{
		ID: id, Incarnation: incarnation, Address: listener.Addr().String(), Service: c.service, Place: "a", Slots: 8,
	})
}

// lateSends returns how many poisonous requests reached servers later than evidenceBound
// after the crash with the given number, and how many crashes there were.
func (c *crashingServers) lateSends(limit int) (late, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < limit {
		return 0, len(c.crashes)
	}
	bound := c.crashes[limit-1].Add(evidenceBound)
	for _, at := range c.poisonousSends {
		if at.After(bound) {
			late++
		}
	}
	return late, len(c.crashes)
}

// crashLoad is the load of a test of crashing servers, spread over all daemons.
type crashLoad struct {
	sound, poisonous func(n int) (path string, header []string)
	// soundPerSecond and poisonousPerSecond are the rates. Poisonous requests begin after
	// calm and last for poisoned.
	soundPerSecond, poisonousPerSecond int
	calm, poisoned                     time.Duration
}

// run sends the load and returns the shares of sound requests that were served before and
// after poisonous ones began.
func (l *crashLoad) run(t *testing.T, gateways []*testGateway) (before, after float64) {
	random := rand.New(rand.NewPCG(crashSeed, 1)) //nolint:gosec // Not for secrets.
	var mu sync.Mutex
	var served, sent [2]int
	var senders sync.WaitGroup
	send := func(phase int, path string, header []string) {
		gw := gateways[random.IntN(len(gateways))]
		senders.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			got := gw.send(ctx, http.MethodPost, path, header...)
			mu.Lock()
			defer mu.Unlock()
			if phase >= 0 {
				sent[phase]++
				if got.err == nil && got.status == http.StatusOK {
					served[phase]++
				}
			}
		})
	}
	start := time.Now()
	next := [2]time.Time{start, start.Add(l.calm)}
	gap := [2]time.Duration{time.Second / time.Duration(l.soundPerSecond), time.Second / time.Duration(l.poisonousPerSecond)}
	for n := 0; time.Since(start) < l.calm+l.poisoned; n++ {
		now := time.Now()
		if !now.Before(next[0]) {
			next[0] = next[0].Add(gap[0])
			path, header := l.sound(n)
			phase := 0
			if now.After(start.Add(l.calm)) {
				phase = 1
			}
			send(phase, path, header)
		}
		if !now.Before(next[1]) {
			next[1] = next[1].Add(gap[1])
			path, header := l.poisonous(n)
			send(-1, path, header)
		}
		time.Sleep(time.Millisecond)
	}
	senders.Wait()
	t.Logf("seed %d: sound requests served: %d of %d before, %d of %d after", crashSeed, served[0], sent[0], served[1], sent[1])
	return float64(served[0]) / float64(sent[0]), float64(served[1]) / float64(sent[1])
}

// check checks the late sends and the service of sound requests.
func (c *crashingServers) check(limit int, before, after float64) {
	c.env.t.Helper()
	late, crashes := c.lateSends(limit)
	c.env.t.Logf("%d crashes, %d sends later than %v after crash %d", crashes, late, evidenceBound, limit)
	if crashes < limit {
		c.env.t.Errorf("%d crashes, want %d for the test to say anything", crashes, limit)
	}
	if late > maxLateSends {
		c.env.t.Errorf("poisonous requests reached servers %d times later than %v after crash %d, want at most %d", late, evidenceBound, limit, maxLateSends)
	}
	if after < minSoundShare*before {
		c.env.t.Errorf("sound requests: %.3f served after the first poisonous one, %.3f before", after, before)
	}
}

// TestRequestThatCrashesServersIsRefusedByAllDaemons guards against a request that crashes
// server after server because each daemon takes it for a new one.
func TestRequestThatCrashesServersIsRefusedByAllDaemons(t *testing.T) {
	for _, c := range []struct {
		name   string
		places []string
		// meshMax is Gateway.MeshMax.
		meshMax int
	}{
		{"mesh", []string{"a"}, crashGateways},
		{"links by place", []string{"a", "b", "c"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			servers := env.addCrashingServers(12)
			gateways := env.startLinked(c.places, c.meshMax)
			load := crashLoad{
				sound:          func(n int) (string, []string) { return fmt.Sprintf("/safe/sound/%d", n), nil },
				poisonous:      func(int) (string, []string) { return "/safe/poison", nil },
				soundPerSecond: 50, poisonousPerSecond: 10, calm: 2 * time.Second, poisoned: 8 * time.Second,
			}
			before, after := load.run(t, gateways)
			servers.check(3, before, after)
		})
	}
}

// TestPromptPartThatCrashesServersIsRefusedByAllDaemons guards against one part of prompts that
// crashes server after server because no two requests with it are alike.
func TestPromptPartThatCrashesServersIsRefusedByAllDaemons(t *testing.T) {
	for _, c := range []struct {
		name string
		// firstParts is the number of parts behind which the poisonous one stands.
		firstParts int
	}{
		{"behind one part", 1},
		{"behind eight parts", 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			servers := &crashingServers{
				env: env, service: "model",
				answer: func(w http.ResponseWriter, r *http.Request) {
					writeStream(w, r, 5)
					time.Sleep(100 * time.Millisecond)
					_, _ = w.Write([]byte(event(6))) // An error shows in what the caller receives.
				},
				begins: func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("X-Signature", "s")
					_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
				},
				poisonous: func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Parts"), ",poison,") },
			}
			t.Cleanup(servers.close)
			for i := range 20 {
				servers.start(fmt.Sprint("s", i), 1, "")
			}
			gateways := env.startLinked([]string{"a"}, crashGateways)
			prompt := func(n int, second string) (string, []string) {
				return fmt.Sprintf("/stream/%d", n), []string{"X-Parts", fmt.Sprintf("first%d,%s,last%d", n%c.firstParts, second, n)}
			}
			load := crashLoad{
				sound:          func(n int) (string, []string) { return prompt(n, fmt.Sprint("second", n%40)) },
				poisonous:      func(n int) (string, []string) { return prompt(n, "poison") },
				soundPerSecond: 45, poisonousPerSecond: 15, calm: 2 * time.Second, poisoned: 8 * time.Second,
			}
			before, after := load.run(t, gateways)
			servers.check(5, before, after)
		})
	}
}

// addCrashingServers starts plain servers, which requests with the path /safe/poison crash.
func (env *testEnv) addCrashingServers(n int) *crashingServers {
	servers := &crashingServers{
		env: env, service: "plain", answer: func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			signedAnswer("ok")(w, r)
		},
		poisonous: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe/poison") },
	}
	env.t.Cleanup(servers.close)
	for i := range n {
		servers.start(fmt.Sprint("s", i), 1, "")
	}
	return servers
}

// startLinked starts crashGateways daemons in turn in the places and waits until all are
// linked.
func (env *testEnv) startLinked(places []string, meshMax int) []*testGateway {
	env.t.Helper()
	var gateways []*testGateway
	for i := range crashGateways {
		gateways = append(gateways, env.startIn(fmt.Sprint("g", i), places[i%len(places)], meshMax))
	}
	for _, gw := range gateways {
		waitFor(env.t, "daemons hear each other", func() bool {
			if !gw.Ready() {
				return false
			}
			alive := 0
			for _, d := range gw.view.Load().Daemons {
				if d.Alive {
					alive++
				}
			}
			return alive == crashGateways
		})
	}
	return gateways
}

// TestRefusedSuspectOutlastsDaemons guards against running a request again that crashed
// servers because all daemons that knew of it have ended.
func TestRefusedSuspectOutlastsDaemons(t *testing.T) {
	env := newTestEnv(t)
	servers := env.addCrashingServers(5)
	first := env.startReady("g1")
	waitFor(t, "the suspect is recorded in the store", func() bool {
		first.send(t.Context(), http.MethodPost, "/safe/poison")
		entries, _, err := env.store.List(t.Context(), suspectPrefix)
		return err == nil && len(entries) == 1
	})
	first.cancel()
	second := env.startReady("g2")
	waitFor(t, "the suspect is read from the store", func() bool {
		return len(second.dispatcher.RefusedSuspects(time.Now())) == 1
	})
	_, before := servers.lateSends(1)
	got := second.send(t.Context(), http.MethodPost, "/safe/poison")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want 503 with Retry-After", got)
	}
	if _, after := servers.lateSends(1); after != before {
		t.Errorf("%d crashes, %d before", after, before)
	}
	if got := second.send(t.Context(), http.MethodPost, "/safe/other"); got.status != http.StatusOK {
		t.Errorf("another request got %+v", got)
	}
}

// TestStoredSuspectReachesAllDaemonsOfPlace guards against a daemon that runs a refused suspect
// because only the delegates of its place watch the store.
func TestStoredSuspectReachesAllDaemonsOfPlace(t *testing.T) {
	env := newTestEnv(t)
	gateways := env.startLinked([]string{"a"}, 1)
	env.store.set(suspectPrefix+"unreadable", "") // Ends the first watch of the others.
	time.Sleep(200 * time.Millisecond)
	record := message.SuspectRecord{Suspect: 7}
	for i := range uint64(3) {
		age := int64(1000 - 100*i) //nolint:gosec // Small.
		record.Crashes = append(record.Crashes, message.CrashedRun{Server: i, Began: age, Ended: age - 50, Confirmed: true})
	}
	env.store.set(suspectKey(record.Suspect), suspectEntry{WrittenAt: time.Now().UnixMilli(), Record: record})
	for _, gw := range gateways {
		waitFor(t, "the suspect is refused", func() bool { return len(gw.dispatcher.RefusedSuspects(time.Now())) == 1 })
	}
}

// TestLostEvidenceIsSentAgain guards against daemons that differ for good in what they refuse,
// because the message with the evidence, or with what cleared it, was lost.
func TestLostEvidenceIsSentAgain(t *testing.T) {
	env := newTestEnv(t)
	gateways := env.startLinked([]string{"a"}, 1)
	record := message.SuspectRecord{Suspect: 7}
	for i := range uint64(3) {
		age := int64(1000 - 100*i) //nolint:gosec // Small.
		record.Crashes = append(record.Crashes, message.CrashedRun{Server: i, Began: age, Ended: age - 50, Confirmed: true})
	}
	refused := func(gw *testGateway) int { return len(gw.dispatcher.RefusedSuspects(time.Now())) }
	// The dispatcher alone does not announce what was merged.
	gateways[0].dispatcher.MergeEvidence(time.Now(), []message.SuspectRecord{record})
	for _, gw := range gateways {
		waitFor(t, gw.Daemon+" refuses the suspect", func() bool { return refused(gw) == 1 })
	}
	for i := range record.Crashes {
		record.Crashes[i].Cleared = true
	}
	gateways[1].dispatcher.MergeEvidence(time.Now(), []message.SuspectRecord{record})
	for _, gw := range gateways {
		waitFor(t, gw.Daemon+" no longer refuses it", func() bool { return refused(gw) == 0 })
	}
}

// TestRecordOfClearedSuspectIsDeleted guards against a suspect that later daemons refuse although
// it was cleared, and against deleting the record of one that was not.
func TestRecordOfClearedSuspectIsDeleted(t *testing.T) {
	env := newTestEnv(t)
	env.reporter = discardReports{}
	env.addCrashingServers(5)
	gw := env.startReady("g1")
	recorded := func() []keyvalue.Entry {
		entries, _, err := env.store.List(t.Context(), suspectPrefix)
		if err != nil {
			t.Error(err)
		}
		return entries
	}
	waitFor(t, "the suspect is recorded in the store", func() bool {
		gw.send(t.Context(), http.MethodPost, "/safe/poison")
		return len(recorded()) == 1
	})
	waitFor(t, "the daemon holds the duty", gw.holdsDuty.Load)
	time.Sleep(2 * recordInterval)
	if n := len(recorded()); n != 1 {
		t.Fatalf("%d records of a refused suspect", n)
	}
	suspect := gw.dispatcher.RefusedSuspects(time.Now())[0]
	for i := range suspect.Crashes {
		suspect.Crashes[i].Cleared = true
	}
	gw.dispatcher.MergeEvidence(time.Now(), []message.SuspectRecord{suspect})
	waitFor(t, "the record is deleted", func() bool { return len(recorded()) == 0 })
}

// TestLostAnswersAccuseNobody guards against refusing a request whose answers were lost by
// servers that did not crash.
func TestLostAnswersAccuseNobody(t *testing.T) {
	env := newTestEnv(t)
	for i := range 6 {
		env.addServer(fmt.Sprint("s", i), "plain", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(30 * time.Millisecond)
			closeConnection(w)
		})
	}
	gw := env.startReady("g1")
	for n := range 4 {
		if got := gw.send(t.Context(), http.MethodPost, "/safe/same"); strings.Contains(got.body, string(problem.Quarantined)) {
			t.Errorf("request %d: got %+v", n, got)
		}
	}
}
