package placement

import (
	"math"
	"time"
)

const (
	// minBackoff and maxBackoff bound the backoff of an offer after refused starts. It
	// doubles with each consecutive refusal.
	minBackoff = 30 * time.Second
	maxBackoff = 10 * time.Minute
	// maxProbeStarts is the number of starts per plan sent to an offer after its
	// backoff: its capacity is unknown, and a refused start loses the time of a plan.
	maxProbeStarts = 4
	// riskDecayTime is the time after which the weight of a past reclaim has fallen to
	// 1/e. Reclaim waves come in clusters of about an hour.
	riskDecayTime = time.Hour
	// baseRisk is the share of instances reclaimed per hour without a wave: 280 of 920
	// instances are replaced on an ordinary day.
	baseRisk = 280.0 / 920 / 24
	// startDuration is the usual time from a start to a serving instance. After a
	// reclaim, the replacement does no work for that time.
	startDuration = 4 * time.Minute
)

// offerKey identifies an offer of reclaimable or on-demand instances.
type offerKey struct {
	place, class string
	reclaimable  bool
}

type backoff struct {
	failures    int
	last, until time.Time
}

// pendingStart is an ordered start whose instance has not appeared yet.
type pendingStart struct {
	order Order
	// replaces is the ID of the instance that stops when the new one serves, or empty.
	replaces string
}

// State is kept between plans. The zero value is ready to use; a new holder of the duty
// starts with it.
type State struct {
	startSequence int64
	pendingStarts map[string]pendingStart
	// replacements maps the token of a start to the ID of the instance that it
	// replaces.
	replacements map[string]string
	// stopReasons maps the ID of each instance with a pending stop to the reason.
	stopReasons map[string]string
	backoffs    map[offerKey]backoff
	// recentNeeds has the needs of each service within surplusDelay.
	recentNeeds map[string][]timedNeed
	// elasticRates is the average rate of elastic work by service.
	elasticRates map[string]float64
	// Times of the first and the last plan.
	firstPlanAt, lastPlanAt time.Time
}

type timedNeed struct {
	at   time.Time
	need need
}

func (s *State) init(now time.Time) {
	if s.pendingStarts != nil {
		return
	}
	s.pendingStarts, s.replacements = map[string]pendingStart{}, map[string]string{}
	s.stopReasons, s.backoffs = map[string]string{}, map[offerKey]backoff{}
	s.recentNeeds, s.firstPlanAt = map[string][]timedNeed{}, now
	s.elasticRates = map[string]float64{}
}

// reconcile updates the state with the outcome of earlier orders.
func (s *State) reconcile(now time.Time, in *Input) {
	s.init(now)
	for _, r := range in.Refusals {
		s.backOff(r, in)
	}
	present, presentTokens := map[string]bool{}, map[string]bool{}
	for _, i := range in.Instances {
		present[i.ID], presentTokens[i.Token] = true, true
		delete(s.pendingStarts, i.Token)
		if old, ok := s.replacements[i.Token]; ok && i.State == Serving {
			s.stopReasons[old] = "replaced by a cheaper instance"
			delete(s.replacements, i.Token)
		}
		if i.State == Leaving {
			delete(s.replacements, i.Token)
		}
	}
	for token, p := range s.pendingStarts {
		if !now.Before(p.order.Until) {
			delete(s.pendingStarts, token)
			delete(s.replacements, token)
		}
	}
	for token, old := range s.replacements {
		if _, pending := s.pendingStarts[token]; !present[old] || !pending && !presentTokens[token] {
			delete(s.replacements, token)
		}
	}
	for id := range s.stopReasons {
		if !present[id] {
			delete(s.stopReasons, id)
		}
	}
}

// backOff records a refused start in the backoff of its offer. Refusals of one plan
// count once, and an instance started since the last refusal resets the count.
func (s *State) backOff(r Refusal, in *Input) {
	delete(s.pendingStarts, r.Token)
	delete(s.replacements, r.Token)
	k := offerKey{r.Place, r.Class, r.Reclaimable}
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

// predictReclaimRisk predicts the share of instances of a place and class that will be
// reclaimed within an hour. A recent reclaim wave in the place raises it, by half as
// much if it hit another class.
func predictReclaimRisk(now time.Time, in *Input, place, class string) float64 {
	risk := baseRisk
	for _, r := range in.Reclaims {
		if r.Place != place || r.Running == 0 || r.At.After(now) {
			continue
		}
		share := float64(r.Count) / float64(r.Running)
		if r.Class != class {
			share /= 2
		}
		risk += share * math.Exp(-now.Sub(r.At).Hours()/riskDecayTime.Hours()) / riskDecayTime.Hours()
	}
	return min(risk, 10)
}
