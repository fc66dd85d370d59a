// Package demo runs the whole system on loopback in one process: stand-ins for
// the platform, backend servers, daemons, callers of three ranks, and the
// reclaim of a data centre under load. It checks every response.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"apricotbridge/internal/entry"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/settings"
	"apricotbridge/internal/standin"
)

// Platform is the environment of the daemons on loopback, and the daemons
// themselves.
type Platform struct {
	KeyValue  *standin.KeyValue
	Instances *standin.Instances
	Runs      *standin.RunLog
	Log       logr.Logger
	// Seed makes the daemons' random tie-breaking repeatable.
	Seed uint64
	// AdjustSettings modifies the settings of each daemon before it starts; nil means no
	// change.
	AdjustSettings func(*settings.Settings)

	ctx         context.Context
	cancel      context.CancelFunc
	mu          sync.Mutex
	serverByID  map[string]*server
	daemonByID  map[string]*runningDaemon
	addressByID map[string]string
	goroutines  sync.WaitGroup
}

// server is a listening stand-in or backend server.
type server struct {
	http    *http.Server
	engine  *standin.Engine
	started time.Time
	stopped time.Time
	price   float64
	place   string
}

type runningDaemon struct {
	daemon *entry.Daemon
	place  string
	cancel context.CancelFunc
	result chan error
}

// NewPlatform starts the key-value service and the instance list.
func NewPlatform(ctx context.Context, log logr.Logger, seed uint64) (*Platform, error) {
	p := &Platform{
		KeyValue: standin.NewKeyValue(seed), Instances: standin.NewInstances(), Runs: &standin.RunLog{}, Log: log, Seed: seed,
		serverByID: map[string]*server{}, daemonByID: map[string]*runningDaemon{}, addressByID: map[string]string{},
	}
	p.ctx, p.cancel = context.WithCancel(ctx)
	for name, h := range map[string]http.Handler{"key-value": p.KeyValue.Handler(), "instances": p.Instances.Handler()} {
		if _, err := p.startServer(name, h); err != nil {
			p.Close()
			return nil, err
		}
	}
	return p, nil
}

// Close stops everything and waits until it has ended.
func (p *Platform) Close() {
	p.cancel()
	p.mu.Lock()
	for _, d := range p.daemonByID {
		d.cancel()
	}
	p.mu.Unlock()
	for id := range p.addressByID {
		p.Kill(id)
	}
	p.goroutines.Wait()
}

func (p *Platform) startServer(id string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", id)
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}, started: time.Now()}
	p.mu.Lock()
	p.serverByID[id], p.addressByID[id] = s, l.Addr().String()
	p.mu.Unlock()
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		_ = s.http.Serve(l) // Serve returns after Kill.
	}()
	return s, nil
}

// Address returns the address of a stand-in or backend server.
func (p *Platform) Address(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addressByID[id]
}

// Backend describes a backend server to start.
type Backend struct {
	ID, Service, Place, Region, Class string
	Price                             float64
}

// StartEngine starts a model engine and adds it to the instance list.
func (p *Platform) StartEngine(b Backend, e *standin.Engine) error {
	if e.Crash == nil {
		e.Crash = func() { p.Kill(b.ID) }
	}
	return p.startBackend(b, e.Handler(), e)
}

// StartService starts a plain service and adds it to the instance list.
func (p *Platform) StartService(b Backend, s *standin.Service) error {
	s.Runs = p.Runs
	return p.startBackend(b, s.Handler(), nil)
}

func (p *Platform) startBackend(b Backend, h http.Handler, e *standin.Engine) error {
	s, err := p.startServer(b.ID, h)
	if err != nil {
		return err
	}
	p.mu.Lock()
	s.engine, s.price, s.place = e, b.Price, b.Place
	p.mu.Unlock()
	p.Instances.Put(instances.Instance{
		ID: b.ID, Address: p.Address(b.ID), Incarnation: s.started.UnixNano(), Place: b.Place, Region: b.Region,
		Class: b.Class, Service: b.Service, State: instances.Live, Price: b.Price, Reclaimable: true,
	})
	return nil
}

// Kill closes the listener and all connections of a server.
func (p *Platform) Kill(id string) {
	p.mu.Lock()
	s := p.serverByID[id]
	p.mu.Unlock()
	if s == nil {
		return
	}
	p.mu.Lock()
	if s.stopped.IsZero() {
		s.stopped = time.Now()
	}
	p.mu.Unlock()
	_ = s.http.Close() // An error concerns only the listener, which is closed anyway.
}

// Reclaim sends a notice to the backend servers and daemons of a place and
// kills the remaining ones when the notice ends.
func (p *Platform) Reclaim(place string, notice time.Duration) {
	deadline := time.Now().Add(notice)
	p.mu.Lock()
	var ids []string
	for id, s := range p.serverByID {
		if s.place == place {
			ids = append(ids, id)
		}
	}
	var leaving []*runningDaemon
	for _, d := range p.daemonByID {
		if d.place == place {
			leaving = append(leaving, d)
		}
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.Instances.Leave(id, deadline)
	}
	for _, d := range leaving {
		d.daemon.Drain(p.ctx, deadline)
	}
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		select {
		case <-time.After(notice):
		case <-p.ctx.Done():
		}
		for _, id := range ids {
			p.Kill(id)
			p.Instances.Remove(id)
		}
		for _, d := range leaving {
			d.cancel()
		}
	}()
}

// StartDaemon starts a daemon and waits until it listens.
func (p *Platform) StartDaemon(id, place, region string) (*entry.Daemon, error) {
	s := &settings.Settings{
		Daemon: id, Place: place, Region: region, CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		KeyValue:     settings.Remote{Address: "http://" + p.Address("key-value")},
		InstanceList: settings.Remote{Address: "http://" + p.Address("instances")},
	}
	if p.AdjustSettings != nil {
		p.AdjustSettings(s)
	}
	d := entry.New(s, p.Log)
	d.Seed = p.Seed
	ctx, cancel := context.WithCancel(p.ctx)
	run := &runningDaemon{daemon: d, place: place, cancel: cancel, result: make(chan error, 1)}
	p.mu.Lock()
	p.daemonByID[id] = run
	p.mu.Unlock()
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		run.result <- d.Run(ctx)
	}()
	select {
	case <-d.Ready():
		return d, nil
	case err := <-run.result:
		run.result <- err
		return nil, errors.Annotatef(err, "daemon %s", id)
	}
}

// StopDaemon ends a daemon immediately, without draining, and waits until it
// has ended.
func (p *Platform) StopDaemon(id string) error {
	p.mu.Lock()
	d := p.daemonByID[id]
	p.mu.Unlock()
	if d == nil {
		return errors.NotFoundf("daemon %s", id)
	}
	d.cancel()
	return <-d.result
}

// Entries returns the caller addresses of all daemons that were started.
func (p *Platform) Entries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, d := range p.daemonByID {
		found = append(found, d.daemon.CallerAddress())
	}
	return found
}

// Cost returns the price of the backend servers' instance time so far.
func (p *Platform) Cost() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := 0.0
	for _, s := range p.serverByID {
		end := s.stopped
		if end.IsZero() {
			end = time.Now()
		}
		cost += s.price * end.Sub(s.started).Hours()
	}
	return cost
}

// RecomputedTokens returns the number of tokens that engines recomputed.
func (p *Platform) RecomputedTokens() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.serverByID {
		if s.engine != nil {
			n += s.engine.TokenCounts().RecomputedTokens
		}
	}
	return n
}

// Apply writes a configuration to the key-value service, as an operator would.
func (p *Platform) Apply(ctx context.Context, text []byte) error {
	e, err := p.KeyValue.Get(ctx, entry.ConfigurationKey)
	if err != nil {
		e.Revision = 0
	}
	_, err = p.KeyValue.CompareAndSwap(ctx, entry.ConfigurationKey, text, e.Revision, "")
	return errors.Annotate(err, "apply configuration")
}

// token returns the bearer token of an organisation in the sample
// configurations.
func token(organisation string) string { return fmt.Sprintf("%s-token", organisation) }

// runningStreams returns how many streams an engine runs.
func (p *Platform) runningStreams(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.serverByID[id]; s != nil && s.engine != nil {
		return s.engine.Running()
	}
	return 0
}
