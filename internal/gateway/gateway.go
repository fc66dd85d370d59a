// Package gateway implements the daemon of a platform on which callers and backend
// servers are unaware of the daemons: callers know only addresses, and the bodies of
// requests and answers pass unchanged. One control goroutine owns the state of the fleet,
// the peers and the configuration, and publishes it as immutable views, which the traffic
// goroutines read.
//
// Package dispatch does admission, routing and retries. The adapter of a platform
// supplies a Protocol, a Store and a Decoder; this package uses no name of a platform's
// protocol.
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
	"apricotbridge/internal/intake"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/lease"
	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/quota"
	"apricotbridge/internal/routing"
)

// Store is the part of the platform's key-value service that the gateway uses.
type Store interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error)
	// Changes waits for changes of keys with prefix after a revision. It returns them and
	// the revision to continue from. ErrCompacted means that the store has dropped
	// changes after that revision.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]keyvalue.Entry, int64, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error)
	Delete(ctx context.Context, key string, revision int64) error
	Lease(ctx context.Context, ttl time.Duration) (string, error)
	Renew(ctx context.Context, lease string) error
	// Era returns how often the store has come back from a copy, as of the latest answer.
	Era() int64
}

// Decoder decodes entries of the store that the platform or its servers wrote.
type Decoder interface {
	// Configuration decodes the operators' configuration.
	Configuration(document []byte) (*Configuration, error)
	// Registration decodes the entry of a backend server.
	Registration(e keyvalue.Entry) fleet.Registration
}

// Keys are the store keys of entries that the platform or its servers write.
type Keys struct {
	// Configuration is the key of the configuration.
	Configuration string
	// Servers is the key prefix of the servers' entries.
	Servers string
}

// Bounds are limits set by the deployment.
type Bounds struct {
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// RetryShare and RetryBurst are the retry budget of all daemons together within
	// RetryWindow: a share of the requests, and a number of retries beyond it.
	RetryShare, RetryBurst float64
	RetryWindow            time.Duration
	// QuotaSlack is the amount by which an organisation may exceed its quota for a while,
	// in the unit of the quota.
	QuotaSlack float64
	// Lease is the term of the duty's lease.
	Lease time.Duration
	// UsageWindow is the length of a usage window. Its report is due ReportWithin after
	// its end.
	UsageWindow, ReportWithin time.Duration
	// ApplyWithin is the time in which a change of the configuration or a server's
	// leaving has to take effect; 0 means defaultApplyTime.
	ApplyWithin time.Duration
}

// Gateway is one daemon. Exported fields are set before Run.
type Gateway struct {
	// Daemon is the id of this daemon. Place and Region are its location.
	Daemon, Place, Region string
	// Regions holds the region of each place.
	Regions map[string]string
	// CallerAddress and PeerAddress are the addresses at which callers and peers reach
	// this daemon.
	CallerAddress, PeerAddress string
	CallerListener             net.Listener
	PeerListener               net.Listener
	Store                      Store
	Decoder                    Decoder
	Protocol                   Protocol
	Keys                       Keys
	// Rollouts is nil in a deployment without rollouts of software versions.
	Rollouts *Rollouts
	Bounds   Bounds
	// MeshMax is the greatest number of daemons that are linked in a full mesh; 0 means
	// defaultMeshMax.
	MeshMax  int
	Backends *backend.Pool
	// Callers and Peers bound the clients of the listeners; nil means the defaults of package intake.
	Callers, Peers *intake.Gate
	// Reporter sends usage reports and Orderer orders servers. If both are nil, the
	// daemon does not compete for the duty.
	Reporter Reporter
	Orderer  Orderer
	Log      logr.Logger
	Metrics  metrics.Registry

	// start is the start time of the process. It distinguishes restarts of a daemon.
	start      int64
	dispatcher *dispatch.Dispatcher
	hub        *peer.Hub
	view       atomic.Pointer[View]
	// storeReadAt is when this daemon last began to read the store, with success, or received the listing
	// of a peer that read it.
	storeReadAt atomic.Pointer[time.Time]
	// serversAsOf is as of when the list of servers is complete.
	serversAsOf atomic.Pointer[storeMoment]
	// lastDocument is the last configuration that was decoded.
	lastDocument   atomic.Pointer[[]byte]
	events         chan func(*control)
	requestMetrics *requestMetrics

	quotaMu sync.Mutex
	quotas  *quota.Limiter

	countMu sync.Mutex
	counts  *accounting.UsageCounter
	clock   *accounting.Clock

	// rows holds the latest row of each daemon, and placeLoads the load of other places
	// on servers.
	rowsMu     sync.Mutex
	rows       map[string]daemonRow
	placeLoads map[string]placeLoads

	sentPromptsMu sync.Mutex
	sentPrompts   []message.SentPrompt

	demand *demandTracker
	begun  *begunStreams
	// recordRequests wakes recordVersions; see requestVersionRecord.
	recordRequests chan bool
	checks         versionChecks

	evidence rolloutEvidence

	// evidenceNews holds the suspects of which this daemon, as a delegate, has news to forward:
	// from its own place (true) to other places, and from those to its own.
	evidenceNewsMu sync.Mutex
	evidenceNews   map[bool]map[quarantine.Fingerprint]bool

	// recordedSuspects holds the suspects that have a record in the store, with its
	// revision.
	recordedSuspectsMu sync.Mutex
	recordedSuspects   map[uint64]int64

	// holdsDuty means that this daemon holds the duty (see dutyName). peerHeldDutyAt is
	// when a peer's status last showed that the peer holds it.
	holdsDuty      atomic.Bool
	peerHeldDutyAt atomic.Pointer[time.Time]
	// dutyGivenUp is the last fencing number that this daemon has given up, and
	// peerGaveUpDuty the last one of a peer.
	dutyGivenUp    atomic.Uint64
	peerGaveUpDuty atomic.Pointer[lease.GivenUp]

	// servesStreams means that the versions of the servers were recorded since the start; see maxReadyDelay.
	servesStreams atomic.Bool

	draining   atomic.Bool
	drainStart atomic.Pointer[time.Time]
	// drained ends, by endDrain, when a drain has ended. callersServed is closed when the connections
	// of callers are closed.
	drained       context.Context
	endDrain      context.CancelFunc
	callersServed chan struct{}
	inFlight      atomic.Int64
}

// maxServerBacklog is the longest queued prefill time with which a server still counts as
// free. It is below the targets of the most urgent requests, so that the daemons' queues,
// not the servers', decide the order of requests.
const maxServerBacklog = 250 * time.Millisecond

func (g *Gateway) init() {
	g.start = time.Now().UnixNano()
	random := rand.New(rand.NewPCG(uint64(g.start), 1)) //nolint:gosec // Not for secrets.
	queue := &admission.Queue{Daemon: g.Daemon, Seed: uint64(g.start)}
	router := routing.New(routing.Options{MaxBacklog: maxServerBacklog, SharedLoads: true, QueueForCache: true, ReadOnceWhenBusy: true})
	g.dispatcher = dispatch.New(queue, router, quarantine.New(quarantine.Options{}), random)
	g.dispatcher.ServersPreempt = true
	// The part of the burst is not known before the other daemons are.
	g.dispatcher.SetRetryBudget(g.Bounds.RetryShare*retryBudgetShare, minRetryBurst)
	g.dispatcher.Evidence = &quarantine.Evidence{}
	g.events = make(chan func(*control), 1024)
	g.quotas = quota.NewLimiter()
	g.quotas.Slack = g.Bounds.QuotaSlack
	g.counts, g.clock = accounting.NewUsageCounter(), accounting.NewClock()
	g.demand = newDemandTracker()
	g.begun = newBegunStreams(time.Now())
	g.recordRequests, g.checks.wake = make(chan bool, 1), make(chan struct{}, 1)
	g.checks.retry.Most = maxPollRetryDelay
	if g.Callers == nil {
		g.Callers = &intake.Gate{}
	}
	if g.Peers == nil {
		g.Peers = &intake.Gate{}
	}
	g.recordedSuspects = map[uint64]int64{}
	g.evidenceNews = map[bool]map[quarantine.Fingerprint]bool{true: {}, false: {}}
	g.rows, g.placeLoads = map[string]daemonRow{}, map[string]placeLoads{}
	g.drained, g.endDrain = context.WithCancel(context.Background())
	g.callersServed = make(chan struct{})
	if g.Metrics == nil {
		g.Metrics = metrics.NewRegistry()
	}
	g.requestMetrics = newRequestMetrics(g.Metrics)
	for door, gate := range map[string]*intake.Gate{"callers": g.Callers, "peers": g.Peers} {
		gate.OnClosed = func(source, reason string, closed int64) {
			g.Log.Info("connections closed", "Door", door, "Source", source, "Reason", reason, "Closed", closed)
		}
	}
	g.hub = &peer.Hub{
		Self: message.Hello{
			Daemon: g.Daemon, Place: g.Place, Region: g.Region,
			PeerAddress: g.PeerAddress, CallerAddress: g.CallerAddress, Start: g.start,
		},
		Listener: g.PeerListener, Gate: g.Peers, OnMessage: g.handleMessage, Log: g.Log.WithName("peer"), Metrics: g.Metrics,
		MaxBackoff: maxPeerBackoff,
		OnPeerUp:   g.greet,
		OnPeerDown: func(p message.Hello) { g.post(func(c *control) { c.peerDown(p) }) },
		OnUnreachable: func(t peer.Target, err error) {
			// The connection was refused: the machine is up, but the process has ended.
			if errors.Is(err, syscall.ECONNREFUSED) {
				g.quotaMu.Lock()
				g.quotas.ProcessEnded(t.ID)
				g.quotaMu.Unlock()
			}
		},
	}
}

// maxPeerBackoff bounds the backoff between connection attempts to a peer, which may have
// restarted at the same address.
const maxPeerBackoff = time.Second

// post queues an event for the control goroutine.
func (g *Gateway) post(event func(*control)) { g.events <- event }

// Run serves until the context ends, and returns when all of its goroutines have ended.
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
		{"rows", g.relayRows},
		{"suspects", g.watchSuspects},
		{"suspect records", g.recordSuspects},
		{"version records", g.recordVersions},
		{"version checks", g.checkVersions},
		{"stream records", g.recordStreams},
		{"rollouts", g.watchRollouts},
		{"duty", g.runDuty},
		{"callers", g.serveCallers},
		{"ticks", g.tick},
	}
	type taskResult struct {
		name string
		err  error
	}
	results := make(chan taskResult, len(tasks))
	for _, t := range tasks {
		go func() { results <- taskResult{t.name, t.run(ctx)} }()
	}
	var firstErr error
	for range tasks {
		e := <-results
		if e.err != nil && ctx.Err() == nil && firstErr == nil {
			firstErr = errors.Annotate(e.err, e.name)
			g.Log.Error(e.err, "task ended", "Task", e.name)
		}
		cancel()
	}
	g.Backends.Close()
	return firstErr
}

// tickInterval is how often the dispatcher drops expired requests.
const tickInterval = 50 * time.Millisecond

// sweepInterval is how often idle backend connections are closed.
const sweepInterval = 2 * time.Second

func (g *Gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
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
		if now.Sub(swept) < sweepInterval {
			continue
		}
		swept = now
		addresses := map[string]bool{}
		if v := g.view.Load(); v != nil {
			for _, m := range v.Members {
				addresses[m.Address] = m.Accepting()
			}
		}
		g.Backends.CloseUnusable(now, func(address string) bool { return addresses[address] })
	}
}
