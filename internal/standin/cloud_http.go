package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"apricotbridge/internal/cloud"
	"apricotbridge/pkg/config"
)

// noticesSince waits for notices after the given sequence number. It returns
// them with the latest sequence number and whether the API is up.
func (c *Cloud) noticesSince(ctx context.Context, after int64) ([]cloud.Notice, int64, bool) {
	for {
		up := c.lockAndUpdate()
		n := sort.Search(len(c.notices), func(i int) bool { return c.notices[i].Sequence > after })
		found := append([]cloud.Notice{}, c.notices[n:]...)
		sequence, changed := c.sequence, c.changed
		c.mu.Unlock()
		if !up || len(found) > 0 {
			return found, sequence, up
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found, sequence, true
		}
	}
}

// Owned returns the instances that have not ended, in id order.
func (c *Cloud) Owned() []cloud.Instance {
	c.lockAndUpdate()
	defer c.mu.Unlock()
	owned := make([]cloud.Instance, 0, len(c.owned))
	for _, i := range c.owned {
		owned = append(owned, i)
	}
	sort.Slice(owned, func(i, j int) bool { return owned[i].ID < owned[j].ID })
	return owned
}

func (c *Cloud) isUp() bool {
	up := c.lockAndUpdate()
	c.mu.Unlock()
	return up
}

// Handler serves the protocol of cloud.Client. POST /faults with a CloudFaults
// value replaces the active faults, and POST /reclaim reclaims instances.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/prices", func(w http.ResponseWriter, _ *http.Request) {
		up := c.lockAndUpdate()
		prices := append([]cloud.Price{}, c.prices...)
		c.mu.Unlock()
		if !up {
			sendJSON(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		sendJSON(w, http.StatusOK, map[string]any{"Prices": prices})
	})
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		if !c.isUp() {
			sendJSON(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		c.Advance()
		sendJSON(w, http.StatusOK, map[string]any{"Instances": c.Owned()})
	})
	mux.HandleFunc("POST /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		var s cloud.StartRequest
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.Advance()
		status, body := c.start(s)
		sendJSON(w, status, body)
	})
	mux.HandleFunc("DELETE /v1/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		c.Advance()
		status, body := c.stop(r.PathValue("id"))
		sendJSON(w, status, body)
	})
	mux.HandleFunc("GET /v1/notices", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), durationParam(r, "wait"))
		defer cancel()
		notices, sequence, up := c.noticesSince(ctx, intParam(r, "after"))
		if !up {
			sendJSON(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		sendJSON(w, http.StatusOK, map[string]any{"Notices": notices, "Sequence": sequence})
	})
	mux.HandleFunc("POST /faults", setFaults(c.SetFaults))
	mux.HandleFunc("POST /reclaim", func(w http.ResponseWriter, r *http.Request) {
		var wave struct {
			Place      string
			Share      float64
			Notice     config.Duration
			Everything bool
		}
		if err := json.NewDecoder(r.Body).Decode(&wave); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n := c.Reclaim(wave.Place, min(1, wave.Share), time.Duration(wave.Notice), wave.Everything)
		sendJSON(w, http.StatusOK, map[string]int{"Reclaimed": n})
	})
	return mux
}
