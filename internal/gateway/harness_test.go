package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"apricotbridge/internal/backend"
	"apricotbridge/internal/fleet"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/quota"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// store is a key-value service in memory.
type store struct {
	mu       sync.Mutex
	entries  map[string]keyvalue.Entry
	revision int64
	leases   int64
	// era is the number of restores.
	era int64
	// unavailable makes every call fail.
	unavailable bool
	// watchesSilent makes Changes return nothing.
	watchesSilent bool
	reads         int
	// configurationReads counts the calls of Get.
	configurationReads int
	changed            chan struct{}
}

func newStore() *store {
	return &store{entries: map[string]keyvalue.Entry{}, era: 1, changed: make(chan struct{})}
}

func (s *store) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data)
}

func (s *store) write(key string, value []byte) keyvalue.Entry {
	s.revision++
	e := keyvalue.Entry{Key: key, Value: value, Revision: s.revision, Era: s.era}
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return e
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, nil)
	e := s.entries[key]
	e.Deleted = true
	s.entries[key] = e
}

// setFailures sets unavailable and watchesSilent.
func (s *store) setFailures(unavailable, watchesSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable, s.watchesSilent = unavailable, watchesSilent
}

func (s *store) Get(_ context.Context, key string) (keyvalue.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.configurationReads++
	if s.unavailable {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return keyvalue.Entry{}, keyvalue.ErrNotFound
	}
	return e, nil
}

func (s *store) List(_ context.Context, prefix string) ([]keyvalue.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return nil, 0, keyvalue.ErrUnavailable
	}
	var list []keyvalue.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && !e.Deleted {
			list = append(list, e)
		}
	}
	return list, s.revision, nil
}

func (s *store) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]keyvalue.Entry, int64, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		if s.unavailable {
			s.mu.Unlock()
			return nil, 0, keyvalue.ErrUnavailable
		}
		var list []keyvalue.Entry
		for key, e := range s.entries {
			if strings.HasPrefix(key, prefix) && e.Revision > after && !s.watchesSilent {
				list = append(list, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(list) > 0 || left <= 0 {
			return list, revision, nil
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *store) CompareAndSwap(_ context.Context, key string, value []byte, revision int64, _ string) (keyvalue.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	if e := s.entries[key]; !e.Deleted && e.Revision != revision || e.Deleted && revision != 0 {
		e.Key, e.Era = key, s.era
		return keyvalue.Entry{}, &keyvalue.ConflictError{Current: e}
	}
	return s.write(key, value), nil
}

func (s *store) Delete(_ context.Context, key string, _ int64) error {
	s.remove(key)
	return nil
}

func (s *store) Lease(context.Context, time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return strconv.FormatInt(s.leases, 10), nil
}

func (s *store) Renew(context.Context, string) error { return nil }

// decoder decodes the gateway's own types from JSON.
type decoder struct{}

func (decoder) Configuration(document []byte) (*Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(document, &c); err != nil {
		return nil, err
	}
	c.Document = document
	return &c, nil
}

// panickingEntry is an entry of a server at which decoder panics.
const panickingEntry = `"panic"`

func (decoder) Registration(e keyvalue.Entry) fleet.Registration {
	r := fleet.Registration{ID: strings.TrimPrefix(e.Key, "servers/"), Revision: e.Revision}
	var s fleet.Server
	if string(e.Value) == panickingEntry {
		panic(panickingEntry)
	}
	if !e.Deleted && json.Unmarshal(e.Value, &s) == nil && s.Address != "" {
		r.Server = &s
	}
	return r
}

// protocol is a Protocol with headers for tests.
type protocol struct{}

func (protocol) Decode(h http.Header) (Call, error) {
	c := Call{ID: h.Get("X-Id"), Key: h.Get("X-Key"), LastEventID: h.Get("Last-Event-Id"), Resumes: h.Get("X-Resumes")}
	if c.ID == "" {
		return c, fmt.Errorf("header X-Id is missing")
	}
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get("X-Tokens")); err == nil {
		c.PromptTokens = n
	}
	if list := h.Get("X-Parts"); list != "" {
		ids := strings.Split(list, ",")
		for i, id := range ids {
			c.Parts = append(c.Parts, routing.Part{Prefix: xxhash.Sum64String(strings.Join(ids[:i+1], ",")), Tokens: 100 * (i + 1)})
			if i < len(ids)-1 {
				c.SharedParts = append(c.SharedParts, quarantine.PartFingerprint(id))
			}
		}
	}
	return c, nil
}

func (protocol) Encode(h http.Header, info ForwardInfo) http.Header {
	h.Del("X-Key")
	h.Set("X-Deadline", strconv.FormatInt(info.Remaining.Milliseconds(), 10))
	h.Set("X-Server", info.Server)
	h.Set("X-Organisation", info.Organisation)
	if info.LastEventID != "" {
		h.Set("Last-Event-Id", info.LastEventID)
	}
	return h
}

func (protocol) Response(h http.Header) http.Header { return h }

var testHeaderNames = backend.HeaderNames{Attempt: "X-Id", Signature: "X-Signature", NotRun: "X-Not-Run", Leaving: "X-Leaving", RequestRate: "X-Rate"}

// testEnv is a store with a configuration and registered servers.
type testEnv struct {
	t             *testing.T
	store         *store
	configuration Configuration
	// reporter is the Reporter of gateways that start later; nil means none.
	reporter Reporter
	// lease is the lease of the duty of gateways that start later.
	lease time.Duration
	// gatewayStore replaces store for gateways that start later, if it is not nil.
	gatewayStore Store
	// rollouts is Gateway.Rollouts of gateways that start later.
	rollouts *Rollouts
}

// discardReports is a Reporter that accepts every report.
type discardReports struct{}

func (discardReports) Report(context.Context, Holder, Report) error { return nil }

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, store: newStore(), lease: time.Second}
	env.configuration = Configuration{
		Version: 1,
		Routes: []route.Route{
			{Name: "safe", Host: "h.example", Prefix: "/safe/", Repeat: route.Always, Timeout: 3 * time.Second, TargetLatency: 300 * time.Millisecond, Attempts: 2, Shares: []route.Share{{Service: "plain", Weight: 1}}},
			{Name: "unsafe", Host: "h.example", Prefix: "/unsafe/", Timeout: 3 * time.Second, TargetLatency: 300 * time.Millisecond, Attempts: 1, Shares: []route.Share{{Service: "plain", Weight: 1}}},
			{Name: "stream", Host: "h.example", Prefix: "/stream/", Repeat: route.Resume, Stream: true, Timeout: 5 * time.Second, TargetLatency: time.Second, TargetEventGap: 300 * time.Millisecond, Attempts: 2, Shares: []route.Share{{Service: "model", Weight: 1}}},
			{Name: "once", Host: "h.example", Prefix: "/once/", Stream: true, Timeout: 5 * time.Second, TargetLatency: time.Second, TargetEventGap: 300 * time.Millisecond, Attempts: 1, Shares: []route.Share{{Service: "model", Weight: 1}}},
			{Name: "short", Host: "h.example", Prefix: "/short/", Stream: true, Timeout: 400 * time.Millisecond, TargetLatency: 300 * time.Millisecond, TargetEventGap: 300 * time.Millisecond, Attempts: 1, Shares: []route.Share{{Service: "model", Weight: 1}}},
		},
		Services: []Service{{Name: "plain"}, {Name: "model", Engine: &Engine{Slots: 8, CacheTokens: 100_000}}},
		Organisations: []Organisation{
			{Name: "one", Keys: []string{"key-one"}},
			{Name: "limited", Keys: []string{"key-limited"}, CountTokens: true, DefaultTokens: 10, Quota: quota.Limit{PerSecond: 1, Burst: 200}},
		},
	}
	env.configure()
	return env
}

func (env *testEnv) configure() { env.store.set("configuration", env.configuration) }

// document returns the configuration as it stands in the store.
func (env *testEnv) document() []byte {
	env.store.mu.Lock()
	defer env.store.mu.Unlock()
	return env.store.entries["configuration"].Value
}

// backendServer is a backend server with a handler for each test.
type backendServer struct {
	id, version string
	*httptest.Server
	mu       sync.Mutex
	received []*http.Request
}

func (b *backendServer) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.received)
}

// addServer starts a backend server and registers it for a service.
func (env *testEnv) addServer(id, service string, answer http.HandlerFunc) *backendServer {
	return env.addVersion(id, service, "", answer)
}

func (env *testEnv) register(b *backendServer, service string, leaving bool) {
	env.store.set("servers/"+b.id, fleet.Server{
		ID: b.id, Incarnation: 1, Address: strings.TrimPrefix(b.URL, "http://"), Service: service, Version: b.version, Place: "a", Slots: 8, Leaving: leaving,
	})
}

// signedAnswer returns a handler that writes a signed answer.
func signedAnswer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, body)
	}
}

// testGateway is a running gateway.
type testGateway struct {
	*Gateway
	ended  chan error
	cancel context.CancelFunc
}

// startReady starts a gateway and waits until it is ready.
func (env *testEnv) startReady(id string) *testGateway {
	env.t.Helper()
	gw := env.start(id)
	waitFor(env.t, "gateway "+id+" is ready", gw.Ready)
	return gw
}

func (env *testEnv) start(id string) *testGateway { return env.startIn(id, "a", 0) }

// startIn starts a gateway in a place.
func (env *testEnv) startIn(id, place string, meshMax int) *testGateway {
	env.t.Helper()
	return env.startAt(id, place, meshMax, listen(env.t, "127.0.0.1:0"), listen(env.t, "127.0.0.1:0"))
}

// restart starts a gateway that has ended at its earlier addresses.
func (env *testEnv) restart(gw *testGateway) *testGateway {
	env.t.Helper()
	return env.startAt(gw.Daemon, gw.Place, gw.MeshMax, listen(env.t, gw.CallerAddress), listen(env.t, gw.PeerAddress))
}

func (env *testEnv) startAt(id, place string, meshMax int, callers, peers net.Listener) *testGateway {
	env.t.Helper()
	g := &Gateway{
		Daemon: id, Place: place, Region: "r", Regions: map[string]string{"a": "r", "b": "r", "c": "r"}, MeshMax: meshMax,
		CallerAddress: callers.Addr().String(), PeerAddress: peers.Addr().String(),
		CallerListener: callers, PeerListener: peers, Store: env.store, Decoder: decoder{}, Protocol: protocol{},
		Keys: Keys{Configuration: "configuration", Servers: "servers/"}, Rollouts: env.rollouts,
		Bounds: Bounds{
			GracePeriod: 3 * time.Second, RetryShare: 0.2, RetryBurst: 50, RetryWindow: 10 * time.Second, Lease: env.lease,
			UsageWindow: time.Second, ReportWithin: 10 * time.Second,
		},
		Reporter: env.reporter, Backends: &backend.Pool{Names: testHeaderNames}, Log: logr.Discard(),
	}
	if env.gatewayStore != nil {
		g.Store = env.gatewayStore
	}
	ctx, cancel := context.WithCancel(context.Background())
	gw := &testGateway{Gateway: g, ended: make(chan error, 1), cancel: cancel}
	go func() { gw.ended <- g.Run(ctx) }()
	env.t.Cleanup(func() {
		cancel()
		if err := <-gw.ended; err != nil {
			env.t.Errorf("gateway %s: %v", id, err)
		}
		gw.ended <- nil
	})
	return gw
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// waitFor polls a condition and fails the test after 10 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not within 10 s", what)
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// closesConnection means that the answer has the header "Connection: close".
	closesConnection bool
	err              error
}

var requestIDs struct {
	sync.Mutex
	n int
}

// send sends a request with a new id and reads the whole answer.
func (gw *testGateway) send(ctx context.Context, method, path string, header ...string) reply {
	requestIDs.Lock()
	requestIDs.n++
	id := fmt.Sprintf("%016x", requestIDs.n)
	requestIDs.Unlock()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gw.CallerAddress+path, strings.NewReader(""))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "h.example"
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "key-one")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	res, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(body), closesConnection: res.Close, err: err}
}

// checkStoreReads checks the number of store reads by all daemons in 3 s.
func (env *testEnv) checkStoreReads(daemons int) {
	env.t.Helper()
	env.store.mu.Lock()
	env.store.reads = 0
	env.store.mu.Unlock()
	time.Sleep(3 * time.Second)
	env.store.mu.Lock()
	defer env.store.mu.Unlock()
	// Two reads every 0.7 s, and half as many again for polls that overlap.
	if maxReads := 15; env.store.reads > maxReads {
		env.t.Errorf("%d reads in 3 s by %d daemons, want at most %d", env.store.reads, daemons, maxReads)
	}
}

// event returns one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

// writeStream writes the events after Last-Event-Id, up to and including last.
func writeStream(w http.ResponseWriter, r *http.Request, last int) {
	w.Header().Set("X-Signature", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Empty means from the start.
	for i := after + 1; i <= last; i++ {
		_, _ = io.WriteString(w, event(i))
		_ = http.NewResponseController(w).Flush() // Errors show in what the test receives.
	}
}

// closeConnection closes a handler's connection in the middle of the answer.
func closeConnection(w http.ResponseWriter) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = b.Flush() // Write what the handler has buffered.
	_ = c.Close()
}
