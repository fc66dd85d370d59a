package entry

import (
	"time"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/registrar"
)

// Periods are the periods at which a daemon calls outside systems at a given size of
// the fleet, for benchmarks.
type Periods struct {
	// Renewal is the time between renewals of the registration, Daemons between lists
	// of the registrations, and Configuration between reads of the configuration
	// while no peer advertises a newer one.
	Renewal, Daemons, Configuration time.Duration
	// Instances is the time between reads of the instance list by a relay.
	Instances time.Duration
	// Engines is the time between polls of PolledServers servers.
	Engines       time.Duration
	PolledServers int
	// Tail is the mean time between reads of the tail of a ledger shard by each of
	// its ShardCandidates daemons, one of which may hold it.
	Tail            time.Duration
	ShardCandidates int
	// Relays is the number of relays of a place.
	Relays int
	// Placement is the time between placement plans.
	Placement time.Duration
}

// PeriodsOf returns the periods for the given numbers of daemons in the fleet, of
// daemons in the place of the calling daemon and of servers, and the bytes of the
// configuration.
func PeriodsOf(daemons, localDaemons, servers, configuration int) Periods {
	p := Periods{
		// maintainRegistration wakes up once a second.
		Renewal: registrationRenewPeriod + time.Second, Daemons: registrationListPeriod(daemons, false),
		Configuration: configurationPollInterval(localDaemons, configuration),
		Instances:     instanceListPeriod(instances.List{Instances: make([]instances.Instance, servers)}),
		Engines:       pollPeriod, PolledServers: min(enginesPerPoll, servers),
		Tail: registrar.MeanTailReadInterval, ShardCandidates: min(shardCandidates, daemons),
		Relays: min(relaysPerPlace, localDaemons), Placement: placementPeriod,
	}
	if daemons <= maxDaemonsWithoutRelays {
		p.Relays = localDaemons
	}
	return p
}
