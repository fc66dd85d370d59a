package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection attempt; regions are about 12 ms apart.
	dialTimeout = 2 * time.Second
	// askTimeout bounds one question for the list of entries.
	askTimeout = 2 * time.Second
	// downTime is how long an entry that did not answer is tried last. A daemon
	// that restarts takes a few seconds.
	downTime = 5 * time.Second
	// keepUnanswered is how long an old list is kept when no entry answers.
	keepUnanswered = time.Second
	// maxKeep bounds how long a list is kept, whatever the entry says.
	maxKeep = 5 * time.Minute
)

// directory holds the list of entries that was told last.
type directory struct {
	asking sync.Mutex

	mu    sync.Mutex
	list  []string
	until time.Time
	down  map[string]time.Time
}

// fail makes an entry the last choice for a while.
func (d *directory) fail(entry string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down == nil {
		d.down = map[string]time.Time{}
	}
	d.down[entry] = now.Add(downTime)
}

// leave removes an entry that is leaving, and puts those that it named first.
func (d *directory) leave(entry string, instead []string, now time.Time) {
	d.fail(entry, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Clone(instead)
	for _, e := range d.list {
		if e != entry && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	d.list = list
}

// current returns the list, with entries that are down last, and whether it may
// still be used without asking.
func (d *directory) current(now time.Time) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var up, down []string
	for _, e := range d.list {
		if now.Before(d.down[e]) {
			down = append(down, e)
		} else {
			up = append(up, e)
		}
	}
	return append(up, down...), now.Before(d.until) && len(up) > 0
}

func (d *directory) set(list []string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(list) > 0 {
		d.list = list
	}
	d.until = until
}

// entries returns the entries in the order of use. One goroutine asks for a new
// list while the others go on with the old one.
func (c *Client) entries(ctx context.Context) []string {
	list, fresh := c.directory.current(time.Now())
	if fresh {
		return list
	}
	if !c.directory.asking.TryLock() {
		if len(list) > 0 {
			return list
		}
		c.directory.asking.Lock()
	}
	defer c.directory.asking.Unlock()
	if list, fresh = c.directory.current(time.Now()); fresh {
		return list
	}
	c.refresh(ctx, list)
	list, _ = c.directory.current(time.Now())
	return list
}

// refresh asks for a new list: the configured entries in random order, which
// spreads the callers, then those of the old list.
func (c *Client) refresh(ctx context.Context, old []string) {
	ask := make([]string, 0, len(c.Entries)+len(old))
	for _, i := range c.random.perm(len(c.Entries)) {
		ask = append(ask, c.Entries[i])
	}
	for _, e := range old {
		if !slices.Contains(ask, e) {
			ask = append(ask, e)
		}
	}
	for _, e := range ask {
		list, keep, ok := c.ask(ctx, e)
		if ok && len(list) > 0 {
			// Jitter keeps callers that started together from asking together.
			keep = time.Duration(float64(min(keep, maxKeep)) * (1 - 0.2*c.random.float()))
			c.directory.set(list, time.Now().Add(keep))
			return
		}
	}
	if len(old) == 0 {
		old = slices.Clone(c.Entries)
	}
	c.directory.set(old, time.Now().Add(keepUnanswered))
}

func (c *Client) ask(ctx context.Context, entry string) (list []string, keep time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries", nil)
	if err != nil {
		return nil, 0, false
	}
	res, err := c.http.Do(req)
	if err != nil {
		c.directory.fail(entry, time.Now())
		return nil, 0, false
	}
	defer res.Body.Close()
	var body struct {
		Entries     []string `json:"Entries"`
		KeepSeconds float64  `json:"KeepSeconds"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(res.Body, maxProblemBytes)).Decode(&body) != nil {
		return nil, 0, false
	}
	seconds := max(0, min(body.KeepSeconds, maxKeep.Seconds()))
	return body.Entries, time.Duration(seconds * float64(time.Second)), true
}

// pick returns the first entry that was not tried.
func (c *Client) pick(ctx context.Context, tried map[string]bool) (string, bool) {
	for _, e := range c.entries(ctx) {
		if !tried[e] {
			return e, true
		}
	}
	return "", false
}

// untried reports whether a known entry was not tried.
func (c *Client) untried(tried map[string]bool) bool {
	list, _ := c.directory.current(time.Now())
	return slices.ContainsFunc(list, func(e string) bool { return !tried[e] })
}
