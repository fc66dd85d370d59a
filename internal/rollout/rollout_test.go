package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var orderedAt = time.Unix(1_000_000, 0)

// load is the traffic of a service during a rollout.
type load struct {
	routes []string
	// perSecond is the number of requests a second on all routes.
	perSecond int
	// failed and slow return the share of failures, and of answers five times as slow, on a route at a time.
	failed, slow func(fresh bool, route string, share float64, at time.Duration) float64
	// cold is how much slower the new version is for want of cached prompts.
	cold float64
}

// run is what happened in a simulated rollout.
type run struct {
	state State
	// toNew and total count the requests, and lateToNew those to the new version later than withinBad after
	// its fiftieth bad answer.
	toNew, total, lateToNew int
	endedAfter              time.Duration
}

const (
	step       = 100 * time.Millisecond
	judgeEvery = 2 * step
	newsDelay  = time.Second            // From an answer until all daemons know a verdict on it.
	answerTime = 400 * time.Millisecond // From a request to its answer.
	withinBad  = 5 * time.Second
	exposure   = 0.1
	within     = 12 * time.Second
)

// simulate plays a rollout. Evidence arrives late, and so do stages and verdicts.
func simulate(seed uint64, l load) run {
	random := rand.New(rand.NewPCG(seed, 7))
	state := State{Order: Order{Service: "s", Version: "v2", Within: within}, NoticedAt: orderedAt, Phase: InProgress}
	type observation struct {
		at    time.Time
		stage int
		add   func(*Trial)
		route string
	}
	var pending []observation
	var evidence Evidence
	r := run{}
	stageSince, seen := orderedAt, state
	var states []State
	bad, badSince := 0, time.Time{}
	for elapsed := time.Duration(0); elapsed < within; elapsed += step {
		now := orderedAt.Add(elapsed)
		for range l.perSecond * int(step) / int(time.Second) {
			r.total++
			route := l.routes[random.IntN(len(l.routes))]
			fresh := elapsed > time.Second && random.Float64() < seen.Share(exposure)
			failed := random.Float64() < l.failed(fresh, route, seen.Share(exposure), elapsed)
			ratio := math.Exp(0.5 * random.NormFloat64())
			isSlow := random.Float64() < l.slow(fresh, route, seen.Share(exposure), elapsed)
			if isSlow {
				ratio *= 5
			}
			if fresh {
				r.toNew++
				ratio *= 1 + l.cold*random.Float64()
				if !badSince.IsZero() && now.Sub(badSince) > withinBad {
					r.lateToNew++
				}
				if failed || isSlow {
					if bad++; bad == 50 {
						badSince = now
					}
				}
			}
			if elapsed <= time.Second {
				continue // There is nothing to compare yet.
			}
			pending = append(pending, observation{now.Add(answerTime + newsDelay/2), seen.Stage, func(t *Trial) {
				side := &t.Old
				if fresh {
					side = &t.New
				}
				side.Answers++
				if failed {
					side.Failed++
				} else {
					side.First.Add(time.Duration(ratio*float64(time.Second)), time.Second)
				}
			}, route})
		}
		for len(pending) > 0 && !pending[0].at.After(now) {
			o := pending[0]
			pending = pending[1:]
			o.add(evidence.Observe(Key{"s", "v2", o.stage}, Source{"p", "d", 1}, o.route))
		}
		if elapsed%judgeEvery != 0 {
			continue
		}
		var stages [][]Trial
		for stage := range state.Stage + 1 {
			stages = append(stages, evidence.Sum(Key{"s", "v2", stage}))
		}
		v := Judge(stages)
		busy := Servers{New: 100, Old: 100, OldRequests: int(float64(l.perSecond) * (1 - seen.Share(exposure)))}
		if elapsed <= time.Second {
			busy.New = 0
		}
		if next, ok := state.Next(now, stageSince, busy, v); ok {
			if next.Stage != state.Stage {
				stageSince = now
			}
			if next.Phase != InProgress {
				r.endedAfter = elapsed
			}
			state = next
		}
		// What the daemons apply is as old as the way of the news.
		states = append(states, state)
		if late := len(states) - 1 - int(newsDelay/2/judgeEvery); late >= 0 {
			seen = states[late]
		}
	}
	r.state = state
	return r
}

func never(bool, string, float64, time.Duration) float64 { return 0.01 }

func TestBadVersionIsWithdrawnBeforeItExceedsItsExposure(t *testing.T) {
	ofNew := func(p float64, when func(route string, share float64, at time.Duration) bool) func(bool, string, float64, time.Duration) float64 {
		return func(fresh bool, route string, share float64, at time.Duration) float64 {
			if fresh && when(route, share, at) {
				return p
			}
			return 0.01
		}
	}
	always := func(string, float64, time.Duration) bool { return true }
	oneRoute := func(route string, _ float64, _ time.Duration) bool { return route == "c" }
	underLoad := func(_ string, share float64, _ time.Duration) bool { return share > 0.2 }
	later := func(_ string, _ float64, at time.Duration) bool { return at > 4*time.Second }
	tests := map[string]load{
		"fails at once":         {failed: ofNew(0.3, always), slow: never},
		"fails always":          {failed: ofNew(1, always), slow: never},
		"fails on one route":    {failed: ofNew(0.4, oneRoute), slow: never},
		"fails later":           {failed: ofNew(0.3, later), slow: never},
		"fails under load":      {failed: ofNew(0.4, underLoad), slow: never},
		"slow at once":          {failed: never, slow: ofNew(0.4, always)},
		"slow on one route":     {failed: never, slow: ofNew(0.6, oneRoute)},
		"slow later":            {failed: never, slow: ofNew(0.5, later)},
		"slow under load":       {failed: never, slow: ofNew(0.7, underLoad)},
		"fails with cold cache": {failed: ofNew(0.3, always), slow: never, cold: 1},
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l.routes, l.perSecond = []string{"a", "b", "c"}, 380
			for seed := range uint64(60) {
				r := simulate(seed, l)
				if r.state.Phase != RolledBack {
					t.Errorf("seed %d: %s, stage %d", seed, r.state.Phase, r.state.Stage)
				}
				if most := exposure*float64(r.total) + 50; float64(r.toNew) > most {
					t.Errorf("seed %d: %d of %d requests reached the bad version, at most %.0f may", seed, r.toNew, r.total, most)
				}
				if r.lateToNew > 0 {
					t.Errorf("seed %d: %d requests reached the bad version long after it was seen to be bad", seed, r.lateToNew)
				}
			}
		})
	}
}

func TestGoodVersionIsNotBlamedForWhatHitsBothVersions(t *testing.T) {
	burst := func(p float64) func(bool, string, float64, time.Duration) float64 {
		return func(_ bool, _ string, _ float64, at time.Duration) float64 {
			if at > 3*time.Second && at < 6*time.Second {
				return p
			}
			return 0.02
		}
	}
	tests := map[string]load{
		"calm":           {failed: never, slow: never},
		"cold caches":    {failed: never, slow: never, cold: 1},
		"failing routes": {failed: func(bool, string, float64, time.Duration) float64 { return 0.14 }, slow: never},
		"overload":       {failed: burst(0.3), slow: burst(0.6), cold: 0.5},
		"overload at the end": {failed: never, slow: func(_ bool, _ string, _ float64, at time.Duration) float64 {
			if at > 8*time.Second {
				return 0.6
			}
			return 0.01
		}},
		"few requests": {failed: never, slow: never, perSecond: 20},
	}
	const seeds, mostWrong = 200, 2 // An error rate of one percent.
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l.routes = []string{"a", "b", "c"}
			if l.perSecond == 0 {
				l.perSecond = 380
			}
			wrong := 0
			for seed := range uint64(seeds) {
				if r := simulate(seed, l); r.state.Phase != Completed {
					wrong++
					t.Logf("seed %d: %s, stage %d, %s", seed, r.state.Phase, r.state.Stage, r.state.Reason)
				}
			}
			if wrong > mostWrong {
				t.Errorf("%d of %d rollouts of a good version were not completed in time", wrong, seeds)
			}
		})
	}
}

func TestStatesMergeInAnyOrder(t *testing.T) {
	order := Order{Service: "s", Version: "v2", Within: within, Era: 1, Revision: 10}
	again, other, earlier := order, order, order
	again.Era, again.Revision = 2, 4
	other.Version, other.Revision = "v3", 12
	earlier.Version, earlier.Revision = "v1", 8
	at := func(o Order, stage int, p Phase) State {
		return State{Order: o, NoticedAt: orderedAt, Stage: stage, Phase: p, Reason: string(p)}
	}
	tests := map[string]struct {
		states []State
		want   State
	}{
		"a withdrawal stays":           {[]State{at(order, 0, InProgress), at(order, 2, RolledBack), at(order, 3, Completed)}, at(order, 3, RolledBack)},
		"a stage only rises":           {[]State{at(order, 2, InProgress), at(order, 1, InProgress)}, at(order, 2, InProgress)},
		"a later order replaces":       {[]State{at(order, 3, Completed), at(other, 0, InProgress), at(earlier, 5, RolledBack)}, at(other, 0, InProgress)},
		"a restored order is the same": {[]State{at(order, 2, RolledBack), at(again, 0, InProgress)}, at(again, 2, RolledBack)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for shift := range tc.states {
				var s Set
				for i := range tc.states {
					s.Merge(tc.states[(i+shift)%len(tc.states)])
				}
				got, _ := s.Of("s")
				got.Reason, tc.want.Reason = "", ""
				if d := cmp.Diff(tc.want, got); d != "" {
					t.Errorf("from state %d: %s", shift, d)
				}
			}
		})
	}
}

func TestStageOfAPeerIsBounded(t *testing.T) {
	for _, stage := range []int{-1, 1 << 40} {
		var s Set
		s.Merge(State{Order: Order{Service: "s", Version: "v2", Within: within}, NoticedAt: orderedAt, Phase: InProgress, Stage: stage})
		if got, _ := s.Of("s"); got.Stage < 0 || got.Stage > lastStage {
			t.Errorf("stage %d became %d", stage, got.Stage)
		}
	}
}

func TestEngagedServersAreThoseOfASmallerShareToo(t *testing.T) {
	servers := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	few, many := Engaged("v", servers, 0.05), Engaged("v", servers, 0.15)
	if len(few) != 1 || len(many) != 3 || cmp.Diff(few, many[:1]) != "" {
		t.Errorf("engaged %v at a small share, %v at a larger one", few, many)
	}
	if len(Engaged("v", servers, 0)) != 0 || len(Engaged("v", servers, 1)) != len(servers) {
		t.Error("no share engages servers, or all of them are not engaged at the full share")
	}
}
