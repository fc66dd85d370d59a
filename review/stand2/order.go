package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// restartTime is how long a server is down that starts again.
const restartTime = 300 * time.Millisecond

// versioned is a server that is upgraded in place.
type versioned struct {
	*server
	rec *recorder
}

// restart ends the server, which starts again under its id and at its address with a version.
func (v *versioned) restart(version string, down time.Duration) error {
	v.exit()
	v.rec.note("server %s ends (%s)", v.id, v.version)
	time.Sleep(down)
	next := &server{
		id: v.id, service: v.service, zone: v.zone, capacity: v.capacity, engine: true, version: version, store: v.store,
		address: v.address, registerAfter: time.Duration(1 + rand.Int64N(int64(heartbeat))), //nolint:gosec // Not for secrets.
	}
	v.server = next
	v.serveStreams()
	if err := next.start(0); err != nil {
		return err
	}
	v.rec.note("server %s starts again as %s, with its first heartbeat in %v", v.id, version, next.registerAfter.Round(time.Millisecond))
	return nil
}

// serveStreams answers with the events of the server's version. What two versions write doesn't fit together.
func (v *versioned) serveStreams() {
	s := v.server
	s.handle = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // A broken body ends the request below.
		id := r.Header.Get("X-Apricotbridge-Attempt-Id")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none.
		v.rec.note("server %s (%s) begins %s after event %d", s.id, s.version, id, from)
		h := w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("X-Apricotbridge-Server-Signature", s.signature(id))
		h.Set("X-Apricotbridge-Weight-Versions", "1")
		w.WriteHeader(http.StatusOK)
		for n, total := from+1, outputTokens(r); n <= total; n++ {
			time.Sleep(eventTime)
			_, err := io.WriteString(w, event(id, s.version, n))
			if err == nil {
				err = http.NewResponseController(w).Flush()
			}
			if err != nil || r.Context().Err() != nil {
				return
			}
		}
	}
}

// runOrder plays the case.
func runOrder(c *config) (broken bool, err error) {
	var servers []*versioned
	for i, zone := range []string{"kuressaare", "orissaare", "kuressaare", "orissaare"} {
		v := &versioned{&server{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zone, capacity: 64, engine: true, version: "v1", store: c.store}, c.rec}
		v.serveStreams()
		if err := v.start(0); err != nil {
			return false, err
		}
		servers = append(servers, v)
	}
	defer func() {
		for _, v := range servers {
			v.exit()
		}
	}()
	c.store.put("op/config", streamConfiguration())
	if err := c.startGateways("kuressaare", "orissaare", "ulemiste"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // All are in touch.
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	var sent, whole, mixed atomic.Int64
	wg.Go(func() {
		t := time.NewTicker(time.Second / 50)
		defer t.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			<-t.C
			g := c.gateways[n%len(c.gateways)]
			wg.Go(func() {
				id := fmt.Sprintf("%016x", n+1)
				sent.Add(1)
				versions, err := versionsOf(g.callers, id, n)
				switch {
				case len(versions) > 1:
					mixed.Add(1)
					c.rec.note("ORDER: stream %s holds events of %s", id, strings.Join(versions, " and "))
				case err != nil:
					c.rec.note("client: %s %v", id, err)
				default:
					whole.Add(1)
				}
			})
		}
	})
	// Four rounds: the first two servers get the new version in place, one after the other. It crashes on each
	// after some seconds, and the old one is put back.
	for range 4 {
		for _, v := range servers[:2] {
			for _, step := range []struct {
				version string
				runs    time.Duration
			}{{"v2", 3 * time.Second}, {"v1", 4 * time.Second}} {
				if c.trouble {
					if err := v.restart(step.version, restartTime); err != nil {
						return false, err
					}
				} else {
					time.Sleep(restartTime)
				}
				time.Sleep(step.runs)
			}
		}
	}
	stop()
	wg.Wait()
	c.rec.note("%d streams sent, %d whole; %d hold events of servers of two software versions in one answer (more than two break the rule)", sent.Load(), whole.Load(), mixed.Load())
	return mixed.Load() > 2, nil
}

// versionsOf sends a request and returns the versions whose events its answer holds.
func versionsOf(address, id string, n int) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	res, err := openStream(ctx, address, id, n)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var versions []string
	last := 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		last++
		if f := strings.Fields(text); len(f) == 3 && (len(versions) == 0 || versions[len(versions)-1] != f[2]) {
			versions = append(versions, f[2])
		}
	}
	err = lines.Err()
	if err == nil && last != streamEvents {
		err = fmt.Errorf("%d events", last)
	}
	return versions, err
}
