// Package entry is the daemon between callers and backend servers. It joins the
// decision packages with the adapters: one control goroutine owns the control
// state and publishes immutable views, and traffic goroutines read the view that
// is in force.
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
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/peer"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/registrar"
	"apricotbridge/internal/routing"
	"apricotbridge/internal/service"
	"apricotbridge/internal/settings"
)

// keyValueStore is the part of the key-value service that a daemon needs.
type keyValueStore interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error)
	Delete(ctx context.Context, key string, revision int64) error
	Grant(ctx context.Context, lease string, ttl time.Duration) error
	Renew(ctx context.Context, lease string) error
	Watch(ctx context.Context, prefix string, after int64) ([]keyvalue.Entry, int64, error)
	Since(ctx context.Context, prefix string, after int64) ([]keyvalue.Entry, int64, error)
}

// instanceLister reads the platform's instance list.
type instanceLister interface {
	List(ctx context.Context) (instances.List, error)
}

// modelEngine is the part of a model engine that a daemon needs.
type modelEngine interface {
	Stream(ctx context.Context, address string, q engine.Request, each func(engine.Token) error) error
	Resume(ctx context.Context, address, stream string, after int, each func(engine.Token) error) error
	Cancel(ctx context.Context, address, stream string) error
	CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Export(ctx context.Context, address, stream string) ([]byte, error)
	Import(ctx context.Context, address, stream string, cache []byte) error
	Command(ctx context.Context, address string, command engine.Command) error
}

// plainService passes calls to plain services.
type plainService interface {
	Do(ctx context.Context, address string, q service.Call) (*service.Answer, error)
	LookUp(ctx context.Context, address, path, key string, timeout time.Duration) (*service.Answer, error)
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

// Daemon serves callers. Set the exported fields before Run.
type Daemon struct {
	Settings  *settings.Settings
	Log       logr.Logger
	KeyValue  keyValueStore
	Instances instanceLister
	Engine    modelEngine
	// Service passes calls that may be repeated, and Order those that may not:
	// each order has a connection of its own.
	Service plainService
	Order   plainService
	// Cloud is the cloud API; nil means that this daemon takes no placement duty and
	// learns of reclaims from the instance list alone.
	Cloud cloudAPI
	// Seed makes jitter and tie breaks repeatable; 0 takes a random one.
	Seed uint64

	view       atomic.Pointer[View]
	start      int64
	events     chan event
	reads      chan struct{}
	ready      chan struct{}
	draining   chan struct{}
	drained    chan struct{}
	addrs      addresses
	active     activity
	answers    answers
	dispatcher *dispatch.Dispatcher
	// work is the context of requests, which go on when their caller is cut off.
	work      context.Context
	registrar atomic.Pointer[registrar.Registrar]
	hub       *peer.Hub
	handler   http.Handler
	woken     atomic.Int64
	// placementFence is the fencing number of the placement duty; 0 means not held.
	placementFence atomic.Uint64
	orders         orders
	transfers      transfers
	notices        noticeBoard
	metrics        *telemetry
	drainOnce      sync.Once
}

// addresses are where the daemon listens, known once it is ready.
type addresses struct {
	caller, peer, operator string
}

// New returns a daemon with its clients made from the settings.
func New(s *settings.Settings, log logr.Logger) *Daemon {
	order := service.NewHTTPClient(true)
	d := &Daemon{
		Settings:  s,
		Log:       log.WithValues("Daemon", s.Daemon, "Place", s.Place),
		KeyValue:  &keyvalue.Client{Address: s.KeyValue.Address, Timeout: s.KeyValue.Timeout.Or(defaultCallTimeout)},
		Instances: &instances.Client{Address: s.InstanceList.Address, Timeout: s.InstanceList.Timeout.Or(defaultCallTimeout)},
		Engine:    &engine.Client{HTTP: service.NewHTTPClient(false), Idle: s.StreamIdle.Or(defaultStreamIdle)},
		Service:   &service.Client{HTTP: service.NewHTTPClient(false)},
		Order:     &service.Client{HTTP: order},
		start:     time.Now().UnixNano(),
		events:    make(chan event, 1024),
		reads:     make(chan struct{}, 1),
		ready:     make(chan struct{}),
		draining:  make(chan struct{}),
		drained:   make(chan struct{}),
		metrics:   newTelemetry(),
	}
	if s.Cloud != nil {
		d.Cloud = &cloud.Client{Address: s.Cloud.Address, Timeout: s.Cloud.Timeout.Or(defaultCallTimeout)}
	}
	return d
}

// Ready is closed when the daemon listens.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// CallerAddress is where callers are served; it is known once Ready is closed.
func (d *Daemon) CallerAddress() string { return d.addrs.caller }

// OperatorAddress is where the operator API is served; it is known once Ready is
// closed.
func (d *Daemon) OperatorAddress() string { return d.addrs.operator }

// Run serves until the context ends or a drain is complete. It returns nil after
// a complete drain.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers, err := net.Listen("tcp", d.Settings.CallerListen)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", d.Settings.PeerListen)
	if err != nil {
		_ = callers.Close() // The first error is the one that matters.
		return errors.Annotate(err, "listen for peers")
	}
	operators, err := net.Listen("tcp", orString(d.Settings.OperatorListen, "127.0.0.1:0"))
	if err != nil {
		_ = callers.Close() // The first error is the one that matters.
		_ = peers.Close()
		return errors.Annotate(err, "listen for operators")
	}
	d.addrs.caller = orString(d.Settings.CallerAddress, callers.Addr().String())
	d.addrs.peer = orString(d.Settings.PeerAddress, peers.Addr().String())
	d.addrs.operator = operators.Addr().String()
	d.hub = d.newHub(peers)
	d.work = ctx
	d.answers.init()
	d.dispatcher = d.newDispatcher()
	d.view.Store(&View{})

	server := d.callerServer()
	t := newTasks(ctx)
	t.start("control", d.control)
	t.start("configuration", d.watchConfiguration)
	t.start("configuration reads", d.readConfiguration)
	t.start("instance list", d.followInstances)
	t.start("registration", d.register)
	t.start("engine polls", d.pollEngines)
	t.start("ledger", d.runLedger)
	t.start("placement", d.runPlacement)
	t.start("notices", d.followNotices)
	t.start("peers", d.hub.Run)
	t.start("callers", func(ctx context.Context) error { return serveHTTP(ctx, server, callers) })
	t.start("operators", func(ctx context.Context) error { return d.serveOperators(ctx, operators) })
	close(d.ready)
	d.Log.Info("daemon started", "CallerAddress", d.addrs.caller, "OperatorAddress", d.addrs.operator)

	select {
	case <-ctx.Done():
	case <-d.drained:
	case end := <-t.ends:
		t.seen++
		err = errors.Annotatef(end.err, "%s ended", end.name)
	}
	cancel()
	if rest := t.wait(); err == nil {
		err = rest
	}
	d.answers.close()
	d.Log.Info("daemon stopped")
	return err
}

// newDispatcher returns a dispatcher whose ranks and organisations come with the
// first configuration.
func (d *Daemon) newDispatcher() *dispatch.Dispatcher {
	seed := d.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	queue := &admission.Queue{Daemon: d.Settings.Daemon, Seed: seed}
	random := rand.New(rand.NewPCG(seed, uint64(d.start)))
	return dispatch.New(queue, routing.New(routing.Options{}), quarantine.New(quarantine.Options{}), random)
}

// closeTimeout bounds the wait for responses that are being written at the end.
const closeTimeout = 500 * time.Millisecond

// serveHTTP serves until the context ends, then closes the listener and all
// connections. A drain has let the requests finish before.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case <-ctx.Done():
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		_ = s.Shutdown(closing) // Close ends what is left.
		err := s.Close()
		if serveErr := <-ended; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
			err = serveErr
		}
		return err
	case err := <-ended:
		return err
	}
}

func orString(s, def string) string {
	if s != "" {
		return s
	}
	return def
}
