// Package entry implements the daemon that serves callers; to them, each daemon is an
// entry. It connects the decision packages to the clients of outside systems: one
// control goroutine owns the control state and publishes immutable views, which
// traffic goroutines read.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/cloud"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/engine"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/intake"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/peer"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/registrar"
	"apricotbridge/internal/routing"
	"apricotbridge/internal/service"
	"apricotbridge/internal/settings"
)

// keyValueStore is the part of the key-value service that a daemon uses.
type keyValueStore interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error)
	Delete(ctx context.Context, key string, revision int64) error
	Grant(ctx context.Context, lease string, ttl time.Duration) error
	Renew(ctx context.Context, lease string) error
	Watch(ctx context.Context, prefix string, after int64) ([]keyvalue.Entry, int64, error)
	ChangesSince(ctx context.Context, prefix string, after int64) ([]keyvalue.Entry, int64, error)
}

// instanceLister reads the platform's instance list.
type instanceLister interface {
	List(ctx context.Context) (instances.List, error)
}

// modelEngine is the part of a model engine that a daemon uses.
type modelEngine interface {
	Stream(ctx context.Context, address string, q engine.Request, onToken func(engine.Token) error) error
	Resume(ctx context.Context, address, streamID string, after int, onToken func(engine.Token) error) error
	Cancel(ctx context.Context, address, streamID string) error
	CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Export(ctx context.Context, address, streamID string) ([]byte, error)
	Import(ctx context.Context, address, streamID string, cache []byte) error
	Command(ctx context.Context, address string, command engine.Command) error
}

// plainService sends calls to plain services.
type plainService interface {
	Do(ctx context.Context, address string, q service.Call) (*service.Response, error)
	LookUp(ctx context.Context, address, path, key string, timeout time.Duration) (*service.Response, error)
}

// Defaults of optional settings.
const (
	defaultEntriesKeep   = 10 * time.Second
	defaultDrainTimeout  = 60 * time.Second
	defaultStreamIdle    = 30 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	defaultCallTimeout   = 2 * time.Second
)

const maxHeaderBytes = 64 << 10

// Daemon serves callers. Exported fields must be set before Run.
type Daemon struct {
	Settings  *settings.Settings
	Log       logr.Logger
	KeyValue  keyValueStore
	Instances instanceLister
	Engine    modelEngine
	// Service sends calls that may be repeated. Order sends calls that may not; it
	// opens a new connection for each.
	Service plainService
	Order   plainService
	// Cloud is the cloud API. Without it this daemon never holds the placement duty,
	// and sees reclaims only in the instance list.
	Cloud cloudAPI
	// Seed makes jitter and tie breaks repeatable; 0 selects a random seed.
	Seed uint64

	view               atomic.Pointer[View]
	start              int64
	events             chan event
	configurationReads chan struct{}
	ready              chan struct{}
	draining           chan struct{}
	drained            chan struct{}
	addrs              addresses
	activeRequests     activity
	answers            answers
	dispatcher         *dispatch.Dispatcher
	// requestContext is the context of model requests, which outlive the caller's
	// connection.
	requestContext context.Context
	registrar      atomic.Pointer[registrar.Registrar]
	hub            *peer.Hub
	handler        http.Handler
	ledgerWokenAt  atomic.Int64
	// placementFence is the fencing number of the placement duty; 0 when it is not
	// held.
	placementFence    atomic.Uint64
	orders            pendingOrders
	transfers         transferCosts
	announcedReclaims reclaimBuffer
	metrics           *telemetry
	drainOnce         sync.Once
}

// addresses are the addresses to connect to, known once the daemon is ready.
type addresses struct {
	caller, peer, operator string
}

// New returns a daemon whose clients are built from the settings.
func New(s *settings.Settings, log logr.Logger) *Daemon {
	orderHTTP := service.NewHTTPClient(true)
	d := &Daemon{
		Settings:           s,
		Log:                log.WithValues("Daemon", s.Daemon, "Place", s.Place),
		KeyValue:           &keyvalue.Client{Address: s.KeyValue.Address, Timeout: s.KeyValue.Timeout.Or(defaultCallTimeout)},
		Instances:          &instances.Client{Address: s.InstanceList.Address, Timeout: s.InstanceList.Timeout.Or(defaultCallTimeout)},
		Engine:             &engine.Client{HTTP: service.NewHTTPClient(false), IdleTimeout: s.StreamIdle.Or(defaultStreamIdle)},
		Service:            &service.Client{HTTP: service.NewHTTPClient(false)},
		Order:              &service.Client{HTTP: orderHTTP},
		start:              time.Now().UnixNano(),
		events:             make(chan event, 1024),
		configurationReads: make(chan struct{}, 1),
		ready:              make(chan struct{}),
		draining:           make(chan struct{}),
		drained:            make(chan struct{}),
		metrics:            newTelemetry(),
	}
	if s.Cloud != nil {
		d.Cloud = &cloud.Client{Address: s.Cloud.Address, Timeout: s.Cloud.Timeout.Or(defaultCallTimeout)}
	}
	return d
}

// Ready is closed when the daemon listens.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// CallerAddress returns the address for callers. It is set once Ready is closed.
func (d *Daemon) CallerAddress() string { return d.addrs.caller }

// OperatorAddress returns the address of the operator API. It is set once Ready is
// closed.
func (d *Daemon) OperatorAddress() string { return d.addrs.operator }

// Run serves until the context is cancelled, a task fails or a drain is complete. It
// returns nil after a complete drain.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers, err := net.Listen("tcp", d.Settings.CallerListen)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", d.Settings.PeerListen)
	if err != nil {
		_ = callers.Close() // The listen error is the one to report.
		return errors.Annotate(err, "listen for peers")
	}
	operators, err := net.Listen("tcp", stringOrDefault(d.Settings.OperatorListen, "127.0.0.1:0"))
	if err != nil {
		_ = callers.Close() // The listen error is the one to report.
		_ = peers.Close()
		return errors.Annotate(err, "listen for operators")
	}
	d.addrs.caller = stringOrDefault(d.Settings.CallerAddress, callers.Addr().String())
	d.addrs.peer = stringOrDefault(d.Settings.PeerAddress, peers.Addr().String())
	d.addrs.operator = operators.Addr().String()
	d.hub = d.newHub(peers)
	d.requestContext = ctx
	d.answers.init()
	d.dispatcher = d.newDispatcher()
	d.view.Store(&View{})

	server := d.callerServer()
	t := newTaskGroup(ctx)
	t.start("control", d.runControl)
	t.start("configuration", d.watchConfiguration)
	t.start("configuration reads", d.readConfiguration)
	t.start("instance list", d.followInstances)
	t.start("registration", d.maintainRegistration)
	t.start("engine polls", d.pollEngines)
	t.start("ledger", d.runLedger)
	t.start("placement", d.runPlacement)
	t.start("notices", d.followNotices)
	t.start("peers", d.hub.Run)
	t.start("callers", func(ctx context.Context) error { return serveHTTP(ctx, &intake.Gate{}, server, callers) })
	t.start("operators", func(ctx context.Context) error { return d.serveOperators(ctx, operators) })
	close(d.ready)
	d.Log.Info("daemon started", "CallerAddress", d.addrs.caller, "OperatorAddress", d.addrs.operator)

	select {
	case <-ctx.Done():
	case <-d.drained:
	case end := <-t.results:
		t.received++
		err = errors.Annotatef(end.err, "%s ended", end.name)
	}
	cancel()
	if tasksErr := t.wait(); err == nil {
		err = tasksErr
	}
	d.answers.close()
	d.Log.Info("daemon stopped")
	return err
}

// newDispatcher returns a dispatcher without ranks and organisations; the first
// configuration sets them.
func (d *Daemon) newDispatcher() *dispatch.Dispatcher {
	seed := d.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	queue := &admission.Queue{Daemon: d.Settings.Daemon, Seed: seed}
	random := rand.New(rand.NewPCG(seed, uint64(d.start)))
	return dispatch.New(queue, routing.New(routing.Options{}), quarantine.New(quarantine.Options{}), random)
}

// shutdownTimeout bounds the wait for responses that are still being written at exit.
const shutdownTimeout = 500 * time.Millisecond

// serveHTTP serves until the context is cancelled, then closes the listener and all
// connections. After a drain no request is left at that point.
func serveHTTP(ctx context.Context, gate *intake.Gate, s *http.Server, l net.Listener) error {
	gate.Prepare(s)
	serveResult := make(chan error, 1)
	go func() { serveResult <- s.Serve(gate.Listener(l)) }()
	select {
	case <-ctx.Done():
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = s.Shutdown(shutdownCtx) // Close ends the remaining connections.
		err := s.Close()
		if serveErr := <-serveResult; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
			err = serveErr
		}
		return err
	case err := <-serveResult:
		return err
	}
}

func stringOrDefault(s, def string) string {
	if s != "" {
		return s
	}
	return def
}
