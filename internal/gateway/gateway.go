// Package gateway is the daemon that passes callers' requests to backend servers
// byte for byte. It serves callers that know nothing of it but its addresses, and
// servers whose answers are opaque to it. One control goroutine owns what the
// daemon believes of the fleet, its peers and the configuration, and publishes
// immutable views; traffic goroutines read the view that is in force.
//
// Admission, routing and retries are those of package dispatch. The names of a
// platform's protocol are not known here: an adapter brings a Protocol, a Store and
// a Decoder.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/admission"
	"apricotbridge/internal/backend"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/fleet"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/quota"
	"apricotbridge/internal/routing"
)

// Store is the platform's key-value service as the gateway uses it.
type Store interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error)
	// Changes returns the changes of keys with prefix after a revision, and the
	// revision to go on from. It waits for the first one. ErrCompacted says that the
	// changes are not known any more.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]keyvalue.Entry, int64, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error)
	Delete(ctx context.Context, key string, revision int64) error
	Lease(ctx context.Context, ttl time.Duration) (string, error)
	Renew(ctx context.Context, lease string) error
}

// Decoder reads what others wrote to the store.
type Decoder interface {
	// Configuration reads the operators' configuration.
	Configuration(document []byte) (*Configuration, error)
	// Registration reads the entry of a backend server.
	Registration(e keyvalue.Entry) fleet.Registration
}

// Keys are the places in the store that others write.
type Keys struct {
	// Configuration is the key of the configuration.
	Configuration string
	// Servers is the prefix of the servers' entries.
	Servers string
}

// Bounds are limits that the deployment states.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryShare and RetryBurst bound the second attempts of all daemons within
	// RetryWindow.
	RetryShare, RetryBurst float64
	RetryWindow            time.Duration
	// Lease is the lease time of duties.
	Lease time.Duration
	// UsageWindow is the length of a window of usage, and UsageDue how long after
	// its end the report is due.
	UsageWindow, UsageDue time.Duration
	// Apply is the time in which a change of the configuration, or the leaving of a
	// server, has to be in force; 0 means a default.
	Apply time.Duration
}

// Gateway is one daemon. Exported fields are set before Run.
type Gateway struct {
	// Daemon is the id of this daemon, Place and Region are where it runs.
	Daemon, Place, Region string
	// Regions holds the region of each place.
	Regions map[string]string
	// CallerAddress and PeerAddress are where others reach this daemon.
	CallerAddress, PeerAddress string
	CallerListener             net.Listener
	PeerListener               net.Listener
	Store                      Store
	Decoder                    Decoder
	Protocol                   Protocol
	Keys                       Keys
	Bounds                     Bounds
	// MeshMax is the number of daemons up to which each keeps a link to every other;
	// 0 means a default.
	MeshMax  int
	Backends *backend.Pool
	// Reporter takes usage reports and Orderer orders of servers; nil leaves the
	// duty out.
	Reporter Reporter
	Orderer  Orderer
	Log      logr.Logger
	Metrics  metrics.Registry

	// start tells the starts of this daemon apart.
	start      int64
	dispatcher *dispatch.Dispatcher
	hub        *peer.Hub
	view       atomic.Pointer[View]
	// fresh is when the store was last read by this daemon or by a peer that told.
	fresh atomic.Pointer[time.Time]
	// document is the configuration that was read last.
	document atomic.Pointer[[]byte]
	events   chan func(*control)
	measures *measures

	quotaMu sync.Mutex
	quotas  *quota.Book

	countMu sync.Mutex
	counts  *accounting.Book
	clock   *accounting.Clock

	// rows is what the daemons told of themselves, and placeLoads the load of other
	// places on servers.
	rowsMu     sync.Mutex
	rows       map[string]row
	placeLoads map[string]placeLoads

	sentMu sync.Mutex
	sent   []message.SentPrompt

	demand *demand

	// holding says that this daemon holds the duty, and othersDuty when a peer last
	// said that it does.
	holding    atomic.Bool
	othersDuty atomic.Pointer[time.Time]

	draining   atomic.Bool
	drainStart atomic.Pointer[time.Time]
	drained    chan struct{}
	inFlight   atomic.Int64
}

// backlog is the longest time of prompt processing that may wait in a server that
// counts as free. It is below the targets of the most urgent requests, so that the
// order of requests stays that of the daemons' queues.
const backlog = 250 * time.Millisecond

func (g *Gateway) init() {
	g.start = time.Now().UnixNano()
	random := rand.New(rand.NewPCG(uint64(g.start), 1)) //nolint:gosec // Not for secrets.
	queue := &admission.Queue{Daemon: g.Daemon, Seed: uint64(g.start)}
	router := routing.New(routing.Options{Backlog: backlog, Shared: true})
	g.dispatcher = dispatch.New(queue, router, quarantine.New(quarantine.Options{}), random)
	g.dispatcher.ServersPreempt = true
	g.events = make(chan func(*control), 1024)
	g.quotas = quota.NewBook()
	g.counts, g.clock = accounting.NewBook(), accounting.NewClock()
	g.demand = newDemand()
	g.rows, g.placeLoads = map[string]row{}, map[string]placeLoads{}
	g.drained = make(chan struct{})
	if g.Metrics == nil {
		g.Metrics = metrics.NewRegistry()
	}
	g.measures = newMeasures(g.Metrics)
	g.hub = &peer.Hub{
		Self: message.Hello{
			Daemon: g.Daemon, Place: g.Place, Region: g.Region,
			PeerAddress: g.PeerAddress, CallerAddress: g.CallerAddress, Start: g.start,
		},
		Listener: g.PeerListener, Handle: g.hear, Log: g.Log.WithName("peer"), Metrics: g.Metrics,
		MaxBackoff: peerBackoff,
		Down:       func(p message.Hello) { g.post(func(c *control) { c.peerDown(p) }) },
		Unreachable: func(t peer.Target, err error) {
			// A machine that refuses connections is there; the process is not.
			if errors.Is(err, syscall.ECONNREFUSED) {
				g.quotaMu.Lock()
				g.quotas.Gone(t.ID)
				g.quotaMu.Unlock()
			}
		},
	}
}

// peerBackoff bounds the wait between attempts to reach a peer, which may have
// restarted at the same address.
const peerBackoff = time.Second

// post hands an event to the control goroutine.
func (g *Gateway) post(event func(*control)) { g.events <- event }

// Run serves until the context ends, and returns when all of its goroutines have
// ended.
func (g *Gateway) Run(ctx context.Context) error {
	g.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks := []struct {
		name string
		run  func(context.Context) error
	}{
		{"control", g.runControl},
		{"peers", g.hub.Run},
		{"store", g.pollStore},
		{"registration", g.keepRegistration},
		{"daemons", g.watchDaemons},
		{"status", g.sendStatus},
		{"rows", g.passRows},
		{"duty", g.runDuty},
		{"callers", g.serveCallers},
		{"ticks", g.tick},
	}
	type end struct {
		name string
		err  error
	}
	ends := make(chan end, len(tasks))
	for _, t := range tasks {
		go func() { ends <- end{t.name, t.run(ctx)} }()
	}
	var first error
	for range tasks {
		e := <-ends
		if e.err != nil && ctx.Err() == nil && first == nil {
			first = errors.Annotate(e.err, e.name)
			g.Log.Error(e.err, "task ended", "Task", e.name)
		}
		cancel()
	}
	g.Backends.Close()
	return first
}

// tickEvery is how often the dispatcher drops requests whose time has passed.
const tickEvery = 50 * time.Millisecond

// sweepEvery is how often idle connections are looked through.
const sweepEvery = 2 * time.Second

func (g *Gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		g.dispatcher.Tick(now)
		if now.Sub(swept) < sweepEvery {
			continue
		}
		swept = now
		addresses := map[string]bool{}
		if v := g.view.Load(); v != nil {
			for _, m := range v.Members {
				addresses[m.Address] = m.Accepting()
			}
		}
		g.Backends.Sweep(now, func(address string) bool { return addresses[address] })
	}
}
