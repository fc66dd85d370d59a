package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// frozenFor is how long a machine stands still, crashAfter how much later a server crashes, and downFor how
	// long that is down.
	frozenFor  = 3 * time.Second
	crashAfter = 500 * time.Millisecond
	downFor    = time.Second
)

// serveUnframed answers with streams that have neither a length nor chunks and end with their connections.
func serveUnframed(s *server, rec *recorder) {
	s.handle = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // A broken body ends the request below.
		id := r.Header.Get("X-Apricotbridge-Attempt-Id")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none.
		total := outputTokens(r)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		defer s.hold(c)()
		rec.note("server %s begins %s after event %d", s.id, id, from)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Apricotbridge-Attempt-Id: %s\r\nX-Apricotbridge-Server-Signature: %s\r\nX-Apricotbridge-Weight-Versions: 1\r\nConnection: close\r\n\r\n", id, s.signature(id))
		for n := from + 1; n <= total && err == nil; n++ {
			time.Sleep(eventTime)
			_, err = io.WriteString(c, event(id, s.id, n))
		}
		if err != nil {
			rec.note("server %s: connection of %s has closed", s.id, id)
			return
		}
		rec.note("server %s ends %s with event %d", s.id, id, total)
	}
}

// runWhole plays the case.
func runWhole(c *config) (broken bool, err error) {
	var servers []*server
	for i, zone := range []string{"kuressaare", "orissaare", "ulemiste", "kuressaare"} {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zone, capacity: 64, engine: true, version: "v1", store: c.store}
		serveUnframed(s, c.rec)
		if err := s.start(0); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	defer func() {
		for _, s := range servers {
			s.exit()
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
	var sent, whole, short atomic.Int64
	wg.Go(func() {
		t := time.NewTicker(time.Second / 40)
		defer t.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			<-t.C
			g := c.gateways[n%len(c.gateways)]
			wg.Go(func() {
				id := fmt.Sprintf("%016x", n+1)
				sent.Add(1)
				switch last, err := eventsOf(g.callers, id, n); {
				case err != nil:
					c.rec.note("client: %s after event %d: %v", id, last, err)
				case last < streamEvents:
					short.Add(1)
					c.rec.note("ORDER: stream %s ends as complete with event %d of %d", id, last, streamEvents)
				default:
					whole.Add(1)
				}
			})
		}
	})
	for round := range 4 {
		time.Sleep(5 * time.Second)
		if !c.trouble {
			time.Sleep(frozenFor)
			continue
		}
		frozen, crashed := c.gateways[round%len(c.gateways)], servers[round%len(servers)]
		c.rec.note("%s stands still", frozen.name)
		if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.Sleep(crashAfter)
		crashed.exit()
		c.rec.note("server %s crashes", crashed.id)
		time.Sleep(downFor)
		next := &server{id: crashed.id, service: "llm", zone: crashed.zone, capacity: 64, engine: true, version: "v1", store: c.store, address: crashed.address}
		serveUnframed(next, c.rec)
		if err := next.start(0); err != nil {
			return false, err
		}
		servers[round%len(servers)] = next
		c.rec.note("server %s is back", next.id)
		time.Sleep(frozenFor - crashAfter - downFor)
		if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
		c.rec.note("%s wakes again", frozen.name)
	}
	time.Sleep(3 * time.Second)
	stop()
	wg.Wait()
	c.rec.note("%d streams sent, %d whole; %d ended as complete before their last event", sent.Load(), whole.Load(), short.Load())
	return short.Load() > 0, nil
}

// eventsOf sends a request and returns the number of its last event, without an error if the answer is complete.
func eventsOf(address, id string, n int) (last int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	res, err := openStream(ctx, address, id, n)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		v, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		k, err := strconv.Atoi(v)
		if err != nil || k != last+1 {
			return last, errors.New("event " + v + " is not the next one")
		}
		last = k
	}
	return last, lines.Err()
}
