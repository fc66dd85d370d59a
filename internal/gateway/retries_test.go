package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestStreamStaysAtLeavingServer guards against a stream that runs at a second server while the one
// that is leaving still works on it, and at more servers than its route allows.
func TestStreamStaysAtLeavingServer(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts int
		// failures is the number of attempts that fail before the one that streams.
		failures int
	}{
		{"first attempt is the last", 1, 0},
		{"last attempt after a failure", 2, 1},
		{"another attempt is allowed", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.configuration.Version++
			for i := range env.configuration.Routes {
				env.configuration.Routes[i].Attempts = c.attempts
			}
			env.configure()
			var runs atomic.Int32
			streaming, release := make(chan string, 1), make(chan struct{})
			servers := map[string]*backendServer{}
			for _, id := range []string{"s1", "s2", "s3"} {
				servers[id] = env.addServer(id, "model", func(rw http.ResponseWriter, r *http.Request) {
					switch run := int(runs.Add(1)); {
					case run <= c.failures:
						rw.Header().Set("X-Signature", "s")
						rw.WriteHeader(http.StatusInternalServerError)
					case run == c.failures+1:
						writeStream(rw, r, 4)
						streaming <- id
						<-release
						r.Header.Set("Last-Event-Id", "4")
						writeStream(rw, r, 9)
					default:
						writeStream(rw, r, 9)
					}
				})
			}
			gw := env.startReady("g1")
			ended := make(chan reply, 1)
			go func() { ended <- gw.send(t.Context(), http.MethodPost, "/stream/") }()
			env.register(servers[<-streaming], "model", true)
			time.Sleep(3 * time.Second) // The server works on; the platform lets it run for as long.
			close(release)
			if got := <-ended; got.err != nil || got.body != events(1, 9) {
				t.Errorf("got %q, error %v", got.body, got.err)
			}
			if n, want := int(runs.Load()), c.failures+1; n != want {
				t.Errorf("the stream ran on %d servers, want %d", n, want)
			}
		})
	}
}

// TestRetryBurstOfManyDaemons guards against daemons that together may retry more than
// the burst allows, because each has a least part.
func TestRetryBurstOfManyDaemons(t *testing.T) {
	const total = 188
	for _, daemons := range []int{1, 6, 74, 86, 100, 120, 188} {
		burst := retryBurst(total, daemons)
		if sum := burst * float64(daemons); sum > total+1e-9 || burst < 1 {
			t.Errorf("%d daemons have bursts of %.2f, together %.0f of %d", daemons, burst, sum, total)
		}
	}
}

// TestRetryBurstOfUnknownDaemons guards against a daemon that may retry more, until it has read the list
// of daemons, than all of them together.
func TestRetryBurstOfUnknownDaemons(t *testing.T) {
	g := &Gateway{Bounds: Bounds{RetryShare: 0.2, RetryBurst: 50}}
	g.init()
	defer g.endDrain()
	if left := g.dispatcher.Status(time.Now()).RetriesLeft; left != minRetryBurst {
		t.Errorf("%v retries before the daemons are known, want %d", left, minRetryBurst)
	}
}

// TestStreamContinuesWhenItsServerEnded guards against ending a stream with its server although
// a server that has ended does not count against the attempts of its route.
func TestStreamContinuesWhenItsServerEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		// ends means that the server ends; otherwise only the connection does.
		ends bool
		// events is the number of events before that.
		events int
		whole  bool
	}{
		{"server ends in the stream", true, 4, true},
		{"connection ends in the stream", false, 4, false},
		{"server ends before the first event", true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.configuration.Version++
			for i := range env.configuration.Routes {
				env.configuration.Routes[i].Attempts = 1
			}
			env.configure()
			servers := map[string]*backendServer{}
			var runs atomic.Int32
			for _, id := range []string{"s1", "s2"} {
				servers[id] = env.addServer(id, "model", func(rw http.ResponseWriter, r *http.Request) {
					if runs.Add(1) > 1 {
						writeStream(rw, r, 9)
						return
					}
					rw.Header().Set("X-Signature", "s")
					writeStream(rw, r, c.events)
					if c.ends {
						_ = servers[id].Listener.Close()
					}
					closeConnection(rw)
				})
			}
			got := env.startReady("g1").send(t.Context(), http.MethodPost, "/stream/")
			if whole := got.err == nil && got.body == events(1, 9); whole != c.whole {
				t.Errorf("whole %v, want %v: got %q, error %v", whole, c.whole, got.body, got.err)
			}
			want := int32(1)
			if c.whole {
				want = 2
			}
			if n := runs.Load(); n != want {
				t.Errorf("%d runs, want %d", n, want)
			}
		})
	}
}
