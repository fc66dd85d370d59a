package gateway

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/lease"
	"apricotbridge/internal/message"
	"apricotbridge/internal/scaling"
)

const (
	// dutyName names the duty that one daemon at a time holds under a lease. The holder
	// reports usage and orders servers for all daemons.
	dutyName = "platform"
	// dutyInterval is the time between steps of the lease's state machine.
	dutyInterval = 100 * time.Millisecond
	// dutyCallTimeout bounds each call that the holder makes, so that the lease is
	// renewed in time.
	dutyCallTimeout = 700 * time.Millisecond
	// dutyHolderTimeout is how long after a status of the holder other daemons don't try
	// to take the lease.
	dutyHolderTimeout = 800 * time.Millisecond
	// orderInterval is the least time between calculations of the numbers of servers to
	// order.
	orderInterval = 500 * time.Millisecond
	// orderRetryDelay is the wait after a failed order.
	orderRetryDelay = time.Second
	// orderTolerance is the fraction by which the wanted number of servers has to differ
	// from the last order before a new one is placed.
	orderTolerance = 0.1
	// orderArrivalMargin is added to the boot time: if the ordered servers have not
	// registered by then, the order is repeated. The platform does not replace servers
	// that left.
	orderArrivalMargin = 1500 * time.Millisecond
)

// Holder identifies the holder of the duty to the platform.
type Holder struct {
	Daemon string
	// Fence is the fencing number. It rises with each change of the holder.
	Fence uint64
}

// ServerOrder sets the number of servers of one kind in a place.
type ServerOrder struct {
	Service, Place string
	Reclaimable    bool
	Count          int
}

// ErrNoneAvailable means that the platform has no such servers at the moment.
const ErrNoneAvailable = errors.ConstError("no servers available")

// Orderer places orders of servers with the platform.
type Orderer interface {
	Order(ctx context.Context, h Holder, o ServerOrder) error
}

// bootClockNow returns the time of the boot clock, which advances also while the instance
// is suspended. Only leases use it.
func bootClockNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // Linux always has this clock.
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// dutyState is the state of the goroutine that competes for the duty.
type dutyState struct {
	g    *Gateway
	duty *lease.Duty
	// reported is the usage report recorded in the store, and revision that of its entry.
	// reportedLoaded means that both were read since the lease was acquired, in the era
	// reportedEra, and reportSent that the platform has accepted the report.
	reported       Report
	revision       int64
	reportedLoaded bool
	reportedEra    int64
	reportSent     bool
	// reportsKnown means that the record was read at least once since the lease was acquired,
	// so that this daemon has made all later reports.
	reportsKnown bool
	// lostReports is the last window of which the store may have lost the report in a
	// restore; 0 means none.
	lostReports accounting.Window
	// resigned means that the daemon has given the duty up, at resignedAt.
	resigned    bool
	resignedAt  time.Time
	eraAtResign int64
	// era is the latest era of the store that was passed to the duty.
	era int64
	// peerGaveUp is the last value of Gateway.peerGaveUpDuty that was applied.
	peerGaveUp *lease.GivenUp
	plans      map[string]*scaling.Plan
	// ordered holds the last orders.
	ordered   map[orderKey]orderState
	plannedAt time.Time
	rollouts  dutyRollouts
}

type orderKey struct {
	service, place string
	reclaimable    bool
}

type orderState struct {
	count     int
	orderedAt time.Time
	err       error
	// acceptedCount and acceptedAt describe the last order without an error.
	acceptedCount int
	acceptedAt    time.Time
}

// runDuty competes for the duty, and reports usage and orders servers while it holds it.
func (g *Gateway) runDuty(ctx context.Context) error {
	if g.Reporter == nil && g.Orderer == nil {
		<-ctx.Done()
		return nil
	}
	s := &dutyState{g: g, duty: g.newDuty(), plans: map[string]*scaling.Plan{}, ordered: map[orderKey]orderState{}}
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		eligible := g.eligibleForDuty()
		switch {
		case g.draining.Load(), !eligible && s.duty.Holds(bootClockNow()):
			s.resign(ctx, time.Now())
		case eligible && s.resigned && time.Since(s.resignedAt) > g.Bounds.Lease:
			s.duty, s.resigned = g.newDuty(), false // Resigning is permanent.
			s.performActions(ctx, s.duty.Step(bootClockNow(), lease.Restored{Era: s.eraAtResign}))
		}
		s.performActions(ctx, s.noteEra())
		s.applyGivenUp(ctx, time.Now())
		g.holdsDuty.Store(s.duty.Holds(bootClockNow()))
		if !eligible {
			continue
		}
		if t := g.peerHeldDutyAt.Load(); !g.holdsDuty.Load() && t != nil && time.Since(*t) < dutyHolderTimeout {
			s.forgetReported()
			continue // The lease is held: no need to read the store.
		}
		s.performActions(ctx, s.duty.Step(bootClockNow(), lease.Tick{}))
		if s.duty.MayOrder(bootClockNow()) {
			s.reportUsage(ctx)
			s.advanceRollouts(ctx, time.Now())
			s.orderServers(ctx, time.Now())
		} else {
			s.forgetReported()
		}
	}
}

// newDuty returns the state machine of the duty's lease at this daemon.
func (g *Gateway) newDuty() *lease.Duty {
	seed := dutyIncarnation(g.start)
	return lease.New(lease.Config{
		Name: dutyName, Holder: g.Daemon, Incarnation: seed, Lease: g.Bounds.Lease, OrderLifetime: dutyCallTimeout,
		Rand: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // Not for secrets.
	})
}

// eligibleForDuty reports whether this daemon may hold the duty. Only delegates receive the
// usage counts, the demand and the status of other places.
func (g *Gateway) eligibleForDuty() bool {
	v := g.view.Load()
	return v != nil && v.Delegate
}

// notePeerDuty records that a peer's status shows it as holder of the duty, or that it has given
// the duty up.
func (g *Gateway) notePeerDuty(now time.Time, from message.Hello, s message.Status) {
	if s.Duty {
		g.peerHeldDutyAt.Store(&now)
	}
	last := g.peerGaveUpDuty.Load()
	if s.DutyGivenUp > 0 && (last == nil || s.DutyGivenUp > last.Fence) {
		g.peerGaveUpDuty.Store(&lease.GivenUp{Holder: from.Daemon, Incarnation: dutyIncarnation(from.Start), Fence: s.DutyGivenUp})
		g.peerHeldDutyAt.Store(nil)
	}
}

// dutyIncarnation returns the incarnation of a daemon in the lease of the duty.
func dutyIncarnation(start int64) uint64 { return uint64(start) } //nolint:gosec // Any bits identify it.

// applyGivenUp passes on that a peer has given the duty up, and gives it up where peers reach
// the store and this daemon does not, since one of them can take it over sooner.
func (s *dutyState) applyGivenUp(ctx context.Context, now time.Time) {
	if p := s.g.peerGaveUpDuty.Load(); p != s.peerGaveUp {
		s.peerGaveUp = p
		s.performActions(ctx, s.duty.Step(bootClockNow(), *p))
	}
	if read := s.g.storeReadAt.Load(); s.duty.RenewalOverdue(bootClockNow()) && read != nil && now.Sub(*read) < s.g.pollInterval() {
		s.resign(ctx, now)
	}
	s.g.dutyGivenUp.Store(max(s.duty.GivenUp(), s.g.dutyGivenUp.Load()))
}

// resign gives the duty up for the time of a lease at least.
func (s *dutyState) resign(ctx context.Context, now time.Time) {
	s.performActions(ctx, s.duty.Step(bootClockNow(), lease.Resign{}))
	s.resigned, s.resignedAt, s.eraAtResign = true, now, s.era
}

// noteEra passes the era of the store to the duty, which has to precede the result of the call
// that showed it.
func (s *dutyState) noteEra() []lease.Action {
	era := s.g.Store.Era()
	if era == s.era {
		return nil // A step would also read the entry when that is due.
	}
	switch {
	case s.era == 0:
	case s.reportsKnown && s.duty.Holds(bootClockNow()):
		s.lostReports = max(s.lostReports, s.reported.Window) // No other daemon has reported a later one.
	default:
		s.lostReports = s.g.latestReportable(time.Now())
	}
	s.reportedLoaded = false
	s.era = era
	return s.duty.Step(bootClockNow(), lease.Restored{Era: s.era})
}

// performActions executes the actions of the lease's state machine.
func (s *dutyState) performActions(ctx context.Context, actions []lease.Action) {
	for len(actions) > 0 {
		var next []lease.Action
		for _, a := range actions {
			switch a := a.(type) {
			case lease.Write:
				result := s.writeEntry(ctx, a)
				next = append(next, s.noteEra()...)
				next = append(next, s.duty.Step(bootClockNow(), result)...)
			case lease.Read:
				result := s.readEntry(ctx, a)
				next = append(next, s.noteEra()...)
				next = append(next, s.duty.Step(bootClockNow(), result)...)
			case lease.Acquired:
				s.forgetReported()
				clear(s.ordered)
				s.g.Log.Info("duty acquired", "Duty", dutyName, "Fence", a.Fence, "OrdersFrom", a.OrdersFrom)
			case lease.Lost:
				s.g.Log.Info("duty lost", "Duty", dutyName, "Reason", a.Reason)
			case lease.Resigned:
				s.g.Log.Info("duty resigned", "Duty", dutyName)
			}
		}
		actions = next
	}
}

func (s *dutyState) writeEntry(ctx context.Context, a lease.Write) lease.Event {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	e, err := s.g.Store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
	return lease.WriteEvent(a.ID, e, err)
}

func (s *dutyState) readEntry(ctx context.Context, a lease.Read) lease.Event {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	e, err := s.g.Store.Get(ctx, a.Key)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return lease.ReadBack{ID: a.ID}
	}
	return lease.ReadBack{ID: a.ID, Entry: e, Failed: err != nil}
}

func (s *dutyState) holder() Holder { return Holder{Daemon: s.g.Daemon, Fence: s.duty.Fence()} }

// minInitialServers is the number of servers to plan before demand is known, unless more
// are running at the start. The platform's specification starts with 18 engines for 110
// requests a second, which fall short when a place is reclaimed in the first seconds.
const minInitialServers = 24

// decodeStepTime is the time in which an engine with all slots in use generates one token
// for each of them (platform specification).
const decodeStepTime = 7 * time.Millisecond

// orderServers places the orders of servers that differ from the last ones.
func (s *dutyState) orderServers(ctx context.Context, now time.Time) {
	g := s.g
	if g.Orderer == nil || now.Sub(s.plannedAt) < orderInterval {
		return
	}
	s.plannedAt = now
	v := g.view.Load()
	if v == nil || v.index == nil || v.Members == nil {
		return
	}
	for i := range v.index.Services {
		service := &v.index.Services[i]
		if service.Scaling == nil || service.Engine == nil {
			continue
		}
		if _, moving := v.rolloutInProgress(service.Name); moving {
			continue // Servers of both versions run, and those of one of them will be stopped.
		}
		for _, o := range s.planOrders(now, v, service) {
			s.placeOrder(ctx, now, service, s.countReady(v, service, o.Place, o.Reclaimable), o)
		}
	}
}

// planOrders returns the orders for one service.
func (s *dutyState) planOrders(now time.Time, v *View, service *Service) []ServerOrder {
	p := s.plans[service.Name]
	if p == nil {
		p = &scaling.Plan{}
		s.plans[service.Name] = p
	}
	p.Options = scaling.Options{
		MinInitial: minInitialServers,
		Min:        service.Scaling.Min, Max: service.Scaling.Max, ReclaimablePrice: service.Scaling.ReclaimablePrice,
		PromptRate: prefillTokensPerSecond, OutputRate: float64(service.Engine.Slots) / decodeStepTime.Seconds(),
	}
	demand := s.g.demand.total(now, service.Name)
	var orders []ServerOrder
	list := s.scalingPlaces(now, v, service)
	for _, o := range p.Orders(now, demand, list) {
		for _, order := range []ServerOrder{
			{Service: service.Name, Place: o.Place, Reclaimable: true, Count: o.Reclaimable},
			{Service: service.Name, Place: o.Place, Count: o.Steady},
		} {
			if order.Count != scaling.Unchanged {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// scalingPlaces returns the servers of a service by place.
func (s *dutyState) scalingPlaces(now time.Time, v *View, service *Service) []scaling.Place {
	var list []scaling.Place
	for _, name := range slices.Sorted(maps.Keys(service.Scaling.Prices)) {
		p := scaling.Place{
			Name: name, Price: service.Scaling.Prices[name],
			Steady: s.countReady(v, service, name, false), Reclaimable: s.countReady(v, service, name, true),
		}
		last := s.ordered[orderKey{service.Name, name, true}]
		if now.Sub(last.acceptedAt) < service.Scaling.BootTime+orderArrivalMargin {
			p.Starting = max(last.acceptedCount-p.Reclaimable, 0)
		}
		list = append(list, p)
	}
	return list
}

// countReady counts the servers of a kind in a place that accept work.
func (s *dutyState) countReady(v *View, service *Service, place string, reclaimable bool) int {
	n := 0
	for _, m := range v.Members {
		if m.Service == service.Name && m.Place == place && m.Reclaimable == reclaimable && m.Accepting() {
			n++
		}
	}
	return n
}

// placeOrder sends an order, unless the last one is close enough and its servers are
// ready or may still be starting.
func (s *dutyState) placeOrder(ctx context.Context, now time.Time, service *Service, ready int, o ServerOrder) {
	key := orderKey{o.Service, o.Place, o.Reclaimable}
	last, ordered := s.ordered[key]
	age := now.Sub(last.orderedAt)
	switch {
	case !ordered:
	case last.err != nil && age < orderRetryDelay:
		return
	case last.err == nil && withinTolerance(last.count, o.Count) && (ready >= last.count || age < service.Scaling.BootTime+orderArrivalMargin):
		return
	}
	if !s.duty.MayOrder(bootClockNow()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	err := s.g.Orderer.Order(ctx, s.holder(), o)
	last.count, last.orderedAt, last.err = o.Count, now, err
	outcome := "taken"
	if err != nil {
		outcome = err.Error()
	} else {
		last.acceptedCount, last.acceptedAt = o.Count, now
	}
	s.ordered[key] = last
	s.g.Log.Info("servers ordered", "Service", o.Service, "ServerPlace", o.Place, "Reclaimable", o.Reclaimable,
		"Count", o.Count, "Ready", ready, "Fence", s.duty.Fence(), "Outcome", outcome)
}

// withinTolerance reports whether the ordered number of servers is close enough to the
// wanted one. Each new order costs money, and measured demand fluctuates by a few
// percent.
func withinTolerance(ordered, wanted int) bool {
	return ordered == wanted || ordered > 0 && wanted > 0 && math.Abs(float64(wanted-ordered)) < orderTolerance*float64(ordered)
}
