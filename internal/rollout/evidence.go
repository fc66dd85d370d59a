package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// buckets is the number of buckets of a Histogram, and bucketStep the ratio between the bounds of
// two. The first one ends at smallestRatio.
const (
	buckets       = 16
	bucketStep    = 1.5
	smallestRatio = 0.25
)

// Histogram counts times as ratios to what was expected.
type Histogram [buckets]int64

// Add counts a time.
func (h *Histogram) Add(took, expected time.Duration) {
	ratio := took.Seconds() / max(expected, time.Millisecond).Seconds()
	b := 0
	if ratio > smallestRatio {
		b = min(int(math.Ceil(math.Log(ratio/smallestRatio)/math.Log(bucketStep))), buckets-1)
	}
	h[b]++
}

func (h *Histogram) add(other Histogram) {
	for i, n := range other {
		h[i] += max(n, 0)
	}
}

func (h *Histogram) total() int64 { return h.from(0) }

// from returns the number of times in a bucket and those above it.
func (h *Histogram) from(bucket int) int64 {
	n := int64(0)
	for _, c := range h[min(bucket, buckets):] {
		n += c
	}
	return n
}

// median returns the bucket of the median.
func (h *Histogram) median() int {
	half := (h.total() + 1) / 2
	for b, seen := 0, int64(0); b < buckets; b++ {
		if seen += h[b]; seen >= half {
			return b
		}
	}
	return buckets - 1
}

// Side is what servers of one side of a rollout did: those of the new version, or all others.
type Side struct {
	// Answers counts the complete answers, and Failed those that state a failure of the server.
	Answers, Failed int64
	// First is the time to the first event of a stream, or to the answer. Pace is the time
	// between the events of a stream.
	First, Pace Histogram
}

func (s *Side) add(other Side) {
	s.Answers += max(other.Answers, 0)
	s.Failed += max(other.Failed, 0)
	s.First.add(other.First)
	s.Pace.add(other.Pace)
}

// Trial compares both sides at one stage on one route.
type Trial struct {
	Route    string
	Old, New Side
}

// Key identifies the stage of a rollout to which evidence belongs. The order's revision is left out:
// it changes when the store is restored.
type Key struct {
	Service, Version string
	Stage            int
}

// Source is one run of a daemon, or a whole place if Daemon is empty. Its counts only rise, so that the
// latest ones replace earlier ones and each answer counts once.
type Source struct {
	Place, Daemon string
	Start         int64
}

// Evidence holds what each daemon has observed. It is not safe for concurrent use.
type Evidence struct {
	counts map[Key]map[Source]map[string]*Trial
}

// Observe returns the counts of one daemon on a route, to add to.
func (e *Evidence) Observe(k Key, from Source, route string) *Trial {
	if e.counts == nil {
		e.counts = map[Key]map[Source]map[string]*Trial{}
	}
	if e.counts[k] == nil {
		e.counts[k] = map[Source]map[string]*Trial{}
	}
	if e.counts[k][from] == nil {
		e.counts[k][from] = map[string]*Trial{}
	}
	t := e.counts[k][from][route]
	if t == nil {
		t = &Trial{Route: route}
		e.counts[k][from][route] = t
	}
	return t
}

// Replace replaces the counts of one daemon with later ones. Counts that arrive late are ignored.
func (e *Evidence) Replace(k Key, from Source, trials []Trial) {
	for _, t := range trials {
		if known := e.Observe(k, from, t.Route); t.weight() >= known.weight() {
			*known = t
		}
	}
}

func (t *Trial) weight() int64 {
	n := int64(0)
	for _, s := range []*Side{&t.Old, &t.New} {
		n += s.Answers + s.First.total() + s.Pace.total()
	}
	return n
}

// Of returns the counts of one source in order of the routes.
func (e *Evidence) Of(k Key, from Source) []Trial { return sorted(e.counts[k][from]) }

// Sum returns the counts of all daemons in order of the routes. Of a place that has sent its sum, the counts of
// its daemons are left out.
func (e *Evidence) Sum(k Key) []Trial {
	return e.sum(k, func(s Source) bool {
		_, placeSum := e.counts[k][Source{Place: s.Place}]
		return s.Daemon == "" || !placeSum
	})
}

// SumOfPlace returns the counts of the daemons of one place.
func (e *Evidence) SumOfPlace(k Key, place string) []Trial {
	return e.sum(k, func(s Source) bool { return s.Place == place && s.Daemon != "" })
}

func (e *Evidence) sum(k Key, include func(Source) bool) []Trial {
	sums := map[string]*Trial{}
	for from, trials := range e.counts[k] {
		if !include(from) {
			continue
		}
		for route, t := range trials {
			if sums[route] == nil {
				sums[route] = &Trial{Route: route}
			}
			sums[route].Old.add(t.Old)
			sums[route].New.add(t.New)
		}
	}
	return sorted(sums)
}

func sorted(trials map[string]*Trial) []Trial {
	list := make([]Trial, 0, len(trials))
	for _, route := range slices.Sorted(maps.Keys(trials)) {
		list = append(list, *trials[route])
	}
	return list
}

// Retain drops the counts of rollouts for which keep returns false.
func (e *Evidence) Retain(keep func(Key) bool) {
	maps.DeleteFunc(e.counts, func(k Key, _ map[Source]map[string]*Trial) bool { return !keep(k) })
}

// Confidence is how sure a verdict is.
type Confidence int

// Confidences.
const (
	None Confidence = iota
	// Suspected means that the share of the new version is not raised.
	Suspected
	// Certain means that the new version is withdrawn.
	Certain
)

// Verdict is what the evidence says of the new version.
type Verdict struct {
	Worse Confidence
	// Answers counts the answers of the new version.
	Answers int64
	// AnswersAtStage counts those at the present stage.
	AnswersAtStage int64
	// Reason names the route and the measure, with its counts.
	Reason string
}

// slowBuckets is how many buckets above the median of the other versions a time counts as slow: 3.4
// times as long.
const slowBuckets = 3

const (
	// certainTail is the probability, if the new version is no worse, of evidence that withdraws it. A
	// rollout looks a hundred times at up to some ten measures, most of them the same evidence.
	certainTail = 1e-6
	// suspectedTail is that of evidence that holds a rollout up.
	suspectedTail = 5e-3
	// minBad is the least number of bad answers in evidence that withdraws a version.
	minBad = 4
	// minOthers is the least number of answers of the other versions at a stage to compare with.
	minOthers = 10
)

// Margins are how much larger the share of bad answers of a bad version is.
const (
	failedMargin = 0.02
	// slowMargin is larger than the effect of empty caches at the share of the first stage,
	// rampSlowMargin than that of all requests moving to servers with empty caches.
	slowMargin     = 0.1
	rampSlowMargin = 0.15
	// staleMargin is added where the other versions get too few requests, so that their answers at the first
	// stage stand for what they would answer now.
	staleMargin = 0.08
)

// Judge compares the new version with the others. It takes the counts of each stage so far in order of the
// routes. What hits all versions alike, such as an overload, hits both sides of a stage.
func Judge(stages [][]Trial) Verdict {
	v := judge(stages)
	for _, t := range stages[len(stages)-1] {
		v.AnswersAtStage += t.New.Answers
	}
	// What the first or the present stage shows is not diluted by the others.
	for _, stage := range []int{0, len(stages) - 1} {
		alone := make([][]Trial, len(stages))
		alone[0], alone[stage] = withoutNew(stages[0]), stages[stage]
		if single := judge(alone); single.Worse > v.Worse {
			v.Worse, v.Reason = single.Worse, single.Reason
		}
	}
	return v
}

// withoutNew returns the counts of the other versions only, to compare later stages with.
func withoutNew(trials []Trial) []Trial {
	list := slices.Clone(trials)
	for i := range list {
		list[i].New = Side{}
	}
	return list
}

func judge(stages [][]Trial) Verdict {
	v := Verdict{}
	routes := map[string]bool{}
	for _, trials := range stages {
		for _, t := range trials {
			v.Answers += t.New.Answers
			routes[t.Route] = true
		}
	}
	total := map[string]*comparison{}
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		measures := map[string]*comparison{"failures": {}, "slow first events": {}, "slow events": {}}
		base := find(stages[0], route)
		for stage, trials := range stages {
			t := find(trials, route)
			slow := slowMargin
			if stage > 0 {
				slow = rampSlowMargin
			}
			measures["failures"].add(sample{t.New.Failed, t.New.Answers}, sample{t.Old.Failed, t.Old.Answers}, sample{base.Old.Failed, base.Old.Answers}, failedMargin)
			from := base.Old.First.median() + slowBuckets
			measures["slow first events"].addConcurrent(t.New.First.sample(from), t.Old.First.sample(from), slow)
			from = base.Old.Pace.median() + slowBuckets
			measures["slow events"].addConcurrent(t.New.Pace.sample(from), t.Old.Pace.sample(from), slow)
		}
		for _, name := range slices.Sorted(maps.Keys(measures)) {
			v.note(fmt.Sprintf("%s on route %q", name, route), *measures[name])
			if total[name] == nil {
				total[name] = &comparison{}
			}
			total[name].join(*measures[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(total)) {
		v.note(name, *total[name])
	}
	return v
}

func find(trials []Trial, route string) Trial {
	i, ok := slices.BinarySearchFunc(trials, route, func(t Trial, route string) int { return cmp.Compare(t.Route, route) })
	if !ok {
		return Trial{Route: route}
	}
	return trials[i]
}

// sample is a number of bad answers of a number of answers.
type sample struct{ bad, of int64 }

// sample returns how many times lie in a bucket or above it.
func (h *Histogram) sample(from int) sample { return sample{h.from(from), h.total()} }

// comparison sums samples of the new version, with the number of bad answers that are expected of it if it is
// hardly worse than the others.
type comparison struct {
	fresh, others sample
	expected      float64
}

// addConcurrent adds the samples of one stage, unless the other versions got too few requests at it to compare
// with: an overload makes all versions slow.
func (c *comparison) addConcurrent(fresh, others sample, margin float64) {
	if enoughOthers(fresh, others) {
		c.add(fresh, others, others, margin)
	}
}

// enoughOthers reports whether the other versions got enough requests at the stage of the new one.
func enoughOthers(fresh, others sample) bool {
	return others.of >= minOthers && others.of >= fresh.of/4
}

// add adds the samples of one stage. base is that of the other versions at the first stage.
func (c *comparison) add(fresh, others, base sample, margin float64) {
	reference := others
	if !enoughOthers(fresh, others) {
		reference, margin = base, margin+staleMargin
	}
	if fresh.of == 0 || reference.of < minOthers {
		return // Nothing to compare with.
	}
	share := (float64(reference.bad)+1)/(float64(reference.of)+2) + margin
	c.expected += min(share, 1) * float64(fresh.of)
	c.fresh.bad += fresh.bad
	c.fresh.of += fresh.of
	c.others.bad += reference.bad
	c.others.of += reference.of
}

func (c *comparison) join(other comparison) {
	c.fresh.bad += other.fresh.bad
	c.fresh.of += other.fresh.of
	c.others.bad += other.others.bad
	c.others.of += other.others.of
	c.expected += other.expected
}

// note applies a comparison to the verdict.
func (v *Verdict) note(measure string, c comparison) {
	if c.fresh.of == 0 {
		return
	}
	tail := upperTail(c.fresh.bad, c.fresh.of, c.expected/float64(c.fresh.of))
	confidence := None
	switch {
	case c.fresh.bad >= minBad && tail < certainTail:
		confidence = Certain
	case c.fresh.bad >= minBad && tail < suspectedTail:
		confidence = Suspected
	}
	if confidence > v.Worse {
		v.Worse = confidence
		v.Reason = fmt.Sprintf("%s: %d of %d, others %d of %d", measure, c.fresh.bad, c.fresh.of, c.others.bad, c.others.of)
	}
}

// upperTail returns the probability that at least k of n independent events happen, each with
// probability p.
func upperTail(k, n int64, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	if float64(k) <= p*float64(n) {
		return 1 // Not in the tail.
	}
	logGamma := func(x int64) float64 {
		v, _ := math.Lgamma(float64(x) + 1)
		return v
	}
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logGamma(n) - logGamma(i) - logGamma(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if term < sum*1e-9 {
			break // The terms fall from the mean on.
		}
	}
	return min(sum, 1)
}
