package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"apricotbridge/internal/standin"
	"apricotbridge/pkg/caller"
	"apricotbridge/samples"
)

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Length is how long callers send requests.
	Length time.Duration
	// Notice is the time between the notice of the reclaim and its end.
	Notice time.Duration
	// Progress is told what happens.
	Progress io.Writer
	Log      logr.Logger
}

// Defaults of a run.
const (
	DefaultLength = 20 * time.Second
	DefaultNotice = 5 * time.Second
)

const (
	enginesPerPlace = 3
	engineSlots     = 8
	tokenTime       = 8 * time.Millisecond
	prefillTime     = 30 * time.Microsecond
	serviceLatency  = 10 * time.Millisecond
	// readyTimeout bounds the start of the deployment.
	readyTimeout = 30 * time.Second
	// finishTimeout bounds the wait for the last answers.
	finishTimeout = 25 * time.Second
)

// place is a data centre of the demo with the price of an instance hour.
type place struct {
	name, region string
	price        float64
	daemons      int
}

// places are those of Shrestha; the second one is reclaimed.
var places = []place{
	{"asan", "bagmati", 1.0, 2}, {"bhaktapur", "bagmati", 0.7, 1}, {"lakeside", "gandaki", 0.8, 1},
}

const reclaimedPlace = "bhaktapur"

// Run starts the deployment, sends requests of three ranks while a data centre is
// reclaimed, and reports what became of them.
func Run(ctx context.Context, o Options) (*Report, error) {
	p, err := NewPlatform(ctx, o.Log, o.Seed)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	if err := p.Apply(ctx, samples.Shrestha); err != nil {
		return nil, err
	}
	if err := startAll(p); err != nil {
		return nil, err
	}
	if err := ready(ctx, p); err != nil {
		return nil, err
	}
	began := time.Now()
	say := func(format string, args ...any) {
		_, _ = fmt.Fprintf(o.Progress, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...)) // Progress is a courtesy.
	}
	say("4 daemons, %d engines and %d order servers in 3 data centres serve; seed %d", enginesPerPlace*len(places), len(places), o.Seed)

	r := newRecorder()
	sending, stop := context.WithTimeout(ctx, o.Length)
	defer stop()
	finishing, cancel := context.WithTimeout(ctx, o.Length+finishTimeout)
	defer cancel()
	var callers sync.WaitGroup
	for i, w := range workers() {
		w.client = &caller.Client{Entries: p.Entries(), Token: token(w.organisation), Seed: o.Seed + uint64(i) + 1}
		w.random = rand.New(rand.NewPCG(o.Seed, uint64(i)))
		w.name = fmt.Sprintf("%s-%d", w.rank, i)
		callers.Go(func() {
			defer w.client.Close()
			w.run(sending, finishing, r)
		})
	}
	select {
	case <-time.After(o.Length * 2 / 5):
		say("data centre %s is reclaimed with %s of notice: %s", reclaimedPlace, o.Notice, r.line())
		p.Reclaim(reclaimedPlace, o.Notice)
	case <-ctx.Done():
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.Wait()
	}()
	tick := time.NewTicker(o.Length / 5)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			say("%s", r.line())
		case <-done:
			say("all callers have their answers")
			return r.report(p, o), errors.Trace(ctx.Err())
		}
	}
}

func startAll(p *Platform) error {
	for _, at := range places {
		for i := range enginesPerPlace {
			b := Backend{
				ID: fmt.Sprintf("engine-%s-%d", at.name, i), Service: "sahayak-llm", Place: at.name, Region: at.region,
				Class: "accelerator-8", Price: at.price,
			}
			e := &standin.Engine{
				Slots: engineSlots, TokenTime: tokenTime, PrefillTime: prefillTime, CacheTokens: 1 << 16,
				ReportLag: 500 * time.Millisecond, DropEvents: 10, ChecksFencing: i > 0,
			}
			if err := p.StartEngine(b, e); err != nil {
				return err
			}
		}
		b := Backend{ID: "khata-" + at.name, Service: "khata-app", Place: at.name, Region: at.region, Class: "small", Price: at.price / 10}
		if err := p.StartService(b, &standin.Service{Latency: serviceLatency}); err != nil {
			return err
		}
	}
	for _, at := range places {
		for i := range at.daemons {
			if _, err := p.StartDaemon(fmt.Sprintf("%s-%d", at.name, i), at.name, at.region); err != nil {
				return err
			}
		}
	}
	return nil
}

// ready waits until the deployment takes orders at every daemon.
func ready(ctx context.Context, p *Platform) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, address := range p.Entries() {
		for {
			c := &caller.Client{Entries: []string{address}, Token: token("counter"), Attempts: 1}
			_, err := c.Call(ctx, caller.Call{
				Service: "khata-app", Method: "POST", Path: "/orders", Key: fmt.Sprintf("ready-%d", i), Body: []byte("ready"),
			})
			c.Close()
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return errors.Annotatef(err, "entry %s did not become ready", address)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
