package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// memoryMB is the memory of a machine.
const memoryMB = 284

// zones holds the region of each zone, and zoneOrder the zones in turn.
var (
	zones     = map[string]string{"kuressaare": "saare", "orissaare": "saare", "ulemiste": "harju"}
	zoneOrder = []string{"kuressaare", "orissaare", "ulemiste"}
)

const configuration = `{"version":7,"routes":[
{"name":"batch-dossier","hostname":"sachets.example","prefix":"/batch/","type":"streaming","timeoutMs":12000,"targetLatencyMs":1000,"priority":1,"backend":"kirjutaja","maxAttempts":2,"sessionAffinity":true,"streamResumption":true,"targetGapMs":300},
{"name":"label-draft","hostname":"sachets.example","prefix":"/label/","type":"streaming","timeoutMs":6000,"targetLatencyMs":2000,"priority":2,"backend":"kirjutaja","maxAttempts":1,"sessionAffinity":true,"targetGapMs":300},
{"name":"buyer-reply","hostname":"sachets.example","prefix":"/buyer/","type":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"backend":"kirjutaja","maxAttempts":2,"sessionAffinity":true,"streamResumption":true,"targetGapMs":300},
{"name":"reorder","hostname":"sachets.example","prefix":"/reorder/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":0,"backend":"tellimus","maxAttempts":1},
{"name":"stock-check","hostname":"sachets.example","prefix":"/stock/","type":"safe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"backend":"tellimus","maxAttempts":2}],
"services":[{"name":"kirjutaja","healthCheckPath":"/healthz","maxConnections":360,"engine":{"capacity":64,"kvCapacityTokens":631747}},{"name":"tellimus","healthCheckPath":"/healthz","maxConnections":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule","apiKeys":["key-of-hule"],"priority":1}]}`

// sheet holds the kinds of request of the deployment.
var sheet = []class{
	{Name: "batch-dossier", Method: http.MethodPost, Path: "/batch/", PerSecond: 22.1, Deadline: 12 * time.Second, Usage: "17020,120", Prefix: "5c1e07a2:13300,%s:3720", BodyBytes: 4000},
	{Name: "label-draft", Method: http.MethodPost, Path: "/label/", PerSecond: 16.3, Deadline: 6 * time.Second, Usage: "9190,51", Prefix: "91bd3f06:6300,%s:2890", BodyBytes: 3000},
	{Name: "buyer-reply", Method: http.MethodPost, Path: "/buyer/", PerSecond: 32.6, Deadline: 15 * time.Second, Usage: "1460,171", Prefix: "e4402b7d:350,%s:1110", BodyBytes: 1000},
	{Name: "reorder", Method: http.MethodPost, Path: "/reorder/", PerSecond: 17.8, Deadline: 3 * time.Second, BodyBytes: 300},
	{Name: "stock-check", Method: http.MethodGet, Path: "/stock/", PerSecond: 7.1, Deadline: 3 * time.Second},
}

// site is a small deployment: 6 machines, 3 servers of tellimus and some of kirjutaja.
type site struct {
	Rec     *record
	Daemon  string
	Engines int
	// Spoil and Ran are set at all servers.
	Spoil func(s *backend, w http.ResponseWriter, r *http.Request) bool
	Ran   func(s *backend, r *http.Request)
	// ReadsPrompts is set if the model servers take time to read a prompt.
	ReadsPrompts bool
	// Events replaces the stream of the model servers.
	Events func(ctx context.Context, s *backend, w http.ResponseWriter, r *http.Request)

	store    *store
	backends []*backend
	machines []*machine
	dir      string
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// settleTime is the time from the start of the machines to the traffic.
const settleTime = 6 * time.Second

// start starts the deployment and waits until traffic may begin.
func (s *site) start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(ctx)
	dir, err := os.MkdirTemp("", "apricotbridge-review-")
	if err != nil {
		return err
	}
	s.dir, s.store = dir, newStore()
	go s.store.expire(ctx)
	storeAddress, err := listen(ctx, address(2), s.store)
	if err != nil {
		return err
	}
	cloudAddress, err := listen(ctx, address(3), cloud{})
	if err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.write("op/config", []byte(configuration), 0)
	s.store.mu.Unlock()
	for i := range s.Engines + 3 {
		b := &backend{ID: fmt.Sprintf("i-e%02d", i), Zone: zoneOrder[i%3], Service: "kirjutaja", Engine: true, Capacity: 64, Work: 120 * time.Millisecond}
		if s.ReadsPrompts {
			b.ReadsPrompts, b.Work = true, 47*time.Millisecond // As of the site file.
		}
		if i >= s.Engines {
			b = &backend{ID: fmt.Sprintf("i-p%02d", i-s.Engines), Zone: zoneOrder[i%3], Service: "tellimus", Capacity: 6, Work: 60 * time.Millisecond}
		}
		b.Store, b.Rec, b.Spoil, b.Ran, b.Events = s.store, s.Rec, s.Spoil, s.Ran, s.Events
		if err := b.start(ctx, address(4)); err != nil {
			return err
		}
		s.backends = append(s.backends, b)
	}
	d := &deployment{store: storeAddress, cloud: cloudAddress, memoryMB: memoryMB, dir: dir, binary: s.Daemon, rec: s.Rec}
	for i := range machineCount {
		m, err := d.addMachine(zoneOrder[i%3])
		if err != nil {
			return err
		}
		s.machines = append(s.machines, m)
		s.running.Go(func() {
			if err := m.run(ctx); err != nil {
				s.Rec.add("machine %s: %v", m.name, err)
			}
		})
	}
	pause(ctx, settleTime)
	s.Rec.add("traffic starts")
	return ctx.Err()
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	s.stop()
	s.running.Wait()
	for _, m := range s.machines {
		_ = m.log.Close() // The logs are not kept.
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(s.dir)) // For a look at the daemons' logs.
	}
	_ = os.RemoveAll(s.dir) // A folder that can't be removed is left to the system.
}
