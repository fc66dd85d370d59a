package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/problem"
)

// severableStore is a store from which a daemon can be cut off.
type severableStore struct {
	*store
	severed atomic.Bool
}

func (s *severableStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if s.severed.Load() {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	return s.store.Get(ctx, key)
}

func (s *severableStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error) {
	if s.severed.Load() {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	return s.store.CompareAndSwap(ctx, key, value, revision, lease)
}

// TestDutyOfDaemonWithoutStoreMovesOn guards against a duty that nobody performs for the lease
// time and longer after its holder was cut off from the store, although its peers are not.
func TestDutyOfDaemonWithoutStoreMovesOn(t *testing.T) {
	env := newTestEnv(t)
	env.reporter = discardReports{}
	cut := &severableStore{store: env.store}
	env.gatewayStore = cut
	first := env.startReady("g1")
	waitFor(t, "the first daemon holds the duty", first.holdsDuty.Load)
	env.gatewayStore = nil
	second := env.startReady("g2")
	waitFor(t, "the daemons are linked", func() bool { return len(second.hub.Peers()) == 1 })
	time.Sleep(2 * dutyHolderTimeout) // The second daemon has no reason to read the lease.
	cut.severed.Store(true)
	cutAt := time.Now()
	waitFor(t, "the second daemon holds the duty", second.holdsDuty.Load)
	// The lease, a status and the calls of the next holder.
	if took := time.Since(cutAt); took > first.Bounds.Lease+600*time.Millisecond {
		t.Errorf("taken over after %v", took)
	}
	if first.holdsDuty.Load() {
		t.Error("both daemons hold the duty")
	}
}

// listsOnlyDaemons is a store that does not answer reads of the configuration and the servers.
type listsOnlyDaemons struct{ *store }

func (s listsOnlyDaemons) Get(context.Context, string) (keyvalue.Entry, error) {
	return keyvalue.Entry{}, keyvalue.ErrUnavailable
}

func (s listsOnlyDaemons) List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error) {
	if prefix == "servers/" {
		return nil, 0, keyvalue.ErrUnavailable
	}
	return s.store.List(ctx, prefix)
}

// TestPeersSupplyDaemonThatCannotReadTheStore guards against a daemon that refuses all requests
// after its start although its peers know the configuration and the servers.
func TestPeersSupplyDaemonThatCannotReadTheStore(t *testing.T) {
	for _, meshMax := range []int{0, 1} {
		t.Run(fmt.Sprint("mesh of ", meshMax), func(t *testing.T) {
			env := newTestEnv(t)
			env.addServer("s1", "plain", signedAnswer("ok"))
			first := env.startIn("g1", "a", meshMax)
			waitFor(t, "the first daemon is ready", first.Ready)
			env.gatewayStore = listsOnlyDaemons{env.store}
			second := env.startIn("g2", "a", meshMax)
			waitFor(t, "the second daemon is ready", second.Ready)
			if got := second.send(t.Context(), http.MethodPost, "/unsafe/x"); got.status != http.StatusOK {
				t.Errorf("got %+v", got)
			}
			env.register(env.addServer("s2", "plain", signedAnswer("ok")), "plain", false)
			waitFor(t, "the second daemon follows changes", func() bool { return second.accepting("s2") })
		})
	}
}

// missListing makes change, which alters the store, known to first while first has no link to second.
func (env *testEnv) missListing(first, second *testGateway, change func(*control)) {
	done := make(chan struct{})
	first.post(func(c *control) {
		defer close(done)
		delete(c.peers, second.Daemon)
		change(c)
		entries, revision, err := env.store.List(env.t.Context(), c.g.Keys.Servers)
		if err != nil {
			env.t.Error(err)
		}
		c.applyListing(time.Now(), env.store.Era(), revision, entries)
	})
	<-done
}

// TestMissedListingIsSentAgain guards against requests to servers that left, by a daemon that missed one listing.
func TestMissedListingIsSentAgain(t *testing.T) {
	for _, meshMax := range []int{0, 1} {
		t.Run(fmt.Sprint("mesh of ", meshMax), func(t *testing.T) {
			env := newTestEnv(t)
			leaving, ended := env.addServer("s1", "plain", signedAnswer("ok")), env.addServer("s2", "plain", signedAnswer("ok"))
			first := env.startIn("g1", "a", meshMax)
			waitFor(t, "the first daemon is ready", first.Ready)
			env.gatewayStore = listsOnlyDaemons{env.store}
			second := env.startIn("g2", "a", meshMax)
			waitFor(t, "the second daemon is ready", second.Ready)
			env.missListing(first, second, func(*control) {
				env.register(leaving, "plain", true)
				env.store.remove("servers/" + ended.id)
			})
			missed := time.Now()
			waitFor(t, "the second daemon sends nothing to the servers that left", func() bool {
				return !second.accepting("s1") && !second.accepting("s2")
			})
			// The shortest time that the platform leaves for it is 2.5 s.
			if took := time.Since(missed); took > 2500*time.Millisecond {
				t.Errorf("learned of after %v", took)
			}
		})
	}
}

// followedBy starts a daemon that reads the store, and one that learns of it only from the first.
func (env *testEnv) followedBy() (first, second *testGateway) {
	first = env.startReady("g1")
	env.gatewayStore = listsOnlyDaemons{env.store}
	second = env.startReady("g2")
	env.gatewayStore = nil
	waitFor(env.t, "the daemons are linked", func() bool { return len(first.hub.Peers()) == 1 && len(second.hub.Peers()) == 1 })
	return first, second
}

// TestEndOfRegistrationIsPassedOnAfterAnOutage guards against peers that keep using a server which the reader of the store keeps for a while.
func TestEndOfRegistrationIsPassedOnAfterAnOutage(t *testing.T) {
	env := newTestEnv(t)
	ended := env.addServer("s1", "plain", signedAnswer("ok"))
	returned := env.addServer("s2", "plain", signedAnswer("ok"))
	first, second := env.followedBy()
	first.post(func(c *control) { c.fleet.NoteOutage(time.Now()) })
	env.store.remove("servers/" + ended.id)
	env.store.remove("servers/" + returned.id)
	waitFor(t, "the end is read", func() bool { return first.lapsed("s1") && first.lapsed("s2") })
	read := time.Now()
	env.register(returned, "plain", false)
	waitFor(t, "the second daemon sends nothing to the ended server", func() bool { return !second.accepting("s1") })
	if took := time.Since(read); took > 2500*time.Millisecond {
		t.Errorf("learned of after %v", took)
	}
	time.Sleep(2 * expireInterval)
	if !first.accepting("s2") || !second.accepting("s2") {
		t.Error("the server whose registration returned is not used")
	}
}

// TestServerWhoseEntryWasSpoiltStaysInUse guards against peers that give up a sound server whose entry was spoilt for a moment.
func TestServerWhoseEntryWasSpoiltStaysInUse(t *testing.T) {
	env := newTestEnv(t)
	s1 := env.addServer("s1", "plain", signedAnswer("ok"))
	first, second := env.followedBy()
	waitFor(t, "the second daemon uses the server", func() bool { return second.accepting("s1") })
	env.store.mu.Lock()
	env.store.write("servers/s1", []byte(panickingEntry))
	env.store.mu.Unlock()
	waitFor(t, "the second daemon knows that the entry was spoilt", func() bool {
		result := make(chan bool, 1)
		second.post(func(c *control) { result <- string(c.entries["servers/s1"].Value) == panickingEntry })
		return <-result
	})
	env.register(s1, "plain", false)
	for range 30 { // The server would be given up after 2 s.
		time.Sleep(100 * time.Millisecond)
		if !first.accepting("s1") || !second.accepting("s1") {
			t.Fatal("the server is not used")
		}
	}
}

// lapsed reports whether the registration of a server has ended and may return.
func (gw *testGateway) lapsed(server string) bool {
	result := make(chan bool, 1)
	gw.post(func(c *control) { result <- c.fleet.Lapsed(server) })
	return <-result
}

// TestServersAreFollowedWithoutTheConfiguration guards against requests to a server that left, because the configuration is slow to read.
func TestServersAreFollowedWithoutTheConfiguration(t *testing.T) {
	env := newTestEnv(t)
	leaving := env.addServer("s1", "plain", signedAnswer("ok"))
	cut := &severableStore{store: env.store}
	env.gatewayStore = cut
	gw := env.startReady("g1")
	follower := env.startReady("g2")
	waitFor(t, "the daemons are linked", func() bool { return len(gw.hub.Peers()) == 1 && len(follower.hub.Peers()) == 1 })
	cut.severed.Store(true)
	env.register(leaving, "plain", true)
	for _, g := range []*testGateway{gw, follower} {
		waitFor(t, "the server is known to leave", func() bool { return !g.accepting("s1") })
	}
	cut.severed.Store(false)
	env.configuration.Version = 7
	env.configure()
	waitFor(t, "the new configuration is in force", func() bool { return gw.view.Load().Configuration().Version == 7 })
}

// TestStartOfAllReadsConfigurationOnce guards against daemons that each read everything from the
// store when all start at once.
func TestStartOfAllReadsConfigurationOnce(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", signedAnswer("ok"))
	const daemons = 8
	var before []*testGateway
	for i := range daemons {
		before = append(before, env.startIn(fmt.Sprint("g", i), "a", 0))
	}
	for _, gw := range before {
		waitFor(t, gw.Daemon+" is ready", gw.Ready)
	}
	for _, gw := range before {
		gw.cancel()
		err := <-gw.ended
		gw.ended <- err
	}
	env.store.mu.Lock()
	env.store.configurationReads = 0
	env.store.mu.Unlock()
	var after []*testGateway
	for _, gw := range before {
		after = append(after, env.restart(gw))
	}
	for _, gw := range after {
		waitFor(t, gw.Daemon+" is ready again", gw.Ready)
	}
	env.store.mu.Lock()
	defer env.store.mu.Unlock()
	// The first daemon reads; one more may do so if it takes long.
	if n := env.store.configurationReads; n > 2 {
		t.Errorf("%d reads of the configuration by %d daemons", n, daemons)
	}
}

// TestMissingKnowledge guards against a refusal that names the wrong reason.
func TestMissingKnowledge(t *testing.T) {
	env := newTestEnv(t)
	env.gatewayStore = listsOnlyDaemons{env.store}
	gw := env.start("g1")
	waitFor(t, "the daemon listens", func() bool { return gw.view.Load() != nil })
	got := gw.send(t.Context(), http.MethodPost, "/unsafe/x")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "configuration is not known") {
		t.Errorf("got %+v", got)
	}
	gw.offerConfiguration(env.document(), "Test")
	waitFor(t, "the configuration is in force", func() bool { return gw.view.Load().Configuration() != nil })
	got = gw.send(t.Context(), http.MethodPost, "/unsafe/x")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "servers are not known") || !strings.Contains(got.body, string(problem.NoCapacity)) {
		t.Errorf("got %+v", got)
	}
}

// TestBackoff guards against a fleet that calls a failing store at a constant high rate, and
// against one that notices its return late.
func TestBackoff(t *testing.T) {
	b := backoff{Most: maxWatchRetryDelay}
	var waited time.Duration
	calls := 0
	for waited < 20*time.Second {
		wait := b.next(keyvalue.ErrUnavailable)
		if wait < storeRetryDelay || wait > 2*maxWatchRetryDelay {
			t.Fatalf("wait %v", wait)
		}
		waited += wait
		calls++
	}
	if calls > 12 {
		t.Errorf("%d calls in %v", calls, waited)
	}
	if wait := b.next(nil); wait != 0 {
		t.Errorf("wait %v after a success", wait)
	}
	if wait := b.next(keyvalue.ErrUnavailable); wait > 2*storeRetryDelay {
		t.Errorf("wait %v after the first failure", wait)
	}
}
