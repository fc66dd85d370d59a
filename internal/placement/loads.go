package placement

import (
	"math"
	"sort"
	"time"
)

const (
	// minReloadInterval is the shortest time between two loads of an instance. A reload
	// costs about a minute without service.
	minReloadInterval = 10 * time.Minute
	// maxReloadShare is the largest share of a service's serving instances that may
	// load other weights at a time.
	maxReloadShare = 0.10
)

// variant identifies the weights of an instance.
type variant struct{ model, adapter, version string }

func loadedVariant(i Instance) variant { return variant{i.Model, i.Adapter, i.Version} }

// loadJob is a wanted load of a variant by an instance.
type loadJob struct {
	instance Instance
	variant  variant
	// urgentShortage is set when the service lacks serving capacity for its urgent
	// work.
	urgentShortage bool
	reason         string
}

// loadOrders returns the loads that the weight store's rate allows now. Services short
// of urgent capacity come first, then idle instances.
func (p *planner) loadOrders() []Order {
	var jobs []loadJob
	for _, service := range p.in.Services {
		jobs = append(jobs, p.loadJobs(service)...)
	}
	sort.SliceStable(jobs, func(i, j int) bool {
		a, b := jobs[i], jobs[j]
		if a.urgentShortage != b.urgentShortage {
			return a.urgentShortage
		}
		if ai, bi := a.instance.State == Idle, b.instance.State == Idle; ai != bi {
			return ai
		}
		return a.instance.Since.Before(b.instance.Since)
	})
	freeLoads := len(jobs)
	if w := p.in.Weights; w.BytesPerSecond > 0 && w.LoadBytesPerSecond > 0 {
		freeLoads = max(1, int(w.BytesPerSecond/w.LoadBytesPerSecond)) - w.Loads
	}
	var orders []Order
	for _, j := range jobs[:max(0, min(freeLoads, len(jobs)))] {
		orders = append(orders, Order{
			Kind: Load, Fencing: p.in.Fencing, Reason: j.reason, Considered: len(jobs),
			Until: p.now.Add(OrderLifetime), Instance: j.instance.ID, Service: j.instance.Service,
			Place: j.instance.Place, Class: j.instance.Class,
			Model: j.variant.model, Adapter: j.variant.adapter, Version: j.variant.version,
		})
	}
	return orders
}

// loadJobs compares the loaded variants of a service with the demand for its models and
// adapters.
func (p *planner) loadJobs(service Service) []loadJob {
	if service.Model == "" && service.RequestsPerSlot > 0 {
		return nil // Plain services load no weights.
	}
	active, serving, idle := p.activeInstances(service)
	wanted := p.variantShares(service, len(active))
	loaded := map[variant]int{}
	for _, i := range active {
		if i.State != Idle && i.State != Starting {
			loaded[loadedVariant(i)]++
		}
	}
	urgentShortage := p.lacksUrgentCapacity(service)
	var jobs []loadJob
	for _, i := range idle {
		missing := mostMissing(wanted, loaded)
		loaded[missing]++
		jobs = append(jobs, loadJob{i, missing, urgentShortage, "instance has no weights"})
	}
	// Starting and loading instances count towards the share.
	reloadsLeft := int(math.Ceil(maxReloadShare*float64(len(serving)))) - (len(active) - len(serving) - len(idle))
	for _, i := range serving {
		if reloadsLeft <= 0 {
			break
		}
		current := loadedVariant(i)
		surplus := loaded[current] - wantedCount(wanted, current)
		if surplus <= 0 || p.now.Sub(i.Since) < minReloadInterval {
			continue
		}
		missing := mostMissing(wanted, loaded)
		if missing == current || loaded[missing] >= wantedCount(wanted, missing) {
			continue
		}
		loaded[current]--
		loaded[missing]++
		reloadsLeft--
		jobs = append(jobs, loadJob{i, missing, false, "demand for other weights"})
	}
	return jobs
}

// activeInstances returns the instances of a service that neither leave nor stop, and
// the serving and the idle ones among them.
func (p *planner) activeInstances(service Service) (active, serving, idle []Instance) {
	active = make([]Instance, 0, len(p.in.Instances))
	serving = make([]Instance, 0, len(p.in.Instances))
	for _, i := range p.in.Instances {
		if i.Service != service.Name || i.State == Leaving || p.state.stopReasons[i.ID] != "" {
			continue
		}
		active = append(active, i)
		switch i.State {
		case Serving:
			serving = append(serving, i)
		case Idle:
			idle = append(idle, i)
		}
	}
	return active, serving, idle
}

// lacksUrgentCapacity reports whether the serving capacity is below the urgent demand
// plus its headroom.
func (p *planner) lacksUrgentCapacity(service Service) bool {
	var urgent, serving float64
	for _, d := range p.in.Demand {
		if len(p.in.Ranks) > 0 && d.Service == service.Name && d.Rank == p.in.Ranks[0].Name {
			urgent += demandRate(service, d)
		}
	}
	for _, i := range p.in.Instances {
		for _, c := range p.in.Classes {
			if i.Service == service.Name && i.Class == c.Name && i.State == Serving {
				serving += instanceCapacity(service, c)
			}
		}
	}
	return serving < urgent*(1+urgentHeadroom)
}

// variantShare is the number of instances that should load a variant.
type variantShare struct {
	variant variant
	count   int
}

// variantShares divides instances among the variants of a service by demand. While
// there are enough instances, each variant with demand gets at least one; a single
// variant gets all.
func (p *planner) variantShares(service Service, instances int) []variantShare {
	demand := map[variant]float64{}
	var total float64
	for _, d := range p.in.Demand {
		rate := demandRate(service, d)
		if d.Service != service.Name || rate <= 0 {
			continue
		}
		v := variant{d.Model, d.Adapter, service.Version}
		if v.model == "" {
			v.model = service.Model
		}
		demand[v] += rate
		total += rate
	}
	if len(demand) == 0 {
		return []variantShare{{variant{service.Model, "", service.Version}, instances}}
	}
	shares := make([]variantShare, 0, len(demand))
	for v := range demand {
		shares = append(shares, variantShare{v, 0})
	}
	sort.Slice(shares, func(i, j int) bool {
		a, b := shares[i].variant, shares[j].variant
		if demand[a] != demand[b] {
			return demand[a] > demand[b]
		}
		return a.model+"\x00"+a.adapter < b.model+"\x00"+b.adapter
	})
	assigned := 0
	for i := range shares {
		shares[i].count = max(1, int(float64(instances)*demand[shares[i].variant]/total))
		assigned += shares[i].count
	}
	for i := 0; assigned < instances; i = (i + 1) % len(shares) {
		shares[i].count++
		assigned++
	}
	return shares
}

func wantedCount(shares []variantShare, v variant) int {
	for _, s := range shares {
		if s.variant == v {
			return s.count
		}
	}
	return 0
}

// mostMissing returns the variant that lacks the most instances relative to its share.
func mostMissing(shares []variantShare, loaded map[variant]int) variant {
	neediest, largestGap := shares[0].variant, math.Inf(-1)
	for _, s := range shares {
		if gap := float64(s.count-loaded[s.variant]) / float64(max(1, s.count)); gap > largestGap {
			neediest, largestGap = s.variant, gap
		}
	}
	return neediest
}

// roleOrders divides the serving instances of a service between prefill and decode, in
// proportion to the time that the demand takes in each.
func (p *planner) roleOrders() []Order {
	var orders []Order
	for _, service := range p.in.Services {
		if !service.SplitRoles {
			continue
		}
		_, serving, _ := p.activeInstances(service)
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

// prefillCount returns the number of instances for prefill. At least one instance is
// left for each role.
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
	prefillTime, decodeTime := prompt/prefillRate, generated/decodeRate
	prefillInstances := int(math.Round(float64(len(serving)) * prefillTime / (prefillTime + decodeTime)))
	return min(len(serving)-1, max(1, prefillInstances))
}
