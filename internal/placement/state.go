package placement

import (
	"math"
	"time"
)

const (
	// minBackoff and maxBackoff bound the time for which an offer is left alone after
	// refused starts. The time doubles with each refusal in a row.
	minBackoff = 30 * time.Second
	maxBackoff = 10 * time.Minute
	// probeStarts is the number of starts sent to an offer that refused before, since
	// its capacity is unknown and a refused start costs the time of a plan.
	probeStarts = 4
	// riskMemory is the time in which the weight of a past reclaim falls to 1/e. Waves
	// come in clusters of about an hour.
	riskMemory = time.Hour
	// baseRisk is the share of the instances reclaimed an hour without a wave, from
	// 280 of 920 instances replaced on an ordinary day.
	baseRisk = 280.0 / 920 / 24
	// startTime is the usual time from a start to a serving instance. A reclaim costs
	// this time without work at the replacement.
	startTime = 4 * time.Minute
)

// key names an offer of one kind.
type key struct {
	place, class string
	reclaimable  bool
}

type backoff struct {
	failures    int
	last, until time.Time
}

// pending is a start that is not yet among the instances.
type pending struct {
	order Order
	// replaces is the instance that stops when the new one serves.
	replaces string
}

// State is what Plan remembers from one plan to the next. The zero value is ready to
// use, so that a new holder of the duty begins without it.
type State struct {
	sequence int64
	starts   map[string]pending
	// replaces maps a token to the instance that its start replaces.
	replaces map[string]string
	stopping map[string]string
	backoffs map[key]backoff
	// needs has the needs of each service within the surplus time.
	needs map[string][]needAt
	// elastic is the average rate of the elastic work of each service.
	elastic map[string]float64
	// began and seen are the times of the first and the last plan.
	began, seen time.Time
}

type needAt struct {
	at   time.Time
	need need
}

func (s *State) init(now time.Time) {
	if s.starts != nil {
		return
	}
	s.starts, s.replaces = map[string]pending{}, map[string]string{}
	s.stopping, s.backoffs = map[string]string{}, map[key]backoff{}
	s.needs, s.began = map[string][]needAt{}, now
	s.elastic = map[string]float64{}
}

// observe takes in what became of earlier orders.
func (s *State) observe(now time.Time, in *Input) {
	s.init(now)
	for _, r := range in.Refusals {
		s.refused(r, in)
	}
	present, tokens := map[string]bool{}, map[string]bool{}
	for _, i := range in.Instances {
		present[i.ID], tokens[i.Token] = true, true
		delete(s.starts, i.Token)
		if old, ok := s.replaces[i.Token]; ok && i.State == Serving {
			s.stopping[old] = "replaced by a cheaper instance"
			delete(s.replaces, i.Token)
		}
		if i.State == Leaving {
			delete(s.replaces, i.Token)
		}
	}
	for token, p := range s.starts {
		if !now.Before(p.order.Until) {
			delete(s.starts, token)
			delete(s.replaces, token)
		}
	}
	for token, old := range s.replaces {
		if _, waiting := s.starts[token]; !present[old] || !waiting && !tokens[token] {
			delete(s.replaces, token)
		}
	}
	for id := range s.stopping {
		if !present[id] {
			delete(s.stopping, id)
		}
	}
}

// refused backs off the offer of a refused start. The refusals of one plan count as
// one, and an instance started since the last one ends the row.
func (s *State) refused(r Refusal, in *Input) {
	delete(s.starts, r.Token)
	delete(s.replaces, r.Token)
	k := key{r.Place, r.Class, r.Reclaimable}
	b := s.backoffs[k]
	if !r.At.After(b.last) {
		return
	}
	for _, i := range in.Instances {
		if i.Place == r.Place && i.Class == r.Class && i.Reclaimable == r.Reclaimable && i.Started.After(b.last) {
			b.failures = 0
			break
		}
	}
	b.failures++
	b.last = r.At
	wait := time.Duration(float64(minBackoff) * math.Pow(2, float64(min(b.failures, 10)-1)))
	b.until = r.At.Add(min(maxBackoff, wait))
	s.backoffs[k] = b
}

// risk predicts the share of the instances of a place and class that is reclaimed in
// an hour. A wave that took a share of a place makes the next one likelier for a
// while, also for the other classes there.
func risk(now time.Time, in *Input, place, class string) float64 {
	total := baseRisk
	for _, r := range in.Reclaims {
		if r.Place != place || r.Running == 0 || r.At.After(now) {
			continue
		}
		share := float64(r.Count) / float64(r.Running)
		if r.Class != class {
			share /= 2
		}
		total += share * math.Exp(-now.Sub(r.At).Hours()/riskMemory.Hours()) / riskMemory.Hours()
	}
	return min(total, 10)
}
