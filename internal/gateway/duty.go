package gateway

import (
	"context"
	"encoding/json"
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
	"apricotbridge/internal/scaling"
)

const (
	// dutyName names the one duty under which usage is reported and servers are
	// ordered.
	dutyName = "platform"
	// dutyTick is how often the duty is stepped.
	dutyTick = 100 * time.Millisecond
	// dutyCall bounds a call of the duty, so that a renewal is not held up.
	dutyCall = 700 * time.Millisecond
	// dutySilence is how long after its last message the holder is taken to be well.
	dutySilence = 800 * time.Millisecond
	// reportedKey holds the usage report that was sent last, or is about to be.
	reportedKey = "usage/reported"
	// reportAfter is how long after the end of a window its report is made. Peers
	// have told their counts by then, and a new holder has time to make up for it.
	reportAfter = 2 * time.Second
	// orderEvery is how often the servers to have are worked out.
	orderEvery = 500 * time.Millisecond
	// orderRetry is the wait after an order that failed.
	orderRetry = time.Second
	// orderStep is the part by which the number of servers has to differ from that of
	// the order given before.
	orderStep = 0.1
	// orderAgain is how long beyond the boot time an order is given to bring its
	// servers before it is repeated. An order does not replace servers that left.
	orderAgain = 1500 * time.Millisecond
)

// Report is the usage of one window.
type Report struct {
	Window accounting.Window `json:"Window"`
	// Requests holds the requests that began to run, by organisation.
	Requests map[string]int64 `json:"Requests"`
}

// Holder says on whose behalf a duty is done.
type Holder struct {
	Daemon string
	// Fence rises with each change of the holder.
	Fence uint64
}

// Reporter takes usage reports. An error means that the report may not have been
// taken; the same report is then sent again.
type Reporter interface {
	Report(ctx context.Context, h Holder, r Report) error
}

// ServerOrder is how many servers of a kind to have in a place.
type ServerOrder struct {
	Service, Place string
	Reclaimable    bool
	Count          int
}

// ErrNoneAvailable reports an order of servers that are not to be had now.
const ErrNoneAvailable = errors.ConstError("no servers available")

// Orderer takes orders of servers.
type Orderer interface {
	Order(ctx context.Context, h Holder, o ServerOrder) error
}

// bootTime returns a time that goes on while the instance is suspended. It is used
// for leases only.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // Linux always has the clock.
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// dutyState is the state of the duty's goroutine.
type dutyState struct {
	g    *Gateway
	duty *lease.Duty
	// reported is the last report that was recorded, at revision; read says that it
	// is known since the duty was taken up.
	reported Report
	revision int64
	read     bool
	sent     bool
	plans    map[string]*scaling.Plan
	// ordered holds what was ordered, by service, place and kind.
	ordered map[orderKey]orderState
	planned time.Time
}

type orderKey struct {
	service, place string
	reclaimable    bool
}

type orderState struct {
	count int
	at    time.Time
	err   error
	// taken and takenAt are of the last order without an error.
	taken   int
	takenAt time.Time
}

// runDuty competes for the duty and does it while it is held.
func (g *Gateway) runDuty(ctx context.Context) error {
	if g.Reporter == nil && g.Orderer == nil {
		<-ctx.Done()
		return nil
	}
	seed := uint64(g.start)
	s := &dutyState{g: g, plans: map[string]*scaling.Plan{}, ordered: map[orderKey]orderState{}}
	s.duty = lease.New(lease.Config{
		Name: dutyName, Holder: g.Daemon, Incarnation: seed, Lease: g.Bounds.Lease, OrderLifetime: dutyCall,
		Rand: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // Not for secrets.
	})
	ticker := time.NewTicker(dutyTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if g.draining.Load() {
			s.perform(ctx, s.duty.Step(bootTime(), lease.Resign{}))
		}
		g.holding.Store(s.duty.Holds(bootTime()))
		if v := g.view.Load(); !g.holding.Load() && v != nil && !v.Delegate {
			continue // Only delegates hear each other.
		}
		if t := g.othersDuty.Load(); !g.holding.Load() && t != nil && time.Since(*t) < dutySilence {
			s.read = false
			continue // The holder is well; the store need not be asked.
		}
		s.perform(ctx, s.duty.Step(bootTime(), lease.Tick{}))
		if s.duty.MayOrder(bootTime()) {
			s.report(ctx)
			s.order(ctx, time.Now())
		} else {
			s.read = false
		}
	}
}

// dutyHeard notes whether a peer holds the duty.
func (g *Gateway) dutyHeard(now time.Time, holds bool) {
	if holds {
		g.othersDuty.Store(&now)
	}
}

// perform does the calls of the duty's state machine.
func (s *dutyState) perform(ctx context.Context, actions []lease.Action) {
	for len(actions) > 0 {
		var next []lease.Action
		for _, a := range actions {
			switch a := a.(type) {
			case lease.Write:
				next = append(next, s.duty.Step(bootTime(), s.write(ctx, a))...)
			case lease.Read:
				next = append(next, s.duty.Step(bootTime(), s.readBack(ctx, a))...)
			case lease.Acquired:
				s.read = false
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

func (s *dutyState) write(ctx context.Context, a lease.Write) lease.Event {
	ctx, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	e, err := s.g.Store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
	return lease.Written(a.ID, e, err)
}

func (s *dutyState) readBack(ctx context.Context, a lease.Read) lease.Event {
	ctx, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	e, err := s.g.Store.Get(ctx, a.Key)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return lease.ReadBack{ID: a.ID}
	}
	return lease.ReadBack{ID: a.ID, Entry: e, Failed: err != nil}
}

func (s *dutyState) holder() Holder { return Holder{Daemon: s.g.Daemon, Fence: s.duty.Fence()} }

// report sends the report of the oldest window that is due. The report is recorded
// in the store first, so that the next holder repeats it with the same counts.
func (s *dutyState) report(ctx context.Context) {
	g := s.g
	if g.Reporter == nil || g.Bounds.UsageWindow <= 0 || !s.readReported(ctx) {
		return
	}
	if s.reported.Window > 0 && !s.sent {
		s.send(ctx)
		return
	}
	length := g.Bounds.UsageWindow
	g.countMu.Lock()
	wall := g.clock.Now(time.Now(), time.Now())
	g.countMu.Unlock()
	latest := accounting.WindowOf(wall.Add(-reportAfter), length) - 1
	due := max(s.reported.Window+1, accounting.WindowOf(wall.Add(-g.Bounds.UsageDue), length))
	if s.reported.Window == 0 {
		due = latest
	}
	if due > latest {
		return
	}
	g.countMu.Lock()
	next := Report{Window: due, Requests: g.counts.Total(due)}
	g.countMu.Unlock()
	if len(next.Requests) == 0 {
		// Nothing ran, as far as is known. The window is passed over when the next
		// one is reported.
		if due == latest {
			return
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		g.Log.Error(err, "usage report not encoded")
		return
	}
	timed, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	e, err := g.Store.CompareAndSwap(timed, reportedKey, value, s.revision, "")
	if err != nil {
		g.Log.Info("usage report not recorded", "Window", next.Window, "Error", err.Error())
		s.read = false // Another holder wrote it, or the answer was lost.
		return
	}
	s.reported, s.revision, s.sent = next, e.Revision, false
	s.send(ctx)
}

// readReported reads which report was recorded last.
func (s *dutyState) readReported(ctx context.Context) bool {
	if s.read {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	e, err := s.g.Store.Get(ctx, reportedKey)
	switch {
	case errors.Is(err, keyvalue.ErrNotFound):
		s.reported, s.revision, s.sent, s.read = Report{}, 0, true, true
		return true
	case err != nil:
		return false
	}
	var r Report
	if err := json.Unmarshal(e.Value, &r); err != nil {
		s.g.Log.Error(err, "recorded usage report not readable")
		return false
	}
	s.reported, s.revision, s.sent, s.read = r, e.Revision, false, true
	return true
}

// send gives the recorded report to the platform.
func (s *dutyState) send(ctx context.Context) {
	if !s.duty.MayOrder(bootTime()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	err := s.g.Reporter.Report(ctx, s.holder(), s.reported)
	if err != nil {
		s.g.Log.Info("usage report not taken", "Window", s.reported.Window, "Error", err.Error())
		return
	}
	s.sent = true
	s.g.Log.Info("usage reported", "Window", s.reported.Window, "Requests", s.reported.Requests, "Fence", s.duty.Fence())
}

// leastServers is how many servers are provided for before demand is known, unless
// more are there: the sheets of letter 2 have 18 engines for 110 requests a second, which
// fall short when a place is reclaimed in the first seconds.
const leastServers = 24

// stepTime is the time in which a full engine generates one token for each of its slots
// (letter 2).
const stepTime = 7 * time.Millisecond

// order gives the orders of servers that differ from those given before.
func (s *dutyState) order(ctx context.Context, now time.Time) {
	g := s.g
	if g.Orderer == nil || now.Sub(s.planned) < orderEvery {
		return
	}
	s.planned = now
	v := g.view.Load()
	if v == nil || v.index == nil || v.Members == nil {
		return
	}
	for i := range v.index.Services {
		service := &v.index.Services[i]
		if service.Scaling == nil || service.Engine == nil {
			continue
		}
		for _, o := range s.plan(now, v, service) {
			s.give(ctx, now, service, s.ready(v, service, o.Place, o.Reclaimable), o)
		}
	}
}

// plan returns the orders for one service.
func (s *dutyState) plan(now time.Time, v *View, service *Service) []ServerOrder {
	p := s.plans[service.Name]
	if p == nil {
		p = &scaling.Plan{}
		s.plans[service.Name] = p
	}
	p.Options = scaling.Options{
		Least: leastServers,
		Min:   service.Scaling.Min, Max: service.Scaling.Max, ReclaimablePrice: service.Scaling.ReclaimablePrice,
		PromptRate: prefillRate, OutputRate: float64(service.Engine.Slots) / stepTime.Seconds(),
	}
	demand := s.g.demand.total(now, service.Name)
	var orders []ServerOrder
	list := s.places(now, v, service)
	for _, o := range p.Orders(now, demand, list) {
		for _, kind := range []ServerOrder{
			{Service: service.Name, Place: o.Place, Reclaimable: true, Count: o.Reclaimable},
			{Service: service.Name, Place: o.Place, Count: o.Steady},
		} {
			if kind.Count != scaling.Leave {
				orders = append(orders, kind)
			}
		}
	}
	return orders
}

// places returns the servers of a service by place.
func (s *dutyState) places(now time.Time, v *View, service *Service) []scaling.Place {
	var list []scaling.Place
	for _, name := range slices.Sorted(maps.Keys(service.Scaling.Prices)) {
		p := scaling.Place{
			Name: name, Price: service.Scaling.Prices[name],
			Steady: s.ready(v, service, name, false), Reclaimable: s.ready(v, service, name, true),
		}
		last := s.ordered[orderKey{service.Name, name, true}]
		if now.Sub(last.takenAt) < service.Scaling.Boot+orderAgain {
			p.Coming = max(last.taken-p.Reclaimable, 0)
		}
		list = append(list, p)
	}
	return list
}

// ready counts the servers of a kind in a place that take work.
func (s *dutyState) ready(v *View, service *Service, place string, reclaimable bool) int {
	n := 0
	for _, m := range v.Members {
		if m.Service == service.Name && m.Place == place && m.Reclaimable == reclaimable && m.Accepting() {
			n++
		}
	}
	return n
}

// give sends an order unless it was given already and its servers are there, or
// may still be starting.
func (s *dutyState) give(ctx context.Context, now time.Time, service *Service, ready int, o ServerOrder) {
	key := orderKey{o.Service, o.Place, o.Reclaimable}
	last, given := s.ordered[key]
	age := now.Sub(last.at)
	switch {
	case !given:
	case last.err != nil && age < orderRetry:
		return
	case last.err == nil && similar(last.count, o.Count) && (ready >= last.count || age < service.Scaling.Boot+orderAgain):
		return
	}
	if !s.duty.MayOrder(bootTime()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	err := s.g.Orderer.Order(ctx, s.holder(), o)
	last.count, last.at, last.err = o.Count, now, err
	outcome := "taken"
	if err != nil {
		outcome = err.Error()
	} else {
		last.taken, last.takenAt = o.Count, now
	}
	s.ordered[key] = last
	s.g.Log.Info("servers ordered", "Service", o.Service, "ServerPlace", o.Place, "Reclaimable", o.Reclaimable,
		"Count", o.Count, "Ready", ready, "Fence", s.duty.Fence(), "Outcome", outcome)
}

// similar says that an order need not be changed for another number of servers. Each
// order is paid for, and demand that is measured varies by some percent.
func similar(ordered, wanted int) bool {
	return ordered == wanted || ordered > 0 && wanted > 0 && math.Abs(float64(wanted-ordered)) < orderStep*float64(ordered)
}
