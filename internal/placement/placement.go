// Package placement decides which instances to start and stop, which weights they
// load and which roles they take, from demand, prices, recent reclaims and refused
// starts. Plan has no I/O, no clock and no random source; its caller carries out
// the orders and reports what became of them in the next input.
package placement

import "time"

// Input is what one plan is made from. It covers the places that one holder of the
// placement duty is responsible for.
type Input struct {
	// Fencing is the number of the holder's lease.
	Fencing int64
	// OrdersFrom is the earliest time to give orders. A new holder waits until then
	// when engines ignore fencing numbers, so that no order of its predecessor is
	// carried out after its own.
	OrdersFrom time.Time
	// Ranks are the ranks of work, the most urgent first. The first one is the urgent
	// rank, which has to outlast the loss of the largest place.
	Ranks     []Rank
	Services  []Service
	Places    []Place
	Classes   []Class
	Offers    []Offer
	Demand    []Demand
	Instances []Instance
	Reclaims  []Reclaim
	Refusals  []Refusal
	Weights   Weights
}

// Rank is a rank of work with its target. The target between tokens is met by the
// rate of a class, which holds with all slots in use.
type Rank struct {
	Name string
	// FirstToken is the target for the first token. Work whose target is at least
	// minElastic may wait for capacity or for a lower price.
	FirstToken time.Duration
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// Places are where it may run; empty means all.
	Places []string
	// Model and Version are what an instance loads when no demand names a model.
	Model   string
	Version string
	// WeightBytes is the size of the weights of one model, AdapterBytes that of an
	// adapter.
	WeightBytes  float64
	AdapterBytes float64
	// RequestsPerSlot is the rate at which one slot serves requests. It is set for
	// plain services, whose demand is counted in requests instead of tokens.
	RequestsPerSlot float64
	// SplitRoles gives prefill and decode to separate instances, in proportion to
	// demand.
	SplitRoles bool
}

// Place is a data centre.
type Place struct {
	Name string
	// MaxPrice is the highest price per instance hour at which instances are started;
	// 0 means no bound.
	MaxPrice float64
	// OnDemand allows on-demand instances.
	OnDemand bool
}

// Class is a machine class.
type Class struct {
	Name                   string
	Slots                  int
	TokensPerSecond        float64
	PrefillTokensPerSecond float64
}

// Offer is the present price of a class in a place per instance hour. A price of 0
// means that there is no such offer.
type Offer struct {
	Place, Class          string
	Reclaimable, OnDemand float64
}

// Demand is the recent demand of one rank for one service.
type Demand struct {
	Rank, Service  string
	Model, Adapter string
	// TokensPerSecond and RequestsPerSecond are rates of arrival, averaged over about
	// a minute.
	TokensPerSecond       float64
	PromptTokensPerSecond float64
	RequestsPerSecond     float64
	// Waiting is the work that waits, in tokens, or in requests for a plain service.
	Waiting float64
	// OldestWait is how long the first of it has waited.
	OldestWait time.Duration
}

// InstanceState is the state of an instance as placement sees it.
type InstanceState string

// States of an instance.
const (
	Starting InstanceState = "Starting"
	// Idle instances run and have no weights loaded.
	Idle    InstanceState = "Idle"
	Loading InstanceState = "Loading"
	Serving InstanceState = "Serving"
	Leaving InstanceState = "Leaving"
)

// Role is the part of a request that an engine computes.
type Role string

// Roles of an engine.
const (
	Mixed   Role = "Mixed"
	Prefill Role = "Prefill"
	Decode  Role = "Decode"
)

// Instance is one machine that was started and has not ended.
type Instance struct {
	ID string
	// Token is that of the order that started it.
	Token                   string
	Service, Place, Class   string
	Reclaimable             bool
	Model, Adapter, Version string
	Role                    Role
	State                   InstanceState
	// Started is when it was started, Since when it entered its state.
	Started, Since time.Time
}

// Reclaim reports that the platform reclaimed Count of Running instances.
type Reclaim struct {
	Place, Class   string
	At             time.Time
	Count, Running int
}

// Refusal reports a refused start.
type Refusal struct {
	Token        string
	Place, Class string
	Reclaimable  bool
	At           time.Time
}

// Weights describes the weight store.
type Weights struct {
	// BytesPerSecond is the store's rate; 0 means no limit.
	BytesPerSecond float64
	// LoadBytesPerSecond is the rate at which one instance loads.
	LoadBytesPerSecond float64
	// Loads is the number of loads in progress, by whoever.
	Loads int
}

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	Start   Kind = "Start"
	Stop    Kind = "Stop"
	Load    Kind = "Load"
	SetRole Kind = "SetRole"
)

// Order is an instruction to the platform or an engine. It states the desired end
// state, so that carrying it out again is harmless: a start is identified by its
// token, and the other orders name an instance and what it has to be.
type Order struct {
	Kind    Kind
	Fencing int64
	// Reason is for the log line of the decision, with Considered, the number of
	// alternatives that were compared.
	Reason     string
	Considered int
	// Until is when the order lapses. The executor drops it afterwards, which bounds
	// how long a new holder has to wait.
	Until time.Time
	// Token identifies a start.
	Token string
	// Instance names the instance of all other orders.
	Instance                string
	Service, Place, Class   string
	Reclaimable             bool
	Model, Adapter, Version string
	Role                    Role
}

// Limits of orders.
const (
	// OrderLifetime bounds the time from an order to its effect. A new holder adds it
	// to the lease before its first order when engines ignore fencing numbers.
	OrderLifetime = time.Minute
	// minElastic is the shortest target at which work may wait for an instance to
	// start. It is several times the few minutes that a start and a load take.
	minElastic = 30 * time.Minute
)
