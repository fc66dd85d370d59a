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
)

// value returns the value of a key.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.entries[key].Value)
}

// startPair starts a daemon, and one without links to it whose store the caller may stall. Both know v1.
func (env *testEnv) startPair(currentID, staleID string) (current, stale *testGateway, isolated *isolatedStore) {
	current = env.startReady(currentID)
	isolated = &isolatedStore{store: env.store}
	env.gatewayStore = isolated
	stale = env.startReady(staleID)
	for _, gw := range []*testGateway{current, stale} {
		waitFor(env.t, "the version is recorded", func() bool { return gw.begun.isRecorded("model", "v1") })
	}
	return current, stale, isolated
}

// beginMany begins streams and returns those that began at a server.
func (gw *testGateway) beginMany(t *testing.T, server *backendServer) []string {
	t.Helper()
	for i := range 30 {
		gw.begin(t, fmt.Sprint("began", i))
	}
	streams := beganAt(server)
	if len(streams) == 0 {
		t.Fatalf("no stream began at %s", server.id)
	}
	return streams
}

// checkNotJoined checks that streams of v2 that are taken up do not go on at a server of v1.
func checkNotJoined(t *testing.T, gw *testGateway, streams []string, older *backendServer) {
	t.Helper()
	for _, id := range streams {
		gw.takeUp(t, id)
	}
	if n := older.continued(); n > 0 {
		t.Errorf("%d of %d streams of v2 went on at v1", n, len(streams))
	}
}

// TestRestoredRecordsAreNotTakenForComplete guards against joining versions when a copy of the store lacks the record of a version.
func TestRestoredRecordsAreNotTakenForComplete(t *testing.T) {
	env := newTestEnv(t)
	older := env.addVersion("s1", "model", "v1", breakingStream())
	current, stale, isolated := env.startPair("g1", "g2")
	waitFor(t, "the stale daemon knows the era", func() bool { return len(stale.begun.recordedServices()) > 0 })
	isolated.stall()
	before := env.store.copy()
	newer := env.addVersion("s2", "model", "v2", breakingStream())
	waitFor(t, "the new version is recorded", func() bool { return current.accepting("s2") && current.begun.isRecorded("model", "v2") })
	streams := current.beginMany(t, newer)
	env.store.remove("servers/s2")
	waitFor(t, "the new version has left", func() bool { return !current.accepting("s2") })
	env.store.restore(before)
	isolated.resume()
	checkNotJoined(t, stale, streams, older)
	waitFor(t, "the version that the copy lacks is recorded again", func() bool { return strings.Contains(env.store.value(versionPrefix+"model"), "v2") })
}

// TestRecordMissingInCopyIsWrittenAgain guards against refusing unknown streams for good after a restore.
func TestRecordMissingInCopyIsWrittenAgain(t *testing.T) {
	env := newTestEnv(t)
	env.addVersion("s1", "model", "v1", breakingStream())
	gw := env.startReady("g1")
	waitFor(t, "the version is recorded", func() bool { return env.store.has(versionPrefix + "model") })
	c := env.store.copy()
	delete(c.entries, versionPrefix+"model")
	env.store.restore(c)
	waitFor(t, "the version is recorded again", func() bool { return env.store.has(versionPrefix + "model") })
	waitFor(t, "a stream that is not known is taken up", func() bool { return gw.takeUp(t, "unknown").status == http.StatusOK })
}

// TestRestoreDoesNotDelayLaterTakeUps guards against refusing unknown streams long after a restore.
func TestRestoreDoesNotDelayLaterTakeUps(t *testing.T) {
	env := newTestEnv(t)
	env.addVersion("s1", "model", "v1", breakingStream())
	gw := env.startReady("g1")
	waitFor(t, "a stream that is not known is taken up", func() bool { return gw.takeUp(t, "before").status == http.StatusOK })
	env.store.restore(env.store.copy())
	waitFor(t, "the daemon knows of the restore", func() bool { return gw.begun.lacksRestored(time.Now()) })
	waitFor(t, "the records are complete", func() bool { return !gw.begun.lacksRestored(time.Now()) })
	if got := gw.takeUp(t, "after"); got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
}

// restoredStore runs a function between the execution of a write of a record and its answer.
type restoredStore struct {
	*store
	beforeAnswer atomic.Pointer[func()]
}

func (s *restoredStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error) {
	e, err := s.store.CompareAndSwap(ctx, key, value, revision, lease)
	if strings.HasPrefix(key, versionPrefix) {
		if f := s.beforeAnswer.Swap(nil); f != nil {
			(*f)()
		}
	}
	return e, err
}

// TestAnswerOfEarlierEraIsNoRecord guards against taking a version for recorded whose record was lost in a restore.
func TestAnswerOfEarlierEraIsNoRecord(t *testing.T) {
	env := newTestEnv(t)
	env.addVersion("s1", "model", "v1", breakingStream())
	late := &restoredStore{store: env.store}
	env.gatewayStore = late
	gw := env.startReady("g1")
	waitFor(t, "the version is recorded", func() bool { return gw.begun.isRecorded("model", "v1") })
	before := env.store.copy()
	env.store.mu.Lock()
	env.store.revision += 100 // The lost record has a higher revision than all that follow.
	env.store.mu.Unlock()
	restore := func() {
		c := env.store.copy()
		c.entries[versionPrefix+"model"], c.revision = before.entries[versionPrefix+"model"], before.revision
		env.store.restore(c)
	}
	late.beforeAnswer.Store(&restore)
	env.addVersion("s2", "model", "v2", breakingStream())
	waitFor(t, "the version is recorded", func() bool { return strings.Contains(env.store.value(versionPrefix+"model"), "v2") })
	waitFor(t, "the daemon knows the record", func() bool { return gw.begun.isRecorded("model", "v2") })
}

// TestReturnedVersionIsNotRemovedByALateWrite guards against joining versions after a write that removes one is executed when it has returned.
func TestReturnedVersionIsNotRemovedByALateWrite(t *testing.T) {
	env := newTestEnv(t)
	older := env.addVersion("s1", "model", "v1", breakingStream())
	newer := env.addVersion("s2", "model", "v2", breakingStream())
	current, stale, isolated := env.startPair("g2", "g1") // The first by id removes.
	isolated.executeLate()
	gateways := []*testGateway{current, stale}
	const memory = 3 * time.Second
	for _, gw := range gateways {
		waitFor(t, "the new version is recorded", func() bool { return gw.accepting("s2") && gw.begun.isRecorded("model", "v2") })
		gw.begun.setMemory(memory)
	}
	env.store.remove("servers/s2")
	for _, gw := range gateways {
		waitFor(t, "the new version has left", func() bool { return !gw.accepting("s2") })
	}
	left := time.Now()
	time.Sleep(memory + maxListGap - 1200*time.Millisecond)
	isolated.stall()
	env.register(newer, "model", false)
	waitFor(t, "the new version is back", func() bool { return current.accepting("s2") && current.begun.isRecorded("model", "v2") })
	streams := current.beginMany(t, newer)
	env.store.remove("servers/s2")
	time.Sleep(time.Until(left.Add(memory + maxListGap + 700*time.Millisecond)))
	isolated.resume()
	checkNotJoined(t, stale, streams, older)
}

// TestListingsCarryRecords guards against a daemon without streams at a new version because the store turns it away.
func TestListingsCarryRecords(t *testing.T) {
	env := newTestEnv(t)
	env.addVersion("s1", "model", "v1", breakingStream())
	first := env.startReady("g1")
	waitFor(t, "the version is recorded", func() bool { return first.begun.isRecorded("model", "v1") })
	turned := &turnedAwayStore{store: env.store}
	env.gatewayStore = turned
	second := env.startReady("g2")
	waitFor(t, "the daemons are linked", func() bool { return len(second.hub.Peers()) == 1 })
	turned.away.Store(true)
	newer := env.addVersion("s2", "model", "v2", breakingStream())
	waitFor(t, "streams begin at the new version", func() bool {
		second.begin(t, fmt.Sprint("began", time.Now().UnixNano()))
		return newer.requests() > 0
	})
}

// turnedAwayStore fails the reads and writes of a daemon while it is away.
type turnedAwayStore struct {
	*store
	away atomic.Bool
}

func (s *turnedAwayStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error) {
	if s.away.Load() {
		return nil, 0, keyvalue.ErrUnavailable
	}
	return s.store.List(ctx, prefix)
}

func (s *turnedAwayStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error) {
	if s.away.Load() {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	return s.store.CompareAndSwap(ctx, key, value, revision, lease)
}

// TestStreamWaitsForAReadThatBeginsLater guards against concluding from records that were read before the stream was taken up.
func TestStreamWaitsForAReadThatBeginsLater(t *testing.T) {
	checks := versionChecks{wake: make(chan struct{}, 1), retry: backoff{Most: time.Second}}
	now := time.Unix(1_700_000_000, 0)
	first := checks.join(now, "model")
	if joined := checks.join(now, "other"); joined != first || !first.services["other"] {
		t.Error("two streams do not share the read that both precede")
	}
	if checks.begin() != first {
		t.Error("the read is not begun")
	}
	second := checks.join(now, "model")
	if second == first {
		t.Error("a stream shares a read that began before it came")
	}
	first.err = errRestored
	checks.end(now, first)
	if checks.join(now, "model") != nil {
		t.Error("a stream waits for a read that is delayed after a failure")
	}
	checks.end(now, checks.begin())
	if checks.join(now, "model") == nil {
		t.Error("no read after a success")
	}
}

// TestVersionCheckPauseIsShort guards against refusing streams in a large fleet only because reads are rare.
func TestVersionCheckPauseIsShort(t *testing.T) {
	for _, daemons := range []int{1, 8, 16, 90, 380} {
		if pause := versionCheckPause(daemons); pause > versionCheckTimeout/2 {
			t.Errorf("%d daemons: %v between two reads, of %v that a stream waits", daemons, pause, versionCheckTimeout)
		}
	}
}

// TestReadyDaemonServesStreams guards against refusing streams at a daemon that says that it is ready, and against waiting for the store for good.
func TestReadyDaemonServesStreams(t *testing.T) {
	for _, written := range []bool{true, false} {
		t.Run(fmt.Sprint("versions can be recorded: ", written), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.addVersion("s1", "model", "v1", breakingStream())
			isolated := &isolatedStore{store: env.store}
			isolated.refuse(versionPrefix)
			env.gatewayStore = isolated
			gw := env.start("g1")
			waitFor(t, "the servers are listed", func() bool { return gw.view.Load() != nil && gw.accepting("s1") })
			if gw.Ready() {
				t.Error("ready before the version is recorded")
			}
			if written {
				isolated.refuse("")
			}
			waitFor(t, "the daemon is ready", gw.Ready)
			if written {
				gw.begin(t, "began")
			}
		})
	}
}
