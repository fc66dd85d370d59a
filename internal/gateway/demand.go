package gateway

import (
	"sync"
	"time"

	"apricotbridge/internal/message"
	"apricotbridge/internal/routing"
	"apricotbridge/internal/scaling"
)

const (
	// demandAverageTime is the time constant of the average demand of a service. Ordered
	// servers take seconds to start.
	demandAverageTime = 5 * time.Second
	// demandInterval is the least time between updates of the averages.
	demandInterval = time.Second
	// peerDemandTimeout is how long a peer's demand counts after its last report. The
	// callers of a lost daemon move to other daemons, which then count their requests.
	peerDemandTimeout = 2 * time.Second
	// baseRereadShare is the fraction of the shared prompt tokens that is always counted
	// as prefilled again, because no server with a free slot has them cached.
	baseRereadShare = 0.1
	// rereadAverageTime is the time constant of the average rereadShare. It is longer
	// than the seconds in which empty caches fill.
	rereadAverageTime = 10 * time.Second
)

// demandTracker measures the tokens that callers request, by service, at this daemon and
// its peers.
type demandTracker struct {
	mu       sync.Mutex
	services map[string]*serviceDemand
	peers    map[string]peerDemand
}

// serviceDemand is the demand for one service at this daemon.
type serviceDemand struct {
	// Tokens requested since the last update of the average: prompt tokens that only one
	// request has, prompt tokens shared with other requests, and response tokens.
	ownTokens, sharedTokens, outputTokens float64
	lastUpdate                            time.Time
	average                               scaling.Demand
	// averaged means that average holds a value.
	averaged bool
	// sentTokens sums the shared tokens of prompts sent since the last update, and
	// missingTokens those that the chosen servers do not have cached. rereadShare is the
	// average ratio of the two.
	sentTokens, missingTokens, rereadShare float64
}

type peerDemand struct {
	at    time.Time
	rates map[string]scaling.Demand
}

func newDemandTracker() *demandTracker {
	return &demandTracker{services: map[string]*serviceDemand{}, peers: map[string]peerDemand{}}
}

// addRequest counts a request that arrived.
func (d *demandTracker) addRequest(now time.Time, service string, call *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		s = &serviceDemand{lastUpdate: now, rereadShare: baseRereadShare}
		d.services[service] = s
	}
	shared := sharedTokens(call.Parts)
	s.ownTokens += float64(max(call.PromptTokens-shared, 0))
	s.sharedTokens += float64(shared)
	s.outputTokens += float64(call.expectedOutputTokens())
}

// addSentPrompt counts a prompt sent to a server. cached is the number of its tokens that
// the server is assumed to have cached.
func (d *demandTracker) addSentPrompt(service string, call *Call, cached float64) {
	shared := float64(sharedTokens(call.Parts))
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		s.sentTokens += shared
		s.missingTokens += max(shared-cached, 0)
	}
}

// sharedTokens returns the length of the prefix that other prompts may share: all parts
// but the last. The tokens of a part include those of the parts before it.
func sharedTokens(parts []routing.Part) int {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].Tokens
}

// updateAverage folds the sums since the last update into the averages.
func (s *serviceDemand) updateAverage(now time.Time) {
	span := now.Sub(s.lastUpdate).Seconds()
	if span < demandInterval.Seconds() {
		return
	}
	weight := min(span/demandAverageTime.Seconds(), 1)
	if !s.averaged {
		// Start at the first measurement instead of rising from 0.
		weight, s.averaged = 1, true
	}
	if s.sentTokens > 0 {
		s.rereadShare += min(span/rereadAverageTime.Seconds(), 1) * (s.missingTokens/s.sentTokens - s.rereadShare)
	}
	prompt, reread := s.ownTokens+baseRereadShare*s.sharedTokens, max(s.rereadShare-baseRereadShare, 0)*s.sharedTokens
	s.average.PromptTokens += weight * (prompt/span - s.average.PromptTokens)
	s.average.RereadTokens += weight * (reread/span - s.average.RereadTokens)
	s.average.OutputTokens += weight * (s.outputTokens/span - s.average.OutputTokens)
	s.ownTokens, s.sharedTokens, s.outputTokens, s.sentTokens, s.missingTokens, s.lastUpdate = 0, 0, 0, 0, 0, now
}

// ownDemands returns the demand at this daemon, by service.
func (d *demandTracker) ownDemands(now time.Time) []message.ServiceDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []message.ServiceDemand
	for name, s := range d.services {
		s.updateAverage(now)
		list = append(list, message.ServiceDemand{Service: name, Prompt: s.average.PromptTokens, Reread: s.average.RereadTokens, Output: s.average.OutputTokens})
	}
	return list
}

// setPeerDemand records the demand that a peer reported.
func (d *demandTracker) setPeerDemand(now time.Time, daemon string, list []message.ServiceDemand) {
	rates := make(map[string]scaling.Demand, len(list))
	for _, s := range list {
		rates[s.Service] = scaling.Demand{PromptTokens: s.Prompt, RereadTokens: s.Reread, OutputTokens: s.Output}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[daemon] = peerDemand{at: now, rates: rates}
}

// total returns the demand for a service at this daemon and all peers that reported
// lately.
func (d *demandTracker) total(now time.Time, service string) scaling.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum scaling.Demand
	if s := d.services[service]; s != nil {
		s.updateAverage(now)
		sum = s.average
	}
	for daemon, p := range d.peers {
		if now.Sub(p.at) > peerDemandTimeout {
			delete(d.peers, daemon)
			continue
		}
		sum.PromptTokens += p.rates[service].PromptTokens
		sum.RereadTokens += p.rates[service].RereadTokens
		sum.OutputTokens += p.rates[service].OutputTokens
	}
	return sum
}
