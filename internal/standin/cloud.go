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

// Refusal refuses starts of a class in a place. An empty Place or Class matches
// all.
type Refusal struct {
	Place string `json:"Place,omitempty"`
	Class string `json:"Class,omitempty"`
	// OnDemand refuses on-demand starts as well as reclaimable ones.
	OnDemand bool `json:"OnDemand,omitempty"`
	// Share is the share of matching starts that is refused; 0 means all.
	Share float64 `json:"Share,omitempty"`
}

// CloudFaults configures the faults of the cloud API.
type CloudFaults struct {
	// Down makes every call fail without an effect. Instances can still be
	// reclaimed.
	Down bool `json:"Down,omitempty"`
	// LoseAnswers is the share of starts and stops whose response is lost after
	// they took effect.
	LoseAnswers float64 `json:"LoseAnswers,omitempty"`
	// Refusals determines which starts are refused.
	Refusals []Refusal `json:"Refusals,omitempty"`
	// PriceMove is the largest relative change of a price per minute.
	PriceMove float64 `json:"PriceMove,omitempty"`
}

// Cloud is an in-memory cloud API. Set the exported fields before the first call.
type Cloud struct {
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// Rand decides lost responses, refusals and price changes.
	Rand *rand.Rand
	// BasePrices has the initial prices.
	BasePrices []cloud.Price
	// Regions has the region of each place.
	Regions map[string]string
	// StartDelay is the time from the start of an instance until it runs.
	StartDelay time.Duration
	// InstanceList is updated with the running instances; nil means none.
	InstanceList *Instances
	// Boot starts the backend server of a new instance and returns its address, and
	// Halt stops it. Both are called without the lock and may be nil.
	Boot func(cloud.Instance) string
	Halt func(cloud.Instance)

	mu            sync.Mutex
	lastID        int
	prices        []cloud.Price
	pricesMovedAt time.Time
	owned         map[string]cloud.Instance
	idByToken     map[string]string
	startByToken  map[string]cloud.StartRequest
	incarnations  map[string]int64 // Last incarnation by address.
	sequence      int64
	notices       []cloud.Notice
	faults        CloudFaults
	changed       chan struct{}
}

// NewCloud returns a cloud API that uses the wall clock.
func NewCloud(seed uint64, base []cloud.Price, regions map[string]string) *Cloud {
	return &Cloud{
		Now: time.Now, Rand: rand.New(rand.NewPCG(seed, 2)), BasePrices: base, Regions: regions,
		StartDelay: time.Second,
	}
}

// SetFaults replaces the active faults.
func (c *Cloud) SetFaults(f CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// lockAndUpdate takes the lock, initialises the state and updates the prices.
// It reports whether the API is up. The caller unlocks.
func (c *Cloud) lockAndUpdate() bool {
	c.mu.Lock()
	now := c.Now()
	if c.owned == nil {
		c.owned, c.idByToken, c.startByToken = map[string]cloud.Instance{}, map[string]string{}, map[string]cloud.StartRequest{}
		c.incarnations = map[string]int64{}
		c.prices, c.pricesMovedAt = append([]cloud.Price(nil), c.BasePrices...), now
		c.changed = make(chan struct{})
	}
	for ; now.Sub(c.pricesMovedAt) >= time.Minute; c.pricesMovedAt = c.pricesMovedAt.Add(time.Minute) {
		c.movePrices()
	}
	return !c.faults.Down
}

// movePrices changes each price of reclaimable instances at random, between
// half and twice its base price.
func (c *Cloud) movePrices() {
	if c.faults.PriceMove <= 0 {
		return
	}
	for i, base := range c.BasePrices {
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

func (c *Cloud) isRefused(s cloud.StartRequest) bool {
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

// losesAnswer reports whether the response to a change is lost.
func (c *Cloud) losesAnswer() bool {
	return c.faults.LoseAnswers > 0 && c.Rand.Float64() < c.faults.LoseAnswers
}

// start starts an instance and returns the status and body of the response.
// Status 0 means that the response is lost after the start took effect.
func (c *Cloud) start(s cloud.StartRequest) (int, any) {
	up := c.lockAndUpdate()
	defer c.mu.Unlock()
	if !up {
		return http.StatusServiceUnavailable, struct{}{}
	}
	if s.Token == "" {
		return http.StatusBadRequest, struct{}{}
	}
	if original, ok := c.startByToken[s.Token]; ok {
		if original != s {
			return http.StatusConflict, struct{}{}
		}
		// For an instance that has ended, the response has no state.
		i, ok := c.owned[c.idByToken[s.Token]]
		if !ok {
			i = cloud.Instance{ID: c.idByToken[s.Token], Token: s.Token, Place: s.Place, Class: s.Class, Service: s.Service}
		}
		return http.StatusOK, i
	}
	price, ok := c.price(s.Place, s.Class)
	if !ok || c.isRefused(s) {
		return http.StatusTooManyRequests, cloud.RefusedError{
			Place: s.Place, Class: s.Class, Reclaimable: s.Reclaimable,
			Reason: "no capacity", RetryAfter: config.Duration(30 * time.Second),
		}
	}
	c.lastID++
	i := cloud.Instance{
		ID: fmt.Sprintf("i-%d", c.lastID), Token: s.Token, Place: s.Place, Class: s.Class, Service: s.Service,
		Reclaimable: s.Reclaimable, State: cloud.Starting, Since: c.Now(), Price: price.OnDemand,
	}
	if s.Reclaimable {
		i.Price = price.Reclaimable
	}
	c.owned[i.ID], c.idByToken[s.Token], c.startByToken[s.Token] = i, i.ID, s
	if c.losesAnswer() {
		return 0, nil
	}
	return http.StatusOK, i
}

// Advance performs due state changes: starting instances begin to run, leaving
// ones end at their deadline. Callers run it on a timer; HTTP calls that start,
// stop or list instances run it first.
func (c *Cloud) Advance() {
	c.lockAndUpdate()
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
		c.bootServer(i)
	}
	for _, i := range halt {
		c.haltServer(i)
	}
}

func (c *Cloud) bootServer(i cloud.Instance) {
	if c.Boot != nil {
		i.Address = c.Boot(i)
	}
	if !c.listStarted(i) && c.Halt != nil {
		c.Halt(i) // The instance was stopped while its server booted.
	}
}

// listStarted records the address of a booted instance and puts it on the
// instance list. It reports whether the instance still exists.
func (c *Cloud) listStarted(i cloud.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, ok := c.owned[i.ID]
	if !ok {
		return false
	}
	current.Address = i.Address
	c.owned[i.ID] = current
	c.incarnations[i.Address]++
	if c.InstanceList == nil {
		return true
	}
	c.InstanceList.Put(instances.Instance{
		ID: i.ID, Address: i.Address, Incarnation: c.incarnations[i.Address], Place: i.Place, Region: c.Regions[i.Place],
		Class: i.Class, Service: i.Service, Price: i.Price, Reclaimable: i.Reclaimable, Since: i.Since,
	})
	if current.State == cloud.Leaving {
		c.InstanceList.Leave(i.ID, current.Deadline)
	}
	return true
}

func (c *Cloud) haltServer(i cloud.Instance) {
	if c.InstanceList != nil {
		c.InstanceList.Remove(i.ID)
	}
	if c.Halt != nil {
		c.Halt(i)
	}
}

// stop ends an instance immediately.
func (c *Cloud) stop(id string) (int, any) {
	up := c.lockAndUpdate()
	i, ok := c.owned[id]
	if up {
		delete(c.owned, id)
	}
	lost := up && c.losesAnswer()
	c.mu.Unlock()
	if !up {
		return http.StatusServiceUnavailable, struct{}{}
	}
	if ok {
		c.haltServer(i)
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

// Reclaim sends a notice to a share of the reclaimable instances of a place,
// chosen at random, and returns their number. With everything set, it includes
// on-demand instances, to simulate the loss of the data centre.
func (c *Cloud) Reclaim(place string, share float64, notice time.Duration, everything bool) int {
	c.lockAndUpdate()
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
		if c.InstanceList != nil {
			c.InstanceList.Leave(id, i.Deadline)
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return len(ids)
}
