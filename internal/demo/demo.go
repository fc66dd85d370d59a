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
	// Notice is the time from the notice of the reclaim until the servers are
	// killed.
	Notice time.Duration
	// Progress receives a line for each step of the run.
	Progress io.Writer
	Log      logr.Logger
}

// Defaults of Options.
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
	// readyTimeout bounds the wait for the deployment to serve orders.
	readyTimeout = 30 * time.Second
	// finishTimeout bounds the wait for the last responses after Length.
	finishTimeout = 25 * time.Second
)

// demoPlace is a data centre of the demo with its price per instance hour and
// number of daemons.
type demoPlace struct {
	name, region string
	price        float64
	daemons      int
}

// places are the data centres of the Shrestha sample configuration.
var places = []demoPlace{
	{"asan", "bagmati", 1.0, 2}, {"bhaktapur", "bagmati", 0.7, 1}, {"lakeside", "gandaki", 0.8, 1},
}

const reclaimedPlace = "bhaktapur"

// Run starts the deployment, sends requests of three ranks while a data centre
// is reclaimed, and reports their outcomes.
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
	if err := waitReady(ctx, p); err != nil {
		return nil, err
	}
	began := time.Now()
	progress := func(format string, args ...any) {
		_, _ = fmt.Fprintf(o.Progress, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...)) // Progress output is optional.
	}
	progress("4 daemons, %d engines and %d order servers in 3 data centres serve; seed %d", enginesPerPlace*len(places), len(places), o.Seed)

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
			w.sendUntil(sending, finishing, r)
		})
	}
	select {
	case <-time.After(o.Length * 2 / 5):
		progress("data centre %s is reclaimed with %s of notice: %s", reclaimedPlace, o.Notice, r.progressLine())
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
			progress("%s", r.progressLine())
		case <-done:
			progress("all callers have their answers")
			return r.finalReport(p, o), errors.Trace(ctx.Err())
		}
	}
}

func startAll(p *Platform) error {
	for _, pl := range places {
		for i := range enginesPerPlace {
			b := Backend{
				ID: fmt.Sprintf("engine-%s-%d", pl.name, i), Service: "sahayak-llm", Place: pl.name, Region: pl.region,
				Class: "accelerator-8", Price: pl.price,
			}
			e := &standin.Engine{
				Slots: engineSlots, TokenTime: tokenTime, PrefillTime: prefillTime, CacheTokens: 1 << 16,
				ReportLag: 500 * time.Millisecond, DropEvents: 10, ChecksFencing: i > 0,
			}
			if err := p.StartEngine(b, e); err != nil {
				return err
			}
		}
		b := Backend{ID: "khata-" + pl.name, Service: "khata-app", Place: pl.name, Region: pl.region, Class: "small", Price: pl.price / 10}
		if err := p.StartService(b, &standin.Service{Latency: serviceLatency}); err != nil {
			return err
		}
	}
	for _, pl := range places {
		for i := range pl.daemons {
			if _, err := p.StartDaemon(fmt.Sprintf("%s-%d", pl.name, i), pl.name, pl.region); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitReady waits until every daemon accepts orders.
func waitReady(ctx context.Context, p *Platform) error {
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
