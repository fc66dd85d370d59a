package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runPath plays the case of an item whose name has a slash, which a client writes as %2F.
func runPath(c *config) (broken bool, err error) {
	var mu sync.Mutex
	ranAt := map[string]string{}
	for i, service := range []string{"stock", "catalogue"} {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: service, zone: "kuressaare", capacity: 6, version: "v1", store: c.store}
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Apricotbridge-Attempt-Id")
			mu.Lock()
			ranAt[id] = s.service
			mu.Unlock()
			c.rec.note("service %s runs %s, target %s, tenant %q", s.service, id, r.RequestURI, r.Header.Get("X-Apricotbridge-Tenant"))
			w.Header().Set("X-Apricotbridge-Server-Signature", s.signature(id))
			_, _ = io.WriteString(w, s.service+" "+id) // The gateway may have gone.
		}
		if err := s.start(0); err != nil {
			return false, err
		}
		defer s.exit()
	}
	route := func(name, prefix, service string, public bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "prefix": prefix, "type": "safe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2,
			"backend": service, "maxAttempts": 2, "public": public,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false}
	}
	c.store.put("op/config", map[string]any{
		"version":  1,
		"routes":   []any{route("items", "/items/", "stock", false), route("public", "/items/public/", "catalogue", true)},
		"services": []any{service("stock"), service("catalogue")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "token", "uncachedTokens": 200, "ratePerS": 400000, "burst": 400000}},
	})
	if err := c.startGateways("kuressaare", "orissaare"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // All are in touch.
	slash := "-"
	if c.trouble {
		slash = "%2F"
	}
	wrongService, noKey := 0, 0
	for n := range 40 {
		g := c.gateways[n%2]
		for _, key := range []string{"key-1", "no-such-key"} {
			id := fmt.Sprintf("%s%04x", key[:1], n)
			target := fmt.Sprintf("/items/public%s%d", slash, n) // Begins with /items/, not with /items/public/.
			status, body, err := get(g.callers, target, id, key)
			if err != nil {
				return false, err
			}
			mu.Lock()
			at := ranAt[id]
			mu.Unlock()
			c.rec.note("client: GET %s with %s: status %d, %.60q", target, key, status, body)
			if at != "" && at != "stock" {
				wrongService++
				c.rec.note("ROUTE: %s was run by service %s", id, at)
			}
			if at != "" && key != "key-1" {
				noKey++
				c.rec.note("ROUTE: %s was run with a key that no configuration held", id)
			}
		}
	}
	c.rec.note("80 requests sent; %d were run by a service that is not their route's, %d with an unknown key", wrongService, noKey)
	return wrongService+noKey > 0, nil
}

// get sends a request with a target as it is.
func get(address, target, id, key string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Apricotbridge-Attempt-Id", id)
	req.Header.Set("X-Apricotbridge-Deadline-Ms", "3000")
	req.Header.Set("X-Apricotbridge-Key", key)
	if got := req.URL.RequestURI(); got != target {
		return 0, "", fmt.Errorf("target %s would be sent as %s", target, got)
	}
	res, err := orderClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(data)), err
}
