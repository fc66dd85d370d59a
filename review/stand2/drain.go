package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainBound = 2500 * time.Millisecond // bounds.drainMs
	// exitAfter is how long a server serves after the store has accepted that it leaves.
	exitAfter = drainBound + 100*time.Millisecond
	orderTime = 60 * time.Millisecond
	// refusedFor is how long the store turns one gateway away, and leaveAfter how much later a server leaves.
	refusedFor = 4 * time.Second
	leaveAfter = 1000 * time.Millisecond
)

// orders is a service of plain servers.
type orders struct {
	rec  *recorder
	mu   sync.Mutex
	left map[string]time.Time // When the store accepted that a server leaves.
	late map[string]time.Duration
}

func (o *orders) handle(s *server) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Apricotbridge-Attempt-Id")
		now := time.Now()
		o.mu.Lock()
		if at, ok := o.left[s.id]; ok && now.Sub(at) > drainBound {
			o.late[id] = now.Sub(at)
			o.rec.note("order %s reaches server %s %d ms after the store accepted that it leaves", id, s.id, now.Sub(at).Milliseconds())
		}
		o.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body) // A broken body ends the request.
		time.Sleep(orderTime)
		w.Header().Set("X-Apricotbridge-Server-Signature", s.signature(id))
		_, _ = io.WriteString(w, "order "+id+" done") // The gateway may have gone.
	}
}

// runDrain plays the case.
func runDrain(c *config) (broken bool, err error) {
	o := &orders{rec: c.rec, left: map[string]time.Time{}, late: map[string]time.Duration{}}
	started := 0
	var running []*server
	defer func() {
		for _, s := range running {
			s.exit()
		}
	}()
	add := func() error {
		started++
		s := &server{id: fmt.Sprintf("i-%d", started), service: "orders", zone: "kuressaare", capacity: 6, version: "v1", store: c.store}
		s.handle = o.handle(s)
		running = append(running, s)
		return s.start(0)
	}
	for range 3 {
		if err := add(); err != nil {
			return false, err
		}
	}
	c.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "order", "hostname": "h.example", "prefix": "/order/", "type": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2,
			"backend": "orders", "maxAttempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "orders", "healthCheckPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	})
	if err := c.startGateways("kuressaare", "orissaare", "ulemiste"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // All are in touch.
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	var sent, done atomic.Int64
	var lost sync.Map
	wg.Go(func() {
		t := time.NewTicker(time.Second / 160)
		defer t.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			<-t.C
			g := c.gateways[n%len(c.gateways)]
			id := fmt.Sprintf("%c%07x", 'a'+n%len(c.gateways), n)
			wg.Go(func() {
				sent.Add(1)
				if err := sendOrder(g.callers, id); err != nil {
					lost.Store(id, err)
					c.rec.note("client: order %s: %v", id, err)
					return
				}
				done.Add(1)
			})
		}
	})
	refused := c.gateways[0]
	c.rec.note("clients send orders a... to %s, b... and c... to the others", refused.name)
	for range 7 {
		if c.trouble {
			c.rec.note("the store turns %s away (503)", refused.name)
			c.store.setRefuse(func(r *http.Request) bool { return isTo(r, refused.storeAddress) })
		}
		time.Sleep(refusedFor - time.Second)
		if err := add(); err != nil {
			return false, err
		}
		time.Sleep(time.Second) // The new server is in use.
		c.store.setRefuse(nil)
		c.rec.note("the store serves all")
		time.Sleep(leaveAfter)
		s := running[0]
		running = running[1:]
		s.leave()
		o.mu.Lock()
		o.left[s.id] = time.Now()
		o.mu.Unlock()
		c.rec.note("server %s leaves; its entry is removed", s.id)
		time.Sleep(exitAfter)
		s.exit()
		c.rec.note("server %s exits", s.id)
		time.Sleep(5 * time.Second)
	}
	stop()
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	count, lostCount := 0, 0
	for id, after := range o.late {
		if strings.HasPrefix(id, "a") {
			continue // Of the gateway that was turned away.
		}
		count++
		if err, ok := lost.Load(id); ok {
			lostCount++
			c.rec.note("LOST: order %s, sent to a server %d ms after it left: %v", id, after.Milliseconds(), err)
		}
	}
	c.rec.note("%d orders sent, %d done; %d of the gateways that were always served reached a server later than %v after it left, %d of these were lost", sent.Load(), done.Load(), count, drainBound, lostCount)
	return count > 0, nil
}

var orderClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

func sendOrder(address, id string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/order/2f", strings.NewReader("order "+id))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header.Set("X-Apricotbridge-Attempt-Id", id)
	req.Header.Set("X-Apricotbridge-Deadline-Ms", "3000")
	res, err := orderClient.Do(req)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil || res.StatusCode != http.StatusOK || string(body) != "order "+id+" done" {
		return fmt.Errorf("status %d, %.120q, %w", res.StatusCode, body, err)
	}
	return nil
}
