package entry

import (
	"time"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/registrar"
)

// Periods are the paces of a daemon's calls to outside systems at a size of the
// fleet, for benchmarks.
type Periods struct {
	// Renewal is the time between renewals of the registration, Daemons between
	// lists of the registrations, and Configuration between reads of the
	// configuration when no peer shows a newer one.
	Renewal, Daemons, Configuration time.Duration
	// Instances is the time between reads of the instance list at a relay.
	Instances time.Duration
	// Engines is the time between polls of PolledServers servers.
	Engines       time.Duration
	PolledServers int
	// Tail is the mean time between reads of the tail of a ledger shard by each of
	// ShardCandidates daemons, one of which may hold it.
	Tail            time.Duration
	ShardCandidates int
	// Relays is the number of daemons that read for a place.
	Relays int
	// Placement is the time between placement plans.
	Placement time.Duration
}

// PeriodsOf returns the paces with the given numbers of daemons, of daemons in the
// own place, and of servers, and the bytes of the configuration.
func PeriodsOf(daemons, near, servers, configuration int) Periods {
	p := Periods{
		// The loop of registrations turns once a second.
		Renewal: registrationTick + time.Second, Daemons: listAfter(daemons, false),
		Configuration: pollAfter(near, configuration),
		Instances:     listPeriod(instances.List{Instances: make([]instances.Instance, servers)}),
		Engines:       pollPeriod, PolledServers: min(polledServers, servers),
		Tail: registrar.TailPeriod, ShardCandidates: min(shardCandidates, daemons),
		Relays: min(relaysPerPlace, near), Placement: placementPeriod,
	}
	if daemons <= readAllDaemons {
		p.Relays = near
	}
	return p
}
