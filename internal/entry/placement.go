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
	// demandMemory is the time over which the demand is averaged.
	demandMemory = time.Minute
	// stopGrace is the time between the word that an instance leaves and its stop,
	// for the requests that it still runs.
	stopGrace = 30 * time.Second
	// keptReclaims is how long a reclaim counts for the risk of its place.
	keptReclaims = 6 * time.Hour
	// plainRequestsPerSlot is the rate at which a slot of a plain service serves.
	plainRequestsPerSlot = 5
)

// cloudAPI is the part of the cloud API that placement needs.
type cloudAPI interface {
	Prices(ctx context.Context) ([]cloud.Price, error)
	List(ctx context.Context) ([]cloud.Instance, error)
	Start(ctx context.Context, s cloud.Start) (cloud.Instance, error)
	Stop(ctx context.Context, id string) error
	Notices(ctx context.Context, after int64) ([]cloud.Notice, int64, error)
}

// placer performs the placement duty of a region while it is held.
type placer struct {
	d     *Daemon
	duty  *duty
	state placement.State
	// fence and ordersFrom are those of the holding; fence 0 means not held.
	fence      uint64
	ordersFrom time.Time
	reclaims   []placement.Reclaim
	refusals   []placement.Refusal
	// stops are the instances that leave, with the time of their stop.
	stops  map[string]time.Time
	demand demandMeter
}

// runPlacement holds the placement duty of this region when it can, and performs
// it. Without a cloud API this daemon is no candidate.
func (d *Daemon) runPlacement(ctx context.Context) error {
	if d.Cloud == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	p := &placer{d: d, duty: d.newDuty("placement/"+d.Settings.Region, placement.OrderLifetime), stops: map[string]time.Time{}}
	p.duty.acquired = func(fence uint64, ordersFrom time.Time) {
		p.fence, p.ordersFrom, p.state = fence, ordersFrom, placement.State{}
		d.placementFence.Store(fence)
		d.Log.Info("placement duty acquired", "Fence", fence, "OrdersFrom", ordersFrom)
	}
	p.duty.lost = func(reason string) {
		p.fence = 0
		d.placementFence.Store(0)
		d.Log.Info("placement duty lost", "Reason", reason)
	}
	last := time.Time{}
	p.duty.each = func(ctx context.Context, now time.Time) {
		if p.fence != 0 && p.duty.state.Holds(now) && now.Sub(last) >= placementPeriod {
			last = now
			p.place(ctx, now)
		}
	}
	return p.duty.run(ctx, d.draining)
}

// place makes one plan and carries it out.
func (p *placer) place(ctx context.Context, now time.Time) {
	v := p.d.view.Load()
	if v.Index == nil {
		return
	}
	in, err := p.input(ctx, now, v)
	if err != nil {
		p.d.Log.Info("no placement decision", "Reason", err.Error())
		return
	}
	for _, o := range placement.Plan(now, in, &p.state) {
		p.d.Log.Info("placement decision", "Kind", string(o.Kind), "Service", o.Service, "Instance", o.Instance, "InstancePlace", o.Place,
			"Class", o.Class, "Reclaimable", o.Reclaimable, "Model", o.Model, "Fence", o.Fencing, "Considered", o.Considered, "Reason", o.Reason)
		// The duty may have lapsed while earlier orders were carried out.
		if time.Now().After(o.Until) || !p.duty.state.Holds(time.Now()) {
			return
		}
		p.carryOut(ctx, now, o)
	}
	p.stopDue(ctx, now)
}

func (p *placer) input(ctx context.Context, now time.Time, v *View) (placement.Input, error) {
	prices, err := p.d.Cloud.Prices(ctx)
	if err != nil {
		return placement.Input{}, errors.Annotate(err, "read prices")
	}
	started, err := p.d.Cloud.List(ctx)
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
	for _, i := range started {
		if v.Index.Region(i.Place) == p.d.Settings.Region {
			in.Instances = append(in.Instances, p.instance(v, i))
		}
	}
	return in, nil
}

// instance joins what the cloud API and the members say of an instance.
func (p *placer) instance(v *View, i cloud.Instance) placement.Instance {
	found := placement.Instance{
		ID: i.ID, Token: i.Token, Service: i.Service, Place: i.Place, Class: i.Class, Reclaimable: i.Reclaimable,
		Model: i.Service, Role: placement.Mixed, Started: i.Since, Since: i.Since,
	}
	switch i.State {
	case cloud.Starting:
		found.State = placement.Starting
	case cloud.Leaving:
		found.State = placement.Leaving
	default:
		found.State = placement.Serving
	}
	for _, m := range v.Members {
		if m.Server == i.ID && m.State >= membership.Leaving {
			found.State = placement.Leaving
		}
	}
	return found
}

// carryOut performs an order. One that fails is decided anew with the next plan.
func (p *placer) carryOut(ctx context.Context, now time.Time, o placement.Order) {
	var err error
	switch o.Kind {
	case placement.Start:
		_, err = p.d.Cloud.Start(ctx, cloud.Start{Token: o.Token, Place: o.Place, Class: o.Class, Service: o.Service, Reclaimable: o.Reclaimable})
		var refused *cloud.RefusedError
		if errors.As(err, &refused) {
			p.refusals = append(p.refusals, placement.Refusal{Token: o.Token, Place: o.Place, Class: o.Class, Reclaimable: o.Reclaimable, At: now})
		}
	case placement.Stop:
		if _, ok := p.stops[o.Instance]; !ok {
			p.stops[o.Instance] = now.Add(stopGrace)
			p.d.leave(ctx, o.Instance)
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
		p.d.Log.Info("placement order not carried out", "Kind", string(o.Kind), "Instance", o.Instance, "InstancePlace", o.Place, "Error", err.Error())
	}
}

// leave tells all daemons that a backend server gets no new work.
func (d *Daemon) leave(ctx context.Context, instance string) {
	d.post(ctx, func(c *controlState, now time.Time) {
		if m, ok := c.members.Get(instance); ok {
			m.State = membership.Leaving
			c.ends[instance] = now.Add(stopGrace)
			c.signal(now, membership.Signal{Source: membership.Notice, Member: m})
		}
	})
}

func (p *placer) stopDue(ctx context.Context, now time.Time) {
	for id, at := range p.stops {
		if now.Before(at) || !p.duty.state.Holds(now) {
			continue
		}
		if err := p.d.Cloud.Stop(ctx, id); err != nil {
			p.d.Log.Info("instance not stopped", "Instance", id, "Error", err.Error())
			continue
		}
		delete(p.stops, id)
	}
}

func (p *placer) recentReclaims(now time.Time) []placement.Reclaim {
	p.reclaims = append(p.reclaims, p.d.notices.take()...)
	kept := p.reclaims[:0]
	for _, r := range p.reclaims {
		if now.Sub(r.At) < keptReclaims {
			kept = append(kept, r)
		}
	}
	p.reclaims = kept
	return kept
}

// demandMeter turns the usage counters of a region into rates.
type demandMeter struct {
	last usage.Sums
	at   time.Time
	sum  map[[2]string]placement.Demand
}

// rates returns the demand by rank and service since the last call, averaged.
func (m *demandMeter) rates(now time.Time, v *View) []placement.Demand {
	if m.sum == nil {
		m.sum = map[[2]string]placement.Demand{}
	}
	elapsed := now.Sub(m.at)
	first := m.at.IsZero() || elapsed <= 0
	m.at = now
	fresh := map[[2]string]placement.Demand{}
	for key, row := range v.usage {
		before := m.last[key]
		demand := fresh[[2]string{key.Rank, key.Service}]
		demand.TokensPerSecond += max(0, row.Offered-before.Offered) / elapsed.Seconds()
		demand.RequestsPerSecond += float64(max(0, int64(row.Requests-before.Requests))) / elapsed.Seconds()
		fresh[[2]string{key.Rank, key.Service}] = demand
	}
	m.last = v.usage
	if first {
		return nil
	}
	weight := min(1, elapsed.Seconds()/demandMemory.Seconds())
	var demands []placement.Demand
	for key := range fresh {
		d := m.sum[key]
		d.Rank, d.Service = key[0], key[1]
		d.TokensPerSecond += weight * (fresh[key].TokensPerSecond - d.TokensPerSecond)
		d.RequestsPerSecond += weight * (fresh[key].RequestsPerSecond - d.RequestsPerSecond)
		m.sum[key] = d
		demands = append(demands, d)
	}
	return demands
}
