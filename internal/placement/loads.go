package placement

import (
	"math"
	"sort"
	"time"
)

const (
	// reloadKeep is the shortest time between two loads of an instance. A reload costs
	// about a minute without service.
	reloadKeep = 10 * time.Minute
	// reloadShare bounds the instances of a service that are taken out of service at
	// a time to load other weights.
	reloadShare = 0.10
)

// variant is what an instance has loaded.
type variant struct{ model, adapter, version string }

func loadedVariant(i Instance) variant { return variant{i.Model, i.Adapter, i.Version} }

// job is a load that is wanted.
type job struct {
	instance Instance
	variant  variant
	// exposed is set when the service lacks serving capacity for its urgent work.
	exposed bool
	reason  string
}

// loads returns the loads that the weight store's rate allows now. Idle instances
// come first, those of services short of urgent capacity before all others.
func (p *planner) loads() []Order {
	var jobs []job
	for _, service := range p.in.Services {
		jobs = append(jobs, p.jobs(service)...)
	}
	sort.SliceStable(jobs, func(i, j int) bool {
		a, b := jobs[i], jobs[j]
		if a.exposed != b.exposed {
			return a.exposed
		}
		if ai, bi := a.instance.State == Idle, b.instance.State == Idle; ai != bi {
			return ai
		}
		return a.instance.Since.Before(b.instance.Since)
	})
	free := len(jobs)
	if w := p.in.Weights; w.BytesPerSecond > 0 && w.LoadBytesPerSecond > 0 {
		free = max(1, int(w.BytesPerSecond/w.LoadBytesPerSecond)) - w.Loads
	}
	var orders []Order
	for _, j := range jobs[:max(0, min(free, len(jobs)))] {
		orders = append(orders, Order{
			Kind: Load, Fencing: p.in.Fencing, Reason: j.reason, Considered: len(jobs),
			Until: p.now.Add(OrderLifetime), Instance: j.instance.ID, Service: j.instance.Service,
			Place: j.instance.Place, Class: j.instance.Class,
			Model: j.variant.model, Adapter: j.variant.adapter, Version: j.variant.version,
		})
	}
	return orders
}

// jobs compares what the instances of a service have loaded with the demand for its
// models and adapters.
func (p *planner) jobs(service Service) []job {
	if service.Model == "" && service.RequestsPerSlot > 0 {
		return nil // A plain service loads nothing.
	}
	members, serving, idle := p.members(service)
	wanted := p.variants(service, len(members))
	have := map[variant]int{}
	for _, i := range members {
		if i.State != Idle && i.State != Starting {
			have[loadedVariant(i)]++
		}
	}
	exposed := p.exposed(service)
	var jobs []job
	for _, i := range idle {
		v := mostMissing(wanted, have)
		have[v]++
		jobs = append(jobs, job{i, v, exposed, "instance has no weights"})
	}
	allowed := int(math.Ceil(reloadShare*float64(len(serving)))) - (len(members) - len(serving) - len(idle))
	for _, i := range serving {
		if allowed <= 0 {
			break
		}
		from := loadedVariant(i)
		spare := have[from] - count(wanted, from)
		if spare <= 0 || p.now.Sub(i.Since) < reloadKeep {
			continue
		}
		v := mostMissing(wanted, have)
		if v == from || have[v] >= count(wanted, v) {
			continue
		}
		have[from]--
		have[v]++
		allowed--
		jobs = append(jobs, job{i, v, false, "demand for other weights"})
	}
	return jobs
}

// members returns the instances of a service that stay, and of these the serving and
// the idle ones.
func (p *planner) members(service Service) (all, serving, idle []Instance) {
	all = make([]Instance, 0, len(p.in.Instances))
	serving = make([]Instance, 0, len(p.in.Instances))
	for _, i := range p.in.Instances {
		if i.Service != service.Name || i.State == Leaving || p.state.stopping[i.ID] != "" {
			continue
		}
		all = append(all, i)
		switch i.State {
		case Serving:
			serving = append(serving, i)
		case Idle:
			idle = append(idle, i)
		}
	}
	return all, serving, idle
}

// exposed reports whether the serving capacity is below the urgent demand.
func (p *planner) exposed(service Service) bool {
	var urgent, have float64
	for _, d := range p.in.Demand {
		if len(p.in.Ranks) > 0 && d.Service == service.Name && d.Rank == p.in.Ranks[0].Name {
			urgent += amount(service, d)
		}
	}
	for _, i := range p.in.Instances {
		for _, c := range p.in.Classes {
			if i.Service == service.Name && i.Class == c.Name && i.State == Serving {
				have += capacity(service, c)
			}
		}
	}
	return have < urgent*(1+urgentHeadroom)
}

// share is the number of instances that a variant should have.
type share struct {
	variant variant
	count   int
}

// variants divides n instances among the models and adapters of a service by demand.
// Each one with demand gets at least one instance while there are enough, and a
// single variant gets all.
func (p *planner) variants(service Service, n int) []share {
	demand := map[variant]float64{}
	var total float64
	for _, d := range p.in.Demand {
		a := amount(service, d)
		if d.Service != service.Name || a <= 0 {
			continue
		}
		v := variant{d.Model, d.Adapter, service.Version}
		if v.model == "" {
			v.model = service.Model
		}
		demand[v] += a
		total += a
	}
	if len(demand) == 0 {
		return []share{{variant{service.Model, "", service.Version}, n}}
	}
	shares := make([]share, 0, len(demand))
	for v := range demand {
		shares = append(shares, share{v, 0})
	}
	sort.Slice(shares, func(i, j int) bool {
		a, b := shares[i].variant, shares[j].variant
		if demand[a] != demand[b] {
			return demand[a] > demand[b]
		}
		return a.model+"\x00"+a.adapter < b.model+"\x00"+b.adapter
	})
	given := 0
	for i := range shares {
		shares[i].count = max(1, int(float64(n)*demand[shares[i].variant]/total))
		given += shares[i].count
	}
	for i := 0; given < n; i = (i + 1) % len(shares) {
		shares[i].count++
		given++
	}
	return shares
}

func count(shares []share, v variant) int {
	for _, s := range shares {
		if s.variant == v {
			return s.count
		}
	}
	return 0
}

// mostMissing returns the variant that lacks the most instances relative to its
// share.
func mostMissing(shares []share, have map[variant]int) variant {
	best, lack := shares[0].variant, math.Inf(-1)
	for _, s := range shares {
		if l := float64(s.count-have[s.variant]) / float64(max(1, s.count)); l > lack {
			best, lack = s.variant, l
		}
	}
	return best
}

// roles divides the serving instances of a service between prefill and decode by the
// time that each part of the demand takes.
func (p *planner) roles() []Order {
	var orders []Order
	for _, service := range p.in.Services {
		if !service.SplitRoles {
			continue
		}
		_, serving, _ := p.members(service)
		wanted := p.prefillCount(service, serving)
		var prefill int
		for _, i := range serving {
			if i.Role == Prefill {
				prefill++
			}
		}
		for _, i := range serving {
			role := i.Role
			switch {
			case len(serving) < 2:
				role = Mixed
			case i.Role == Prefill && prefill > wanted+1:
				role = Decode
				prefill--
			case i.Role != Prefill && prefill < wanted:
				role = Prefill
				prefill++
			case i.Role != Prefill:
				role = Decode
			}
			if role != i.Role {
				orders = append(orders, Order{
					Kind: SetRole, Fencing: p.in.Fencing, Reason: "shares of prefill and decode in the demand",
					Considered: len(serving), Until: p.now.Add(OrderLifetime), Instance: i.ID,
					Service: i.Service, Place: i.Place, Class: i.Class, Role: role,
				})
			}
		}
	}
	return orders
}

// prefillCount is the number of instances that the prompts need. One instance stays
// for each role.
func (p *planner) prefillCount(service Service, serving []Instance) int {
	var prompt, generated, prefillRate, decodeRate float64
	for _, d := range p.in.Demand {
		if d.Service == service.Name {
			prompt += d.PromptTokensPerSecond
			generated += d.TokensPerSecond
		}
	}
	for _, i := range serving {
		for _, c := range p.in.Classes {
			if c.Name == i.Class {
				prefillRate += c.PrefillTokensPerSecond
				decodeRate += c.TokensPerSecond
			}
		}
	}
	if len(serving) < 2 || prefillRate <= 0 || decodeRate <= 0 || prompt+generated <= 0 {
		return 0
	}
	a, b := prompt/prefillRate, generated/decodeRate
	n := int(math.Round(float64(len(serving)) * a / (a + b)))
	return min(len(serving)-1, max(1, n))
}
