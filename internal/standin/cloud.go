package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"apricotbridge/internal/cloud"
	"apricotbridge/internal/instances"
	"apricotbridge/pkg/config"
)

// Refusal refuses the starts of a class in a place. An empty Place or Class stands
// for all of them.
type Refusal struct {
	Place string `json:"Place,omitempty"`
	Class string `json:"Class,omitempty"`
	// OnDemand refuses on-demand starts as well as reclaimable ones.
	OnDemand bool `json:"OnDemand,omitempty"`
	// Share is the share of the starts that is refused; 0 means all.
	Share float64 `json:"Share,omitempty"`
}

// CloudFaults are the faults of the cloud API in force.
type CloudFaults struct {
	// Down refuses each call; the call has no effect. Reclaims go on.
	Down bool `json:"Down,omitempty"`
	// LoseAnswers is the share of starts and stops whose answer is lost after they
	// took effect.
	LoseAnswers float64 `json:"LoseAnswers,omitempty"`
	// Refusals lists which starts are refused.
	Refusals []Refusal `json:"Refusals,omitempty"`
	// PriceMove is the largest relative change of a price in a minute.
	PriceMove float64 `json:"PriceMove,omitempty"`
}

// Cloud is an in-memory cloud API. Set the exported fields before the first call.
type Cloud struct {
	// Now gives the time, so that tests bring their own.
	Now func() time.Time
	// Rand decides lost answers, refusals and price moves.
	Rand *rand.Rand
	// Base has the prices at the start.
	Base []cloud.Price
	// Regions has the region of each place.
	Regions map[string]string
	// StartDelay is the time from a start to a running instance.
	StartDelay time.Duration
	// List is kept up to date with the instances that run; nil means none.
	List *Instances
	// Boot starts the backend server of a new instance and returns its address, and
	// Halt ends it. They are called without the lock; nil means none.
	Boot func(cloud.Instance) string
	Halt func(cloud.Instance)

	mu       sync.Mutex
	next     int
	prices   []cloud.Price
	moved    time.Time
	owned    map[string]cloud.Instance
	tokens   map[string]string
	starts   map[string]cloud.Start
	started  map[string]int64 // Starts by address, which number the incarnations.
	sequence int64
	notices  []cloud.Notice
	faults   CloudFaults
	changed  chan struct{}
}

// NewCloud returns a cloud API on the wall clock.
func NewCloud(seed uint64, base []cloud.Price, regions map[string]string) *Cloud {
	return &Cloud{
		Now: time.Now, Rand: rand.New(rand.NewPCG(seed, 2)), Base: base, Regions: regions,
		StartDelay: time.Second,
	}
}

// SetFaults replaces the faults in force.
func (c *Cloud) SetFaults(f CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// begin takes the lock and prepares the state. It reports whether the API is up.
func (c *Cloud) begin() bool {
	c.mu.Lock()
	now := c.Now()
	if c.owned == nil {
		c.owned, c.tokens, c.starts = map[string]cloud.Instance{}, map[string]string{}, map[string]cloud.Start{}
		c.started = map[string]int64{}
		c.prices, c.moved = append([]cloud.Price(nil), c.Base...), now
		c.changed = make(chan struct{})
	}
	for ; now.Sub(c.moved) >= time.Minute; c.moved = c.moved.Add(time.Minute) {
		c.movePrices()
	}
	return !c.faults.Down
}

// movePrices changes each price of a reclaimable instance within half and twice
// its base.
func (c *Cloud) movePrices() {
	if c.faults.PriceMove <= 0 {
		return
	}
	for i, base := range c.Base {
		factor := 1 + c.faults.PriceMove*(2*c.Rand.Float64()-1)
		c.prices[i].Reclaimable = min(2*base.Reclaimable, max(base.Reclaimable/2, c.prices[i].Reclaimable*factor))
	}
}

func (c *Cloud) price(place, class string) (cloud.Price, bool) {
	for _, p := range c.prices {
		if p.Place == place && p.Class == class {
			return p, true
		}
	}
	return cloud.Price{}, false
}

func (c *Cloud) refused(s cloud.Start) bool {
	for _, r := range c.faults.Refusals {
		if r.Place != "" && r.Place != s.Place || r.Class != "" && r.Class != s.Class || !s.Reclaimable && !r.OnDemand {
			continue
		}
		if r.Share <= 0 || c.Rand.Float64() < r.Share {
			return true
		}
	}
	return false
}

// lost reports whether the answer to a change is lost.
func (c *Cloud) lost() bool {
	return c.faults.LoseAnswers > 0 && c.Rand.Float64() < c.faults.LoseAnswers
}

// start returns the status and the body of the answer. Status 0 stands for an
// answer that is lost after the start took effect.
func (c *Cloud) start(s cloud.Start) (int, any) {
	up := c.begin()
	defer c.mu.Unlock()
	if !up {
		return http.StatusServiceUnavailable, struct{}{}
	}
	if s.Token == "" {
		return http.StatusBadRequest, struct{}{}
	}
	if first, ok := c.starts[s.Token]; ok {
		if first != s {
			return http.StatusConflict, struct{}{}
		}
		// An instance that has ended is returned as the empty one with its token.
		i, ok := c.owned[c.tokens[s.Token]]
		if !ok {
			i = cloud.Instance{ID: c.tokens[s.Token], Token: s.Token, Place: s.Place, Class: s.Class, Service: s.Service}
		}
		return http.StatusOK, i
	}
	price, ok := c.price(s.Place, s.Class)
	if !ok || c.refused(s) {
		return http.StatusTooManyRequests, cloud.RefusedError{
			Place: s.Place, Class: s.Class, Reclaimable: s.Reclaimable,
			Reason: "no capacity", RetryAfter: config.Duration(30 * time.Second),
		}
	}
	c.next++
	i := cloud.Instance{
		ID: fmt.Sprintf("i-%d", c.next), Token: s.Token, Place: s.Place, Class: s.Class, Service: s.Service,
		Reclaimable: s.Reclaimable, State: cloud.Starting, Since: c.Now(), Price: price.OnDemand,
	}
	if s.Reclaimable {
		i.Price = price.Reclaimable
	}
	c.owned[i.ID], c.tokens[s.Token], c.starts[s.Token] = i, i.ID, s
	if c.lost() {
		return 0, nil
	}
	return http.StatusOK, i
}

// Advance makes the changes that are due: starting instances run, leaving ones end
// at their deadline. The owner calls it on a timer, and each call does it first.
func (c *Cloud) Advance() {
	c.begin()
	now := c.Now()
	var boot, halt []cloud.Instance
	for id, i := range c.owned {
		switch {
		case i.State == cloud.Starting && now.Sub(i.Since) >= c.StartDelay:
			i.State, i.Since = cloud.Running, now
			c.owned[id] = i
			boot = append(boot, i)
		case i.State == cloud.Leaving && !now.Before(i.Deadline):
			delete(c.owned, id)
			halt = append(halt, i)
		}
	}
	c.mu.Unlock()
	byID := func(s []cloud.Instance) {
		sort.Slice(s, func(i, j int) bool { return s[i].ID < s[j].ID })
	}
	byID(boot)
	byID(halt)
	for _, i := range boot {
		c.boot(i)
	}
	for _, i := range halt {
		c.halt(i)
	}
}

func (c *Cloud) boot(i cloud.Instance) {
	if c.Boot != nil {
		i.Address = c.Boot(i)
	}
	if !c.listStarted(i) && c.Halt != nil {
		c.Halt(i) // It was stopped while its server started.
	}
}

// listStarted records the address of a started instance. It reports whether the
// instance is still owned.
func (c *Cloud) listStarted(i cloud.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, ok := c.owned[i.ID]
	if !ok {
		return false
	}
	current.Address = i.Address
	c.owned[i.ID] = current
	c.started[i.Address]++
	if c.List == nil {
		return true
	}
	c.List.Put(instances.Instance{
		ID: i.ID, Address: i.Address, Incarnation: c.started[i.Address], Place: i.Place, Region: c.Regions[i.Place],
		Class: i.Class, Service: i.Service, Price: i.Price, Reclaimable: i.Reclaimable, Since: i.Since,
	})
	if current.State == cloud.Leaving {
		c.List.Leave(i.ID, current.Deadline)
	}
	return true
}

func (c *Cloud) halt(i cloud.Instance) {
	if c.List != nil {
		c.List.Remove(i.ID)
	}
	if c.Halt != nil {
		c.Halt(i)
	}
}

// stop ends an instance at once.
func (c *Cloud) stop(id string) (int, any) {
	up := c.begin()
	i, ok := c.owned[id]
	if up {
		delete(c.owned, id)
	}
	lost := up && c.lost()
	c.mu.Unlock()
	if !up {
		return http.StatusServiceUnavailable, struct{}{}
	}
	if ok {
		c.halt(i)
	}
	switch {
	case lost:
		return 0, nil
	case !ok:
		return http.StatusNotFound, struct{}{}
	default:
		return http.StatusOK, struct{}{}
	}
}

// Reclaim gives the notice to a share of the reclaimable instances of a place, in
// random order, and returns how many. On-demand instances are spared unless
// everything is set, which stands for the loss of the data centre.
func (c *Cloud) Reclaim(place string, share float64, notice time.Duration, everything bool) int {
	c.begin()
	defer c.mu.Unlock()
	now := c.Now()
	var ids []string
	for id, i := range c.owned {
		if i.Place == place && (i.Reclaimable || everything) && i.State != cloud.Leaving {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	c.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:int(share*float64(len(ids))+0.5)]
	for _, id := range ids {
		i := c.owned[id]
		i.State, i.Since, i.Deadline = cloud.Leaving, now, now.Add(notice)
		c.owned[id] = i
		c.sequence++
		c.notices = append(c.notices, cloud.Notice{
			Sequence: c.sequence, Instance: id, Place: place, Class: i.Class, At: now, Deadline: i.Deadline,
		})
		if c.List != nil {
			c.List.Leave(id, i.Deadline)
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return len(ids)
}
