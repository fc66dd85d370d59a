package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/rollout"
)

// rolloutDocuments encodes orders and statuses as JSON of their own types.
type rolloutDocuments struct{}

func (rolloutDocuments) Order(e keyvalue.Entry) (rollout.Order, error) {
	var o rollout.Order
	err := json.Unmarshal(e.Value, &o)
	return o, err
}

func (rolloutDocuments) Status(s rollout.State) ([]byte, error) {
	return json.Marshal([]string{s.Version, string(s.Phase)})
}

func (rolloutDocuments) Phase(status []byte) (string, rollout.Phase, error) {
	var list []string
	if err := json.Unmarshal(status, &list); err != nil {
		return "", "", err
	}
	if len(list) != 2 {
		return "", "", fmt.Errorf("status %q", status)
	}
	return list[0], rollout.Phase(list[1]), nil
}

// rolloutEnv is a deployment in which a service of two servers is rolled out.
type rolloutEnv struct {
	*testEnv
	// toNew and total count the requests that reached servers.
	toNew, total atomic.Int64
	cancel       context.CancelFunc
	load         sync.WaitGroup
}

func newRolloutEnv(t *testing.T) *rolloutEnv {
	env := &rolloutEnv{testEnv: newTestEnv(t)}
	env.reporter = discardReports{}
	env.rollouts = &Rollouts{Orders: "orders/", Statuses: "statuses/", Exposure: 0.1, Documents: rolloutDocuments{}}
	env.addVersion("old-1", "plain", "v1", env.counting(signedAnswer("v1"), false))
	env.addVersion("old-2", "plain", "v1", env.counting(signedAnswer("v1"), false))
	return env
}

func (env *rolloutEnv) counting(answer http.HandlerFunc, fresh bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		env.total.Add(1)
		if fresh {
			env.toNew.Add(1)
		}
		time.Sleep(5 * time.Millisecond)
		answer(w, r)
	}
}

func (env *rolloutEnv) order(within time.Duration) {
	env.store.set("orders/plain", rollout.Order{Service: "plain", Version: "v2", Within: within})
}

// startNew starts the servers of the new version.
func (env *rolloutEnv) startNew(answer http.HandlerFunc) {
	for _, id := range []string{"new-1", "new-2"} {
		env.addVersion(id, "plain", "v2", env.counting(answer, true))
	}
}

// sendRequests sends requests to gateways until the test ends or stop is called.
func (env *rolloutEnv) sendRequests(gateways ...*testGateway) {
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	env.t.Cleanup(env.stop)
	for i := range 4 {
		gw := gateways[i%len(gateways)]
		env.load.Go(func() {
			for ctx.Err() == nil {
				gw.send(ctx, "GET", "/safe/a")
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

func (env *rolloutEnv) stop() {
	env.cancel()
	env.load.Wait()
}

// status returns the phase in the status that the store holds.
func (env *rolloutEnv) status() rollout.Phase {
	env.store.mu.Lock()
	defer env.store.mu.Unlock()
	var list []string
	if json.Unmarshal(env.store.entries["statuses/plain"].Value, &list) != nil {
		return ""
	}
	return rollout.Phase(list[1])
}

func failingAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signature", "s")
	w.WriteHeader(http.StatusInternalServerError)
}

func TestRolloutMovesAllTrafficBeforeItIsCompleted(t *testing.T) {
	env := newRolloutEnv(t)
	a, b := env.startReady("a"), env.startReady("b")
	env.sendRequests(a, b)
	env.order(4 * time.Second)
	env.startNew(signedAnswer("v2"))
	waitFor(t, "the rollout is completed", func() bool { return env.status() == rollout.Completed })
	for range 20 {
		if r := a.send(t.Context(), "GET", "/safe/a"); r.body != "v2" {
			t.Fatalf("after the rollout: status %d, body %q, error %v", r.status, r.body, r.err)
		}
	}
}

func TestBadVersionIsWithdrawn(t *testing.T) {
	env := newRolloutEnv(t)
	a, b := env.startReady("a"), env.startReady("b")
	env.sendRequests(a, b)
	env.order(8 * time.Second)
	env.startNew(failingAnswer)
	waitFor(t, "the rollout is rolled back", func() bool { return env.status() == rollout.RolledBack })
	time.Sleep(time.Second) // All daemons know it.
	before := env.toNew.Load()
	time.Sleep(500 * time.Millisecond)
	if after := env.toNew.Load(); after != before {
		t.Errorf("%d requests reached the version that was withdrawn", after-before)
	}
	if toNew, total := env.toNew.Load(), env.total.Load(); float64(toNew) > 0.1*float64(total)+50 {
		t.Errorf("%d of %d requests reached the bad version", toNew, total)
	}
}

// Servers of a new version register while no daemon has noticed the order.
func TestNewVersionGetsNoMoreThanItsShareBeforeItsOrderIsNoticed(t *testing.T) {
	env := newRolloutEnv(t)
	a, b := env.startReady("a"), env.startReady("b")
	env.store.setFailures(false, true) // Watches return nothing.
	env.sendRequests(a, b)
	env.order(time.Hour)
	env.startNew(signedAnswer("v2"))
	waitFor(t, "the new servers are listed", func() bool { return len(a.view.Load().Members) == 4 && len(b.view.Load().Members) == 4 })
	before := env.total.Load()
	waitFor(t, "requests", func() bool { return env.total.Load() > before+200 })
	if toNew, total := env.toNew.Load(), env.total.Load(); float64(toNew) > 0.1*float64(total) {
		t.Errorf("%d of %d requests reached the new version", toNew, total)
	}
}

func TestRolloutGoesOnAfterItsHolderIsKilled(t *testing.T) {
	env := newRolloutEnv(t)
	env.lease = 500 * time.Millisecond
	gateways := map[string]*testGateway{"a": env.startReady("a"), "b": env.startReady("b")}
	waitFor(t, "the duty is held", func() bool { return gateways["a"].holdsDuty.Load() || gateways["b"].holdsDuty.Load() })
	holder, other := gateways["a"], gateways["b"]
	if other.holdsDuty.Load() {
		holder, other = other, holder
	}
	env.sendRequests(other)
	env.order(6 * time.Second)
	env.startNew(signedAnswer("v2"))
	waitFor(t, "the share of the new version was raised", func() bool {
		s, ok := other.view.Load().rolloutInProgress("plain")
		return ok && s.Stage > 0
	})
	holder.cancel()
	waitFor(t, "the rollout is completed", func() bool { return env.status() == rollout.Completed })
}

func TestWithdrawnVersionStaysSoAfterLossOfAllDaemons(t *testing.T) {
	env := newRolloutEnv(t)
	a := env.startReady("a")
	env.sendRequests(a)
	env.order(8 * time.Second)
	env.startNew(failingAnswer)
	waitFor(t, "the rollout is rolled back", func() bool { return env.status() == rollout.RolledBack })
	env.stop()
	a.cancel()
	if err := <-a.ended; err != nil {
		t.Error(err)
	}
	a.ended <- nil
	b := env.startReady("b")
	before := env.toNew.Load()
	env.sendRequests(b)
	time.Sleep(time.Second)
	if after := env.toNew.Load(); after != before {
		t.Errorf("%d requests reached the version that was withdrawn", after-before)
	}
}

func TestOrderThatIsRemovedOrOddDoesNotMoveTraffic(t *testing.T) {
	env := newRolloutEnv(t)
	a := env.startReady("a")
	env.sendRequests(a)
	env.store.set("orders/plain", "odd")
	env.store.set("orders/none", rollout.Order{Service: "none", Version: "v2", Within: time.Second})
	env.order(time.Hour)
	waitFor(t, "the rollout is in progress", func() bool { return env.status() == rollout.InProgress })
	env.startNew(signedAnswer("v2"))
	env.store.remove("orders/plain")
	waitFor(t, "the rollout is rolled back", func() bool { return env.status() == rollout.RolledBack })
	before := env.toNew.Load()
	time.Sleep(500 * time.Millisecond)
	if after := env.toNew.Load(); after != before {
		t.Errorf("%d requests reached the version whose order was removed", after-before)
	}
}

// A release after a completed rollout brings servers of a third version, and the order is still in the store. A
// daemon that has not known the rollout learns of its end from a peer.
func TestCompletedRolloutDoesNotStopALaterRelease(t *testing.T) {
	env := newRolloutEnv(t)
	env.store.setFailures(false, true) // Watches return nothing.
	a := env.startReady("a")
	env.order(4 * time.Second)
	env.store.set("statuses/plain", []string{"v2", string(rollout.Completed)})
	b := env.startReady("b")
	for _, gw := range []*testGateway{a, b} {
		waitFor(t, "the daemon knows the rollout", func() bool {
			r, ok := gw.view.Load().rollouts["plain"]
			return ok && r.Phase == rollout.Completed
		})
	}
	for range 20 {
		if r := a.send(t.Context(), "GET", "/safe/a"); r.body != "v1" {
			t.Fatalf("status %d, body %q, error %v", r.status, r.body, r.err)
		}
	}
}
