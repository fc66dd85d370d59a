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
	// dialTimeout bounds a connection attempt. The delay between regions is about
	// 12 ms.
	dialTimeout = 2 * time.Second
	// listTimeout bounds one request for the list of entries.
	listTimeout = 2 * time.Second
	// downTime is how long an entry that did not respond is moved to the end of the
	// list. A daemon takes a few seconds to restart.
	downTime = 5 * time.Second
	// staleListLifetime is how long the old list is used when no entry responds.
	staleListLifetime = time.Second
	// maxListLifetime bounds the lifetime of a list, whatever KeepSeconds the entry
	// sent.
	maxListLifetime = 5 * time.Minute
	// minListWait is the least time between two fetches during a stream.
	minListWait = 100 * time.Millisecond
)

// directory caches the list of entries that was fetched last.
type directory struct {
	refreshing sync.Mutex // Held by the goroutine that fetches a new list.

	mu        sync.Mutex
	list      []string
	expires   time.Time
	downUntil map[string]time.Time
}

// markDown moves an entry to the end of the list for downTime.
func (d *directory) markDown(entry string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.downUntil == nil {
		d.downUntil = map[string]time.Time{}
	}
	d.downUntil[entry] = now.Add(downTime)
}

// replaceLeaving removes a leaving entry from the list and puts the entries
// that it named at the front.
func (d *directory) replaceLeaving(entry string, instead []string, now time.Time) {
	d.markDown(entry, now)
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

// add appends an entry to the list. A caller whose listed entries were all replaced
// during a stream fetches a new list from the one that the stream moved to.
func (d *directory) add(entry string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.list, entry) {
		d.list = append(slices.Clip(d.list), entry)
	}
}

// current returns the list with failed entries at the end, and whether it is
// still valid: not expired and with an entry that has not failed.
func (d *directory) current(now time.Time) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var up, down []string
	for _, e := range d.list {
		if now.Before(d.downUntil[e]) {
			down = append(down, e)
		} else {
			up = append(up, e)
		}
	}
	return append(up, down...), now.Before(d.expires) && len(up) > 0
}

// timeLeft returns how long the list is still valid.
func (d *directory) timeLeft(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expires.Sub(now)
}

func (d *directory) set(list []string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(list) > 0 {
		d.list = list
	}
	d.expires = until
}

// entries returns the entries in the order of preference. One goroutine fetches
// a new list while the others continue with the old one.
func (c *Client) entries(ctx context.Context) []string {
	list, fresh := c.directory.current(time.Now())
	if fresh {
		return list
	}
	if !c.directory.refreshing.TryLock() {
		if len(list) > 0 {
			return list
		}
		c.directory.refreshing.Lock()
	}
	defer c.directory.refreshing.Unlock()
	if list, fresh = c.directory.current(time.Now()); fresh {
		return list
	}
	c.refresh(ctx, list)
	list, _ = c.directory.current(time.Now())
	return list
}

// keepEntries fetches a new list whenever the last one has expired, until the context
// ends. All listed entries may be replaced while a stream is read, and the last of them
// may be gone when it ends.
func (c *Client) keepEntries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(c.directory.timeLeft(time.Now()), minListWait)):
			c.entries(ctx)
		}
	}
}

// refresh fetches a new list. It tries the configured entries in random order,
// which spreads the load of the callers, and then the entries of the old list.
func (c *Client) refresh(ctx context.Context, old []string) {
	sources := make([]string, 0, len(c.Entries)+len(old))
	for _, i := range c.random.perm(len(c.Entries)) {
		sources = append(sources, c.Entries[i])
	}
	for _, e := range old {
		if !slices.Contains(sources, e) {
			sources = append(sources, e)
		}
	}
	for _, e := range sources {
		list, lifetime, ok := c.fetchEntries(ctx, e)
		if ok && len(list) > 0 {
			// Jitter keeps callers that started together from refreshing together.
			lifetime = time.Duration(float64(min(lifetime, maxListLifetime)) * (1 - 0.2*c.random.float()))
			c.directory.set(list, time.Now().Add(lifetime))
			return
		}
	}
	if ctx.Err() != nil {
		return // The list may still be fetched by another request.
	}
	if len(old) == 0 {
		old = slices.Clone(c.Entries)
	}
	c.directory.set(old, time.Now().Add(staleListLifetime))
}

func (c *Client) fetchEntries(ctx context.Context, entry string) (list []string, lifetime time.Duration, ok bool) {
	fetchCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(fetchCtx, http.MethodGet, "http://"+entry+"/v1/entries", nil)
	if err != nil {
		return nil, 0, false
	}
	res, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.directory.markDown(entry, time.Now())
		}
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
	seconds := max(0, min(body.KeepSeconds, maxListLifetime.Seconds()))
	return body.Entries, time.Duration(seconds * float64(time.Second)), true
}

// nextEntry returns the most preferred entry that was not tried.
func (c *Client) nextEntry(ctx context.Context, tried map[string]bool) (string, bool) {
	for _, e := range c.entries(ctx) {
		if !tried[e] {
			return e, true
		}
	}
	return "", false
}

// hasUntried reports whether the list has an entry that was not tried.
func (c *Client) hasUntried(tried map[string]bool) bool {
	list, _ := c.directory.current(time.Now())
	return slices.ContainsFunc(list, func(e string) bool { return !tried[e] })
}
