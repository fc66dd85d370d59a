// Package placement decides which instances to start and stop, which weights they load
// and which roles they take, from demand, prices, recent reclaims and refused starts.
// Plan has no I/O, no clock and no random source. Its caller carries out the orders and
// reports their outcome in the next input.
package placement

import "time"

// Input is the input of one plan. It covers the places that one holder of the placement
// duty is responsible for.
type Input struct {
	// Fencing is the fencing number of the holder's lease.
	Fencing int64
	// OrdersFrom is the earliest time to give orders. When engines ignore fencing
	// numbers, a new holder waits until then, so that no order of its predecessor is
	// carried out after one of its own.
	OrdersFrom time.Time
	// Ranks are the ranks of work, most urgent first. Work of the first rank, the
	// urgent work, must keep enough capacity when the largest place is lost.
	Ranks     []Rank
	Services  []Service
	Places    []Place
	Classes   []Class
	Offers    []Offer
	Demand    []Demand
	Instances []Instance
	Reclaims  []Reclaim
	Refusals  []Refusal
	Weights   WeightStore
}

// Rank is a rank of work with its latency target. It has no target between tokens: the
// token rate of a class holds with all slots in use and meets that target.
type Rank struct {
	Name string
	// FirstToken is the target for the time to the first token. Work with a target of
	// at least minElasticTarget is elastic: it may wait for capacity or a lower price.
	FirstToken time.Duration
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// Places where the service may run; empty means all.
	Places []string
	// Model and Version are loaded when the demand names no model.
	Model   string
	Version string
	// WeightBytes is the size of the weights of one model, AdapterBytes of one adapter.
	WeightBytes  float64
	AdapterBytes float64
	// RequestsPerSlot is the number of requests that one slot serves per second. It is
	// set for plain services, whose demand is counted in requests instead of tokens.
	RequestsPerSlot float64
	// SplitRoles assigns prefill and decode to separate instances, in proportion to
	// demand.
	SplitRoles bool
}

// Place is a data centre.
type Place struct {
	Name string
	// MaxPrice is the highest price per instance hour at which instances are started; 0
	// means no limit.
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

// Offer has the current prices of a class in a place per instance hour. A price of 0
// means that the class is not offered.
type Offer struct {
	Place, Class          string
	Reclaimable, OnDemand float64
}

// Demand is the recent demand of one rank for one service.
type Demand struct {
	Rank, Service  string
	Model, Adapter string
	// Arrival rates, averaged over about a minute.
	TokensPerSecond       float64
	PromptTokensPerSecond float64
	RequestsPerSecond     float64
	// Waiting is the queued work in tokens, or in requests for a plain service.
	Waiting float64
	// OldestWait is how long the oldest queued request has waited.
	OldestWait time.Duration
}

// InstanceState is a state in the life of an instance.
type InstanceState string

// States of an instance.
const (
	Starting InstanceState = "Starting"
	// Idle instances run without loaded weights.
	Idle    InstanceState = "Idle"
	Loading InstanceState = "Loading"
	Serving InstanceState = "Serving"
	Leaving InstanceState = "Leaving"
)

// Role is the part of a request that an engine computes: prefill, decode or both.
type Role string

// Roles of an engine.
const (
	Mixed   Role = "Mixed"
	Prefill Role = "Prefill"
	Decode  Role = "Decode"
)

// Instance is a machine that was started and has not ended.
type Instance struct {
	ID string
	// Token is the token of the order that started the instance.
	Token                   string
	Service, Place, Class   string
	Reclaimable             bool
	Model, Adapter, Version string
	Role                    Role
	State                   InstanceState
	// Started is when the instance was started, Since when it entered its state.
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

// WeightStore describes the weight store.
type WeightStore struct {
	// BytesPerSecond is the store's rate; 0 means no limit.
	BytesPerSecond float64
	// LoadBytesPerSecond is the rate at which one instance loads.
	LoadBytesPerSecond float64
	// Loads is the number of loads in progress, including those ordered by other
	// daemons.
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
// state, so that carrying it out again is harmless: a start is identified by its token,
// every other order names an instance and its desired state.
type Order struct {
	Kind    Kind
	Fencing int64
	// Reason and Considered, the number of alternatives compared, are logged with the
	// decision.
	Reason     string
	Considered int
	// Until is when the order expires. The executor drops expired orders, which bounds
	// how long a new holder has to wait.
	Until time.Time
	// Token identifies a start.
	Token string
	// Instance is the target of every order but a start.
	Instance                string
	Service, Place, Class   string
	Reclaimable             bool
	Model, Adapter, Version string
	Role                    Role
}

// Time limits of orders and of work that may wait.
const (
	// OrderLifetime bounds the time from an order to its effect. When engines ignore
	// fencing numbers, a new holder waits this long after the end of the previous
	// lease before its first order.
	OrderLifetime = time.Minute
	// minElasticTarget is the shortest target at which work may wait for an instance to
	// start. It is several times the few minutes that a start and a load take.
	minElasticTarget = 30 * time.Minute
)
