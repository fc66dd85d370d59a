package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// class is a kind of request of the sheet.
type class struct {
	Name, Method, Path string
	PerSecond          float64
	Deadline           time.Duration
	// Usage and Prefix are the headers of the prompt; Prefix has a place for the id of the
	// last part.
	Usage, Prefix string
	BodyBytes     int
}

// traffic sends the requests of the sheet to the machines.
type traffic struct {
	Machines []*machine
	Classes  []class
	Rec      *record

	nextID   atomic.Int64
	mu       sync.Mutex
	outcomes map[string]map[string]int // By class and outcome.
	// cut holds the ids of requests on connections that had carried others, and that were
	// closed before the client's deadline without a byte of an answer.
	cut []string
	// promised holds the ids of unsafe requests that were answered 429 or 503.
	promised []string
	// brokenOff counts the requests on connections that had carried others, whose answer had
	// begun and was broken off before the client's deadline.
	brokenOff int
	wg        sync.WaitGroup
}

// run sends requests for a time and waits for their answers.
func (t *traffic) run(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	t.outcomes = map[string]map[string]int{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	for _, c := range t.Classes {
		t.wg.Go(func() {
			for pause(ctx, time.Duration(rand.ExpFloat64()/c.PerSecond*float64(time.Second))) {
				t.wg.Go(func() { t.send(client, c) })
			}
		})
	}
	t.wg.Wait()
	client.CloseIdleConnections()
}

func (t *traffic) send(client *http.Client, c class) {
	id := fmt.Sprintf("9c41d07b%08x", t.nextID.Add(1))
	m := t.Machines[rand.IntN(len(t.Machines))]
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+m.frontend()+c.Path+m.zone+"/"+id, bytes.NewReader(make([]byte, c.BodyBytes)))
	if err != nil {
		return // The addresses of the cases are valid.
	}
	req.GetBody = nil // The client sends a request once.
	req.Host = "sachets.example"
	req.Header.Set("X-Apricotbridge-Attempt-Id", id)
	req.Header.Set("X-Apricotbridge-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	req.Header.Set("X-Apricotbridge-Key", "key-of-hule")
	if c.Usage != "" {
		req.Header.Set("X-Apricotbridge-Model", "m")
		req.Header.Set("X-Apricotbridge-Token-Usage", c.Usage)
		req.Header.Set("X-Apricotbridge-Prompt-Prefix", fmt.Sprintf(c.Prefix, id))
	}
	kept, broken := false, false
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}))
	t.Rec.add("client: sends %s %s to %s", c.Name, id, m.name)
	outcome := "no connection"
	res, err := client.Do(req)
	var dial *net.OpError
	switch {
	case err == nil:
		outcome = fmt.Sprint(res.StatusCode)
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			outcome += ", broken off"
			broken = ctx.Err() == nil
		}
		_ = res.Body.Close() // Read to the end, or broken.
	case errors.As(err, &dial) && dial.Op == "dial":
	case ctx.Err() != nil:
		outcome = "nothing until its deadline"
	default:
		outcome = "no answer, connection closed"
	}
	t.Rec.add("client: %s gets %s", id, outcome)
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Name == "reorder" && res != nil && (res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable) {
		t.promised = append(t.promised, id)
	}
	if kept && broken {
		t.brokenOff++
	}
	if kept && outcome == "no answer, connection closed" {
		t.cut = append(t.cut, id)
	}
	if t.outcomes[c.Name] == nil {
		t.outcomes[c.Name] = map[string]int{}
	}
	t.outcomes[c.Name][outcome]++
}

// errNotServed means that a class was not served at all, so that the case says nothing.
var errNotServed = errors.New("a kind of request was never answered")

// print prints how the requests of each class ended. It returns an error if no request of a class
// got an answer with status 200, so that a deployment that did not start is no rule that held.
func (t *traffic) print() error {
	var err error
	for _, c := range t.Classes {
		fmt.Printf("%s: %v\n", c.Name, t.outcomes[c.Name])
		if t.outcomes[c.Name]["200"]+t.outcomes[c.Name]["200, broken off"] == 0 {
			err = errNotServed
		}
	}
	return err
}
