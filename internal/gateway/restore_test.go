package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/keyvalue"
)

// copied is the content of a store at a time.
type copied struct {
	entries  map[string]keyvalue.Entry
	revision int64
}

func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{maps.Clone(s.entries), s.revision}
}

// restore brings the store back from a copy, in a new era.
func (s *store) restore(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.revision = maps.Clone(c.entries), c.revision
	s.era++
	for key, e := range s.entries {
		e.Era = s.era
		s.entries[key] = e
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// recordedReports is a Reporter that keeps the first report of each window.
type recordedReports struct {
	mu      sync.Mutex
	windows map[accounting.Window]map[string]int64
	latest  accounting.Window
	// sent counts the reports of each window.
	sent map[accounting.Window]int
	errs []error
}

func newRecordedReports() *recordedReports {
	return &recordedReports{windows: map[accounting.Window]map[string]int64{}, sent: map[accounting.Window]int{}}
}

func (r *recordedReports) Report(_ context.Context, h Holder, report Report) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, known := r.windows[report.Window]
	if diff := cmp.Diff(first, report.Requests); known && diff != "" {
		r.errs = append(r.errs, fmt.Errorf("window %d is reported again by %s with other counts (-first +now):\n%s", report.Window, h.Daemon, diff))
	}
	if !known {
		r.windows[report.Window] = report.Requests
	}
	r.latest = max(r.latest, report.Window)
	r.sent[report.Window]++
	return nil
}

// withRequests returns the latest reported window and whether requests ran in it.
func (r *recordedReports) withRequests() (accounting.Window, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest, len(r.windows[r.latest]) > 0
}

// start starts a gateway under load and waits for its first report. latest returns the latest
// window that was reported, and stop ends the load.
func (r *recordedReports) start(env *testEnv) (latest func() accounting.Window, stop func() map[int]int) {
	env.addServer("s1", "plain", signedAnswer("ok"))
	stop = press(env.t, 50*time.Millisecond, "/safe/x", env.startReady("g1"))
	latest = func() accounting.Window {
		w, _ := r.withRequests()
		return w
	}
	waitFor(env.t, "a window is reported", func() bool { return latest() > 0 })
	return latest, stop
}

// TestWindowsAreReportedOnceAcrossARestore guards against reporting the usage of a window again,
// with other counts, when the store has lost the record of the report.
func TestWindowsAreReportedOnceAcrossARestore(t *testing.T) {
	env := newTestEnv(t)
	reports := newRecordedReports()
	env.reporter = reports
	env.addServer("s1", "plain", signedAnswer("ok"))
	first := env.startReady("g1")
	stop := press(t, 50*time.Millisecond, "/safe/x", first)
	waitForReport := func(after accounting.Window) accounting.Window {
		var latest accounting.Window
		waitFor(t, "a later window with requests is reported", func() bool {
			var ok bool
			latest, ok = reports.withRequests()
			return ok && latest > after
		})
		return latest
	}
	earlier := waitForReport(0)
	before := env.store.copy()
	reported := waitForReport(earlier + 1)
	stop()
	first.cancel()
	err := <-first.ended
	first.ended <- err
	env.store.restore(before)
	second := env.startReady("g2")
	stop = press(t, 50*time.Millisecond, "/safe/x", second)
	waitForReport(reported)
	stop()
	for _, err := range reports.errs {
		t.Error(err)
	}
}

// TestHolderReportsEveryWindowAcrossARestore guards against leaving out windows whose reports the
// holder of the duty remembers.
func TestHolderReportsEveryWindowAcrossARestore(t *testing.T) {
	env := newTestEnv(t)
	reports := newRecordedReports()
	env.reporter, env.lease = reports, 3*time.Second
	latest, stop := reports.start(env)
	first, before := latest(), env.store.copy()
	waitFor(t, "two more are reported", func() bool { return latest() >= first+2 })
	env.store.setFailures(true, false)
	time.Sleep(1300 * time.Millisecond) // More than a window.
	env.store.restore(before)
	env.store.setFailures(false, false)
	waitFor(t, "four more are reported", func() bool { return latest() >= first+6 })
	stop()
	for w := first; w <= first+6; w++ {
		if len(reports.windows[w]) == 0 {
			t.Errorf("window %d after the first is not reported", w-first)
		}
	}
	for _, err := range reports.errs {
		t.Error(err)
	}
}

// restoredOnRead is a store that comes back from a copy when the record of the last report is
// read, which is the first call that shows the new era.
type restoredOnRead struct {
	*store
	mu    sync.Mutex
	copy  *copied
	shown int64
}

func (s *restoredOnRead) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shown
}

func (s *restoredOnRead) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy != nil && key == reportedKey {
		s.restore(*s.copy)
		s.copy = nil
		s.shown++
	}
	return s.store.Get(ctx, key)
}

func (s *restoredOnRead) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy != nil && key == reportedKey {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	return s.store.CompareAndSwap(ctx, key, value, revision, lease)
}

// TestRecordReadInANewEraIsNotTakenForTheLast guards against reporting windows again because the
// read of their record is the first call that shows a restore.
func TestRecordReadInANewEraIsNotTakenForTheLast(t *testing.T) {
	env := newTestEnv(t)
	reports := newRecordedReports()
	store := &restoredOnRead{store: env.store, shown: 1}
	env.reporter, env.gatewayStore, env.lease = reports, store, 3*time.Second
	latest, stop := reports.start(env)
	inCopy, before := latest(), env.store.copy()
	waitFor(t, "two more are reported", func() bool { return latest() >= inCopy+2 })
	store.mu.Lock()
	store.copy = &before
	store.mu.Unlock()
	reported := latest()
	waitFor(t, "three more are reported", func() bool { return latest() >= reported+3 })
	stop()
	for w := inCopy + 1; w <= reported; w++ {
		if n := reports.sent[w]; n != 1 {
			t.Errorf("window %d after that of the copy is reported %d times", w-inCopy, n)
		}
	}
}

// TestServersAreFollowedAfterARestore guards against taking what servers write after a restore for
// old, because its revision is lower than that of what they wrote before.
func TestServersAreFollowedAfterARestore(t *testing.T) {
	env := newTestEnv(t)
	s1 := env.addServer("s1", "plain", signedAnswer("ok"))
	s2 := env.addServer("s2", "plain", signedAnswer("ok"))
	before := env.store.copy()
	for i := range 50 { // Revisions that will be given out again.
		env.store.set("other", i)
	}
	env.register(s1, "plain", false)
	env.register(s2, "plain", false)
	gateways := []*testGateway{env.startReady("g1"), env.startReady("g2")}
	for _, gw := range gateways {
		waitFor(t, "the servers are known", func() bool { return gw.accepting("s1") && gw.accepting("s2") })
	}
	env.store.restore(before)
	env.register(s1, "plain", true)
	env.store.remove("servers/s2")
	env.addServer("s3", "plain", signedAnswer("ok"))
	for _, gw := range gateways {
		waitFor(t, "the new server is used", func() bool { return gw.accepting("s3") })
		waitFor(t, "the leaving server is left alone", func() bool { return !gw.accepting("s1") })
		waitFor(t, "the removed server is gone", func() bool { return !gw.accepting("s2") })
		if got := gw.send(t.Context(), http.MethodPost, "/safe/x"); got.status != http.StatusOK {
			t.Errorf("got %+v", got)
		}
	}
}

// TestAllDaemonsLearnOfARestore guards against daemons that take the first change long after a
// restore for the time of the restore, because another daemon reads the store for them.
func TestAllDaemonsLearnOfARestore(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", signedAnswer("ok"))
	gateways := []*testGateway{env.startReady("g1"), env.startReady("g2")}
	env.store.restore(env.store.copy())
	for _, gw := range gateways {
		waitFor(t, "the daemon knows the era", func() bool {
			era := make(chan int64, 1)
			gw.post(func(c *control) { era <- c.fleet.Era() })
			return <-era == 2
		})
	}
}

// TestServersMissingFromACopyAreKept guards against giving up servers that registered after the
// copy was made and have not written their entries again yet.
func TestServersMissingFromACopyAreKept(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", signedAnswer("ok"))
	before := env.store.copy()
	s2 := env.addServer("s2", "plain", signedAnswer("ok"))
	gw := env.startReady("g1")
	waitFor(t, "both servers are known", func() bool { return gw.accepting("s1") && gw.accepting("s2") })
	env.store.restore(before)
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if !gw.accepting("s2") {
			t.Fatal("the server is given up before it can have written its entry again")
		}
	}
	env.register(s2, "plain", false)
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if !gw.accepting("s2") {
			t.Fatal("the server is given up although it has written its entry again")
		}
	}
}

// TestDaemonRegistersAgainAfterARestore guards against a daemon whose entry the store has lost,
// and whose lease it has given to another.
func TestDaemonRegistersAgainAfterARestore(t *testing.T) {
	env := newTestEnv(t)
	first := env.startReady("g1")
	before := env.store.copy()
	second := env.startReady("g2")
	linked := func(gw *testGateway) bool { return len(gw.view.Load().Daemons) == 2 }
	waitFor(t, "the daemons know each other", func() bool { return linked(first) && linked(second) })
	env.store.restore(before)
	waitFor(t, "the entry is back", func() bool {
		c := env.store.copy()
		e, ok := c.entries[daemonPrefix+"g2"]
		return ok && !e.Deleted
	})
	third := env.startReady("g3")
	waitFor(t, "a daemon that starts finds the others", func() bool { return len(third.view.Load().Daemons) == 3 })
	waitFor(t, "the others find it", func() bool { return len(first.view.Load().Daemons) == 3 && len(second.view.Load().Daemons) == 3 })
}
