// Package demo runs the whole system on loopback in one process: stand-ins of the
// platform, backend servers and daemons, callers of three ranks, and a data
// centre that is reclaimed under load. It checks every answer.
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

// Platform is the outside world on loopback.
type Platform struct {
	KeyValue  *standin.KeyValue
	Instances *standin.Instances
	Runs      *standin.Runs
	Log       logr.Logger
	// Seed makes the daemons' tie breaks repeatable.
	Seed uint64
	// Adjust changes the settings of each daemon before it starts; nil means no
	// change.
	Adjust func(*settings.Settings)

	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	servers map[string]*server
	daemons map[string]*runningDaemon
	addrs   map[string]string
	ended   sync.WaitGroup
}

// server is a stand-in that listens.
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
	ended  chan error
}

// NewPlatform starts the key-value service and the instance list.
func NewPlatform(ctx context.Context, log logr.Logger, seed uint64) (*Platform, error) {
	p := &Platform{
		KeyValue: standin.NewKeyValue(seed), Instances: standin.NewInstances(), Runs: &standin.Runs{}, Log: log, Seed: seed,
		servers: map[string]*server{}, daemons: map[string]*runningDaemon{}, addrs: map[string]string{},
	}
	p.ctx, p.cancel = context.WithCancel(ctx)
	for name, h := range map[string]http.Handler{"key-value": p.KeyValue.Handler(), "instances": p.Instances.Handler()} {
		if _, err := p.serve(name, h); err != nil {
			p.Close()
			return nil, err
		}
	}
	return p, nil
}

// Close stops everything and waits.
func (p *Platform) Close() {
	p.cancel()
	p.mu.Lock()
	for _, d := range p.daemons {
		d.cancel()
	}
	p.mu.Unlock()
	for id := range p.addrs {
		p.Kill(id)
	}
	p.ended.Wait()
}

func (p *Platform) serve(id string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", id)
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}, started: time.Now()}
	p.mu.Lock()
	p.servers[id], p.addrs[id] = s, l.Addr().String()
	p.mu.Unlock()
	p.ended.Add(1)
	go func() {
		defer p.ended.Done()
		_ = s.http.Serve(l) // It ends with Kill.
	}()
	return s, nil
}

// Address returns where a stand-in or backend server listens.
func (p *Platform) Address(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrs[id]
}

// Backend describes a backend server to start.
type Backend struct {
	ID, Service, Place, Region, Class string
	Price                             float64
}

// StartEngine starts a model engine and enters it in the instance list.
func (p *Platform) StartEngine(b Backend, e *standin.Engine) error {
	if e.Crash == nil {
		e.Crash = func() { p.Kill(b.ID) }
	}
	return p.startBackend(b, e.Handler(), e)
}

// StartService starts a plain service and enters it in the instance list.
func (p *Platform) StartService(b Backend, s *standin.Service) error {
	s.Ledger = p.Runs
	return p.startBackend(b, s.Handler(), nil)
}

func (p *Platform) startBackend(b Backend, h http.Handler, e *standin.Engine) error {
	s, err := p.serve(b.ID, h)
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

// Kill closes a server's port and all its connections.
func (p *Platform) Kill(id string) {
	p.mu.Lock()
	s := p.servers[id]
	p.mu.Unlock()
	if s == nil {
		return
	}
	p.mu.Lock()
	if s.stopped.IsZero() {
		s.stopped = time.Now()
	}
	p.mu.Unlock()
	_ = s.http.Close() // It only reports the listener, which is closed either way.
}

// Reclaim gives notice to the backend servers and daemons of a place and kills
// what is left there when the notice is over.
func (p *Platform) Reclaim(place string, notice time.Duration) {
	deadline := time.Now().Add(notice)
	p.mu.Lock()
	var ids []string
	for id, s := range p.servers {
		if s.place == place {
			ids = append(ids, id)
		}
	}
	var leaving []*runningDaemon
	for _, d := range p.daemons {
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
	p.ended.Add(1)
	go func() {
		defer p.ended.Done()
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
	if p.Adjust != nil {
		p.Adjust(s)
	}
	d := entry.New(s, p.Log)
	d.Seed = p.Seed
	ctx, cancel := context.WithCancel(p.ctx)
	run := &runningDaemon{daemon: d, place: place, cancel: cancel, ended: make(chan error, 1)}
	p.mu.Lock()
	p.daemons[id] = run
	p.mu.Unlock()
	p.ended.Add(1)
	go func() {
		defer p.ended.Done()
		run.ended <- d.Run(ctx)
	}()
	select {
	case <-d.Ready():
		return d, nil
	case err := <-run.ended:
		run.ended <- err
		return nil, errors.Annotatef(err, "daemon %s", id)
	}
}

// StopDaemon ends a daemon at once, as a kill would, and waits.
func (p *Platform) StopDaemon(id string) error {
	p.mu.Lock()
	d := p.daemons[id]
	p.mu.Unlock()
	if d == nil {
		return errors.NotFoundf("daemon %s", id)
	}
	d.cancel()
	return <-d.ended
}

// Entries returns the caller addresses of the daemons that run.
func (p *Platform) Entries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, d := range p.daemons {
		found = append(found, d.daemon.CallerAddress())
	}
	return found
}

// Cost returns the price of the backend servers' time so far.
func (p *Platform) Cost() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := 0.0
	for _, s := range p.servers {
		end := s.stopped
		if end.IsZero() {
			end = time.Now()
		}
		cost += s.price * end.Sub(s.started).Hours()
	}
	return cost
}

// RecomputedTokens returns the tokens that engines computed again.
func (p *Platform) RecomputedTokens() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		if s.engine != nil {
			n += s.engine.Served().RecomputedTokens
		}
	}
	return n
}

// Apply puts a configuration in force, as an operator would.
func (p *Platform) Apply(ctx context.Context, text []byte) error {
	e, err := p.KeyValue.Get(ctx, entry.ConfigurationKey)
	if err != nil {
		e.Revision = 0
	}
	_, err = p.KeyValue.CompareAndSwap(ctx, entry.ConfigurationKey, text, e.Revision, "")
	return errors.Annotate(err, "apply configuration")
}

// token returns the bearer token of an organisation in the sample configurations.
func token(organisation string) string { return fmt.Sprintf("%s-token", organisation) }

// running returns how many streams an engine runs.
func (p *Platform) running(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil && s.engine != nil {
		return s.engine.Running()
	}
	return 0
}
