package gateway

import (
	"sync"
	"time"

	"apricotbridge/internal/message"
	"apricotbridge/internal/routing"
	"apricotbridge/internal/scaling"
)

const (
	// demandLife is the time over which the demand of a service is averaged. Orders
	// of servers take effect after seconds.
	demandLife = 5 * time.Second
	// demandEvery is how often the averages take in what came.
	demandEvery = time.Second
	// demandSilence is how long the demand that a peer told of counts. Its callers
	// turn to other daemons when it is gone.
	demandSilence = 2 * time.Second
	// usualReread is the part of the shared prompt tokens that is always taken to be read
	// again, because no server that has room holds them.
	usualReread = 0.1
	// rereadLife is the time over which that part is averaged. It is longer than the
	// seconds in which empty caches fill.
	rereadLife = 10 * time.Second
)

// demand measures the work that callers ask for, by service, here and at the peers.
type demand struct {
	mu       sync.Mutex
	services map[string]*serviceDemand
	peers    map[string]peerDemand
}

// serviceDemand is what callers ask of one service at this daemon.
type serviceDemand struct {
	// own, shared and output sum the tokens that callers asked for since at: those of the
	// prompt that only this request has, those that others have too, and the response.
	own, shared, output float64
	at                  time.Time
	rate                scaling.Demand
	// known says that rate holds an average.
	known bool
	// sent and missing sum the shared tokens of prompts sent since at, and those of them
	// that their servers do not hold. reread is the average share.
	sent, missing, reread float64
}

type peerDemand struct {
	at    time.Time
	rates map[string]scaling.Demand
}

func newDemand() *demand {
	return &demand{services: map[string]*serviceDemand{}, peers: map[string]peerDemand{}}
}

// arrived counts a request.
func (d *demand) arrived(now time.Time, service string, call *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		s = &serviceDemand{at: now, reread: usualReread}
		d.services[service] = s
	}
	shared := sharedTokens(call.Parts)
	s.own += float64(max(call.PromptTokens-shared, 0))
	s.shared += float64(shared)
	s.output += float64(call.expected())
}

// sent takes that a prompt was sent to a server which is taken to hold some of it.
func (d *demand) sent(service string, call *Call, cached float64) {
	shared := float64(sharedTokens(call.Parts))
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		s.sent += shared
		s.missing += max(shared-cached, 0)
	}
}

func sharedTokens(parts []routing.Part) int {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].Tokens
}

// take moves what came into the average.
func (s *serviceDemand) take(now time.Time) {
	span := now.Sub(s.at).Seconds()
	if span < demandEvery.Seconds() {
		return
	}
	weight := min(span/demandLife.Seconds(), 1)
	if !s.known {
		// The average begins with what came first, rather than to rise from 0.
		weight, s.known = 1, true
	}
	if s.sent > 0 {
		s.reread += min(span/rereadLife.Seconds(), 1) * (s.missing/s.sent - s.reread)
	}
	prompt, more := s.own+usualReread*s.shared, max(s.reread-usualReread, 0)*s.shared
	s.rate.PromptTokens += weight * (prompt/span - s.rate.PromptTokens)
	s.rate.RereadTokens += weight * (more/span - s.rate.RereadTokens)
	s.rate.OutputTokens += weight * (s.output/span - s.rate.OutputTokens)
	s.own, s.shared, s.output, s.sent, s.missing, s.at = 0, 0, 0, 0, 0, now
}

// own returns the demand at this daemon.
func (d *demand) own(now time.Time) []message.ServiceDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []message.ServiceDemand
	for name, s := range d.services {
		s.take(now)
		list = append(list, message.ServiceDemand{Service: name, Prompt: s.rate.PromptTokens, Reread: s.rate.RereadTokens, Output: s.rate.OutputTokens})
	}
	return list
}

// heard takes the demand at a peer.
func (d *demand) heard(now time.Time, daemon string, list []message.ServiceDemand) {
	rates := make(map[string]scaling.Demand, len(list))
	for _, s := range list {
		rates[s.Service] = scaling.Demand{PromptTokens: s.Prompt, RereadTokens: s.Reread, OutputTokens: s.Output}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[daemon] = peerDemand{at: now, rates: rates}
}

// total returns the demand for a service at all daemons that are heard.
func (d *demand) total(now time.Time, service string) scaling.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum scaling.Demand
	if s := d.services[service]; s != nil {
		s.take(now)
		sum = s.rate
	}
	for daemon, p := range d.peers {
		if now.Sub(p.at) > demandSilence {
			delete(d.peers, daemon)
			continue
		}
		sum.PromptTokens += p.rates[service].PromptTokens
		sum.RereadTokens += p.rates[service].RereadTokens
		sum.OutputTokens += p.rates[service].OutputTokens
	}
	return sum
}
