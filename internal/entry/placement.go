package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/cloud"
	"apricotbridge/internal/engine"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/placement"
	"apricotbridge/internal/usage"
	"apricotbridge/pkg/config"
)

const (
	placementPeriod = 5 * time.Second
	// demandAveragingTime is the time constant of the moving average of demand.
	demandAveragingTime = time.Minute
	// stopGrace is the time that a leaving instance has to finish its requests before
	// it is stopped.
	stopGrace = 30 * time.Second
	// reclaimRetention is how long a reclaim counts towards the reclaim risk of its
	// place.
	reclaimRetention = 6 * time.Hour
	// plainRequestsPerSlot is the assumed rate, in requests per second, at which a
	// slot of a plain service serves.
	plainRequestsPerSlot = 5
)

// cloudAPI is the part of the cloud API that a daemon uses.
type cloudAPI interface {
	Prices(ctx context.Context) ([]cloud.Price, error)
	List(ctx context.Context) ([]cloud.Instance, error)
	Start(ctx context.Context, s cloud.StartRequest) (cloud.Instance, error)
	Stop(ctx context.Context, id string) error
	Notices(ctx context.Context, after int64) ([]cloud.Notice, int64, error)
}

// placer performs the placement duty of a region while this daemon holds it.
type placer struct {
	d     *Daemon
	duty  *dutyRunner
	state placement.State
	// fence is the fencing number of the duty, 0 while it is not held. Engines that
	// ignore fencing numbers get no orders before ordersFrom.
	fence      uint64
	ordersFrom time.Time
	reclaims   []placement.Reclaim
	refusals   []placement.Refusal
	// stopTimes has the time at which each leaving instance is stopped.
	stopTimes map[string]time.Time
	demand    demandMeter
}

// runPlacement competes for the placement duty of this region and performs it while
// held. A daemon without a cloud API does not compete.
func (d *Daemon) runPlacement(ctx context.Context) error {
	if d.Cloud == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	p := &placer{d: d, duty: d.newDutyRunner("placement/"+d.Settings.Region, placement.OrderLifetime), stopTimes: map[string]time.Time{}}
	p.duty.onAcquired = func(fence uint64, ordersFrom time.Time) {
		p.fence, p.ordersFrom, p.state = fence, ordersFrom, placement.State{}
		d.placementFence.Store(fence)
		d.Log.Info("placement duty acquired", "Fence", fence, "OrdersFrom", ordersFrom)
	}
	p.duty.onLost = func(reason string) {
		p.fence = 0
		d.placementFence.Store(0)
		d.Log.Info("placement duty lost", "Reason", reason)
	}
	lastPlan := time.Time{}
	p.duty.afterStep = func(ctx context.Context, now time.Time) {
		if p.fence != 0 && p.duty.state.Holds(now) && now.Sub(lastPlan) >= placementPeriod {
			lastPlan = now
			p.planAndExecute(ctx, now)
		}
	}
	return p.duty.run(ctx, d.draining)
}

// planAndExecute makes one plan and executes its orders.
func (p *placer) planAndExecute(ctx context.Context, now time.Time) {
	v := p.d.view.Load()
	if v.Index == nil {
		return
	}
	in, err := p.planInput(ctx, now, v)
	if err != nil {
		p.d.Log.Info("no placement decision", "Reason", err.Error())
		return
	}
	for _, o := range placement.Plan(now, in, &p.state) {
		p.d.Log.Info("placement decision", "Kind", string(o.Kind), "Service", o.Service, "Instance", o.Instance, "InstancePlace", o.Place,
			"Class", o.Class, "Reclaimable", o.Reclaimable, "Model", o.Model, "Fence", o.Fencing, "Considered", o.Considered, "Reason", o.Reason)
		// The duty may have lapsed while earlier orders were executed.
		if time.Now().After(o.Until) || !p.duty.state.Holds(time.Now()) {
			return
		}
		p.execute(ctx, now, o)
	}
	p.stopDueInstances(ctx, now)
}

func (p *placer) planInput(ctx context.Context, now time.Time, v *View) (placement.Input, error) {
	prices, err := p.d.Cloud.Prices(ctx)
	if err != nil {
		return placement.Input{}, errors.Annotate(err, "read prices")
	}
	cloudInstances, err := p.d.Cloud.List(ctx)
	if err != nil {
		return placement.Input{}, errors.Annotate(err, "list instances")
	}
	in := placement.Input{
		Fencing: int64(p.fence), OrdersFrom: p.ordersFrom, Demand: p.demand.rates(now, v),
		Reclaims: p.recentReclaims(now), Refusals: p.refusals,
	}
	p.refusals = nil
	for _, r := range v.Index.Config.Ranks {
		in.Ranks = append(in.Ranks, placement.Rank{Name: r.Name, FirstToken: time.Duration(r.FirstToken)})
	}
	for _, s := range v.Index.Config.Services {
		service := placement.Service{Name: s.Name, Places: s.Places, Model: s.Name}
		if s.Kind == config.ServiceKindPlain {
			service.RequestsPerSlot = plainRequestsPerSlot
		}
		in.Services = append(in.Services, service)
	}
	for _, place := range v.Index.Config.Places {
		if place.Region == p.d.Settings.Region {
			in.Places = append(in.Places, placement.Place{Name: place.Name, MaxPrice: place.MaxPrice, OnDemand: place.OnDemand})
		}
	}
	for _, c := range v.Index.Config.Classes {
		in.Classes = append(in.Classes, placement.Class{
			Name: c.Name, Slots: c.Slots, TokensPerSecond: c.TokensPerSecond, PrefillTokensPerSecond: c.PrefillTokensPerSecond,
		})
	}
	for _, price := range prices {
		in.Offers = append(in.Offers, placement.Offer{Place: price.Place, Class: price.Class, Reclaimable: price.Reclaimable, OnDemand: price.OnDemand})
	}
	for _, i := range cloudInstances {
		if v.Index.Region(i.Place) == p.d.Settings.Region {
			in.Instances = append(in.Instances, p.joinInstance(v, i))
		}
	}
	return in, nil
}

// joinInstance combines the state of an instance in the cloud API with that of its
// member.
func (p *placer) joinInstance(v *View, i cloud.Instance) placement.Instance {
	instance := placement.Instance{
		ID: i.ID, Token: i.Token, Service: i.Service, Place: i.Place, Class: i.Class, Reclaimable: i.Reclaimable,
		Model: i.Service, Role: placement.Mixed, Started: i.Since, Since: i.Since,
	}
	switch i.State {
	case cloud.Starting:
		instance.State = placement.Starting
	case cloud.Leaving:
		instance.State = placement.Leaving
	default:
		instance.State = placement.Serving
	}
	for _, m := range v.Members {
		if m.Server == i.ID && m.State >= membership.Leaving {
			instance.State = placement.Leaving
		}
	}
	return instance
}

// execute performs one order. A failed order is reconsidered in the next plan.
func (p *placer) execute(ctx context.Context, now time.Time, o placement.Order) {
	var err error
	switch o.Kind {
	case placement.Start:
		_, err = p.d.Cloud.Start(ctx, cloud.StartRequest{Token: o.Token, Place: o.Place, Class: o.Class, Service: o.Service, Reclaimable: o.Reclaimable})
		var refused *cloud.RefusedError
		if errors.As(err, &refused) {
			p.refusals = append(p.refusals, placement.Refusal{Token: o.Token, Place: o.Place, Class: o.Class, Reclaimable: o.Reclaimable, At: now})
		}
	case placement.Stop:
		if _, ok := p.stopTimes[o.Instance]; !ok {
			p.stopTimes[o.Instance] = now.Add(stopGrace)
			p.d.announceLeaving(ctx, o.Instance)
		}
	case placement.Load, placement.SetRole:
		server, ok := p.d.view.Load().Table.Server(o.Instance)
		if !ok {
			return
		}
		err = p.d.Engine.Command(ctx, server.Address, engine.Command{
			Fence: o.Fencing, Model: o.Model, Adapter: o.Adapter, Version: o.Version, Role: string(o.Role),
		})
	}
	if err != nil {
		p.d.Log.Info("placement order failed", "Kind", string(o.Kind), "Instance", o.Instance, "InstancePlace", o.Place, "Error", err.Error())
	}
}

// announceLeaving marks a backend server as leaving, here and at all peers, so that
// it gets no new work.
func (d *Daemon) announceLeaving(ctx context.Context, instance string) {
	d.post(ctx, func(c *controlState, now time.Time) {
		if m, ok := c.members.Get(instance); ok {
			m.State = membership.Leaving
			c.serverDeadlines[instance] = now.Add(stopGrace)
			c.applySignal(now, membership.Signal{Source: membership.Notice, Member: m})
		}
	})
}

func (p *placer) stopDueInstances(ctx context.Context, now time.Time) {
	for id, at := range p.stopTimes {
		if now.Before(at) || !p.duty.state.Holds(now) {
			continue
		}
		if err := p.d.Cloud.Stop(ctx, id); err != nil {
			p.d.Log.Info("instance not stopped", "Instance", id, "Error", err.Error())
			continue
		}
		delete(p.stopTimes, id)
	}
}

func (p *placer) recentReclaims(now time.Time) []placement.Reclaim {
	p.reclaims = append(p.reclaims, p.d.announcedReclaims.drain()...)
	recent := p.reclaims[:0]
	for _, r := range p.reclaims {
		if now.Sub(r.At) < reclaimRetention {
			recent = append(recent, r)
		}
	}
	p.reclaims = recent
	return recent
}

// demandMeter computes demand rates from the usage counters of a region.
type demandMeter struct {
	previousSums usage.Sums
	measuredAt   time.Time
	averages     map[[2]string]placement.Demand
}

// rates returns the moving average of the demand by rank and service. The first call
// returns nil.
func (m *demandMeter) rates(now time.Time, v *View) []placement.Demand {
	if m.averages == nil {
		m.averages = map[[2]string]placement.Demand{}
	}
	elapsed := now.Sub(m.measuredAt)
	first := m.measuredAt.IsZero() || elapsed <= 0
	m.measuredAt = now
	current := map[[2]string]placement.Demand{}
	for key, row := range v.regionUsage {
		previous := m.previousSums[key]
		demand := current[[2]string{key.Rank, key.Service}]
		demand.TokensPerSecond += max(0, row.Offered-previous.Offered) / elapsed.Seconds()
		demand.RequestsPerSecond += float64(max(0, int64(row.Requests-previous.Requests))) / elapsed.Seconds()
		current[[2]string{key.Rank, key.Service}] = demand
	}
	m.previousSums = v.regionUsage
	if first {
		return nil
	}
	weight := min(1, elapsed.Seconds()/demandAveragingTime.Seconds())
	var demands []placement.Demand
	for key := range current {
		d := m.averages[key]
		d.Rank, d.Service = key[0], key[1]
		d.TokensPerSecond += weight * (current[key].TokensPerSecond - d.TokensPerSecond)
		d.RequestsPerSecond += weight * (current[key].RequestsPerSecond - d.RequestsPerSecond)
		m.averages[key] = d
		demands = append(demands, d)
	}
	return demands
}
